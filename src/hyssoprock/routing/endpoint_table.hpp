#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/routing/endpoint_report.hpp>

/// @file
/// @brief What this host knows of each endpoint.

namespace hyssoprock {

/// @brief One endpoint as this host knows it.
struct EndpointEntry
{
    EndpointReport report{};              ///< Of the newest request that was answered.
    std::optional<Instant> reportSent{};  ///< When that request was sent.
    std::optional<Instant> lastAnswer{};  ///< When any answer arrived last.
    std::optional<Duration> replicaLag{}; ///< Age of its data at its last answer, if provable.
    std::uint32_t inFlight = 0;           ///< Connections that requests of this host hold.
    bool ejected = false;                 ///< Gets no work because it has failed repeatedly.
};

/// @brief Table of endpoints by name.
class EndpointTable
{
public:
    /// @brief Looks an endpoint up.
    /// @return Its entry, or an empty one if nothing is known.
    [[nodiscard]] const EndpointEntry &find(std::string_view endpoint) const;

    /// @brief Records an answer. Reports of older requests than the newest are ignored.
    /// @param endpoint Name.
    /// @param report Its statement.
    /// @param sent When the request was sent.
    /// @param now When the answer arrived.
    /// @param lag Provable age of its data, if it is a replica.
    void recordReport(std::string_view endpoint, const EndpointReport &report, Instant sent,
                      Instant now, std::optional<Duration> lag);

    /// @brief Counts a connection that a request has got.
    void recordAcquired(std::string_view endpoint);

    /// @brief Counts a connection that a request has given back.
    void recordReleased(std::string_view endpoint);

    /// @brief Ejects an endpoint or takes it back; the decision is made in `limits`.
    void setEjected(std::string_view endpoint, bool ejected);

    /// @brief Forgets an endpoint's position after a restart (a new incarnation).
    void forgetPosition(std::string_view endpoint);

private:
    [[nodiscard]] EndpointEntry &entry(std::string_view endpoint);

    std::map<std::string, EndpointEntry, std::less<>> endpoints_;
};

} // namespace hyssoprock
