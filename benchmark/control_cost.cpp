// Cost of the host leases for growing numbers of entry hosts and groups: bytes of a renewal and its
// response while nothing changes, mean traffic caused by the changes of a day, processor time of
// the leader for renewals and for its periodic checks and probes, and the leader's memory.
//
// usage: benchmark_control_cost

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>
#include <variant>
#include <vector>

#include <hyssoprock/catalog/catalog.hpp>
#include <hyssoprock/core/name_digest.hpp>
#include <hyssoprock/failover/coordinator.hpp>
#include <hyssoprock/limits/budget_allocator.hpp>
#include <hyssoprock/message/codec.hpp>

#include "process_usage.hpp"

namespace {

using namespace hyssoprock;
using namespace hyssoprock::benchmarks;
using namespace std::chrono_literals;

constexpr std::size_t dataCentreCount = 6;
constexpr std::size_t endpointsPerGroup = 3;
constexpr std::size_t hostsPerGroup = 8; // Entry hosts that use the endpoints of a group.
constexpr std::size_t frameHeaderBytes = 16;
constexpr std::size_t packetHeaderBytes = 52; // IPv4 and TCP with timestamps.
constexpr std::size_t roundCount = 5;
constexpr double renewalsPerSecond = 2.5;
constexpr double secondsPerDay = 86'400;

// Events per day at the deployment size expected in two years. A host that fails or restarts leaves
// the list of hosts and joins it again, so each event changes the list twice.
constexpr double hostListChangesPerDay = 2 * (630 + 26);
constexpr double configurationChangesPerDay = 4300;

struct Scale
{
    std::size_t hosts;
    std::size_t groups;
};

std::string groupName(std::size_t group)
{
    return "group-" + std::to_string(group);
}

std::string endpointName(std::size_t group, std::size_t instance)
{
    return groupName(group) + "-" + std::to_string(instance);
}

Announcement makeAnnouncement(std::size_t group, std::size_t instance)
{
    return {endpointName(group, instance),
            groupName(group),
            "dc-" + std::to_string((group + instance) % dataCentreCount),
            "10.0." + std::to_string(group % 250) + "." + std::to_string(instance) + ":5432",
            1,
            40,
            4};
}

void fillCatalog(Catalog &catalog, std::size_t groups)
{
    std::uint64_t index = 0;
    for (std::size_t group = 0; group < groups; ++group) {
        OperatorChange declare{"change-" + std::to_string(group), catalog.configuration().revision,
                               "operator", DeclareGroup{groupName(group), endpointsPerGroup}};
        catalog.apply(CatalogCommand{declare}, ++index);
        for (std::size_t instance = 0; instance < endpointsPerGroup; ++instance) {
            catalog.apply(CatalogCommand{RecordEndpoint{makeAnnouncement(group, instance)}},
                          ++index);
        }
        const auto name = groupName(group);
        catalog.apply(CatalogCommand{BeginTerm{name, 1}}, ++index);
        catalog.apply(CatalogCommand{SetPrimary{name, 1, endpointName(group, 0)}}, ++index);
        catalog.apply(CatalogCommand{ActivatePrimary{name, 1}}, ++index);
    }
}

/// The renewal that an up-to-date host sends periodically.
HostRenewRequest makeRenewal(std::size_t host, const Scale &scale, const Catalog &catalog)
{
    HostRenewRequest request;
    request.host = "entry-" + std::to_string(host);
    request.dataCentre = "dc-" + std::to_string(host % dataCentreCount);
    request.incarnation = 1;
    request.viewVersion = catalog.viewVersion();
    request.configRevision = catalog.configuration().revision;
    const auto userCount = std::min(scale.hosts, hostsPerGroup);
    for (std::size_t group = 0; group < scale.groups; ++group) {
        // The users of a group are neighbours on a ring of hosts, so that every host uses about
        // the same number of groups.
        const auto distance = (host + scale.hosts - group % scale.hosts) % scale.hosts;
        for (std::size_t instance = 0; instance < endpointsPerGroup; ++instance) {
            const auto endpoint = endpointName(group, instance);
            if (distance < userCount) {
                request.demand.push_back(BudgetDemand{endpoint, 3, 4});
            }
            if (distance < 3) {
                request.evidence.push_back(
                    FailureEvidence{endpoint, true, 100, "replica", 1, {1, 1000}});
            }
        }
    }
    return request;
}

/// A control leader with its catalogue, and the entry hosts that renew their leases with it.
class Simulation
{
public:
    explicit Simulation(const Scale &scale)
        : scale_{scale}
    {
        fillCatalog(catalog_, scale.groups);
        execute(coordinator_.handle(LeadershipGained{1}, now_, true));
        for (std::size_t host = 0; host < scale.hosts; ++host) {
            requests_.push_back(makeRenewal(host, scale, catalog_));
        }
    }

    /// Every host renews its lease once, evenly spaced over a renewal interval of 400 ms.
    void renewAll()
    {
        for (auto &request : requests_) {
            now_ += 400ms / static_cast<std::int64_t>(scale_.hosts);
            renew(request);
        }
    }

