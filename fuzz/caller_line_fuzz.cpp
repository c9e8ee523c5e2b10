// Decodes arbitrary bytes as lines of a caller. The result must not depend on how the stream is
// split, and a forwarded statement must keep its text. The first byte sets the size of the pieces.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <hyssoprock/core/invariant.hpp>
#include <platform/line_codec.hpp>

#include "pieces.hpp"

namespace {

using namespace hyssoprock;

struct Decoded
{
    std::vector<std::string> startups;
    std::vector<Statement> statements;
    std::size_t terminations = 0;
    std::optional<Error> error;

    [[nodiscard]] bool operator==(const Decoded &) const = default;
};

void addMessage(Decoded &decoded, CallerMessage message)
{
    if (const auto *const startup = std::get_if<CallerStartup>(&message)) {
        check(decoded.startups.empty() && decoded.statements.empty(),
              "the startup comes first and once");
        decoded.startups.push_back(startup->database + " " + startup->user);
    } else if (auto *const statement = std::get_if<Statement>(&message)) {
        decoded.statements.push_back(std::move(*statement));
    } else {
        ++decoded.terminations;
    }
}

Decoded decode(std::string_view stream, std::size_t piece)
{
    return fuzz::decodeInPieces(
        platform::LineCallerCodec{}, stream, piece,
        [](auto &codec, std::string_view bytes) { codec.feed(bytes); }, Decoded{}, &addMessage);
}

void checkForwarded(const Statement &statement)
{
    if (statement.kind == StatementKind::Malformed) {
        check(statement.name.empty() && statement.argument.empty() && statement.shape.empty(),
              "a malformed statement has no arguments");
        return;
    }
    EndpointCommand command;
    command.id = statement.id;
    command.text = statement.text;
    if (statement.kind == StatementKind::Execute) {
        command.kind = EndpointCommandKind::Execute;
        command.name = statement.name;
        command.argument = statement.argument;
    }
    std::string line;
    platform::LineEndpointCodec{}.encodeCommand(command, line);
    check(line == "QUERY " + statement.id + " " + statement.text + "\r\n",
          "the text of a statement is forwarded unchanged");
    check(line.find_first_of("\r\n") == line.size() - 2, "a command is one line");
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size < 2) {
        return 0;
    }
    const auto whole = fuzz::decodeInAnyPieces(&decode, fuzz::inputAfter(data, size, 1), data[0]);
    std::for_each(whole.statements.begin(), whole.statements.end(), checkForwarded);
    return 0;
}
