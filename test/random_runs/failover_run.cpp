#include "failover_run.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <hyssoprock/core/invariant.hpp>

#include "failover_control.hpp"
#include "failover_endpoint.hpp"
#include "failover_entry_host.hpp"
#include "failover_history.hpp"
#include "failover_world.hpp"

namespace hyssoprock::random_runs {

namespace {

using namespace std::chrono_literals;
using namespace failover;

const std::array<std::string, 3> dataCentres{"lulea-a", "ostersund-a", "umea-a"};
const std::array<std::string, 2> groups{"core-1", "core-2"};
constexpr std::size_t entryHostsPerDataCentre = 3;
constexpr std::uint32_t instances = 3;

/// Three data centres, each with a control host, entry hosts, and an instance of each group; each
/// group has a spare besides.
class Cluster
{
public:
    Cluster(std::uint64_t seed, const LeaseSettings &settings)
        : world{seed}
    {
        const auto find = [this](const std::string &name) { return endpoint(name); };
        std::vector<std::size_t> controlNodes;
        std::vector<std::string> controlNames;
        std::vector<std::size_t> entryNodes;
        for (const auto &dataCentre : dataCentres) {
            controlNames.push_back("control-" + dataCentre);
            controlNodes.push_back(world.addNode(controlNames.back(), dataCentre));
        }
        for (std::size_t i = 0; i < entryHostsPerDataCentre * dataCentres.size(); ++i) {
            entryNodes.push_back(
                world.addNode("entry-" + std::to_string(i), dataCentres[i % dataCentres.size()]));
        }
        for (const auto &group : groups) {
            for (std::size_t i = 0; i < instances + 1; ++i) {
                const auto node = world.addNode(group + "-" + std::to_string(i),
                                                dataCentres[i % dataCentres.size()]);
                endpoints.push_back(std::make_unique<FakeEndpoint>(world, node, group, find));
            }
        }
        control = std::make_unique<FakeControlGroup>(world, controlNodes, entryNodes, find, history,
                                                     settings);
        for (const auto node : entryNodes) {
            entryHosts.push_back(std::make_unique<FakeEntryHost>(
                world, node, controlNames, find,
                [this](std::size_t from, std::size_t to, const HostRenewRequest &request) {
                    control->renewal(from, to, request);
                },
                history));
            control->entryHosts.push_back(entryHosts.back().get());
        }
        for (const auto &group : groups) {
            control->submit(DeclareGroup{group, instances});
        }
        world.every(500ms, [this] { announce(); });
    }

    FakeEndpoint *endpoint(const std::string &name)
    {
        for (const auto &candidate : endpoints) {
            if (candidate->name() == name) {
                return candidate.get();
            }
        }
        check(false, "only known endpoints are called");
        return nullptr;
    }

    /// Each endpoint announces itself to one entry host, as the load balancer picks it.
    void announce()
    {
        for (const auto &sender : endpoints) {
            auto *host = entryHosts[world.random.below(entryHosts.size())].get();
            world.send(sender->node(), host->node(), [host, announcement = sender->announcement()] {
                host->receive(announcement);
            });
        }
    }

    [[nodiscard]] const GroupView &view(const std::string &group) const
    {
        return control->truth().findGroup(group)->view;
    }

    /// Whether every group has an active primary that really is one, and serves writes.
    [[nodiscard]] bool serving(Duration within)
    {
        return std::all_of(groups.begin(), groups.end(), [&](const std::string &group) {
            const auto *record = control->truth().findGroup(group);
            if (record == nullptr || record->view.state != GroupState::Active) {
                return false;
            }
            const auto status = endpoint(record->view.primary)->status();
            return status.role == "primary" && status.term == record->view.term
                   && history.lastAcknowledged(group) + within > world.time();
        });
    }

    void addReports()
    {
        for (const auto &report : control->reports) {
            auto &samples = world.report.samples;
            const auto add = [&](const std::string &name, Duration value) {
                samples[name].push_back(static_cast<std::uint64_t>(toMilliseconds(value)));
            };
            if (report.reason.starts_with("first primary")) {
                continue;
            }
            const std::string kind =
                report.reason.starts_with("planned stop") ? "handover" : "failover";
            add(kind + " total ms", report.total());
            add(kind + " share 1 detection ms", report.detection);
            add(kind + " share 2 earlier terms ms", report.earlierTerms);
            add(kind + " share 3 consensus ms", report.consensus);
            add(kind + " share 4 fencing ms", report.fencing);
            add(kind + " share 5 leases ms", report.leaseWait);
            add(kind + " share 6 promotion ms", report.promotion);
            add(kind + " share 7 propagation ms", report.propagation);
        }
        for (const auto gap : history.gaps()) {
            world.report.samples["gap of acknowledged writes ms"].push_back(
                static_cast<std::uint64_t>(toMilliseconds(gap)));
        }
        world.report.events["acknowledged write"] += history.count();
    }

