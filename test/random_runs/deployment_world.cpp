#include "deployment_world.hpp"

#include <algorithm>

#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock::random_runs {

using namespace std::chrono_literals;

namespace {

constexpr Duration longestStep = 5ms;
/// Commits and transactions of the second service are numbered from here.
constexpr std::uint64_t numbersPerService = std::uint64_t{1} << 40;

RaftSettings raftSettings(RandomSource &random)
{
    RaftSettings result;
    result.heartbeat = 50ms;
    result.electionTimeoutMin = 250ms;
    result.electionTimeoutMax = 450ms;
    result.snapshotEntries = 10 + random.below(40);
    return result;
}

test::GroupSettings groupSettings(RandomSource &random)
{
    test::GroupSettings result;
    result.slots = static_cast<std::uint32_t>(2 + random.below(4));
    result.connectionsMax = 12 + random.below(12);
    result.network = {100us, random.between(200us, 4ms)};
    result.serviceTime = {500us, random.between(2ms, 20ms)};
    result.replicationDelay = random.between(1ms, 80ms);
    return result;
}

} // namespace

DeploymentWorld::DeploymentWorld(std::uint64_t seed, bool fenced)
    : raft{seed,
           [seed]() {
               RandomSource random{seed + 1};
               return raftSettings(random);
           }()}
    , random_{seed ^ 0xde9107ULL}
    , fenced_{fenced}
{
    raft.faults.lossPercent = random_.below(4);
    DeploymentDocument document;
    document.version = 1;
    document.transactionIdleTimeout = random_.between(300ms, 2s);
    std::uint64_t number = 0;
    for (const auto *service : {"s", "t"}) {
        auto settings = groupSettings(random_);
        settings.service = service;
        settings.prefix = service;
        if (!fenced_) {
            settings.formerPrimaryUse = {1s, 6s};
        }
        settings.numberMin = numbersPerService * number++;
        document.services.push_back(
            {service, static_cast<std::uint32_t>(settings.connectionsMax), 0});
        auto &group = groups_[service];
        group =
            std::make_unique<test::EndpointGroupSimulation>(random_.next(), settings, expectations);
        group->connectionDelayedUntil = [this](ConnectionId id, const std::string &endpoint,
                                               bool inbound) {
            const auto &host = hostByNumber_.at(id >> 32U)->name;
            return inbound ? cutUntil(host, endpoint) : cutUntil(endpoint, host);
        };
        group->listenerAt = [this](const std::string &address) {
            for (const auto &[id, endpoint] : endpoints_) {
                if (endpoint.address == address && this->group(endpoint.service).isUp(id)) {
                    return id;
                }
            }
            return std::string{};
        };
        group->onWorkStarted = [this](ConnectionId id, const std::string &endpoint) {
            workBegins(id, endpoint);
        };
        for (const auto &record : group->records()) {
            endpoints_[record.id] = {service, record.address, 0, "c1", {}, {}, {}};
        }
        for (const auto rule : {ReadConsistency::Primary, ReadConsistency::BoundedStaleness,
                                ReadConsistency::ReadOwnWrites}) {
            Route route;
            route.database = service + std::to_string(static_cast<int>(rule));
            route.name = route.database;
            route.service = service;
            route.readConsistency = rule;
            route.statementTimeout = random_.between(400ms, 1s);
            route.targetLatency = random_.between(100ms, 800ms);
            route.staleness = random_.between(30ms, 800ms);
            route.attempts = 2;
            document.routes.push_back(std::move(route));
        }
    }
    for (const auto *name : {"c1", "c2", "c3"}) {
        auto &host = controls[name];
        host.name = name;
    }
    for (auto &[name, host] : controls) {
        startControl(host);
    }
    for (const auto &[id, endpoint] : endpoints_) {
        beat(id);
    }
    for (const auto *name : {"e1", "e2", "e3"}) {
        auto &host = entries[name];
        host.name = name;
    }
    for (auto &[name, host] : entries) {
        startEntry(host);
    }
    const auto text = describe(std::move(document));
    for (auto done = false; !done;) {
        auto waiting = true;
        put(text, [&](std::optional<int> status) {
            done = status == 200;
            waiting = false;
        });
        while (waiting) {
            run(5ms);
        }
        check(now_ < start_ + 20s, "the first document is acknowledged");
    }
    acknowledgedVersion = 1;
}

