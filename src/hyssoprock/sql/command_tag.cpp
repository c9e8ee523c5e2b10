#include <hyssoprock/sql/command_tag.hpp>

namespace hyssoprock::sql {

std::string_view commandTag(const StatementResult &result) noexcept
{
    if (!result.tag.empty()) {
        return result.tag;
    }
    switch (result.kind) {
    case ResultKind::Begin:
        return "BEGIN";
    case ResultKind::Commit:
        return "COMMIT";
    case ResultKind::Rollback:
        return "ROLLBACK";
    case ResultKind::SetOption:
        return "SET";
    case ResultKind::ShowOption:
        return "SHOW";
    case ResultKind::Other:
        break;
    }
    return {};
}

ResultKind resultKind(std::string_view tag) noexcept
{
    if (tag == "BEGIN") {
        return ResultKind::Begin;
    }
    if (tag == "COMMIT") {
        return ResultKind::Commit;
    }
    return tag == "ROLLBACK" ? ResultKind::Rollback : ResultKind::Other;
}

} // namespace hyssoprock::sql
