#include <hyssoprock/load/load_session.hpp>

#include <chrono>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace hyssoprock::load {

namespace {

constexpr std::chrono::seconds answerTimeout{15};
/// After this time without an entry host the step counts as failed.
constexpr std::chrono::seconds connectTimeout{10};
constexpr std::chrono::milliseconds reconnectDelay{20};
/// Callers with different names compete in the fair queue.
constexpr std::uint32_t userCount = 5;
constexpr std::uint32_t transactionRows = 3;

} // namespace

Instant clockNow()
{
    return Instant{
        std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch())};
}

std::string connectionInfo(const std::string &entry, const std::string &group,
                           const std::string &user)
{
    const auto colon = entry.rfind(':');
    return "hostaddr=" + entry.substr(0, colon) + " port=" + entry.substr(colon + 1)
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
    , entry_{number % settings.entries.size()}
{}

std::string LoadSession::nameOf(std::uint32_t number) const
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
    result_.record.answeredAt = clockNow();
    result_.record.outcome = Outcome::Unknown;
    return std::exchange(result_, {}).record;
}

void LoadSession::run(const Step &step, std::function<void(StepResult)> done)
{
    done_ = std::move(done);
    result_ = {};
    result_.step = step;
    auto &record = result_.record;
    record.group = group_;
    record.session = nameOf(number_);
    record.kind = step.kind;
    if (step.kind == RequestKind::Read) {
        record.readOf = nameOf(step.otherSession);
        record.maxAge = std::chrono::milliseconds{step.aged ? settings_.maxAgeMs : 0};
    } else {
        makeRows();
    }
    connectDeadline_ = clockNow() + connectTimeout;
    if (step.roam && connection_) {
        entry_ = (entry_ + 1 + sequence_ % settings_.entries.size()) % settings_.entries.size();
        if (!step.withToken) {
            token_.clear();
        }
        close();
    }
    if (connection_) {
        begin();
    } else {
        connect();
    }
}

void LoadSession::makeRows()
{
    auto &record = result_.record;
    const auto size = record.kind == RequestKind::Transaction ? transactionRows : 1;
    const auto base = record.session + "-" + std::to_string(++sequence_);
    for (std::uint32_t i = 0; i < size; ++i) {
        const auto id = size == 1 ? base : base + "." + std::to_string(i);
        record.rows.push_back({id, record.session, base, size, bodyOf(id)});
    }
}

void LoadSession::connect()
{
    connection_ = std::make_shared<PgConnection>(context_, answerTimeout);
    connection_->connect(
        connectionInfo(settings_.entries[entry_], group_, user_),
        [self = shared_from_this()](const std::string &error) { self->connected(error); });
}

void LoadSession::connected(const std::string &error)
{
    if (error.empty()) {
        const bool announceNew = std::exchange(first_, false) && number_ % 2 == 0;
        const auto value = announceNew ? std::string{"new"} : token_;
        if (value.empty()) {
            begin();
        } else {
            ask("SET hyssoprock.session = '" + value + "'", &LoadSession::tokenSet);
        }
        return;
    }
    close();
    entry_ = (entry_ + 1) % settings_.entries.size();
    if (clockNow() >= connectDeadline_) {
        result_.error = error;
        result_.record.sentAt = clockNow();
        // Nothing was sent, so nothing may have run.
        finish(Outcome::NotRun);
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, reconnectDelay);
    timer->async_wait([self = shared_from_this(), timer](const boost::system::error_code &failed) {
        if (!failed && self->busy()) {
            self->connect();
        }
    });
}

void LoadSession::ask(const std::string &text, Handler handler)
{
    connection_->query(text, [self = shared_from_this(), handler](const Answer &answer) {
        (self.get()->*handler)(answer);
    });
}

void LoadSession::tokenSet(const Answer &answer)
{
    if (answer.broken || !answer.state.empty()) {
        result_.error = answer.state + " " + answer.message;
        token_.clear();
        result_.record.sentAt = clockNow();
        close();
        finish(Outcome::NotRun);
        return;
    }
    begin();
}

std::vector<std::string> LoadSession::transactionTexts() const
{
    std::vector<std::string> texts{"BEGIN"};
    for (const auto &row : result_.record.rows) {
        texts.push_back(insertStatement(settings_, row, false));
    }
    return texts;
}

void LoadSession::begin()
{
    const auto &step = result_.step;
    result_.record.sentAt = clockNow();
    switch (step.kind) {
    case RequestKind::Read:
        ask(readStatement(settings_, result_.record.readOf, step.aged), &LoadSession::answered);
        break;
    case RequestKind::Write:
        ask(insertStatement(settings_, result_.record.rows.front(), step.withRequestId),
            &LoadSession::answered);
        break;
    case RequestKind::Transaction:
        texts_ = transactionTexts();
        nextText_ = 0;
        ask(texts_[nextText_++], &LoadSession::transactionStep);
        break;
    }
}

void LoadSession::note(const Answer &answer)
{
    if (!answer.state.empty() || answer.broken) {
        result_.error = answer.state + " " + answer.message;
    }
}

void LoadSession::answered(const Answer &answer)
{
    note(answer);
    if (result_.record.kind == RequestKind::Read) {
        result_.record.rows = rowsOf(answer);
        result_.servedBy = connection_->parameter("hyssoprock.served_by");
    }
    finish(outcomeOf(answer));
}

void LoadSession::transactionStep(const Answer &answer)
{
    if (answer.broken || !answer.state.empty()) {
        note(answer);
        if (answer.broken) {
            // COMMIT was never sent, so the endpoint has to roll back.
            finish(Outcome::NotRun);
        } else {
            ask("ROLLBACK", &LoadSession::rolledBack);
        }
        return;
    }
    if (nextText_ < texts_.size()) {
        ask(texts_[nextText_++], &LoadSession::transactionStep);
    } else if (result_.step.rollBack) {
        ask("ROLLBACK", &LoadSession::rolledBack);
    } else {
        ask("COMMIT", &LoadSession::transactionEnded);
    }
}

void LoadSession::transactionEnded(const Answer &answer)
{
    note(answer);
    finish(outcomeOf(answer));
}

void LoadSession::rolledBack(const Answer &answer)
{
    if (answer.broken) {
        close();
    }
    finish(Outcome::NotRun);
}

void LoadSession::finish(Outcome outcome)
{
    auto &record = result_.record;
    record.answeredAt = clockNow();
    record.outcome = outcome;
    if (connection_) {
        if (auto token = connection_->parameter("hyssoprock.session"); !token.empty()) {
            token_ = std::move(token);
        }
        if (outcome == Outcome::Unknown || !result_.error.empty()) {
            // A broken connection is of no use, and a new one may reach a better host.
            close();
            entry_ = (entry_ + 1) % settings_.entries.size();
        }
    }
    const auto done = std::exchange(done_, nullptr);
    done(std::exchange(result_, {}));
}

} // namespace hyssoprock::load
