// Cost of the host leases for growing numbers of entry hosts and groups: bytes of a renewal and its
// answer while nothing changes, mean bytes of what changes in a day, processor time of the leader
// for renewals and for its own sweeps and probes, and the leader's memory.
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

constexpr std::size_t dataCentres = 6;
constexpr std::size_t endpointsPerGroup = 3;
constexpr std::size_t hostsPerGroup = 8; // Entry hosts that use one group's endpoints.
constexpr std::size_t frameHeaderBytes = 16;
constexpr std::size_t packetHeaderBytes = 52; // IPv4 and TCP with timestamps.
constexpr std::size_t rounds = 5;
constexpr double renewalsPerSecond = 2.5;
constexpr double secondsPerDay = 86'400;

// Events of a day at the size in two years. A host that fails or restarts leaves the list of hosts
// and comes back, so each event changes the list twice.
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

Announcement announcementOf(std::size_t group, std::size_t instance)
{
    return {endpointName(group, instance),
            groupName(group),
            "dc-" + std::to_string((group + instance) % dataCentres),
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
            catalog.apply(CatalogCommand{RecordEndpoint{announcementOf(group, instance)}}, ++index);
        }
        const auto name = groupName(group);
        catalog.apply(CatalogCommand{BeginTerm{name, 1}}, ++index);
        catalog.apply(CatalogCommand{SetPrimary{name, 1, endpointName(group, 0)}}, ++index);
        catalog.apply(CatalogCommand{ActivatePrimary{name, 1}}, ++index);
    }
}

/// The renewal of a host that is up to date: what it sends again and again.
HostRenewRequest steadyRenewal(std::size_t host, const Scale &scale, const Catalog &catalog)
{
    HostRenewRequest request;
    request.host = "entry-" + std::to_string(host);
    request.dataCentre = "dc-" + std::to_string(host % dataCentres);
    request.incarnation = 1;
    request.viewVersion = catalog.viewVersion();
    request.configRevision = catalog.configuration().revision;
    const auto used = std::min(scale.hosts, hostsPerGroup);
    for (std::size_t group = 0; group < scale.groups; ++group) {
        // Hosts that use a group are neighbours in a ring, so that each has the same number.
        const auto distance = (host + scale.hosts - group % scale.hosts) % scale.hosts;
        for (std::size_t instance = 0; instance < endpointsPerGroup; ++instance) {
            const auto endpoint = endpointName(group, instance);
            if (distance < used) {
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

/// A leader with its catalogue, and the entry hosts that renew with it.
class World
{
public:
    explicit World(const Scale &scale)
        : scale_{scale}
    {
        fillCatalog(catalog_, scale.groups);
        perform(coordinator_.handle(LeadershipGained{1}, now_, true));
        for (std::size_t host = 0; host < scale.hosts; ++host) {
            requests_.push_back(steadyRenewal(host, scale, catalog_));
        }
    }

    /// Every host renews once within the interval.
    void renewAll()
    {
        for (auto &request : requests_) {
            now_ += 400ms / static_cast<std::int64_t>(scale_.hosts);
            renew(request);
        }
    }

    /// One host renews, and takes what the answer tells it.
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
                request.hostsDigest = digestOfNames(answer->message.hosts);
            }
        }
    }

    /// The leader sweeps its groups and probes their endpoints, which answer at once.
    /// @return Processor time.
    double tick(Duration duration)
    {
        const auto begin = processorSeconds();
        for (const auto end = now_ + duration; now_ < end;) {
            now_ += 10ms;
            perform(coordinator_.handle(CoordinatorTick{}, now_, true));
        }
        return processorSeconds() - begin;
    }

    /// Bytes that a host receives when the list of hosts has changed.
    double hostListBytes()
    {
        auto &leaver = requests_.front();
        auto &other = requests_.back();
        clear();
        renew(other);
        const auto steady = answerBytes_;
        leaver.leaving = true;
        renew(leaver);
        leaver.leaving = false;
        clear();
        renew(other);
        return answerBytes_ - steady;
    }

    /// Bytes that a host receives when an operator's change is accepted.
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

    void clear()
    {
        requestBytes_ = 0;
        answerBytes_ = 0;
        renewalSeconds_ = 0;
    }

    [[nodiscard]] double requestBytes() const { return requestBytes_; }
    [[nodiscard]] double answerBytes() const { return answerBytes_; }
    [[nodiscard]] double renewalSeconds() const { return renewalSeconds_; }

private:
    void perform(const CoordinatorActions &actions)
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
            perform(coordinator_.handle(EndpointCallSucceeded{call->call, report}, now_, true));
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
    World world{scale};
    for (std::size_t round = 1; round < rounds; ++round) {
        world.renewAll();
        (void)world.tick(50ms);
    }
    world.clear();
    world.renewAll();
    const auto hosts = static_cast<double>(scale.hosts);
    const auto request = world.requestBytes() / hosts;
    const auto answer = world.answerBytes() / hosts;
    const auto perRenewal = world.renewalSeconds() / hosts;
    const auto sweeps = world.tick(500ms) / 0.5;
    world.renewAll();
    const auto overhead = static_cast<double>(frameHeaderBytes + packetHeaderBytes);
    const auto steady = (request + answer + 2 * overhead) * renewalsPerSecond / 1000;
    const auto hostLists = world.hostListBytes() * hostListChangesPerDay / secondsPerDay / 1000;
    const auto configuration =
        (world.configurationBytes() + overhead) * configurationChangesPerDay / secondsPerDay / 1000;
    std::printf("| %zu | %zu | %.0f | %.0f | %.2f | %.2f | %.2f | %.2f | %.1f | %.1f | %.1f "
                "| %.0f |\n",
                scale.hosts, scale.groups, request, answer, steady, hostLists, configuration,
                steady + hostLists + configuration, perRenewal * 1e6,
                perRenewal * hosts * renewalsPerSecond * 100, sweeps * 100, residentBytes() / 1e6);
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
