#include "exploration.hpp"

#include <cstdio>
#include <unordered_set>
#include <vector>

#include "model.hpp"

namespace hyssoprock::control_model {

namespace {

void printCounterexample(const State &state)
{
    std::vector<const Trace *> steps;
    for (const auto *step = state.trace.get(); step != nullptr; step = step->before.get()) {
        steps.push_back(step);
    }
    std::printf("broken at depth %zu: %s\n", steps.size(), state.violatedInvariant.c_str());
    for (auto step = steps.rbegin(); step != steps.rend(); ++step) {
        std::printf("  %s\n", (*step)->text.c_str());
    }
}

} // namespace

bool explore(const ExplorationLimits &limits)
{
    auto start = makeStartState(static_cast<Start>(limits.start));
    if (!start.violatedInvariant.empty()) {
        std::printf("broken at depth 0, while the start state is made: %s\n",
                    start.violatedInvariant.c_str());
        return false;
    }
    start.remaining = limits.budget;
    std::unordered_set<std::uint64_t> visited{start.digest()};
    std::vector<State> level{std::move(start)};
    std::size_t steps = 0;
    for (std::size_t depth = 1; depth <= limits.depthMax && !level.empty(); ++depth) {
        std::vector<State> next;
        for (auto &state : level) {
            auto choices = possibleSteps(state);
            for (std::size_t i = 0, wholeStepCount = choices.size(); i < wholeStepCount; ++i) {
                const auto crashes = crashesWithin(state, choices[i]);
                choices.insert(choices.end(), crashes.begin(), crashes.end());
            }
            for (const auto &step : choices) {
                auto reached = applyStep(state, step);
                ++steps;
                if (!reached.violatedInvariant.empty()) {
                    printCounterexample(reached);
                    return false;
                }
                if (visited.insert(reached.digest()).second && depth < limits.depthMax) {
                    next.push_back(std::move(reached));
                }
            }
            if (visited.size() >= limits.stateCountMax) {
                std::printf("depth %zu incomplete: limit of %zu states, %zu steps\n", depth,
                            limits.stateCountMax, steps);
                return true;
            }
            state = {};
        }
        std::printf("depth %zu: %zu states, %zu steps\n", depth, visited.size(), steps);
        std::fflush(stdout);
        level = std::move(next);
    }
    return true;
}

} // namespace hyssoprock::control_model
