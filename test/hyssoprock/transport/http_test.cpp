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

constexpr std::chrono::seconds patience{10};

HttpServerLimits testLimits()
{
    HttpServerLimits limits;
    limits.bodyBytesMax = 1000;
    limits.idleTimeout = std::chrono::milliseconds{300};
    limits.readTimeout = std::chrono::milliseconds{300};
    return limits;
}

/// A server on a free port, and a way to run the event loop until something has happened.
struct Fixture
{
    boost::asio::io_context context;
    std::optional<HttpServer> server;
    SocketAddress address;
    std::vector<HttpRequest> requests;
    std::vector<HttpServer::Reply> waiting;
    bool answerAtOnce = true;

    explicit Fixture(const HttpServerLimits &limits = testLimits())
    {
        server.emplace(context, limits);
        address = server
                      ->open({"127.0.0.1", 0},
                             [this](HttpRequest request, HttpServer::Reply reply) {
                                 requests.push_back(request);
                                 if (answerAtOnce) {
                                     reply({200, request.method + request.target + request.body});
                                 } else {
                                     waiting.push_back(std::move(reply));
                                 }
                             })
                      .value();
    }

    void runUntil(const std::function<bool()> &done)
    {
        const auto limit = std::chrono::steady_clock::now() + patience;
        while (!done()) {
            cr_assert(std::chrono::steady_clock::now() < limit, "nothing happened in time");
            context.restart();
            context.run_one_for(std::chrono::milliseconds{20});
        }
    }

