#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/daemon/entry/endpoint_pool.hpp>
#include <hyssoprock/daemon/shared/metrics.hpp>
#include <hyssoprock/request/endpoint_dialect.hpp>
#include <hyssoprock/request/host_tables.hpp>
#include <hyssoprock/session/token_codec.hpp>
#include <hyssoprock/settings/settings.hpp>
#include <hyssoprock/statement/caller_dialect.hpp>

/// @file
/// @brief Interface of the entry host for caller connections.

namespace hyssoprock {

class CallerConnection;

/// @brief Shared services of the entry host and notifications to it.
class CallerHost
{
public:
    CallerHost() = default;
    CallerHost(const CallerHost &) = delete;
    CallerHost &operator=(const CallerHost &) = delete;
    virtual ~CallerHost() = default;

    /// @brief I/O context of the process.
    [[nodiscard]] virtual boost::asio::io_context &context() = 0;
    /// @brief Settings of the process.
    [[nodiscard]] virtual const Settings &settings() const = 0;
    /// @brief Shared tables.
    [[nodiscard]] virtual HostTables &tables() = 0;
    /// @brief Codec of session tokens.
    [[nodiscard]] virtual const TokenCodec &tokens() const = 0;
    /// @brief Dialect of the callers.
    [[nodiscard]] virtual const CallerDialect &callerDialect() const = 0;
    /// @brief Dialect of the endpoints.
    [[nodiscard]] virtual const EndpointDialect &endpointDialect() const = 0;
    [[nodiscard]] virtual Metrics &metrics() = 0;
    /// @brief Source of random seeds.
    [[nodiscard]] virtual RandomSource &random() = 0;
    /// @brief Connection pool of an endpoint.
    /// @return Null if no view contains the endpoint.
    [[nodiscard]] virtual std::shared_ptr<EndpointPool> pool(const std::string &endpoint) = 0;
    /// @brief Consumes one retry of the retry budget.
    /// @return Whether the request may be retried.
    [[nodiscard]] virtual bool tryRetry() = 0;
    /// @brief Records an answer or a failure of an endpoint.
    virtual void recordEndpointResult(const std::string &endpoint, bool success) = 0;
    /// @brief Notifies the host of a possible change of the shared tables, which may complete waits
    /// or quiesce a group in handover.
    virtual void tablesChanged() = 0;
    /// @brief Cancels the running statement of another caller connection.
    virtual void cancel(std::uint32_t processId, std::uint32_t secretKey) = 0;
    /// @brief Notifies the host that a caller connection was closed.
    virtual void callerClosed(std::uint64_t session) = 0;
    /// @brief Whether this host is shutting down.
    [[nodiscard]] virtual bool isLeaving() const = 0;
};

} // namespace hyssoprock
