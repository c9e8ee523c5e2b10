#pragma once

#include <cstddef>

#include <hyssoprock/limits/memory_budget.hpp>
#include <hyssoprock/pooling/session_limits.hpp>
#include <hyssoprock/settings/pooler_settings.hpp>

/// @file
/// @brief Limits of a process of the pooled deployment, derived from its settings.

namespace hyssoprock {

/// @brief Limits that keep a process within the memory and descriptors of its machine.
struct ProcessLimits
{
    MemoryBounds memory;                    ///< What connections may hold.
    std::size_t requestBytes = 0;           ///< Bodies of HTTP requests that are being received.
    std::size_t callersMax = 0;             ///< Connections of callers (entry role).
    std::size_t httpConnectionsMax = 0;     ///< Connections to the HTTP port (control role).
    std::size_t internalConnectionsMax = 0; ///< Connections to the internal port (control role).
    SessionLimits session;                  ///< Of each session.

    [[nodiscard]] bool operator==(const ProcessLimits &) const = default;
};

/// @brief Derives the limits.
/// @param settings Settings; 0 selects the defaults.
/// @param descriptors Soft limit of the process on file descriptors.
[[nodiscard]] ProcessLimits deriveLimits(const CallerLimitSettings &settings,
                                         std::size_t descriptors);

/// @brief Soft limit of this process on file descriptors.
[[nodiscard]] std::size_t descriptorLimit();

/// @brief Makes the allocator return large blocks to the system as soon as they are freed.
void configureAllocator();

/// @brief Returns free memory to the system. Takes some milliseconds after heavy use.
void returnFreeMemory();

} // namespace hyssoprock
