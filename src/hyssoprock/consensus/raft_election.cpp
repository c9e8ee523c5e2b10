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

bool RaftNode::mayHaveLostState() const noexcept
{
    return !identity_.founder && hardState_.term == 0 && !hardState_.recovering && log_.isEmpty();
}

bool RaftNode::canCampaign() const
{
    if (hardState_.recovering || now_ < votesBlockedUntil_ || now_ < messagesIgnoredUntil_) {
        return false;
    }
    if (isVoter(identity_.name) || log_.votersIndex() <= commitIndex_) {
        return isVoter(identity_.name);
    }
    // Until its removal is committed, a host may be the only one that can be elected, because its
    // log is longer than those of the others.
    const auto previous = log_.votersAt(log_.votersIndex() - 1);
    return std::find(previous.begin(), previous.end(), identity_.name) != previous.end();
}

void RaftNode::campaign(bool preVote, bool transfer)
{
    role_ = preVote ? RaftRole::PreCandidate : RaftRole::Candidate;
    leader_.clear();
    votes_.clear();
    if (preVote) {
        emptyLogVoters_.clear();
        bootstrapping_ = false;
        grantPreVote(identity_.name);
    } else {
        hardState_ = {hardState_.term + 1, identity_.name, false};
        persistHardState();
    }
    resetElectionTimer();
    if (preVote) {
        // A pre-vote changes no state, and it fails while recently started hosts do not grant
        // votes, so it is repeated sooner than a vote.
        electionDeadline_ =
            now_
            + random_.between(settings_.electionTimeoutMin / 4, settings_.electionTimeoutMin / 2);
    }
    const auto term = preVote ? hardState_.term + 1 : hardState_.term;
    for (const auto &voter : log_.voters()) {
        if (voter != identity_.name) {
            send(voter, VoteRequest{identity_.name, term, log_.last(), preVote,
                                    !preVote && bootstrapping_, transfer});
        }
    }
    if (log_.isEmpty()) {
        emptyLogVoters_.insert(identity_.name);
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
    // A host without entries cannot distinguish a new group from the loss of its own data. It forms
    // a group only if every voter reports an empty log. A founder needs no more than a majority:
    // only founders and hosts with state vote for it, so that a committed entry is known to one of
    // them.
    const auto blank = log_.isEmpty() && !identity_.founder;
    const auto needed = blank ? log_.voters().size() : majority();
    if (votes_.size() >= needed && (!blank || emptyLogVoters_.size() >= needed)) {
        bootstrapping_ = blank;
        campaign(false, false);
    }
}

void RaftNode::grantPreVote(const std::string &candidate)
{
    // Two hosts that pass the pre-vote in the same round trip would split the votes, and the next
    // attempt waits for an election timeout. The time ends before a pre-vote is repeated.
    preVoteGrantedTo_ = candidate;
    preVoteGrantedUntil_ = now_ + settings_.electionTimeoutMin / 5;
}

bool RaftNode::shouldGrantVote(const VoteRequest &request) const
{
    if (hardState_.recovering || request.last < log_.last()) {
        return false;
    }
    if (request.preVote) {
        // A host with an older log cannot win against the sender, so it does not hold the vote
        // back.
        const auto yields = preVoteGrantedTo_ == identity_.name && log_.last() < request.last;
        const auto grantedToOther =
            now_ < preVoteGrantedUntil_ && preVoteGrantedTo_ != request.from && !yields;
        return !grantedToOther && request.term > hardState_.term
               && (!mayHaveLostState() || (request.last.index == 0 && isVoter(identity_.name)));
    }
    return request.term == hardState_.term
           && (hardState_.votedFor.empty() || hardState_.votedFor == request.from);
}

void RaftNode::receive(const VoteRequest &request)
{
    const auto blank = log_.isEmpty();
    // No other leader may be elected while the lease of a leader may rely on this host.
    const auto blocked =
        role_ == RaftRole::Leader ? request.preVote || leaseValid(now_) : now_ < votesBlockedUntil_;
    if (blocked && !request.transfer) {
        if (request.preVote || request.term <= hardState_.term) {
            send(request.from,
                 VoteResponse{identity_.name, hardState_.term, false, request.preVote, blank});
        }
        return;
    }
    if (!request.preVote && request.term > hardState_.term) {
        if (mayHaveLostState() && !request.bootstrap) {
            return;
        }
        becomeFollower(request.term, {});
    }
    const auto granted = shouldGrantVote(request);
    if (granted && !request.preVote) {
        becomeFollower(hardState_.term, {});
        hardState_.votedFor = request.from;
        persistHardState();
        resetElectionTimer();
    }
    if (granted && request.preVote) {
        grantPreVote(request.from);
    }
    const auto term = granted ? request.term : hardState_.term;
    send(request.from, VoteResponse{identity_.name, term, granted, request.preVote, blank});
}

void RaftNode::receive(const VoteResponse &response)
{
    // A host without data keeps term 0, because it must not be treated as one that knows its votes.
    if (response.term > hardState_.term && !(response.preVote && response.granted)
        && !mayHaveLostState()) {
        becomeFollower(response.term, {});
        return;
    }
    if (!response.granted) {
        return;
    }
    if (role_ == RaftRole::PreCandidate && response.preVote
        && response.term == hardState_.term + 1) {
        if (response.blank) {
            emptyLogVoters_.insert(response.from);
        }
        countVote(response.from);
    } else if (role_ == RaftRole::Candidate && !response.preVote
               && response.term == hardState_.term) {
        countVote(response.from);
    }
}

void RaftNode::becomeFollower(std::uint64_t term, const std::string &leader)
{
    if (term > hardState_.term) {
        hardState_.term = term;
        hardState_.votedFor.clear();
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
    updatePeers();
    // The first leader writes the voters to the log. From then on they are taken from the log
    // instead of the settings, which may differ between hosts.
    const auto named = log_.votersIndex() > 0;
    termStartIndex_ = appendAsLeader(named ? LogEntryKind::Empty : LogEntryKind::Voters,
                                     named ? std::string{} : encode(VoterList{log_.voters()}))
                          .index;
    broadcast();
    advanceCommit();
}

} // namespace hyssoprock
