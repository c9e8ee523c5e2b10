#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Configuration that operators define for a pooled deployment: routes, services, teams and
/// limits.

namespace hyssoprock {

/// @brief Consistency required of the reads of a route.
enum class ReadConsistency : std::uint8_t {
    Primary,          ///< Every acknowledged commit is visible.
    BoundedStaleness, ///< Commits acknowledged longer ago than the allowed staleness are visible.
    ReadOwnWrites,    ///< As BoundedStaleness; the session's own commits are visible, too.
};

/// @brief Route from a database to a service.
struct Route
{
    std::string name;       ///< Name for display.
    std::string database;   ///< Database that callers connect to.
    std::string pathPrefix; ///< Second part of the key; not interpreted.
    std::string service;    ///< Service that executes the statements.
    ReadConsistency readConsistency = ReadConsistency::Primary;
    Duration statementTimeout{}; ///< Maximum duration of a statement.
    Duration targetLatency{};    ///< Latency objective of an operation.
    Duration staleness{};        ///< Allowed staleness for BoundedStaleness and ReadOwnWrites.
    std::uint32_t priority = 0;  ///< 0 is the highest priority.
    std::uint32_t attempts = 1;  ///< Maximum number of attempts for a statement.
    bool isPublic = false;       ///< Callers need no key of a team.

    [[nodiscard]] bool operator==(const Route &) const = default;
};

/// @brief A set of endpoints that replicate one database.
struct Service
{
    std::string name;
    std::uint32_t connectionsMax = 0; ///< Maximum connections of each endpoint, over all hosts.
    std::uint32_t synchronousReplicas = 0; ///< Must hold a commit before it is acknowledged.

    [[nodiscard]] bool operator==(const Service &) const = default;
};

/// @brief Callers that share keys, connections and a limit.
struct Team
{
    std::string name;                      ///< Name that endpoints are told.
    std::vector<std::string> keys;         ///< Each identifies callers of this team only.
    std::uint32_t priority = 0;            ///< 0 is the highest priority.
    std::uint32_t operationsPerSecond = 0; ///< Limit over all entry hosts; 0 for none.
    std::uint32_t burst = 0;               ///< Operations that may exceed the rate for a moment.

    [[nodiscard]] bool operator==(const Team &) const = default;
};

/// @brief A complete configuration with its version.
struct DeploymentDocument
{
    std::uint64_t version = 0; ///< The document with the highest version is in force.
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Team> teams;           ///< Empty if callers need no key.
    Duration transactionIdleTimeout{}; ///< How long a transaction may be idle; 0 for no limit.

    [[nodiscard]] bool operator==(const DeploymentDocument &) const = default;
};

/// @brief Checks whether a document can be put in force.
/// @param document Document to check.
/// @return InvalidValue if a route refers to an unknown service, two routes have the same key, a
/// statement timeout is not positive, a team has no name or an empty key, or two teams share a name
/// or a key.
[[nodiscard]] Result<void> validate(const DeploymentDocument &document);

/// @brief Finds the route of a database with the shortest path prefix.
/// @param document Document to search.
/// @param database Database that the caller connects to.
/// @return Null if there is no route.
[[nodiscard]] const Route *findRoute(const DeploymentDocument &document, std::string_view database);

/// @brief Finds a service by name.
/// @return Null if there is none.
[[nodiscard]] const Service *findService(const DeploymentDocument &document, std::string_view name);

} // namespace hyssoprock
