#include <hyssoprock/pooler/primary_position_client.hpp>

#include <utility>
#include <variant>

#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

// Covers opening a connection between regions; a request on an open one takes a round trip.
constexpr Duration requestTimeout = std::chrono::milliseconds{300};

} // namespace

PrimaryPositionClient::PrimaryPositionClient(boost::asio::io_context &context,
                                             const CodecFactory &codecs, std::string user,
                                             PositionCallback callback)
    : context_{context}
    , codecs_{codecs}
    , user_{std::move(user)}
    , callback_{std::move(callback)}
{}

PrimaryPositionClient::~PrimaryPositionClient()
{
    for (auto &[service, known] : connections_) {
        known.connection->close();
    }
}

void PrimaryPositionClient::request(const SampleTarget &target)
{
    if (const auto found = connections_.find(target.service);
        found != connections_.end() && !(found->second.target == target)) {
        close(target.service);
    }
    if (!connections_.contains(target.service)) {
        open(target);
    }
    auto &known = connections_.at(target.service);
    known.requested = true;
    known.timeout->set(monotonicNow() + requestTimeout);
    if (known.phase == Phase::Idle) {
        begin(known);
    }
}

void PrimaryPositionClient::open(const SampleTarget &target)
{
    Connection opening;
    opening.target = target;
    opening.id = nextConnection_++;
    opening.connection = std::make_shared<EndpointConnection>(
        context_, opening.id, codecs_.makeEndpointCodec(), static_cast<ConnectionOwner &>(*this));
    opening.timeout = std::make_unique<DeadlineTimer>(
        context_, [this, service = target.service]() { fail(service); });
    const auto connection = opening.connection;
    const pooler::OpenConnection action{opening.id, target.service, target.endpoint,
                                        target.address};
    services_.emplace(opening.id, target.service);
    connections_.emplace(target.service, std::move(opening));
    connection->open(action, user_);
}

void PrimaryPositionClient::begin(Connection &known)
{
    known.phase = Phase::Beginning;
    known.sentAt = monotonicNow();
    EndpointCommand command;
    command.kind = EndpointCommandKind::Begin;
    known.connection->send(command);
    known.connection->flush();
}

void PrimaryPositionClient::close(const std::string &service)
{
    const auto found = connections_.find(service);
    if (found == connections_.end()) {
        return;
    }
    found->second.connection->close();
    services_.erase(found->second.id);
    connections_.erase(found);
}

void PrimaryPositionClient::fail(const std::string &service)
{
    const auto found = connections_.find(service);
    if (found == connections_.end()) {
        return;
    }
    const auto target = found->second.target;
    const auto requested = found->second.requested;
    close(service);
    if (requested) {
        callback_(target, std::nullopt, Instant{});
    }
}

void PrimaryPositionClient::post(PoolerEvent event)
{
    if (const auto *opened = std::get_if<pooler::ConnectionOpened>(&event)) {
        if (const auto found = services_.find(opened->connection); found != services_.end()) {
            auto &known = connections_.at(found->second);
            known.phase = Phase::Idle;
            if (known.requested) {
                begin(known);
            }
        }
    } else if (const auto *ended = std::get_if<pooler::ConnectionEnded>(&event)) {
        if (const auto found = services_.find(ended->connection); found != services_.end()) {
            fail(std::string{found->second});
        }
    } else if (const auto *answered = std::get_if<pooler::AnswerReceived>(&event)) {
        if (const auto found = services_.find(answered->connection); found != services_.end()) {
            handleAnswer(std::string{found->second}, answered->answer);
        }
    }
}

void PrimaryPositionClient::handleAnswer(const std::string &service, const StatementAnswer &answer)
{
    auto &known = connections_.at(service);
    if (answer.kind != AnswerKind::Success) {
        fail(service);
        return;
    }
    if (known.phase == Phase::RollingBack) {
        known.phase = Phase::Idle;
        if (known.requested) {
            begin(known);
        }
        return;
    }
    if (known.phase != Phase::Beginning || answer.state != TransactionState::Open
        || !answer.position) {
        fail(service);
        return;
    }
    known.phase = Phase::RollingBack;
    known.requested = false;
    known.timeout->set(std::nullopt);
    EndpointCommand command;
    command.kind = EndpointCommandKind::Rollback;
    known.connection->send(command);
    known.connection->flush();
    callback_(known.target, answer.position, known.sentAt);
}

void PrimaryPositionClient::callerClosed(CallerId /*caller*/) {}

} // namespace hyssoprock
