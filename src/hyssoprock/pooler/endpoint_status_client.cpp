#include <hyssoprock/pooler/endpoint_status_client.hpp>

#include <array>
#include <cstddef>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <hyssoprock/settings/address.hpp>

namespace hyssoprock {

namespace {

constexpr std::size_t readBufferBytes = 1024;

EndpointCommandKind commandKindFor(EndpointOperation operation)
{
    switch (operation) {
    case EndpointOperation::Status:
        return EndpointCommandKind::Status;
    case EndpointOperation::Pause:
        return EndpointCommandKind::Pause;
    case EndpointOperation::Resume:
        return EndpointCommandKind::Resume;
    case EndpointOperation::StepDown:
        return EndpointCommandKind::StepDown;
    }
    return EndpointCommandKind::Status;
}

/// One query with its connection, kept alive by its pending operations.
class StatusQuery : public std::enable_shared_from_this<StatusQuery>
{
public:
    StatusQuery(boost::asio::io_context &context, std::unique_ptr<EndpointCodec> codec,
                StatusRowParser parseRow, EndpointCommand command,
                EndpointStatusClient::QueryCallback callback)
        : socket_{context}
        , timer_{context}
        , codec_{std::move(codec)}
        , parseRow_{std::move(parseRow)}
        , command_{std::move(command)}
        , callback_{std::move(callback)}
    {}

    void start(const std::string &service, const std::string &endpoint, const std::string &address,
               const std::string &user, Duration timeout)
    {
        timer_.expires_after(timeout);
        timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error) {
                self->finish(failure(ErrorKind::Unreachable, "no answer before the timeout"));
            }
        });
        codec_->encodeStartup(service, user, endpoint, output_);
        const auto target = parseAddress(address);
        boost::system::error_code invalid;
        const auto ip =
            boost::asio::ip::make_address(target ? target.value().ip : std::string{}, invalid);
        if (target.has_error() || invalid) {
            boost::asio::post(socket_.get_executor(), [self = shared_from_this()]() {
                self->finish(
                    failure(ErrorKind::Unreachable, "the endpoint's address is not valid"));
            });
            return;
        }
        socket_.async_connect({ip, target.value().port},
                              [self = shared_from_this()](const boost::system::error_code &error) {
                                  if (self->continueUnless(error)) {
                                      self->write();
                                      self->read();
                                  }
                              });
    }

private:
    bool continueUnless(const boost::system::error_code &error)
    {
        if (callback_ && error) {
            finish(failure(ErrorKind::Unreachable, error.message()));
        }
        return static_cast<bool>(callback_);
    }

    void write()
    {
        boost::asio::async_write(
            socket_, boost::asio::buffer(output_),
            [self = shared_from_this()](const boost::system::error_code &error,
                                        std::size_t /*bytes*/) { self->continueUnless(error); });
    }

    void read()
    {
        socket_.async_read_some(
            boost::asio::buffer(input_),
            [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
                if (self->continueUnless(error)) {
                    self->codec_->feed({self->input_.data(), bytes});
                    self->handleAnswers();
                }
            });
    }

    void handleAnswers()
    {
        while (callback_) {
            const auto next = codec_->next();
            if (next.has_error()) {
                finish(next.as_failure());
            } else if (!next.value()) {
                read();
                return;
            } else {
                handleAnswer(*next.value());
            }
        }
    }

    void handleAnswer(const StatementAnswer &answer)
    {
        if (answer.kind == AnswerKind::Misrouted) {
            // The address belongs to another endpoint now, so the queried one is not running.
            finish(failure(ErrorKind::Unreachable, "another endpoint answered at this address"));
        } else if (answer.kind != AnswerKind::Success) {
            mayTakeEffect_ = mayTakeEffect_ && !provesNotRun(answer.kind);
            finish(failure(ErrorKind::Refused, answer.text));
        } else if (!startupAnswered_) {
            startupAnswered_ = true;
            output_.clear();
            mayTakeEffect_ = true;
            codec_->encodeCommand(command_, output_);
            write();
        } else if (answer.rows.size() != 1) {
            finish(
                failure(ErrorKind::ProtocolViolation, "a status answer must have exactly one row"));
        } else {
            finish(parseRow_(answer.rows.front()));
        }
    }

    void finish(Result<EndpointStatusRow> result)
    {
        if (!callback_) {
            return;
        }
        timer_.cancel();
        boost::system::error_code ignored;
        socket_.close(ignored);
        std::exchange(callback_, {})(std::move(result), mayTakeEffect_);
    }

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::unique_ptr<EndpointCodec> codec_;
    StatusRowParser parseRow_;
    EndpointCommand command_;
    EndpointStatusClient::QueryCallback callback_;
    std::string output_;
    std::array<char, readBufferBytes> input_{};
    bool startupAnswered_ = false;
    bool mayTakeEffect_ = false;
};

} // namespace

EndpointStatusClient::EndpointStatusClient(boost::asio::io_context &context,
                                           const CodecFactory &codecs, StatusRowParser parseRow,
                                           std::string user)
    : context_{context}
    , codecs_{codecs}
    , parseRow_{std::move(parseRow)}
    , user_{std::move(user)}
    , alive_{std::make_shared<bool>(true)}
{}

EndpointStatusClient::~EndpointStatusClient() = default;

void EndpointStatusClient::query(const std::string &service, const std::string &endpoint,
                                 const std::string &address, EndpointOperation operation,
                                 std::uint64_t term, Duration timeout, QueryCallback callback)
{
    auto guarded = [weak = std::weak_ptr{alive_}, callback = std::move(callback)](
                       Result<EndpointStatusRow> result, bool mayTakeEffect) {
        if (!weak.expired()) {
            callback(std::move(result), mayTakeEffect);
        }
    };
    EndpointCommand command;
    command.kind = commandKindFor(operation);
    command.term = term;
    std::make_shared<StatusQuery>(context_, codecs_.makeEndpointCodec(), parseRow_,
                                  std::move(command), std::move(guarded))
        ->start(service, endpoint, address, user_, timeout);
}

} // namespace hyssoprock
