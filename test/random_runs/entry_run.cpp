#include "entry_run.hpp"

#include <memory>
#include <string>
#include <vector>

#include <hyssoprock/core/invariant.hpp>

#include "entry_caller.hpp"
#include "entry_world.hpp"

namespace hyssoprock::random_runs {

namespace {

constexpr Scheduler::Time second = 1'000'000;
constexpr Scheduler::Time faultyTime = 8 * second;
constexpr Scheduler::Time quietTime = 4 * second;
constexpr std::size_t callerCount = 6;

RecordKindRule firstRule()
{
    RecordKindRule rule;
    rule.group = groupName;
    rule.kind = "order";
    rule.maxAgeMs = 60;
    rule.replicasAllowed = true;
    rule.versions = {VersionRule{1, LogPosition{0, 0}, true}};
    return rule;
}

/// Version 2 comes into being: first dual writes, then it coexists, then it is complete.
void changeRules(EntryWorld &world)
{
    world.scheduler.after(2 * second, [&world] { world.group.dualWrites = true; });
    world.scheduler.after(5 * second / 2, [&world] {
        world.configure([](Configuration &configuration) {
            configuration.rules.front().versions.push_back(VersionRule{2, std::nullopt, true});
        });
    });
    world.scheduler.after(4 * second, [&world] {
        for (auto &node : world.group.nodes()) {
            // Only a fill-up that a majority keeps counts, so it is made while nothing changes.
            if (node.name == world.control.view.primary && node.writable()
                && !world.control.changing) {
                const auto position = world.group.backfill(node);
                world.scheduler.after(second / 2, [&world, &node, position] {
                    if (node.majority >= position.index && node.term == position.term) {
                        ++world.report.events["version 2 complete"];
                        world.configure([position](Configuration &configuration) {
                            configuration.rules.front().versions[1].completeFrom = position;
                        });
                    }
                });
            }
        }
    });
}

void injectFaults(EntryWorld &world)
{
    if (world.scheduler.now() > faultyTime) {
        return;
    }
    auto &random = world.random;
    const auto choice = random.below(100);
    auto &host = *world.hosts[random.below(world.hosts.size())];
    if (choice < 25) {
        world.failOver();
    } else if (choice < 40) {
        world.handOver();
    } else if (choice < 60) {
        ++world.report.faults["host cut off from control"];
        host.cutFromControl = true;
        world.scheduler.after(static_cast<Scheduler::Time>(random.below(1'200'000)),
                              [&host] { host.cutFromControl = false; });
    } else if (choice < 80) {
        ++world.report.faults["replica far behind"];
        auto &node = world.group.nodes()[random.below(3)];
        const auto lag = node.lag;
        node.lag = 40'000 + static_cast<Scheduler::Time>(random.below(100'000));
        world.scheduler.after(400'000, [&node, lag] { node.lag = lag; });
    } else if (choice < 90) {
        ++world.report.faults["endpoint ignores the version filter"];
        world.group.ignoresFilter = true;
        world.scheduler.after(60'000, [&world] { world.group.ignoresFilter = false; });
    } else {
        ++world.report.faults["host leaving"];
        std::vector<std::uint64_t> sessions;
        for (const auto &[id, session] : host.sessions) {
            sessions.push_back(id);
        }
        for (const auto id : sessions) {
            world.deliver(host, id, HostLeaving{});
        }
    }
    world.scheduler.after(100'000 + static_cast<Scheduler::Time>(random.below(500'000)),
                          [&world] { injectFaults(world); });
}

} // namespace

RunReport runEntry(std::uint64_t seed)
{
    RunReport report;
    EntryWorld world{seed, report};
    world.configure([](Configuration &configuration) { configuration.rules = {firstRule()}; });
    changeRules(world);
    History history;
    std::vector<std::unique_ptr<EntryCaller>> callers;
    for (std::size_t i = 0; i < callerCount; ++i) {
        callers.push_back(
            std::make_unique<EntryCaller>(world, history, "c" + std::to_string(i + 1)));
        world.scheduler.after(200'000, [caller = callers.back().get()] { caller->start(); });
    }
    world.scheduler.after(second / 2, [&world] { injectFaults(world); });
    world.scheduler.runUntil(faultyTime);
    for (auto &host : world.hosts) {
        host->cutFromControl = false;
    }
    for (auto &caller : callers) {
        caller->stop();
    }
    world.lossy = false;
    world.scheduler.runUntil(faultyTime + quietTime);
    check(!world.control.changing, "the group has a primary in the end");
    const auto &primary = world.group.node(world.control.view.primary);
    std::size_t pending = 0;
    for (const auto &[key, write] : history.writes) {
        pending += write.state == WriteState::Pending ? 1 : 0;
    }
    check(pending == 0, "every write has an outcome in the end");
    history.checkAgainst(world.group, primary);
    for (const auto &host : world.hosts) {
        check(host->knowledge->acks.size() == 0, "no wait for a majority is left over");
        for (const auto &node : world.group.nodes()) {
            check(host->knowledge->endpoints.find(node.name).inFlight == 0,
                  "no connection is left over");
        }
    }
    return report;
}

} // namespace hyssoprock::random_runs
