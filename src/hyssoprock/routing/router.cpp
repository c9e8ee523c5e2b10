#include <hyssoprock/routing/router.hpp>

#include <algorithm>
#include <utility>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/routing/schema_choice.hpp>

namespace hyssoprock {

namespace {

using Target = RoutingDecision::Target;

/// The lag from a replica's last answer is used for this long. Later the replica is tried again.
constexpr Duration lagLifetime = std::chrono::milliseconds{500};

RoutingDecision refuse(ErrorKind kind, std::string_view reason)
{
    RoutingDecision decision;
    decision.target = Target::Refuse;
    decision.refusal = kind;
    decision.reason = reason;
    return decision;
}

} // namespace

std::string_view toString(AnswerVerdict verdict) noexcept
{
    switch (verdict) {
    case AnswerVerdict::Accept:
        return "accepted";
    case AnswerVerdict::BelowFloor:
        return "below the session's floor";
    case AnswerVerdict::TooOld:
        return "older than allowed";
    case AnswerVerdict::Incomplete:
        return "schema version not complete";
    case AnswerVerdict::WrongRole:
        return "endpoint does not follow the group";
    }
    return "unknown";
}

Router::Router(RouterSettings settings, const ViewTable &views, const EndpointTable &endpoints,
               const AgeTracker &ages, std::uint64_t seed)
    : settings_{std::move(settings)}
    , policy_{makePolicy(settings_.policy)}
    , views_{views}
    , endpoints_{endpoints}
    , ages_{ages}
    , random_{seed}
{
    check(policy_ != nullptr, "the routing policy is one of the three");
}

RoutingDecision Router::routeWrite(std::string_view group, Instant now) const
{
    const auto primary = views_.primary(group, now);
    if (primary.kind != ErrorKind::None) {
        return refuse(primary.kind, "no usable primary");
    }
    RoutingDecision decision;
    decision.target = Target::Primary;
    decision.endpoint = primary.endpoint;
    decision.term = primary.term;
    decision.reason = "work that may write";
    return decision;
}

RoutingDecision Router::routeRead(const ReadRequirements &requirements, Instant now)
{
    RoutingDecision decision;
    decision.target = Target::Primary;
    const bool ageAllowed = requirements.maxAge && *requirements.maxAge > Duration::zero();
    const bool replicas = ageAllowed && requirements.floor;
    if (!requirements.maxAge) {
        decision.reason = "replicas are not allowed";
    } else if (!ageAllowed) {
        // Answers take time on the network, so no replica's data has an age of zero.
        decision.reason = "no age is allowed";
    } else if (!requirements.floor) {
        decision.reason = "the session's floor is not known";
    } else {
        const bool mayWait = now < requirements.receivedAt + settings_.replicaWait;
        decision = policy_->choose(candidates(requirements, now), mayWait, random_);
    }
    if (decision.target == Target::Wait) {
        decision.retryAt = std::min(now + settings_.waitCheckInterval,
                                    requirements.receivedAt + settings_.replicaWait);
        return decision;
    }
    const auto primary = views_.primary(requirements.group, now);
    decision.term = primary.term;
    if (decision.target == Target::Replica) {
        return decision;
    }
    if (primary.kind != ErrorKind::None) {
        const bool isolated = replicas && primary.kind == ErrorKind::NoLease;
        return refuse(isolated ? ErrorKind::AgeNotProven : primary.kind, "no usable primary");
    }
    decision.endpoint = primary.endpoint;
    return decision;
}

std::vector<ReplicaCandidate> Router::candidates(const ReadRequirements &requirements,
                                                 Instant now) const
{
    std::vector<ReplicaCandidate> usable;
    const auto *view = views_.view(requirements.group);
    if (view == nullptr) {
        return usable;
    }
    for (const auto &member : view->members) {
        const auto &name = member.announcement.endpoint;
        const auto &known = endpoints_.find(name);
        const bool excluded =
            std::find(requirements.excluded.begin(), requirements.excluded.end(), name)
            != requirements.excluded.end();
        // The log of a fenced endpoint or of a primary of an earlier term may diverge at its end.
        const bool divergent = known.report.role == EndpointRole::Fenced
                               || (known.report.role == EndpointRole::Primary
                                   && known.report.position.term < view->term && known.lastAnswerAt
                                   && now - *known.lastAnswerAt < lagLifetime);
        if (name != view->primary && member.state == EndpointState::Active && !known.ejected
            && !excluded && !divergent) {
            usable.push_back(candidate(member, requirements, now));
        }
    }
    return usable;
}

ReplicaCandidate Router::candidate(const Member &member, const ReadRequirements &requirements,
                                   Instant now) const
{
    const auto &name = member.announcement.endpoint;
    const auto &known = endpoints_.find(name);
    const auto &position = known.report.position;
    ReplicaCandidate result;
    result.endpoint = name;
    result.sameDataCentre = member.announcement.dataCentre == settings_.dataCentre;
    result.inFlight = known.inFlight;
    const bool schema =
        requirements.rule == nullptr
        || chooseSchema(*requirements.rule, requirements.understands, position).has_value();
    const auto age = ages_.age(requirements.group, position, now);
    const bool reached = position >= *requirements.floor;
    result.eligible =
        schema && known.reportSentAt && reached && age && *age <= *requirements.maxAge;

    const bool recent = known.lastAnswerAt && now - *known.lastAnswerAt <= lagLifetime;
    if (!recent) {
        // Without a recent report the replica is tried; its answer is validated in any case.
        result.likelyEligible = schema || !known.reportSentAt;
        return result;
    }
    if (!schema || !known.replicaLag) {
        return result;
    }
    // At best the replica's lag has decreased by the time since its last answer, so a replica that
    // was too old by 10 ms is tried again after 10 ms. A wasted attempt costs a statement on a
    // replica, while a read on the primary costs a scarce connection and raises the floor.
    const auto lag = std::max(*known.replicaLag - (now - *known.lastAnswerAt), Duration{0});
    if (lag > *requirements.maxAge) {
        return result;
    }
    const auto floorAt = ages_.reachedAt(requirements.group, *requirements.floor).value_or(now);
    const auto caughtUpAt = floorAt + *known.replicaLag;
    result.likelyEligible = reached || caughtUpAt <= now;
    result.eligibleSoon = caughtUpAt <= requirements.receivedAt + settings_.replicaWait;
    return result;
}

AnswerVerdict Router::checkReplicaAnswer(const ReadRequirements &requirements,
                                         const LogPosition &completeFrom,
                                         const EndpointReport &report, Instant now) const
{
    const auto *view = views_.view(requirements.group);
    const bool deposed = report.role == EndpointRole::Primary && view != nullptr
                         && report.position.term < view->term;
    if (deposed || report.role == EndpointRole::Fenced || report.role == EndpointRole::Unknown) {
        return AnswerVerdict::WrongRole;
    }
    if (!requirements.floor || report.position < *requirements.floor) {
        return AnswerVerdict::BelowFloor;
    }
    if (report.position < completeFrom) {
        return AnswerVerdict::Incomplete;
    }
    const auto age = ages_.age(requirements.group, report.position, now);
    if (!age || !requirements.maxAge || *age > *requirements.maxAge) {
        return AnswerVerdict::TooOld;
    }
    return AnswerVerdict::Accept;
}

} // namespace hyssoprock
