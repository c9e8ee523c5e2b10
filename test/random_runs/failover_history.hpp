#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/core/time.hpp>

#include "failover_endpoint.hpp"

/// @file
/// @brief What has been acknowledged and activated, and the invariants on it.

namespace hyssoprock::random_runs::failover {

/// @brief An acknowledged write.
struct AcknowledgedWrite
{
    std::uint64_t id = 0;
    LogPosition position;
    Duration at{0};
};

/// @brief Checks each acknowledgement and each activation against everything before.
class History
{
public:
    /// @brief A host tells its caller that a write is done.
    void acknowledged(const std::string &group, const AcknowledgedWrite &write);

    /// @brief ActivatePrimary was committed.
    void activated(const std::string &group, std::uint64_t term, const FakeEndpoint &primary);

    /// @brief Every acknowledged write of the group is in this log.
    void checkLog(const std::string &group, const FakeEndpoint &primary) const;

    /// @brief Time of the newest acknowledgement; 0 if none.
    [[nodiscard]] Duration lastAcknowledged(const std::string &group) const;

    /// @brief Gaps between the last acknowledgement of a term and the first of a later one.
    [[nodiscard]] const std::vector<Duration> &gaps() const noexcept { return gaps_; }

    /// @brief Number of acknowledged writes.
    [[nodiscard]] std::uint64_t count() const noexcept;

    /// @brief A fresh id for a write.
    [[nodiscard]] std::uint64_t nextId() noexcept { return ++lastId_; }

private:
    std::map<std::string, std::vector<AcknowledgedWrite>> writes_;
    std::map<std::string, std::map<std::uint64_t, std::string>> primaries_; ///< By group and term.
    std::vector<Duration> gaps_;
    std::uint64_t lastId_ = 0;
};

} // namespace hyssoprock::random_runs::failover
