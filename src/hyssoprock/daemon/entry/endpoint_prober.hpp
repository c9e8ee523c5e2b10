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

/// @brief Requests the status of an endpoint periodically over a reserved connection.
class EndpointProber
{
public:
    /// @brief Callbacks to the owner.
    struct Handlers
    {
        /// An answer was received.
        std::function<void(const EndpointReport &report, Instant sent)> answered{};
        /// The endpoint has not answered for the evidence interval.
        std::function<void()> silent{};
    };

    /// @brief Starts probing.
    /// @param context I/O context.
    /// @param endpoint Name of the endpoint.
    /// @param target Address and startup parameters.
    /// @param settings Intervals; must outlive this object.
    /// @param handlers Called on the I/O thread.
    EndpointProber(boost::asio::io_context &context, std::string endpoint, PgTarget target,
                   const LeaseSettings &settings, Handlers handlers);

    /// @brief Sends a probe unless one is in progress.
    void probe();

    /// @brief Evidence for the next lease renewal.
    [[nodiscard]] FailureEvidence evidence() const;

    /// @brief Address of the endpoint.
    [[nodiscard]] const SocketAddress &address() const noexcept { return address_; }

private:
    void handleAnswer(const Result<PgAnswer> &answer, Instant sent);

    std::string endpoint_;
    SocketAddress address_;
    const LeaseSettings &settings_;
    Handlers handlers_;
    FailureEvidence evidence_{};
    Instant lastAnswerAt_;
    bool silenceReported_ = false;
    std::unique_ptr<StatusConnection> connection_;
    DeadlineTimer timer_;
};

} // namespace hyssoprock
