#pragma once

#include <string>
#include <string_view>
#include <vector>

/// @file
/// @brief Scripts whose transcripts are recorded in test/golden.

namespace hyssoprock::golden {

/// @brief Script and the name of its transcript file.
struct Script
{
    std::string_view name;       ///< File name without the extension.
    std::string (*transcript)(); ///< Runs the script and returns its transcript.
};

[[nodiscard]] std::string roamAndFailover();
[[nodiscard]] std::string roamWithoutToken();
[[nodiscard]] std::string refusals();
[[nodiscard]] std::string plannedStop();
[[nodiscard]] std::string abortedStop();
[[nodiscard]] std::string ruleChange();
[[nodiscard]] std::string settledAsDone();
[[nodiscard]] std::string settledAsNotRun();
[[nodiscard]] std::string leavingHost();

[[nodiscard]] const std::vector<Script> &scripts();

} // namespace hyssoprock::golden
