#include <hyssoprock/consensus/raft_action.hpp>

namespace hyssoprock {

std::string_view toString(RaftRole role) noexcept
{
    switch (role) {
    case RaftRole::Follower:
        return "follower";
    case RaftRole::PreCandidate:
        return "precandidate";
    case RaftRole::Candidate:
        return "candidate";
    case RaftRole::Leader:
        return "leader";
    }
    return "invalid";
}

} // namespace hyssoprock
