#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/daemon/deadline_timer.hpp>
#include <hyssoprock/freshness/primary_sampler.hpp>
#include <hyssoprock/pooler/codecs.hpp>
#include <hyssoprock/pooler/connection_owner.hpp>
#include <hyssoprock/pooler/endpoint_connection.hpp>

/// @file
/// @brief Requests positions from primaries.

namespace hyssoprock {

/// @brief Keeps one connection per service and requests positions on it with a plain transaction
/// that is rolled back. Only a primary accepts one, and it occupies no slot of the endpoint.
class PrimaryPositionClient final : public ConnectionOwner
{
public:
    /// @brief Called once for each request.
    /// @param position Empty if the endpoint did not answer in time or is not the primary.
    /// @param sentAt When the request was sent; only set with a position.
    using PositionCallback = std::function<void(
        const SampleTarget &target, std::optional<LogPosition> position, Instant sentAt)>;

    /// @param codecs Must outlive this object.
    /// @param user User name for the startup message.
    /// @param callback Receives the result of each request; may be called from within request().
    PrimaryPositionClient(boost::asio::io_context &context, const CodecFactory &codecs,
                          std::string user, PositionCallback callback);
    PrimaryPositionClient(const PrimaryPositionClient &) = delete;
    PrimaryPositionClient &operator=(const PrimaryPositionClient &) = delete;
    ~PrimaryPositionClient() override;

    /// @brief Requests the position of an endpoint. At most one request per service is pending.
    void request(const SampleTarget &target);
    /// @brief Closes the connection of a service that is no longer sampled.
    void close(const std::string &service);

    void post(PoolerEvent event) override;
    void callerClosed(CallerId caller) override;
    [[nodiscard]] std::span<char> readBuffer() noexcept override { return buffer_; }

private:
    enum class Phase : std::uint8_t { Opening, Idle, Beginning, RollingBack };

    struct Connection
    {
        SampleTarget target;
        ConnectionId id = 0;
        std::shared_ptr<EndpointConnection> connection{};
        Phase phase = Phase::Opening;
        bool requested = false; ///< A request is pending.
        Instant sentAt{};       ///< When its BEGIN was sent.
        std::unique_ptr<DeadlineTimer> timeout{};
    };

    void open(const SampleTarget &target);
    void begin(Connection &connection);
    void handleAnswer(const std::string &service, const StatementAnswer &answer);
    void fail(const std::string &service);

    boost::asio::io_context &context_;
    const CodecFactory &codecs_;
    std::string user_;
    PositionCallback callback_;
    std::map<std::string, Connection> connections_{}; ///< By service.
    std::map<ConnectionId, std::string> services_{};  ///< By connection.
    ConnectionId nextConnection_ = 1;
    std::array<char, std::size_t{16} * 1024> buffer_{};
};

} // namespace hyssoprock
