#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/consensus/raft_node.hpp>
#include <hyssoprock/deployment/control_state.hpp>

#include "exploration.hpp"

/// @file
/// @brief State of a control group of three hosts and the possible transitions.
///
/// A message that is never delivered counts as lost, so there is no separate step for a loss. Time
/// advances only when a host's timer expires; timers may expire late and in any order.

namespace hyssoprock::control_model {

constexpr std::size_t hostCount = 3;

/// @brief What a host knows of the group without its Raft state.
enum class Membership : std::uint8_t {
    Named,   ///< Its settings name the voters at each start.
    Founder, ///< It was told at the first start that it is an initial voter.
    Unknown, ///< A founder that has lost its disk.
};

/// @brief One control host.
struct Host
{
    RaftNode node;
    Membership membership = Membership::Named;
    RestoredState disk{};
    ControlState state{};
    std::vector<LogPosition> proposals{}; ///< Unanswered proposals since the last start.
    std::uint64_t digest = 0;
};

/// @brief Message in flight.
struct Message
{
    std::size_t to;
    RaftMessage body;
    std::uint64_t digest;
};

/// @brief Events of a history that the invariants refer to.
struct ObservedHistory
{
    std::map<std::uint64_t, std::string> leaders{};   ///< By term.
    std::map<std::uint64_t, LogEntry> committed{};    ///< By index.
    std::map<std::uint64_t, std::string> documents{}; ///< By version.
    std::map<std::uint64_t, std::uint64_t> tokens{};  ///< Index of the order, by token.
    std::uint64_t version = 0;                        ///< Highest acknowledged version.
    std::uint64_t token = 0;                          ///< Highest acknowledged token.
    std::uint64_t newestAnswerTerm = 0;               ///< Term of the newest answer.
    std::uint64_t digest = 0;
};

enum class StepKind : std::uint8_t { Deliver, Timeout, Put, Order, LoseDisk, CrashAll };

/// @brief One step of a history.
struct Step
{
    StepKind kind{};
    std::size_t index = 0;                          ///< Index of the message or host.
    std::optional<std::size_t> crashAfterActions{}; ///< Crash after this many actions.
};

/// @brief Steps that led to a state, newest first.
struct Trace
{
    std::shared_ptr<const Trace> before;
    std::string text;
};

/// @brief State of the whole system. States share their immutable parts.
struct State
{
    std::array<std::shared_ptr<const Host>, hostCount> hosts{};
    std::vector<std::shared_ptr<const Message>> network{}; ///< Ordered by digest.
    Instant now{};
    Budget remaining{};
    std::shared_ptr<const ObservedHistory> observed{};
    std::shared_ptr<const Trace> trace{};
    std::string violatedInvariant{}; ///< First violated invariant; empty if none.

    [[nodiscard]] std::uint64_t digest() const;
};

/// @brief Initial state of an exploration.
[[nodiscard]] State makeStartState(Start start);

/// @brief Possible steps in a state, within its remaining budget.
[[nodiscard]] std::vector<Step> possibleSteps(const State &state);

/// @brief State that a step leads to.
[[nodiscard]] State applyStep(const State &state, const Step &step);

/// @brief Variants of a step in which its host crashes between two actions. Only that host crashes:
/// if all did, the receiver would restart too, which would hide a message that was sent before the
/// state that it reports was synced.
[[nodiscard]] std::vector<Step> crashesWithin(const State &state, const Step &step);

} // namespace hyssoprock::control_model
