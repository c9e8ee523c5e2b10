#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include <criterion/criterion.h>

#include <hyssoprock/consensus/raft_node.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

struct Outcome
{
    bool installed = false;
    std::optional<SnapshotResponse> response;
};

/// Delivers one part to a follower. A new follower ignores messages for a while after its start.
Outcome receive(RaftNode &node, std::uint64_t total, std::uint64_t offset, const std::string &part)
{
    SnapshotRequest request;
    request.from = "b";
    request.term = 1;
    request.last = LogPosition{1, 5};
    request.voters = {"a", "b", "c"};
    request.offset = offset;
    request.total = total;
    request.part = part;
    Outcome outcome;
    for (const auto &action : node.handle(raft::MessageReceived{request}, Instant{60s})) {
        outcome.installed |= std::holds_alternative<raft::SaveSnapshot>(action);
        if (const auto *sent = std::get_if<raft::SendMessage>(&action)) {
            if (const auto *response = std::get_if<SnapshotResponse>(&sent->message)) {
                outcome.response = *response;
            }
        }
    }
    return outcome;
}

RaftNode follower()
{
    return {{"a", {"a", "b", "c"}}, RaftSettings{}, RestoredState{}, 1, Instant{10s}};
}

} // namespace

// Guards against a follower that collects parts until its memory is exhausted.
Test(snapshotParts, aSnapshotOfMoreThan64MiBIsRefused)
{
    constexpr std::uint64_t bytesMax = std::uint64_t{64} * 1024 * 1024;
    auto node = follower();
    const auto refused = receive(node, bytesMax + 1, 0, "part");
    cr_assert(!refused.installed && refused.response && refused.response->received == 0);
    // A gap would make the leader immediately send the same parts again.
    cr_assert(!refused.response->gap);
    const auto accepted = receive(node, bytesMax, 0, "part");
    cr_assert(!accepted.installed && accepted.response && accepted.response->received == 4);
}

// Guards against a part that exceeds the stated size, and against adding parts of a rejected
// snapshot to an accepted one.
Test(snapshotParts, partsBeyondTheStatedSizeAreIgnored)
{
    auto node = follower();
    cr_assert(receive(node, 6, 0, "part").response->received == 4);
    cr_assert(receive(node, 6, 4, "part").response->received == 4);
    cr_assert(receive(node, ~std::uint64_t{0}, 4, "pa").response->received == 4);
    const auto last = receive(node, 6, 4, "pa");
    cr_assert(last.installed && last.response->lastIndex == 5);
}
