// Parses arbitrary text as SQL statements of the stand-in endpoint.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/endpoint/statement.hpp>
#include <hyssoprock/endpoint/tokenizer.hpp>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace hyssoprock;
    const std::string_view text{reinterpret_cast<const char *>(data), size};
    const auto tokens = endpoint::tokenize(text);
    const auto statements = endpoint::parseStatements(text);
    if (tokens.has_error()) {
        check(statements.has_error(), "a text that cannot be tokenised cannot be parsed");
        return 0;
    }
    check(tokens.value().size() <= size + 1,
          "each token takes at least one byte, the end token none");
    if (statements.has_error()) {
        check(!statements.error().detail.empty(), "an error has a detail text");
        return 0;
    }
    check(statements.value().size() <= size, "each statement takes at least one byte");
    for (const auto &statement : statements.value()) {
        (void)endpoint::parameterCount(statement);
        if (const auto *insert = std::get_if<endpoint::InsertStatement>(&statement)) {
            check(std::all_of(
                      insert->rows.begin(), insert->rows.end(),
                      [insert](const auto &row) { return row.size() == insert->columns.size(); }),
                  "an accepted row has one value for each column");
        }
    }
    return 0;
}
