#pragma once

#include <string>
#include <string_view>
#include <vector>

/// @file
/// @brief The scripts whose transcripts are kept in test/golden.

namespace hyssoprock::golden {

/// @brief A script and the file that holds its transcript.
struct Script
{
    std::string_view name;       ///< File name without its suffix.
    std::string (*transcript)(); ///< Runs the script.
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

/// @brief All scripts.
[[nodiscard]] const std::vector<Script> &scripts();

} // namespace hyssoprock::golden
