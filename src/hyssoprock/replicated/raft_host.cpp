#include <hyssoprock/replicated/raft_host.hpp>

#include <utility>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/daemon/log.hpp>
#include <hyssoprock/daemon/overloaded.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

// A full disk is often freed within seconds; the other control hosts carry on meanwhile.
constexpr Duration storageRetry = std::chrono::seconds{1};

} // namespace

RaftHost::RaftHost(boost::asio::io_context &context, RaftIdentity identity,
                   const RaftSettings &settings, const std::string &folder, ReplicatedState &state,
                   std::uint64_t seed, std::shared_ptr<FileSystem> files)
    : identity_{std::move(identity)}
    , settings_{settings}
    , state_{state}
    , random_{seed}
    , files_{std::move(files)}
    , storage_{*files_, folder}
    , timer_{context, [this]() {
                 if (node_) {
                     handle(raft::Tick{});
                 } else if (const auto restarted = restart(); restarted.has_error()) {
                     storageFailed(restarted.error());
                 }
             }}
{}

RaftHost::~RaftHost() = default;

Result<void> RaftHost::start(Handlers handlers)
{
    handlers_ = std::move(handlers);
    return restart();
}

Result<void> RaftHost::restart()
{
    const auto restored = storage_.load();
    if (restored.has_error()) {
        return restored.as_failure();
    }
    state_.reset();
    if (restored.value().snapshot) {
        restore(*restored.value().snapshot);
    }
    for (const auto &entry : restored.value().entries) {
        if (entry.kind == LogEntryKind::Command) {
            state_.noteLogged(entry.payload);
        }
    }
    node_ = std::make_unique<RaftNode>(identity_, settings_, restored.value(), random_.next(),
                                       monotonicNow());
    writeLog(LogLevel::Info, LogComponent::Raft,
             "restored term " + std::to_string(node_->term()) + " and log up to "
                 + toString(node_->lastPosition()));
    timer_.set(node_->nextDeadline());
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void RaftHost::receive(RaftMessage message)
{
    handle(raft::MessageReceived{std::move(message)});
}

void RaftHost::propose(std::string command, CompletionCallback done)
{
    const auto proposal = nextProposal_++;
    enqueue(proposal, raft::Propose{proposal, std::move(command)}, std::move(done));
}

void RaftHost::changeVoters(const std::string &host, bool add, CompletionCallback done)
{
    const auto proposal = nextProposal_++;
    enqueue(proposal, raft::ProposeVoterChange{proposal, host, add}, std::move(done));
}

void RaftHost::enqueue(std::uint64_t proposal, RaftEvent event, CompletionCallback done)
{
    if (!node_) {
        if (done) {
            done(failure(ErrorKind::NotLeader, {}));
        }
        return;
    }
    if (done) {
        proposed_.emplace(proposal, std::move(done));
    }
    handle(std::move(event));
}

void RaftHost::transferLeadership()
{
    if (isLeader()) {
        handle(raft::TransferLeadership{});
    }
}

bool RaftHost::leaseValid() const
{
    return node_ && node_->leaseValid(monotonicNow());
}

std::vector<std::string> RaftHost::voters() const
{
    return node_ ? node_->voters() : std::vector<std::string>{};
}

void RaftHost::handle(RaftEvent event)
{
    if (!node_) {
        return;
    }
    events_.push_back(std::move(event));
    drain();
}

void RaftHost::drain()
{
    // An action may lead to a new event, for example a proposal; events are handled one by one.
    if (std::exchange(draining_, true)) {
        return;
    }
    while (!events_.empty() && node_) {
        const auto event = std::move(events_.front());
        events_.pop_front();
        if (!execute(node_->handle(event, monotonicNow()))) {
            break;
        }
        if (node_->snapshotDue()) {
            events_.emplace_back(
                raft::SnapshotTaken{node_->lastApplied(), state_.encodeSnapshot()});
        }
        reportRole();
    }
    draining_ = false;
    if (node_) {
        timer_.set(node_->nextDeadline());
    }
}

bool RaftHost::execute(const RaftActions &actions)
{
    for (const auto &action : actions) {
        if (const auto done = carryOut(action); done.has_error()) {
            storageFailed(done.error());
            return false;
        }
    }
    return true;
}

Result<void> RaftHost::carryOut(const RaftAction &action)
{
    Result<void> result = BOOST_OUTCOME_V2_NAMESPACE::success();
    std::visit(Overloaded{
                   [&](const raft::Persist &persist) { result = storage_.execute(persist); },
                   [&](const raft::SaveSnapshot &save) { result = storage_.execute(save); },
                   [&](const raft::RestoreSnapshot &restoring) {
                       restore(restoring.snapshot);
                       failThrough(restoring.snapshot.last.index);
                   },
                   [&](const raft::SendMessage &send) { handlers_.send(send.to, send.message); },
                   [&](const raft::Apply &applying) { apply(applying.entry); },
                   [](const raft::RoleChanged &changed) {
                       writeLog(LogLevel::Info, LogComponent::Raft,
                                std::string{toString(changed.role)} + " in term "
                                    + std::to_string(changed.term) + ", leader "
                                    + (changed.leader.empty() ? "unknown" : changed.leader));
                   },
                   [&](const raft::ProposalAppended &appended) { settle(appended); },
                   [&](const raft::ProposalRejected &rejected) {
                       if (auto found = proposed_.extract(rejected.proposal)) {
                           found.mapped()(BOOST_OUTCOME_V2_NAMESPACE::failure(rejected.error));
                       }
                   },
               },
               action);
    return result;
}

void RaftHost::settle(const raft::ProposalAppended &action)
{
    if (auto found = proposed_.extract(action.proposal)) {
        // An entry of an earlier term at this index was replaced by the new one.
        auto waiting = std::exchange(appended_[action.position.index],
                                     std::pair{action.position, std::move(found.mapped())});
        if (waiting.second) {
            waiting.second(failure(ErrorKind::Unreachable, "the entry was lost with the leader"));
        }
    }
}

void RaftHost::apply(const LogEntry &entry)
{
    if (entry.kind == LogEntryKind::Command) {
        state_.apply(entry.payload, entry.position.index);
    }
    complete(entry);
}

void RaftHost::complete(const LogEntry &entry)
{
    if (auto waiting = appended_.extract(entry.position.index)) {
        auto &[position, done] = waiting.mapped();
        if (position == entry.position) {
            done(BOOST_OUTCOME_V2_NAMESPACE::success());
        } else {
            done(failure(ErrorKind::Unreachable, "the entry was lost with the leader"));
        }
    }
}

void RaftHost::failThrough(std::uint64_t index)
{
    while (!appended_.empty() && appended_.begin()->first <= index) {
        const auto waiting = appended_.extract(appended_.begin());
        waiting.mapped().second(
            failure(ErrorKind::Unreachable, "a snapshot covers the entry, its outcome is unknown"));
    }
}

void RaftHost::restore(const RaftSnapshot &snapshot)
{
    // The snapshot of a group without any command has an empty state.
    if (!snapshot.state.empty()) {
        check(state_.restoreSnapshot(snapshot.state).has_value(), "a snapshot can be decoded");
    }
}

void RaftHost::storageFailed(const Error &error)
{
    writeLog(LogLevel::Error, LogComponent::Raft,
             "storage failed, this host steps down: " + std::string{toString(error.kind)} + " "
                 + error.detail);
    node_.reset();
    events_.clear();
    for (auto &[proposal, done] : std::exchange(proposed_, {})) {
        done(BOOST_OUTCOME_V2_NAMESPACE::failure(error));
    }
    for (auto &[index, waiting] : std::exchange(appended_, {})) {
        // The entry may have reached other hosts before the error.
        waiting.second(failure(ErrorKind::Unreachable, "storage failed: " + error.detail));
    }
    reportRole();
    timer_.set(monotonicNow() + storageRetry);
}

void RaftHost::reportRole()
{
    const bool leading = node_ && node_->role() == RaftRole::Leader && node_->leaderReady();
    const auto leader = node_ ? node_->leader() : std::string{};
    if (leading == reportedLeading_ && term() == reportedTerm_ && leader == reportedLeader_) {
        return;
    }
    reportedLeading_ = leading;
    reportedTerm_ = term();
    reportedLeader_ = leader;
    handlers_.role(leading, reportedTerm_, leader);
}

} // namespace hyssoprock
