// Reads request attributes and session commands from arbitrary statements. Attributes that are
// accepted must be shown in a form that is accepted again and means the same.

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/session/request_attributes.hpp>
#include <hyssoprock/sql/attribute_comment.hpp>
#include <hyssoprock/sql/statement_text.hpp>

namespace {

using namespace hyssoprock;
using namespace hyssoprock::sql;

constexpr std::array<std::string_view, 7> names{
    "class", "kind", "repeatable", "max_age_ms", "request_id", "understands", "writes_version"};

void checkShown(const RequestAttributes &attributes)
{
    RequestAttributes copy;
    for (const auto name : names) {
        const auto shown = formatAttribute(attributes, name);
        check(shown.has_value(), "each attribute can be shown");
        if (!shown->empty()) {
            check(setAttribute(copy, name, *shown).has_value(), "what is shown can be set");
        }
    }
    check(copy == attributes, "attributes survive being shown and set");
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view sql{reinterpret_cast<const char *>(data), size};
    const auto attributes = applyAttributes(RequestAttributes{}, parseLeadingAttributes(sql));
    if (attributes.has_value()) {
        check(attributes.value().requestId.size() <= requestIdBytesMax, "a request id is bounded");
        check(attributes.value().requestId.find('\'') == std::string::npos,
              "a request id cannot end its literal");
        checkShown(attributes.value());
    } else {
        check(attributes.error().kind == ErrorKind::InvalidAttribute, "the error is named as such");
    }
    if (const auto command = parseSessionCommand(sql); command && command->isAssignment) {
        RequestAttributes set;
        (void)setAttribute(set, command->name, command->value);
        checkShown(set);
    }
    if (parseTransactionCommand(sql) == StatementKind::Commit) {
        check(mayCommit(sql), "a COMMIT is known to commit");
    }
    if (mixesTransactionControl(sql)) {
        check(hasSeveralStatements(sql) && mayCommit(sql), "a mixed text may commit");
    }
    (void)usesSavepoints(sql);
    (void)altersConnection(sql);
    return 0;
}
