#include <hyssoprock/promotion/primary_tracker.hpp>

#include <algorithm>
#include <tuple>

namespace hyssoprock::internal {

namespace {

/// Time for the heartbeats of the other endpoints, including a primary's, to arrive.
constexpr Duration firstHeartbeatGracePeriod = std::chrono::seconds{1};
/// Time for another endpoint to report that it has become primary.
constexpr Duration roleChangeGracePeriod = std::chrono::seconds{1};

/// Promotions have odd epochs. The even epoch that follows is for primaries that were announced on
/// their own claim. Where primaries are withdrawn before a promotion, the odd epoch is that of the
/// withdrawal and the even one that of the promotion.
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
        announcePromoted(record.endpoint, record.token);
    } else if (!record.settled && scope_.requiresWithdrawal()) {
        // The call of the earlier leader may have been executed. An entry host that has not
        // received its withdrawal must not use the former primary under a new lease.
        withdraw(record.token);
    }
}

void PrimaryTracker::announcePromoted(const std::string &endpoint, std::uint64_t token)
{
    lastPromoted_ = endpoint;
    announce(endpoint, promotionEpoch(token) + (scope_.requiresWithdrawal() ? 1 : 0));
}

void PrimaryTracker::withdraw(std::uint64_t token)
{
    announce({}, promotionEpoch(token));
}

std::optional<std::uint64_t> PrimaryTracker::withdrawalEpoch() const
{
    return announced_.epoch != 0 && announced_.endpoint.empty() ? std::optional{announced_.epoch}
                                                                : std::nullopt;
}

bool PrimaryTracker::isClaimTrusted(const std::string &endpoint) const
{
    // Without fencing a deposed primary goes on claiming to be primary until it learns of its
    // successor.
    return scope_.isFenced() || lastPromoted_.empty() || lastPromoted_ == endpoint;
}

void PrimaryTracker::acceptPromotion(const std::string &endpoint, std::uint64_t token, Instant now)
{
    accepted_ = Accepted{endpoint, now, {}, false, false};
    if (const auto *const target = scope_.find(endpoint)) {
        accepted_->bornMs = target->record.bornMs;
    }
    acceptedToken_ = token;
    announcePromoted(endpoint, token);
}

void PrimaryTracker::acceptQueried(const KnownEndpoint &endpoint, Instant now)
{
    const auto &record = endpoint.record;
    accepted_ = Accepted{record.id, now, record.bornMs, false, false};
    announceClaim(record.id);
}

const KnownEndpoint *PrimaryTracker::primary(Instant now)
{
    if (accepted_) {
        const auto *const endpoint = scope_.find(accepted_->endpoint);
        const auto graceEnd = scope_.leadershipGraceEndsAt();
        bool contradicted = endpoint == nullptr;
        if (endpoint != nullptr) {
            const auto &record = endpoint->record;
            accepted_->bornMs = accepted_->bornMs.value_or(record.bornMs);
            const bool replica = record.role == EndpointRole::Replica;
            // It is not known whether the target of an earlier leader ever reported that it is
            // primary.
            contradicted =
                *accepted_->bornMs != record.bornMs || (accepted_->hasReportedPrimary && replica)
                || (accepted_->isRestored && replica && endpoint->lastHeartbeatAt >= graceEnd);
            accepted_->hasReportedPrimary = accepted_->hasReportedPrimary || !replica;
        }
        if (accepted_->isRestored && now < graceEnd && contradicted) {
            scope_.evaluateBy(graceEnd);
            return endpoint;
        }
        if (!contradicted) {
            recordPrimary(endpoint, now);
            return endpoint;
        }
        scope_.log(accepted_->endpoint + " is no longer primary");
        claimsValidSince_ = accepted_->isRestored ? Instant{} : accepted_->acceptedAt;
        accepted_.reset();
    }
    const KnownEndpoint *latest = nullptr;
    const auto rank = [](const KnownEndpoint &endpoint) {
        return std::tuple{!endpoint.expired, endpoint.roleSince, endpoint.record.bornMs};
    };
    for (const auto *const member : scope_.members()) {
        if (member->record.role == EndpointRole::Primary && member->roleSince >= claimsValidSince_
            && isClaimTrusted(member->record.id)
            && (latest == nullptr || rank(*latest) < rank(*member))) {
            latest = member;
        }
    }
    recordPrimary(latest, now);
    return latest;
}

void PrimaryTracker::recordPrimary(const KnownEndpoint *primary, Instant now)
{
    if (primary != nullptr) {
        missingSince_.reset();
        lastPrimary_ = primary->record.id;
        lastPrimaryBornMs_ = primary->record.bornMs;
    } else if (!missingSince_) {
        missingSince_ = now;
    }
}

bool PrimaryTracker::canAnnounceClaim() const noexcept
{
    return announced_.epoch <= promotionEpoch(acceptedToken_);
}

void PrimaryTracker::announceClaim(const std::string &endpoint)
{
    announce(endpoint, promotionEpoch(acceptedToken_) + 1);
}

void PrimaryTracker::announce(const std::string &endpoint, std::uint64_t epoch)
{
    announced_ = {scope_.service(), endpoint, epoch};
    if (!endpoint.empty()) {
        usedPrimary_ = endpoint;
    }
    scope_.log((endpoint.empty() ? "primary is withdrawn" : "primary is " + endpoint) + ", epoch "
               + std::to_string(epoch));
    scope_.addAction(promotion::AnnouncePrimary{announced_});
}

Instant PrimaryTracker::stableUntil() const
{
    return accepted_ && !accepted_->isRestored
               ? accepted_->acceptedAt + scope_.controller().settings.stableWindow
               : Instant{};
}

std::optional<Instant> PrimaryTracker::depositionEndsAt(Instant now) const
{
    if (!accepted_ || now >= accepted_->acceptedAt + depositionGracePeriod) {
        return std::nullopt;
    }
    bool done = accepted_->hasReportedPrimary;
    if (accepted_->isRestored) {
        // An earlier leader may have settled the call a moment ago, and an old heartbeat of the
        // target may date from an earlier time as primary.
        const auto *const endpoint = scope_.find(accepted_->endpoint);
        done = done && endpoint != nullptr && now < scope_.freshUntil(*endpoint);
    }
    return done ? std::nullopt : std::optional{accepted_->acceptedAt + depositionGracePeriod};
}

std::optional<Instant> PrimaryTracker::missingDeadline()
{
    const auto members = scope_.members();
    if (members.empty()) {
        return std::nullopt;
    }
    for (const auto *const member : members) {
        firstHeartbeatAt_ = std::min(firstHeartbeatAt_.value_or(member->firstHeartbeatAt),
                                     member->firstHeartbeatAt);
    }
    auto due =
        std::max(*firstHeartbeatAt_ + firstHeartbeatGracePeriod, scope_.leadershipGraceEndsAt());
    if (const auto *const last = scope_.find(lastPrimary_);
        missingSince_ && last != nullptr && last->record.bornMs == lastPrimaryBornMs_) {
        // The last primary is now a replica, so another endpoint may be about to report that it is
        // primary.
        due = std::max(due, *missingSince_ + roleChangeGracePeriod);
    }
    return due;
}

} // namespace hyssoprock::internal
