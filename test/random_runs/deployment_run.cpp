#include "deployment_run.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <hyssoprock/core/invariant.hpp>
#include <support/random_callers.hpp>

#include "deployment_world.hpp"

namespace hyssoprock::random_runs {

namespace {

using namespace std::chrono_literals;

constexpr Duration faultyTime = 14s;
/// Outlasts the 12 s in which an unanswered promotion call may be executed.
constexpr Duration calmTime = 15s;
/// From the end of the faults until every entry host serves every route.
constexpr Duration servedBound = 8s;
/// Without fencing a promotion also waits for leases (4 s) and, after an unanswered call for
/// another endpoint, until that call can no longer be executed (12.6 s).
constexpr Duration unfencedServedBound = servedBound + 4s + 12600ms;
constexpr int crowdSize = 12; ///< Callers of each route at each host.
constexpr Duration crowdTime = 400ms;
constexpr std::size_t callersLeast = 9;
constexpr int putsMost = 20;

class DeploymentRun
{
public:
    DeploymentRun(std::uint64_t seed, bool fenced)
        : random_{seed}
        , world_{seed, fenced}
        , servedBound_{fenced ? servedBound : unfencedServedBound}
        , faultPercent_{1 + random_.below(10)}
    {}

    RunReport run()
    {
        const auto end = world_.now() + faultyTime;
        operate("op1");
        operate("op2");
        while (world_.now() < end) {
            pass(random_.between(1ms, 20ms));
            if (random_.chance(faultPercent_)) {
                injectFault();
            }
        }
        settle();
        world_.report.events["statement run"] += world_.expectations.runs().size();
        world_.report.events["acknowledged commit rolled back by a promotion"] +=
            world_.expectations.acknowledgedLostCount();
        return world_.report;
    }

private:
    std::string anyService() { return random_.chance(50) ? "s" : "t"; }

    template <class Hosts>
    auto &any(Hosts &hosts)
    {
        return std::next(hosts.begin(), static_cast<std::ptrdiff_t>(random_.below(hosts.size())))
            ->second;
    }

    Duration faultTime()
    {
        return random_.chance(70) ? random_.between(50ms, 1s) : random_.between(1s, 5s);
    }

    void pass(Duration time)
    {
        world_.run(time);
        std::vector<CallerId> due;
        for (const auto &[id, caller] : world_.callers) {
            if (caller.nextAt <= world_.now() && (caller.unanswered.empty() || random_.chance(2))) {
                due.push_back(id);
            }
        }
        for (const auto id : due) {
            if (!world_.callers.contains(id)) {
                continue;
            }
            auto &caller = world_.callers.at(id);
            caller.nextAt = world_.now() + random_.between(0ms, random_.chance(5) ? 1s : 60ms);
            if (random_.below(200) == 0) {
                world_.leave(id);
            } else {
                world_.send(id, test::randomStatement(random_, caller.state));
            }
        }
        if (world_.callers.size() < callersLeast) {
            // Operands of + are evaluated in an order that depends on processor and compiler.
            auto database = anyService();
            database += std::to_string(random_.below(3));
            (void)world_.connect(any(world_.entries), database);
        }
    }

    /// One of two operators, who change the document independently and repeat unanswered calls.
    void operate(const std::string &name)
    {
        if (settled_) {
            return;
        }
        world_.later(random_.between(100ms, 3s), [this, name]() {
            auto document = world_.newest();
            // Two operators may take the same version for different content.
            document.version = world_.acknowledgedVersion + 1 + random_.below(4);
            const auto invalid = random_.chance(10);
            for (auto &route : document.routes) {
                route.statementTimeout = random_.between(400ms, 1s);
                if (random_.chance(15)) {
                    route.service = anyService();
                }
            }
            if (invalid) {
                document.routes.front().service = "unknown";
            }
            putAgain(name, world_.describe(std::move(document)), putsMost, invalid);
        });
    }

    void putAgain(const std::string &name, const std::string &text, int tries, bool invalid)
    {
        const auto version = world_.versionOf(text);
        world_.put(text, [=, this](std::optional<int> status) {
            if (status == 200) {
                check(!invalid, "an invalid document is not acknowledged");
                world_.acknowledgedVersion = std::max(world_.acknowledgedVersion, version);
                ++world_.report.events["document acknowledged"];
            } else if (status == 400) {
                check(invalid, "a valid document is not refused as invalid");
                ++world_.report.events["document refused"];
            } else if (tries > 1) {
                putAgain(name, text, tries - 1, invalid);
                return;
            }
            operate(name);
        });
    }

