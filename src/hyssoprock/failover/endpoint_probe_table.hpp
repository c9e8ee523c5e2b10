#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/failover/endpoint_call.hpp>

/// @file
/// @brief What the leader's own status calls have found.

namespace hyssoprock {

/// @brief State of the leader's probes of one endpoint.
struct EndpointProbe
{
    std::optional<EndpointCallResponse> report; ///< Newest status answer.
    Instant askedAt{};                          ///< When the call of that answer was sent.
    Instant answeredAt{};   ///< When that answer came; the first probe before any.
    Instant nextProbe{};    ///< When to ask again.
    bool open = false;      ///< A status call is under way.
    bool reachable = false; ///< Whether the newest call was answered.
};

/// @brief Newest status of each endpoint.
class EndpointProbeTable
{
public:
    /// @brief Forgets everything.
    void clear() noexcept { probes_.clear(); }

    /// @brief Probe of an endpoint; made on first use.
    /// @param endpoint Endpoint.
    /// @param now Present time, from which the silence of a new entry counts.
    [[nodiscard]] EndpointProbe &at(std::string_view endpoint, Instant now);

    /// @brief Looks a probe up.
    /// @param endpoint Endpoint.
    /// @return The probe, or null.
    [[nodiscard]] const EndpointProbe *find(std::string_view endpoint) const;

    /// @brief Notes an answer.
    void answered(std::string_view endpoint, const EndpointCallResponse &report, Instant askedAt,
                  Instant now);

    /// @brief Notes a call without answer.
    void failed(std::string_view endpoint, Instant now);

private:
    std::map<std::string, EndpointProbe, std::less<>> probes_;
};

} // namespace hyssoprock
