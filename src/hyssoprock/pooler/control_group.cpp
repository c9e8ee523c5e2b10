#include <hyssoprock/pooler/control_group.hpp>

#include <algorithm>
#include <utility>

#include <boost/outcome/try.hpp>

#include <hyssoprock/daemon/log.hpp>
#include <hyssoprock/replicated/raft_frames.hpp>
#include <hyssoprock/storage/durable_value.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

// A follower without contact to a leader for this long may be missing newer entries.
constexpr Duration leaderContactTimeout = std::chrono::seconds{1};

} // namespace

ControlGroup::ControlGroup(boost::asio::io_context &context, ControlNodeSettings settings,
                           ControlPeers &peers, std::uint64_t seed,
                           std::shared_ptr<FileSystem> files)
    : context_{context}
    , settings_{std::move(settings)}
    , peers_{peers}
    , seed_{seed}
    , files_{std::move(files)}
    , membership_{
          {settings_.name, settings_.seeds, settings_.bootstrap, settings_.failuresTolerated}}
{}

Result<std::vector<std::string>> ControlGroup::loadInitialVoters() const
{
    // The list is stored on disk. The bootstrap flag is set only for the first start, so after a
    // power loss during that start a host that has already voted could not otherwise learn the
    // initial voters again.
    BOOST_OUTCOME_TRYV(files_->createFolder(settings_.dataFolder));
    DurableValue value{*files_, settings_.dataFolder, "founders"};
    BOOST_OUTCOME_TRY(const auto stored, value.load());
    if (stored) {
        BOOST_OUTCOME_TRY(auto list, decode<VoterList>(*stored));
        return std::move(list.voters);
    }
    auto voters = initialVoters({settings_.name, settings_.seeds, settings_.bootstrap, 0});
    if (!voters.empty()) {
        BOOST_OUTCOME_TRYV(value.store(encode(VoterList{voters})));
    }
    return voters;
}

Result<void> ControlGroup::start(std::function<void(bool leading)> onLeadershipChanged)
{
    BOOST_OUTCOME_TRY(auto voters, loadInitialVoters());
    const auto founder = std::find(voters.begin(), voters.end(), settings_.name) != voters.end();
    raft_ = std::make_unique<RaftHost>(
        context_, RaftIdentity{settings_.name, std::move(voters), founder}, settings_.raft,
        settings_.dataFolder + "/raft", replica_, seed_, files_);
    RaftHost::Handlers handlers;
    handlers.send = [this](const std::string &to, const RaftMessage &message) {
        std::visit([&](const auto &body) { peers_.send(to, body); }, message);
    };
    handlers.roleChanged = [this, onLeadershipChanged = std::move(onLeadershipChanged)](
                               bool leading, std::uint64_t /*term*/,
                               const std::string & /*leader*/) {
        if (leading != leading_) {
            leading_ = leading;
            onLeadershipChanged(leading);
        }
    };
    return raft_->start(std::move(handlers));
}

void ControlGroup::stop()
{
    stopping_ = true;
    raft_->transferLeadership();
}

void ControlGroup::tick(Instant now)
{
    ControlGroupStatus view;
    if (const auto *node = raft_->node()) {
        view.leading = isLeader();
        view.term = node->term();
        view.leader = node->leader();
        view.leaderSeenAt = leaderContactAt_;
        view.voters = node->voterStatus();
    }
    const auto actions = membership_.tick(view, now);
    if (stopping_) {
        return;
    }
    for (const auto &host : actions.joinRequestTargets) {
        peers_.send(host, JoinRequest{settings_.name});
    }
    if (actions.cancelJoin) {
        raft_->cancelJoin();
    }
    if (actions.voterToAdd) {
        changeVoters(*actions.voterToAdd, true);
    } else if (actions.voterToRemove) {
        changeVoters(*actions.voterToRemove, false);
    }
}

