#include <hyssoprock/daemon/process.hpp>

#include <chrono>
#include <cstdio>
#include <memory>
#include <random>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <hyssoprock/daemon/control/control_node.hpp>
#include <hyssoprock/daemon/entry/entry_node.hpp>
#include <hyssoprock/daemon/log.hpp>
#include <hyssoprock/daemon/shared/metrics.hpp>
#include <hyssoprock/settings/address.hpp>
#include <hyssoprock/settings/loader.hpp>

namespace hyssoprock {

namespace {

constexpr int exitFailure = 1;

void printListening(const char *what, const SocketAddress &address)
{
    std::printf("listening %s %s\n", what, toString(address).c_str());
    std::fflush(stdout);
}

/// Wall-clock time is used only to order the incarnations of a host.
std::uint64_t wallClockIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

/// Starts and stops the roles of the process.
class Process
{
public:
    explicit Process(const Settings &settings)
        : settings_{settings}
        , signals_{context_, SIGINT, SIGTERM}
        , random_{std::random_device{}()}
    {}

    int run()
    {
        if (const auto started = start(); started.has_error()) {
            writeLog(LogLevel::Error, LogComponent::Main,
                     "cannot start: " + std::string{toString(started.error().kind)} + " "
                         + started.error().detail);
            return exitFailure;
        }
        signals_.async_wait([this](const boost::system::error_code &error, int /*signal*/) {
            if (!error) {
                stop();
            }
        });
        context_.run();
        writeLog(LogLevel::Info, LogComponent::Main, "stopped");
        return 0;
    }

private:
    Result<void> start()
    {
        if (!settings_.listen.metrics.empty()) {
            const auto address = metrics_.serve(parseAddress(settings_.listen.metrics).value());
            if (address.has_error()) {
                return address.as_failure();
            }
            printListening("metrics", address.value());
        }
        if (hasRole(settings_, "control")) {
            control_ = std::make_unique<ControlNode>(context_, settings_, metrics_, random_.next());
            const auto address = control_->start();
            if (address.has_error()) {
                return address.as_failure();
            }
            printListening("control", address.value());
        }
        if (hasRole(settings_, "entry")) {
            entry_ = std::make_unique<EntryNode>(context_, settings_, metrics_, random_.next(),
                                                 wallClockIncarnation());
            const auto addresses = entry_->start();
            if (addresses.has_error()) {
                return addresses.as_failure();
            }
            printListening("peers", addresses.value().peers);
            printListening("callers", addresses.value().callers);
        }
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    void stop()
    {
        writeLog(LogLevel::Info, LogComponent::Main, "stopping");
        const auto stopControl = [this]() {
            if (control_) {
                control_->stop([this]() { context_.stop(); });
            } else {
                context_.stop();
            }
        };
        if (entry_) {
            entry_->stop(stopControl);
        } else {
            stopControl();
        }
    }

    const Settings &settings_;
    boost::asio::io_context context_{1};
    boost::asio::signal_set signals_;
    RandomSource random_;
    Metrics metrics_{};
    std::unique_ptr<ControlNode> control_{};
    std::unique_ptr<EntryNode> entry_{};
};

} // namespace

int runProcess(const Settings &settings)
{
    configureLog(settings.log);
    return Process{settings}.run();
}

} // namespace hyssoprock
