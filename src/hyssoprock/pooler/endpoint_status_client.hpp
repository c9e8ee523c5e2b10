#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/pooler/codecs.hpp>
#include <hyssoprock/promotion/endpoint_status_row.hpp>

/// @file
/// @brief Client for status queries and promotion operations on endpoints.

namespace hyssoprock {

/// @brief Parses the row with which an endpoint answers a status command.
using StatusRowParser = std::function<Result<EndpointStatusRow>(std::string_view row)>;

/// @brief Opens one connection per query, since queries are rare.
class EndpointStatusClient
{
public:
    /// @brief Called once with the row; Unreachable if the endpoint did not answer in time or
    /// closed the connection; Refused if it answered with an error; ProtocolViolation if the answer
    /// cannot be parsed. `mayTakeEffect` is set if the operation may have been executed or may
    /// still be.
    using QueryCallback = std::function<void(Result<EndpointStatusRow>, bool mayTakeEffect)>;

    /// @param codecs Must outlive this object and its queries.
    /// @param user User name for the startup message.
    EndpointStatusClient(boost::asio::io_context &context, const CodecFactory &codecs,
                         StatusRowParser parseRow, std::string user);
    EndpointStatusClient(const EndpointStatusClient &) = delete;
    EndpointStatusClient &operator=(const EndpointStatusClient &) = delete;
    ~EndpointStatusClient();

    /// @brief Sends an operation to one endpoint.
    /// @param endpoint Endpoint identifier.
    /// @param address IP address and port.
    /// @param term Term for pause and step-down operations.
    /// @param timeout Time after which the query fails with Unreachable.
    /// @param callback Not called from within query() or after destruction of this object.
    void query(const std::string &service, const std::string &endpoint, const std::string &address,
               EndpointOperation operation, std::uint64_t term, Duration timeout,
               QueryCallback callback);

private:
    boost::asio::io_context &context_;
    const CodecFactory &codecs_;
    StatusRowParser parseRow_;
    std::string user_;
    std::shared_ptr<bool> alive_;
};

} // namespace hyssoprock
