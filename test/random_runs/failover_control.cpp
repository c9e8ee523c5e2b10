#include "failover_control.hpp"

#include <algorithm>

#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock::random_runs::failover {

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t driftPerMille = 10;
constexpr Duration heartbeatInterval = 100ms;
constexpr Duration electionTimeoutMin = 500ms;
constexpr Duration electionTimeoutMax = 1000ms;

constexpr std::uint64_t reservedConnections = 6;

} // namespace

FakeControlGroup::FakeControlGroup(World &world, std::vector<std::size_t> nodes,
                                   std::vector<std::size_t> entryNodes, EndpointFinder find,
                                   History &history, LeaseSettings settings)
    : world_{world}
    , hosts_(nodes.size())
    , entryNodes_{std::move(entryNodes)}
    , find_{std::move(find)}
    , history_{history}
    , settings_{settings}
{
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        hosts_[i].node = nodes[i];
        hosts_[i].heard = clock(hosts_[i]);
        hosts_[i].timeout = world_.random.between(electionTimeoutMin, electionTimeoutMax);
        startCoordinator(hosts_[i]);
    }
    world_.every(5ms, [this] { tick(); });
    world_.every(300ms, [this] {
        for (std::size_t i = 0; i < changes_.size(); ++i) {
            if (!changes_[i].done && leader_) {
                operatorRequests_[++lastRequest_] = i;
                changes_[i].change.baseRevision = truth_.configuration().revision;
                OperatorRequest request;
                request.change = changes_[i].change;
                // A change of the base makes it another change, which needs another id.
                request.change->changeId += "-" + std::to_string(changes_[i].change.baseRevision);
                feed(*leader_, OperatorRequestReceived{lastRequest_, request});
            }
        }
    });
}

void FakeControlGroup::startCoordinator(Host &host)
{
    const auto &node = world_.nodes[host.node];
    host.coordinator = std::make_unique<Coordinator>(
        CoordinatorSettings{node.name, node.dataCentre, settings_, driftPerMille}, host.catalog,
        BudgetAllocator{reservedConnections});
}

bool FakeControlGroup::idle() const noexcept
{
    return std::all_of(changes_.begin(), changes_.end(),
                       [](const OpenChange &change) { return change.done; });
}

void FakeControlGroup::submit(decltype(OperatorChange::change) change)
{
    OperatorChange body;
    body.changeId = "change-" + std::to_string(changes_.size());
    body.operatorName = "operator";
    body.change = std::move(change);
    changes_.push_back({std::move(body), false});
}

bool FakeControlGroup::reachesMajority(const Host &host) const
{
    const auto reached = std::count_if(hosts_.begin(), hosts_.end(), [&](const Host &other) {
        return world_.reachable(host.node, other.node);
    });
    return static_cast<std::size_t>(reached) > hosts_.size() / 2;
}

void FakeControlGroup::tick()
{
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        auto &host = hosts_[i];
        if (!world_.nodes[host.node].alive) {
            continue;
        }
        if (host.epoch == 0) {
            tryElection(i);
            continue;
        }
        if (world_.time() >= host.nextHeartbeat) {
            heartbeat(host);
        }
        if (host.epoch != 0) {
            if (const auto due = host.coordinator->nextDeadline(); due && *due <= clock(host)) {
                feed(i, CoordinatorTick{});
            }
        }
    }
    checkOneLease();
}

void FakeControlGroup::checkOneLease() const
{
    const auto valid = std::count_if(hosts_.begin(), hosts_.end(), [&](const Host &host) {
        return world_.nodes[host.node].alive && host.epoch != 0 && leaseValid(host);
    });
    check(valid <= 1, "at most one control host has a leader lease");
}

void FakeControlGroup::heartbeat(Host &host)
{
    host.nextHeartbeat = world_.time() + heartbeatInterval;
    std::size_t heard = 0;
    for (auto &other : hosts_) {
        const bool lost = &other != &host && world_.random.chance(world_.dropPercent);
        if (lost || !world_.reachable(host.node, other.node)) {
            continue;
        }
        if (host.epoch < epoch_ && other.heard > Instant{} && &other != &host) {
            stepDown(host); // the other host has followed a later leader
            return;
        }
        other.heard = clock(other);
        ++heard;
        const auto &name = world_.nodes[host.node].name;
        if (&other != &host && other.epoch == 0 && other.knownLeader != name) {
            other.knownLeader = name;
            feed(static_cast<std::size_t>(&other - hosts_.data()), LeadershipLost{name});
        }
    }
    if (heard > hosts_.size() / 2) {
        host.lastMajority = clock(host);
        host.leaseEnd = clock(host) + shortenedByDrift(electionTimeoutMin, driftPerMille);
    } else if (clock(host) - host.lastMajority > electionTimeoutMax) {
        stepDown(host);
    }
}

