#pragma once

#include <string>
#include <unistd.h>

/// @file
/// @brief Loopback addresses of a test process.

namespace hyssoprock::test {

/// @brief A loopback address that no other test process binds. Hosts that must share a port number
/// use it, as a port that is free at one address may be taken at the next.
/// @param host Number of the host, 1 to 254.
/// @return The address as text; addresses of higher hosts up to 9 sort later.
inline std::string loopbackAddress(int host)
{
    constexpr int blocks = 250;
    const auto process = static_cast<int>(::getpid());
    return "127." + std::to_string(1 + process / blocks % blocks) + "."
           + std::to_string(1 + process % blocks) + "." + std::to_string(host);
}

} // namespace hyssoprock::test
