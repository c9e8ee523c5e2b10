#include <hyssoprock/load/load_session.hpp>

#include <chrono>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace hyssoprock::load {

namespace {

constexpr std::chrono::seconds responseTimeout{15};
/// An operation that reaches no entry host within this time completes as not run.
constexpr std::chrono::seconds connectTimeout{10};
constexpr std::chrono::milliseconds reconnectDelay{20};
/// Several user names, so that requests compete in the fair queue.
constexpr std::uint32_t userCount = 5;
constexpr std::uint32_t transactionRowCount = 3;

} // namespace

Instant clockNow()
{
    return Instant{
        std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch())};
}

std::string connectionString(const std::string &entryAddress, const std::string &group,
                             const std::string &user)
{
    const auto colon = entryAddress.rfind(':');
    return "hostaddr=" + entryAddress.substr(0, colon) + " port=" + entryAddress.substr(colon + 1)
           + " dbname=" + group + " user=" + user
           + " sslmode=disable gssencmode=disable application_name=hyssoprock-load";
}

LoadSession::LoadSession(boost::asio::io_context &context, const LoadSettings &settings,
                         std::uint32_t number, std::string prefix)
    : context_{context}
    , settings_{settings}
    , number_{number}
    , prefix_{std::move(prefix)}
    , group_{settings.groups[number % settings.groups.size()]}
    , user_{settings_.user.empty() ? "caller" + std::to_string(number % userCount) : settings_.user}
    , entryIndex_{number % settings.entryAddresses.size()}
{}

std::string LoadSession::sessionName(std::uint32_t number) const
{
    return prefix_ + std::to_string(number);
}

void LoadSession::close()
{
    if (connection_) {
        std::exchange(connection_, nullptr)->close();
    }
}

RequestRecord LoadSession::abandon()
{
    done_ = nullptr;
    close();
    result_.record.respondedAt = clockNow();
    result_.record.outcome = Outcome::Unknown;
    return std::exchange(result_, {}).record;
}

void LoadSession::execute(const Operation &operation, std::function<void(OperationResult)> done)
{
    done_ = std::move(done);
    result_ = {};
    result_.operation = operation;
    auto &record = result_.record;
    record.group = group_;
    record.session = sessionName(number_);
    record.kind = operation.kind;
    if (operation.kind == RequestKind::Read) {
        record.targetWriter = sessionName(operation.targetSession);
        record.maxAge = std::chrono::milliseconds{operation.allowStale ? settings_.maxAgeMs : 0};
    } else {
        makeRows();
    }
    connectDeadline_ = clockNow() + connectTimeout;
    if (operation.switchHost && connection_) {
        entryIndex_ = (entryIndex_ + 1 + sequence_ % settings_.entryAddresses.size())
                      % settings_.entryAddresses.size();
        if (!operation.presentToken) {
            token_.clear();
        }
        close();
    }
    if (connection_) {
        sendRequest();
    } else {
        connect();
    }
}

void LoadSession::makeRows()
{
    auto &record = result_.record;
    const auto size = record.kind == RequestKind::Transaction ? transactionRowCount : 1;
    const auto base = record.session + "-" + std::to_string(++sequence_);
    for (std::uint32_t i = 0; i < size; ++i) {
        const auto id = size == 1 ? base : base + "." + std::to_string(i);
        record.rows.push_back({id, record.session, base, size, rowBody(id)});
    }
}

void LoadSession::connect()
{
    connection_ = std::make_shared<PgConnection>(context_, responseTimeout);
    connection_->connect(
        connectionString(settings_.entryAddresses[entryIndex_], group_, user_),
        [self = shared_from_this()](const std::string &error) { self->handleConnect(error); });
}

void LoadSession::handleConnect(const std::string &error)
{
    if (error.empty()) {
        const bool announceNewSession = std::exchange(firstConnect_, false) && number_ % 2 == 0;
        const auto value = announceNewSession ? std::string{"new"} : token_;
        if (value.empty()) {
            sendRequest();
        } else {
            sendQuery("SET hyssoprock.session = '" + value + "'", &LoadSession::handleTokenSet);
        }
        return;
    }
    close();
    entryIndex_ = (entryIndex_ + 1) % settings_.entryAddresses.size();
    if (clockNow() >= connectDeadline_) {
        result_.error = error;
        result_.record.sentAt = clockNow();
        // Nothing was sent, so nothing can have been executed.
        finish(Outcome::NotRun);
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, reconnectDelay);
    timer->async_wait([self = shared_from_this(), timer](const boost::system::error_code &failed) {
        if (!failed && self->isBusy()) {
            self->connect();
        }
    });
}

