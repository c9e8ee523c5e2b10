#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/daemon/deadline_timer.hpp>
#include <hyssoprock/daemon/shared/status_connection.hpp>
#include <hyssoprock/message/control.hpp>
#include <hyssoprock/routing/endpoint_report.hpp>
#include <hyssoprock/settings/settings.hpp>

/// @file
/// @brief Probes one endpoint on behalf of the control group.

namespace hyssoprock {

/// @brief Asks an endpoint for its status at intervals, over a reserved connection.
class EndpointProber
{
public:
    /// @brief What the owner is told.
    struct Handlers
    {
        /// An answer has come.
        std::function<void(const EndpointReport &report, Instant sent)> answered{};
        /// The endpoint has been silent for the evidence interval.
        std::function<void()> silent{};
    };

    /// @brief Begins to probe.
    /// @param context I/O context.
    /// @param endpoint Name of the endpoint.
    /// @param target Where to connect.
    /// @param settings Intervals; outlive this object.
    /// @param handlers Called on the I/O thread.
    EndpointProber(boost::asio::io_context &context, std::string endpoint, PgTarget target,
                   const LeaseSettings &settings, Handlers handlers);

    /// @brief Probes now unless a probe is under way.
    void probe();

    /// @brief What has been seen, for the next lease renewal.
    [[nodiscard]] FailureEvidence evidence() const;

    /// @brief Address that is probed.
    [[nodiscard]] const SocketAddress &address() const noexcept { return address_; }

private:
    void take(const Result<PgAnswer> &answer, Instant sent);

    std::string endpoint_;
    SocketAddress address_;
    const LeaseSettings &settings_;
    Handlers handlers_;
    FailureEvidence evidence_{};
    Instant lastAnswer_;
    bool silenceReported_ = false;
    std::unique_ptr<StatusConnection> connection_;
    DeadlineTimer timer_;
};

} // namespace hyssoprock
