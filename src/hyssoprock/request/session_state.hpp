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
/// @brief Parts of a session machine's state. Not part of the interface.

namespace hyssoprock::internal {

/// @brief Value of EndpointLink::schemaVersions after an error or a rollback that may have undone
/// the last setting: no request asks for it, so the next one sets the filter again.
inline constexpr std::string_view unknownVersions = "?";

/// @brief A connection that the session holds.
struct EndpointLink
{
    ConnectionId id{};
    std::string endpoint{};
    bool primary = false;
    std::uint64_t term = 0;       ///< Term of the view when it was granted.
    std::string schemaVersions{}; ///< Last value of hyssoprock.schema_versions.
    bool dirty = false;           ///< Has state of this session; not reusable.
    std::optional<SendId> outstanding{};
    Instant sentAt{};
    bool leaseAtSend = false;
};

/// @brief An open transaction of the caller.
struct CallerTransaction
{
    RequestAttributes attributes{};
    std::shared_ptr<const Configuration> configuration{};
    std::string requestId{};       ///< Written in this transaction; empty if none.
    bool idReliable = true;        ///< False if a savepoint could have removed the id.
    bool failedByEndpoint = false; ///< The endpoint reports status 'E'.
    bool lost = false;             ///< Rolled back, because its connection was closed.
    bool lossReported = false;     ///< The caller has seen an error that says so.
    ErrorKind lossKind = ErrorKind::EndpointLost;
};

/// @brief A look-up of a request id.
struct Settlement
{
    std::uint64_t term = 0; ///< Newest term in which the request could have run.
    Instant deadline{};
    bool found = false;                    ///< Result of the newest look-up.
    std::optional<LogPosition> position{}; ///< Of the newest look-up, if it is conclusive.
    std::string endpoint{};                ///< Primary that answered it.
};

} // namespace hyssoprock::internal
