// Sends arbitrary snapshot parts to a follower; it must install a snapshot only when it is newer
// and has the size that the parts state. Each part is made from 5 bytes of the input: term, index,
// total, offset and length.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include <hyssoprock/consensus/raft_node.hpp>
#include <hyssoprock/core/invariant.hpp>

#include "pieces.hpp"

namespace {

using namespace hyssoprock;

constexpr std::size_t partFieldBytes = 5;

SnapshotRequest makeRequest(const std::uint8_t *fields, std::uint64_t sequence)
{
    constexpr std::uint64_t offsetCount = 16;
    SnapshotRequest request;
    request.from = "b";
    request.term = 1 + fields[0] % 4;
    request.last = LogPosition{1, fields[1] % 8U};
    request.voters = {"a", "b", "c"};
    // Includes totals and offsets near the largest 64-bit number, where sums overflow.
    request.total = fields[2] >= 0xF0 ? ~std::uint64_t{0} - (0xFFU - fields[2]) : fields[2] % 32;
    request.offset =
        fields[3] >= 0xF0 ? ~std::uint64_t{0} - (0xFFU - fields[3]) : fields[3] % offsetCount;
    request.part.assign(fields[4] % 32, static_cast<char>('a' + fields[4] % 26));
    request.sequence = sequence;
    return request;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    auto now = Instant{std::chrono::seconds{10}};
    RaftNode node{{"a", {"a", "b", "c"}}, RaftSettings{}, RestoredState{}, 1, now};
    // A new host ignores messages for some time after its start.
    now += std::chrono::minutes{1};
    for (std::size_t at = 0; at + partFieldBytes <= size; at += partFieldBytes) {
        const auto request = makeRequest(data + at, at);
        now += std::chrono::milliseconds{1};
        const auto commitBefore = node.commitIndex();
        for (const auto &action : node.handle(raft::MessageReceived{request}, now)) {
            if (const auto *const saved = std::get_if<raft::SaveSnapshot>(&action)) {
                check(saved->snapshot.last == request.last && request.last.index > commitBefore,
                      "a snapshot is installed with its last part, and only a newer one");
                check(saved->snapshot.state.size() == request.total,
                      "a snapshot is installed only once it is complete");
            }
        }
        check(node.commitIndex() >= commitBefore, "the commit index does not go back");
    }
    return 0;
}
