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

void EvidenceTable::add(const HostPlace &prober, const FailureEvidence &evidence,
                        Instant receivedAt)
{
    auto &report = reports_[evidence.endpoint][prober.host];
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
                                                   const std::vector<HostPlace> &probers,
                                                   Instant now) const
{
    const auto found = reports_.find(endpoint);
    if (found == reports_.end()) {
        return std::nullopt;
    }
    std::set<std::string_view> allDataCentres;
    std::set<std::string_view> silentDataCentres;
    std::vector<std::string> silent;
    Instant newest = Instant::min();
    for (const auto &prober : probers) {
        allDataCentres.insert(prober.dataCentre);
        const auto entry = found->second.find(prober.host);
        if (entry == found->second.end()) {
            continue;
        }
        const auto &report = entry->second;
        newest = std::max(newest, report.answeredAt());
        if (isSilence(report, now)) {
            silent.push_back(toString(prober));
            silentDataCentres.insert(prober.dataCentre);
        }
    }
    const auto dataCentresNeeded = std::min<std::size_t>(allDataCentres.size(), probersNeeded);
    if (silent.size() < probersNeeded || silentDataCentres.size() < dataCentresNeeded
        || newest + interval_ > now) {
        return std::nullopt;
    }
    FailureVerdict verdict{newest, "silent for"};
    for (const auto &name : silent) {
        verdict.reason += " " + name;
    }
    return verdict;
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
