#include <hyssoprock/routing/router.hpp>

#include <algorithm>

namespace hyssoprock {

namespace {

using Target = RoutingDecision::Target;

RoutingDecision usePrimary(std::string_view reason)
{
    RoutingDecision decision;
    decision.target = Target::Primary;
    decision.reason = reason;
    return decision;
}

RoutingDecision useReplica(const ReplicaCandidate &candidate, std::string_view reason)
{
    RoutingDecision decision;
    decision.target = Target::Replica;
    decision.endpoint = candidate.endpoint;
    decision.reason = reason;
    return decision;
}

class PrimaryOnly final : public RoutingPolicy
{
public:
    [[nodiscard]] std::string_view name() const noexcept override { return "primary_only"; }
    [[nodiscard]] RoutingDecision choose(const std::vector<ReplicaCandidate> & /*candidates*/,
                                         bool /*mayWait*/, RandomSource & /*random*/) const override
    {
        return usePrimary("policy uses the primary only");
    }
};

/// Ignores positions; the validation of the answer discards what is too old.
class RandomReplica final : public RoutingPolicy
{
public:
    [[nodiscard]] std::string_view name() const noexcept override { return "random_replica"; }
    [[nodiscard]] RoutingDecision choose(const std::vector<ReplicaCandidate> &candidates,
                                         bool /*mayWait*/, RandomSource &random) const override
    {
        if (candidates.empty()) {
            return usePrimary("no replica left");
        }
        return useReplica(candidates[random.below(candidates.size())], "random replica");
    }
};

class PositionAware final : public RoutingPolicy
{
public:
    [[nodiscard]] std::string_view name() const noexcept override { return "position_aware"; }
    [[nodiscard]] RoutingDecision choose(const std::vector<ReplicaCandidate> &candidates,
                                         bool mayWait, RandomSource &random) const override
    {
        if (const auto *known = best(candidates, &ReplicaCandidate::eligible, random)) {
            return useReplica(*known, "replica is known to be recent enough");
        }
        if (const auto *likelyEligible =
                best(candidates, &ReplicaCandidate::likelyEligible, random)) {
            return useReplica(*likelyEligible, "replica is likely to be recent enough");
        }
        if (mayWait && best(candidates, &ReplicaCandidate::eligibleSoon, random) != nullptr) {
            RoutingDecision wait;
            wait.target = Target::Wait;
            wait.reason = "replica has nearly caught up";
            return wait;
        }
        return usePrimary(candidates.empty() ? "no replica left" : "no replica is recent enough");
    }

private:
    /// Prefers this host's data centre, then the least load; breaks ties at random.
    static const ReplicaCandidate *best(const std::vector<ReplicaCandidate> &candidates,
                                        bool ReplicaCandidate::*usable, RandomSource &random)
    {
        const ReplicaCandidate *chosen = nullptr;
        std::uint64_t ties = 1;
        for (const auto &candidate : candidates) {
            if (!(candidate.*usable)) {
                continue;
            }
            const auto rank = [](const ReplicaCandidate &replica) {
                return std::pair{!replica.sameDataCentre, replica.inFlight};
            };
            if (chosen == nullptr || rank(candidate) < rank(*chosen)) {
                chosen = &candidate;
                ties = 1;
            } else if (rank(candidate) == rank(*chosen) && random.below(++ties) == 0) {
                chosen = &candidate;
            }
        }
        return chosen;
    }
};

} // namespace

std::unique_ptr<const RoutingPolicy> makePolicy(std::string_view name)
{
    if (name == "primary_only") {
        return std::make_unique<PrimaryOnly>();
    }
    if (name == "random_replica") {
        return std::make_unique<RandomReplica>();
    }
    if (name == "position_aware") {
        return std::make_unique<PositionAware>();
    }
    return nullptr;
}

} // namespace hyssoprock
