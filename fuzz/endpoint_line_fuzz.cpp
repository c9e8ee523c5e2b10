// Decodes arbitrary bytes as the lines of an endpoint; the result must not depend on how the stream
// is split, and an answer that was written for a caller must read as the same answer. The first
// byte gives the size of the pieces.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <hyssoprock/core/invariant.hpp>
#include <platform/line_codec.hpp>

namespace {

using namespace hyssoprock;

struct Decoded
{
    std::vector<StatementAnswer> answers;
    std::optional<Error> error;

    [[nodiscard]] bool operator==(const Decoded &) const = default;
};

Decoded decodeInPieces(std::string_view stream, std::size_t piece)
{
    platform::LineEndpointCodec codec;
    Decoded decoded;
    for (std::size_t begin = 0; begin < stream.size() && !decoded.error; begin += piece) {
        codec.feed(stream.substr(begin, piece));
        while (true) {
            auto next = codec.next();
            if (next.has_error()) {
                decoded.error = next.error();
                check(codec.next().has_error(), "an error is final");
                break;
            }
            if (!next.value()) {
                break;
            }
            decoded.answers.push_back(std::move(*next.value()));
        }
    }
    return decoded;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size < 2) {
        return 0;
    }
    const std::string_view stream{reinterpret_cast<const char *>(data) + 1, size - 1};
    const auto whole = decodeInPieces(stream, stream.size());
    check(whole == decodeInPieces(stream, 1), "decoding does not depend on the split");
    check(whole == decodeInPieces(stream, std::size_t{data[0]} + 1),
          "decoding does not depend on the split");
    // The first answer is that of the startup.
    for (std::size_t index = 1; index < whole.answers.size(); ++index) {
        std::string lines = "READY I -\r\n";
        platform::LineCallerCodec{}.encodeAnswer(whole.answers[index], lines);
        const auto again = decodeInPieces(lines, lines.size());
        check(!again.error && again.answers.size() == 2, "a written answer can be read");
        auto expected = whole.answers[index];
        if (expected.kind != AnswerKind::Success && expected.text.empty()) {
            expected.text = again.answers[1].text;
        }
        check(again.answers[1] == expected, "an answer reaches the caller unchanged");
    }
    return 0;
}
