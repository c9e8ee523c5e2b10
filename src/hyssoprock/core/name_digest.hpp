#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// @file
/// @brief Digest by which two processes compare lists of names without sending them.

namespace hyssoprock {

/// @brief XXH64 over the names, each ended by a zero byte, in the order given.
/// @param names Names; both sides sort them alike.
/// @return The digest; 0 only for an empty list.
[[nodiscard]] std::uint64_t digestOfNames(const std::vector<std::string> &names);

} // namespace hyssoprock