    World world;
    History history;
    std::vector<std::unique_ptr<FakeEndpoint>> endpoints;
    std::vector<std::unique_ptr<FakeEntryHost>> entryHosts;
    std::unique_ptr<FakeControlGroup> control;
};

/// Brings faults about, one every few hundred milliseconds; several may last at a time.
class Faults
{
public:
    explicit Faults(Cluster &cluster)
        : cluster_{cluster}
        , world_{cluster.world}
    {}

    void next()
    {
        using Fault = void (Faults::*)();
        static constexpr std::array faults{
            &Faults::crashPrimary,   &Faults::crashEndpoint, &Faults::crashEntryHost,
            &Faults::crashControl,   &Faults::cutDataCentre, &Faults::isolateNode,
            &Faults::isolatePrimary, &Faults::blockLink,     &Faults::flap,
            &Faults::lagReplica,     &Faults::loseMessages,  &Faults::planStop,
            &Faults::cancelStop,     &Faults::stickHost,
        };
        const Fault fault = faults[world_.random.below(faults.size())];
        (this->*fault)();
    }

    void end()
    {
        world_.dropPercent = 0;
        world_.duplicatePercent = 0;
        world_.latePercent = 0;
        world_.blocked.clear();
        world_.cutOff.clear();
        for (auto &node : world_.nodes) {
            node.isolated = false;
        }
        for (const auto &endpoint : cluster_.endpoints) {
            endpoint->lag = 0ms;
        }
        for (const auto &[name, record] : cluster_.control->truth().groups()) {
            for (const auto &member : record.view.members) {
                if (member.state != EndpointState::Active) {
                    cluster_.control->submit(CancelStop{member.announcement.endpoint});
                }
            }
        }
    }

private:
    void count(const char *name) { ++world_.report.faults[name]; }
    Duration length() { return world_.random.between(100ms, 4s); }

    void crash(FakeEndpoint &endpoint)
    {
        if (world_.nodes[endpoint.node()].alive) {
            endpoint.crash();
            world_.after(length(), [&endpoint] { endpoint.restart(); });
        }
    }

    FakeEndpoint *primary()
    {
        const auto &group = groups[world_.random.below(groups.size())];
        const auto *record = cluster_.control->truth().findGroup(group);
        return record == nullptr || record->view.primary.empty()
                   ? nullptr
                   : cluster_.endpoint(record->view.primary);
    }

    FakeEndpoint &anyEndpoint()
    {
        return *cluster_.endpoints[world_.random.below(cluster_.endpoints.size())];
    }

    void crashPrimary()
    {
        if (auto *endpoint = primary(); endpoint != nullptr) {
            count("crash of a primary");
            crash(*endpoint);
        }
    }

    void crashEndpoint()
    {
        count("crash of an endpoint");
        crash(anyEndpoint());
    }

    void crashEntryHost()
    {
        auto *host = cluster_.entryHosts[world_.random.below(cluster_.entryHosts.size())].get();
        if (world_.nodes[host->node()].alive) {
            count("crash of an entry host");
            host->crash();
            world_.after(length(), [host] { host->restart(); });
        }
    }

    void crashControl()
    {
        auto &control = *cluster_.control;
        const auto index = control.leader() && world_.random.chance(70)
                               ? *control.leader()
                               : world_.random.below(control.size());
        if (world_.nodes[control.node(index)].alive) {
            count("crash of a control host");
            control.crash(index);
            world_.after(length(), [&control, index] { control.restart(index); });
        }
    }

    void cutDataCentre()
    {
        count("data centre cut off");
        const auto &dataCentre = dataCentres[world_.random.below(dataCentres.size())];
        world_.cutOff.insert(dataCentre);
        world_.after(length(), [this, dataCentre] { world_.cutOff.erase(dataCentre); });
    }

    void isolate(std::size_t node)
    {
        count("process cut off");
        world_.nodes[node].isolated = true;
        world_.after(length(), [this, node] { world_.nodes[node].isolated = false; });
    }

    void isolateNode() { isolate(world_.random.below(world_.nodes.size())); }

    void isolatePrimary()
    {
        if (auto *endpoint = primary(); endpoint != nullptr) {
            isolate(endpoint->node());
        }
    }

    void block(std::size_t from, std::size_t to, Duration duration)
    {
        world_.blocked.insert({from, to});
        world_.after(duration, [this, from, to] { world_.blocked.erase({from, to}); });
    }

    void blockLink()
    {
        count("link down in one direction");
        for (int i = 0; i < 5; ++i) {
            // Arguments are evaluated in an order that depends on the processor and the compiler.
            const auto from = world_.random.below(world_.nodes.size());
            const auto to = world_.random.below(world_.nodes.size());
            block(from, to, length());
        }
    }

