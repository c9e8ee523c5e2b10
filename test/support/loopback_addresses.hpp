#pragma once

#include <string>
#include <unistd.h>

/// @file
/// @brief Loopback addresses of a test process.

namespace hyssoprock::test {

/// @brief Loopback address that is specific to the test process. Hosts that must share a port
/// number use it, as a port that is free at one address may be in use at another.
/// @param host Number of the host, 1 to 254.
/// @return Address as text; for hosts 1 to 9, addresses sort by host number.
inline std::string loopbackAddress(int host)
{
    constexpr int blocks = 250;
    const auto process = static_cast<int>(::getpid());
    return "127." + std::to_string(1 + process / blocks % blocks) + "."
           + std::to_string(1 + process % blocks) + "." + std::to_string(host);
}

} // namespace hyssoprock::test
