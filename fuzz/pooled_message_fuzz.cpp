// Decodes arbitrary bytes as each message and record of the pooled deployment; what decodes must
// encode to something that decodes to the same. The first byte chooses the type.

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
void decodeOne(std::string_view bytes)
{
    if (const auto decoded = decode<Message>(bytes); decoded.has_value()) {
        check(decode<Message>(encode(decoded.value())).value() == decoded.value(),
              "a decoded message survives a round trip");
    }
}

constexpr std::array decoders{
    &decodeOne<SubscribeRequest>,    &decodeOne<DeploymentUpdate>, &decodeOne<EvidenceRequest>,
    &decodeOne<EvidenceReport>,      &decodeOne<JoinRequest>,      &decodeOne<LeaveRequest>,
    &decodeOne<ForwardedCall>,       &decodeOne<ForwardedAnswer>,  &decodeOne<DocumentRequest>,
    &decodeOne<DocumentAnswer>,      &decodeOne<DocumentDelta>,    &decodeOne<ControlCommand>,
    &decodeOne<ControlSnapshot>,     &decodeOne<EntryReport>,      &decodeOne<EntryReportRequest>,
    &decodeOne<PooledStatusRequest>, &decodeOne<KeepAlive>,        &decodeOne<PooledStatusResponse>,
    &decodeOne<SnapshotResponse>,    &decodeOne<AppendResponse>,   &decodeOne<VoteRequest>,
    &decodeOne<VoteResponse>,        &decodeOne<TransferRequest>,
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size > 0) {
        decoders.at(data[0] % decoders.size())(fuzz::rest(data, size, 1));
    }
    return 0;
}