    void flap()
    {
        auto *endpoint = primary();
        if (endpoint == nullptr) {
            return;
        }
        count("flapping links of a primary");
        for (int i = 0; i < 8; ++i) {
            world_.after(i * 300ms, [this, endpoint] {
                for (std::size_t node = 0; node < world_.nodes.size(); ++node) {
                    if (world_.random.chance(50)) {
                        block(node, endpoint->node(), 250ms);
                    }
                }
            });
        }
    }

    void lagReplica()
    {
        count("replica lags");
        auto &endpoint = anyEndpoint();
        endpoint.lag = world_.random.between(100ms, 2s);
        world_.after(length(), [&endpoint] { endpoint.lag = 0ms; });
    }

    void loseMessages()
    {
        count("lossy period");
        world_.dropPercent = 5 + world_.random.below(25);
        world_.after(length(), [this] { world_.dropPercent = 0; });
    }

    void planStop()
    {
        auto *endpoint = world_.random.chance(60) ? primary() : &anyEndpoint();
        if (endpoint != nullptr) {
            count("planned stop");
            cluster_.control->submit(PlanStop{endpoint->name()});
        }
    }

    void cancelStop()
    {
        for (const auto &endpoint : cluster_.endpoints) {
            const auto *member = cluster_.control->truth().findMember(endpoint->name());
            if (member != nullptr && member->state != EndpointState::Active) {
                count("planned stop taken back");
                cluster_.control->submit(CancelStop{endpoint->name()});
                return;
            }
        }
    }

    void stickHost()
    {
        count("long transaction on a host");
        auto &host = *cluster_.entryHosts[world_.random.below(cluster_.entryHosts.size())];
        host.stuckUntil = world_.time() + length();
    }

    Cluster &cluster_;
    World &world_;
};

void checkLogs(Cluster &cluster)
{
    for (const auto &group : groups) {
        cluster.history.checkLog(group, *cluster.endpoint(cluster.view(group).primary));
    }
}

} // namespace

RunReport runFailover(std::uint64_t seed)
{
    LeaseSettings settings;
    settings.replaceVoter = 2s; // lost voters are replaced within the run
    Cluster cluster{seed, settings};
    auto &world = cluster.world;
    world.runUntil(6s);
    check(cluster.serving(1s), "without faults every group gets its first primary");
    Faults faults{cluster};
    world.duplicatePercent = 2;
    world.latePercent = 1;
    while (world.time() < 30s) {
        faults.next();
        world.runUntil(world.time() + world.random.between(50ms, 1200ms));
    }
    faults.end();
    world.runUntil(world.time() + 6s); // the last crashes end within four seconds
    faults.end();
    world.runUntil(world.time() + 14s);
    check(cluster.serving(1s), "with faults ended every group serves writes again");
    checkLogs(cluster);
    cluster.addReports();
    return world.report;
}

RunReport runFailoverGap(std::uint64_t seed)
{
    Cluster cluster{seed, LeaseSettings{}};
    auto &world = cluster.world;
    world.runUntil(6s);
    static constexpr std::array kinds{"crash of a primary", "primary cut off",
                                      "data centre of a primary cut off",
                                      "planned stop of a primary"};
    for (int round = 0; round < 4; ++round) {
        const auto &group = groups[world.random.below(groups.size())];
        const auto primary = cluster.view(group).primary;
        auto &endpoint = *cluster.endpoint(primary);
        const auto kind = world.random.below(kinds.size());
        const std::string name{kinds[kind]};
        const auto gapsBefore = cluster.history.gaps().size();
        ++world.report.faults[name];
        if (kind == 0) {
            endpoint.crash();
        } else if (kind == 1) {
            world.nodes[endpoint.node()].isolated = true;
        } else if (kind == 2) {
            world.cutOff.insert(world.nodes[endpoint.node()].dataCentre);
        } else {
            cluster.control->submit(PlanStop{primary});
        }
        world.runUntil(world.time() + 6s);
        check(cluster.view(group).primary != primary, "the primary has moved");
        if (kind == 0) {
            endpoint.restart();
        } else if (kind == 3) {
            cluster.control->submit(CancelStop{primary});
        }
        world.nodes[endpoint.node()].isolated = false;
        world.cutOff.clear();
        world.runUntil(world.time() + world.random.between(3s, 5s));
        check(cluster.serving(1s), "a lost primary is replaced");
        const auto &gaps = cluster.history.gaps();
        for (auto i = gapsBefore; i < gaps.size(); ++i) {
            world.report.samples["gap of writes, " + name + " ms"].push_back(
                static_cast<std::uint64_t>(toMilliseconds(gaps[i])));
        }
    }
    checkLogs(cluster);
    cluster.addReports();
    return world.report;
}

} // namespace hyssoprock::random_runs