void DeploymentWorld::later(Duration delay, std::function<void()> what)
{
    events_.emplace(now_ + delay, std::move(what));
}

/// Runs something in a process: after a freeze if it stands still, not at all if it has ended.
void DeploymentWorld::post(SimulatedProcess &process, Duration delay, std::function<void()> what)
{
    events_.emplace(now_ + delay, [this, &process, life = process.life, what = std::move(what)]() {
        deliver(process, life, what);
    });
}

void DeploymentWorld::deliver(SimulatedProcess &process, std::uint64_t life,
                              std::function<void()> what)
{
    if (!process.up || process.life != life) {
        return;
    }
    if (frozen(process)) {
        events_.emplace(process.frozenUntil, [this, &process, life, what = std::move(what)]() {
            deliver(process, life, what);
        });
        return;
    }
    what();
}

Instant DeploymentWorld::cutUntil(const std::string &from, const std::string &to) const
{
    const auto found = cuts_.find({from, to});
    return found == cuts_.end() ? Instant{} : found->second;
}

Instant DeploymentWorld::nextAt()
{
    auto next = now_ + longestStep;
    const auto consider = [&](std::optional<Instant> at, Instant notBefore = {}) {
        if (at) {
            next = std::min(next, std::max({*at, notBefore, now_}));
        }
    };
    if (!events_.empty()) {
        consider(events_.begin()->first);
    }
    for (const auto &[name, group] : groups_) {
        consider(group->nextEventAt());
    }
    for (const auto &[name, host] : entries) {
        consider(host.pooler ? host.pooler->nextDeadline() : std::nullopt, host.frozenUntil);
    }
    for (const auto &[name, host] : controls) {
        consider(host.up ? host.controller->nextDeadline() : std::nullopt, host.frozenUntil);
    }
    return next;
}

void DeploymentWorld::run(Duration time)
{
    for (const auto end = now_ + time; now_ < end;) {
        now_ = std::min(end, nextAt());
        step();
    }
}

void DeploymentWorld::step()
{
    advanceRaft();
    while (!events_.empty() && events_.begin()->first <= now_) {
        const auto what = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        what();
    }
    for (const auto &[name, group] : groups_) {
        while (auto event = group->advance(now_)) {
            dispatch(*std::move(event));
        }
    }
    for (auto &[name, host] : entries) {
        const auto due = host.pooler && !frozen(host) ? host.pooler->nextDeadline() : std::nullopt;
        if (due && *due <= now_) {
            handle(host, pooler::Tick{});
            const auto again = host.pooler ? host.pooler->nextDeadline() : std::nullopt;
            check(!again || *again > now_, "a tick clears the deadlines that are due");
        }
    }
    for (auto &[name, host] : controls) {
        if (host.up && !frozen(host)) {
            if (const auto due = host.controller->nextDeadline(); due && *due <= now_) {
                post(host, promotion::Tick{});
            }
        }
    }
}

void DeploymentWorld::disturbed(const std::string &name, Duration time)
{
    auto &until = disturbedUntil_[name];
    until = std::max(until, now_ + time);
}

void DeploymentWorld::freeze(SimulatedProcess &process, Duration time)
{
    // Never sooner than before: what waits for the end of a freeze would be overtaken.
    process.frozenUntil = std::max(process.frozenUntil, now_ + time);
    disturbed(process.name, time);
    if (raft.hosts().contains(process.name)) {
        raft.host(process.name).frozenUntil = process.frozenUntil - start_;
    }
}

