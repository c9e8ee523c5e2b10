#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <hyssoprock/consensus/raft_node.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief Membership of the control group: requests to join, and the leader's choice of voters.

namespace hyssoprock {

/// @brief Identity of this host and size of the group. Control hosts are identified by IP address.
struct GroupMembershipSettings
{
    std::string self;               ///< This host.
    std::vector<std::string> seeds; ///< Control hosts to contact first; may be outdated.
    bool bootstrap = false;         ///< Whether the whole system is started for the first time.
    std::uint32_t failuresTolerated = 1; ///< Voters that may fail at once; 0 counts as 1.
};

/// @brief State of this host's Raft node at a tick.
struct ControlGroupStatus
{
    bool leading = false;                ///< Leader with a valid lease and every committed entry.
    std::uint64_t term = 0;              ///< Newest term.
    std::string leader;                  ///< Known leader; empty if none.
    std::optional<Instant> leaderSeenAt; ///< When the last message from a leader was received.
    std::vector<VoterStatus> voters; ///< Voters in this host's log, possibly including this host.
};

/// @brief Actions to execute after a tick.
struct MembershipActions
{
    std::vector<std::string> joinRequestTargets; ///< Hosts to send a JoinRequest for this host to.
    std::optional<std::string> voterToAdd;       ///< Followed by handleChangeResult().
    std::optional<std::string> voterToRemove;    ///< Followed by handleChangeResult().
    bool cancelJoin = false; ///< Whether to abort the addition because the host is silent.
};

/// @brief Initial voters of a host whose data folder is empty.
/// @param settings Seeds, and whether the whole system is started for the first time.
/// @return The sorted seeds at the first start of the whole system. Otherwise empty, so that the
/// host waits until a leader admits it.
[[nodiscard]] std::vector<std::string> initialVoters(const GroupMembershipSettings &settings);

/// @brief Membership of one control host. Performs no I/O; the time is passed as an argument.
class GroupMembership
{
public:
    /// @brief Creates a membership that knows only the seeds.
    /// @param settings Identity and group size.
    explicit GroupMembership(GroupMembershipSettings settings);

    /// @brief Replaces the seeds. A host that was only known as a seed is no longer contacted.
    /// @param seeds Control hosts to contact first.
    void setSeeds(std::vector<std::string> seeds);

    /// @brief Records another control host that has sent a frame or was named in one.
    /// @param host IP address of the host.
    /// @param now Current time.
    void recordHost(const std::string &host, Instant now);

    /// @brief Handles a request to join.
    /// @param request Request to handle.
    /// @param from Sender of the request: the joining host itself or a host that forwards it.
    /// @param leader Known leader; empty if none.
    /// @param now Current time.
    /// @return Host to forward the request to, if any.
    [[nodiscard]] std::optional<std::string> handle(const JoinRequest &request,
                                                    const std::string &from,
                                                    const std::string &leader, Instant now);
    /// @brief Handles the request of a voter that is being stopped.
    /// @param request Request to handle.
    /// @param now Current time.
    void handle(const LeaveRequest &request, Instant now);

    /// @brief Decides on the next actions. To be called about every 100 ms.
    /// @param status State of the Raft node.
    /// @param now Current time.
    [[nodiscard]] MembershipActions tick(const ControlGroupStatus &status, Instant now);

    /// @brief Handles the end of the last addition or removal of a voter.
    /// @param success Whether the change was committed.
    void handleChangeResult(bool success);

    /// @brief Control hosts to keep a connection to, without this host.
    [[nodiscard]] std::vector<std::string> knownHosts() const;

    /// @brief Control hosts that are voters or have recently been heard of, including this host.
    [[nodiscard]] std::vector<std::string> activeHosts() const;

    /// @brief Number of voters that the leader aims for, at least three. The tolerated failures are
    /// configured as 0 if only the loss of a data centre must be tolerated.
    [[nodiscard]] std::size_t targetVoterCount() const noexcept;

private:
    void expireRecords(Instant now);
    void recordLeadership(const ControlGroupStatus &status, Instant now);
    [[nodiscard]] std::vector<std::string> dueJoinRequestTargets(const ControlGroupStatus &status,
                                                                 Instant now);
    void chooseChange(const ControlGroupStatus &status, Instant now, MembershipActions &actions);
    [[nodiscard]] std::optional<std::string> findCandidate() const;

    GroupMembershipSettings settings_;
    std::map<std::string, Instant> lastReceivedAt_{}; ///< Known hosts besides seeds and voters.
    std::set<std::string> voters_{};                  ///< Voters at the last tick.
    std::map<std::string, Instant> candidates_{};     ///< Time of the newest request of each host.
    std::map<std::string, Instant> leaving_{};        ///< Time of the request of each host.
    std::optional<Instant> leadingSince_{};
    std::uint64_t leadingTerm_ = 0;
    std::optional<std::string> joiningHost_{}; ///< Host that is being added.
    bool changeInProgress_ = false;
    std::optional<Instant> requestingSince_{};
    std::optional<Instant> lastJoinRequestAt_{};
};

} // namespace hyssoprock
