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
/// @brief The tables that all sessions of an entry host share.

namespace hyssoprock {

/// @brief Views, endpoints, ages, acknowledgements and the router of one host.
///
/// Not thread-safe: the daemon holds one lock (the router's place in the lock order) around each
/// call of a session machine and each direct use.
class HostTables
{
public:
    /// @brief Makes the tables.
    /// @param router Settings of the router.
    /// @param driftPerMille Bound of clock drift in thousandths.
    /// @param majorityPoll Interval of polls for a majority index.
    /// @param seed Seed for ties between replicas.
    HostTables(RouterSettings router, std::uint64_t driftPerMille, Duration majorityPoll,
               std::uint64_t seed);
    HostTables(const HostTables &) = delete;
    HostTables &operator=(const HostTables &) = delete;

    ViewTable views;         ///< Lease, views and configuration.
    EndpointTable endpoints; ///< Positions, load and ejection.
    AgeTracker ages;         ///< Samples of primaries' positions.
    AckTracker acks;         ///< Majority indexes and waits for them.
    Router router;           ///< Reads the tables above.

    /// @brief Learns from an answer: of a statement, a poll or a probe. Session machines call this
    /// themselves for the answers that they handle.
    /// @param group Group of the endpoint.
    /// @param endpoint Its name.
    /// @param report What came with the answer.
    /// @param sent When the request was sent.
    /// @param leaseValidAtSend Whether the lease was valid then.
    /// @param now When the answer arrived.
    void observe(std::string_view group, std::string_view endpoint, const EndpointReport &report,
                 Instant sent, bool leaseValidAtSend, Instant now);

    /// @brief Groups whose primary must be asked now for its status, on a status connection,
    /// because an answer waits for a majority or reads need age samples. Give the
    /// answer's report to observe() and then take acks.takeResolved().
    [[nodiscard]] std::vector<std::string> takePolls(Instant now);

    /// @brief Whether a group in handover has no work of this host left at its primary: no
    /// connection of a request, and no answer that waits for a majority.
    [[nodiscard]] bool isQuiesced(std::string_view group) const;

    /// @brief When takePolls() or acks.takeResolved() is due next.
    [[nodiscard]] std::optional<Instant> nextDeadline() const;
};

} // namespace hyssoprock
