// Decodes arbitrary bytes as messages and records of the pooled deployment; a decoded one must
// survive a round trip. The first byte selects the type.

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/message/codec.hpp>
#include <hyssoprock/message/consensus.hpp>
#include <hyssoprock/message/pooling.hpp>

#include "pieces.hpp"

namespace {

using namespace hyssoprock;

template <class Message>
void checkRoundTrip(std::string_view bytes)
{
    if (const auto decoded = decode<Message>(bytes); decoded.has_value()) {
        check(decode<Message>(encode(decoded.value())).value() == decoded.value(),
              "a decoded message survives a round trip");
    }
}

constexpr std::array roundTripChecks{
    &checkRoundTrip<SubscribeRequest>,   &checkRoundTrip<DeploymentUpdate>,
    &checkRoundTrip<EvidenceRequest>,    &checkRoundTrip<EvidenceReport>,
    &checkRoundTrip<JoinRequest>,        &checkRoundTrip<LeaveRequest>,
    &checkRoundTrip<ForwardedCall>,      &checkRoundTrip<ForwardedAnswer>,
    &checkRoundTrip<DocumentRequest>,    &checkRoundTrip<DocumentAnswer>,
    &checkRoundTrip<DocumentDelta>,      &checkRoundTrip<ControlCommand>,
    &checkRoundTrip<ControlSnapshot>,    &checkRoundTrip<EntryReport>,
    &checkRoundTrip<EntryReportRequest>, &checkRoundTrip<PooledStatusRequest>,
    &checkRoundTrip<KeepAlive>,          &checkRoundTrip<PooledStatusResponse>,
    &checkRoundTrip<SnapshotResponse>,   &checkRoundTrip<AppendResponse>,
    &checkRoundTrip<VoteRequest>,        &checkRoundTrip<VoteResponse>,
    &checkRoundTrip<TransferRequest>,
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size > 0) {
        roundTripChecks.at(data[0] % roundTripChecks.size())(fuzz::inputAfter(data, size, 1));
    }
    return 0;
}