    void runFor(std::chrono::milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    /// Sends bytes on a new connection and reads until the server closes it.
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

// Guards against a call or an answer that loses a part of itself.
Test(http, aCallIsAnswered)
{
    Fixture fixture;
    HttpClient client{fixture.context};
    std::optional<Result<HttpAnswer>> answer;
    client.post({fixture.address, "/a?b", {{"X-Token", "7"}}, "{}", std::chrono::seconds{5}},
                [&](Result<HttpAnswer> result) { answer.emplace(std::move(result)); });
    cr_assert_not(answer.has_value());
    fixture.runUntil([&] { return answer.has_value(); });
    cr_assert(answer->value().status == 200);
    cr_assert(answer->value().body == "POST/a?b{}");
    fixture.runUntil([&] { return fixture.server->connections() == 0; });
}

// Guards against headers of a call that do not arrive, or arrive changed.
Test(http, headersOfACallAreSent)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor{context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    HttpClient client{context};
    std::optional<Result<HttpAnswer>> answer;
    client.post({{"127.0.0.1", acceptor.local_endpoint().port()},
                 "/p",
                 {{"X-Holder", "host 1"}, {"X-Token", "42"}},
                 "body",
                 std::chrono::seconds{5}},
                [&](Result<HttpAnswer> result) { answer.emplace(std::move(result)); });
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
    cr_assert(answer->value() == (HttpAnswer{409, "no"}));
}

// Guards against taking a call that may be executed for one that was never sent.
Test(http, failuresOfACallSayWhetherItWasSent)
{
    Fixture fixture;
    fixture.answerAtOnce = false;
    HttpClient client{fixture.context};
    std::optional<Result<HttpAnswer>> silent;
    std::optional<Result<HttpAnswer>> refused;
    std::optional<Result<HttpAnswer>> unwritable;
    client.post({fixture.address, "/", {}, "", std::chrono::milliseconds{100}},
                [&](Result<HttpAnswer> result) { silent.emplace(std::move(result)); });
    tcp::acceptor closed{fixture.context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    const SocketAddress nobody{"127.0.0.1", closed.local_endpoint().port()};
    closed.close();
    client.post({nobody, "/", {}, "", std::chrono::seconds{1}},
                [&](Result<HttpAnswer> result) { refused.emplace(std::move(result)); });
    client.post({fixture.address, "/", {{"X", "1\r\nY: 2"}}, "", std::chrono::seconds{1}},
                [&](Result<HttpAnswer> result) { unwritable.emplace(std::move(result)); });
    cr_assert_not(unwritable.has_value());
    fixture.runUntil([&] { return silent && refused && unwritable; });
    cr_assert(silent->error().kind == ErrorKind::OutcomeUnknown);
    cr_assert(refused->error().kind == ErrorKind::Unreachable);
    cr_assert(unwritable->error().kind == ErrorKind::InvalidValue);
    cr_assert(fixture.requests.size() == 1);
}

// Guards against calling back into an owner that is gone.
Test(http, aDestroyedClientDoesNotCallBack)
{
    Fixture fixture;
    bool called = false;
    {
        HttpClient client{fixture.context};
        client.post({fixture.address, "/", {}, "", std::chrono::seconds{5}},
                    [&](const Result<HttpAnswer> &) { called = true; });
    }
    fixture.runFor(std::chrono::milliseconds{200});
    cr_assert_not(called);
}

// Guards against closing a connection that the client wants to keep, and against mixing up
// requests that were sent without waiting for answers.
Test(http, requestsOfOneConnectionAreAnsweredInOrder)
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

// Guards against serving input that is not understood, and against buffering without a bound.
Test(http, malformedInputIsRefused)
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
    fixture.runUntil([&] { return fixture.server->connections() == 0; });
}

// Guards against peers that hold a connection without using it, or send one byte at a time.
Test(http, silentConnectionsAreClosed)
{
    Fixture fixture;
    for (const auto *bytes : {"", "GET / HT", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\na",
                              "GET / HTTP/1.1\r\n\r\n"}) {
        const auto start = std::chrono::steady_clock::now();
        (void)fixture.exchange(bytes);
        const auto waited = std::chrono::steady_clock::now() - start;
        cr_assert(waited >= std::chrono::milliseconds{250}, "%s", bytes);
    }
    tcp::socket socket{fixture.context};
    socket.connect({boost::asio::ip::make_address(fixture.address.ip), fixture.address.port});
    fixture.runUntil([&] { return fixture.server->connections() == 1; });
    const auto start = std::chrono::steady_clock::now();
    boost::system::error_code ignored;
    while (fixture.server->connections() == 1) {
        boost::asio::write(socket, boost::asio::buffer("G", 1), ignored);
        fixture.runFor(std::chrono::milliseconds{50});
        cr_assert(std::chrono::steady_clock::now() - start < patience);
    }
    cr_assert(fixture.requests.size() == 1);
}

// Guards against a client that waits for leave to send its body until it gives up.
Test(http, aClientThatAsksMaySendItsBody)
{
    Fixture fixture;
    const auto received = fixture.exchange("POST / HTTP/1.1\r\nConnection: close\r\n"
                                           "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n");
    cr_assert(received.starts_with("HTTP/1.1 100 Continue\r\n\r\n"), "%s", received.c_str());
}

// Guards against a late answer that reaches the next request, a closed connection or a server
// that is gone.
Test(http, lateAnswersAreSafe)
{
    Fixture fixture;
    fixture.answerAtOnce = false;
    HttpClient client{fixture.context};
    std::optional<Result<HttpAnswer>> answer;
    const HttpCall call{fixture.address, "/", {}, "", std::chrono::seconds{5}};
    const auto store = [&](Result<HttpAnswer> result) { answer.emplace(std::move(result)); };
    client.post(call, store);
    fixture.runUntil([&] { return fixture.waiting.size() == 1; });
    fixture.runFor(std::chrono::milliseconds{400});
    cr_assert_not(answer.has_value(), "a request that is being answered is not idle");
    fixture.waiting[0]({503, "first"});
    fixture.waiting[0]({200, "second"});
    fixture.runUntil([&] { return answer.has_value(); });
    cr_assert(answer->value() == (HttpAnswer{503, "first"}));

    // The client has gone.
    auto brief = call;
    brief.timeout = std::chrono::milliseconds{50};
    answer.reset();
    client.post(brief, store);
    fixture.runUntil([&] { return fixture.waiting.size() == 2 && answer.has_value(); });
    fixture.waiting[1]({200, std::string(100000, 'x')});
    fixture.runUntil([&] { return fixture.server->connections() == 0; });

    // The answer is never given.
    answer.reset();
    client.post(call, store);
    fixture.runUntil([&] { return fixture.waiting.size() == 3; });
    fixture.waiting[2] = nullptr;
    fixture.runUntil([&] { return answer.has_value(); });
    cr_assert(answer->error().kind == ErrorKind::OutcomeUnknown);

    // The server has gone.
    answer.reset();
    client.post(call, store);
    fixture.runUntil([&] { return fixture.waiting.size() == 4; });
    fixture.server.reset();
    fixture.waiting[3]({200, "late"});
    fixture.runUntil([&] { return answer.has_value(); });
    cr_assert(answer->error().kind == ErrorKind::OutcomeUnknown);
}

// Guards against an answer without the headers that a client follows.
Test(http, locationAndTypeAreSent)
{
    Fixture fixture;
    fixture.answerAtOnce = false;
    tcp::socket socket{fixture.context};
    socket.connect({boost::asio::ip::make_address(fixture.address.ip), fixture.address.port});
    boost::asio::write(socket, boost::asio::buffer(std::string{"HEAD /x HTTP/1.1\r\n\r\n"}));
    fixture.runUntil([&] { return fixture.waiting.size() == 1; });
    fixture.waiting[0]({307, "there", "text/plain", "http://127.0.0.1:1/x"});
    fixture.runFor(std::chrono::milliseconds{100});
    std::string received(1000, '\0');
    received.resize(socket.read_some(boost::asio::buffer(received)));
    cr_assert(received.starts_with("HTTP/1.1 307 "));
    cr_assert(received.find("Location: http://127.0.0.1:1/x\r\n") != std::string::npos);
    cr_assert(received.find("Content-Type: text/plain\r\n") != std::string::npos);
    cr_assert(received.find("Content-Length: 5\r\n") != std::string::npos);
    cr_assert(received.ends_with("\r\n\r\n"), "an answer to HEAD has no body");
}

// Guards against using up the file descriptors of the process.
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
    cr_assert(fixture.server->connections() == 2);
    char byte = 0;
    boost::system::error_code error;
    sockets[2].read_some(boost::asio::buffer(&byte, 1), error);
    cr_assert(error == boost::asio::error::eof || error == boost::asio::error::connection_reset);
    fixture.server->close();
    cr_assert(fixture.server->connections() == 0);
}
