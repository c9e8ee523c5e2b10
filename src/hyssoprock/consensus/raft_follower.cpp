#include <algorithm>
#include <utility>

#include <hyssoprock/consensus/raft_node.hpp>
#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock {

namespace {

// Maximum size of a snapshot accepted from a leader. Its state is in memory twice during
// installation, and a control host has 256 MB.
constexpr std::uint64_t snapshotBytesMax = std::uint64_t{64} * 1024 * 1024;

} // namespace

bool RaftNode::acceptLeader(const std::string &from, std::uint64_t term)
{
    if (term < hardState_.term) {
        return false;
    }
    check(role_ != RaftRole::Leader || term > hardState_.term, "one term has one leader");
    if (mayHaveLostState()) {
        // The group exists, so this host is new or has lost its data.
        hardState_.recovering = true;
    }
    becomeFollower(term, from);
    votesBlockedUntil_ = now_ + settings_.electionTimeoutMin;
    resetElectionTimer();
    return true;
}

void RaftNode::receive(const AppendRequest &request)
{
    AppendResponse response;
    response.from = identity_.name;
    response.sequence = request.sequence;
    const auto wasRecovering = hardState_.recovering;
    if (acceptLeader(request.from, request.term)) {
        if (request.previous.index > log_.last().index) {
            response.matchIndex = log_.last().index;
        } else if (request.previous.index > commitIndex_
                   && log_.termAt(request.previous.index) != request.previous.term) {
            // Skips all entries of the conflicting term, but no committed entry.
            const auto conflicting = log_.termAt(request.previous.index);
            auto index = request.previous.index;
            while (index > commitIndex_ && log_.termAt(index) == conflicting) {
                --index;
            }
            response.matchIndex = index;
        } else {
            appendEntries(request);
            response.success = true;
            response.matchIndex = request.previous.index + request.entries.size();
            if (request.readmit && wasRecovering) {
                hardState_.recovering = false;
                persistHardState();
            }
            commitTo(std::min(request.commitIndex, response.matchIndex));
        }
    }
    response.term = hardState_.term;
    response.recovering = hardState_.recovering;
    send(request.from, std::move(response));
}

void RaftNode::appendEntries(const AppendRequest &request)
{
    std::optional<std::uint64_t> truncateFrom;
    std::vector<LogEntry> added;
    for (const auto &entry : request.entries) {
        const auto index = entry.position.index;
        if (index <= commitIndex_ || log_.termAt(index) == entry.position.term) {
            continue;
        }
        if (index <= log_.last().index) {
            check(added.empty(), "a conflict precedes all appended entries");
            truncateFrom = index;
            log_.truncateFrom(index);
        }
        log_.append(entry);
        added.push_back(entry);
    }
    if (!added.empty()) {
        persistEntries(truncateFrom, std::move(added));
    }
}

void RaftNode::receive(const SnapshotRequest &request)
{
    SnapshotResponse response;
    response.from = identity_.name;
    response.sequence = request.sequence;
    response.snapshotIndex = request.last.index;
    if (acceptLeader(request.from, request.term)) {
        if (request.last.index > commitIndex_) {
            response.gap = !addSnapshotPart(request);
            const auto held = incoming_ && incoming_->snapshot.last == request.last;
            response.received = held ? incoming_->snapshot.state.size() : 0;
            if (held && response.received == incoming_->total) {
                installSnapshot(std::move(incoming_->snapshot));
            }
        }
        if (request.last.index <= commitIndex_) {
            if (incoming_ && incoming_->snapshot.last.index <= commitIndex_) {
                incoming_.reset();
            }
            response.received = request.total;
            response.lastIndex = commitIndex_;
        }
    }
    response.term = hardState_.term;
    response.recovering = hardState_.recovering;
    send(request.from, std::move(response));
}

bool RaftNode::addSnapshotPart(const SnapshotRequest &request)
{
    if (request.total > snapshotBytesMax) {
        // Not reported as a gap, because the leader would immediately send the same parts again.
        return true;
    }
    // Parts from two leaders are not combined, because they may have encoded the state differently.
    const auto sameLeader = incoming_ && incoming_->term == request.term;
    if (sameLeader && request.last.index < incoming_->snapshot.last.index) {
        return true;
    }
    if (!sameLeader || incoming_->snapshot.last != request.last
        || incoming_->total != request.total) {
        incoming_ = IncomingSnapshot{request.term, request.total,
                                     RaftSnapshot{request.last, request.voters, {}}};
    }
    auto &state = incoming_->snapshot.state;
    if (request.offset == state.size() && request.part.size() <= request.total - state.size()) {
        state += request.part;
    }
    return request.offset <= state.size();
}

void RaftNode::installSnapshot(RaftSnapshot snapshot)
{
    const auto last = snapshot.last;
    const auto matches = log_.termAt(last.index) == last.term;
    actions_.emplace_back(raft::SaveSnapshot{snapshot, !matches});
    actions_.emplace_back(raft::RestoreSnapshot{snapshot});
    if (matches) {
        log_.compact(std::move(snapshot), 0, 0);
    } else {
        log_.reset(std::move(snapshot));
    }
    commitIndex_ = last.index;
}

void RaftNode::commitTo(std::uint64_t index)
{
    const auto end = std::min(index, log_.last().index);
    while (commitIndex_ < end) {
        ++commitIndex_;
        actions_.emplace_back(raft::Apply{log_.at(commitIndex_)});
    }
}

} // namespace hyssoprock
