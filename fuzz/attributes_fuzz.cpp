// Parses request attributes and session commands from arbitrary statements. Accepted attributes
// must be formatted as text that parses to the same attributes.

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

constexpr std::array<std::string_view, 7> attributeNames{
    "class", "kind", "repeatable", "max_age_ms", "request_id", "understands", "writes_version"};

void checkFormatted(const RequestAttributes &attributes)
{
    RequestAttributes copy;
    for (const auto name : attributeNames) {
        const auto formatted = formatAttribute(attributes, name);
        check(formatted.has_value(), "each attribute can be formatted");
        if (!formatted->empty()) {
            check(setAttribute(copy, name, *formatted).has_value(),
                  "a formatted attribute can be set");
        }
    }
    check(copy == attributes, "attributes survive formatting and parsing");
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
        checkFormatted(attributes.value());
    } else {
        check(attributes.error().kind == ErrorKind::InvalidAttribute,
              "the error is an invalid attribute");
    }
    if (const auto command = parseSessionCommand(sql); command && command->isAssignment) {
        RequestAttributes assigned;
        (void)setAttribute(assigned, command->name, command->value);
        checkFormatted(assigned);
    }
    if (parseTransactionCommand(sql) == StatementKind::Commit) {
        check(mayCommit(sql), "a COMMIT may commit");
    }
    if (mixesTransactionControl(sql)) {
        check(hasSeveralStatements(sql) && mayCommit(sql),
              "a text that mixes statements and transaction control may commit");
    }
    (void)usesSavepoints(sql);
    (void)altersConnection(sql);
    return 0;
}
