#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>

#include <support/event_digest.hpp>

#include "golden_digests.hpp"
#include "run_registry.hpp"
#include "run_report.hpp"

namespace hyssoprock::random_runs {

namespace {

struct SeedRange
{
    std::uint64_t first = 1;
    std::uint64_t last = 20;
};

bool parseNumber(std::string_view text, std::uint64_t &value)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size();
}

bool parseRange(std::string_view text, SeedRange &range)
{
    const auto dots = text.find("..");
    if (dots == std::string_view::npos) {
        return parseNumber(text, range.first) && parseNumber(text, range.last);
    }
    return parseNumber(text.substr(0, dots), range.first)
           && parseNumber(text.substr(dots + 2), range.last) && range.first <= range.last;
}

void add(RunReport &total, const RunReport &run)
{
    total.steps += run.steps;
    for (const auto &[name, count] : run.faults) {
        total.faults[name] += count;
    }
    for (const auto &[name, count] : run.events) {
        total.events[name] += count;
    }
    for (const auto &[name, values] : run.samples) {
        auto &all = total.samples[name];
        all.insert(all.end(), values.begin(), values.end());
    }
}

/// Prints the distribution of a list of values.
void printSamples(const std::string &name, std::vector<std::uint64_t> values)
{
    std::sort(values.begin(), values.end());
    const auto at = [&](std::size_t percent) {
        return static_cast<unsigned long long>(values[(values.size() - 1) * percent / 100]);
    };
    std::printf("  sample %s: n %zu, median %llu, p90 %llu, p99 %llu, max %llu\n", name.c_str(),
                values.size(), at(50), at(90), at(99), at(100));
}

void print(const NamedRun &run, const SeedRange &range, const RunReport &total)
{
    std::printf("%s: seeds %llu..%llu, %llu steps\n", run.name,
                static_cast<unsigned long long>(range.first),
                static_cast<unsigned long long>(range.last),
                static_cast<unsigned long long>(total.steps));
    for (const auto &[name, count] : total.faults) {
        std::printf("  fault %s: %llu\n", name.c_str(), static_cast<unsigned long long>(count));
    }
    for (const auto &[name, count] : total.events) {
        std::printf("  event %s: %llu\n", name.c_str(), static_cast<unsigned long long>(count));
    }
    for (const auto &[name, values] : total.samples) {
        printSamples(name, values);
    }
}

int usage()
{
    std::fprintf(stderr, "usage: random_runs [--seeds A..B] [--part NAME] [--digest-interval N]\n"
                         "       random_runs --print-golden\n"
                         "       random_runs --check-golden FILE\n");
    return 2;
}

} // namespace

int runAll(int argc, char **argv)
{
    SeedRange range;
    std::string_view part;
    std::uint64_t digestInterval = 0;
    if (argc == 2 && std::string_view{argv[1]} == "--print-golden") {
        printGoldenDigests();
        return 0;
    }
    if (argc == 3 && std::string_view{argv[1]} == "--check-golden") {
        return checkGoldenDigests(argv[2]) ? 0 : 1;
    }
    for (int i = 1; i < argc; i += 2) {
        const std::string_view option{argv[i]};
        if (i + 1 >= argc) {
            return usage();
        }
        if (option == "--seeds") {
            if (!parseRange(argv[i + 1], range)) {
                return usage();
            }
        } else if (option == "--part") {
            part = argv[i + 1];
        } else if (option == "--digest-interval") {
            if (!parseNumber(argv[i + 1], digestInterval)) {
                return usage();
            }
        } else {
            return usage();
        }
    }
    std::uint64_t runs = 0;
    for (const auto &run : namedRuns()) {
        if (!part.empty() && part != run.name) {
            continue;
        }
        RunReport total;
        for (auto seed = range.first; seed <= range.last; ++seed) {
            // Written before the run, so that a run that ends the process leaves its seed behind.
            std::fprintf(stderr, "\r%s seed %llu ", run.name,
                         static_cast<unsigned long long>(seed));
            test::eventDigest().begin(std::string{run.name} + " seed " + std::to_string(seed),
                                      digestInterval);
            add(total, run.run(seed));
            ++runs;
        }
        std::fprintf(stderr, "\n");
        print(run, range, total);
    }
    std::printf("%llu passed, 0 failed\n", static_cast<unsigned long long>(runs));
    return runs == 0 ? 2 : 0;
}

} // namespace hyssoprock::random_runs

int main(int argc, char **argv)
{
    return hyssoprock::random_runs::runAll(argc, argv);
}
