#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <hyssoprock/transport/http_client.hpp>
#include <hyssoprock/transport/http_server.hpp>

using namespace hyssoprock;

namespace {

using boost::asio::ip::tcp;

constexpr std::chrono::seconds testTimeout{10};

HttpServerLimits testLimits()
{
    HttpServerLimits limits;
    limits.bodyBytesMax = 1000;
    limits.idleTimeout = std::chrono::milliseconds{300};
    limits.readTimeout = std::chrono::milliseconds{300};
    return limits;
}

/// Server on a free port, with helpers that run the event loop.
struct Fixture
{
    boost::asio::io_context context;
    std::optional<HttpServer> server;
    SocketAddress address;
    std::vector<HttpRequest> requests;
    std::vector<HttpServer::Reply> pendingReplies;
    bool replyImmediately = true;

    explicit Fixture(const HttpServerLimits &limits = testLimits())
    {
        server.emplace(context, limits);
        address = server
                      ->open({"127.0.0.1", 0},
                             [this](HttpRequest request, HttpServer::Reply reply) {
                                 requests.push_back(request);
                                 if (replyImmediately) {
                                     reply({200, request.method + request.target + request.body});
                                 } else {
                                     pendingReplies.push_back(std::move(reply));
                                 }
                             })
                      .value();
    }

    void runUntil(const std::function<bool()> &done)
    {
        const auto deadline = std::chrono::steady_clock::now() + testTimeout;
        while (!done()) {
            cr_assert(std::chrono::steady_clock::now() < deadline, "condition not met in time");
            context.restart();
            context.run_one_for(std::chrono::milliseconds{20});
        }
    }

