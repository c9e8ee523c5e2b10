#pragma once

#include <string>

/// @file
/// @brief Golden digests: a seed must give the same run on every machine.

namespace hyssoprock::random_runs {

/// @brief Prints the digests of the golden seeds of each part, in the format of the golden file.
void printGoldenDigests();

/// @brief Compares the digests of the golden seeds of each part with a file and prints each
/// mismatch.
/// @param path File with the output of printGoldenDigests().
/// @return Whether the file has a line for each run and all digests are equal.
[[nodiscard]] bool checkGoldenDigests(const std::string &path);

} // namespace hyssoprock::random_runs
