#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief Reachability reports of entry hosts about the endpoints of one service.

namespace hyssoprock {

/// @brief Age at which a report no longer counts.
inline constexpr Duration evidenceLifetime = std::chrono::seconds{1};

/// @brief Number of connected entry hosts by their report about an endpoint.
struct ReachabilityCount
{
    std::size_t reachable = 0;         ///< Includes hosts that report NotPrimary.
    std::size_t unreachable = 0;       ///< Hosts that report Silent or Refused.
    std::size_t notPrimary = 0;        ///< The endpoint answers, but not as primary.
    std::optional<Instant> nextExpiry; ///< When the oldest counted report expires.
};

/// @brief Keeps the newest report of each entry host about each endpoint.
class ReachabilityVotes
{
public:
    /// @brief Adds a report, replacing the previous one of the host about the endpoint.
    void add(const EvidenceReport &report, Instant now)
    {
        votes_[report.endpoint][report.host] = {report.reachability, now};
    }
    void clear() noexcept { votes_.clear(); }
    /// @brief Removes all reports about an endpoint.
    void clear(std::string_view endpoint);
    /// @brief Counts the reports about an endpoint that have not expired.
    /// @param endpoint Identifier of the endpoint.
    /// @param hosts Connected entry hosts; reports of other hosts are ignored.
    /// @param now Current time.
    [[nodiscard]] ReachabilityCount count(std::string_view endpoint,
                                          const std::set<std::string> &hosts, Instant now) const;
    /// @brief Whether an endpoint is unreachable for most of the reporting hosts and at least half
    /// of the connected ones.
    /// @param endpoint Identifier of the endpoint.
    /// @param hosts Connected entry hosts.
    /// @param now Current time.
    [[nodiscard]] bool isUnreachable(std::string_view endpoint, const std::set<std::string> &hosts,
                                     Instant now) const;

private:
    struct Vote
    {
        Reachability reachability = Reachability::Unknown;
        Instant at;
    };

    std::map<std::string, std::map<std::string, Vote>, std::less<>> votes_;
};

} // namespace hyssoprock
