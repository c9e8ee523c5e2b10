#include <hyssoprock/endpoint/replica_link.hpp>

#include <chrono>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <hyssoprock/endpoint/server.hpp>

namespace hyssoprock::endpoint {

namespace {

/// Delay before reconnecting after a failed connection or a refused fetch.
constexpr std::chrono::milliseconds retryDelay{50};

} // namespace

/// Connection for one term and address. Completions of earlier attempts are ignored.
struct ReplicaLink::Attempt
{
    explicit Attempt(boost::asio::io_context &context)
        : socket{context}
    {}

    boost::asio::ip::tcp::socket socket;
    std::uint64_t term = 0;
    std::string address;
    std::array<char, 65536> buffer{};
    FrameReader frames;
    std::string request;
};

ReplicaLink::ReplicaLink(Server &server)
    : server_{server}
{}

ReplicaLink::~ReplicaLink() = default;

void ReplicaLink::reset()
{
    if (currentAttempt_) {
        boost::system::error_code ignored;
        currentAttempt_->socket.close(ignored);
        currentAttempt_.reset();
    }
}

void ReplicaLink::update()
{
    const auto &replication = server_.instance().database.replication();
    if (!replication.makeFetch()) {
        reset();
    } else if (!currentAttempt_ || currentAttempt_->term != replication.term()
               || currentAttempt_->address != replication.primaryAddress()) {
        reset();
        connect();
    }
}

void ReplicaLink::connect()
{
    const auto &replication = server_.instance().database.replication();
    auto attempt = std::make_shared<Attempt>(server_.context());
    attempt->term = replication.term();
    attempt->address = replication.primaryAddress();
    currentAttempt_ = attempt;
    boost::asio::ip::tcp::endpoint target;
    try {
        target = parseAddress(attempt->address);
    } catch (const boost::system::system_error &error) {
        Server::log("invalid address of the primary \"" + attempt->address + "\": " + error.what());
        return;
    }
    attempt->socket.async_connect(target, [this, attempt](const boost::system::error_code &error) {
        server_.runUnlessCutOff([this, attempt, error] {
            if (attempt != currentAttempt_) {
                return;
            }
            if (error) {
                retryLater(attempt);
                return;
            }
            boost::system::error_code ignored;
            attempt->socket.set_option(boost::asio::ip::tcp::no_delay{true}, ignored);
            fetch(attempt);
        });
    });
}

void ReplicaLink::retryLater(const std::shared_ptr<Attempt> &attempt)
{
    boost::system::error_code ignored;
    attempt->socket.close(ignored);
    server_.runAfter(retryDelay, [this, attempt] {
        if (attempt == currentAttempt_) {
            currentAttempt_.reset();
            update();
        }
    });
}

void ReplicaLink::fetch(const std::shared_ptr<Attempt> &attempt)
{
    const auto request = server_.instance().database.replication().makeFetch();
    if (attempt != currentAttempt_ || !request) {
        return;
    }
    attempt->request = frameOf(*request);
    boost::asio::async_write(
        attempt->socket, boost::asio::buffer(attempt->request),
        [this, attempt](const boost::system::error_code &error, std::size_t /*count*/) {
            server_.runUnlessCutOff([this, attempt, error] {
                if (attempt != currentAttempt_) {
                    return;
                }
                if (error) {
                    retryLater(attempt);
                } else {
                    read(attempt);
                }
            });
        });
}

void ReplicaLink::read(const std::shared_ptr<Attempt> &attempt)
{
    attempt->socket.async_read_some(
        boost::asio::buffer(attempt->buffer),
        [this, attempt](const boost::system::error_code &error, std::size_t count) {
            server_.runUnlessCutOff([this, attempt, error, count] {
                if (attempt != currentAttempt_) {
                    return;
                }
                if (error) {
                    retryLater(attempt);
                    return;
                }
                attempt->frames.append({attempt->buffer.data(), count});
                handleNextFrame(attempt);
            });
        });
}

void ReplicaLink::handleNextFrame(const std::shared_ptr<Attempt> &attempt)
{
    auto next = attempt->frames.next();
    if (next.has_error()) {
        Server::log("invalid replication frame from the primary: " + next.error().detail);
        retryLater(attempt);
        return;
    }
    if (!next.value()) {
        read(attempt);
        return;
    }
    const auto lag = server_.instance().faults.receiveDelay;
    if (lag == Duration{0}) {
        handleFrame(attempt, *next.value());
        return;
    }
    server_.runAfter(lag, [this, attempt, frame = std::move(*next.value())] {
        if (attempt == currentAttempt_) {
            handleFrame(attempt, frame);
        }
    });
}

void ReplicaLink::handleFrame(const std::shared_ptr<Attempt> &attempt, const Frame &frame)
{
    const auto answer = decodeMessage<ReplicaEntries>(frame);
    if (answer.has_error()) {
        Server::log("invalid replication answer from the primary: " + answer.error().detail);
        retryLater(attempt);
        return;
    }
    if (!server_.instance().database.handleEntries(answer.value(), server_.now())) {
        retryLater(attempt);
        return;
    }
    server_.handleStateChange();
    fetch(attempt);
}

} // namespace hyssoprock::endpoint
