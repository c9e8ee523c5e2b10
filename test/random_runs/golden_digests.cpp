#include "golden_digests.hpp"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <fstream>
#include <vector>

#include <support/event_digest.hpp>

#include "run_registry.hpp"

namespace hyssoprock::random_runs {

namespace {

constexpr std::uint64_t goldenSeeds = 3;

/// Line of a run: part, seed, number of events and digest.
std::string digestLine(const NamedRun &run, std::uint64_t seed)
{
    test::eventDigest().begin({}, 0);
    (void)run.run(seed);
    char digest[17];
    (void)std::snprintf(digest, sizeof digest, "%016" PRIx64, test::eventDigest().value());
    return std::string{run.name} + " " + std::to_string(seed) + " "
           + std::to_string(test::eventDigest().count()) + " " + digest;
}

std::vector<std::string> readLines(const std::string &path)
{
    std::vector<std::string> lines;
    std::ifstream file{path};
    for (std::string line; std::getline(file, line);) {
        if (!line.empty() && line.front() != '#') {
            lines.push_back(line);
        }
    }
    return lines;
}

} // namespace

void printGoldenDigests()
{
    std::printf("# Written by: build/test/random_runs --print-golden\n"
                "# Each line: part, seed, number of events, digest of the events.\n");
    for (const auto &run : namedRuns()) {
        for (std::uint64_t seed = 1; seed <= goldenSeeds; ++seed) {
            std::printf("%s\n", digestLine(run, seed).c_str());
        }
    }
}

bool checkGoldenDigests(const std::string &path)
{
    auto expected = readLines(path);
    std::size_t mismatches = 0;
    for (const auto &run : namedRuns()) {
        for (std::uint64_t seed = 1; seed <= goldenSeeds; ++seed) {
            const auto line = digestLine(run, seed);
            const auto key = std::string{run.name} + " " + std::to_string(seed) + " ";
            const auto found = std::find_if(expected.begin(), expected.end(),
                                            [&](const auto &old) { return old.starts_with(key); });
            const auto golden = found == expected.end() ? std::string{"no line"} : *found;
            if (found != expected.end()) {
                expected.erase(found);
            }
            if (golden != line) {
                ++mismatches;
                std::printf("golden digest differs:\n  expected %s\n  actual   %s\n",
                            golden.c_str(), line.c_str());
            }
        }
    }
    for (const auto &line : expected) {
        ++mismatches;
        std::printf("golden digest of no run: %s\n", line.c_str());
    }
    if (mismatches > 0) {
        std::printf("%zu golden digests differ from %s.\n"
                    "After an intended change of the product or of the runs, write new ones:\n"
                    "  build/test/random_runs --print-golden "
                    ">test/random_runs/golden_digests.txt\n"
                    "Otherwise this machine or build runs a seed differently. To find the first\n"
                    "event that differs, compare the output of this command on two machines:\n"
                    "  build/test/random_runs --part PART --seeds SEED --digest-interval 100\n",
                    mismatches, path.c_str());
    }
    return mismatches == 0;
}

} // namespace hyssoprock::random_runs