void DeploymentWorld::cut(const std::string &from, const std::string &to, Duration time)
{
    auto &until = cuts_[{from, to}];
    until = std::max(until, now_ + time);
    disturbed(from, time);
    disturbed(to, time);
    const auto update = [this]() {
        raft.heal();
        for (const auto &[pair, end] : cuts_) {
            if (end > now_ && controls.contains(pair.first) && controls.contains(pair.second)) {
                raft.cut(pair.first, pair.second);
            }
        }
    };
    update();
    later(time, update);
}

void DeploymentWorld::setCallFate(CallFate fate, Duration time)
{
    callFate_ = fate;
    callFateUntil_ = now_ + time;
    disturbed("promotion", time + (fate == CallFate::Late ? 12s : 0s));
}

void DeploymentWorld::endFaults()
{
    cuts_.clear();
    raft.heal();
    documentAnswersFail_ = false;
    callFateUntil_ = now_;
    for (auto &[name, host] : controls) {
        if (!host.up) {
            startControl(host);
        }
    }
    for (auto &[name, host] : entries) {
        if (host.stopping) {
            crash(host);
        }
        if (!host.up) {
            startEntry(host);
        }
    }
    for (auto &[id, endpoint] : endpoints_) {
        auto &members = group(endpoint.service);
        endpoint.frozenUntil = std::min(endpoint.frozenUntil, now_);
        members.delayTrafficUntil(id, now_);
        members.refuse(id, false);
        members.setReplicationDelay(id, 10ms);
        members.setReplicationPaused(id, false);
        members.setSlots(id, 4);
        disturbed(id, Duration{});
    }
}

bool DeploymentWorld::anyFrozen() const
{
    const auto stands = [this](const auto &item) { return frozen(item.second); };
    return std::any_of(entries.begin(), entries.end(), stands)
           || std::any_of(controls.begin(), controls.end(), stands);
}

std::vector<std::string> DeploymentWorld::running(const std::string &service) const
{
    std::vector<std::string> result;
    for (const auto &[id, endpoint] : endpoints_) {
        if (endpoint.service == service && groups_.at(service)->isUp(id)) {
            result.push_back(id);
        }
    }
    return result;
}

void DeploymentWorld::endEndpoint(const std::string &id, bool announced)
{
    auto &endpoint = endpoints_.at(id);
    group(endpoint.service).stopEndpoint(id);
    endpoint.drainingSince.reset();
    auto &control = controls.at(endpoint.control);
    if (announced && reaches(id, control.name)) {
        post(control, delay(), [this, &control, id]() {
            const auto changes = control.registry->handleLeave(id, now_);
            if (!changes.gone.empty()) {
                share(control, {}, changes.gone);
            }
            apply(control, changes);
        });
    }
}

void DeploymentWorld::restartEndpoint(const std::string &id)
{
    auto &endpoint = endpoints_.at(id);
    endpoint.sequence = 0;
    endpoint.drainingSince.reset();
    group(endpoint.service)
        .startEndpoint(id, static_cast<std::uint64_t>(toMilliseconds(now_.time_since_epoch())));
    beat(id);
}

void DeploymentWorld::addEndpoint(const std::string &service, std::string address)
{
    const auto id = service + "x" + std::to_string(nextEndpoint_++);
    if (address.empty()) {
        address = id + ":1";
    }
    group(service).add(id, address,
                       static_cast<std::uint64_t>(toMilliseconds(now_.time_since_epoch())));
    endpoints_[id] = {service, address, 0, "c1", {}, {}, {}};
    beat(id);
}

void DeploymentWorld::drain(const std::string &id)
{
    auto &endpoint = endpoints_.at(id);
    group(endpoint.service).setDraining(id, true);
    endpoint.drainingSince = endpoint.drainingSince.value_or(now_);
}

} // namespace hyssoprock::random_runs
