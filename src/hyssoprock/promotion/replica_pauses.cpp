#include <hyssoprock/promotion/replica_pauses.hpp>

#include <algorithm>

namespace hyssoprock::internal {

namespace {

constexpr Duration resumeInterval = std::chrono::milliseconds{300};
/// A pause without an answer may be carried out after the resume that was sent at once.
constexpr Duration resumeAgainDelay = lateOrder + std::chrono::seconds{1};

} // namespace

void ReplicaPauses::pause(const std::vector<const KnownEndpoint *> &replicas, std::uint64_t term,
                          Instant now)
{
    holding_ = true;
    for (auto &[id, replica] : replicas_) {
        replica.certain = false;
        replica.row.reset();
    }
    for (const auto *const endpoint : replicas) {
        const auto &record = endpoint->record;
        auto &replica = replicas_[record.id];
        std::erase_if(replica.openResumes,
                      [now](const auto &open) { return open.second + lateOrder <= now; });
        if (replica.pauseQuery != 0 && !replica.pauseEnded) {
            replica.resumeAgainAt = replica.pausedAt + resumeAgainDelay;
        }
        replica.pauseQuery = ++lastQuery_;
        replica.bornMs = record.bornMs;
        replica.pauseTerm = term;
        replica.pausedAt = now;
        replica.pauseEnded = false;
        replica.certain = replica.openResumes.empty();
        replica.row.reset();
        replica.owed = true;
        actions_.emplace_back(promotion::CommandEndpoint{
            replica.pauseQuery, service_, record.id, record.address, EndpointOrder::Pause, term});
    }
}

void ReplicaPauses::take(const promotion::StatusArrived &event, Instant /*now*/)
{
    const auto found = replicas_.find(event.endpoint);
    if (found == replicas_.end()) {
        return;
    }
    auto &replica = found->second;
    if (event.query == replica.pauseQuery) {
        replica.pauseEnded = true;
        replica.row = event.row;
        if (!event.row && event.mayRun) {
            replica.resumeAgainAt = replica.pausedAt + resumeAgainDelay;
        }
        return;
    }
    const auto open = replica.openResumes.find(event.query);
    if (open == replica.openResumes.end()) {
        return;
    }
    if (event.row || !event.mayRun) {
        replica.openResumes.erase(open);
    }
    if (event.row && !holding_) {
        replica.owed = false;
        replica.pauseQuery = 0;
    }
}

void ReplicaPauses::release(Instant now)
{
    holding_ = false;
    for (auto &[id, replica] : replicas_) {
        if (!replica.owed) {
            continue;
        }
        replica.certain = false;
        replica.resumeAt = now;
        if (replica.pauseQuery != 0 && !replica.pauseEnded) {
            replica.resumeAgainAt = replica.pausedAt + resumeAgainDelay;
        }
    }
    evaluate(now);
}

void ReplicaPauses::resumeAll(Instant now)
{
    for (const auto *const member : registry_.members(service_)) {
        if (member->record.role == EndpointRole::Replica) {
            resume(member->record.id, replicas_[member->record.id], now);
        }
    }
}

void ReplicaPauses::evaluate(Instant now)
{
    std::erase_if(replicas_,
                  [this](const auto &entry) { return registry_.find(entry.first) == nullptr; });
    if (holding_) {
        return;
    }
    for (auto &[id, replica] : replicas_) {
        if (replica.resumeAgainAt && now >= *replica.resumeAgainAt) {
            replica.resumeAgainAt.reset();
            replica.owed = true;
            replica.resumeAt = now;
        }
        if (replica.owed && now >= replica.resumeAt) {
            replica.resumeAt = now + resumeInterval;
            resume(id, replica, now);
        }
    }
}

void ReplicaPauses::resume(const std::string &id, Replica &replica, Instant now)
{
    const auto &record = registry_.find(id)->record;
    std::erase_if(replica.openResumes,
                  [now](const auto &open) { return open.second + lateOrder <= now; });
    replica.openResumes[++lastQuery_] = now;
    actions_.emplace_back(promotion::CommandEndpoint{lastQuery_, service_, id, record.address,
                                                     EndpointOrder::Resume, 0});
}

std::optional<Instant> ReplicaPauses::deadline() const
{
    std::optional<Instant> next;
    for (const auto &[id, replica] : replicas_) {
        if (!holding_ && replica.owed) {
            next = std::min(next.value_or(replica.resumeAt), replica.resumeAt);
        }
        if (!holding_ && replica.resumeAgainAt) {
            next = std::min(next.value_or(*replica.resumeAgainAt), *replica.resumeAgainAt);
        }
    }
    return next;
}

std::map<std::string, EndpointStatusRow> ReplicaPauses::paused(const std::string &replaced) const
{
    std::map<std::string, EndpointStatusRow> rows;
    if (!holding_) {
        return rows;
    }
    for (const auto *const member : registry_.members(service_)) {
        const auto found = replicas_.find(member->record.id);
        // A restart ends a pause, so only the incarnation that has answered counts.
        if (found != replicas_.end() && member->record.id != replaced && found->second.certain
            && found->second.row && found->second.bornMs == member->record.bornMs
            && found->second.row->role == EndpointRole::Replica
            && found->second.row->termHeld >= found->second.pauseTerm) {
            rows.emplace(found->first, *found->second.row);
        }
    }
    return rows;
}

bool ReplicaPauses::primaryAnswered() const
{
    return std::any_of(replicas_.begin(), replicas_.end(), [](const auto &entry) {
        return entry.second.pauseQuery != 0 && entry.second.row
               && entry.second.row->role == EndpointRole::Primary;
    });
}

bool ReplicaPauses::complete() const
{
    return std::all_of(replicas_.begin(), replicas_.end(), [](const auto &entry) {
        return entry.second.pauseQuery == 0 || entry.second.pauseEnded;
    });
}

} // namespace hyssoprock::internal