void FakeControlGroup::stepDown(Host &host)
{
    const auto index = static_cast<std::size_t>(&host - hosts_.data());
    host.epoch = 0;
    host.leaseEnd = {};
    host.heard = clock(host);
    if (leader_ == index) {
        leader_.reset();
    }
    feed(index, LeadershipLost{leader_ ? world_.nodes[hosts_[*leader_].node].name : ""});
    ++world_.report.events["leader stepped down"];
}

void FakeControlGroup::tryElection(std::size_t control)
{
    auto &candidate = hosts_[control];
    if (clock(candidate) - candidate.heard < candidate.timeout) {
        return;
    }
    std::size_t votes = 0;
    for (const auto &voter : hosts_) {
        votes += world_.reachable(candidate.node, voter.node)
                         && clock(voter) - voter.heard >= electionTimeoutMin
                     ? 1
                     : 0;
    }
    candidate.timeout = world_.random.between(electionTimeoutMin, electionTimeoutMax);
    if (votes <= hosts_.size() / 2) {
        return;
    }
    candidate.epoch = ++epoch_;
    candidate.knownLeader.clear();
    leader_ = control;
    ++world_.report.events["control leader elected"];
    candidate.lastMajority = clock(candidate);
    catchUp(candidate);
    heartbeat(candidate);
    feed(control, LeadershipGained{candidate.epoch});
}

void FakeControlGroup::catchUp(Host &host)
{
    while (host.catalog.appliedIndex() < log_.size()) {
        const auto index = host.catalog.appliedIndex();
        host.catalog.apply(log_[index], index + 1);
    }
    check(host.catalog.encodeSnapshot() == truth_.encodeSnapshot(),
          "the same commands give the same catalogue");
}

void FakeControlGroup::crash(std::size_t control)
{
    auto &host = hosts_[control];
    host.snapshot = host.catalog.encodeSnapshot();
    host.epoch = 0;
    host.leaseEnd = {};
    host.coordinator.reset();
    world_.nodes[host.node].alive = false;
    if (leader_ == control) {
        leader_.reset();
    }
}

void FakeControlGroup::restart(std::size_t control)
{
    auto &host = hosts_[control];
    host.catalog = Catalog{};
    check(host.catalog.restoreSnapshot(host.snapshot).has_value(), "a snapshot can be restored");
    startCoordinator(host);
    host.knownLeader.clear();
    host.heard = clock(host);
    auto &node = world_.nodes[host.node];
    node.alive = true;
    ++node.incarnation;
}

void FakeControlGroup::feed(std::size_t control, const CoordinatorEvent &event)
{
    auto &host = hosts_[control];
    for (const auto &action : host.coordinator->handle(event, clock(host), leaseValid(host))) {
        perform(control, action);
    }
}

void FakeControlGroup::perform(std::size_t control, const CoordinatorAction &action)
{
    if (const auto *command = std::get_if<ProposeCommand>(&action)) {
        propose(control, command->command);
    } else if (const auto *call = std::get_if<CallEndpoint>(&action)) {
        callEndpoint(control, *call);
    } else if (const auto *renew = std::get_if<SendRenewResponse>(&action)) {
        answerEntryHost(control, *renew);
    } else if (const auto *view = std::get_if<PushView>(&action)) {
        push(control, view->message);
    } else if (const auto *report = std::get_if<ReportFailover>(&action)) {
        reports.push_back(report->report);
    } else if (const auto *answer = std::get_if<SendOperatorResponse>(&action)) {
        auto &change = changes_[operatorRequests_[answer->request]];
        const auto kind = answer->message.kind;
        change.done =
            change.done || (kind != ErrorKind::NotLeader && kind != ErrorKind::RevisionConflict);
    }
}

