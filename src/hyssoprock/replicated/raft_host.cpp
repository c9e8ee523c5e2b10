#include <hyssoprock/replicated/raft_host.hpp>

#include <utility>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/daemon/log.hpp>
#include <hyssoprock/daemon/overloaded.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

// Delay before the folder is loaded again after a storage error. A full disk is often freed within
// seconds, and the other control hosts continue meanwhile.
constexpr Duration storageRetryDelay = std::chrono::seconds{1};

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
                     handleStorageFailure(restarted.error());
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
            state_.recordLoggedCommand(entry.payload);
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
    submitProposal(proposal, raft::Propose{proposal, std::move(command)}, std::move(done));
}

void RaftHost::changeVoters(const std::string &host, bool add, CompletionCallback done)
{
    const auto proposal = nextProposal_++;
    submitProposal(proposal, raft::ProposeVoterChange{proposal, host, add}, std::move(done));
}

void RaftHost::submitProposal(std::uint64_t proposal, RaftEvent event, CompletionCallback done)
{
    if (!node_) {
        if (done) {
            done(failure(ErrorKind::NotLeader, {}));
        }
        return;
    }
    if (done) {
        pendingProposals_.emplace(proposal, std::move(done));
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
    processEvents();
}

void RaftHost::processEvents()
{
    // An action may cause a new event, for example a proposal. Events are handled one at a time.
    if (std::exchange(processingEvents_, true)) {
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
    processingEvents_ = false;
    if (node_) {
        timer_.set(node_->nextDeadline());
    }
}

bool RaftHost::execute(const RaftActions &actions)
{
    for (const auto &action : actions) {
        if (const auto done = executeAction(action); done.has_error()) {
            handleStorageFailure(done.error());
            return false;
        }
    }
    return true;
}

Result<void> RaftHost::executeAction(const RaftAction &action)
{
    Result<void> result = BOOST_OUTCOME_V2_NAMESPACE::success();
    std::visit(Overloaded{
                   [&](const raft::Persist &persist) { result = storage_.execute(persist); },
                   [&](const raft::SaveSnapshot &save) { result = storage_.execute(save); },
                   [&](const raft::RestoreSnapshot &restoring) {
                       restore(restoring.snapshot);
                       failProposalsThrough(restoring.snapshot.last.index);
                   },
                   [&](const raft::SendMessage &send) { handlers_.send(send.to, send.message); },
                   [&](const raft::Apply &application) { apply(application.entry); },
                   [](const raft::RoleChanged &changed) {
                       writeLog(LogLevel::Info, LogComponent::Raft,
                                std::string{toString(changed.role)} + " in term "
                                    + std::to_string(changed.term) + ", leader "
                                    + (changed.leader.empty() ? "unknown" : changed.leader));
                   },
                   [&](const raft::ProposalAppended &appended) { recordAppended(appended); },
                   [&](const raft::ProposalRejected &rejected) {
                       if (auto found = pendingProposals_.extract(rejected.proposal)) {
                           found.mapped()(BOOST_OUTCOME_V2_NAMESPACE::failure(rejected.error));
                       }
                   },
               },
               action);
    return result;
}

void RaftHost::recordAppended(const raft::ProposalAppended &action)
{
    if (auto found = pendingProposals_.extract(action.proposal)) {
        // A waiting proposal at this index belongs to an entry of an earlier term that was
        // replaced.
        auto waiting = std::exchange(appendedProposals_[action.position.index],
                                     std::pair{action.position, std::move(found.mapped())});
        if (waiting.second) {
            waiting.second(
                failure(ErrorKind::Unreachable, "the entry was lost in a change of leader"));
        }
    }
}

void RaftHost::apply(const LogEntry &entry)
{
    if (entry.kind == LogEntryKind::Command) {
        state_.apply(entry.payload, entry.position.index);
    }
    completeProposal(entry);
}

void RaftHost::completeProposal(const LogEntry &entry)
{
    if (auto waiting = appendedProposals_.extract(entry.position.index)) {
        auto &[position, done] = waiting.mapped();
        if (position == entry.position) {
            done(BOOST_OUTCOME_V2_NAMESPACE::success());
        } else {
            done(failure(ErrorKind::Unreachable, "the entry was lost in a change of leader"));
        }
    }
}

void RaftHost::failProposalsThrough(std::uint64_t index)
{
    while (!appendedProposals_.empty() && appendedProposals_.begin()->first <= index) {
        const auto waiting = appendedProposals_.extract(appendedProposals_.begin());
        waiting.mapped().second(
            failure(ErrorKind::Unreachable,
                    "a snapshot includes the index of the entry, its outcome is unknown"));
    }
}

void RaftHost::restore(const RaftSnapshot &snapshot)
{
    // The state is empty in a snapshot of a group without commands.
    if (!snapshot.state.empty()) {
        check(state_.restoreSnapshot(snapshot.state).has_value(),
              "snapshots of the log can be decoded");
    }
}

void RaftHost::handleStorageFailure(const Error &error)
{
    writeLog(LogLevel::Error, LogComponent::Raft,
             "storage failed, this host steps down: " + std::string{toString(error.kind)} + " "
                 + error.detail);
    node_.reset();
    events_.clear();
    for (auto &[proposal, done] : std::exchange(pendingProposals_, {})) {
        done(BOOST_OUTCOME_V2_NAMESPACE::failure(error));
    }
    for (auto &[index, waiting] : std::exchange(appendedProposals_, {})) {
        // The entry may have been sent to other hosts before the error.
        waiting.second(failure(ErrorKind::Unreachable, "storage failed: " + error.detail));
    }
    reportRole();
    timer_.set(monotonicNow() + storageRetryDelay);
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
    handlers_.roleChanged(leading, reportedTerm_, leader);
}

} // namespace hyssoprock
