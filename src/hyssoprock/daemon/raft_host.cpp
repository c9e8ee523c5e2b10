#include <hyssoprock/daemon/raft_host.hpp>

#include <algorithm>
#include <utility>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/daemon/log.hpp>
#include <hyssoprock/daemon/overloaded.hpp>
#include <hyssoprock/message/codec.hpp>
#include <hyssoprock/settings/address.hpp>
#include <hyssoprock/storage/posix_file_system.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

// A full disk is often freed within seconds; the other control hosts carry on meanwhile.
constexpr Duration storageRetry = std::chrono::seconds{1};

std::vector<std::string> initialVoters(const Settings &settings)
{
    std::vector<std::string> names;
    for (const auto &host : settings.control.hosts) {
        names.push_back(parseNamedAddress(host).value().name);
    }
    std::sort(names.begin(), names.end());
    return names;
}

} // namespace

RaftHost::RaftHost(boost::asio::io_context &context, const Settings &settings, std::uint64_t seed)
    : context_{context}
    , settings_{settings}
    , random_{seed}
    , files_{std::make_unique<PosixFileSystem>()}
    , storage_{*files_, settings.host.dataFolder + "/raft"}
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
    catalog_ = Catalog{};
    if (restored.value().snapshot) {
        restore(*restored.value().snapshot);
    }
    node_ = std::make_unique<RaftNode>(RaftIdentity{settings_.host.name, initialVoters(settings_)},
                                       settings_.raft, restored.value(), random_.next(),
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

void RaftHost::propose(const CatalogCommand &command)
{
    handle(raft::Propose{nextProposal_++, encode(command)});
}

void RaftHost::changeVoters(const std::string &host, bool add, VotersChanged done)
{
    const auto proposal = nextProposal_++;
    voterChanges_.emplace(proposal, std::move(done));
    handle(raft::ProposeVotersChange{proposal, host, add});
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
                raft::SnapshotTaken{node_->lastApplied(), catalog_.encodeSnapshot()});
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
                   [&](const raft::RestoreSnapshot &restoring) { restore(restoring.snapshot); },
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
                       if (auto found = voterChanges_.extract(rejected.proposal)) {
                           found.mapped()(BOOST_OUTCOME_V2_NAMESPACE::failure(rejected.error));
                       }
                   },
               },
               action);
    return result;
}

void RaftHost::settle(const raft::ProposalAppended &action)
{
    if (auto found = voterChanges_.extract(action.proposal)) {
        appendedChanges_[action.position.index] = {action.position, std::move(found.mapped())};
    }
}

void RaftHost::apply(const LogEntry &entry)
{
    if (auto waiting = appendedChanges_.extract(entry.position.index)) {
        auto &[position, done] = waiting.mapped();
        if (position == entry.position) {
            done(BOOST_OUTCOME_V2_NAMESPACE::success());
        } else {
            done(failure(ErrorKind::Unreachable, "the change was lost with the leader"));
        }
    }
    if (entry.kind != LogEntryKind::Command) {
        return;
    }
    const auto command = decode<CatalogCommand>(entry.payload);
    check(command.has_value(), "a committed command can be decoded");
    const auto result = catalog_.apply(command.value(), entry.position.index);
    handlers_.applied(command.value(), result);
}

void RaftHost::restore(const RaftSnapshot &snapshot)
{
    // The snapshot of a group without any command has an empty state.
    if (!snapshot.state.empty()) {
        check(catalog_.restoreSnapshot(snapshot.state).has_value(), "a snapshot can be decoded");
    }
}

void RaftHost::storageFailed(const Error &error)
{
    writeLog(LogLevel::Error, LogComponent::Raft,
             "storage failed, this host steps down: " + std::string{toString(error.kind)} + " "
                 + error.detail);
    node_.reset();
    events_.clear();
    for (auto &[proposal, done] : std::exchange(voterChanges_, {})) {
        done(BOOST_OUTCOME_V2_NAMESPACE::failure(error));
    }
    appendedChanges_.clear();
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