    /// Renews the lease of a host and applies the response to its next request.
    void renew(HostRenewRequest &request)
    {
        ++request.sequence;
        requestBytes_ += static_cast<double>(encode(request).size());
        const auto begin = processorSeconds();
        const auto actions =
            coordinator_.handle(RenewRequestReceived{request.sequence, request}, now_, true);
        renewalSeconds_ += processorSeconds() - begin;
        for (const auto &action : actions) {
            const auto *answer = std::get_if<SendRenewResponse>(&action);
            if (answer == nullptr) {
                continue;
            }
            answerBytes_ += static_cast<double>(encode(answer->message).size());
            if (!answer->message.hosts.empty()) {
                request.hostsDigest = computeNameDigest(answer->message.hosts);
            }
        }
    }

    /// Runs the periodic checks of the leader; endpoints respond to its probes at once.
    /// @return Processor time in seconds.
    double advance(Duration duration)
    {
        const auto begin = processorSeconds();
        for (const auto end = now_ + duration; now_ < end;) {
            now_ += 10ms;
            execute(coordinator_.handle(CoordinatorTick{}, now_, true));
        }
        return processorSeconds() - begin;
    }

    /// Bytes that a host receives after a change of the list of hosts.
    double hostListBytes()
    {
        auto &leavingHost = requests_.front();
        auto &other = requests_.back();
        resetMeasurements();
        renew(other);
        const auto steady = answerBytes_;
        leavingHost.leaving = true;
        renew(leavingHost);
        leavingHost.leaving = false;
        resetMeasurements();
        renew(other);
        return answerBytes_ - steady;
    }

    /// Bytes that a host receives after an operator's change.
    double configurationBytes()
    {
        const OperatorChange change{"last-change", catalog_.configuration().revision, "operator",
                                    PlanStop{endpointName(0, 1)}};
        const auto result = catalog_.apply(CatalogCommand{change}, catalog_.appliedIndex() + 1);
        double bytes = 0;
        for (const auto &action :
             coordinator_.handle(CommandCommitted{CatalogCommand{change}, result}, now_, true)) {
            if (const auto *push = std::get_if<PushView>(&action); push != nullptr) {
                bytes += static_cast<double>(encode(push->message).size());
            }
        }
        return bytes;
    }

    void resetMeasurements()
    {
        requestBytes_ = 0;
        answerBytes_ = 0;
        renewalSeconds_ = 0;
    }

    [[nodiscard]] double requestBytes() const { return requestBytes_; }
    [[nodiscard]] double answerBytes() const { return answerBytes_; }
    [[nodiscard]] double renewalSeconds() const { return renewalSeconds_; }

private:
    void execute(const CoordinatorActions &actions)
    {
        for (const auto &action : actions) {
            const auto *call = std::get_if<CallEndpoint>(&action);
            if (call == nullptr) {
                continue;
            }
            const auto &view = catalog_.groupOf(call->endpoint)->view;
            EndpointCallResponse report;
            report.role = view.primary == call->endpoint ? "primary" : "replica";
            report.term = view.term;
            report.primary = view.primary;
            report.position = {view.term, 1000};
            report.majorityIndex = 1000;
            execute(coordinator_.handle(EndpointCallSucceeded{call->call, report}, now_, true));
        }
    }

    Scale scale_;
    Catalog catalog_;
    Coordinator coordinator_{CoordinatorSettings{"control-1", "dc-0", {}, 10}, catalog_,
                             BudgetAllocator{6}};
    Instant now_{1h};
    std::vector<HostRenewRequest> requests_;
    double requestBytes_ = 0;
    double answerBytes_ = 0;
    double renewalSeconds_ = 0;
};

void measure(const Scale &scale)
{
    Simulation simulation{scale};
    for (std::size_t round = 1; round < roundCount; ++round) {
        simulation.renewAll();
        (void)simulation.advance(50ms);
    }
    simulation.resetMeasurements();
    simulation.renewAll();
    const auto hosts = static_cast<double>(scale.hosts);
    const auto request = simulation.requestBytes() / hosts;
    const auto answer = simulation.answerBytes() / hosts;
    const auto secondsPerRenewal = simulation.renewalSeconds() / hosts;
    const auto sweepLoad = simulation.advance(500ms) / 0.5;
    simulation.renewAll();
    const auto overhead = static_cast<double>(frameHeaderBytes + packetHeaderBytes);
    const auto steady = (request + answer + 2 * overhead) * renewalsPerSecond / 1000;
    const auto hostLists =
        simulation.hostListBytes() * hostListChangesPerDay / secondsPerDay / 1000;
    const auto configuration = (simulation.configurationBytes() + overhead)
                               * configurationChangesPerDay / secondsPerDay / 1000;
    std::printf("| %zu | %zu | %.0f | %.0f | %.2f | %.2f | %.2f | %.2f | %.1f | %.1f | %.1f "
                "| %.0f |\n",
                scale.hosts, scale.groups, request, answer, steady, hostLists, configuration,
                steady + hostLists + configuration, secondsPerRenewal * 1e6,
                secondsPerRenewal * hosts * renewalsPerSecond * 100, sweepLoad * 100,
                residentBytes() / 1e6);
    std::fflush(stdout);
}

} // namespace

int main()
{
    std::printf("| hosts | groups | request bytes | answer bytes | steady KB/s for each host "
                "| host list KB/s | configuration KB/s | KB/s in all | leader us for each renewal "
                "| leader %% of a core, renewals | leader %% of a core, sweeps | resident MB |\n"
                "|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const auto &scale : {Scale{9, 3}, Scale{100, 184}, Scale{500, 921}, Scale{1900, 3500}}) {
        measure(scale);
    }
    return 0;
}
