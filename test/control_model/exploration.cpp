#include "exploration.hpp"

#include <cstdio>
#include <unordered_set>
#include <vector>

#include "model.hpp"

namespace hyssoprock::control_model {

namespace {

void print(const State &state)
{
    std::vector<const Trace *> steps;
    for (const auto *step = state.trace.get(); step != nullptr; step = step->before.get()) {
        steps.push_back(step);
    }
    std::printf("broken at depth %zu: %s\n", steps.size(), state.violation.c_str());
    for (auto step = steps.rbegin(); step != steps.rend(); ++step) {
        std::printf("  %s\n", (*step)->text.c_str());
    }
}

} // namespace

bool explore(const Limits &limits)
{
    auto start = startState(static_cast<Start>(limits.start));
    if (!start.violation.empty()) {
        std::printf("broken at depth 0, while the start state is made: %s\n",
                    start.violation.c_str());
        return false;
    }
    start.left = limits.budget;
    std::unordered_set<std::uint64_t> visited{start.digest()};
    std::vector<State> level{std::move(start)};
    std::size_t steps = 0;
    for (std::size_t depth = 1; depth <= limits.depth && !level.empty(); ++depth) {
        std::vector<State> next;
        for (auto &state : level) {
            auto choices = possibleSteps(state);
            for (std::size_t i = 0, whole = choices.size(); i < whole; ++i) {
                const auto cut = crashesInside(state, choices[i]);
                choices.insert(choices.end(), cut.begin(), cut.end());
            }
            for (const auto &step : choices) {
                auto reached = after(state, step);
                ++steps;
                if (!reached.violation.empty()) {
                    print(reached);
                    return false;
                }
                if (visited.insert(reached.digest()).second && depth < limits.depth) {
                    next.push_back(std::move(reached));
                }
            }
            if (visited.size() >= limits.states) {
                std::printf("depth %zu incomplete: limit of %zu states, %zu steps\n", depth,
                            limits.states, steps);
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
