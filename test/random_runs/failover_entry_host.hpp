#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <hyssoprock/failover/observers.hpp>
#include <hyssoprock/message/control.hpp>
#include <hyssoprock/settings/settings.hpp>

#include "failover_endpoint.hpp"
#include "failover_history.hpp"
#include "failover_world.hpp"

/// @file
/// @brief Fake entry host: renews its lease, probes, writes, and acknowledges by majority and
/// lease.

namespace hyssoprock::random_runs::failover {

/// @brief Sends a renewal to the control host with an index.
using RenewalSender =
    std::function<void(std::size_t from, std::size_t control, const HostRenewRequest &request)>;

class FakeEntryHost
{
public:
    FakeEntryHost(World &world, std::size_t node, std::vector<std::string> controlHosts,
                  EndpointFinder find, RenewalSender sender, History &history);

    void receive(const HostRenewResponse &answer, std::uint64_t incarnation);
    void receive(const ViewPush &push, std::uint64_t incarnation);
    /// @brief An endpoint has told this host of itself.
    void receive(const Announcement &announcement);

    void crash();
    void restart();

    [[nodiscard]] std::size_t node() const noexcept { return node_; }

    Duration stuckUntil{0}; ///< Until then (true time) its work at primaries does not end.

private:
    struct PendingWrite
    {
        std::uint64_t id = 0;
        std::string group;
        std::string endpoint;
        std::uint64_t term = 0;
        std::optional<LogPosition> position;
        Duration sentAt{0};
        bool byPrimary = false; ///< The majority is taken from the primary's word.
    };

    [[nodiscard]] Instant now() const { return world_.clock(node_); }
    [[nodiscard]] bool alive() const { return world_.nodes[node_].alive; }
    [[nodiscard]] bool leaseValid() const { return now() < leaseEnd_; }
    void renew();
    void probe();
    void write();
    void poll();
    void take(const EndpointCallResponse &report, const std::string &endpoint);
    void acknowledge();
    [[nodiscard]] bool majorityHolds(const GroupView &view, const PendingWrite &write) const;
    void applyViews(const std::vector<GroupView> &views, std::uint64_t version);
    [[nodiscard]] bool quiesced(const std::string &group) const;
    void ask(const std::string &endpoint,
             const std::function<void(const EndpointCallResponse &)> &take);

    World &world_;
    std::size_t node_;
    std::vector<std::string> controlHosts_;
    EndpointFinder find_;
    RenewalSender send_;
    History &history_;

    std::size_t target_ = 0;
    std::uint64_t sequence_ = 0;
    std::map<std::uint64_t, Instant> sentAt_;
    Instant leaseEnd_{};
    Instant lastAnswer_{};
    Instant nextRenewal_{};
    std::uint64_t viewVersion_ = 0;
    std::map<std::string, GroupView> views_;
    std::vector<HostLocation> hosts_;
    std::uint64_t hostsDigest_ = 0;
    std::map<std::string, Instant> answered_; ///< Endpoints that it probes.
    std::set<std::string> reportedSilent_;
    std::set<std::string> drained_; ///< Draining endpoints without its work.
    std::map<std::string, Announcement> announcements_;
    std::map<std::string, EndpointCallResponse> known_;
    std::vector<PendingWrite> writes_;
    bool hadWrites_ = false; ///< At the last poll.
    LeaseSettings settings_;
};

} // namespace hyssoprock::random_runs::failover
