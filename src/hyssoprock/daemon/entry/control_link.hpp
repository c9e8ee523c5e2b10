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
/// @brief Connections of an entry host to the control group, and its lease renewals.

namespace hyssoprock {

/// @brief Finds the leader and renews the host lease with it. Used on one I/O thread.
class ControlLink
{
public:
    /// @brief What the owner is asked and told.
    struct Handlers
    {
        std::function<HostRenewRequest()> compose{};              ///< Body of the next renewal.
        std::function<void(const HostRenewResponse &)> renewed{}; ///< The leader has answered.
        std::function<void(const ViewPush &)> pushed{};           ///< A view has changed.
    };

    /// @brief Does nothing until start().
    /// @param context I/O context.
    /// @param settings Settings; outlive this object.
    /// @param metrics Metrics; outlive this object.
    /// @param seed Seed of jitter.
    ControlLink(boost::asio::io_context &context, const Settings &settings, Metrics &metrics,
                std::uint64_t seed);

    /// @brief Connects to all control hosts and begins to renew.
    /// @param handlers Called on the I/O thread.
    void start(Handlers handlers);

    /// @brief Renews earlier than planned, for example to confirm a view.
    /// @param delay Longest wait from now; several calls in that time lead to one renewal.
    void renewWithin(Duration delay);

    /// @brief Sends a last message and stops renewing.
    /// @param request The message.
    void sendLast(const HostRenewRequest &request);

    /// @brief Sequence number of the next renewal.
    [[nodiscard]] std::uint64_t nextSequence() const noexcept { return sequence_ + 1; }

private:
    struct Host
    {
        std::string name;
        std::unique_ptr<FrameClient> client;
    };

    void renew();
    void take(std::size_t host, const Frame &frame);
    void takeResponse(std::size_t host, const HostRenewResponse &response);
    void tryNextHost();

    boost::asio::io_context &context_;
    const Settings &settings_;
    Metrics &metrics_;
    RandomSource random_;
    Handlers handlers_{};
    std::vector<Host> hosts_{};
    std::size_t leader_ = 0; ///< Index of the host that renewals go to.
    std::uint64_t sequence_ = 0;
    Instant sentAt_{};
    bool answered_ = true;
    bool stopped_ = false;
    DeadlineTimer timer_;
    std::optional<Instant> next_{};
};

} // namespace hyssoprock
