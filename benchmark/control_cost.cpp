// Cost of the host leases: bytes of a renewal and its answer, processor time of the leader for each
// renewal, and the leader's memory, for growing numbers of entry hosts and groups.
//
// usage: benchmark_control_cost

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <string>
#include <unistd.h>
#include <variant>
#include <vector>

#include <hyssoprock/catalog/catalog.hpp>
#include <hyssoprock/failover/coordinator.hpp>
#include <hyssoprock/limits/budget_allocator.hpp>
#include <hyssoprock/message/codec.hpp>

namespace {

using namespace hyssoprock;
using namespace std::chrono_literals;

constexpr std::size_t dataCentres = 6;
constexpr std::size_t endpointsPerGroup = 3;
constexpr std::size_t hostsPerGroup = 8; // Entry hosts that use one group's endpoints.
constexpr std::size_t frameHeaderBytes = 16;
constexpr std::size_t packetHeaderBytes = 52; // IPv4 and TCP with timestamps.
constexpr std::size_t rounds = 5;

struct Scale
{
    std::size_t hosts;
    std::size_t groups;
};

double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

double residentMegabytes()
{
    std::ifstream file{"/proc/self/statm"};
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE))) / 1e6;
}

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

void measure(const Scale &scale)
{
    Catalog catalog;
    fillCatalog(catalog, scale.groups);
    Coordinator coordinator{CoordinatorSettings{"control-1", "dc-0", {}, 10}, catalog,
                            BudgetAllocator{6}};
    Instant now{1h};
    (void)coordinator.handle(LeadershipGained{1}, now, true);

    std::vector<HostRenewRequest> requests;
    double requestBytes = 0;
    for (std::size_t host = 0; host < scale.hosts; ++host) {
        requests.push_back(steadyRenewal(host, scale, catalog));
        requestBytes += static_cast<double>(encode(requests.back()).size());
    }
    double answerBytes = 0;
    std::size_t answers = 0;
    double seconds = 0;
    for (std::size_t round = 0; round < rounds; ++round) {
        const auto begin = processorSeconds();
        for (auto &request : requests) {
            now += 400ms / static_cast<std::int64_t>(scale.hosts);
            ++request.sequence;
            for (const auto &action :
                 coordinator.handle(RenewReceived{request.sequence, request}, now, true)) {
                if (const auto *answer = std::get_if<AnswerRenew>(&action);
                    answer != nullptr && round + 1 == rounds) {
                    answerBytes += static_cast<double>(encode(answer->message).size());
                    ++answers;
                }
            }
        }
        if (round + 1 == rounds) {
            seconds = processorSeconds() - begin;
        }
    }
    const auto hosts = static_cast<double>(scale.hosts);
    const auto perRenewal = seconds / hosts;
    const auto overhead = static_cast<double>(frameHeaderBytes + packetHeaderBytes);
    const auto request = requestBytes / hosts;
    const auto answer = answers == 0 ? 0.0 : answerBytes / static_cast<double>(answers);
    const auto renewalsPerSecond = 2.5;
    std::printf("| %zu | %zu | %.0f | %.0f | %.2f | %.1f | %.1f | %.0f |\n", scale.hosts,
                scale.groups, request, answer,
                (request + answer + 2 * overhead) * renewalsPerSecond / 1000, perRenewal * 1e6,
                perRenewal * hosts * renewalsPerSecond * 100, residentMegabytes());
    std::fflush(stdout);
}

} // namespace

int main()
{
    std::printf("| hosts | groups | request bytes | answer bytes | KB/s for each host "
                "| leader us for each renewal | leader %% of a core | resident MB |\n"
                "|---|---|---|---|---|---|---|---|\n");
    for (const auto &scale : {Scale{9, 3}, Scale{100, 184}, Scale{500, 921}, Scale{1900, 3500}}) {
        measure(scale);
    }
    return 0;
}