void FakeControlGroup::propose(std::size_t control, const CatalogCommand &command)
{
    lastCommit_ = std::max(lastCommit_, world_.time() + world_.random.between(6ms, 15ms));
    world_.after(lastCommit_ - world_.time(), [this, control, epoch = hosts_[control].epoch,
                                               command] { commit(control, epoch, command); });
}

void FakeControlGroup::commit(std::size_t control, std::uint64_t epoch,
                              const CatalogCommand &command)
{
    auto &host = hosts_[control];
    if (epoch == 0 || epoch != epoch_ || host.epoch != epoch || !reachesMajority(host)
        || world_.random.chance(world_.dropPercent)) {
        ++world_.report.faults["lost proposal"];
        return;
    }
    log_.push_back(command);
    const auto result = truth_.apply(command, log_.size());
    if (const auto *activate = std::get_if<ActivatePrimary>(&command.body);
        activate != nullptr && result.answer.kind == ErrorKind::None) {
        const auto &primary = truth_.findGroup(activate->group)->view.primary;
        history_.activated(activate->group, activate->term, *find_(primary));
        ++world_.report.events["primary activated"];
    }
    if (result.answer.kind == ErrorKind::None) {
        countCommand(command);
    }
    catchUp(host);
    feed(control, CommandCommitted{command, result});
}

void FakeControlGroup::countCommand(const CatalogCommand &command)
{
    auto &events = world_.report.events;
    if (const auto *voter = std::get_if<SetVoter>(&command.body)) {
        ++events[voter->voter ? "voter added" : "voter removed"];
    } else if (std::holds_alternative<BeginHandover>(command.body)) {
        ++events["handover begun"];
    } else if (std::holds_alternative<CancelHandover>(command.body)) {
        ++events["handover called off"];
    } else if (std::holds_alternative<MarkStopped>(command.body)) {
        ++events["endpoint stopped"];
    } else if (std::holds_alternative<BeginTerm>(command.body)) {
        ++events["term begun"];
    }
}

void FakeControlGroup::callEndpoint(std::size_t control, const CallEndpoint &call)
{
    const auto node = hosts_[control].node;
    const auto incarnation = world_.nodes[node].incarnation;
    auto *endpoint = find_(call.endpoint);
    const auto finish = [this, control, node, incarnation](const CoordinatorEvent &event) {
        const auto &state = world_.nodes[node];
        if (state.alive && state.incarnation == incarnation) {
            feed(control, event);
        }
    };
    world_.send(node, endpoint->node(), [this, endpoint, node, call, finish] {
        const auto answer = endpoint->call(call.request);
        world_.send(endpoint->node(), node, [call, answer, finish] {
            if (answer.has_value()) {
                finish(EndpointCallSucceeded{call.call, answer.value()});
            } else {
                finish(EndpointCallFailed{call.call, answer.error()});
            }
        });
    });
    // The second end of a call is ignored by the coordinator.
    world_.after(call.timeout, [call, finish] {
        finish(EndpointCallFailed{call.call, {ErrorKind::Unreachable, "timeout"}});
    });
}

void FakeControlGroup::renewal(std::size_t from, std::size_t control,
                               const HostRenewRequest &request)
{
    world_.send(from, hosts_[control].node, [this, from, control, request] {
        renewals_[++lastRequest_] = {from, request.incarnation};
        feed(control, RenewRequestReceived{lastRequest_, request});
    });
}

void FakeControlGroup::answerEntryHost(std::size_t control, const SendRenewResponse &answer)
{
    const auto open = renewals_[answer.request];
    renewals_.erase(answer.request);
    const auto found = std::find(entryNodes_.begin(), entryNodes_.end(), open.entryNode);
    auto *host = entryHosts[static_cast<std::size_t>(found - entryNodes_.begin())];
    world_.send(hosts_[control].node, open.entryNode, [host, open, message = answer.message] {
        host->receive(message, open.incarnation);
    });
}

void FakeControlGroup::push(std::size_t control, const ViewPush &message)
{
    for (auto *host : entryHosts) {
        const auto incarnation = world_.nodes[host->node()].incarnation;
        world_.send(hosts_[control].node, host->node(),
                    [host, incarnation, message] { host->receive(message, incarnation); });
    }
}

} // namespace hyssoprock::random_runs::failover
