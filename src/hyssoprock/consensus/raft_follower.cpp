#include <algorithm>
#include <utility>

#include <hyssoprock/consensus/raft_node.hpp>
#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock {

namespace {

// Largest snapshot that is taken from a leader. Its state is kept in memory twice while it is
// installed, and a control host has 256 MB.
constexpr std::uint64_t snapshotBytesMax = std::uint64_t{64} * 1024 * 1024;

} // namespace

bool RaftNode::acceptLeader(const std::string &from, std::uint64_t term)
{
    if (term < hard_.term) {
        return false;
    }
    check(role_ != RaftRole::Leader || term > hard_.term, "one term has one leader");
    if (fresh()) {
        // The group exists, so this host's data was lost or it is new.
        hard_.recovering = true;
    }
    becomeFollower(term, from);
    voteBarrier_ = now_ + settings_.electionTimeoutMin;
    resetElectionTimer();
    return true;
}

void RaftNode::receive(const AppendRequest &request)
{
    AppendResponse response;
    response.from = identity_.name;
    response.sequence = request.sequence;
    const auto wasRecovering = hard_.recovering;
    if (acceptLeader(request.from, request.term)) {
        if (request.previous.index > log_.last().index) {
            response.matchIndex = log_.last().index;
        } else if (request.previous.index > commitIndex_
                   && log_.termAt(request.previous.index) != request.previous.term) {
            // The conflicting term is skipped as a whole, but never a committed entry.
            const auto conflicting = log_.termAt(request.previous.index);
            auto index = request.previous.index;
            while (index > commitIndex_ && log_.termAt(index) == conflicting) {
                --index;
            }
            response.matchIndex = index;
        } else {
            takeEntries(request);
            response.success = true;
            response.matchIndex = request.previous.index + request.entries.size();
            if (request.readmit && wasRecovering) {
                hard_.recovering = false;
                persistHardState();
            }
            commitTo(std::min(request.commitIndex, response.matchIndex));
        }
    }
    response.term = hard_.term;
    response.recovering = hard_.recovering;
    send(request.from, std::move(response));
}

void RaftNode::takeEntries(const AppendRequest &request)
{
    std::optional<std::uint64_t> truncateFrom;
    std::vector<LogEntry> added;
    for (const auto &entry : request.entries) {
        const auto index = entry.position.index;
        if (index <= commitIndex_ || log_.termAt(index) == entry.position.term) {
            continue;
        }
        if (index <= log_.last().index) {
            check(added.empty(), "a conflict is met before entries are appended");
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
            response.gap = !takePart(request);
            const auto held = incoming_ && incoming_->snapshot.last == request.last;
            response.received = held ? incoming_->snapshot.state.size() : 0;
            if (held && response.received == incoming_->total) {
                install(std::move(incoming_->snapshot));
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
    response.term = hard_.term;
    response.recovering = hard_.recovering;
    send(request.from, std::move(response));
}

bool RaftNode::takePart(const SnapshotRequest &request)
{
    if (request.total > snapshotBytesMax) {
        // Reported as no gap: the leader would send the same parts again at once.
        return true;
    }
    // Parts of two leaders are not combined: they may have encoded the same state differently.
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

void RaftNode::install(RaftSnapshot snapshot)
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
