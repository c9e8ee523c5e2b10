#include <hyssoprock/failover/evidence_table.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace hyssoprock {

namespace {

/// Minimum number of probers that must report silence.
constexpr std::size_t probersNeeded = 2;

/// Limits the silence that a prober states, so that a corrupt value cannot overflow.
constexpr std::uint64_t silenceMaxMs = 86'400'000;

} // namespace

void EvidenceTable::add(const HostLocation &prober, const FailureEvidence &evidence,
                        Instant receivedAt)
{
    auto &report = reports_[evidence.endpoint][prober.host];
    report.dataCentre = prober.dataCentre;
    report.evidence = evidence;
    report.evidence.silentForMs = std::min(evidence.silentForMs, silenceMaxMs);
    report.receivedAt = receivedAt;
}

bool EvidenceTable::isSilence(const Report &report, Instant now) const noexcept
{
    return report.receivedAt + interval_ > now && !report.evidence.reachable
           && std::chrono::milliseconds{report.evidence.silentForMs} >= interval_;
}

bool EvidenceTable::hasSilenceReports(std::string_view endpoint, Instant now) const
{
    const auto found = reports_.find(endpoint);
    if (found == reports_.end()) {
        return false;
    }
    const auto silent =
        std::count_if(found->second.begin(), found->second.end(),
                      [&](const auto &entry) { return isSilence(entry.second, now); });
    return std::cmp_greater_equal(silent, probersNeeded);
}

std::optional<FailureDetection> EvidenceTable::detectFailure(std::string_view endpoint,
                                                             HostLeaseTable &leases,
                                                             const HostLocation &leader,
                                                             Instant now) const
{
    const auto found = reports_.find(endpoint);
    if (found == reports_.end()) {
        return std::nullopt;
    }
    std::set<std::string_view> silentDataCentres;
    std::vector<std::string> silent;
    Instant newest = Instant::min();
    for (const auto &[host, report] : found->second) {
        if (host != leader.host && !leases.isValid(host, now)) {
            continue;
        }
        newest = std::max(newest, report.respondedAt());
        if (isSilence(report, now)) {
            silent.push_back(toString(HostLocation{host, report.dataCentre}));
            silentDataCentres.insert(report.dataCentre);
        }
    }
    if (silent.size() < probersNeeded || newest + interval_ > now) {
        return std::nullopt;
    }
    // Iterating over all hosts comes last, because healthy endpoints are checked continuously.
    std::set<std::string> dataCentres{leader.dataCentre};
    for (const auto &location : leases.validHosts(now).locations) {
        dataCentres.insert(location.dataCentre);
    }
    if (silentDataCentres.size() < std::min(dataCentres.size(), probersNeeded)) {
        return std::nullopt;
    }
    FailureDetection failure{newest, "silent for"};
    for (const auto &name : silent) {
        failure.reason += " " + name;
    }
    return failure;
}

std::size_t EvidenceTable::countReachingHosts(std::string_view endpoint,
                                              const HostLeaseTable &leases, Instant now) const
{
    const auto found = reports_.find(endpoint);
    if (found == reports_.end()) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(found->second.begin(), found->second.end(), [&](const auto &entry) {
            const auto &[host, report] = entry;
            return report.evidence.reachable && report.receivedAt + interval_ > now
                   && leases.isValid(host, now);
        }));
}

std::optional<Instant> EvidenceTable::lastResponseAt(std::string_view endpoint) const
{
    const auto found = reports_.find(endpoint);
    if (found == reports_.end() || found->second.empty()) {
        return std::nullopt;
    }
    Instant newest = Instant::min();
    for (const auto &[host, report] : found->second) {
        newest = std::max(newest, report.respondedAt());
    }
    return newest;
}

} // namespace hyssoprock
