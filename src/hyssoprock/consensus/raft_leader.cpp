#include <algorithm>
#include <functional>
#include <utility>

#include <hyssoprock/consensus/raft_node.hpp>
#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock {

namespace {

// Small enough that heartbeats between two parts arrive in time on a slow link.
constexpr std::uint64_t snapshotPartBytes = std::uint64_t{32} * 1024;
constexpr std::uint64_t snapshotPartsUnanswered = 4;

} // namespace

LogPosition RaftNode::appendOwn(LogEntryKind kind, std::string payload)
{
    const LogPosition position{hard_.term, log_.last().index + 1};
    LogEntry entry{position, kind, std::move(payload)};
    persistEntries(std::nullopt, {entry});
    log_.append(std::move(entry));
    return position;
}

void RaftNode::broadcast()
{
    for (auto &[name, peer] : peers_) {
        sendAppend(name, peer);
    }
}

void RaftNode::sendAppend(const std::string &to, PeerProgress &peer)
{
    const auto needsSnapshot = peer.next <= log_.base().index;
    if (needsSnapshot) {
        sendSnapshot(to, peer);
    }
    AppendRequest request;
    request.from = identity_.name;
    request.term = hard_.term;
    request.commitIndex = commitIndex_;
    request.sequence = nextSequence_++;
    request.previous = log_.base();
    if (!needsSnapshot) {
        request.previous = {*log_.termAt(peer.next - 1), peer.next - 1};
        if (maySendEntries(peer)) {
            request.entries = log_.slice(peer.next, settings_.appendBatch, settings_.appendBytes);
        }
        request.readmit = mayReadmit(peer);
        // Sent without waiting for the answer; a follower that misses some answers with the index
        // to go back to.
        peer.next += request.entries.size();
    }
    peer.noteSent(request.sequence, now_);
    send(to, std::move(request));
}

bool RaftNode::maySendEntries(const PeerProgress &peer) const
{
    // A slow or dead follower must not make messages pile up; the rest follows its answer.
    const auto answered = std::max(peer.match, peer.windowStart - 1);
    return log_.bytesBetween(answered, peer.next - 1) < settings_.appendBytes;
}

void RaftNode::sendSnapshot(const std::string &to, PeerProgress &peer)
{
    if (!peer.transfer) {
        peer.transfer = PeerProgress::SnapshotTransfer{
            std::make_shared<const RaftSnapshot>(*log_.snapshot()), 0, 0, 0, now_};
    }
    auto &transfer = *peer.transfer;
    if (now_ >= transfer.progressAt + settings_.electionTimeoutMax) {
        // The parts or their answers were lost.
        rewindSnapshot(transfer, transfer.received);
    }
    const auto &snapshot = *transfer.snapshot;
    const auto partBytes = std::min<std::uint64_t>(snapshotPartBytes, settings_.appendBytes);
    const auto total = snapshot.state.size();
    while (transfer.offset < std::min<std::uint64_t>(
               total, transfer.received + snapshotPartsUnanswered * partBytes)
           || (total == 0 && transfer.barrier == 0)) {
        SnapshotRequest request;
        request.from = identity_.name;
        request.term = hard_.term;
        request.last = snapshot.last;
        request.voters = snapshot.voters;
        request.offset = transfer.offset;
        request.total = total;
        request.part = snapshot.state.substr(transfer.offset, partBytes);
        request.sequence = nextSequence_++;
        transfer.offset += request.part.size();
        transfer.barrier = std::max<std::uint64_t>(transfer.barrier, 1);
        peer.noteSent(request.sequence, now_);
        send(to, std::move(request));
    }
}

void RaftNode::rewindSnapshot(PeerProgress::SnapshotTransfer &transfer, std::uint64_t received)
{
    transfer.offset = received;
    transfer.received = received;
    transfer.progressAt = now_;
    // Answers to requests before this one tell of the same gap. An empty state is sent again.
    transfer.barrier = transfer.snapshot->state.empty() ? 0 : nextSequence_;
}

bool RaftNode::acceptAnswer(PeerProgress &peer, std::uint64_t sequence, bool recovering)
{
    if (sequence < peer.leastSequence) {
        return false;
    }
    if (recovering && !peer.recovering) {
        peer.startRecovery(nextSequence_, log_.last().index, now_);
        return false;
    }
    if (!recovering && peer.recovering) {
        peer.recovering = false;
        peer.leastSequence = sequence;
    }
    peer.noteAnswered(sequence);
    return true;
}

void RaftNode::receive(const AppendResponse &response)
{
    if (fresh()) {
        // An answer to an earlier life. A host without data keeps term 0 until a leader finds it.
        return;
    }
    if (response.term > hard_.term) {
        becomeFollower(response.term, {});
        return;
    }
    const auto found = peers_.find(response.from);
    if (role_ != RaftRole::Leader || response.term != hard_.term || found == peers_.end()) {
        return;
    }
    auto &[name, peer] = *found;
    if (!acceptAnswer(peer, response.sequence, response.recovering)) {
        return;
    }
    if (response.success) {
        advance(name, peer, response.matchIndex);
    } else if (const auto next = std::max(response.matchIndex, peer.match) + 1;
               next < peer.next && response.sequence >= peer.rewindSequence) {
        // Several requests may have been refused for the same missing entries, which are sent
        // again only once.
        peer.rewindSequence = nextSequence_;
        peer.startAt(next);
        sendAppend(name, peer);
    }
}

