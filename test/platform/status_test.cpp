#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <hyssoprock/core/error_kind.hpp>
#include <hyssoprock/message/control.hpp>
#include <hyssoprock/pooler/control_process.hpp>
#include <hyssoprock/pooler/entry_node.hpp>
#include <hyssoprock/pooler/status_client.hpp>
#include <hyssoprock/pooler/status_text.hpp>
#include <hyssoprock/transport/frame_connection.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>
#include <platform/codec_factory.hpp>
#include <platform/status_row.hpp>
#include <support/loopback_addresses.hpp>
#include <support/memory_file_system.hpp>

using namespace hyssoprock;
using namespace hyssoprock::platform;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string document =
    R"({"version":7,"routes":[{"name":"r-1","host":"fiti832","pathPrefix":"/",)"
    R"("kind":"read_own_writes","timeoutMs":1000,"targetLatencyMs":800,"priority":2,)"
    R"("service":"orders","maxAttempts":2,"maxStalenessMs":2500}],)"
    R"("services":[{"name":"orders","healthPath":"/health","maxConns":34,"protocol":"h1",)"
    R"("tls":false,"syncReplicas":0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000,"txIdleMs":3000}})";

class RefusingCaller final : public PromotionClient
{
public:
    void call(const std::string & /*service*/, const std::string & /*endpoint*/,
              std::uint64_t /*token*/, std::function<void(PromotionOutcome)> /*done*/) override
    {}
};

/// Endpoint that answers its startup and status queries, and counts the latter.
class FakeEndpoint
{
public:
    explicit FakeEndpoint(boost::asio::io_context &context)
        : listener_{context}
    {
        address = listener_
                      .open({"127.0.0.1", 0},
                            [this](boost::asio::ip::tcp::socket socket) {
                                auto shared = std::make_shared<Connection>(std::move(socket));
                                read(shared);
                            })
                      .value();
    }

    SocketAddress address;
    int queries = 0;

private:
    struct Connection
    {
        explicit Connection(boost::asio::ip::tcp::socket accepted)
            : socket{std::move(accepted)}
        {}
        boost::asio::ip::tcp::socket socket;
        std::string input;
        std::string output;
    };

    void read(const std::shared_ptr<Connection> &connection)
    {
        boost::asio::async_read_until(
            connection->socket, boost::asio::dynamic_buffer(connection->input), "\r\n",
            [this, connection](const boost::system::error_code &error, std::size_t bytes) {
                if (error) {
                    return;
                }
                const auto line = connection->input.substr(0, bytes);
                connection->input.erase(0, bytes);
                if (line.starts_with("QUERY - STATUS")) {
                    ++queries;
                    connection->output = "DATAROW replica 3 3.1209 0 12 2 17\r\nCOMPLETE -\r\n"
                                         "READY I 3.1209\r\n";
                } else {
                    connection->output = "READY I -\r\n";
                }
                boost::asio::async_write(
                    connection->socket, boost::asio::buffer(connection->output),
                    [this, connection](const boost::system::error_code &failed, std::size_t) {
                        if (!failed) {
                            read(connection);
                        }
                    });
            });
    }

    TcpListener listener_;
};

/// IP address of the host with the given number.
std::string ipOf(int host)
{
    return test::loopbackAddress(host);
}

/// Three control hosts, an entry host and an endpoint on loopback, on a separate thread. Files are
/// in memory, because a sync on a busy disk can take longer than an election timeout and blocks the
/// thread of all hosts.
class Deployment
{
public:
    Deployment()
    {
        for (const auto &ip : {ipOf(1), ipOf(2), ipOf(3)}) {
            ControlNodeSettings settings;
            settings.name = ip;
            settings.hostName = "host " + ip;
            settings.internal = {ip, port_};
            settings.seeds = {ipOf(1), ipOf(2), ipOf(3)};
            settings.bootstrap = true;
            settings.dataFolder = "data";
            controls.push_back(std::make_unique<ControlProcess>(
                context, settings, ControlTiming{milliseconds{500}, seconds{2}}, codecs_,
                parseStatusRow, caller_, controls.size() + 1,
                std::make_shared<test::MemoryFileSystem>()));
            const auto address = controls.back()->start();
            cr_assert(address.has_value());
            port_ = address.value().port;
        }
        PooledSettings settings;
        settings.host.name = "entry-1";
        settings.host.dataCentre = "zone-a";
        settings.host.role = "entry";
        settings.listen.callers = "127.0.0.1:0";
        settings.listen.internal = toString(SocketAddress{ipOf(9), port_});
        settings.seeds.controlHosts = {ipOf(1) + ":1", ipOf(2) + ":1", ipOf(3) + ":1"};
        entry_ = std::make_unique<PooledEntryNode>(context, settings, codecs_, 9);
        cr_assert(entry_->start().has_value());
        thread_ = std::thread{[this]() { context.run(); }};
    }
    ~Deployment()
    {
        context.stop();
        thread_.join();
        entry_.reset();
        controls.clear();
    }

