#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/pooling.hpp>
#include <hyssoprock/pooling/connection_use.hpp>
#include <hyssoprock/pooling/pooled_service.hpp>
#include <hyssoprock/pooling/pooler_event.hpp>
#include <hyssoprock/pooling/session_values.hpp>

/// @file
/// @brief What an entry host knows of an endpoint and of its connections.

namespace hyssoprock {

/// @brief Why a command was sent on a connection.
enum class CommandPurpose : std::uint8_t {
    Setup,     ///< Brings session values to the connection.
    Begin,     ///< Opens a transaction before a statement of a session.
    Statement, ///< Runs a statement of a session.
    Release,   ///< Ends a transaction after the session is done with the connection.
};

/// @brief A command that is not answered yet.
struct PendingCommand
{
    CommandPurpose purpose = CommandPurpose::Setup; ///< Why it was sent.
    Instant sentAt;                                 ///< When it was sent.
};

struct PooledEndpoint;

/// @brief One connection to an endpoint.
struct PooledConnection
{
    ConnectionId id = 0;                ///< Its name.
    std::string endpoint;               ///< Identifier of the endpoint.
    PooledEndpoint *target = nullptr;   ///< The endpoint; null while none of that name is listed.
    bool open = false;                  ///< The endpoint has accepted it.
    bool probe = false;                 ///< It was opened to find out whether the endpoint answers.
    CallerId owner = 0;                 ///< Session that uses it; 0 for none.
    std::deque<PendingCommand> pending; ///< Unanswered commands, oldest first.
    ConnectionValues values;            ///< What is set on it.
    Instant openedAt;                   ///< When it was requested.
    Instant usedAt;                     ///< When it was last given to a session.
    Instant idleSince;                  ///< When no session has used it from then on.
    std::optional<Instant> abandonedAt; ///< The session has stopped waiting for the answer.

    /// @brief Whether a session can take it.
    [[nodiscard]] bool idle() const noexcept
    {
        return open && owner == 0 && !abandonedAt && pending.empty();
    }
};

/// @brief One endpoint.
struct PooledEndpoint
{
    EndpointRecord record;                ///< Newest record.
    std::set<ConnectionId> connections;   ///< Connections, open or being opened.
    std::vector<PooledConnection *> pool; ///< The same connections in the same order.
    Duration latency{};                   ///< Moving average of the time for a statement.
    Instant latencyAt;                    ///< When the average was updated.
    ConnectionUsage use;                  ///< Use of its connections by this host.
    std::uint32_t running = 0;            ///< Statements that are under way from here.
    std::optional<Instant> drainingSince; ///< When it was first seen draining.
    std::optional<Instant> heardAt;       ///< When it last sent anything.
    std::optional<Instant> refusedAt;     ///< When it last refused a connection.
    std::optional<Instant> silentAt;      ///< When it last failed to answer in time.
    Instant avoidUntil;                   ///< New work goes elsewhere until then.
    std::uint32_t failures = 0;           ///< Connection failures in a row.
    std::optional<Instant> fullAt;        ///< When it last refused a connection for lack of them.
    std::uint32_t refusals = 0;           ///< Refusals for lack of connections in a row.
    Instant notPrimaryUntil;              ///< It has refused to lead; not asked again before.
    Instant laggingUntil;                 ///< It has refused a read as lagging.
    LogPosition laggingBelow;             ///< The position that it lacked.
    Instant fullUntil;                    ///< It has no connection to spare until then.
    ConnectionId probe = 0;               ///< Connection that probes it; 0 for none.
    bool evidenceAsked = false;           ///< The result of the probe is to be reported.

    // Set by Pooler::Impl::groupEndpoints().
    PooledService *service = nullptr; ///< Its service.
    bool isPrimary = false;           ///< It leads, as far as is known.
    double equalShare = 0;            ///< Its connections divided by the number of entry hosts.
    Duration distanceCost{};          ///< Cost of its distance from here.

    /// @brief Adds a measured latency to the average.
    void recordLatency(Duration measured, Instant now);
    /// @brief Average latency; it decays without new measurements, so that a slow endpoint is
    /// tried again.
    [[nodiscard]] Duration expectedLatency(Instant now) const;
};

} // namespace hyssoprock
