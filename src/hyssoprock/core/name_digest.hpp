#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// @file
/// @brief Digest with which two processes compare lists of names without sending them.

namespace hyssoprock {

/// @brief Computes XXH64 over the names in the given order, each terminated by a zero byte.
/// @param names Names; both processes must sort them in the same order.
/// @return The digest; 0 only for an empty list.
[[nodiscard]] std::uint64_t computeNameDigest(const std::vector<std::string> &names);

} // namespace hyssoprock
