// Decodes arbitrary bytes as messages; a decoded message must survive a round trip. The first byte
// selects the type.

#include <cstddef>
#include <cstdint>
#include <string_view>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/message/codec.hpp>
#include <hyssoprock/message/consensus.hpp>
#include <hyssoprock/message/control.hpp>
#include <hyssoprock/message/membership.hpp>

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

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string_view body{reinterpret_cast<const char *>(data) + 1, size - 1};
    switch (data[0] % 8) {
    case 0:
        checkRoundTrip<AppendRequest>(body);
        break;
    case 1:
        checkRoundTrip<SnapshotRequest>(body);
        break;
    case 2:
        checkRoundTrip<HostRenewRequest>(body);
        break;
    case 3:
        checkRoundTrip<HostRenewResponse>(body);
        break;
    case 4:
        checkRoundTrip<OperatorRequest>(body);
        break;
    case 5:
        checkRoundTrip<StatusResponse>(body);
        break;
    case 6:
        checkRoundTrip<PeerPing>(body);
        break;
    default:
        checkRoundTrip<CatalogCommand>(body);
        break;
    }
    return 0;
}