void RaftNode::receive(const SnapshotResponse &response)
{
    if (fresh()) {
        // An answer to an earlier life. A host without data keeps term 0 until a leader finds it.
        return;
    }
    if (response.term > hard_.term) {
        becomeFollower(response.term, {});
        return;
    }
    const auto found = peers_.find(response.from);
    if (role_ != RaftRole::Leader || response.term != hard_.term || found == peers_.end()) {
        return;
    }
    auto &[name, peer] = *found;
    if (!acceptAnswer(peer, response.sequence, response.recovering)) {
        return;
    }
    const auto current = peer.transfer
                         && peer.transfer->snapshot->last.index == response.snapshotIndex
                         && response.sequence >= peer.transfer->barrier;
    if (current && response.gap) {
        rewindSnapshot(*peer.transfer, response.received);
    } else if (current && response.received > peer.transfer->received) {
        peer.transfer->received = response.received;
        peer.transfer->offset = std::max(peer.transfer->offset, response.received);
        peer.transfer->progressAt = now_;
    }
    if (response.lastIndex > 0) {
        advance(name, peer, response.lastIndex);
    } else if (current) {
        sendSnapshot(name, peer);
    }
}

void RaftNode::advance(const std::string &from, PeerProgress &peer, std::uint64_t matchIndex)
{
    check(matchIndex <= log_.last().index, "a follower matches only entries that the leader has");
    peer.match = std::max(peer.match, matchIndex);
    peer.next = std::max(peer.next, peer.match + 1);
    if (peer.transfer && peer.match >= peer.transfer->snapshot->last.index) {
        peer.transfer.reset();
    }
    if (peer.next <= log_.last().index && peer.next > log_.base().index && maySendEntries(peer)) {
        sendAppend(from, peer);
    }
    advanceCommit();
    if (role_ == RaftRole::Leader) {
        progressJoin();
        progressTransfer();
    }
}

bool RaftNode::mayReadmit(const PeerProgress &peer) const
{
    if (!peer.recovering || peer.match < peer.recoverIndex) {
        return false;
    }
    // A majority without the recovering host has confirmed this leader since: no newer leader can
    // have committed anything that the recovering host held and has forgotten.
    std::size_t confirmed = 0;
    for (const auto &voter : log_.voters()) {
        const auto found = peers_.find(voter);
        const auto answered = found != peers_.end() && !found->second.recovering
                              && found->second.confirmedAt
                              && *found->second.confirmedAt >= peer.recoveringSince;
        confirmed += voter == identity_.name || answered ? 1 : 0;
    }
    return confirmed >= majority();
}

void RaftNode::advanceCommit()
{
    if (role_ != RaftRole::Leader) {
        return;
    }
    std::vector<std::uint64_t> matches;
    for (const auto &voter : log_.voters()) {
        const auto found = peers_.find(voter);
        if (voter == identity_.name) {
            matches.push_back(log_.last().index);
        } else {
            const auto counts = found != peers_.end() && !found->second.recovering;
            matches.push_back(counts ? found->second.match : 0);
        }
    }
    std::sort(matches.begin(), matches.end(), std::greater<>{});
    const auto index = matches[majority() - 1];
    if (index <= commitIndex_ || log_.termAt(index) != hard_.term) {
        return;
    }
    commitTo(index);
    if (log_.votersIndex() > commitIndex_) {
        return;
    }
    if (!isVoter(identity_.name)) {
        // The others must learn that the change is committed before this host falls silent.
        broadcast();
        becomeFollower(hard_.term, {});
        return;
    }
    syncPeers();
}

std::optional<Instant> RaftNode::quorumConfirmedAt() const
{
    std::vector<Instant> confirmed;
    for (const auto &voter : log_.voters()) {
        const auto found = peers_.find(voter);
        if (voter == identity_.name) {
            confirmed.push_back(now_);
        } else if (found != peers_.end() && !found->second.recovering
                   && found->second.confirmedAt) {
            confirmed.push_back(*found->second.confirmedAt);
        }
    }
    if (confirmed.size() < majority()) {
        return std::nullopt;
    }
    std::sort(confirmed.begin(), confirmed.end(), std::greater<>{});
    return confirmed[majority() - 1];
}

void RaftNode::leaderTick()
{
    const auto confirmed = std::max(quorumConfirmedAt().value_or(leaderSince_), leaderSince_);
    if (now_ >= confirmed + settings_.electionTimeoutMin) {
        becomeFollower(hard_.term, {});
        return;
    }
    if (join_ && now_ >= join_->deadline) {
        abandonChanges();
        syncPeers();
    }
    if (transfer_ && now_ >= transfer_->deadline) {
        transfer_.reset();
    }
    if (now_ >= nextHeartbeat_) {
        nextHeartbeat_ = now_ + settings_.heartbeat;
        broadcast();
    }
}

} // namespace hyssoprock
