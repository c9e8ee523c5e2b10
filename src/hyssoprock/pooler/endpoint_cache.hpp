#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <hyssoprock/message/pooling.hpp>
#include <hyssoprock/storage/durable_value.hpp>
#include <hyssoprock/storage/file_system.hpp>

/// @file
/// @brief Durable cache of the endpoints and entry hosts that a control host knows.

namespace hyssoprock {

/// @brief Content of the cache.
struct CachedHosts
{
    std::vector<EndpointRecord> endpoints;
    std::uint32_t entryHosts = 0;      ///< Number of entry hosts; 0 if unknown.
    std::uint64_t documentVersion = 0; ///< Newest version known to be committed; 0 for none.
};

/// @brief Stores the endpoint list in the data folder.
///
/// Without it, after a simultaneous restart of all control hosts, entry hosts could not serve until
/// every endpoint has sent its next heartbeat. Outdated records do no harm, since an endpoint
/// refuses a connection whose startup names another endpoint.
class EndpointCache
{
public:
    /// @param folder Data folder of the process.
    /// @param files File system of the folder.
    EndpointCache(const std::string &folder, std::shared_ptr<FileSystem> files);

    /// @brief Reads the stored content.
    /// @return Empty if nothing valid is stored.
    [[nodiscard]] CachedHosts load() const;

    /// @brief Replaces the stored content and syncs it to disk.
    /// @return StorageFull or StorageFailure; the previous content then remains.
    [[nodiscard]] Result<void> store(const CachedHosts &hosts);

private:
    std::shared_ptr<FileSystem> files_;
    DurableValue value_;
};

} // namespace hyssoprock