    void fault(const std::string &name) { ++world_.report.faults[name]; }

    void injectFault()
    {
        const auto time = faultTime();
        switch (random_.below(15)) {
        case 0:
            crashEntry(time);
            break;
        case 1:
            fault("entry host frozen");
            world_.freeze(any(world_.entries), time);
            break;
        case 2:
            fault("entry host stopped");
            stopEntry();
            break;
        case 3:
            crashControl(any(world_.controls), time);
            break;
        case 5:
            fault("control host frozen");
            world_.freeze(any(world_.controls), time);
            break;
        case 6:
            if (!random_.chance(15)) {
                break;
            }
            fault("power of all control hosts lost");
            for (auto &[name, host] : world_.controls) {
                crashControl(host, time);
            }
            break;
        case 7:
        case 8:
        case 9:
            partition(time);
            break;
        case 4:
        case 10:
            fault("promotion calls disturbed");
            world_.setCallFate(static_cast<CallFate>(1 + random_.below(3)), time);
            break;
        case 11:
            endEndpoint(time);
            break;
        case 12:
            drainEndpoint(time);
            break;
        default:
            disturbEndpoint();
            break;
        }
    }

    void crashEntry(Duration time)
    {
        auto &host = any(world_.entries);
        fault("entry host crashed");
        world_.disturbed(host.name, time);
        world_.crash(host);
        restartEntry(host, time);
    }

    void restartEntry(EntryHost &host, Duration time)
    {
        world_.later(time, [this, &host]() {
            if (!host.up) {
                world_.startEntry(host);
            }
        });
    }

    void stopEntry()
    {
        auto &host = any(world_.entries);
        world_.disturbed(host.name, 8s);
        world_.stop(host);
        restartEntry(host, 7s);
    }

    void crashControl(ControlHost &host, Duration time)
    {
        if (!host.up) {
            return;
        }
        world_.disturbed(host.name, time);
        const auto loseDisk = random_.chance(40) && world_.allDisksWhole();
        fault(loseDisk ? "disk of a control host lost" : "control host crashed");
        if (!loseDisk && random_.chance(40)) {
            world_.raft.host(host.name).crashAfterActions = random_.below(4);
            return;
        }
        world_.crash(host, loseDisk);
        world_.later(time, [this, &host]() {
            if (!host.up) {
                world_.startControl(host);
            }
        });
    }

    std::string anyone()
    {
        switch (random_.below(3)) {
        case 0:
            return any(world_.entries).name;
        case 1:
            return any(world_.controls).name;
        default:
            return anyEndpoint(anyService());
        }
    }

    std::string anyEndpoint(const std::string &service)
    {
        const auto all = world_.group(service).endpoints();
        return all[random_.below(all.size())];
    }

    void partition(Duration time)
    {
        const auto from = anyone();
        const auto to = anyone();
        const auto oneWay = random_.chance(40);
        fault(oneWay ? "one-way partition" : "partition");
        if (from == to) {
            // Cut off from everybody.
            for (auto &[name, host] : world_.entries) {
                world_.cut(from, name, time);
                world_.cut(name, from, oneWay ? Duration{} : time);
            }
            for (auto &[name, host] : world_.controls) {
                world_.cut(from, name, time);
                world_.cut(name, from, oneWay ? Duration{} : time);
            }
            return;
        }
        world_.cut(from, to, time);
        if (!oneWay) {
            world_.cut(to, from, time);
        }
    }

    void endEndpoint(Duration time)
    {
        const auto service = anyService();
        const auto running = world_.running(service);
        if (running.size() < 2) {
            return;
        }
        const auto id = running[random_.below(running.size())];
        fault("endpoint ended");
        world_.disturbed(id, time);
        world_.endEndpoint(id, false);
        const auto address = world_.group(service).record(id).address;
        if (random_.chance(70)) {
            world_.later(time, [this, id]() {
                if (!world_.group(world_.serviceOf(id)).isUp(id)) {
                    world_.restartEndpoint(id);
                }
            });
        } else {
            replaceEndpoint(service, address, time);
        }
    }

    /// Another endpoint takes the address, perhaps of the other service, and the service gets a
    /// new endpoint elsewhere then.
    void replaceEndpoint(const std::string &service, const std::string &address, Duration time)
    {
        const auto other = anyService();
        world_.later(time, [this, service, address, other]() {
            fault(other == service ? "address used again"
                                   : "address used again by another service");
            world_.addEndpoint(other, address);
            if (other != service) {
                world_.addEndpoint(service, {});
            }
        });
    }

