#include <algorithm>
#include <utility>

#include <hyssoprock/consensus/raft_node.hpp>
#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/message/codec.hpp>

namespace hyssoprock {

void RaftNode::resetElectionTimer()
{
    electionDeadline_ =
        now_ + random_.between(settings_.electionTimeoutMin, settings_.electionTimeoutMax);
}

bool RaftNode::fresh() const noexcept
{
    return hard_.term == 0 && !hard_.recovering && log_.blank();
}

bool RaftNode::mayCampaign() const
{
    if (hard_.recovering || now_ < voteBarrier_ || now_ < freshBarrier_) {
        return false;
    }
    if (isVoter(identity_.name) || log_.votersIndex() <= commitIndex_) {
        return isVoter(identity_.name);
    }
    // Until its removal is committed, a host may be the only one whose log the others need.
    const auto previous = log_.votersAt(log_.votersIndex() - 1);
    return std::find(previous.begin(), previous.end(), identity_.name) != previous.end();
}

void RaftNode::campaign(bool preVote, bool transfer)
{
    role_ = preVote ? RaftRole::PreCandidate : RaftRole::Candidate;
    leader_.clear();
    votes_.clear();
    if (preVote) {
        blankVoters_.clear();
        bootstrapping_ = false;
    } else {
        hard_ = {hard_.term + 1, identity_.name, false};
        persistHardState();
    }
    resetElectionTimer();
    if (preVote) {
        // A pre-vote changes no state and fails while other hosts, just started, still give no
        // vote, so it is repeated sooner than a vote.
        electionDeadline_ =
            now_
            + random_.between(settings_.electionTimeoutMin / 4, settings_.electionTimeoutMin / 2);
    }
    const auto term = preVote ? hard_.term + 1 : hard_.term;
    for (const auto &voter : log_.voters()) {
        if (voter != identity_.name) {
            send(voter, VoteRequest{identity_.name, term, log_.last(), preVote,
                                    !preVote && bootstrapping_, transfer});
        }
    }
    if (log_.blank()) {
        blankVoters_.insert(identity_.name);
    }
    countVote(identity_.name);
}

void RaftNode::countVote(const std::string &voter)
{
    if (!isVoter(voter)) {
        return;
    }
    votes_.insert(voter);
    if (role_ == RaftRole::Candidate) {
        if (votes_.size() >= majority()) {
            becomeLeader();
        }
        return;
    }
    // A host without entries cannot tell a new group from its own lost data. It forms a group only
    // when every voter states that it has no entries, either.
    const auto blank = log_.blank();
    const auto needed = blank ? log_.voters().size() : majority();
    if (votes_.size() >= needed && (!blank || blankVoters_.size() >= needed)) {
        bootstrapping_ = blank;
        campaign(false, false);
    }
}

bool RaftNode::grantsVote(const VoteRequest &request) const
{
    if (hard_.recovering || request.last < log_.last()) {
        return false;
    }
    if (request.preVote) {
        return request.term > hard_.term && (!fresh() || request.last.index == 0);
    }
    return request.term == hard_.term && (hard_.votedFor.empty() || hard_.votedFor == request.from);
}

void RaftNode::receive(const VoteRequest &request)
{
    const auto blank = log_.blank();
    // While a leader may count on this host for its lease, no other one may be elected.
    const auto barred =
        role_ == RaftRole::Leader ? request.preVote || leaseValid(now_) : now_ < voteBarrier_;
    if (barred && !request.transfer) {
        if (request.preVote || request.term <= hard_.term) {
            send(request.from,
                 VoteResponse{identity_.name, hard_.term, false, request.preVote, blank});
        }
        return;
    }
    if (!request.preVote && request.term > hard_.term) {
        if (fresh() && !request.bootstrap) {
            return;
        }
        becomeFollower(request.term, {});
    }
    const auto granted = grantsVote(request);
    if (granted && !request.preVote) {
        becomeFollower(hard_.term, {});
        hard_.votedFor = request.from;
        persistHardState();
        resetElectionTimer();
    }
    const auto term = granted ? request.term : hard_.term;
    send(request.from, VoteResponse{identity_.name, term, granted, request.preVote, blank});
}

void RaftNode::receive(const VoteResponse &response)
{
    // A host without data keeps term 0, as it must not pass for one that knows its votes.
    if (response.term > hard_.term && !(response.preVote && response.granted) && !fresh()) {
        becomeFollower(response.term, {});
        return;
    }
    if (!response.granted) {
        return;
    }
    if (role_ == RaftRole::PreCandidate && response.preVote && response.term == hard_.term + 1) {
        if (response.blank) {
            blankVoters_.insert(response.from);
        }
        countVote(response.from);
    } else if (role_ == RaftRole::Candidate && !response.preVote && response.term == hard_.term) {
        countVote(response.from);
    }
}

void RaftNode::becomeFollower(std::uint64_t term, const std::string &leader)
{
    if (term > hard_.term) {
        hard_.term = term;
        hard_.votedFor.clear();
        persistHardState();
    }
    if (role_ == RaftRole::Leader) {
        abandonChanges();
        peers_.clear();
    }
    if (role_ != RaftRole::Follower) {
        resetElectionTimer();
    }
    role_ = RaftRole::Follower;
    leader_ = leader;
}

void RaftNode::becomeLeader()
{
    role_ = RaftRole::Leader;
    leader_ = identity_.name;
    leaderSince_ = now_;
    nextHeartbeat_ = now_ + settings_.heartbeat;
    peers_.clear();
    syncPeers();
    // The first leader writes the voters into the log: from then on the log names them, not the
    // settings, which may differ between hosts.
    const auto named = log_.votersIndex() > 0;
    termStartIndex_ = appendOwn(named ? LogEntryKind::Empty : LogEntryKind::Voters,
                                named ? std::string{} : encode(VoterList{log_.voters()}))
                          .index;
    broadcast();
    advanceCommit();
}

} // namespace hyssoprock
