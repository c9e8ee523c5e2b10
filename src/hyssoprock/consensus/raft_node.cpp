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
    , hardState_{restored.hardState}
    , commitIndex_{log_.snapshotIndex()}
    , now_{now}
    // A leader may still hold a lease by a response that this host sent before a restart.
    , votesBlockedUntil_{now + settings_.electionTimeoutMin}
{
    // A host that has lost its data may have voted in a term that it no longer knows. A candidate
    // counts votes of one term for at most one election timeout, so no such vote counts after this
    // wait.
    const auto drift = settings_.clockDriftPerMille;
    const auto wait =
        lengthenedByDrift(lengthenedByDrift(settings_.electionTimeoutMax, drift), drift);
    messagesIgnoredUntil_ = mayHaveLostState() ? now + wait : now;
    resetElectionTimer();
    reportedRole_ = {role_, hardState_.term, leader_};
}

RaftActions RaftNode::handle(const RaftEvent &event, Instant now)
{
    check(now >= now_, "time does not decrease");
    now_ = now;
    actions_.clear();
    std::visit([this](const auto &known) { on(known); }, event);
    reportRoleChange();
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
    const auto end = leaseExpiry();
    return end && now < *end;
}

std::optional<Instant> RaftNode::leaseExpiry() const
{
    const auto confirmed = quorumConfirmedAt();
    if (role_ != RaftRole::Leader || !confirmed) {
        return std::nullopt;
    }
    // Shortened once for the drift of this host's clock and once for that of the follower, which
    // measures the same timeout from its last contact with this leader.
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
        if (canCampaign()) {
            campaign(true, false);
        } else {
            becomeFollower(hardState_.term, {});
            resetElectionTimer();
        }
    }
}

void RaftNode::on(const raft::MessageReceived &event)
{
    if (mayHaveLostState() && now_ < messagesIgnoredUntil_) {
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
    // Limits the memory and disk space used by commands while no majority responds.
    const auto waiting = log_.bytesBetween(commitIndex_, log_.last().index);
    if (waiting > 0 && waiting + event.command.size() > settings_.snapshotBytes) {
        reject(event.proposal, ErrorKind::Refused,
               std::to_string(waiting) + " bytes of the log are not committed yet");
        return;
    }
    const auto position = appendAsLeader(LogEntryKind::Command, event.command);
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
    // A quarter of the entries stays in memory for followers with a small lag.
    log_.compact(std::move(snapshot), settings_.snapshotEntries / 4, settings_.snapshotBytes / 4);
}

void RaftNode::persistHardState()
{
    if (!actions_.empty()) {
        if (auto *persist = std::get_if<raft::Persist>(&actions_.back())) {
            persist->hardState = hardState_;
            return;
        }
    }
    actions_.emplace_back(raft::Persist{hardState_, std::nullopt, {}});
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

void RaftNode::reportRoleChange()
{
    if (reportedRole_.role == role_ && reportedRole_.term == hardState_.term
        && reportedRole_.leader == leader_) {
        return;
    }
    reportedRole_ = {role_, hardState_.term, leader_};
    actions_.emplace_back(reportedRole_);
}

} // namespace hyssoprock
