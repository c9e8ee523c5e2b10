#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <hyssoprock/balancing/endpoint_load.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/limits/opening_pacer.hpp>
#include <hyssoprock/message/pooling.hpp>
#include <hyssoprock/pooling/connection_use.hpp>
#include <hyssoprock/pooling/pooled_service.hpp>
#include <hyssoprock/pooling/pooler_event.hpp>
#include <hyssoprock/pooling/session_values.hpp>

/// @file
/// @brief State of an endpoint and of its pooled connections.

namespace hyssoprock {

/// @brief Purpose of a command that was sent on a connection.
enum class CommandPurpose : std::uint8_t {
    Setup,     ///< Applies session values to the connection.
    Begin,     ///< Opens a transaction before a statement of a session.
    Statement, ///< Runs a statement of a session.
    Release,   ///< Rolls back a transaction after the session has released the connection.
};

/// @brief Unanswered command.
struct PendingCommand
{
    CommandPurpose purpose = CommandPurpose::Setup; ///< Selects how the answer is handled.
    Instant sentAt;                                 ///< Start of its latency.
};

struct PooledEndpoint;

/// @brief One connection to an endpoint.
struct PooledConnection
{
    ConnectionId id = 0;                ///< Identifier of the connection.
    std::string endpoint;               ///< Identifier of the endpoint.
    std::string team;                   ///< Team that the endpoint was told; empty for none.
    PooledEndpoint *target = nullptr;   ///< The endpoint; null while it is not listed.
    bool open = false;                  ///< The endpoint has accepted it.
    bool probe = false;                 ///< It was opened to check whether the endpoint answers.
    CallerId owner = 0;                 ///< Session that uses it; 0 for none.
    std::deque<PendingCommand> pending; ///< Unanswered commands, oldest first.
    ConnectionValues values;            ///< Variables and prepared statements set on it.
    Instant requestedAt;                ///< When its opening was requested.
    Instant openedAt;                   ///< When the endpoint accepted it.
    Instant acquiredAt;                 ///< When a session last acquired it.
    Instant idleSince;                  ///< When it was last released.
    std::optional<Instant> abandonedAt; ///< When the session stopped waiting for the answer.

    /// @brief Whether a session can acquire it.
    [[nodiscard]] bool idle() const noexcept
    {
        return open && owner == 0 && !abandonedAt && pending.empty();
    }
};

/// @brief Endpoint, its pooled connections and its failure state.
struct PooledEndpoint
{
    EndpointRecord record;                 ///< Newest record.
    std::set<ConnectionId> connections;    ///< Connections, open or being opened.
    std::vector<PooledConnection *> pool;  ///< The same connections in the same order.
    Duration latency{};                    ///< Moving average of the time for a statement.
    Instant latencyAt;                     ///< When latency was updated.
    ConnectionUsage usage;                 ///< Usage of its connections by this host.
    EndpointLoad load;                     ///< Share of reads, if they are spread evenly.
    std::uint32_t statementsInFlight = 0;  ///< Statements of this host in progress there.
    std::optional<Instant> drainingSince;  ///< When it was first seen draining.
    std::optional<Instant> lastReceivedAt; ///< When anything was last received from it.
    std::optional<Instant> refusedAt;      ///< When it last refused a connection.
    std::optional<Instant> lastTimeoutAt;  ///< When opening a connection last timed out.
    Instant avoidUntil;                    ///< It gets no new work until then.
    std::uint32_t consecutiveFailures = 0; ///< Connection failures in a row.
    std::optional<Instant> fullAt;         ///< When it last refused a connection at its limit.
    std::uint32_t consecutiveRefusals = 0; ///< Refusals at its connection limit in a row.
    Instant notPrimaryUntil;               ///< It refused work as not primary; not retried before.
    Instant laggingUntil;                  ///< It refused a read as lagging; not retried before.
    LogPosition laggingBelow;              ///< Position that it did not hold at that refusal.
    Instant fullUntil;                     ///< No connection is opened to it until then.
    OpeningPacer openings;                 ///< Used instead of fullUntil with Admission::Fair.
    ConnectionId probeConnection = 0; ///< Connection that checks whether it answers; 0 for none.
    bool evidenceRequested = false;   ///< The result of the probe must be reported.

    // Set by Pooler::Impl::groupEndpoints().
    PooledService *service = nullptr; ///< Its service.
    bool isPrimary = false;           ///< It is the primary, as far as is known.
    double equalShare = 0;            ///< Its connections divided by the number of entry hosts.
    bool isHome = false;              ///< This host keeps a connection to it open.
    double turnShare = 0;             ///< Connections left by residents, for each other host.
    Duration distanceCost{};          ///< Cost of its network distance.

    /// @brief Adds a measured latency to the moving average.
    void recordLatency(Duration measured, Instant now);
    /// @brief Average latency. It decays without new measurements, so that a slow endpoint is
    /// selected again after a while.
    [[nodiscard]] Duration expectedLatency(Instant now) const;
};

} // namespace hyssoprock
