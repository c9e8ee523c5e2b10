#include <algorithm>
#include <functional>
#include <utility>

#include <hyssoprock/consensus/raft_node.hpp>
#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock {

namespace {

// Small enough that heartbeats sent between two parts arrive in time on a slow link.
constexpr std::uint64_t snapshotPartBytes = std::uint64_t{32} * 1024;
constexpr std::uint64_t unansweredSnapshotPartsMax = 4;

} // namespace

LogPosition RaftNode::appendAsLeader(LogEntryKind kind, std::string payload)
{
    const LogPosition position{hardState_.term, log_.last().index + 1};
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
    const auto needsSnapshot = peer.nextIndex <= log_.base().index;
    if (needsSnapshot) {
        sendSnapshot(to, peer);
    }
    AppendRequest request;
    request.from = identity_.name;
    request.term = hardState_.term;
    request.commitIndex = commitIndex_;
    request.sequence = nextSequence_++;
    request.previous = log_.base();
    if (!needsSnapshot) {
        request.previous = {*log_.termAt(peer.nextIndex - 1), peer.nextIndex - 1};
        if (canSendEntries(peer)) {
            request.entries =
                log_.slice(peer.nextIndex, settings_.appendBatch, settings_.appendBytes);
        }
        request.readmit = canReadmit(peer);
        // Requests are pipelined. A follower that lacks earlier entries responds with the index at
        // which to continue.
        peer.nextIndex += request.entries.size();
    }
    peer.recordRequest(request.sequence, now_);
    send(to, std::move(request));
}

bool RaftNode::canSendEntries(const PeerProgress &peer) const
{
    // Limits the data in flight to a slow or failed follower; the rest is sent after its response.
    const auto respondedIndex = std::max(peer.matchIndex, peer.windowStart - 1);
    return log_.bytesBetween(respondedIndex, peer.nextIndex - 1) < settings_.appendBytes;
}

void RaftNode::sendSnapshot(const std::string &to, PeerProgress &peer)
{
    if (!peer.transfer) {
        peer.transfer = PeerProgress::SnapshotTransfer{
            std::make_shared<const RaftSnapshot>(*log_.snapshot()), 0, 0, 0, now_};
    }
    auto &transfer = *peer.transfer;
    if (now_ >= transfer.lastProgressAt + settings_.electionTimeoutMax) {
        // The parts or the responses were lost.
        rewindSnapshot(transfer, transfer.receivedBytes);
    }
    const auto &snapshot = *transfer.snapshot;
    const auto partBytes = std::min<std::uint64_t>(snapshotPartBytes, settings_.appendBytes);
    const auto total = snapshot.state.size();
    while (transfer.offset < std::min<std::uint64_t>(
               total, transfer.receivedBytes + unansweredSnapshotPartsMax * partBytes)
           || (total == 0 && transfer.sequenceMin == 0)) {
        SnapshotRequest request;
        request.from = identity_.name;
        request.term = hardState_.term;
        request.last = snapshot.last;
        request.voters = snapshot.voters;
        request.offset = transfer.offset;
        request.total = total;
        request.part = snapshot.state.substr(transfer.offset, partBytes);
        request.sequence = nextSequence_++;
        transfer.offset += request.part.size();
        transfer.sequenceMin = std::max<std::uint64_t>(transfer.sequenceMin, 1);
        peer.recordRequest(request.sequence, now_);
        send(to, std::move(request));
    }
}

void RaftNode::rewindSnapshot(PeerProgress::SnapshotTransfer &transfer, std::uint64_t received)
{
    transfer.offset = received;
    transfer.receivedBytes = received;
    transfer.lastProgressAt = now_;
    // Responses to earlier requests report the same gap. With 0, an empty state is sent again.
    transfer.sequenceMin = transfer.snapshot->state.empty() ? 0 : nextSequence_;
}

bool RaftNode::acceptResponse(PeerProgress &peer, std::uint64_t sequence, bool recovering)
{
    if (sequence < peer.sequenceMin) {
        return false;
    }
    if (recovering && !peer.recovering) {
        peer.startRecovery(nextSequence_, log_.last().index, now_);
        return false;
    }
    if (!recovering && peer.recovering) {
        peer.recovering = false;
        peer.sequenceMin = sequence;
    }
    peer.recordResponse(sequence);
    return true;
}

