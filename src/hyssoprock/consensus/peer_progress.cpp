#include <hyssoprock/consensus/peer_progress.hpp>

#include <algorithm>

namespace hyssoprock {

namespace {

// A silent peer must not make the list grow without bound.
constexpr std::size_t sentMost = 256;

} // namespace

void PeerProgress::startAt(std::uint64_t index) noexcept
{
    next = index;
    windowStart = index;
}

void PeerProgress::noteSent(std::uint64_t sequence, Instant now)
{
    sent.push_back({sequence, now});
    if (sent.size() > sentMost) {
        sent.pop_front();
    }
}

void PeerProgress::noteAnswered(std::uint64_t sequence)
{
    while (!sent.empty() && sent.front().sequence < sequence) {
        sent.pop_front();
    }
    if (sent.empty() || sent.front().sequence != sequence) {
        return;
    }
    confirmedAt = std::max(confirmedAt.value_or(sent.front().at), sent.front().at);
    sent.pop_front();
}

void PeerProgress::startRecovery(std::uint64_t nextSequence, std::uint64_t lastIndex, Instant now)
{
    recovering = true;
    recoveringSince = now;
    recoverIndex = lastIndex;
    leastSequence = nextSequence;
    match = 0;
    startAt(lastIndex + 1);
    sent.clear();
    confirmedAt.reset();
    transfer.reset();
}

} // namespace hyssoprock
