#include <hyssoprock/promotion/primary_tracker.hpp>

#include <algorithm>
#include <tuple>

namespace hyssoprock::internal {

namespace {

/// Heartbeats of other endpoints, among them a primary's, must have time to arrive.
constexpr Duration firstHeartbeatGrace = std::chrono::seconds{1};
/// Time in which another endpoint may state that it has become primary.
constexpr Duration roleChangeGrace = std::chrono::seconds{1};

/// Epochs are odd for promotions; the even one after them is for what endpoints state.
constexpr std::uint64_t promotionEpoch(std::uint64_t token)
{
    return 2 * token + 1;
}

} // namespace

void PrimaryTracker::restore(const PromotionRecord &record, Instant now)
{
    acceptedToken_ = record.token;
    if (record.settled && record.promoted) {
        accepted_ = Accepted{record.endpoint, now, {}, false, true};
        name(record.endpoint, promotionEpoch(record.token));
    }
}

void PrimaryTracker::accept(const std::string &endpoint, std::uint64_t token, Instant now)
{
    accepted_ = Accepted{endpoint, now, {}, false, false};
    if (const auto *const target = scope_.find(endpoint)) {
        accepted_->bornMs = target->record.bornMs;
    }
    acceptedToken_ = token;
    name(endpoint, promotionEpoch(token));
}

void PrimaryTracker::acceptFound(const KnownEndpoint &endpoint, Instant now)
{
    const auto &record = endpoint.record;
    accepted_ = Accepted{record.id, now, record.bornMs, false, false};
    nameStated(record.id);
}

const KnownEndpoint *PrimaryTracker::primary(Instant now)
{
    if (accepted_) {
        const auto *const endpoint = scope_.find(accepted_->endpoint);
        const auto graceEnd = scope_.leadershipGraceEnd();
        bool contradicted = endpoint == nullptr;
        if (endpoint != nullptr) {
            const auto &record = endpoint->record;
            accepted_->bornMs = accepted_->bornMs.value_or(record.bornMs);
            const bool replica = record.role == EndpointRole::Replica;
            // Whether the target of an earlier leader has said that it is primary is not known.
            contradicted =
                *accepted_->bornMs != record.bornMs || (accepted_->saidPrimary && replica)
                || (accepted_->restored && replica && endpoint->lastHeartbeatAt >= graceEnd);
            accepted_->saidPrimary = accepted_->saidPrimary || !replica;
        }
        if (accepted_->restored && now < graceEnd && contradicted) {
            scope_.wakeAt(graceEnd);
            return endpoint;
        }
        if (!contradicted) {
            note(endpoint, now);
            return endpoint;
        }
        scope_.log(accepted_->endpoint + " is not primary any more");
        claimsCountFrom_ = accepted_->restored ? Instant{} : accepted_->at;
        accepted_.reset();
    }
    const KnownEndpoint *latest = nullptr;
    const auto rank = [](const KnownEndpoint &endpoint) {
        return std::tuple{!endpoint.expired, endpoint.roleSince, endpoint.record.bornMs};
    };
    for (const auto *const member : scope_.members()) {
        if (member->record.role == EndpointRole::Primary && member->roleSince >= claimsCountFrom_
            && (latest == nullptr || rank(*latest) < rank(*member))) {
            latest = member;
        }
    }
    note(latest, now);
    return latest;
}

void PrimaryTracker::note(const KnownEndpoint *primary, Instant now)
{
    if (primary != nullptr) {
        missingSince_.reset();
        lastPrimary_ = primary->record.id;
        lastPrimaryBornMs_ = primary->record.bornMs;
    } else if (!missingSince_) {
        missingSince_ = now;
    }
}

bool PrimaryTracker::mayName() const noexcept
{
    return named_.epoch <= promotionEpoch(acceptedToken_);
}

void PrimaryTracker::nameStated(const std::string &endpoint)
{
    name(endpoint, promotionEpoch(acceptedToken_) + 1);
}

void PrimaryTracker::name(const std::string &endpoint, std::uint64_t epoch)
{
    named_ = {scope_.service(), endpoint, epoch};
    scope_.log("primary is " + endpoint + ", epoch " + std::to_string(epoch));
    scope_.act(promotion::AnnouncePrimary{named_});
}

Instant PrimaryTracker::stableUntil() const
{
    return accepted_ && !accepted_->restored ? accepted_->at + scope_.context().stableWindow
                                             : Instant{};
}

std::optional<Instant> PrimaryTracker::depositionEnd(Instant now) const
{
    if (!accepted_ || now >= accepted_->at + depositionGrace) {
        return std::nullopt;
    }
    bool done = accepted_->saidPrimary;
    if (accepted_->restored) {
        // An earlier leader may have settled the call just now. An old heartbeat of the target may
        // be from a time when it was primary before.
        const auto *const endpoint = scope_.find(accepted_->endpoint);
        done = done && endpoint != nullptr && now < scope_.freshUntil(*endpoint);
    }
    return done ? std::nullopt : std::optional{accepted_->at + depositionGrace};
}

std::optional<Instant> PrimaryTracker::missingDue()
{
    const auto members = scope_.members();
    if (members.empty()) {
        return std::nullopt;
    }
    for (const auto *const member : members) {
        firstHeard_ =
            std::min(firstHeard_.value_or(member->firstHeartbeatAt), member->firstHeartbeatAt);
    }
    auto due = std::max(*firstHeard_ + firstHeartbeatGrace, scope_.leadershipGraceEnd());
    if (const auto *const last = scope_.find(lastPrimary_);
        missingSince_ && last != nullptr && last->record.bornMs == lastPrimaryBornMs_) {
        // It runs on as a replica, so another endpoint may be about to say that it is primary.
        due = std::max(due, *missingSince_ + roleChangeGrace);
    }
    return due;
}

} // namespace hyssoprock::internal
