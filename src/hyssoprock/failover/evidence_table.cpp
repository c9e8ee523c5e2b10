#include <hyssoprock/failover/evidence_table.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace hyssoprock {

namespace {

/// Probers of one verdict that are named in its reason and must agree at least.
constexpr std::size_t probersNeeded = 2;

/// Caps a silence that a prober states, so that a damaged figure cannot overflow.
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

bool EvidenceTable::suspects(std::string_view endpoint, Instant now) const
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

std::optional<FailureVerdict> EvidenceTable::judge(std::string_view endpoint,
                                                   HostLeaseTable &leases,
                                                   const HostLocation &leader, Instant now) const
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
        newest = std::max(newest, report.answeredAt());
        if (isSilence(report, now)) {
            silent.push_back(toString(HostLocation{host, report.dataCentre}));
            silentDataCentres.insert(report.dataCentre);
        }
    }
    if (silent.size() < probersNeeded || newest + interval_ > now) {
        return std::nullopt;
    }
    // All hosts are looked at only here, because healthy endpoints are judged all the time.
    std::set<std::string> dataCentres{leader.dataCentre};
    for (const auto &place : leases.validHosts(now).places) {
        dataCentres.insert(place.dataCentre);
    }
    if (silentDataCentres.size() < std::min(dataCentres.size(), probersNeeded)) {
        return std::nullopt;
    }
    FailureVerdict verdict{newest, "silent for"};
    for (const auto &name : silent) {
        verdict.reason += " " + name;
    }
    return verdict;
}

std::size_t EvidenceTable::reachedBy(std::string_view endpoint, const HostLeaseTable &leases,
                                     Instant now) const
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

std::optional<Instant> EvidenceTable::lastAnswer(std::string_view endpoint) const
{
    const auto found = reports_.find(endpoint);
    if (found == reports_.end() || found->second.empty()) {
        return std::nullopt;
    }
    Instant newest = Instant::min();
    for (const auto &[host, report] : found->second) {
        newest = std::max(newest, report.answeredAt());
    }
    return newest;
}

} // namespace hyssoprock
