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
/// @brief Failure detection among entry hosts and sharing of endpoint announcements.

namespace hyssoprock {

/// @brief A host known from the settings.
struct SeedHost
{
    std::string host;    ///< Name.
    std::string address; ///< IP number and port for datagrams.
};

/// @brief One entry host's part in the membership protocol.
///
/// In each interval the node probes one host. Without an answer it asks others to probe, then
/// suspects the host. A suspected host hears of it in the next probe and refutes by raising its
/// incarnation; otherwise it counts as dead. Changes travel with the probes.
class MembershipNode
{
public:
    /// @brief Starts with no other hosts but the seeds.
    /// @param self This host; its incarnation should be higher than before a restart, for example
    /// the start time. A lower one costs a refutation.
    /// @param seeds Hosts to contact first.
    /// @param settings Timing and message sizes.
    /// @param seed Seed of the choice of hosts.
    /// @param now Present time.
    MembershipNode(HostRecord self, const std::vector<SeedHost> &seeds,
                   const MembershipSettings &settings, std::uint64_t seed, Instant now);

    /// @brief Reacts to an event.
    /// @param event The event.
    /// @param now Present time, never earlier than in the call before.
    /// @return What to do, in order.
    [[nodiscard]] MembershipActions handle(const MembershipEvent &event, Instant now);
    /// @brief When a Tick is due at the latest; nothing once this host has left.
    [[nodiscard]] std::optional<Instant> nextDeadline() const;

    /// @brief This host's record.
    [[nodiscard]] const HostRecord &self() const noexcept { return self_; }
    /// @brief All other known hosts, sorted by name.
    [[nodiscard]] std::vector<HostRecord> hosts() const { return members_.records(); }
    /// @brief Endpoints that have announced themselves in this data centre, sorted by name.
    [[nodiscard]] std::vector<Announcement> announcements() const
    {
        return announcements_.announcements();
    }
    /// @brief Whether this host is the one of its data centre that forwards announcements to the
    /// control leader: the first by name among the hosts that are alive.
    [[nodiscard]] bool isForwarder() const;

private:
    /// @brief The probe of the present interval.
    struct Probe
    {
        std::string target;     ///< Probed host.
        std::uint64_t sequence; ///< Of the ping.
        Instant askOthersAt;    ///< When other hosts are asked.
        bool othersAsked;       ///< Whether they were.
        bool answered;          ///< Whether the target or a helper has answered.
    };

    /// @brief A probe on behalf of another host.
    struct Relay
    {
        std::string requester;  ///< Host that asked.
        std::uint64_t sequence; ///< Sequence number of its request.
        std::string target;     ///< Probed host.
        Instant deadline;       ///< When it is given up.
    };

    void on(const membership::Tick &event);
    void on(const membership::MessageReceived &event);
    void on(const membership::AnnouncementReceived &event);
    void on(const membership::Leave &event);

    void receive(const PeerPing &ping);
    void receive(const PeerPingRequest &request);
    void receive(const PeerAck &ack);

    void startProbe();
    void askOthers();
    void finishProbe();
    void ping(const std::string &host, std::uint64_t sequence);
    void probeGone();
    void passAnnouncementsOn();
    [[nodiscard]] std::vector<std::string> neighbours() const;
    [[nodiscard]] std::size_t announcementSends() const;
    [[nodiscard]] std::optional<std::string> nextTarget();

    void mergeRecord(const HostRecord &record);
    void mergeAll(const HostRecord &from, const std::vector<HostRecord> &records,
                  const std::vector<SharedAnnouncement> &announcements);
    [[nodiscard]] std::vector<HostRecord> recordsFor(const std::string &host,
                                                     std::uint64_t incarnation);
    void putFirst(std::vector<HostRecord> &records, const HostRecord &record) const;
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
    std::vector<std::string> order_; ///< Hosts still to be probed in this round, last one first.
    bool left_ = false;
    MembershipActions actions_;
};

} // namespace hyssoprock
