#include <hyssoprock/promotion/replica_pauses.hpp>

#include <algorithm>

namespace hyssoprock::internal {

namespace {

constexpr Duration resumeInterval = std::chrono::milliseconds{300};
/// A pause without an answer may be carried out after the resume that was sent at once.
constexpr Duration resumeAgainDelay = lateOrder + std::chrono::seconds{1};

} // namespace

void ReplicaPauses::restore(const ResumeRecord &record, Instant now)
{
    log_.restore(record.endpoints);
    for (const auto &endpoint : record.endpoints) {
        replicas_[endpoint].openResumes[0] = now;
    }
}

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
        replica.pauseQuery = ++scope_.context().lastQuery;
        replica.bornMs = record.bornMs;
        replica.pauseTerm = term;
        replica.pausedAt = now;
        replica.pauseEnded = false;
        replica.certain = replica.openResumes.empty();
        replica.row.reset();
        replica.owed = true;
        scope_.act(promotion::SendOperation{replica.pauseQuery, scope_.service(), record.id,
                                            record.address, EndpointOperation::Pause, term});
    }
}

void ReplicaPauses::take(const promotion::OperationCompleted &event, Instant now)
{
    if (event.operationId == sweepQuery_ && event.row && unswept_.erase(event.endpoint) != 0
        && event.row->termHeld != 0 && !holding_) {
        auto &replica = replicas_[event.endpoint];
        replica.owed = true;
        replica.resumeAt = now;
    }
    const auto found = replicas_.find(event.endpoint);
    if (found == replicas_.end()) {
        return;
    }
    auto &replica = found->second;
    if (event.operationId == replica.pauseQuery) {
        replica.pauseEnded = true;
        replica.row = event.row;
        if (!event.row && event.mayTakeEffect) {
            replica.resumeAgainAt = replica.pausedAt + resumeAgainDelay;
        }
        return;
    }
    const auto open = replica.openResumes.find(event.operationId);
    if (open == replica.openResumes.end()) {
        return;
    }
    if (event.row || !event.mayTakeEffect) {
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

void ReplicaPauses::sweep()
{
    sweepQuery_ = ++scope_.context().lastQuery;
    unswept_.clear();
    for (const auto *const member : scope_.members()) {
        const auto &record = member->record;
        unswept_.insert(record.id);
        scope_.act(promotion::SendOperation{sweepQuery_, scope_.service(), record.id,
                                            record.address, EndpointOperation::Status, 0});
    }
}

bool ReplicaPauses::sweepIncomplete() const
{
    return std::any_of(unswept_.begin(), unswept_.end(), [this](const auto &id) {
        const auto *const endpoint = scope_.find(id);
        return endpoint != nullptr && !endpoint->expired;
    });
}

void ReplicaPauses::evaluate(Instant now)
{
    for (auto &[id, replica] : replicas_) {
        std::erase_if(replica.openResumes,
                      [now](const auto &open) { return open.second + lateOrder <= now; });
        if (scope_.find(id) == nullptr) {
            // Its resumes may be carried out once it is known again.
            replica = Replica{.openResumes = std::move(replica.openResumes)};
        }
    }
    std::erase_if(replicas_, [this](const auto &entry) {
        return scope_.find(entry.first) == nullptr && entry.second.openResumes.empty();
    });
    if (!holding_) {
        sendResumes(now);
    }
    recordResumes(now);
}

void ReplicaPauses::sendResumes(Instant now)
{
    for (auto &[id, replica] : replicas_) {
        if (replica.resumeAgainAt && now >= *replica.resumeAgainAt) {
            replica.resumeAgainAt.reset();
            replica.owed = true;
            replica.resumeAt = now;
        }
        if (replica.owed && now >= replica.resumeAt && log_.intended(id)) {
            replica.resumeAt = now + resumeInterval;
            resume(id, replica, now);
        }
    }
}

void ReplicaPauses::recordResumes(Instant now)
{
    std::set<std::string> wanted;
    std::set<std::string> finished;
    for (const auto &[id, replica] : replicas_) {
        if (replica.owed && !holding_) {
            wanted.insert(id);
        }
    }
    for (const auto &id : log_.unfinished()) {
        const auto found = replicas_.find(id);
        if (!wanted.contains(id)
            && (found == replicas_.end() || found->second.openResumes.empty())) {
            finished.insert(id);
        }
    }
    log_.update(wanted, finished, now);
}

void ReplicaPauses::resume(const std::string &id, Replica &replica, Instant now)
{
    const auto query = ++scope_.context().lastQuery;
    replica.openResumes[query] = now;
    scope_.act(promotion::SendOperation{query, scope_.service(), id,
                                        scope_.find(id)->record.address, EndpointOperation::Resume,
                                        0});
}

std::optional<Instant> ReplicaPauses::deadline() const
{
    auto next = log_.retryAt();
    const auto consider = [&next](Instant at) { next = std::min(next.value_or(at), at); };
    for (const auto &[id, replica] : replicas_) {
        // Until its intention is committed, the end of the proposal is awaited.
        if (!holding_ && replica.owed && log_.intended(id)) {
            consider(replica.resumeAt);
        }
        if (!holding_ && replica.resumeAgainAt) {
            consider(*replica.resumeAgainAt);
        }
        for (const auto &[query, sentAt] : replica.openResumes) {
            consider(sentAt + lateOrder);
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
    for (const auto *const member : scope_.members()) {
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

const EndpointStatusRow *ReplicaPauses::answer(const std::string &endpoint) const
{
    const auto found = replicas_.find(endpoint);
    return found == replicas_.end() || found->second.pauseQuery == 0 || !found->second.row
               ? nullptr
               : &*found->second.row;
}

bool ReplicaPauses::complete() const
{
    return std::all_of(replicas_.begin(), replicas_.end(), [](const auto &entry) {
        return entry.second.pauseQuery == 0 || entry.second.pauseEnded;
    });
}

} // namespace hyssoprock::internal
