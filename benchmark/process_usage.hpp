#pragma once

#include <cstddef>
#include <ctime>
#include <fstream>
#include <unistd.h>

/// @file
/// @brief Processor time and memory of this process, for benchmarks.

namespace hyssoprock::benchmarks {

/// @brief Processor time of this process since its start.
/// @return Seconds.
[[nodiscard]] inline double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

/// @brief Resident memory of this process.
/// @return Bytes.
[[nodiscard]] inline double residentBytes()
{
    std::ifstream file{"/proc/self/statm"};
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)));
}

} // namespace hyssoprock::benchmarks
