#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include <hyssoprock/balancing/outlier_detector.hpp>
#include <hyssoprock/core/duration_counts.hpp>
#include <hyssoprock/message/pooling.hpp>
#include <hyssoprock/pooling/pooler_event.hpp>
#include <hyssoprock/pooling/statement.hpp>

/// @file
/// @brief Counters of a Pooler.

namespace hyssoprock {

/// @brief Rule that determines where a statement runs.
enum class RoutingRule : std::uint8_t {
    Write,            ///< Writes and commits, and all statements of a transaction that may write.
    Primary,          ///< Reads: ReadConsistency::Primary.
    BoundedStaleness, ///< Reads: ReadConsistency::BoundedStaleness.
    ReadOwnWrites,    ///< Reads: ReadConsistency::ReadOwnWrites.
    Local,            ///< Answered by this host, for example a begin.
};
/// @brief Number of RoutingRule values.
constexpr std::size_t routingRuleCount = 5;

/// @brief Role of the endpoint that gave the last answer to a statement.
enum class AnsweringRole : std::uint8_t {
    None, ///< No endpoint answered.
    Primary,
    Replica,
};
/// @brief Number of AnsweringRole values.
constexpr std::size_t answeringRoleCount = 3;

/// @brief Number of AnswerKind values.
constexpr std::size_t answerKindCount = static_cast<std::size_t>(AnswerKind::Other) + 1;
/// @brief Number of ConnectionFailure values.
constexpr std::size_t connectionFailureCount =
    static_cast<std::size_t>(ConnectionFailure::Protocol) + 1;
/// @brief Number of Reachability values.
constexpr std::size_t reachabilityCount = static_cast<std::size_t>(Reachability::NotPrimary) + 1;

/// @brief Monotonic counters since the start of the process.
struct PoolerCounters
{
    /// @brief Counts by AnswerKind.
    using Outcomes = std::array<std::uint64_t, answerKindCount>;

    /// Statements answered, by RoutingRule, AnsweringRole and AnswerKind.
    std::array<std::array<Outcomes, answeringRoleCount>, routingRuleCount> statements{};
    /// Time from receiving a statement to its answer, by RoutingRule; empty for Local.
    std::array<DurationHistogram, routingRuleCount> latency{};
    std::uint64_t retries = 0;   ///< Repeated attempts to run statements.
    Outcomes endpointRefusals{}; ///< Refusals by endpoints, by AnswerKind.
    Outcomes callerRefusals{};   ///< Refused startups, by AnswerKind.
    std::uint64_t overLimitRefusals =
        0; ///< Statements refused because their team is over its limit.
    /// Statements of teams with a limit that no control host could grant or deny in time.
    std::uint64_t noAllowanceRefusals = 0;
    std::uint64_t connectionsOpened = 0; ///< Connections to endpoints that were requested.
    /// Connections to endpoints that failed or ended, by ConnectionFailure.
    std::array<std::uint64_t, connectionFailureCount> connectionsEnded{};
    /// Reports to control hosts, by Reachability.
    std::array<std::uint64_t, reachabilityCount> evidenceReports{};
    /// Decisions on endpoints that reads avoid, by OutlierChange.
    std::array<std::uint64_t, outlierChangeCount> outlierChanges{};
};

} // namespace hyssoprock
