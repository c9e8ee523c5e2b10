// Memory, disk usage and sent bytes of a control host against the number of changes of a large
// document, with entry hosts behind slow links. There is one control host, so that the memory of
// the process is that of the host; entry hosts are rate-limited readers in the same
// process.
//
// usage: benchmark_control_memory [changes] [entry hosts] [bit/s of each entry host]

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <hyssoprock/deployment/document_delta.hpp>
#include <hyssoprock/message/pooling.hpp>
#include <hyssoprock/pooler/control_node.hpp>
#include <hyssoprock/transport/frame.hpp>

#include "process_usage.hpp"

namespace {

using namespace hyssoprock;
using namespace hyssoprock::benchmarks;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

constexpr std::size_t routeCount = 1880;
constexpr auto readInterval = 20ms;
constexpr auto keepAliveInterval = 500ms;
constexpr int receiveBufferBytes = 16384;
constexpr double memoryBytesMax = 3e9; // Ends the run early, since the machine is shared.
constexpr double bytesPerMebibyte = 1024.0 * 1024.0;

/// A document in the operator's format; each version changes one route.
std::string makeDocument(std::uint64_t version)
{
    std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
    for (std::size_t route = 0; route < routeCount; ++route) {
        const auto name = "route-" + std::to_string(route * 7919 % 100003);
        const auto timeout =
            route == version % routeCount ? 2000 + version : 3000 + route % 7 * 250;
        text += (route == 0 ? "" : ",") + (R"({"name":")" + name) + R"(","database":"tenant_)"
                + std::to_string(route * 104729 % 1000003) + R"(","pathPrefix":"/)" + name
                + R"(","service":"service-)" + std::to_string(route % 8)
                + R"(","read":"bounded","staleMs":)" + std::to_string(500 + route % 5 * 100)
                + R"(,"timeoutMs":)" + std::to_string(timeout)
                + R"(,"latencyMs":250,"priority":1,"attempts":2})";
    }
    return text + "]}";
}

/// Builds the typed document from the version alone, which leaves out the cost of a parser.
Result<DeploymentDocument> parseDocument(std::string_view bytes)
{
    DeploymentDocument document;
    constexpr std::string_view prefix = R"({"version":)";
    document.version = std::strtoull(bytes.data() + prefix.size(), nullptr, 10);
    for (std::size_t service = 0; service < 8; ++service) {
        document.services.push_back(Service{"service-" + std::to_string(service), 60, 0});
    }
    for (std::size_t number = 0; number < routeCount; ++number) {
        Route route;
        route.name = "route-" + std::to_string(number * 7919 % 100003);
        route.database = "tenant_" + std::to_string(number * 104729 % 1000003);
        route.pathPrefix = "/" + route.name;
        route.service = "service-" + std::to_string(number % 8);
        route.statementTimeout = std::chrono::milliseconds{number == document.version % routeCount
                                                               ? 2000 + document.version
                                                               : 3000 + number % 7 * 250};
        document.routes.push_back(route);
    }
    return document;
}

/// An entry host that receives bytes at a limited rate.
class RateLimitedReader
{
public:
    RateLimitedReader(boost::asio::io_context &context, const SocketAddress &address,
                      std::size_t number, double bytesPerSecond)
        : socket_{context}
        , timer_{context}
        , name_{"entry-" + std::to_string(number)}
        , bytesPerRead_{static_cast<std::size_t>(bytesPerSecond * 0.02) + 1}
    {
        const tcp::endpoint endpoint{boost::asio::ip::make_address(address.ip), address.port};
        socket_.open(endpoint.protocol());
        socket_.set_option(boost::asio::socket_base::receive_buffer_size{receiveBufferBytes});
        socket_.connect(endpoint);
        socket_.non_blocking(true);
        send(frameOf(SubscribeRequest{name_, "dc", 0, false}));
        scheduleRead();
    }

    [[nodiscard]] std::uint64_t bytes() const noexcept { return bytes_; }
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
    [[nodiscard]] bool isClosed() const noexcept { return closed_; }

private:
    void send(const std::string &frame)
    {
        boost::system::error_code error;
        boost::asio::write(socket_, boost::asio::buffer(frame), error);
    }

    void scheduleRead()
    {
        timer_.expires_after(readInterval);
        timer_.async_wait([this](const boost::system::error_code &error) {
            if (!error && !closed_) {
                read();
                scheduleRead();
            }
        });
    }

    void read()
    {
        std::string buffer(bytesPerRead_, '\0');
        boost::system::error_code error;
        const auto count = socket_.read_some(boost::asio::buffer(buffer), error);
        closed_ = error && error != boost::asio::error::would_block;
        bytes_ += count;
        reader_.append(std::string_view{buffer}.substr(0, count));
        while (!closed_) {
            const auto frame = reader_.next();
            if (frame.has_error() || !frame.value()) {
                break;
            }
            handle(*frame.value());
        }
        if (const auto now = std::chrono::steady_clock::now(); now - sentAt_ >= keepAliveInterval) {
            sentAt_ = now;
            send(frameOf(KeepAlive{++lastSequence_}));
        }
    }

