#pragma once

#include <string>
#include <vector>

#include <hyssoprock/message/pooling.hpp>
#include <hyssoprock/storage/durable_value.hpp>
#include <hyssoprock/storage/posix_file_system.hpp>

/// @file
/// @brief Endpoints that a control host knew before it was started again.

namespace hyssoprock {

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
    explicit EndpointCache(const std::string &folder);

    /// @brief Reads the list.
    /// @return The endpoints; empty if there is no readable list.
    [[nodiscard]] std::vector<EndpointRecord> load() const;

    /// @brief Replaces the list and syncs it.
    /// @param endpoints All known endpoints.
    /// @return StorageFull or StorageFailure; the former list then remains.
    [[nodiscard]] Result<void> store(const std::vector<EndpointRecord> &endpoints);

private:
    PosixFileSystem files_{};
    DurableValue value_;
};

} // namespace hyssoprock
