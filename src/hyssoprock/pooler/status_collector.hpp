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
/// @brief State of all endpoints, for operators.

namespace hyssoprock {

/// @brief Queries endpoints for their term, position and load. Used on one I/O thread.
class StatusCollector
{
public:
    using Done = std::function<void(const std::vector<PooledEndpointStatus> &endpoints)>;

    /// @brief Queries nothing yet.
    /// @param registry Endpoints; outlives this object.
    /// @param client Sends the queries; outlives this object.
    StatusCollector(const EndpointRegistry &registry, EndpointStatusClient &client);

    /// @brief Describes all endpoints that have not expired, sorted by service and identifier.
    /// @param done Called when each has answered, or has not in time. Answers of the last second
    /// are used again, since a connection for a query occupies a slot of the endpoint.
    void collect(Done done);

    /// @brief Describes them by what is known already, without a query.
    [[nodiscard]] std::vector<PooledEndpointStatus> describe() const;

private:
    struct Row
    {
        Instant at{};
        bool answered = false;
        EndpointStatusRow row{};
    };

    void answered(const std::string &endpoint, const Result<EndpointStatusRow> &result);
    void finish();

    const EndpointRegistry &registry_;
    EndpointStatusClient &client_;
    std::map<std::string, Row> rows_{}; ///< By identifier.
    std::vector<Done> waiting_{};
    std::size_t unanswered_ = 0;
};

} // namespace hyssoprock
