#include <algorithm>
#include <utility>

#include <hyssoprock/consensus/raft_node.hpp>
#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/message/codec.hpp>

namespace hyssoprock {

namespace {

// Timeout of a join in maximum election timeouts. A new host may need a whole snapshot over a slow
// link before it can become a voter.
constexpr int joinTimeoutFactor = 20;

} // namespace

bool RaftNode::isVoter(const std::string &host) const
{
    const auto &voters = log_.voters();
    return std::find(voters.begin(), voters.end(), host) != voters.end();
}

std::size_t RaftNode::majority() const noexcept
{
    return log_.voters().size() / 2 + 1;
}

void RaftNode::updatePeers()
{
    for (const auto &voter : log_.voters()) {
        if (voter != identity_.name && !peers_.contains(voter)) {
            peers_[voter].startFrom(log_.last().index + 1);
        }
    }
    if (log_.votersIndex() > commitIndex_) {
        return;
    }
    std::erase_if(peers_, [this](const auto &item) {
        return !isVoter(item.first) && !(join_ && join_->host == item.first);
    });
}

void RaftNode::on(const raft::ProposeVoterChange &event)
{
    if (role_ != RaftRole::Leader || transfer_) {
        reject(event.proposal, ErrorKind::NotLeader, transfer_ ? transfer_->target : leader_);
    } else if (event.host.empty()) {
        reject(event.proposal, ErrorKind::InvalidValue, "the host has no name");
    } else if (!leaderReady() || log_.votersIndex() > commitIndex_ || join_) {
        // With two uncommitted changes, majorities need not overlap. Before a leader has committed
        // an entry of its term, an earlier change may still be uncommitted.
        reject(event.proposal, ErrorKind::Refused, "another change of the voters is in progress");
    } else if (isVoter(event.host) == event.add) {
        reject(event.proposal, ErrorKind::Refused,
               event.add ? "the host is already a voter" : "the host is not a voter");
    } else if (event.add) {
        startJoin(event);
    } else if (log_.voters().size() == 1) {
        reject(event.proposal, ErrorKind::Refused, "the last voter cannot be removed");
    } else {
        auto voters = log_.voters();
        std::erase(voters, event.host);
        changeVoters(event.proposal, std::move(voters));
    }
}

void RaftNode::startJoin(const raft::ProposeVoterChange &event)
{
    join_ = PendingJoin{event.proposal, event.host, log_.last().index,
                        now_ + joinTimeoutFactor * settings_.electionTimeoutMax};
    auto &peer = peers_[event.host];
    peer.startFrom(log_.last().index + 1);
    sendAppend(event.host, peer);
}

void RaftNode::continueJoin()
{
    if (!join_) {
        return;
    }
    const auto &peer = peers_[join_->host];
    if (peer.recovering || peer.matchIndex < join_->targetIndex) {
        return;
    }
    const auto join = *std::exchange(join_, std::nullopt);
    auto voters = log_.voters();
    voters.push_back(join.host);
    changeVoters(join.proposal, std::move(voters));
}

void RaftNode::on(const raft::CancelJoin & /*event*/)
{
    if (role_ == RaftRole::Leader && join_) {
        abandonJoin();
        updatePeers();
    }
}

void RaftNode::changeVoters(std::uint64_t proposal, std::vector<std::string> voters)
{
    std::sort(voters.begin(), voters.end());
    const auto position =
        appendAsLeader(LogEntryKind::Voters, encode(VoterList{std::move(voters)}));
    actions_.emplace_back(raft::ProposalAppended{proposal, position});
    updatePeers();
    broadcast();
    advanceCommit();
}

void RaftNode::abandonJoin()
{
    if (join_) {
        reject(join_->proposal, ErrorKind::Unreachable, "the new host has not caught up");
        join_.reset();
    }
}

void RaftNode::abandonChanges()
{
    abandonJoin();
    transfer_.reset();
}

std::vector<VoterStatus> RaftNode::voterStatus() const
{
    std::vector<VoterStatus> result;
    for (const auto &voter : log_.voters()) {
        const auto found = peers_.find(voter);
        if (voter == identity_.name || found == peers_.end()) {
            result.push_back({voter, std::nullopt, false});
        } else {
            result.push_back({voter, found->second.confirmedAt, found->second.recovering});
        }
    }
    return result;
}

void RaftNode::on(const raft::TransferLeadership &event)
{
    if (role_ != RaftRole::Leader || transfer_) {
        return;
    }
    auto target = event.target;
    if (target.empty()) {
        const auto best = std::max_element(
            peers_.begin(), peers_.end(), [this](const auto &left, const auto &right) {
                const auto rank = [this](const auto &item) {
                    return isVoter(item.first) && !item.second.recovering
                               ? item.second.matchIndex + 1
                               : 0;
                };
                return rank(left) < rank(right);
            });
        target = best == peers_.end() ? std::string{} : best->first;
    }
    if (target != identity_.name && isVoter(target)) {
        transfer_ = PendingTransfer{target, now_ + settings_.electionTimeoutMin};
        continueTransfer();
    }
}

void RaftNode::continueTransfer()
{
    if (!transfer_) {
        return;
    }
    const auto &peer = peers_[transfer_->target];
    if (peer.recovering || peer.matchIndex < log_.last().index) {
        return;
    }
    // Stepping down ends the lease for the rest of the term, regardless of when the message
    // arrives.
    const auto target = transfer_->target;
    send(target, TransferRequest{identity_.name, hardState_.term});
    becomeFollower(hardState_.term, {});
}

void RaftNode::receive(const TransferRequest &request)
{
    if (request.term == hardState_.term && role_ == RaftRole::Follower && isVoter(identity_.name)
        && !hardState_.recovering && !log_.isEmpty()) {
        bootstrapping_ = false;
        campaign(false, true);
    }
}

} // namespace hyssoprock
