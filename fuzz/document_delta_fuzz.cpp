// Decodes arbitrary bytes as a compressed document answer or as the delta in one. The first byte
// selects the input: the body as it is, the body compressed by the target, or a delta whose digests
// are corrected so that its parts are applied. An accepted document must be valid and survive
// another transfer.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <zlib.h>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/deployment/document_delta.hpp>
#include <hyssoprock/message/codec.hpp>

#include "pieces.hpp"

namespace {

using namespace hyssoprock;

constexpr std::size_t sizeFieldBytes = 4;
// The decoder's bound for an expanded answer; sized for a deployment of 1,880 routes.
constexpr std::size_t expandedBytesMax = std::size_t{8} * 1024 * 1024;

DeploymentDocument makeBase()
{
    constexpr std::size_t routes = 20;
    DeploymentDocument base;
    base.version = 7;
    base.services = {Service{"a", 30, 0}, Service{"b", 10, 1}};
    for (std::size_t i = 0; i < routes; ++i) {
        Route route;
        route.name = "route-" + std::to_string(i);
        route.database = "tenant-" + std::to_string(i);
        route.service = i % 2 == 0 ? "a" : "b";
        route.statementTimeout = std::chrono::seconds{1};
        base.routes.push_back(route);
    }
    return base;
}

void checkDelta(const DeploymentDocument &base, const DocumentDelta &delta)
{
    const auto result = applyDelta(&base, delta);
    if (result.has_error()) {
        check(!result.error().detail.empty(), "an error has a detail text");
        return;
    }
    const auto &document = result.value();
    check(validate(document).has_value(), "an accepted document is valid");
    check(computeDigest(document) == delta.digest, "an accepted document has the sender's digest");
    const auto encodedAgain = decompressDelta(compressDelta(computeDelta(&base, document)));
    check(encodedAgain.has_value() && applyDelta(&base, encodedAgain.value()).value() == document,
          "an accepted document can be sent on");
}

std::string compressed(std::string_view bytes)
{
    auto size = compressBound(bytes.size());
    std::string body(size, '\0');
    check(compress(reinterpret_cast<Bytef *>(body.data()), &size,
                   reinterpret_cast<const Bytef *>(bytes.data()), bytes.size())
              == Z_OK,
          "bytes can be compressed");
    body.resize(size);
    return body;
}

void checkAnswer(const DeploymentDocument &base, const DocumentAnswer &answer)
{
    const auto delta = decompressDelta(answer);
    if (delta.has_error()) {
        check(delta.error().kind == ErrorKind::ProtocolViolation,
              "an error is a protocol violation");
        return;
    }
    check(answer.bytes <= expandedBytesMax, "an answer does not expand beyond its bound");
    checkDelta(base, delta.value());
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const auto base = makeBase();
    if (size < 1 + sizeFieldBytes) {
        return 0;
    }
    const auto bytes = fuzz::inputAfter(data, size, 1);
    DocumentAnswer answer;
    answer.version = base.version + 1;
    switch (data[0] % 3) {
    case 0:
        for (const auto byte : bytes.substr(0, sizeFieldBytes)) {
            answer.bytes = answer.bytes * 256 + static_cast<std::uint8_t>(byte);
        }
        answer.body = bytes.substr(sizeFieldBytes);
        checkAnswer(base, answer);
        break;
    case 1:
        answer.bytes = bytes.size();
        answer.body = compressed(bytes);
        checkAnswer(base, answer);
        break;
    default:
        if (auto delta = decode<DocumentDelta>(bytes); delta.has_value()) {
            // Random bytes do not hold valid digests, so they are replaced by valid ones.
            auto &patched = delta.value();
            patched.baseVersion = patched.baseVersion % 2 == 0 ? 0 : base.version;
            patched.baseDigest = computeDigest(base);
            checkDelta(base, patched);
            DeploymentDocument unchanged = base;
            unchanged.version = patched.version;
            unchanged.transactionIdleTimeout = Duration{patched.transactionIdleUs};
            patched.digest = computeDigest(unchanged);
            checkDelta(base, patched);
        }
        break;
    }
    return 0;
}
