#include <hyssoprock/consensus/raft_node.hpp>

#include <algorithm>
#include <utility>

#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock {

RaftNode::RaftNode(RaftIdentity identity, const RaftSettings &settings,
                   const RestoredState &restored, std::uint64_t seed, Instant now)
    : identity_{std::move(identity)}
    , settings_{settings}
    , random_{seed}
    , log_{restored, identity_.initialVoters}
    , hard_{restored.hardState}
    , commitIndex_{log_.snapshotIndex()}
    , now_{now} // Before the restart this host may have answered a leader that still counts on it.
    , voteBarrier_{now + settings_.electionTimeoutMin}
{
    // A host whose data was lost may have given a vote in a term that it has forgotten. A candidate
    // counts votes of one term for at most one election timeout, so after this wait none is open.
    const auto drift = settings_.clockDriftPerMille;
    const auto wait =
        lengthenedByDrift(lengthenedByDrift(settings_.electionTimeoutMax, drift), drift);
    freshBarrier_ = fresh() ? now + wait : now;
    resetElectionTimer();
    announced_ = {role_, hard_.term, leader_};
}

RaftActions RaftNode::handle(const RaftEvent &event, Instant now)
{
    check(now >= now_, "time does not run backwards");
    now_ = now;
    actions_.clear();
    std::visit([this](const auto &known) { on(known); }, event);
    announceRole();
    return std::exchange(actions_, {});
}

std::optional<Instant> RaftNode::nextDeadline() const noexcept
{
    if (role_ != RaftRole::Leader) {
        return electionDeadline_;
    }
    auto deadline = nextHeartbeat_;
    if (join_) {
        deadline = std::min(deadline, join_->deadline);
    }
    if (transfer_) {
        deadline = std::min(deadline, transfer_->deadline);
    }
    return deadline;
}

bool RaftNode::leaseValid(Instant now) const
{
    const auto end = leaseEnd();
    return end && now < *end;
}

std::optional<Instant> RaftNode::leaseEnd() const
{
    const auto confirmed = quorumConfirmedAt();
    if (role_ != RaftRole::Leader || !confirmed) {
        return std::nullopt;
    }
    // Shortened once for this host's clock and once for the follower's, which counts the same
    // timeout from when it heard this leader.
    const auto drift = settings_.clockDriftPerMille;
    return *confirmed
           + shortenedByDrift(shortenedByDrift(settings_.electionTimeoutMin, drift), drift);
}

bool RaftNode::leaderReady() const noexcept
{
    return role_ == RaftRole::Leader && commitIndex_ >= termStartIndex_;
}

bool RaftNode::snapshotDue() const noexcept
{
    return commitIndex_ - log_.snapshotIndex() >= settings_.snapshotEntries
           || log_.bytesBetween(log_.snapshotIndex(), commitIndex_) >= settings_.snapshotBytes;
}

void RaftNode::on(const raft::Tick & /*event*/)
{
    if (role_ == RaftRole::Leader) {
        leaderTick();
    } else if (now_ >= electionDeadline_) {
        if (mayCampaign()) {
            campaign(true, false);
        } else {
            becomeFollower(hard_.term, {});
            resetElectionTimer();
        }
    }
}

void RaftNode::on(const raft::MessageReceived &event)
{
    if (fresh() && now_ < freshBarrier_) {
        return;
    }
    std::visit(
        [this](const auto &message) {
            if (message.from != identity_.name) {
                receive(message);
            }
        },
        event.message);
}

void RaftNode::on(const raft::Propose &event)
{
    if (role_ != RaftRole::Leader || transfer_) {
        reject(event.proposal, ErrorKind::NotLeader, transfer_ ? transfer_->target : leader_);
        return;
    }
    // While no majority answers, commands would pile up in memory and on the disk.
    const auto waiting = log_.bytesBetween(commitIndex_, log_.last().index);
    if (waiting > 0 && waiting + event.command.size() > settings_.snapshotBytes) {
        reject(event.proposal, ErrorKind::Refused,
               std::to_string(waiting) + " bytes of the log are not committed yet");
        return;
    }
    const auto position = appendOwn(LogEntryKind::Command, event.command);
    actions_.emplace_back(raft::ProposalAppended{event.proposal, position});
    broadcast();
    advanceCommit();
}

void RaftNode::on(const raft::SnapshotTaken &event)
{
    if (event.index <= log_.snapshotIndex()) {
        return;
    }
    check(event.index <= commitIndex_, "a snapshot covers only committed entries");
    RaftSnapshot snapshot{
        {*log_.termAt(event.index), event.index}, log_.votersAt(event.index), event.state};
    actions_.emplace_back(raft::SaveSnapshot{snapshot, false});
    // A quarter stays in memory for followers that are only a little behind.
    log_.compact(std::move(snapshot), settings_.snapshotEntries / 4, settings_.snapshotBytes / 4);
}

void RaftNode::persistHardState()
{
    if (!actions_.empty()) {
        if (auto *persist = std::get_if<raft::Persist>(&actions_.back())) {
            persist->hardState = hard_;
            return;
        }
    }
    actions_.emplace_back(raft::Persist{hard_, std::nullopt, {}});
}

void RaftNode::persistEntries(std::optional<std::uint64_t> truncateFrom,
                              std::vector<LogEntry> entries)
{
    if (!actions_.empty()) {
        if (auto *persist = std::get_if<raft::Persist>(&actions_.back());
            persist != nullptr && persist->entries.empty() && !persist->truncateFrom) {
            persist->truncateFrom = truncateFrom;
            persist->entries = std::move(entries);
            return;
        }
    }
    actions_.emplace_back(raft::Persist{std::nullopt, truncateFrom, std::move(entries)});
}

void RaftNode::send(const std::string &to, RaftMessage message)
{
    actions_.emplace_back(raft::SendMessage{to, std::move(message)});
}

void RaftNode::reject(std::uint64_t proposal, ErrorKind kind, std::string detail)
{
    actions_.emplace_back(raft::ProposalRejected{proposal, Error{kind, std::move(detail)}});
}

void RaftNode::announceRole()
{
    if (announced_.role == role_ && announced_.term == hard_.term && announced_.leader == leader_) {
        return;
    }
    announced_ = {role_, hard_.term, leader_};
    actions_.emplace_back(announced_);
}

} // namespace hyssoprock
