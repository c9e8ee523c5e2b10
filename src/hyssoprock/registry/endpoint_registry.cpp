#include <hyssoprock/registry/endpoint_registry.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace hyssoprock {

namespace {

/// Entry hosts notice dead endpoints by themselves, so this only limits what new hosts are told.
constexpr int expiryIntervals = 15;

/// Ended incarnations and addresses that are remembered; about 100 bytes each.
constexpr std::size_t rememberedMax = 65'536;

/// Whether entry hosts would act differently. The sequence changes with each handleHeartbeat, and
/// the warm-up time counts down.
bool differsForEntryHosts(const EndpointRecord &held, const EndpointRecord &next)
{
    auto comparable = held;
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
    const auto held = known_.find(record.id);
    if (held != known_.end()) {
        const auto &last = held->second.record;
        if (std::pair{record.bornMs, record.sequence} <= std::pair{last.bornMs, last.sequence}) {
            return changes;
        }
    }
    const Holder claim{record.bornMs, record.id};
    if (auto &holder = holders_[record.address]; holder < claim) {
        if (const auto other = known_.find(holder.id);
            holder.id != record.id && other != known_.end()
            && other->second.record.address == record.address) {
            end(other->first, other->second.record.bornMs, now, changes);
        }
        holder = claim;
    } else if (claim < holder) {
        end(record.id, record.bornMs, now, changes);
        return changes;
    }
    changes.newer = true;
    if (held == known_.end()) {
        known_.emplace(record.id, KnownEndpoint{record, now, now, now, false});
        changes.changed.push_back(record);
        limitMemory();
        return changes;
    }
    auto &endpoint = held->second;
    const bool restarted = endpoint.record.bornMs != record.bornMs;
    if (endpoint.expired || differsForEntryHosts(endpoint.record, record)) {
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
    if (const auto *const endpoint = find(id)) {
        changes = handleLeave(EndpointGone{std::string{id}, endpoint->record.bornMs}, now);
    }
    return changes;
}

RegistryChanges EndpointRegistry::handleLeave(const EndpointGone &gone, Instant now)
{
    RegistryChanges changes;
    end(gone.id, gone.bornMs, now, changes);
    return changes;
}

RegistryChanges EndpointRegistry::expire(Instant now)
{
    RegistryChanges changes;
    for (auto &[id, endpoint] : known_) {
        if (!endpoint.expired
            && now - endpoint.lastHeartbeatAt >= expiryIntervals * heartbeatInterval_) {
            endpoint.expired = true;
            changes.gone.push_back({id, endpoint.record.bornMs});
        }
    }
    return changes;
}

std::optional<Instant> EndpointRegistry::nextExpiry() const
{
    std::optional<Instant> next;
    for (const auto &[id, endpoint] : known_) {
        const auto expiry = endpoint.lastHeartbeatAt + expiryIntervals * heartbeatInterval_;
        if (!endpoint.expired && (!next || expiry < *next)) {
            next = expiry;
        }
    }
    return next;
}

const KnownEndpoint *EndpointRegistry::find(std::string_view id) const
{
    const auto found = known_.find(id);
    return found == known_.end() ? nullptr : &found->second;
}

std::vector<const KnownEndpoint *> EndpointRegistry::members(std::string_view service) const
{
    std::vector<const KnownEndpoint *> members;
    for (const auto &[id, endpoint] : known_) {
        if (endpoint.record.service == service) {
            members.push_back(&endpoint);
        }
    }
    return members;
}

std::vector<std::string> EndpointRegistry::services() const
{
    std::set<std::string> names;
    for (const auto &[id, endpoint] : known_) {
        names.insert(endpoint.record.service);
    }
    return {names.begin(), names.end()};
}

std::vector<EndpointRecord> EndpointRegistry::snapshot() const
{
    std::vector<EndpointRecord> records;
    for (const auto &[id, endpoint] : known_) {
        if (!endpoint.expired) {
            records.push_back(endpoint.record);
        }
    }
    return records;
}

void EndpointRegistry::end(const std::string &id, std::uint64_t bornMs, Instant now,
                           RegistryChanges &changes)
{
    if (auto &ended = ended_[id]; ended.bornMs < bornMs) {
        ended = {bornMs, now};
    }
    if (const auto held = known_.find(id);
        held != known_.end() && held->second.record.bornMs <= bornMs) {
        if (!held->second.expired) {
            changes.gone.push_back({id, held->second.record.bornMs});
        }
        known_.erase(held);
    }
    limitMemory();
}

void EndpointRegistry::limitMemory()
{
    if (ended_.size() > rememberedMax) {
        ended_.erase(
            std::min_element(ended_.begin(), ended_.end(), [](const auto &left, const auto &right) {
                return left.second.endedAt < right.second.endedAt;
            }));
    }
    if (holders_.size() > rememberedMax) {
        std::erase_if(holders_, [this](const auto &entry) {
            return known_.find(entry.second.id) == known_.end();
        });
    }
}

} // namespace hyssoprock
