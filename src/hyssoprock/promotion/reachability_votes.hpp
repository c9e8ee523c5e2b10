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
/// @brief Newest reports of entry hosts on the endpoints of one service.

namespace hyssoprock {

/// @brief Reports count while they are younger than this.
inline constexpr Duration evidenceLifetime = std::chrono::seconds{1};

/// @brief Number of connected entry hosts by what they report of an endpoint.
struct ReachabilityCount
{
    std::size_t reachable = 0;         ///< Including those that say it is not primary.
    std::size_t unreachable = 0;       ///< Silent or refused.
    std::size_t notPrimary = 0;        ///< It answers, but not as a primary.
    std::optional<Instant> nextExpiry; ///< When the first counted report stops counting.
};

/// @brief Keeps the newest report of each entry host on each endpoint.
class ReachabilityVotes
{
public:
    /// @brief Takes a report; it replaces the host's report before on this endpoint.
    void add(const EvidenceReport &report, Instant now)
    {
        votes_[report.endpoint][report.host] = {report.reachability, now};
    }
    /// @brief Forgets all reports.
    void clear() noexcept { votes_.clear(); }
    /// @brief Forgets the reports on an endpoint.
    void clear(std::string_view endpoint);
    /// @brief Counts the reports on an endpoint that still count.
    /// @param endpoint Identifier.
    /// @param hosts Connected entry hosts; reports of others do not count.
    /// @param now Present time.
    [[nodiscard]] ReachabilityCount count(std::string_view endpoint,
                                          const std::set<std::string> &hosts, Instant now) const;
    /// @brief Whether a majority of the answers and half of the hosts cannot reach an endpoint.
    /// @param endpoint Identifier.
    /// @param hosts Connected entry hosts.
    /// @param now Present time.
    [[nodiscard]] bool unreachable(std::string_view endpoint, const std::set<std::string> &hosts,
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
