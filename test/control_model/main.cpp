#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <string_view>

#include "exploration.hpp"

namespace {

bool parseNumber(std::string_view text, std::size_t &value)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size();
}

} // namespace

/// Explores every history up to a depth; exits with 1 if one of them violates an invariant.
int main(int argc, char **argv)
{
    using namespace hyssoprock::control_model;
    ExplorationLimits limits;
    const std::array<std::pair<std::string_view, std::size_t *>, 9> options{{
        {"--depth", &limits.depthMax},
        {"--states", &limits.stateCountMax},
        {"--start", &limits.start},
        {"--timeouts", &limits.budget.timeouts},
        {"--heartbeats", &limits.budget.heartbeats},
        {"--puts", &limits.budget.puts},
        {"--orders", &limits.budget.orders},
        {"--lost-disks", &limits.budget.lostDisks},
        {"--crashes", &limits.budget.crashes},
    }};
    for (int i = 1; i < argc; i += 2) {
        const auto *option = std::find_if(options.begin(), options.end(), [&](const auto &known) {
            return known.first == argv[i];
        });
        if (option == options.end() || i + 1 >= argc
            || !parseNumber(argv[i + 1], *option->second)) {
            std::fprintf(stderr,
                         "usage: control_model [--depth N] [--states N] [--start 0..4] "
                         "[--timeouts N] [--heartbeats N] [--puts N] [--orders N] [--lost-disks N] "
                         "[--crashes N]\n");
            return 2;
        }
    }
    if (limits.start > static_cast<std::size_t>(Start::TwoFounders)) {
        std::fprintf(stderr, "--start is 0 to 4\n");
        return 2;
    }
    return explore(limits) ? 0 : 1;
}
