#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/request/ack_tracker.hpp>
#include <hyssoprock/routing/age_tracker.hpp>
#include <hyssoprock/routing/endpoint_table.hpp>
#include <hyssoprock/routing/router.hpp>
#include <hyssoprock/routing/view_table.hpp>

/// @file
/// @brief Tables shared by all sessions of an entry host.

namespace hyssoprock {

/// @brief Views, endpoints, data ages, acknowledgements and the router of one host.
///
/// Not thread-safe: the daemon holds one lock (the router's place in the lock order) around each
/// call of a session machine and each direct use.
class HostTables
{
public:
    /// @param router Settings of the router.
    /// @param driftPerMille Maximum clock drift in thousandths.
    /// @param majorityPollInterval Interval between polls for a majority index.
    /// @param seed Random seed for the choice between equivalent replicas.
    HostTables(RouterSettings router, std::uint64_t driftPerMille, Duration majorityPollInterval,
               std::uint64_t seed);
    HostTables(const HostTables &) = delete;
    HostTables &operator=(const HostTables &) = delete;

    ViewTable views;         ///< Lease, views and configuration.
    EndpointTable endpoints; ///< Positions, load and ejection.
    AgeTracker ages;         ///< Position samples of the primaries.
    AckTracker acks;         ///< Majority indexes and pending acknowledgements.
    Router router;           ///< Uses the tables above.

    /// @brief Records the report of a statement, a poll or a probe. Session machines call this
    /// themselves for the answers that they handle.
    /// @param group Group of the endpoint.
    /// @param endpoint Name of the endpoint.
    /// @param report Report received with the answer.
    /// @param sent When the request was sent.
    /// @param leaseValidAtSend Whether the host lease was valid at that time.
    /// @param now When the answer arrived.
    void recordReport(std::string_view group, std::string_view endpoint,
                      const EndpointReport &report, Instant sent, bool leaseValidAtSend,
                      Instant now);

    /// @brief Returns the groups whose primary must be polled now over a status connection, because
    /// an answer waits for a majority or reads need age samples. Pass the report of the answer to
    /// recordReport() and then call acks.takeResolved().
    [[nodiscard]] std::vector<std::string> takePolls(Instant now);

    /// @brief Whether a group is in handover and this host has no work left at its primary: no
    /// request in flight and no answer that waits for a majority.
    [[nodiscard]] bool isQuiesced(std::string_view group) const;

    /// @brief Next time at which to call takePolls() or acks.takeResolved().
    [[nodiscard]] std::optional<Instant> nextDeadline() const;
};

} // namespace hyssoprock
