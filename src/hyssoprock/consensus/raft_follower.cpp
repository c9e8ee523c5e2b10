#include <algorithm>
#include <utility>

#include <hyssoprock/consensus/raft_node.hpp>
#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock {

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
    if (acceptLeader(request.from, request.term)) {
        const auto &last = request.snapshot.last;
        if (last.index > commitIndex_) {
            const auto matches = log_.termAt(last.index) == last.term;
            actions_.emplace_back(raft::SaveSnapshot{request.snapshot, !matches});
            actions_.emplace_back(raft::RestoreSnapshot{request.snapshot});
            if (matches) {
                log_.compact(request.snapshot, 0, 0);
            } else {
                log_.reset(request.snapshot);
            }
            commitIndex_ = last.index;
        }
        response.lastIndex = std::max(last.index, commitIndex_);
    }
    response.term = hard_.term;
    response.recovering = hard_.recovering;
    send(request.from, std::move(response));
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
