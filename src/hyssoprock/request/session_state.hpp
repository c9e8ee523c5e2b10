#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <hyssoprock/core/error_kind.hpp>
#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/control.hpp>
#include <hyssoprock/request/session_events.hpp>
#include <hyssoprock/session/request_attributes.hpp>
#include <hyssoprock/statement/statement_kind.hpp>
#include <hyssoprock/statement/statement_outcome.hpp>

/// @file
/// @brief State of a session machine. Internal header.

namespace hyssoprock::internal {

/// @brief Value of EndpointLink::schemaVersions after an error or a rollback that may have reverted
/// the setting. It differs from every valid filter, so the next request sets the filter again.
inline constexpr std::string_view unknownSchemaVersions = "?";

/// @brief Endpoint connection held by the session.
struct EndpointLink
{
    ConnectionId id{};
    std::string endpoint{};
    bool primary = false;
    std::uint64_t term = 0;       ///< Term of the view at the time of the grant.
    std::string schemaVersions{}; ///< Last value of hyssoprock.schema_versions.
    bool hasSessionState = false; ///< Must not be reused by other sessions.
    std::optional<SendId> outstandingSend{};
    Instant sentAt{};
    bool leaseValidAtSend = false;
};

/// @brief Open transaction of the caller.
struct CallerTransaction
{
    RequestAttributes attributes{};
    std::shared_ptr<const Configuration> configuration{};
    std::string requestId{};       ///< Id recorded in this transaction; empty if none.
    bool requestIdReliable = true; ///< False if a savepoint may have removed the id.
    bool failedByEndpoint = false; ///< The endpoint reported status 'E'.
    bool lost = false;             ///< Rolled back by closing its connection.
    bool lossReported = false;     ///< The caller received an error that reports the loss.
    ErrorKind lossKind = ErrorKind::EndpointLost;
};

/// @brief Look-up of a request id.
struct Settlement
{
    std::uint64_t term = 0; ///< Newest term in which the request could have run.
    Instant deadline{};
    bool found = false;                    ///< Result of the latest look-up.
    std::optional<LogPosition> position{}; ///< Position of the latest look-up, if it is conclusive.
    std::string endpoint{};                ///< Primary that answered the look-up.
};

} // namespace hyssoprock::internal