void LoadSession::sendQuery(const std::string &text, ResultHandler handler)
{
    connection_->query(text, [self = shared_from_this(), handler](const QueryResult &result) {
        (self.get()->*handler)(result);
    });
}

void LoadSession::handleTokenSet(const QueryResult &result)
{
    if (result.connectionLost || !result.sqlState.empty()) {
        result_.error = result.sqlState + " " + result.message;
        token_.clear();
        result_.record.sentAt = clockNow();
        close();
        finish(Outcome::NotRun);
        return;
    }
    sendRequest();
}

std::vector<std::string> LoadSession::buildTransactionStatements() const
{
    std::vector<std::string> statements{"BEGIN"};
    for (const auto &row : result_.record.rows) {
        statements.push_back(insertStatement(settings_, row, false));
    }
    return statements;
}

void LoadSession::sendRequest()
{
    const auto &operation = result_.operation;
    result_.record.sentAt = clockNow();
    switch (operation.kind) {
    case RequestKind::Read:
        sendQuery(readStatement(settings_, result_.record.targetWriter, operation.allowStale),
                  &LoadSession::handleResult);
        break;
    case RequestKind::Write:
        sendQuery(insertStatement(settings_, result_.record.rows.front(), operation.withRequestId),
                  &LoadSession::handleResult);
        break;
    case RequestKind::Transaction:
        transactionStatements_ = buildTransactionStatements();
        nextStatementIndex_ = 0;
        sendQuery(transactionStatements_[nextStatementIndex_++],
                  &LoadSession::handleTransactionStatement);
        break;
    }
}

void LoadSession::recordError(const QueryResult &result)
{
    if (!result.sqlState.empty() || result.connectionLost) {
        result_.error = result.sqlState + " " + result.message;
    }
}

void LoadSession::handleResult(const QueryResult &result)
{
    recordError(result);
    if (result_.record.kind == RequestKind::Read) {
        result_.record.rows = parseRows(result);
        result_.servedBy = connection_->parameter("hyssoprock.served_by");
    }
    finish(classifyOutcome(result));
}

void LoadSession::handleTransactionStatement(const QueryResult &result)
{
    if (result.connectionLost || !result.sqlState.empty()) {
        recordError(result);
        if (result.connectionLost) {
            // COMMIT was not sent, so the endpoint rolls back.
            finish(Outcome::NotRun);
        } else {
            sendQuery("ROLLBACK", &LoadSession::handleRollback);
        }
        return;
    }
    if (nextStatementIndex_ < transactionStatements_.size()) {
        sendQuery(transactionStatements_[nextStatementIndex_++],
                  &LoadSession::handleTransactionStatement);
    } else if (result_.operation.rollBack) {
        sendQuery("ROLLBACK", &LoadSession::handleRollback);
    } else {
        sendQuery("COMMIT", &LoadSession::handleCommit);
    }
}

void LoadSession::handleCommit(const QueryResult &result)
{
    recordError(result);
    finish(classifyOutcome(result));
}

void LoadSession::handleRollback(const QueryResult &result)
{
    if (result.connectionLost) {
        close();
    }
    finish(Outcome::NotRun);
}

void LoadSession::finish(Outcome outcome)
{
    auto &record = result_.record;
    record.respondedAt = clockNow();
    record.outcome = outcome;
    if (connection_) {
        if (auto token = connection_->parameter("hyssoprock.session"); !token.empty()) {
            token_ = std::move(token);
        }
        if (outcome == Outcome::Unknown || !result_.error.empty()) {
            // The connection may be unusable; another entry host may serve the next operation.
            close();
            entryIndex_ = (entryIndex_ + 1) % settings_.entryAddresses.size();
        }
    }
    const auto done = std::exchange(done_, nullptr);
    done(std::exchange(result_, {}));
}

} // namespace hyssoprock::load
