#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/common.hpp>
#include <hyssoprock/routing/age_tracker.hpp>
#include <hyssoprock/routing/endpoint_table.hpp>
#include <hyssoprock/routing/view_table.hpp>

/// @file
/// @brief Choice of an endpoint for a request, and the check of its answer.

namespace hyssoprock {

/// @brief What a read needs of the endpoint that serves it.
struct ReadRequirements
{
    std::string group{};                      ///< Group.
    std::optional<LogPosition> floor{};       ///< Session floor; nothing if not known.
    std::optional<Duration> maxAge{};         ///< Allowance; nothing if replicas are not allowed.
    const RecordKindRule *rule = nullptr;     ///< Rule of the record kind, if there is one.
    std::vector<std::uint32_t> understands{}; ///< Versions that the caller understands.
    std::vector<std::string> excluded{};      ///< Replicas that have failed this request before.
    Instant receivedAt{};                     ///< When the request arrived; bounds the brief wait.
};

/// @brief Where a request goes, and why.
struct RoutingDecision
{
    enum class Target : std::uint8_t {
        Replica, ///< Send it to this replica.
        Primary, ///< Send it to the primary.
        Wait,    ///< Ask again at `retryAt`.
        Refuse,  ///< No endpoint can serve it now; `refusal` says why.
    };

    Target target = Target::Refuse;      ///< Kind of decision.
    std::string endpoint{};              ///< Name, for Replica and Primary.
    std::uint64_t term = 0;              ///< Term of the view.
    std::string_view reason{};           ///< Short reason for the log; a literal.
    ErrorKind refusal = ErrorKind::None; ///< For Refuse.
    Instant retryAt{};                   ///< For Wait.
};

/// @brief A replica as a policy sees it.
struct ReplicaCandidate
{
    std::string endpoint{};      ///< Name.
    bool sameDataCentre = false; ///< In this host's data centre.
    std::uint32_t inFlight = 0;  ///< Load from this host.
    bool eligible = false;       ///< Known position has the floor, and its age is within allowance.
    bool likely = false; ///< Would be eligible if it has kept its lag since its last answer.
    bool nearly = false; ///< Expected to be eligible within the brief wait.
};

/// @brief Strategy that picks among replicas.
class RoutingPolicy
{
public:
    virtual ~RoutingPolicy() = default;

    /// @brief Name as in the settings.
    [[nodiscard]] virtual std::string_view name() const noexcept = 0;

    /// @brief Chooses a replica or a wait.
    /// @param candidates Usable replicas, sorted by name.
    /// @param mayWait Whether the brief wait has not been used up.
    /// @param random Source for ties.
    /// @return Replica with its name, Wait without a time, or Primary for "no replica".
    [[nodiscard]] virtual RoutingDecision choose(const std::vector<ReplicaCandidate> &candidates,
                                                 bool mayWait, RandomSource &random) const = 0;
};

/// @brief Makes a policy.
/// @param name primary_only, random_replica or position_aware.
/// @return The policy, or null for another name.
[[nodiscard]] std::unique_ptr<const RoutingPolicy> makePolicy(std::string_view name);

/// @brief Settings of a router.
struct RouterSettings
{
    std::string policy = "position_aware";                     ///< Policy.
    std::string dataCentre{};                                  ///< Of this host.
    Duration replicaWait = std::chrono::milliseconds{20};      ///< Longest brief wait.
    Duration waitCheckInterval = std::chrono::milliseconds{2}; ///< Interval of checks in it.
};

/// @brief What the check of an answer's position found.
enum class AnswerVerdict : std::uint8_t {
    Accept,     ///< May be delivered.
    BelowFloor, ///< Older than what the session has seen.
    TooOld,     ///< Age over the allowance or not provable.
    Incomplete, ///< The chosen schema version is not complete at this position.
    WrongRole,  ///< A fenced endpoint, or one that does not state its role.
};

/// @brief Text of a verdict for logs.
[[nodiscard]] std::string_view toString(AnswerVerdict verdict) noexcept;

/// @brief Chooses endpoints. The tables that it reads belong to the host.
class Router
{
public:
    /// @brief Makes a router.
    /// @param settings Settings; an unknown policy ends the process.
    /// @param views Views of the host; outlives the router.
    /// @param endpoints Endpoint table of the host; outlives the router.
    /// @param ages Age samples of the host; outlives the router.
    /// @param seed Seed for ties.
    Router(RouterSettings settings, const ViewTable &views, const EndpointTable &endpoints,
           const AgeTracker &ages, std::uint64_t seed);

    /// @brief Chooses the endpoint for a read.
    [[nodiscard]] RoutingDecision routeRead(const ReadRequirements &requirements, Instant now);

    /// @brief Chooses the endpoint for a write: the primary, or a refusal.
    [[nodiscard]] RoutingDecision routeWrite(std::string_view group, Instant now) const;

    /// @brief Checks the position of a replica's answer at the moment of delivery.
    /// @param requirements Requirements of the read.
    /// @param completeFrom Position from which the chosen schema version is complete.
    /// @param report What came with the answer.
    [[nodiscard]] AnswerVerdict checkReplicaAnswer(const ReadRequirements &requirements,
                                                   const LogPosition &completeFrom,
                                                   const EndpointReport &report, Instant now) const;

private:
    [[nodiscard]] std::vector<ReplicaCandidate> candidates(const ReadRequirements &requirements,
                                                           Instant now) const;
    [[nodiscard]] ReplicaCandidate
    candidate(const Member &member, const ReadRequirements &requirements, Instant now) const;

    RouterSettings settings_;
    std::unique_ptr<const RoutingPolicy> policy_;
    const ViewTable &views_;
    const EndpointTable &endpoints_;
    const AgeTracker &ages_;
    RandomSource random_;
};

} // namespace hyssoprock