void ControlGroup::changeVoters(const std::string &host, bool add)
{
    writeLog(LogLevel::Info, LogComponent::Raft,
             (add ? "adding voter " : "removing voter ") + host);
    peers_.open(host, monotonicNow());
    raft_->changeVoters(host, add, [this, host](const Result<void> &result) {
        if (result.has_error()) {
            writeLog(LogLevel::Warning, LogComponent::Raft,
                     "the change of voter " + host + " failed: " + result.error().detail);
        }
        membership_.handleChangeResult(result.has_value());
    });
}

Result<bool> ControlGroup::receive(const std::string &from, const Frame &frame)
{
    const auto now = monotonicNow();
    BOOST_OUTCOME_TRY(auto message, parseRaftMessage(frame));
    if (message) {
        if (senderOf(*message) != from) {
            return failure(ErrorKind::ProtocolViolation,
                           "the message's sender differs from the handshake");
        }
        handleRaftMessage(std::move(*message));
        return true;
    }
    if (holds<JoinRequest>(frame)) {
        BOOST_OUTCOME_TRY(const auto request, decodeMessage<JoinRequest>(frame));
        if (const auto to = membership_.handle(request, from, leader(), now)) {
            peers_.send(*to, request);
        }
        return true;
    }
    if (holds<LeaveRequest>(frame)) {
        BOOST_OUTCOME_TRY(const auto request, decodeMessage<LeaveRequest>(frame));
        if (request.host != from) {
            return failure(ErrorKind::ProtocolViolation,
                           "the request's host differs from the handshake");
        }
        membership_.handle(request, now);
        return true;
    }
    return false;
}

void ControlGroup::handleRaftMessage(RaftMessage message)
{
    const auto from = senderOf(message);
    const auto *append = std::get_if<AppendRequest>(&message);
    const auto commit = append != nullptr ? append->commitIndex : 0;
    const auto leading = append != nullptr || std::holds_alternative<SnapshotRequest>(message);
    raft_->receive(std::move(message));
    const auto *node = raft_->node();
    if (leading && node != nullptr && node->leader() == from) {
        leaderContactAt_ = monotonicNow();
        leaderCommitIndex_ = append != nullptr ? commit : leaderCommitIndex_;
    }
}

bool ControlGroup::isCaughtUp(Instant now) const
{
    const auto *node = raft_->node();
    if (node == nullptr) {
        return false;
    }
    return isLeader()
           || (!node->leader().empty() && leaderContactAt_
               && now - *leaderContactAt_ <= leaderContactTimeout
               && node->commitIndex() >= leaderCommitIndex_ && node->termCommitted());
}

VoterView ControlGroup::voterView(Instant now) const
{
    VoterView view;
    const auto *node = raft_ ? raft_->node() : nullptr;
    if (node == nullptr || node->recovering()) {
        return view;
    }
    const auto &voters = node->voters();
    view.voter = std::find(voters.begin(), voters.end(), settings_.name) != voters.end();
    view.voters = static_cast<std::uint32_t>(voters.size());
    if (isLeader()) {
        view.leaderContactAt = now;
    } else if (isCaughtUp(now)) {
        view.leaderContactAt = leaderContactAt_;
    }
    return view;
}

bool ControlGroup::isLeader() const
{
    const auto *node = raft_ ? raft_->node() : nullptr;
    return node != nullptr && node->leaderReady() && raft_->leaseValid();
}

std::string ControlGroup::leader() const
{
    const auto *node = raft_ ? raft_->node() : nullptr;
    return node != nullptr ? node->leader() : std::string{};
}

void ControlGroup::propose(const ControlCommand &command, ProposeCallback completed)
{
    raft_->propose(encode(command),
                   [this, completed = std::move(completed)](const Result<void> &result) {
                       if (!completed) {
                           return;
                       }
                       if (result.has_error()) {
                           completed(result.as_failure());
                       } else {
                           completed(replica_.lastResult());
                       }
                   });
}

std::vector<std::string> ControlGroup::voters() const
{
    return raft_ ? raft_->voters() : std::vector<std::string>{};
}

} // namespace hyssoprock
