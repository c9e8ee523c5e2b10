#include <criterion/criterion.h>

#include <array>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <hyssoprock/pooler/caller_connection.hpp>

using namespace hyssoprock;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

/// Codec with one message per line: the first line is the startup, the others are statements.
class LineCodec final : public CallerCodec
{
public:
    void feed(std::string_view bytes) override { input_ += bytes; }
    Result<std::optional<CallerMessage>> next() override
    {
        const auto end = input_.find('\n');
        if (end == std::string::npos) {
            return std::optional<CallerMessage>{};
        }
        const auto line = input_.substr(0, end);
        input_.erase(0, end + 1);
        if (!std::exchange(started_, true)) {
            return std::optional<CallerMessage>{CallerStartup{line, "u"}};
        }
        Statement statement;
        statement.text = line;
        return std::optional<CallerMessage>{statement};
    }
    std::size_t bufferedBytes() const noexcept override { return input_.capacity(); }
    bool hasPartialMessage() const noexcept override { return !input_.empty(); }
    void encodeAccepted(std::string &output) const override { output += "accepted\n"; }
    void encodeRefused(AnswerKind /*kind*/, std::string_view /*text*/,
                       std::string &output) const override
    {
        output += "refused\n";
    }
    void encodeAnswer(const StatementAnswer & /*answer*/, std::string &output) const override
    {
        output += "answer\n";
    }

private:
    std::string input_;
    bool started_ = false;
};

/// One caller connected over loopback.
class Session final : public ConnectionOwner
{
public:
    explicit Session(CallerTimeouts timeouts = {})
    {
        client.connect(listener_.local_endpoint());
        caller = std::make_shared<PooledCallerConnection>(
            listener_.accept(), 1, std::make_unique<LineCodec>(), *this, timeouts);
        caller->start();
        send("db\n");
        run(milliseconds{20});
        caller->accept();
        caller->flush();
        cr_assert_eq(receive(), "accepted\n");
    }
    ~Session() override { caller->abandon(); }

    void post(PoolerEvent event) override { events.push_back(std::move(event)); }
    void callerClosed(CallerId /*caller*/) override {}
    bool chargeMemory(CallerId /*caller*/, std::size_t bytes) override
    {
        charged = bytes;
        return mayRead;
    }
    void callerTimedOut(std::string_view what) override { timedOut = what; }
    std::span<char> readBuffer() noexcept override { return buffer_; }

    void run(Duration time)
    {
        context_.restart();
        context_.run_for(time);
    }
    void send(std::string_view text)
    {
        boost::asio::write(client, boost::asio::buffer(text.data(), text.size()));
    }
    std::string receive()
    {
        std::array<char, 64> bytes{};
        const auto size = client.read_some(boost::asio::buffer(bytes), error);
        return {bytes.data(), size};
    }

private:
    boost::asio::io_context context_;
    std::array<char, 256> buffer_{};
    tcp::acceptor listener_{context_, {boost::asio::ip::address_v4::loopback(), 0}};

public:
    tcp::socket client{context_};
    boost::system::error_code error;
    std::shared_ptr<PooledCallerConnection> caller;
    std::vector<PoolerEvent> events;
    std::size_t charged = 0;
    bool mayRead = true;
    std::string timedOut;
};

} // namespace

// Guards against silently discarding a statement that arrives while an idle session is being
// closed: if the FIN packet is lost, the caller learns nothing for 200 ms (rule LOST, isvarn-prod
// trouble-2 --seed 926245487278).
Test(callerConnection, statementDuringCloseOfIdleSessionIsReset)
{
    Session session;
    session.run(milliseconds{120});
    session.caller->close();
    session.caller->flush();
    session.send("READ a\n");
    session.run(milliseconds{20});
    // The end of the stream is read first; afterwards the reset makes every operation fail.
    session.receive();
    boost::system::error_code error;
    for (auto i = 0; i < 2 && !error; ++i) {
        boost::asio::write(session.client, boost::asio::buffer("x\n", 2), error);
        session.run(milliseconds{5});
    }
    cr_assert(error == boost::asio::error::connection_reset
                  || error == boost::asio::error::broken_pipe,
              "%s", error.message().c_str());
}

// Guards against a reset that discards the last answer when a pipelining caller has sent another
// statement.
Test(callerConnection, answerIsDeliveredBeforeClose)
{
    Session session;
    session.run(milliseconds{120});
    session.send("READ a\n");
    session.run(milliseconds{20});
    session.caller->answer(StatementAnswer{});
    session.caller->close();
    session.caller->flush();
    session.send("READ b\n");
    session.run(milliseconds{20});
    cr_assert_eq(session.receive(), "answer\n");
    boost::system::error_code error;
    boost::asio::write(session.client, boost::asio::buffer("x\n", 2), error);
    cr_assert(!error, "%s", error.message().c_str());
}

// Guards against callers that stop in the middle of a message and hold its memory for ever.
Test(callerConnection, closesACallerWhoseMessageDoesNotEnd)
{
    Session session{{milliseconds{1000}, milliseconds{30}, milliseconds{1000}}};
    session.send("whole\nhalf");
    session.run(milliseconds{10});
    session.caller->answer({});
    session.run(milliseconds{200});
    cr_assert_eq(session.timedOut, "message");
    cr_assert(std::holds_alternative<pooler::CallerDisconnected>(session.events.back()));
}

// Guards against messages that fill the memory although the owner has told to stop.
Test(callerConnection, stopsReadingUntilItIsResumed)
{
    Session session;
    session.mayRead = false;
    session.send(std::string(16384, 'x'));
    session.run(milliseconds{50});
    cr_assert_geq(session.charged, 4096);
    cr_assert_lt(session.charged, 16384);
    session.mayRead = true;
    session.caller->resume();
    session.send("\n");
    session.run(milliseconds{50});
    cr_assert(std::holds_alternative<pooler::StatementReceived>(session.events.back()));
}
