// Decodes arbitrary bytes as each message; what decodes must encode to something that decodes to
// the same.

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
void decodeOne(std::string_view bytes)
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
        decodeOne<AppendRequest>(body);
        break;
    case 1:
        decodeOne<SnapshotRequest>(body);
        break;
    case 2:
        decodeOne<HostRenewRequest>(body);
        break;
    case 3:
        decodeOne<HostRenewResponse>(body);
        break;
    case 4:
        decodeOne<OperatorRequest>(body);
        break;
    case 5:
        decodeOne<StatusResponse>(body);
        break;
    case 6:
        decodeOne<PeerPing>(body);
        break;
    default:
        decodeOne<CatalogCommand>(body);
        break;
    }
    return 0;
}