    void runFor(std::chrono::milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    /// Sends bytes on a new connection and returns what is received until the server closes it.
    std::string exchange(const std::string &bytes)
    {
        tcp::socket socket{context};
        socket.connect({boost::asio::ip::make_address(address.ip), address.port});
        boost::asio::write(socket, boost::asio::buffer(bytes));
        std::string received;
        bool ended = false;
        boost::asio::async_read(
            socket, boost::asio::dynamic_buffer(received),
            [&](const boost::system::error_code &, std::size_t) { ended = true; });
        runUntil([&] { return ended; });
        return received;
    }
};

std::size_t occurrences(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

// Guards against losing a part of a call or of its response.
Test(http, callReceivesItsResponse)
{
    Fixture fixture;
    HttpClient client{fixture.context};
    std::optional<Result<HttpCallResponse>> answer;
    client.post({fixture.address, "/a?b", {{"X-Token", "7"}}, "{}", std::chrono::seconds{5}},
                [&](Result<HttpCallResponse> result) { answer.emplace(std::move(result)); });
    cr_assert_not(answer.has_value());
    fixture.runUntil([&] { return answer.has_value(); });
    cr_assert(answer->value().status == 200);
    cr_assert(answer->value().body == "POST/a?b{}");
    fixture.runUntil([&] { return fixture.server->connectionCount() == 0; });
}

// Guards against headers of a call that are lost or altered.
Test(http, headersOfACallAreSent)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor{context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    HttpClient client{context};
    std::optional<Result<HttpCallResponse>> answer;
    client.post({{"127.0.0.1", acceptor.local_endpoint().port()},
                 "/p",
                 {{"X-Holder", "host 1"}, {"X-Token", "42"}},
                 "body",
                 std::chrono::seconds{5}},
                [&](Result<HttpCallResponse> result) { answer.emplace(std::move(result)); });
    context.run_for(std::chrono::milliseconds{100});
    auto socket = acceptor.accept();
    context.restart();
    context.run_for(std::chrono::milliseconds{100});
    std::string request(1000, '\0');
    request.resize(socket.read_some(boost::asio::buffer(request)));
    cr_assert(request.starts_with("POST /p HTTP/1.1\r\n"));
    cr_assert(request.find("\r\nX-Holder: host 1\r\n") != std::string::npos);
    cr_assert(request.find("\r\nX-Token: 42\r\n") != std::string::npos);
    cr_assert(request.ends_with("\r\n\r\nbody"));
    boost::asio::write(socket, boost::asio::buffer(std::string{
                                   "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\nno"}));
    context.restart();
    context.run_for(std::chrono::milliseconds{200});
    cr_assert(answer.has_value());
    cr_assert(answer->value() == (HttpCallResponse{409, "no"}));
}

// Guards against reporting a call that may have been executed as not sent.
Test(http, errorsTellWhetherTheCallWasSent)
{
    Fixture fixture;
    fixture.replyImmediately = false;
    HttpClient client{fixture.context};
    std::optional<Result<HttpCallResponse>> timedOut;
    std::optional<Result<HttpCallResponse>> refused;
    std::optional<Result<HttpCallResponse>> invalid;
    client.post({fixture.address, "/", {}, "", std::chrono::milliseconds{100}},
                [&](Result<HttpCallResponse> result) { timedOut.emplace(std::move(result)); });
    tcp::acceptor closed{fixture.context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    const SocketAddress closedAddress{"127.0.0.1", closed.local_endpoint().port()};
    closed.close();
    client.post({closedAddress, "/", {}, "", std::chrono::seconds{1}},
                [&](Result<HttpCallResponse> result) { refused.emplace(std::move(result)); });
    client.post({fixture.address, "/", {{"X", "1\r\nY: 2"}}, "", std::chrono::seconds{1}},
                [&](Result<HttpCallResponse> result) { invalid.emplace(std::move(result)); });
    cr_assert_not(invalid.has_value());
    fixture.runUntil([&] { return timedOut && refused && invalid; });
    cr_assert(timedOut->error().kind == ErrorKind::OutcomeUnknown);
    cr_assert(refused->error().kind == ErrorKind::Unreachable);
    cr_assert(invalid->error().kind == ErrorKind::InvalidValue);
    cr_assert(fixture.requests.size() == 1);
}

// Guards against callbacks into an owner that was destroyed.
Test(http, destroyedClientDoesNotCallBack)
{
    Fixture fixture;
    bool called = false;
    {
        HttpClient client{fixture.context};
        client.post({fixture.address, "/", {}, "", std::chrono::seconds{5}},
                    [&](const Result<HttpCallResponse> &) { called = true; });
    }
    fixture.runFor(std::chrono::milliseconds{200});
    cr_assert_not(called);
}

// Guards against closing a keep-alive connection, and against mixing up pipelined requests.
Test(http, pipelinedRequestsAreAnsweredInOrder)
{
    Fixture fixture;
    const auto received = fixture.exchange("POST /1 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
                                           "GET /2 HTTP/1.1\r\n\r\n"
                                           "GET /3 HTTP/1.1\r\nConnection: close\r\n\r\n");
    cr_assert(fixture.requests.size() == 3);
    cr_assert(fixture.requests[0] == (HttpRequest{"POST", "/1", "abc"}));
    cr_assert(occurrences(received, "HTTP/1.1 200 OK") == 3);
    cr_assert(received.find("POST/1abc") < received.find("GET/2"));
    cr_assert(received.ends_with("GET/3"));
}

// Guards against serving malformed requests, and against unbounded buffering.
Test(http, malformedInputIsRejected)
{
    Fixture fixture;
    for (const auto &bytes :
         {std::string{"nonsense\r\n\r\n"},
          std::string{"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n"},
          std::string{"GET / HTTP/3.7\r\n\r\n"},
          std::string{"GET / HTTP/1.1\r\nbad header\r\n\r\n"},
          "GET / HTTP/1.1\r\nX: " + std::string(30000, 'x') + "\r\n\r\n",
          std::string{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}}) {
        const auto received = fixture.exchange(bytes + std::string{});
        cr_assert(received.starts_with("HTTP/1.1 400 "), "%.40s: %s", bytes.c_str(),
                  received.c_str());
        cr_assert(received.find("Connection: close") != std::string::npos);
    }
    const auto tooLarge = fixture.exchange("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n"
                                           + std::string(1001, 'x'));
    cr_assert(tooLarge.starts_with("HTTP/1.1 413 "));
    const auto chunked = fixture.exchange("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                                          "3e9\r\n"
                                          + std::string(1001, 'x') + "\r\n0\r\n\r\n");
    cr_assert(chunked.starts_with("HTTP/1.1 413 "));
    cr_assert(fixture.requests.empty());
    const auto largest =
        fixture.exchange("POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 1000\r\n\r\n"
                         + std::string(1000, 'x'));
    cr_assert(largest.starts_with("HTTP/1.1 200 "));
    fixture.runUntil([&] { return fixture.server->connectionCount() == 0; });
}

// Guards against peers that keep a connection open without using it, or send one byte at a time.
Test(http, idleConnectionsAreClosed)
{
    Fixture fixture;
    for (const auto *bytes : {"", "GET / HT", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\na",
                              "GET / HTTP/1.1\r\n\r\n"}) {
        const auto start = std::chrono::steady_clock::now();
        (void)fixture.exchange(bytes);
        const auto elapsed = std::chrono::steady_clock::now() - start;
        cr_assert(elapsed >= std::chrono::milliseconds{250}, "%s", bytes);
    }
    tcp::socket socket{fixture.context};
    socket.connect({boost::asio::ip::make_address(fixture.address.ip), fixture.address.port});
    fixture.runUntil([&] { return fixture.server->connectionCount() == 1; });
    const auto start = std::chrono::steady_clock::now();
    boost::system::error_code ignored;
    while (fixture.server->connectionCount() == 1) {
        boost::asio::write(socket, boost::asio::buffer("G", 1), ignored);
        fixture.runFor(std::chrono::milliseconds{50});
        cr_assert(std::chrono::steady_clock::now() - start < testTimeout);
    }
    cr_assert(fixture.requests.size() == 1);
}

// Guards against leaving a client that sent Expect: 100-continue without an interim response.
Test(http, expectContinueIsAnswered)
{
    Fixture fixture;
    const auto received = fixture.exchange("POST / HTTP/1.1\r\nConnection: close\r\n"
                                           "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n");
    cr_assert(received.starts_with("HTTP/1.1 100 Continue\r\n\r\n"), "%s", received.c_str());
}

// Guards against a late reply that reaches the next request, a closed connection or a destroyed
// server.
Test(http, lateRepliesAreSafe)
{
    Fixture fixture;
    fixture.replyImmediately = false;
    HttpClient client{fixture.context};
    std::optional<Result<HttpCallResponse>> answer;
    const HttpCall call{fixture.address, "/", {}, "", std::chrono::seconds{5}};
    const auto store = [&](Result<HttpCallResponse> result) { answer.emplace(std::move(result)); };
    client.post(call, store);
    fixture.runUntil([&] { return fixture.pendingReplies.size() == 1; });
    fixture.runFor(std::chrono::milliseconds{400});
    cr_assert_not(answer.has_value(), "a pending request must not hit the idle timeout");
    fixture.pendingReplies[0]({503, "first"});
    fixture.pendingReplies[0]({200, "second"});
    fixture.runUntil([&] { return answer.has_value(); });
    cr_assert(answer->value() == (HttpCallResponse{503, "first"}));

    // The client has disconnected.
    auto brief = call;
    brief.timeout = std::chrono::milliseconds{50};
    answer.reset();
    client.post(brief, store);
    fixture.runUntil([&] { return fixture.pendingReplies.size() == 2 && answer.has_value(); });
    fixture.pendingReplies[1]({200, std::string(100000, 'x')});
    fixture.runUntil([&] { return fixture.server->connectionCount() == 0; });

    // The reply is dropped without a call.
    answer.reset();
    client.post(call, store);
    fixture.runUntil([&] { return fixture.pendingReplies.size() == 3; });
    fixture.pendingReplies[2] = nullptr;
    fixture.runUntil([&] { return answer.has_value(); });
    cr_assert(answer->error().kind == ErrorKind::OutcomeUnknown);

    // The server has been destroyed.
    answer.reset();
    client.post(call, store);
    fixture.runUntil([&] { return fixture.pendingReplies.size() == 4; });
    fixture.server.reset();
    fixture.pendingReplies[3]({200, "late"});
    fixture.runUntil([&] { return answer.has_value(); });
    cr_assert(answer->error().kind == ErrorKind::OutcomeUnknown);
}

// Guards against a response without its Location, Content-Type and Content-Length headers.
Test(http, locationAndTypeAreSent)
{
    Fixture fixture;
    fixture.replyImmediately = false;
    tcp::socket socket{fixture.context};
    socket.connect({boost::asio::ip::make_address(fixture.address.ip), fixture.address.port});
    boost::asio::write(socket, boost::asio::buffer(std::string{"HEAD /x HTTP/1.1\r\n\r\n"}));
    fixture.runUntil([&] { return fixture.pendingReplies.size() == 1; });
    fixture.pendingReplies[0]({307, "there", "text/plain", "http://127.0.0.1:1/x"});
    fixture.runFor(std::chrono::milliseconds{100});
    std::string received(1000, '\0');
    received.resize(socket.read_some(boost::asio::buffer(received)));
    cr_assert(received.starts_with("HTTP/1.1 307 "));
    cr_assert(received.find("Location: http://127.0.0.1:1/x\r\n") != std::string::npos);
    cr_assert(received.find("Content-Type: text/plain\r\n") != std::string::npos);
    cr_assert(received.find("Content-Length: 5\r\n") != std::string::npos);
    cr_assert(received.ends_with("\r\n\r\n"), "a response to HEAD has no body");
}

// Guards against exhausting the file descriptors of the process.
Test(http, connectionsAreBounded)
{
    auto limits = testLimits();
    limits.connectionsMax = 2;
    limits.idleTimeout = std::chrono::seconds{60};
    Fixture fixture{limits};
    std::vector<tcp::socket> sockets;
    for (int count = 0; count < 3; ++count) {
        sockets.emplace_back(fixture.context)
            .connect({boost::asio::ip::make_address(fixture.address.ip), fixture.address.port});
    }
    fixture.runFor(std::chrono::milliseconds{100});
    cr_assert(fixture.server->connectionCount() == 2);
    char byte = 0;
    boost::system::error_code error;
    sockets[2].read_some(boost::asio::buffer(&byte, 1), error);
    cr_assert(error == boost::asio::error::eof || error == boost::asio::error::connection_reset);
    fixture.server->close();
    cr_assert(fixture.server->connectionCount() == 0);
}
