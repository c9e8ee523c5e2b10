#include <hyssoprock/promotion/replica_pauses.hpp>

#include <algorithm>

namespace hyssoprock::internal {

namespace {

constexpr Duration resumeRetryInterval = std::chrono::milliseconds{300};
/// An unanswered pause may take effect after the resume that was sent immediately, so the resume is
/// repeated.
constexpr Duration repeatResumeDelay = unansweredOperationLifetime + std::chrono::seconds{1};

} // namespace

void ReplicaPauses::restore(const ResumeRecord &record, Instant now)
{
    resumeLog_.restore(record.endpoints);
    for (const auto &endpoint : record.endpoints) {
        replicas_[endpoint].unansweredResumes[0] = now;
    }
}

void ReplicaPauses::pause(const std::vector<const KnownEndpoint *> &replicas, std::uint64_t term,
                          Instant now)
{
    roundActive_ = true;
    for (auto &[id, replica] : replicas_) {
        replica.safeFromLateResume = false;
        replica.row.reset();
    }
    for (const auto *const endpoint : replicas) {
        const auto &record = endpoint->record;
        auto &replica = replicas_[record.id];
        std::erase_if(replica.unansweredResumes, [now](const auto &open) {
            return open.second + unansweredOperationLifetime <= now;
        });
        if (replica.pauseOperationId != 0 && !replica.pauseCompleted) {
            replica.repeatResumeAt = replica.pauseSentAt + repeatResumeDelay;
        }
        replica.pauseOperationId = ++scope_.controller().lastOperationId;
        replica.bornMs = record.bornMs;
        replica.pauseTerm = term;
        replica.pauseSentAt = now;
        replica.pauseCompleted = false;
        replica.safeFromLateResume = replica.unansweredResumes.empty();
        replica.row.reset();
        replica.mustResume = true;
        scope_.addAction(promotion::SendOperation{replica.pauseOperationId, scope_.service(),
                                                  record.id, record.address,
                                                  EndpointOperation::Pause, term});
    }
}

void ReplicaPauses::handle(const promotion::OperationCompleted &event, Instant now)
{
    if (event.operationId == sweepOperationId_ && event.row
        && sweepPending_.erase(event.endpoint) != 0 && event.row->termHeld != 0 && !roundActive_) {
        auto &replica = replicas_[event.endpoint];
        replica.mustResume = true;
        replica.nextResumeAt = now;
    }
    const auto found = replicas_.find(event.endpoint);
    if (found == replicas_.end()) {
        return;
    }
    auto &replica = found->second;
    if (event.operationId == replica.pauseOperationId) {
        replica.pauseCompleted = true;
        replica.row = event.row;
        if (!event.row && event.mayTakeEffect) {
            replica.repeatResumeAt = replica.pauseSentAt + repeatResumeDelay;
        }
        return;
    }
    const auto open = replica.unansweredResumes.find(event.operationId);
    if (open == replica.unansweredResumes.end()) {
        return;
    }
    if (event.row || !event.mayTakeEffect) {
        replica.unansweredResumes.erase(open);
    }
    if (event.row && !roundActive_) {
        replica.mustResume = false;
        replica.pauseOperationId = 0;
    }
}

void ReplicaPauses::release(Instant now)
{
    roundActive_ = false;
    for (auto &[id, replica] : replicas_) {
        if (!replica.mustResume) {
            continue;
        }
        replica.safeFromLateResume = false;
        replica.nextResumeAt = now;
        if (replica.pauseOperationId != 0 && !replica.pauseCompleted) {
            replica.repeatResumeAt = replica.pauseSentAt + repeatResumeDelay;
        }
    }
    evaluate(now);
}

void ReplicaPauses::sweep()
{
    sweepOperationId_ = ++scope_.controller().lastOperationId;
    sweepPending_.clear();
    for (const auto *const member : scope_.members()) {
        const auto &record = member->record;
        sweepPending_.insert(record.id);
        scope_.addAction(promotion::SendOperation{sweepOperationId_, scope_.service(), record.id,
                                                  record.address, EndpointOperation::Status, 0});
    }
}

bool ReplicaPauses::isSweepIncomplete() const
{
    return std::any_of(sweepPending_.begin(), sweepPending_.end(), [this](const auto &id) {
        const auto *const endpoint = scope_.find(id);
        return endpoint != nullptr && !endpoint->expired;
    });
}

void ReplicaPauses::evaluate(Instant now)
{
    for (auto &[id, replica] : replicas_) {
        std::erase_if(replica.unansweredResumes, [now](const auto &open) {
            return open.second + unansweredOperationLifetime <= now;
        });
        if (scope_.find(id) == nullptr) {
            // Its resumes may still take effect once the endpoint is known again.
            replica = Replica{.unansweredResumes = std::move(replica.unansweredResumes)};
        }
    }
    std::erase_if(replicas_, [this](const auto &entry) {
        return scope_.find(entry.first) == nullptr && entry.second.unansweredResumes.empty();
    });
    if (!roundActive_) {
        sendDueResumes(now);
    }
    updateResumeLog(now);
}

void ReplicaPauses::sendDueResumes(Instant now)
{
    for (auto &[id, replica] : replicas_) {
        if (replica.repeatResumeAt && now >= *replica.repeatResumeAt) {
            replica.repeatResumeAt.reset();
            replica.mustResume = true;
            replica.nextResumeAt = now;
        }
        if (replica.mustResume && now >= replica.nextResumeAt && resumeLog_.isIntended(id)) {
            replica.nextResumeAt = now + resumeRetryInterval;
            sendResume(id, replica, now);
        }
    }
}

void ReplicaPauses::updateResumeLog(Instant now)
{
    std::set<std::string> toResume;
    std::set<std::string> finished;
    for (const auto &[id, replica] : replicas_) {
        if (replica.mustResume && !roundActive_) {
            toResume.insert(id);
        }
    }
    for (const auto &id : resumeLog_.unfinished()) {
        const auto found = replicas_.find(id);
        if (!toResume.contains(id)
            && (found == replicas_.end() || found->second.unansweredResumes.empty())) {
            finished.insert(id);
        }
    }
    resumeLog_.update(toResume, finished, now);
}

void ReplicaPauses::sendResume(const std::string &id, Replica &replica, Instant now)
{
    const auto operationId = ++scope_.controller().lastOperationId;
    replica.unansweredResumes[operationId] = now;
    scope_.addAction(promotion::SendOperation{operationId, scope_.service(), id,
                                              scope_.find(id)->record.address,
                                              EndpointOperation::Resume, 0});
}

std::optional<Instant> ReplicaPauses::nextDeadline() const
{
    auto next = resumeLog_.retryAt();
    const auto consider = [&next](Instant at) { next = std::min(next.value_or(at), at); };
    for (const auto &[id, replica] : replicas_) {
        // Until the intent is committed, the next event is the completion of the proposal.
        if (!roundActive_ && replica.mustResume && resumeLog_.isIntended(id)) {
            consider(replica.nextResumeAt);
        }
        if (!roundActive_ && replica.repeatResumeAt) {
            consider(*replica.repeatResumeAt);
        }
        for (const auto &[operationId, sentAt] : replica.unansweredResumes) {
            consider(sentAt + unansweredOperationLifetime);
        }
    }
    return next;
}

std::map<std::string, EndpointStatusRow>
ReplicaPauses::pausedReplicas(const std::string &replaced) const
{
    std::map<std::string, EndpointStatusRow> rows;
    if (!roundActive_) {
        return rows;
    }
    for (const auto *const member : scope_.members()) {
        const auto found = replicas_.find(member->record.id);
        // A restart ends a pause, so only the incarnation that answered counts.
        if (found != replicas_.end() && member->record.id != replaced
            && found->second.safeFromLateResume && found->second.row
            && found->second.bornMs == member->record.bornMs
            && found->second.row->role == EndpointRole::Replica
            && found->second.row->termHeld >= found->second.pauseTerm) {
            rows.emplace(found->first, *found->second.row);
        }
    }
    return rows;
}

std::string ReplicaPauses::primaryResponder() const
{
    const auto found = std::find_if(replicas_.begin(), replicas_.end(), [](const auto &entry) {
        return entry.second.pauseOperationId != 0 && entry.second.row
               && entry.second.row->role == EndpointRole::Primary;
    });
    return found == replicas_.end() ? std::string{} : found->first;
}

const EndpointStatusRow *ReplicaPauses::pauseResponse(const std::string &endpoint) const
{
    const auto found = replicas_.find(endpoint);
    return found == replicas_.end() || found->second.pauseOperationId == 0 || !found->second.row
               ? nullptr
               : &*found->second.row;
}

bool ReplicaPauses::isComplete() const
{
    return std::all_of(replicas_.begin(), replicas_.end(), [](const auto &entry) {
        return entry.second.pauseOperationId == 0 || entry.second.pauseCompleted;
    });
}

} // namespace hyssoprock::internal
