#include "pgwire_run.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/pgwire/frontend_decoder.hpp>
#include <support/event_digest.hpp>

namespace hyssoprock::random_runs {

namespace {

constexpr int roundsPerSeed = 200;
constexpr std::size_t sizeLimit = 2000;

/// Everything that a decoder made of a stream.
struct Decoded
{
    std::vector<pgwire::FrontendMessage> messages;
    std::optional<Error> error;

    [[nodiscard]] bool operator==(const Decoded &) const = default;
};

std::string big(std::uint64_t value, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i) {
        text.push_back(static_cast<char>(value >> (8 * i)));
    }
    return text;
}

std::string randomText(RandomSource &random)
{
    std::string text(random.below(30), ' ');
    for (auto &letter : text) {
        letter = static_cast<char>('a' + random.below(26));
    }
    return text + '\0';
}

/// Draws one number for each statement, because operands of + are evaluated in an order that
/// depends on the processor and the compiler.
std::string randomBody(char type, RandomSource &random)
{
    std::string body;
    switch (type) {
    case 'Q':
        return randomText(random);
    case 'P':
        body = randomText(random);
        body += randomText(random);
        body += big(1, 2);
        body += big(random.below(100), 4);
        return body;
    case 'B':
        body = randomText(random);
        body += randomText(random);
        return body + big(0, 2) + big(2, 2) + big(3, 4) + "abc" + big(0xffffffffU, 4) + big(0, 2);
    case 'D':
    case 'C':
        body = random.chance(50) ? "S" : "P";
        body += randomText(random);
        return body;
    case 'E':
        body = randomText(random);
        body += big(random.below(10), 4);
        return body;
    default:
        return {};
    }
}

std::string randomStream(RandomSource &random)
{
    std::string stream;
    if (random.chance(30)) {
        stream += big(8, 4) + big(80877103, 4);
    }
    const auto parameters = "user" + std::string(1, '\0') + randomText(random) + '\0';
    stream += big(8 + parameters.size(), 4) + big(pgwire::protocolVersion3, 4) + parameters;
    const auto count = random.below(12);
    for (std::uint64_t i = 0; i < count; ++i) {
        constexpr std::string_view types = "QPBDECSH";
        const auto type = types[random.below(types.size())];
        const auto body = randomBody(type, random);
        stream += type + big(4 + body.size(), 4) + body;
    }
    return stream;
}

/// Reads all messages after each piece; pieces have 1 to largest bytes.
Decoded decodeInPieces(const std::string &stream, std::size_t largest, RandomSource &random)
{
    pgwire::FrontendDecoder decoder{sizeLimit};
    Decoded decoded;
    for (std::size_t at = 0; at < stream.size() && !decoded.error;) {
        const auto size = std::min<std::size_t>(1 + random.below(largest), stream.size() - at);
        decoder.append(std::string_view{stream}.substr(at, size));
        at += size;
        while (true) {
            auto next = decoder.next();
            if (next.has_error()) {
                decoded.error = next.error();
                break;
            }
            if (!next.value()) {
                break;
            }
            decoded.messages.push_back(std::move(*next.value()));
        }
        check(decoder.bufferedBytes() <= pgwire::startupBytesMax + largest,
              "at most one message is buffered");
    }
    return decoded;
}

void damage(std::string &stream, RandomSource &random, RunReport &report)
{
    const auto kind = random.below(4);
    if (kind == 0) {
        stream[random.below(stream.size())] = static_cast<char>(random.below(256));
        ++report.faults["changed byte"];
    } else if (kind == 1) {
        stream.resize(random.below(stream.size() + 1));
        ++report.faults["truncated stream"];
    } else if (kind == 2) {
        const auto at = random.below(stream.size() + 1);
        stream.insert(at, 1, static_cast<char>(random.below(256)));
        ++report.faults["inserted byte"];
    } else {
        ++report.faults["undamaged, split only"];
    }
}

} // namespace

RunReport runPgwire(std::uint64_t seed)
{
    RandomSource random{seed};
    RunReport report;
    for (int round = 0; round < roundsPerSeed; ++round) {
        auto stream = randomStream(random);
        damage(stream, random, report);
        test::eventDigest().record(stream);
        const auto whole = decodeInPieces(stream, stream.size() + 1, random);
        const auto pieces = decodeInPieces(stream, 1 + random.below(20), random);
        const auto single = decodeInPieces(stream, 1, random);
        check(whole == pieces && whole == single, "decoding does not depend on the split");
        test::eventDigest().record(whole.messages.size(), whole.error.has_value());
        report.steps += whole.messages.size();
        ++report.events[whole.error ? "refused stream" : "accepted stream"];
    }
    return report;
}

} // namespace hyssoprock::random_runs
