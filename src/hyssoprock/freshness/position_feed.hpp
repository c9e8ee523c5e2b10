#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/deployment/topology.hpp>
#include <hyssoprock/freshness/position_sample.hpp>
#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief Requests of an entry host for the positions of primaries.

namespace hyssoprock {

/// @brief Request and the control host that it is sent to.
struct AddressedPositionRequest
{
    std::string controlHost; ///< Control host.
    PositionRequest request; ///< Message.

    [[nodiscard]] bool operator==(const AddressedPositionRequest &) const = default;
};

/// @brief Decides which control host is asked for positions and when, and dates its answers.
/// Performs no I/O; the time is passed as an argument.
///
/// A deployment with many entry hosts and services leaves each host only few statements for a
/// service, so that its own answers from the primary are too old to bound the staleness of a read,
/// and most reads would have to run on the primary. Positions that a control host samples for all
/// entry hosts avoid that.
///
/// An answer is dated by the time at which its request was sent: the control host answers later
/// than that, so a sample that was `age` old then was requested at `sentAt - age` or later. Delays
/// of messages and suspended processes make a sample seem older, never younger.
class PositionFeed
{
public:
    /// @brief Creates a feed that knows no control host.
    /// @param interval Time between two requests.
    /// @param seed Distributes entry hosts over control hosts that are equally near.
    PositionFeed(Duration interval, std::uint64_t seed);

    /// @brief Records that a control host answers requests on its current connection.
    void handleOffer(const std::string &controlHost, Proximity proximity);
    /// @brief Records the distance of a control host, which it reports after its offer.
    void setProximity(const std::string &controlHost, Proximity proximity);
    void handleDisconnect(const std::string &controlHost);

    /// @brief Whether nextRequest() may return a request; avoids collecting the services.
    [[nodiscard]] bool isDue(Instant now) const;
    /// @brief Returns the request to send now and marks it as sent.
    /// @param services Services whose positions are needed.
    /// @param now Current time.
    /// @return std::nullopt if no control host answers requests, none is due, or no position is
    /// needed.
    [[nodiscard]] std::optional<AddressedPositionRequest>
    nextRequest(std::vector<std::string> services, Instant now);
    /// @brief When isDue() is true at the latest.
    /// @return std::nullopt while no control host answers requests.
    [[nodiscard]] std::optional<Instant> nextDeadline() const;

    /// @brief Handles an answer, also a late one.
    /// @return Samples dated on this host's clock.
    [[nodiscard]] std::vector<PositionSample>
    handleReport(const std::string &controlHost, const PositionReport &report, Instant now);

private:
    struct Source
    {
        Proximity proximity = Proximity::Remote;
        std::uint64_t rank = 0; ///< Order among equally near control hosts.
        std::optional<Instant> failedAt{};
        std::uint64_t sequence = 0; ///< Last request; 0 for none.
        std::size_t requested = 0;  ///< Number of services in it.
        Instant sentAt{};           ///< When it was sent.
        bool answered = true;       ///< Whether it was answered.
    };

    [[nodiscard]] const std::string *preferredSource(Instant now) const;

    Duration interval_;
    std::uint64_t seed_;
    std::map<std::string, Source> sources_{};
    std::uint64_t sequence_ = 0;
    Instant nextRequestAt_{};
};

} // namespace hyssoprock
