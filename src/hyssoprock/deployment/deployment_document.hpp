#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>

/// @file
/// @brief What operators declare for a pooled deployment: routes, services and limits.

namespace hyssoprock {

/// @brief How fresh the reads of a route must be.
enum class ReadConsistency : std::uint8_t {
    Primary,          ///< Every acknowledged commit is visible.
    BoundedStaleness, ///< Commits acknowledged longer ago than the allowance are visible.
    ReadOwnWrites,    ///< As BoundedStaleness, and the session's own commits are visible.
};

/// @brief Where the sessions of a database go.
struct Route
{
    std::string name;       ///< Name for people.
    std::string database;   ///< Database that callers name.
    std::string pathPrefix; ///< Second part of the key; opaque here.
    std::string service;    ///< Service that runs its statements.
    ReadConsistency readConsistency = ReadConsistency::Primary; ///< How fresh its reads must be.
    Duration statementTimeout{};                                ///< Longest time for one statement.
    Duration targetLatency{};   ///< Latency objective of an operation.
    Duration staleness{};       ///< Allowance of BoundedStaleness.
    std::uint32_t priority = 0; ///< 0 is the highest.
    std::uint32_t attempts = 1; ///< Most attempts for one statement.

    [[nodiscard]] bool operator==(const Route &) const = default;
};

/// @brief A set of endpoints that replicate one database.
struct Service
{
    std::string name;                      ///< Name.
    std::uint32_t connectionsMax = 0;      ///< Connections of each endpoint, over all hosts.
    std::uint32_t synchronousReplicas = 0; ///< Replicas that hold a commit before it is answered.

    [[nodiscard]] bool operator==(const Service &) const = default;
};

/// @brief A complete configuration under a version.
struct DeploymentDocument
{
    std::uint64_t version = 0;         ///< The highest version holds.
    std::vector<Route> routes;         ///< Routes.
    std::vector<Service> services;     ///< Services.
    Duration transactionIdleTimeout{}; ///< Time after which an idle transaction is ended; 0: never.

    [[nodiscard]] bool operator==(const DeploymentDocument &) const = default;
};

/// @brief Checks that a document can be put in force.
/// @param document The document.
/// @return InvalidValue with the reason: a route to an unknown service, two routes of one key, or
/// a statement timeout of zero.
[[nodiscard]] Result<void> validate(const DeploymentDocument &document);

/// @brief Finds the route of a database.
/// @param document The document.
/// @param database Name that the caller gave.
/// @return The route, or null.
[[nodiscard]] const Route *findRoute(const DeploymentDocument &document, std::string_view database);

/// @brief Finds a service.
/// @param document The document.
/// @param name Its name.
/// @return The service, or null.
[[nodiscard]] const Service *findService(const DeploymentDocument &document, std::string_view name);

} // namespace hyssoprock
