#include <hyssoprock/registry/endpoint_registry.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace hyssoprock {

namespace {

/// Entry hosts detect dead endpoints on their own, so this only limits what new entry hosts are
/// sent.
constexpr int expiryHeartbeatIntervals = 15;

/// A heartbeat is repeated at another control host if it is not answered, so a host without one for
/// this long may have missed that the endpoint is draining.
constexpr int recentHeartbeatIntervals = 3;

/// Maximum number of ended incarnations and of addresses to keep, at about 100 bytes each.
constexpr std::size_t rememberedEntriesMax = 65'536;

/// Whether a change is relevant to entry hosts. The sequence changes with each heartbeat, and the
/// warm-up time counts down.
bool isRelevantToEntryHosts(const EndpointRecord &existing, const EndpointRecord &next)
{
    auto comparable = existing;
    comparable.sequence = next.sequence;
    comparable.warmupMs = next.warmupMs;
    return comparable != next;
}

} // namespace

RegistryChanges EndpointRegistry::handleHeartbeat(const EndpointRecord &record, Instant now)
{
    RegistryChanges changes;
    if (const auto ended = ended_.find(record.id);
        ended != ended_.end() && record.bornMs <= ended->second.bornMs) {
        return changes;
    }
    const auto existing = endpoints_.find(record.id);
    if (existing != endpoints_.end()) {
        const auto &last = existing->second.record;
        if (std::pair{record.bornMs, record.sequence} <= std::pair{last.bornMs, last.sequence}) {
            return changes;
        }
    }
    const AddressHolder claim{record.bornMs, record.id};
    if (auto &holder = addressHolders_[record.address]; holder < claim) {
        if (const auto other = endpoints_.find(holder.id);
            holder.id != record.id && other != endpoints_.end()
            && other->second.record.address == record.address) {
            endIncarnation(other->first, other->second.record.bornMs, now, changes);
        }
        holder = claim;
    } else if (claim < holder) {
        endIncarnation(record.id, record.bornMs, now, changes);
        return changes;
    }
    changes.newer = true;
    if (existing == endpoints_.end()) {
        endpoints_.emplace(record.id, KnownEndpoint{record, now, now, now, false});
        changes.changed.push_back(record);
        limitMemory();
        return changes;
    }
    auto &endpoint = existing->second;
    const bool restarted = endpoint.record.bornMs != record.bornMs;
    if (endpoint.expired || isRelevantToEntryHosts(endpoint.record, record)) {
        changes.changed.push_back(record);
    }
    if (restarted) {
        endpoint.firstHeartbeatAt = now;
    }
    if (restarted || endpoint.record.role != record.role) {
        endpoint.roleSince = now;
    }
    endpoint.record = record;
    endpoint.lastHeartbeatAt = now;
    endpoint.expired = false;
    return changes;
}

RegistryChanges EndpointRegistry::handleLeave(std::string_view id, Instant now)
{
    RegistryChanges changes;
    if (const auto *const endpoint = find(id);
        endpoint != nullptr && mayBeLeaving(*endpoint, now)) {
        changes = handleLeave(EndpointGone{std::string{id}, endpoint->record.bornMs}, now);
    }
    return changes;
}

bool EndpointRegistry::mayBeLeaving(const KnownEndpoint &endpoint, Instant now) const
{
    return endpoint.record.phase == EndpointPhase::Draining
           || now - endpoint.lastHeartbeatAt >= recentHeartbeatIntervals * heartbeatInterval_;
}

RegistryChanges EndpointRegistry::handleLeave(const EndpointGone &gone, Instant now)
{
    RegistryChanges changes;
    endIncarnation(gone.id, gone.bornMs, now, changes);
    return changes;
}

RegistryChanges EndpointRegistry::expire(Instant now)
{
    RegistryChanges changes;
    for (auto &[id, endpoint] : endpoints_) {
        if (!endpoint.expired
            && now - endpoint.lastHeartbeatAt >= expiryHeartbeatIntervals * heartbeatInterval_) {
            endpoint.expired = true;
            changes.gone.push_back({id, endpoint.record.bornMs});
        }
    }
    return changes;
}

std::optional<Instant> EndpointRegistry::nextExpiry() const
{
    std::optional<Instant> next;
    for (const auto &[id, endpoint] : endpoints_) {
        const auto expiry =
            endpoint.lastHeartbeatAt + expiryHeartbeatIntervals * heartbeatInterval_;
        if (!endpoint.expired && (!next || expiry < *next)) {
            next = expiry;
        }
    }
    return next;
}

const KnownEndpoint *EndpointRegistry::find(std::string_view id) const
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second;
}

std::vector<const KnownEndpoint *> EndpointRegistry::members(std::string_view service) const
{
    std::vector<const KnownEndpoint *> members;
    for (const auto &[id, endpoint] : endpoints_) {
        if (endpoint.record.service == service) {
            members.push_back(&endpoint);
        }
    }
    return members;
}

std::vector<std::string> EndpointRegistry::services() const
{
    std::set<std::string> names;
    for (const auto &[id, endpoint] : endpoints_) {
        names.insert(endpoint.record.service);
    }
    return {names.begin(), names.end()};
}

std::vector<EndpointRecord> EndpointRegistry::snapshot() const
{
    std::vector<EndpointRecord> records;
    for (const auto &[id, endpoint] : endpoints_) {
        if (!endpoint.expired) {
            records.push_back(endpoint.record);
        }
    }
    return records;
}

void EndpointRegistry::endIncarnation(const std::string &id, std::uint64_t bornMs, Instant now,
                                      RegistryChanges &changes)
{
    if (auto &ended = ended_[id]; ended.bornMs < bornMs) {
        ended = {bornMs, now};
    }
    if (const auto existing = endpoints_.find(id);
        existing != endpoints_.end() && existing->second.record.bornMs <= bornMs) {
        if (!existing->second.expired) {
            changes.gone.push_back({id, existing->second.record.bornMs});
        }
        endpoints_.erase(existing);
    }
    limitMemory();
}

std::vector<EndpointGone> EndpointRegistry::ended() const
{
    std::vector<EndpointGone> result;
    result.reserve(ended_.size());
    for (const auto &[id, incarnation] : ended_) {
        result.push_back({id, incarnation.bornMs});
    }
    return result;
}

void EndpointRegistry::limitMemory()
{
    if (ended_.size() > rememberedEntriesMax) {
        ended_.erase(
            std::min_element(ended_.begin(), ended_.end(), [](const auto &left, const auto &right) {
                return left.second.endedAt < right.second.endedAt;
            }));
    }
    if (addressHolders_.size() > rememberedEntriesMax) {
        std::erase_if(addressHolders_, [this](const auto &entry) {
            return endpoints_.find(entry.second.id) == endpoints_.end();
        });
    }
}

} // namespace hyssoprock
