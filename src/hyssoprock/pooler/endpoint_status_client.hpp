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
/// @brief Asks endpoints for their status, and sends them the orders of promotions.

namespace hyssoprock {

/// @brief Reads the row with which an endpoint answers a status command.
using StatusRowParser = std::function<Result<EndpointStatusRow>(std::string_view row)>;

/// @brief Opens a connection for each query, because queries are rare.
class EndpointStatusClient
{
public:
    /// @brief Called once: the row; Unreachable if the endpoint did not answer in time, or closed
    /// the connection; Refused if it answered with an error; ProtocolViolation if not understood.
    /// The flag says whether the order may have been carried out, or may yet be.
    using Done = std::function<void(Result<EndpointStatusRow>, bool mayRun)>;

    /// @brief Connects to nothing yet.
    /// @param context I/O context.
    /// @param codecs Wire formats; outlives this object and its queries.
    /// @param parseRow Reads a row.
    /// @param user Name for the startup.
    EndpointStatusClient(boost::asio::io_context &context, const CodecFactory &codecs,
                         StatusRowParser parseRow, std::string user);
    EndpointStatusClient(const EndpointStatusClient &) = delete;
    EndpointStatusClient &operator=(const EndpointStatusClient &) = delete;
    ~EndpointStatusClient();

    /// @brief Asks one endpoint.
    /// @param service Service.
    /// @param endpoint Identifier.
    /// @param address IP number and port.
    /// @param order What it is to do.
    /// @param term Term of a pause or a step down.
    /// @param timeout Time after which the query ends with Unreachable.
    /// @param done Not called from within query(), nor after destruction of this object.
    void query(const std::string &service, const std::string &endpoint, const std::string &address,
               EndpointOperation order, std::uint64_t term, Duration timeout, Done done);

private:
    boost::asio::io_context &context_;
    const CodecFactory &codecs_;
    StatusRowParser parseRow_;
    std::string user_;
    std::shared_ptr<bool> alive_;
};

} // namespace hyssoprock
