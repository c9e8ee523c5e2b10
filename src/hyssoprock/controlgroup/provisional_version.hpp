#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief When a control host may announce its version while no leader is known.

namespace hyssoprock {

/// @brief Compares the committed versions that control hosts know after a start.
///
/// After a power loss entry hosts must not wait for the election of a leader, but a control host
/// may have missed the newest versions. An acknowledged version is known to a majority, so a host
/// that has heard from a majority and knows of no higher version is up to date.
class ProvisionalVersion
{
public:
    /// @brief Creates a tracker without other hosts.
    /// @param startedAt When this host was started.
    explicit ProvisionalVersion(Instant startedAt) noexcept
        : startedAt_{startedAt}
    {}

    /// @brief Records the version known to another control host.
    /// @param host Other control host.
    /// @param version Newest version that it knows to be committed; 0 if it has no data and is to
    /// be ignored.
    void recordVersion(const std::string &host, std::uint64_t version);

    /// @brief Whether this host may announce its version.
    /// @param ownVersion Newest version that this host knows to be committed.
    /// @param voters Number of voters of the control group.
    /// @param now Current time.
    /// @return False while another host knows a higher version, and until a majority was heard from
    /// or majorityTimeout has passed.
    [[nodiscard]] bool mayAnnounce(std::uint64_t ownVersion, std::size_t voters, Instant now) const;

    /// @brief Time after which a host that does not hear from a majority announces its version.
    static constexpr Duration majorityTimeout = std::chrono::milliseconds{500};

private:
    Instant startedAt_;
    std::map<std::string, std::uint64_t> versions_{};
};

} // namespace hyssoprock
