#include <hyssoprock/registry/deployment_view.hpp>

#include <algorithm>
#include <iterator>
#include <tuple>

namespace hyssoprock {

namespace {

// Limits the memory for ended incarnations. An identifier is dropped only after this many others
// have ended, by which time no control host lists it any more.
constexpr std::size_t goneEndpointsMax = 4096;

bool isNewer(const EndpointRecord &left, const EndpointRecord &right)
{
    return std::tie(left.bornMs, left.sequence) > std::tie(right.bornMs, right.sequence);
}

} // namespace

DeploymentView::DeploymentView(Duration retention)
    : retention_{retention}
{}

bool DeploymentView::adoptDocument(std::shared_ptr<const DeploymentDocument> document)
{
    if (!document || (document_ && document->version <= document_->version)) {
        return false;
    }
    document_ = std::move(document);
    return true;
}

bool DeploymentView::hasLiveSource() const
{
    return std::any_of(sources_.begin(), sources_.end(),
                       [](const auto &entry) { return entry.second.live; });
}

bool DeploymentView::isGone(const EndpointRecord &record) const
{
    const auto found = gone_.find(record.id);
    return found != gone_.end() && record.bornMs <= found->second.bornMs;
}

void DeploymentView::mergeRecord(Records &records, const EndpointRecord &record)
{
    const auto [entry, added] = records.try_emplace(record.id, record);
    if (!added && isNewer(record, entry->second)) {
        entry->second = record;
    }
}

void DeploymentView::markGone(const std::string &controlHost, const EndpointGone &gone)
{
    const auto [entry, added] = gone_.try_emplace(gone.id, Gone{gone.bornMs, {}});
    if (entry->second.bornMs < gone.bornMs) {
        entry->second = {gone.bornMs, {}};
    }
    if (entry->second.bornMs == gone.bornMs) {
        entry->second.reporters.insert(controlHost);
    }
    if (added) {
        goneOrder_.push_back(gone.id);
    }
    if (goneOrder_.size() > goneEndpointsMax) {
        gone_.erase(goneOrder_.front());
        goneOrder_.pop_front();
    }
    for (auto *records : {&retained_, &sources_.at(controlHost).endpoints}) {
        if (const auto found = records->find(gone.id);
            found != records->end() && isGone(found->second)) {
            records->erase(found);
        }
    }
}

void DeploymentView::clearGone(const std::string &controlHost, const EndpointRecord &record)
{
    // A control host never lists an incarnation again after it has left.
    if (const auto found = gone_.find(record.id);
        found != gone_.end() && found->second.bornMs == record.bornMs
        && found->second.reporters.contains(controlHost)) {
        gone_.erase(found);
    }
}

DeploymentViewChanges DeploymentView::applyUpdate(const std::string &controlHost,
                                                  const DeploymentUpdate &update, Instant now)
{
    auto &source = sources_[controlHost];
    if (!source.live && !update.complete) {
        return {};
    }
    if (!source.live && !hasLiveSource() && !retained_.empty()) {
        retainedUntil_ = now + retention_;
    }
    source.live = true;
    if (update.complete) {
        source.endpoints.clear();
    }
    for (const auto &gone : update.gone) {
        markGone(controlHost, gone);
    }
    for (const auto &record : update.endpoints) {
        clearGone(controlHost, record);
        mergeRecord(source.endpoints, record);
    }
    if (update.entryHosts > 0) {
        source.entryHosts = update.entryHosts;
    }
    if (!update.controlHosts.empty()) {
        source.controlHosts = update.controlHosts;
    }
    std::vector<PrimaryRecord> primaries;
    for (const auto &primary : update.primaries) {
        const auto [entry, added] = primaries_.try_emplace(primary.service, primary);
        if (added || primary.epoch > entry->second.epoch) {
            entry->second = primary;
            primaries.push_back(primary);
        }
    }
    auto changes = recompute();
    changes.primaries = std::move(primaries);
    return changes;
}

DeploymentViewChanges DeploymentView::handleDisconnect(const std::string &controlHost, Instant now)
{
    const auto found = sources_.find(controlHost);
    if (found == sources_.end() || !found->second.live) {
        return {};
    }
    auto &source = found->second;
    source.live = false;
    for (const auto &[id, record] : source.endpoints) {
        mergeRecord(retained_, record);
    }
    source.endpoints.clear();
    // After a restart the control host may list an incarnation that left in the meantime, so its
    // list does not refute what the others have reported.
    for (auto entry = gone_.begin(); entry != gone_.end();) {
        auto &reporters = entry->second.reporters;
        const auto forgotten =
            reporters.erase(controlHost) > 0
            && std::none_of(reporters.begin(), reporters.end(), [this](const auto &reporter) {
                   const auto other = sources_.find(reporter);
                   return other != sources_.end() && other->second.live;
               });
        entry = forgotten ? gone_.erase(entry) : std::next(entry);
    }
    retainedUntil_ = hasLiveSource() ? std::optional{now + retention_} : std::nullopt;
    return recompute();
}

DeploymentViewChanges DeploymentView::expireRetained(Instant now)
{
    if (!retainedUntil_ || now < *retainedUntil_) {
        return {};
    }
    retainedUntil_.reset();
    retained_.clear();
    return recompute();
}

std::optional<Instant> DeploymentView::nextDeadline() const
{
    return retainedUntil_;
}

bool DeploymentView::isControlHostListed(const std::string &ip) const
{
    return std::any_of(sources_.begin(), sources_.end(), [&](const auto &entry) {
        const auto &list = entry.second.controlHosts;
        return std::find(list.begin(), list.end(), ip) != list.end();
    });
}

void DeploymentView::forget(const std::string &controlHost)
{
    if (const auto found = sources_.find(controlHost);
        found != sources_.end() && !found->second.live) {
        sources_.erase(found);
    }
}

DeploymentViewChanges DeploymentView::recompute()
{
    Records merged = retained_;
    std::uint32_t entryHosts = 0;
    for (const auto &[host, source] : sources_) {
        if (source.live) {
            for (const auto &[id, record] : source.endpoints) {
                mergeRecord(merged, record);
            }
            entryHosts = std::max(entryHosts, source.entryHosts);
        }
    }
    std::erase_if(merged, [this](const auto &entry) { return isGone(entry.second); });
    // Only one process at a time uses an address, so the older incarnation at this address has
    // ended.
    std::map<std::string, const EndpointRecord *> byAddress;
    for (const auto &[id, record] : merged) {
        const auto [entry, added] = byAddress.try_emplace(record.address, &record);
        if (!added && isNewer(record, *entry->second)) {
            entry->second = &record;
        }
    }
    std::vector<EndpointRecord> endpoints;
    for (const auto &[id, record] : merged) {
        if (byAddress.at(record.address) == &record) {
            endpoints.push_back(record);
        }
    }
    DeploymentViewChanges changes;
    if (endpoints != endpoints_) {
        endpoints_ = std::move(endpoints);
        changes.endpoints = true;
    }
    if (entryHosts > 0 && entryHosts != entryHosts_) {
        entryHosts_ = entryHosts;
        changes.entryHosts = true;
    }
    return changes;
}

} // namespace hyssoprock
