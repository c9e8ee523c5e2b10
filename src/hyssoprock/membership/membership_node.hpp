#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/membership/announcement_table.hpp>
#include <hyssoprock/membership/member_table.hpp>
#include <hyssoprock/membership/membership_event.hpp>
#include <hyssoprock/settings/settings.hpp>

/// @file
/// @brief Failure detection among entry hosts and gossip of endpoint announcements.

namespace hyssoprock {

/// @brief A host listed in the settings.
struct SeedHost
{
    std::string host;    ///< Name.
    std::string address; ///< IP number and port for datagrams.
};

/// @brief Membership protocol (SWIM) of one entry host.
///
/// In each interval the node probes one host. Without a response it requests indirect probes from
/// other hosts, then suspects the host. A suspected host learns of the suspicion with the next
/// probe and refutes it by incrementing its incarnation; otherwise it counts as dead after a
/// timeout. Changes are piggybacked on probes.
class MembershipNode
{
public:
    /// @brief Constructs a node that knows only the seeds.
    /// @param self This host. Its incarnation should be higher than before a restart, for example
    /// the start time; a lower one is corrected by a refutation.
    /// @param seeds Hosts to contact first.
    /// @param settings Timeouts and message sizes.
    /// @param seed Seed for the random selection of hosts.
    /// @param now Current time.
    MembershipNode(HostRecord self, const std::vector<SeedHost> &seeds,
                   const MembershipSettings &settings, std::uint64_t seed, Instant now);

    /// @brief Handles an event.
    /// @param event The event.
    /// @param now Current time, not earlier than in the previous call.
    /// @return Actions, to be carried out in order.
    [[nodiscard]] MembershipActions handle(const MembershipEvent &event, Instant now);
    /// @brief Latest time at which a Tick is due; nothing after this host has left.
    [[nodiscard]] std::optional<Instant> nextDeadline() const;

    /// @brief Record of this host.
    [[nodiscard]] const HostRecord &self() const noexcept { return self_; }
    /// @brief All other known hosts, sorted by name.
    [[nodiscard]] std::vector<HostRecord> hosts() const { return members_.records(); }
    /// @brief Newest announcements of the endpoints of this data centre, sorted by name.
    [[nodiscard]] std::vector<Announcement> announcements() const
    {
        return announcements_.announcements();
    }
    /// @brief Whether this host forwards the announcements of its data centre to the control
    /// leader. It is the first by name among the hosts that are alive.
    [[nodiscard]] bool isForwarder() const;

private:
    /// @brief The probe of the current interval.
    struct Probe
    {
        std::string target;           ///< Probed host.
        std::uint64_t sequence;       ///< Sequence number of the ping.
        Instant indirectProbesAt;     ///< When indirect probes are due.
        bool indirectProbesRequested; ///< Whether they were requested.
        bool acknowledged;            ///< Directly or by another host.
    };

    /// @brief A probe on behalf of another host.
    struct Relay
    {
        std::string requester;  ///< Host that requested the probe.
        std::uint64_t sequence; ///< Sequence number of its request.
        std::string target;     ///< Probed host.
        Instant deadline;       ///< When it is abandoned.
    };

    void on(const membership::Tick &event);
    void on(const membership::MessageReceived &event);
    void on(const membership::AnnouncementReceived &event);
    void on(const membership::Leave &event);

    void receive(const PeerPing &ping);
    void receive(const PeerPingRequest &request);
    void receive(const PeerAck &ack);

    void startProbe();
    void requestIndirectProbes();
    void finishProbe();
    void ping(const std::string &host, std::uint64_t sequence);
    void probeDeadHosts();
    void gossipAnnouncements();
    [[nodiscard]] std::vector<std::string> hostsInSameDataCentre() const;
    [[nodiscard]] std::size_t announcementSendCountMax() const;
    [[nodiscard]] std::optional<std::string> nextTarget();

    void mergeRecord(const HostRecord &record);
    void mergeAll(const HostRecord &from, const std::vector<HostRecord> &records,
                  const std::vector<SharedAnnouncement> &announcements);
    [[nodiscard]] std::vector<HostRecord> recordsFor(const std::string &host,
                                                     std::uint64_t incarnation);
    void prependRecord(std::vector<HostRecord> &records, const HostRecord &record) const;
    [[nodiscard]] std::vector<SharedAnnouncement> announcementsFor(const std::string &host);
    void expire();
    void send(const std::string &host, MembershipMessage message);

    HostRecord self_;
    MembershipSettings settings_;
    RandomSource random_;
    MemberTable members_;
    AnnouncementTable announcements_;
    Instant now_;
    Instant nextProbe_;
    std::uint64_t nextSequence_ = 1;
    std::optional<Probe> probe_;
    std::map<std::uint64_t, Relay> relays_;
    std::vector<std::string>
        probeOrder_; ///< Hosts still to be probed in this round, in reverse order.
    bool hasLeft_ = false;
    MembershipActions actions_;
};

} // namespace hyssoprock
