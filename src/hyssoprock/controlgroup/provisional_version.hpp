#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief When a control host without a leader may hand out the version that it knows.

namespace hyssoprock {

/// @brief Compares the committed versions that control hosts know after they were started.
///
/// After a power loss entry hosts do not wait for the election of a leader, but one control host
/// may have missed the newest versions. A version that was acknowledged is known to a majority, so
/// a host that has heard from a majority and knows none that is higher is up to date.
class ProvisionalVersion
{
public:
    /// @brief Knows no other host.
    /// @param startedAt When this host was started.
    explicit ProvisionalVersion(Instant startedAt) noexcept
        : startedAt_{startedAt}
    {}

    /// @brief Notes what another control host knows.
    /// @param host The host.
    /// @param version Newest version that it knows to be committed; 0 if it has no data, which
    /// tells nothing.
    void recordVersion(const std::string &host, std::uint64_t version);

    /// @brief Whether this host may hand out its version.
    /// @param own Newest version that this host knows to be committed.
    /// @param voters Voters of the control group.
    /// @param now Present time.
    /// @return False while another host knows a higher one, and until a majority was heard or
    /// majorityTimeout has passed.
    [[nodiscard]] bool mayAnnounce(std::uint64_t own, std::size_t voters, Instant now) const;

    /// @brief Time after which a host that hears from no majority hands its version out.
    static constexpr Duration majorityTimeout = std::chrono::milliseconds{500};

private:
    Instant startedAt_;
    std::map<std::string, std::uint64_t> heard_{};
};

} // namespace hyssoprock
