// Decodes arbitrary bytes as lines of an endpoint. The result must not depend on how the stream is
// split, and an answer encoded for a caller must decode to the same answer. The first byte sets the
// size of the pieces.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <hyssoprock/core/invariant.hpp>
#include <platform/line_codec.hpp>

#include "pieces.hpp"

namespace {

using namespace hyssoprock;

struct Decoded
{
    std::vector<StatementAnswer> answers;
    std::optional<Error> error;

    [[nodiscard]] bool operator==(const Decoded &) const = default;
};

Decoded decode(std::string_view stream, std::size_t piece)
{
    return fuzz::decodeInPieces(
        platform::LineEndpointCodec{}, stream, piece,
        [](auto &codec, std::string_view bytes) { codec.feed(bytes); }, Decoded{},
        [](Decoded &decoded, StatementAnswer answer) {
            decoded.answers.push_back(std::move(answer));
        });
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size < 2) {
        return 0;
    }
    const auto whole = fuzz::decodeInAnyPieces(&decode, fuzz::inputAfter(data, size, 1), data[0]);
    // The first answer belongs to the startup.
    for (std::size_t index = 1; index < whole.answers.size(); ++index) {
        std::string lines = "READY I -\r\n";
        platform::LineCallerCodec{}.encodeAnswer(whole.answers[index], lines);
        const auto again = decode(lines, lines.size());
        check(!again.error && again.answers.size() == 2, "an encoded answer can be decoded");
        auto expected = whole.answers[index];
        if (expected.kind != AnswerKind::Success && expected.text.empty()) {
            expected.text = again.answers[1].text;
        }
        check(again.answers[1] == expected, "an answer reaches the caller unchanged");
    }
    return 0;
}