void RaftNode::receive(const AppendResponse &response)
{
    if (mayHaveLostState()) {
        // A response to a message sent before this host lost its data. Such a host keeps term 0
        // until a leader contacts it.
        return;
    }
    if (response.term > hardState_.term) {
        becomeFollower(response.term, {});
        return;
    }
    const auto found = peers_.find(response.from);
    if (role_ != RaftRole::Leader || response.term != hardState_.term || found == peers_.end()) {
        return;
    }
    auto &[name, peer] = *found;
    if (!acceptResponse(peer, response.sequence, response.recovering)) {
        return;
    }
    if (response.success) {
        advanceMatch(name, peer, response.matchIndex);
    } else if (const auto nextIndex = std::max(response.matchIndex, peer.matchIndex) + 1;
               nextIndex < peer.nextIndex && response.sequence >= peer.rewindSequence) {
        // Several requests may have been rejected for the same missing entries, which are sent
        // again only once.
        peer.rewindSequence = nextSequence_;
        peer.startFrom(nextIndex);
        sendAppend(name, peer);
    }
}

void RaftNode::receive(const SnapshotResponse &response)
{
    if (mayHaveLostState()) {
        // A response to a message sent before this host lost its data. Such a host keeps term 0
        // until a leader contacts it.
        return;
    }
    if (response.term > hardState_.term) {
        becomeFollower(response.term, {});
        return;
    }
    const auto found = peers_.find(response.from);
    if (role_ != RaftRole::Leader || response.term != hardState_.term || found == peers_.end()) {
        return;
    }
    auto &[name, peer] = *found;
    if (!acceptResponse(peer, response.sequence, response.recovering)) {
        return;
    }
    const auto current = peer.transfer
                         && peer.transfer->snapshot->last.index == response.snapshotIndex
                         && response.sequence >= peer.transfer->sequenceMin;
    if (current && response.gap) {
        rewindSnapshot(*peer.transfer, response.received);
    } else if (current && response.received > peer.transfer->receivedBytes) {
        peer.transfer->receivedBytes = response.received;
        peer.transfer->offset = std::max(peer.transfer->offset, response.received);
        peer.transfer->lastProgressAt = now_;
    }
    if (response.lastIndex > 0) {
        advanceMatch(name, peer, response.lastIndex);
    } else if (current) {
        sendSnapshot(name, peer);
    }
}

void RaftNode::advanceMatch(const std::string &from, PeerProgress &peer, std::uint64_t matchIndex)
{
    check(matchIndex <= log_.last().index, "the match index does not exceed the log of the leader");
    peer.matchIndex = std::max(peer.matchIndex, matchIndex);
    peer.nextIndex = std::max(peer.nextIndex, peer.matchIndex + 1);
    if (peer.transfer && peer.matchIndex >= peer.transfer->snapshot->last.index) {
        peer.transfer.reset();
    }
    if (peer.nextIndex <= log_.last().index && peer.nextIndex > log_.base().index
        && canSendEntries(peer)) {
        sendAppend(from, peer);
    }
    advanceCommit();
    if (role_ == RaftRole::Leader) {
        continueJoin();
        continueTransfer();
    }
}

bool RaftNode::canReadmit(const PeerProgress &peer) const
{
    if (!peer.recovering || peer.matchIndex < peer.recoveryIndex) {
        return false;
    }
    // A majority without the recovering host must have confirmed this leader since the data loss
    // was detected. Then no newer leader can have committed an entry that the recovering host lost.
    std::size_t confirmed = 0;
    for (const auto &voter : log_.voters()) {
        const auto found = peers_.find(voter);
        const auto hasConfirmed = found != peers_.end() && !found->second.recovering
                                  && found->second.confirmedAt
                                  && *found->second.confirmedAt >= peer.recoveringSince;
        confirmed += voter == identity_.name || hasConfirmed ? 1 : 0;
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
            matches.push_back(counts ? found->second.matchIndex : 0);
        }
    }
    std::sort(matches.begin(), matches.end(), std::greater<>{});
    const auto index = matches[majority() - 1];
    if (index <= commitIndex_ || log_.termAt(index) != hardState_.term) {
        return;
    }
    commitTo(index);
    if (log_.votersIndex() > commitIndex_) {
        return;
    }
    if (!isVoter(identity_.name)) {
        // The others must learn that the change is committed before this host stops sending.
        broadcast();
        becomeFollower(hardState_.term, {});
        return;
    }
    updatePeers();
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
        becomeFollower(hardState_.term, {});
        return;
    }
    if (join_ && now_ >= join_->deadline) {
        abandonChanges();
        updatePeers();
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
