#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/failover/endpoint_call.hpp>

/// @file
/// @brief Results of the leader's status calls to endpoints.

namespace hyssoprock {

/// @brief State of the leader's probes of one endpoint.
struct EndpointProbe
{
    std::optional<EndpointCallResponse> status; ///< Newest status response.
    Instant requestSentAt{};                    ///< When the call of that response was sent.
    Instant respondedAt{};    ///< When it arrived; before any, when probing began.
    Instant nextProbe{};      ///< When the next status call is due.
    bool callPending = false; ///< A status call is in progress.
    bool reachable = false;   ///< Whether the newest call succeeded.
};

/// @brief Newest status of each endpoint.
class EndpointProbeTable
{
public:
    void clear() noexcept { probes_.clear(); }

    /// @brief Returns the probe of an endpoint, creating it on first use.
    /// @param endpoint Endpoint.
    /// @param now Current time; the start of the silence that a new entry states.
    [[nodiscard]] EndpointProbe &at(std::string_view endpoint, Instant now);

    /// @brief Finds the probe of an endpoint.
    /// @param endpoint Endpoint.
    /// @return The probe, or null.
    [[nodiscard]] const EndpointProbe *find(std::string_view endpoint) const;

    /// @brief Records a response.
    void handleCallSuccess(std::string_view endpoint, const EndpointCallResponse &response,
                           Instant requestSentAt, Instant now);

    /// @brief Records a failed call.
    void handleCallFailure(std::string_view endpoint, Instant now);

private:
    std::map<std::string, EndpointProbe, std::less<>> probes_;
};

} // namespace hyssoprock
