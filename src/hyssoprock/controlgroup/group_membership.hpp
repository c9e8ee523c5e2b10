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
/// @brief Who asks to join the control group, and how its leader chooses the voters.

namespace hyssoprock {

/// @brief Identity and size of the group. Control hosts are named by IP number.
struct GroupMembershipSettings
{
    std::string self;                    ///< This host.
    std::vector<std::string> seeds;      ///< Control hosts to ask first; may be out of date.
    bool bootstrap = false;              ///< First start of the whole system.
    std::uint32_t failuresTolerated = 1; ///< Voters that may fail at the same time; 0 counts as 1.
};

/// @brief What this host's Raft node knows at a tick.
struct ControlGroupStatus
{
    bool leading = false;                ///< Leader with a valid lease and every committed entry.
    std::uint64_t term = 0;              ///< Newest term.
    std::string leader;                  ///< Known leader; empty if none.
    std::optional<Instant> leaderSeenAt; ///< Last message from a leader.
    std::vector<VoterStatus> voters;     ///< Voters by this host's log, this host among them.
};

/// @brief What the shell is to do after a tick.
struct MembershipActions
{
    std::vector<std::string> joinRequestTargets; ///< Hosts that get a JoinRequest of this host.
    std::optional<std::string> voterToAdd;       ///< Voter to add; handleChangeResult() follows.
    std::optional<std::string> voterToRemove;    ///< Voter to remove; handleChangeResult() follows.
    bool cancelJoin = false;                     ///< The host being added is silent: give it up.
};

/// @brief Initial voters of a host whose data folder is empty.
/// @param settings Seeds, and whether the group is being formed.
/// @return The sorted seeds at the first start of the whole system; otherwise none, so that the
/// host waits until a leader takes it in.
[[nodiscard]] std::vector<std::string> initialVoters(const GroupMembershipSettings &settings);

/// @brief Membership of one control host. No I/O; time is an argument.
class GroupMembership
{
public:
    /// @brief Starts with the seeds as the known hosts.
    /// @param settings Identity and size.
    explicit GroupMembership(GroupMembershipSettings settings);

    /// @brief Replaces the seeds. A host that was only known as a seed is no longer contacted.
    /// @param seeds Control hosts to ask first.
    void setSeeds(std::vector<std::string> seeds);

    /// @brief Notes another control host: sender of a frame, or named by one.
    /// @param host IP number.
    /// @param now Present time.
    void recordHost(const std::string &host, Instant now);

    /// @brief Takes a request to join.
    /// @param request The request.
    /// @param from Host that sent it: the host itself or one that forwards it.
    /// @param leader Known leader; empty if none.
    /// @param now Present time.
    /// @return Host to forward it to, if any.
    [[nodiscard]] std::optional<std::string> handle(const JoinRequest &request,
                                                    const std::string &from,
                                                    const std::string &leader, Instant now);
    /// @brief Takes the request of a voter that is being stopped.
    /// @param request The request.
    /// @param now Present time.
    void handle(const LeaveRequest &request, Instant now);

    /// @brief Decides; called every 100 ms or so.
    /// @param view What the Raft node knows.
    /// @param now Present time.
    /// @return What to do.
    [[nodiscard]] MembershipActions tick(const ControlGroupStatus &view, Instant now);

    /// @brief The change of the last add or remove is committed or has failed.
    /// @param success Whether it is committed.
    void handleChangeResult(bool success);

    /// @brief Control hosts to keep a connection to, without this one.
    [[nodiscard]] std::vector<std::string> knownHosts() const;

    /// @brief Control hosts that are voters or were heard of lately, this one among them.
    [[nodiscard]] std::vector<std::string> activeHosts() const;

    /// @brief Number of voters that the leader aims at, at least three: where only the loss of a
    /// data centre is to be tolerated, the number of hosts that may fail is given as 0.
    [[nodiscard]] std::size_t targetVoterCount() const noexcept;

private:
    void forget(Instant now);
    void noteLeadership(const ControlGroupStatus &view, Instant now);
    [[nodiscard]] std::vector<std::string> hostsToAsk(const ControlGroupStatus &view, Instant now);
    void chooseChange(const ControlGroupStatus &view, Instant now, MembershipActions &actions);
    [[nodiscard]] std::optional<std::string> candidate() const;

    GroupMembershipSettings settings_;
    std::map<std::string, Instant> heard_{};      ///< Known hosts other than seeds and voters.
    std::set<std::string> voters_{};              ///< Voters at the last tick.
    std::map<std::string, Instant> candidates_{}; ///< Time of the newest request.
    std::map<std::string, Instant> leaving_{};    ///< Time of the request.
    std::optional<Instant> leadingSince_{};
    std::uint64_t leadingTerm_ = 0;
    std::optional<std::string> joining_{}; ///< Host that is being added.
    bool changing_ = false;
    std::optional<Instant> askingSince_{};
    std::optional<Instant> askedAt_{};
};

} // namespace hyssoprock
