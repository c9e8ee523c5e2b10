#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <hyssoprock/message/pooling.hpp>
#include <hyssoprock/storage/durable_value.hpp>
#include <hyssoprock/storage/file_system.hpp>

/// @file
/// @brief What a control host knew of endpoints and entry hosts before it was started again.

namespace hyssoprock {

/// @brief What the cache holds.
struct CachedHosts
{
    std::vector<EndpointRecord> endpoints; ///< Known endpoints.
    std::uint32_t entryHosts = 0;          ///< Number of entry hosts; 0 if not known.
    std::uint64_t documentVersion = 0;     ///< Newest version that was known to be committed.
};

/// @brief Keeps the endpoint list in the data folder.
///
/// When all control hosts restart at once, no entry host could serve before every endpoint has sent
/// its next heartbeat. A record that is out of date does no harm: an endpoint refuses a connection
/// that names another one.
class EndpointCache
{
public:
    /// @brief Touches nothing yet.
    /// @param folder Data folder of the process.
    /// @param files Where the folder is.
    EndpointCache(const std::string &folder, std::shared_ptr<FileSystem> files);

    /// @brief Reads the list.
    /// @return What was stored; empty if there is no readable list.
    [[nodiscard]] CachedHosts load() const;

    /// @brief Replaces the list and syncs it.
    /// @param hosts What is known now.
    /// @return StorageFull or StorageFailure; the former list then remains.
    [[nodiscard]] Result<void> store(const CachedHosts &hosts);

private:
    std::shared_ptr<FileSystem> files_;
    DurableValue value_;
};

} // namespace hyssoprock
