#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include <criterion/criterion.h>

#include "scripts.hpp"

using namespace hyssoprock::golden;

namespace {

std::string readFile(const std::string &path)
{
    std::ifstream file{path, std::ios::binary};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Number of the first line that differs, with both texts.
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

// Guards against unreviewed changes to what callers, endpoints and logs receive: each transcript
// must equal its file byte for byte (tools/golden shows the difference).
Test(golden, theTranscriptsEqualTheirFiles)
{
    for (const auto &script : scripts()) {
        const auto path =
            std::string{HYSSOPROCK_GOLDEN_FOLDER} + "/" + std::string{script.name} + ".txt";
        const auto expected = readFile(path);
        const auto actual = script.transcript();
        cr_expect(expected == actual, "%s differs at %s", path.c_str(),
                  firstDifference(expected, actual).c_str());
    }
}

// Guards against transcripts that differ between runs because of addresses, clocks or memory order.
Test(golden, aTranscriptIsTheSameInEachRun)
{
    for (const auto &script : scripts()) {
        cr_expect(script.transcript() == script.transcript(), "%s", script.name.data());
    }
}
