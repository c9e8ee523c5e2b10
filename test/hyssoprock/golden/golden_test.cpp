#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include <criterion/criterion.h>

#include "scripts.hpp"

using namespace hyssoprock::golden;

namespace {

std::string contents(const std::string &path)
{
    std::ifstream file{path, std::ios::binary};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Number and text of the first line that differs.
std::string firstDifference(const std::string &expected, const std::string &actual)
{
    std::istringstream left{expected};
    std::istringstream right{actual};
    std::string before;
    std::string after;
    for (int line = 1;; ++line) {
        const bool hasLeft = static_cast<bool>(std::getline(left, before));
        const bool hasRight = static_cast<bool>(std::getline(right, after));
        if (hasLeft != hasRight || before != after) {
            return "line " + std::to_string(line) + "\n  file: " + (hasLeft ? before : "(end)")
                   + "\n  now:  " + (hasRight ? after : "(end)");
        }
        if (!hasLeft) {
            return "the end of the file";
        }
    }
}

} // namespace

// Guards against a change of what callers, endpoints and logs get to see that nobody has read:
// each transcript must equal its file byte for byte (tools/golden shows the difference).
Test(golden, theTranscriptsEqualTheirFiles)
{
    for (const auto &script : scripts()) {
        const auto path =
            std::string{HYSSOPROCK_GOLDEN_FOLDER} + "/" + std::string{script.name} + ".txt";
        const auto expected = contents(path);
        const auto actual = script.transcript();
        cr_expect(expected == actual, "%s differs at %s", path.c_str(),
                  firstDifference(expected, actual).c_str());
    }
}

// Guards against transcripts that depend on the run: addresses, clocks, order in memory.
Test(golden, aTranscriptIsTheSameInEachRun)
{
    for (const auto &script : scripts()) {
        cr_expect(script.transcript() == script.transcript(), "%s", script.name.data());
    }
}