    void beat(const SocketAddress &address, std::uint64_t sequence)
    {
        EndpointRecord record;
        record.service = "orders";
        record.id = "i-1";
        record.address = toString(address);
        record.dataCentre = "zone-b";
        record.bornMs = 1700;
        record.sequence = sequence;
        record.slots = 3;
        boost::asio::post(context, [this, record]() {
            controls.front()->heartbeat(record, [](const Result<void> & /*done*/) {});
        });
    }

    void put()
    {
        boost::asio::post(context, [this]() {
            controls.back()->putDocument(document, [](const Result<void> & /*done*/) {});
        });
    }

    [[nodiscard]] std::vector<SocketAddress> addresses() const
    {
        return {{ipOf(1), port_}, {ipOf(2), port_}, {ipOf(3), port_}};
    }

    boost::asio::io_context context;
    FakeEndpoint endpoint{context};
    std::vector<std::unique_ptr<ControlProcess>> controls;

private:
    std::uint16_t port_ = 0; ///< Chosen by the first control host and used by all.
    PlatformCodecFactory codecs_;
    RefusingCaller caller_;
    std::unique_ptr<PooledEntryNode> entry_;
    std::thread thread_;
};

std::optional<PooledStatusResponse>
await(const std::vector<SocketAddress> &hosts,
      const std::function<bool(const PooledStatusResponse &)> &condition)
{
    const auto end = std::chrono::steady_clock::now() + seconds{15};
    while (std::chrono::steady_clock::now() < end) {
        const auto status = requestPooledStatus(hosts, "operator", seconds{1});
        if (status.has_value() && condition(status.value())) {
            return status.value();
        }
        std::this_thread::sleep_for(milliseconds{50});
    }
    return std::nullopt;
}

} // namespace

// Guards against a status without the data of the leader, the endpoints or the entry hosts, and
// against a client that works only with the leader's address.
Test(pooledStatus, anyControlHostReturnsCompleteStatus)
{
    Deployment deployment;
    const auto hosts = deployment.addresses();
    cr_assert(await(hosts, [](const auto &status) { return !status.leader.empty(); }));
    deployment.put();
    deployment.beat(deployment.endpoint.address, 1);
    const auto status = await(hosts, [](const auto &known) {
        return known.documentVersion == 7 && known.entryHosts.size() == 1
               && known.entryHosts[0].reported && known.entryHosts[0].report.documentVersion == 7
               && known.endpoints.size() == 1 && known.endpoints[0].answered;
    });
    cr_assert(status.has_value());
    cr_assert(status->answeredBy == status->leader && status->term > 0);
    cr_assert(status->controlHosts.size() == 3);
    cr_assert(std::all_of(status->controlHosts.begin(), status->controlHosts.end(),
                          [](const auto &host) { return host.voter && host.silentMs < 2000; }));
    const auto &endpoint = status->endpoints[0];
    cr_assert(endpoint.endpoint.id == "i-1" && endpoint.endpoint.bornMs == 1700);
    cr_assert(endpoint.term == 3 && endpoint.position == (LogPosition{3, 1209}));
    cr_assert(endpoint.lagMs == 12 && endpoint.busy == 2 && endpoint.connections == 17);
    cr_assert(status->entryHosts[0].host == "entry-1");
    cr_assert(status->entryHosts[0].dataCentre == "zone-a");
    // Each of the three hosts names the leader.
    for (const auto &host : hosts) {
        const auto alone = requestPooledStatus({host}, "operator", seconds{1});
        cr_assert(alone.has_value() && alone.value().answeredBy == status->leader);
    }
    const auto text = describe(*status);
    cr_assert(text.find("configuration version 7, in force at 1 of 1 entry hosts")
              != std::string::npos);
    cr_assert(text.find("3/1209") != std::string::npos, "%s", text.c_str());
    cr_assert(toJson(*status).find(R"("position": "3/1209", "lag_ms": 12)") != std::string::npos);
}

