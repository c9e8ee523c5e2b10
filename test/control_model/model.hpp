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
/// @brief One state of a control group of three hosts and the steps that lead from it.
///
/// A message that is never delivered is a lost one, so a loss is no step of its own. The clock
/// moves only when a host's timer runs out; timers may run out late and in any order.

namespace hyssoprock::control_model {

constexpr std::size_t hostCount = 3;

/// @brief One control host.
struct Host
{
    RaftNode node;
    RestoredState disk{};
    ControlState state{};
    std::vector<LogPosition> proposals{}; ///< Proposals of this life that are not answered.
    std::uint64_t digest = 0;
};

/// @brief A message on its way.
struct Message
{
    std::size_t to;
    RaftMessage body;
    std::uint64_t digest;
};

/// @brief What has happened, for the invariants.
struct Facts
{
    std::map<std::uint64_t, std::string> leaders{};   ///< By term.
    std::map<std::uint64_t, LogEntry> committed{};    ///< By index.
    std::map<std::uint64_t, std::string> documents{}; ///< By version.
    std::map<std::uint64_t, std::uint64_t> tokens{};  ///< Index of the order, by token.
    std::uint64_t version = 0;                        ///< Highest acknowledged one.
    std::uint64_t token = 0;                          ///< Highest acknowledged one.
    std::uint64_t acknowledgedTerm = 0;               ///< Term of the newest answer.
    std::uint64_t digest = 0;
};

/// @brief Kinds of steps.
enum class StepKind : std::uint8_t { Deliver, Timeout, Put, Order, LoseDisk, CrashAll };

/// @brief One step of a history.
struct Step
{
    StepKind kind{};
    std::size_t index = 0;            ///< Message or host.
    std::optional<std::size_t> cut{}; ///< The host crashes after so many actions of the step.
};

/// @brief The steps that led to a state.
struct Trace
{
    std::shared_ptr<const Trace> before;
    std::string text;
};

/// @brief The whole system at one moment. Parts are shared between states and never changed.
struct State
{
    std::array<std::shared_ptr<const Host>, hostCount> hosts{};
    std::vector<std::shared_ptr<const Message>> network{}; ///< Ordered by digest.
    Instant now{};
    Budget left{};
    std::shared_ptr<const Facts> facts{};
    std::shared_ptr<const Trace> trace{};
    std::string violation{}; ///< First broken invariant.

    [[nodiscard]] std::uint64_t digest() const;
};

/// @brief The state that an exploration starts from.
[[nodiscard]] State startState(Start start);

/// @brief Steps that are possible in a state, within its budget.
[[nodiscard]] std::vector<Step> possibleSteps(const State &state);

/// @brief The state after a step.
[[nodiscard]] State after(const State &state, const Step &step);

/// @brief A step with a crash of its host between two actions. A crash of all hosts there would
/// hide that a message left before the state that it tells of was synced, as its receiver restarts,
/// too.
[[nodiscard]] std::vector<Step> crashesInside(const State &state, const Step &step);

} // namespace hyssoprock::control_model
