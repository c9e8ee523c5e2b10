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
/// @brief Selection of an endpoint for a request, and validation of its answer.

namespace hyssoprock {

/// @brief Requirements of a read for the endpoint that serves it.
struct ReadRequirements
{
    std::string group{};                      ///< Name of the group.
    std::optional<LogPosition> floor{};       ///< Session floor; empty if not established.
    std::optional<Duration> maxAge{};         ///< Greatest age; empty if replicas are not allowed.
    const RecordKindRule *rule = nullptr;     ///< Rule of the record kind; null if there is none.
    std::vector<std::uint32_t> understands{}; ///< Schema versions that the caller understands.
    std::vector<std::string> excluded{};      ///< Replicas that have failed this request already.
    Instant receivedAt{};                     ///< When the request was received; start of the wait.
};

/// @brief Target of a request and the reason for it.
struct RoutingDecision
{
    enum class Target : std::uint8_t {
        Replica, ///< Send it to this replica.
        Primary, ///< Send it to the primary.
        Wait,    ///< Route the request again at `retryAt`.
        Refuse,  ///< No endpoint can serve it now; see `refusal`.
    };

    Target target = Target::Refuse;      ///< Kind of target.
    std::string endpoint{};              ///< Name of the endpoint, for Replica and Primary.
    std::uint64_t term = 0;              ///< Term of the view.
    std::string_view reason{};           ///< Reason for the log; a string literal.
    ErrorKind refusal = ErrorKind::None; ///< Error, for Refuse.
    Instant retryAt{};                   ///< Time of the next attempt, for Wait.
};

/// @brief Replica that a policy may select.
struct ReplicaCandidate
{
    std::string endpoint{};      ///< Name of the endpoint.
    bool sameDataCentre = false; ///< In this host's data centre.
    std::uint32_t inFlight = 0;  ///< Connections held by requests of this host.
    bool eligible = false;       ///< Its reported position satisfies floor, age and schema version.
    bool likelyEligible = false; ///< It is eligible if its lag has not grown.
    bool eligibleSoon = false;   ///< It is expected to be eligible within the wait.
};

/// @brief Strategy that selects a replica.
class RoutingPolicy
{
public:
    virtual ~RoutingPolicy() = default;

    /// @brief Name as in the settings.
    [[nodiscard]] virtual std::string_view name() const noexcept = 0;

    /// @brief Selects a replica, a wait, or the primary.
    /// @param candidates Usable replicas, in the order of the view.
    /// @param mayWait Whether the request may still wait for a replica.
    /// @param random Source for ties.
    /// @return Replica with its name, Wait without a time, or Primary without a name.
    [[nodiscard]] virtual RoutingDecision choose(const std::vector<ReplicaCandidate> &candidates,
                                                 bool mayWait, RandomSource &random) const = 0;
};

/// @brief Creates a policy.
/// @param name primary_only, random_replica or position_aware.
/// @return The policy, or null for another name.
[[nodiscard]] std::unique_ptr<const RoutingPolicy> makePolicy(std::string_view name);

/// @brief Settings of a router.
struct RouterSettings
{
    std::string policy = "position_aware";                ///< Name of the policy.
    std::string dataCentre{};                             ///< Data centre of this host.
    Duration replicaWait = std::chrono::milliseconds{20}; ///< Longest wait for a replica.
    Duration waitCheckInterval =
        std::chrono::milliseconds{2}; ///< Interval of routing attempts in it.
};

/// @brief Result of the validation of a replica's answer.
enum class AnswerVerdict : std::uint8_t {
    Accept,     ///< The answer may be delivered.
    BelowFloor, ///< Its position is below the session floor.
    TooOld,     ///< Its age exceeds the allowance or cannot be proven.
    Incomplete, ///< The selected schema version is not complete at its position.
    WrongRole,  ///< The endpoint is fenced, a deposed primary, or reports no role.
};

/// @brief Text for logs.
[[nodiscard]] std::string_view toString(AnswerVerdict verdict) noexcept;

/// @brief Selects endpoints by the tables of the host.
class Router
{
public:
    /// @param settings Settings; an unknown policy terminates the process.
    /// @param views Views of the host; must outlive the router.
    /// @param endpoints Endpoint table of the host; must outlive the router.
    /// @param ages Age samples of the host; must outlive the router.
    /// @param seed Seed of the random source for ties.
    Router(RouterSettings settings, const ViewTable &views, const EndpointTable &endpoints,
           const AgeTracker &ages, std::uint64_t seed);

    /// @brief Selects the endpoint for a read.
    [[nodiscard]] RoutingDecision routeRead(const ReadRequirements &requirements, Instant now);

    /// @brief Selects the primary for a write, or refuses the write.
    [[nodiscard]] RoutingDecision routeWrite(std::string_view group, Instant now) const;

    /// @brief Validates a replica's answer when it is delivered.
    /// @param requirements Requirements of the read.
    /// @param completeFrom Position from which the selected schema version is complete.
    /// @param report Report of the answer.
    /// @param now Current time.
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