// Guards against status queries that occupy many slots of an endpoint when several operators poll.
Test(pooledStatus, endpointIsQueriedAtMostOncePerSecond)
{
    Deployment deployment;
    const auto hosts = deployment.addresses();
    cr_assert(await(hosts, [](const auto &status) { return status.answeredBy == status.leader; }));
    deployment.beat(deployment.endpoint.address, 1);
    cr_assert(await(hosts, [](const auto &status) {
        return status.endpoints.size() == 1 && status.endpoints[0].answered;
    }));
    const auto before = deployment.endpoint.queries;
    const auto start = std::chrono::steady_clock::now();
    int answers = 0;
    for (int i = 0; i < 50; ++i) {
        const auto status = requestPooledStatus(hosts, "operator", seconds{1});
        answers += status.has_value() ? 1 : 0;
    }
    const auto passed =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    cr_assert(answers == 50);
    // The promotion controller sends a few queries of its own while it searches for a primary.
    const auto queries = deployment.endpoint.queries - before;
    cr_assert(queries <= 10 + 10 * passed, "%d queries in %f s", queries, passed);
}

// Guards against returning no status while no leader can be elected.
Test(pooledStatus, followerAnswersWithoutLeader)
{
    Deployment deployment;
    const auto hosts = deployment.addresses();
    cr_assert(await(hosts, [](const auto &status) { return status.answeredBy == status.leader; }));
    std::atomic<bool> ended = false;
    boost::asio::post(deployment.context, [&]() {
        deployment.controls.erase(deployment.controls.begin(), deployment.controls.begin() + 2);
        ended = true;
    });
    const auto status = await(hosts, [](const auto &known) {
        return known.answeredBy == ipOf(3) && known.leader != ipOf(3);
    });
    cr_assert(ended && status.has_value());
    cr_assert(describe(*status).find("answered by " + ipOf(3) + " (not the leader)")
              != std::string::npos);
}

// Guards against waiting for the full timeout of each unreachable host, and against an error
// without a host name.
Test(pooledStatus, noHostAnswers)
{
    const auto status =
        requestPooledStatus({{"127.0.0.1", 1}, {"127.0.0.2", 1}}, "operator", seconds{1});
    cr_assert(status.has_error() && status.error().kind == ErrorKind::Unreachable);
    cr_assert(status.error().detail.find("127.0.0.2:1: ") == 0, "%s",
              status.error().detail.c_str());
}

// Guards against reporting a refusal as an unreachable host or repeating the request, for example
// with a control host of an older version that does not know the request.
Test(pooledStatus, refusalIsReported)
{
    boost::asio::io_context context;
    TcpListener listener{context};
    int connections = 0;
    std::vector<std::shared_ptr<FrameConnection>> open;
    const auto address =
        listener
            .open({"127.0.0.1", 0},
                  [&](boost::asio::ip::tcp::socket socket) {
                      ++connections;
                      auto connection =
                          std::make_shared<FrameConnection>(std::move(socket), StreamLimits{});
                      connection->start({[](const Frame & /*frame*/) {}, [](const Error &) {}});
                      connection->sendMessage(KeepAlive{1});
                      connection->sendMessage(
                          ErrorResponse{ErrorKind::InvalidValue, "unknown role \"operator\""});
                      open.push_back(std::move(connection));
                  })
            .value();
    std::thread thread{[&]() { context.run(); }};
    const auto status = requestPooledStatus({address}, "operator", seconds{1});
    context.stop();
    thread.join();
    cr_assert(status.has_error() && status.error().kind == ErrorKind::InvalidValue);
    cr_assert_eq(describe(status.error().kind).exitStatus, 3);
    cr_assert(status.error().detail
                  == toString(address) + " refused the request: unknown role \"operator\"",
              "%s", status.error().detail.c_str());
    cr_assert_eq(connections, 1);
}
