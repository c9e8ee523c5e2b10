#include "entry_caller.hpp"

#include <algorithm>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/sql/command_tag.hpp>
#include <hyssoprock/sql/postgres_caller_dialect.hpp>

namespace hyssoprock::random_runs {

namespace {

constexpr const char *kindName = "order";

std::string insert(const std::string &key)
{
    return "INSERT INTO record (key) VALUES ('" + key + "')";
}

} // namespace

EntryCaller::EntryCaller(EntryWorld &world, History &history, std::string name)
    : world_{world}
    , history_{history}
    , name_{std::move(name)}
{}

void EntryCaller::start()
{
    connect("new");
    world_.scheduler.after(1000, [this] { nextUnit(); });
}

void EntryCaller::connect(const std::string &session)
{
    host_ = world_.hosts[world_.random.below(world_.hosts.size())].get();
    session_ = world_.open(*host_, *this, session);
}

void EntryCaller::nextUnit()
{
    if (stopped_ || session_ == 0) {
        return;
    }
    if (world_.random.chance(12)) {
        roam();
    }
    planUnit();
    runStep();
}

/// Moves to another host, with or without the token, sometimes with work in flight.
void EntryCaller::roam()
{
    const bool withToken = world_.random.chance(60) && !token_.empty();
    ++world_.report.events[withToken ? "roamed with token" : "roamed without token"];
    world_.deliver(*host_, session_, CallerDisconnected{});
    host_->sessions.erase(session_);
    connect(withToken ? token_ : std::string{});
}

void EntryCaller::closed()
{
    // The host is leaving. A statement that was sent at the same moment has not been run.
    check(openKeys_.empty() || (running_ && running_->keys == openKeys_),
          "a host leaves between requests and outside transactions only");
    ++world_.report.events["moved off a leaving host"];
    giveUp(WriteState::NotRun);
    connect(token_);
    ++chain_;
    nextUnit();
}

void EntryCaller::planUnit()
{
    const auto choice = world_.random.below(100);
    if (choice < 30) {
        planWrite();
    } else if (choice < 45) {
        planTransaction();
    } else if (choice < 52) {
        planReplicaTransaction();
    } else {
        steps_.push_back(readStep(choice > 90));
    }
}

void EntryCaller::planWrite()
{
    const auto key = name_ + "-" + std::to_string(nextKey_++);
    std::string attributes = "kind='order',writes_version='1'";
    if (world_.random.chance(50)) {
        attributes += ",request_id='" + key + "'";
    }
    history_.writes[key];
    steps_.push_back({"/*" + attributes + "*/ " + insert(key), {key}});
}

void EntryCaller::planTransaction()
{
    const auto first = name_ + "-" + std::to_string(nextKey_++);
    const auto second = name_ + "-" + std::to_string(nextKey_++);
    history_.writes[first];
    history_.writes[second];
    const bool withId = world_.random.chance(50);
    steps_.push_back({withId ? "/*request_id='" + first + "'*/ BEGIN" : "BEGIN"});
    steps_.push_back({insert(first), {first}});
    if (world_.random.chance(30)) {
        steps_.push_back(readStep(true));
    }
    steps_.push_back({insert(second), {second}});
    steps_.push_back({world_.random.chance(85) ? "COMMIT" : "ROLLBACK"});
}

void EntryCaller::planReplicaTransaction()
{
    steps_.push_back({"/*class='read',kind='order',understands='1'*/ BEGIN"});
    steps_.push_back(readStep(false));
    steps_.push_back(readStep(false));
    steps_.push_back({"COMMIT"});
}

EntryCaller::Step EntryCaller::readStep(bool unmarked)
{
    Step step;
    step.read = true;
    step.nonce = name_ + "?" + std::to_string(world_.random.next() % 100000);
    const auto select = "SELECT * FROM record WHERE nonce = '" + step.nonce + "'";
    if (unmarked) {
        step.sql = select;
        step.understands = {"1", "2"};
        return step;
    }
    const auto choice = world_.random.below(3);
    step.understands = choice == 0   ? std::vector<std::string>{"1"}
                       : choice == 1 ? std::vector<std::string>{"2"}
                                     : std::vector<std::string>{"1", "2"};
    const auto rules = world_.control.configuration.rules;
    const auto allowanceMs = 10 + static_cast<Scheduler::Time>(world_.random.below(60));
    std::string versions = step.understands.front();
    if (step.understands.size() == 2) {
        versions += "," + step.understands.back();
    }
    step.allowance = allowanceMs * 1000;
    step.sql = "/*class='read',kind='" + std::string{kindName} + "',max_age_ms='"
               + std::to_string(allowanceMs) + "',understands='" + versions + "'*/ " + select;
    return step;
}

void EntryCaller::runStep()
{
    if (steps_.empty()) {
        const auto pause = static_cast<Scheduler::Time>(world_.random.below(20'000));
        world_.scheduler.after(pause, [this, chain = chain_] {
            if (chain == chain_) {
                nextUnit();
            }
        });
        return;
    }
    running_ = steps_.front();
    steps_.pop_front();
    startedAt_ = world_.scheduler.now();
    for (const auto &key : running_->keys) {
        openKeys_.push_back(key);
    }
    const auto session = session_;
    world_.deliver(*host_, session_, sql::PostgresCallerDialect{}.translate(running_->sql));
    if (world_.random.chance(2)) {
        world_.scheduler.after(static_cast<Scheduler::Time>(world_.random.below(15'000)),
                               [this, session] {
                                   if (session_ == session && running_) {
                                       abandon();
                                   }
                               });
    } else if (world_.random.chance(2)) {
        ++world_.report.faults["cancelled by the caller"];
        world_.scheduler.after(
            static_cast<Scheduler::Time>(world_.random.below(10'000)),
            [this, session] { world_.deliver(*host_, session, CallerCancelled{}); });
    }
}

/// The caller's connection ends while a request is in flight.
void EntryCaller::abandon()
{
    ++world_.report.faults["caller gone with a request in flight"];
    // Without a COMMIT the transaction is rolled back; nobody has told the caller so.
    giveUp(steps_.empty() ? WriteState::Unknown : WriteState::NotRun);
    roam();
    runStep();
}

/// Forgets the rest of a unit of work.
void EntryCaller::giveUp(WriteState open)
{
    for (const auto &key : openKeys_) {
        history_.writes[key].state = open;
    }
    for (const auto &step : steps_) {
        for (const auto &key : step.keys) {
            history_.writes[key].state = WriteState::NotRun;
        }
    }
    steps_.clear();
    running_.reset();
    openKeys_.clear();
}

void EntryCaller::settleWrites(const AnswerCaller &answer, const Step &step)
{
    if (openKeys_.empty()) {
        return;
    }
    auto state = WriteState::Pending;
    if (answer.error) {
        const auto kind = answer.error->kind;
        const bool notRun = kind == ErrorKind::None || describe(kind).notRun;
        state = notRun ? WriteState::NotRun : WriteState::Unknown;
        ++world_.report.events[notRun ? "write not run" : "write unknown"];
    } else if (answer.status == TransactionState::Idle) {
        const bool rolledBack =
            !answer.results.empty() && sql::commandTag(answer.results.back()) == "ROLLBACK";
        state = rolledBack ? WriteState::NotRun : WriteState::Acknowledged;
        ++world_.report.events[rolledBack ? "transaction rolled back" : "write acknowledged"];
    }
    if (state == WriteState::Pending) {
        return;
    }
    for (const auto &key : openKeys_) {
        auto &write = history_.writes[key];
        check(write.state == WriteState::Pending, "a write has one outcome");
        write.state = state;
        write.acknowledgedAt = world_.scheduler.now();
        if (state == WriteState::Acknowledged) {
            seen_.insert(key);
        }
    }
    check(step.sql.find("INSERT") != std::string::npos || state != WriteState::Pending,
          "an outcome is told");
    openKeys_.clear();
}

void EntryCaller::checkRead(const AnswerCaller &answer, const Step &step)
{
    if (answer.error) {
        ++world_.report.events["read refused: "
                               + std::string{answer.error->kind == ErrorKind::None
                                                 ? std::string_view{answer.error->state}
                                                 : toString(answer.error->kind)}];
        return;
    }
    check(answer.results.size() == 1, "a read has one result");
    const auto &result = answer.results.front();
    check(result.tag == "SELECT", "a read gets the result of a read");
    ReadRecord record{{}, startedAt_, world_.scheduler.now(), step.allowance, !step.allowance};

    for (const auto &row : result.rows) {
        record.keys.insert(*row[0]);
        check(*row[1] == step.nonce, "an answer belongs to its own request");
        record.fromPrimary = *row[3] == "primary";
        check(std::find(step.understands.begin(), step.understands.end(), *row[2])
                  != step.understands.end(),
              "an answer holds only versions that the caller understands");
    }
    for (const auto &key : seen_) {
        check(record.keys.contains(key), "a session reads its writes and never goes back");
    }
    seen_.insert(record.keys.begin(), record.keys.end());
    check(record.fromPrimary || record.allowance, "a replica serves marked reads only");
    ++world_.report.events[record.fromPrimary ? "read from primary" : "read from replica"];

    history_.reads.push_back(std::move(record));
}

void EntryCaller::answered(const AnswerCaller &answer)
{
    check(running_.has_value(), "each statement is answered once");
    const auto step = *running_;
    running_.reset();
    settleWrites(answer, step);
    if (step.read) {
        checkRead(answer, step);
    }
    if (answer.error) {
        giveUp(WriteState::NotRun);
        if (answer.status != TransactionState::Idle) {
            steps_.push_back({"ROLLBACK"});
        }
    }
    runStep();
}

void History::checkAgainst(const FakeGroup & /*group*/, const FakeNode &primary) const
{
    std::map<std::string, int> copies;
    std::map<std::string, Scheduler::Time> committedAt;
    for (const auto &entry : primary.log) {
        for (const auto &row : entry.rows) {
            if (row.table == "record" && row.version == 1) {
                ++copies[row.key];
                committedAt.emplace(row.key, entry.committedAt);
            }
        }
    }
    for (const auto &[key, write] : writes) {
        check(copies[key] <= 1, "a request that is not repeatable runs at most once");
        check(write.state != WriteState::Acknowledged || copies[key] == 1,
              "no acknowledged write is lost");
        check(write.state != WriteState::NotRun || copies[key] == 0, "\"not run\" is true");
    }
    for (const auto &read : reads) {
        for (const auto &key : read.keys) {
            check(copies[key] == 1, "no caller sees a value that a failover removes");
        }
        for (const auto &[key, time] : committedAt) {
            // A primary's answer is as recent as the request; a replica's has the allowed age when
            // it is delivered, on a clock that may be off by the drift bound.
            const bool expected = read.fromPrimary
                                      ? time <= read.startedAt
                                      : time <= read.deliveredAt - *read.allowance * 101 / 100;
            if (expected && !read.keys.contains(key)) {
                std::fprintf(
                    stderr,
                    "key %s committed %ld start %ld delivered %ld allowance %ld n %zu acked %ld\n",
                    key.c_str(), time, read.startedAt, read.deliveredAt,
                    read.allowance.value_or(-1), read.keys.size(), writes.at(key).acknowledgedAt);
            }
            check(!expected || read.keys.contains(key), "the age of data is within the allowance");
        }
    }
}

} // namespace hyssoprock::random_runs
