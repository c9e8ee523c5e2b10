#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/daemon/deadline_timer.hpp>
#include <hyssoprock/daemon/shared/metrics.hpp>
#include <hyssoprock/message/control.hpp>
#include <hyssoprock/settings/settings.hpp>
#include <hyssoprock/transport/frame_client.hpp>

/// @file
/// @brief Connections of an entry host to the control group and lease renewal.

namespace hyssoprock {

/// @brief Finds the leader and renews the host lease. Must be used on one I/O thread.
class ControlLink
{
public:
    /// @brief Callbacks to the owner.
    struct Handlers
    {
        std::function<HostRenewRequest()> composeRenewal{}; ///< Creates the next renewal request.
        std::function<void(const HostRenewResponse &)> renewed{}; ///< The leader responded.
        std::function<void(const ViewPush &)> pushed{};           ///< A view changed.
    };

    /// @brief Creates an inactive link; see start().
    /// @param context I/O context.
    /// @param settings Settings; must outlive this object.
    /// @param metrics Metrics; must outlive this object.
    /// @param seed Random seed for jitter.
    ControlLink(boost::asio::io_context &context, const Settings &settings, Metrics &metrics,
                std::uint64_t seed);

    /// @brief Connects to all control hosts and starts renewing the lease.
    /// @param handlers Called on the I/O thread.
    void start(Handlers handlers);

    /// @brief Schedules an earlier renewal, for example to confirm a view.
    /// @param delay Maximum delay; calls within the delay are combined into one renewal.
    void renewWithin(Duration delay);

    /// @brief Sends a final renewal request and stops renewing.
    void sendFinalRenewal(const HostRenewRequest &request);

    /// @brief Sequence number of the next renewal.
    [[nodiscard]] std::uint64_t nextSequence() const noexcept { return lastSequence_ + 1; }

private:
    struct Host
    {
        std::string name;
        std::unique_ptr<FrameClient> client;
    };

    void renew();
    void handleFrame(std::size_t host, const Frame &frame);
    void handleRenewResponse(std::size_t host, const HostRenewResponse &response);
    void tryNextHost();

    boost::asio::io_context &context_;
    const Settings &settings_;
    Metrics &metrics_;
    RandomSource random_;
    Handlers handlers_{};
    std::vector<Host> hosts_{};
    std::size_t currentHost_ = 0; ///< Index of the host that receives renewals.
    std::uint64_t lastSequence_ = 0;
    Instant sentAt_{};
    bool responded_ = true;
    bool stopped_ = false;
    DeadlineTimer timer_;
    std::optional<Instant> nextRenewalAt_{};
};

} // namespace hyssoprock
