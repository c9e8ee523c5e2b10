#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/routing/endpoint_report.hpp>

/// @file
/// @brief Last reported status and load of each endpoint.

namespace hyssoprock {

/// @brief Entry of an EndpointTable.
struct EndpointEntry
{
    EndpointReport report{};               ///< From the answer to the newest request.
    std::optional<Instant> reportSentAt{}; ///< When that request was sent.
    std::optional<Instant> lastAnswerAt{}; ///< When the last answer was received.
    std::optional<Duration> replicaLag{};  ///< Age of its data at the report, if provable.
    std::uint32_t inFlight = 0;            ///< Connections held by requests of this host.
    bool ejected = false;                  ///< It gets no work because of repeated failures.
};

/// @brief Entries of all known endpoints, by name.
class EndpointTable
{
public:
    /// @brief Entry of an endpoint; a default one if the endpoint is unknown.
    [[nodiscard]] const EndpointEntry &find(std::string_view endpoint) const;

    /// @brief Records the report of an answer. Reports of requests older than the newest answered
    /// one are ignored.
    /// @param endpoint Name of the endpoint.
    /// @param report Report of the answer.
    /// @param sentAt When the request was sent.
    /// @param now When the answer was received.
    /// @param lag Age of its data, if provable.
    void recordReport(std::string_view endpoint, const EndpointReport &report, Instant sentAt,
                      Instant now, std::optional<Duration> lag);

    /// @brief Counts a connection that a request has acquired.
    void recordAcquired(std::string_view endpoint);

    /// @brief Counts a connection that a request has released.
    void recordReleased(std::string_view endpoint);

    /// @brief Sets whether an endpoint is ejected, as decided by EjectionTracker.
    void setEjected(std::string_view endpoint, bool ejected);

    /// @brief Discards an endpoint's report after a restart, that is, for a new incarnation.
    void forgetPosition(std::string_view endpoint);

private:
    [[nodiscard]] EndpointEntry &entry(std::string_view endpoint);

    std::map<std::string, EndpointEntry, std::less<>> endpoints_;
};

} // namespace hyssoprock