    void handle(const Frame &frame)
    {
        if (holds<DeploymentUpdate>(frame)) {
            announcedVersion_ = std::max(
                announcedVersion_, decodeMessage<DeploymentUpdate>(frame).value().documentVersion);
        } else if (holds<DocumentAnswer>(frame)) {
            const auto delta =
                decompressDelta(decodeMessage<DocumentAnswer>(frame).value()).value();
            version_ = delta.version;
            digest_ = delta.digest;
            requestPending_ = false;
        }
        if (announcedVersion_ > version_ && !requestPending_) {
            requestPending_ = true;
            send(frameOf(DocumentRequest{version_, digest_}));
        }
    }

    tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::string name_;
    std::size_t bytesPerRead_;
    FrameReader reader_{};
    std::uint64_t bytes_ = 0;
    std::uint64_t announcedVersion_ = 0;
    std::uint64_t version_ = 0;
    std::uint64_t digest_ = 0;
    bool requestPending_ = false;
    std::uint64_t lastSequence_ = 0;
    std::chrono::steady_clock::time_point sentAt_{};
    bool closed_ = false;
};

double diskBytes(const std::filesystem::path &folder)
{
    double total = 0;
    for (const auto &entry : std::filesystem::recursive_directory_iterator{folder}) {
        total += entry.is_regular_file() ? static_cast<double>(entry.file_size()) : 0.0;
    }
    return total;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    const auto argument = [&](int index, std::uint64_t fallback) {
        return argumentCount > index ? std::strtoull(arguments[index], nullptr, 10) : fallback;
    };
    const auto changes = argument(1, 40);
    const auto entryHosts = argument(2, 89);
    // The link of an entry host carries the traffic of six control hosts.
    const auto bitsPerSecond = static_cast<double>(argument(3, 2'000'000 / 6));
    const auto folder = std::filesystem::temp_directory_path()
                        / ("hyssoprock-memory-" + std::to_string(::getpid()));
    boost::asio::io_context context;
    ControlNodeSettings settings;
    settings.name = "127.0.0.1";
    settings.hostName = "control";
    settings.internal = {"127.0.0.1", 0};
    settings.seeds = {"127.0.0.1"};
    settings.bootstrap = true;
    settings.failuresTolerated = 0;
    settings.dataFolder = folder.string();
    {
        PooledControlNode node{context, settings, parseDocument, 1};
        const auto address = node.start();
        while (!node.isLeader()) {
            context.run_for(10ms);
        }
        std::vector<std::unique_ptr<RateLimitedReader>> readers;
        for (std::size_t i = 0; i < entryHosts; ++i) {
            readers.push_back(std::make_unique<RateLimitedReader>(context, address.value(), i,
                                                                  bitsPerSecond / 8));
        }
        context.run_for(500ms);
        const auto start = residentBytes();
        std::printf("document %zu bytes, %zu entry hosts, %.0f bit/s each\n",
                    makeDocument(1).size(), static_cast<std::size_t>(entryHosts), bitsPerSecond);
        std::printf("%8s %12s %10s %12s %8s %10s\n", "changes", "memory MiB", "disk MiB",
                    "read MiB", "closed", "versions");
        for (std::uint64_t version = 1; version <= changes; ++version) {
            std::optional<bool> stored;
            node.putDocument(version, makeDocument(version),
                             [&](const Result<void> &result) { stored = result.has_value(); });
            while (!stored) {
                context.run_for(10ms);
            }
            context.run_for(150ms);
            const auto memory = residentBytes() - start;
            const auto last = version == changes || memory > memoryBytesMax || !*stored;
            if (last || version == 1 || version % 10 == 0) {
                std::uint64_t bytes = 0;
                std::size_t closed = 0;
                std::uint64_t newest = 0;
                std::uint64_t oldest = version;
                for (const auto &reader : readers) {
                    bytes += reader->bytes();
                    closed += reader->isClosed() ? 1 : 0;
                    newest = std::max(newest, reader->version());
                    oldest = std::min(oldest, reader->version());
                }
                std::printf("%8llu %12.1f %10.1f %12.1f %8zu %6llu-%llu\n",
                            static_cast<unsigned long long>(version), memory / bytesPerMebibyte,
                            diskBytes(folder) / bytesPerMebibyte,
                            static_cast<double>(bytes) / bytesPerMebibyte, closed,
                            static_cast<unsigned long long>(oldest),
                            static_cast<unsigned long long>(newest));
                std::fflush(stdout);
            }
            if (last) {
                break;
            }
        }
    }
    std::filesystem::remove_all(folder);
    return 0;
}
