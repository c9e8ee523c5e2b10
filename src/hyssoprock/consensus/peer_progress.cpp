#include <hyssoprock/consensus/peer_progress.hpp>

#include <algorithm>

namespace hyssoprock {

namespace {

// Limits the memory used for a peer that does not respond.
constexpr std::size_t unansweredRequestsMax = 256;

} // namespace

void PeerProgress::startFrom(std::uint64_t index) noexcept
{
    nextIndex = index;
    windowStart = index;
}

void PeerProgress::recordRequest(std::uint64_t sequence, Instant now)
{
    unansweredRequests.push_back({sequence, now});
    if (unansweredRequests.size() > unansweredRequestsMax) {
        unansweredRequests.pop_front();
    }
}

void PeerProgress::recordResponse(std::uint64_t sequence)
{
    while (!unansweredRequests.empty() && unansweredRequests.front().sequence < sequence) {
        unansweredRequests.pop_front();
    }
    if (unansweredRequests.empty() || unansweredRequests.front().sequence != sequence) {
        return;
    }
    confirmedAt = std::max(confirmedAt.value_or(unansweredRequests.front().sentAt),
                           unansweredRequests.front().sentAt);
    unansweredRequests.pop_front();
}

void PeerProgress::startRecovery(std::uint64_t nextSequence, std::uint64_t lastIndex, Instant now)
{
    recovering = true;
    recoveringSince = now;
    recoveryIndex = lastIndex;
    sequenceMin = nextSequence;
    matchIndex = 0;
    startFrom(lastIndex + 1);
    unansweredRequests.clear();
    confirmedAt.reset();
    transfer.reset();
}

} // namespace hyssoprock
