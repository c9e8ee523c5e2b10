#include <hyssoprock/pooler/process_limits.hpp>

#include <algorithm>

#include <malloc.h>
#include <sys/resource.h>

namespace hyssoprock {

namespace {

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
// The smallest machine of the platform, an entry host of customer 1.
constexpr std::size_t memoryDefaultMb = 160;
// Code, deployment document, endpoints and idle sessions.
constexpr std::size_t baseBytes = 24 * mebibyte;
// Half of the rest is for what is not accounted: copies of messages and answers that move through
// the process, and the free space of the allocator.
constexpr std::size_t accountedDivisor = 2;
// Admits a statement of 1 MiB with its copies, and an answer, in calm.
constexpr std::size_t processBytesMin = 8 * mebibyte;
// A statement of 1 MiB, and an answer of 16 MiB in an output buffer that has grown by doubling.
constexpr std::size_t connectionBytesMax = 40 * mebibyte;
// A request of the largest size, a deployment document of 4 MiB, is always admitted.
constexpr std::size_t requestBytesMin = 8 * mebibyte;
// Descriptors for endpoints (24 with up to 6 connections each), control hosts, the readiness probe
// and the metrics, and the process's own.
constexpr std::size_t reservedDescriptorsMax = 256;
constexpr std::size_t reserveDivisor = 4;
// High enough for endpoints that keep their connections open between heartbeats, and for all entry
// hosts.
constexpr std::size_t serverConnectionsMax = 1024;
// Blocks from this size on are mapped one by one and unmapped when freed. The default threshold
// grows with the largest block freed, so that a crowd's blocks would fragment the heap.
constexpr int mappedBlockBytes = 64 * 1024;
constexpr int trimThresholdBytes = 1024 * 1024;

} // namespace

ProcessLimits deriveLimits(const CallerLimitSettings &settings, std::size_t descriptors)
{
    const auto memory = (settings.memoryMb == 0 ? memoryDefaultMb : settings.memoryMb) * mebibyte;
    const auto available =
        std::max(processBytesMin, (memory - std::min(memory, baseBytes)) / accountedDivisor);
    const auto files =
        settings.maxFds == 0 ? descriptors : std::min<std::size_t>(settings.maxFds, descriptors);
    const auto usable = files - std::min(reservedDescriptorsMax, files / reserveDivisor);
    ProcessLimits limits;
    limits.memory = MemoryBounds{available, available / 2, std::min(connectionBytesMax, available)};
    limits.requestBytes = std::max(requestBytesMin, available / 2);
    limits.callersMax = usable;
    limits.httpConnectionsMax = std::min(serverConnectionsMax, usable / 2);
    limits.internalConnectionsMax = std::min(serverConnectionsMax, usable / 2);
    limits.session.preparedNames = settings.preparedNames;
    limits.session.variables = settings.variables;
    limits.session.pipelinedStatements = settings.pipelinedStatements;
    return limits;
}

std::size_t descriptorLimit()
{
    rlimit limit{};
    return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? static_cast<std::size_t>(limit.rlim_cur)
                                                 : std::size_t{1024};
}

void configureAllocator()
{
    mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    mallopt(M_TRIM_THRESHOLD, trimThresholdBytes);
}

void returnFreeMemory()
{
    malloc_trim(0);
}

} // namespace hyssoprock