    void drainEndpoint(Duration time)
    {
        const auto service = anyService();
        const auto running = world_.running(service);
        if (running.size() < 3) {
            return;
        }
        const auto id = running[random_.below(running.size())];
        fault("endpoint drained");
        world_.drain(id);
        world_.later(time + 500ms, [this, service, id]() {
            if (world_.group(service).isUp(id)) {
                world_.disturbed(id, 0s);
                world_.endEndpoint(id, true);
                replaceEndpoint(service, world_.group(service).record(id).address, 300ms);
            }
        });
    }

    void disturbEndpoint()
    {
        const auto service = anyService();
        const auto id = anyEndpoint(service);
        const auto name = test::injectEndpointFault(
            world_.group(service), id, random_, [this](Duration delay, std::function<void()> what) {
                world_.later(delay, std::move(what));
            });
        if (!name.empty()) {
            fault(name);
            world_.disturbed(id, 2s);
        }
    }

    void settle()
    {
        settled_ = true;
        while (world_.anyFrozen()) {
            pass(20ms);
        }
        world_.endFaults();
        for (const auto *service : {"s", "t"}) {
            while (world_.running(service).size() < 3) {
                world_.addEndpoint(service, {});
            }
        }
        const auto begin = world_.now();
        const auto draining = anyService();
        if (const auto running = world_.running(draining); random_.chance(60)) {
            world_.drain(running[random_.below(running.size())]);
        }
        for (auto &[name, host] : world_.entries) {
            awaitService(host, begin);
        }
        while (world_.now() < begin + calmTime) {
            pass(20ms);
        }
        check(std::all_of(world_.entries.begin(), world_.entries.end(),
                          [this](const auto &item) {
                              return item.second.version >= world_.acknowledgedVersion;
                          }),
              "with the faults over, acknowledged documents are in force everywhere");
        world_.run(3s);
        check(world_.expectations.unanswered() == 0,
              "with the faults over, every statement is answered");
        crowd(draining);
        // Callers of the crowd may have several statements queued, each of up to 1 s.
        world_.run(8s);
        check(world_.expectations.unanswered() == 0, "every statement of a crowd is answered");
    }

    /// More callers than there are idle connections, so that an endpoint which may not be used any
    /// more would be used if it were only the last choice.
    void crowd(const std::string &service)
    {
        for (const auto &route : std::vector{world_.newest().routes}) {
            for (auto &[name, host] : world_.entries) {
                for (auto i = 0; i < crowdSize && route.service == service; ++i) {
                    (void)world_.connect(host, route.database);
                }
            }
        }
        for (const auto end = world_.now() + crowdTime; world_.now() < end;) {
            for (auto &[id, caller] : world_.callers) {
                caller.nextAt = world_.now();
            }
            pass(2ms);
        }
    }

    /// Lets time pass until every route is served at a host.
    void awaitService(EntryHost &host, Instant begin)
    {
        for (const auto &route : std::vector{world_.newest().routes}) {
            for (auto served = false; !served;) {
                check(world_.now() < begin + servedBound_,
                      "with the faults over, every host serves every route in time");
                const auto caller = world_.connect(host, route.database);
                if (!caller) {
                    pass(20ms);
                    continue;
                }
                served = succeeds(*caller, "WRITE i0 data") && succeeds(*caller, "READ i0");
                if (world_.callers.contains(*caller)) {
                    world_.leave(*caller);
                }
                if (!served) {
                    pass(20ms);
                }
            }
        }
        world_.report.samples["all routes of a host probed after ms"].push_back(
            static_cast<std::uint64_t>(toMilliseconds(world_.now() - begin)));
    }

    bool succeeds(CallerId caller, const std::string &text)
    {
        if (world_.callers.contains(caller)) {
            if (const auto answer = world_.ask(caller, text, 2s)) {
                return answer->kind == AnswerKind::Success;
            }
        }
        return false;
    }

    RandomSource random_;
    DeploymentWorld world_;
    Duration servedBound_;
    std::uint64_t faultPercent_; ///< Of the steps of about 10 ms.
    bool settled_ = false;
};

} // namespace

RunReport runDeployment(std::uint64_t seed)
{
    return DeploymentRun{seed, true}.run();
}

RunReport runUnfencedDeployment(std::uint64_t seed)
{
    return DeploymentRun{seed, false}.run();
}

} // namespace hyssoprock::random_runs
