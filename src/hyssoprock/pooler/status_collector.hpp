#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <hyssoprock/pooler/endpoint_status_client.hpp>
#include <hyssoprock/registry/endpoint_registry.hpp>

/// @file
/// @brief Collects the status of all endpoints for operators.

namespace hyssoprock {

/// @brief Queries endpoints for term, position and load. Used on one I/O thread.
class StatusCollector
{
public:
    using StatusCallback = std::function<void(const std::vector<PooledEndpointStatus> &endpoints)>;

    /// @param registry Must outlive this object.
    /// @param client Must outlive this object.
    StatusCollector(const EndpointRegistry &registry, EndpointStatusClient &client);

    /// @brief Collects the status of all endpoints that have not expired, sorted by service and
    /// identifier.
    /// @param callback Called when every endpoint has answered or timed out. Answers of the last
    /// second are reused, since each query occupies a connection slot of the endpoint.
    void collect(StatusCallback callback);

    /// @brief Returns the status from heartbeats and earlier answers, without a query.
    [[nodiscard]] std::vector<PooledEndpointStatus> cachedStatus() const;

private:
    struct CachedRow
    {
        Instant receivedAt{};
        bool answered = false;
        EndpointStatusRow row{};
    };

    void answered(const std::string &endpoint, const Result<EndpointStatusRow> &result);
    void finishCollection();

    const EndpointRegistry &registry_;
    EndpointStatusClient &client_;
    std::map<std::string, CachedRow> rows_{}; ///< By identifier.
    std::vector<StatusCallback> pendingCallbacks_{};
    std::size_t pendingQueries_ = 0;
};

} // namespace hyssoprock
