#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include <hyssoprock/limits/statement_queue.hpp>
#include <hyssoprock/pooling/pooler.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

constexpr Instant start{1h};
constexpr Duration openingTime = 12ms;

/// One Pooler with admission "fair" before one primary, of which it may use four connections, with
/// six teams and routes "0" to "2" named by priority.
class World
{
public:
    explicit World(bool withTeams = true)
        : pooler_{makeSettings(), 1, start}
    {
        auto document = std::make_shared<DeploymentDocument>();
        document->version = 1;
        for (std::uint32_t priority = 0; priority < 3; ++priority) {
            Route route;
            route.name = route.database = std::to_string(priority);
            route.service = "s";
            route.statementTimeout = 1s;
            route.priority = priority;
            document->routes.push_back(route);
        }
        document->services = {{"s", 4, 0}};
        if (withTeams) {
            for (const auto *name : {"flood", "quiet", "t1", "t2", "t3", "t4"}) {
                document->teams.push_back({name, {name}});
            }
        }
        EndpointRecord record;
        record.id = "e";
        record.service = "s";
        record.address = "127.0.0.1:1";
        record.dataCentre = "a";
        record.bornMs = record.sequence = 1;
        record.role = EndpointRole::Primary;
        record.slots = 4;
        give(pooler::DocumentChanged{std::move(document)});
        give(pooler::EndpointsChanged{{record}});
    }

    /// @brief Sends a write of a new caller.
    CallerId send(const std::string &team, const std::string &route = "0")
    {
        const auto caller = nextCaller_++;
        teams_[caller] = team;
        give(pooler::CallerConnected{caller, route, team});
        repeat(caller);
        return caller;
    }

    void repeat(CallerId caller)
    {
        Statement statement;
        statement.id = std::to_string(caller);
        statement.kind = StatementKind::Write;
        give(pooler::StatementReceived{caller, std::move(statement)});
    }

    void run(Duration time)
    {
        const auto end = now_ + time;
        while (true) {
            const auto tick = pooler_.nextDeadline();
            const auto event = events_.empty() ? end : std::min(end, events_.begin()->first);
            if (tick && *tick < event) {
                now_ = std::max(now_, *tick);
                give(pooler::Tick{});
            } else if (events_.empty() || events_.begin()->first > end) {
                now_ = end;
                return;
            } else {
                now_ = event;
                const auto next = std::move(events_.begin()->second);
                events_.erase(events_.begin());
                next();
            }
        }
    }

    void give(PoolerEvent event)
    {
        for (auto &action : pooler_.handle(std::move(event), now_)) {
            if (const auto *open = std::get_if<pooler::OpenConnection>(&action)) {
                ++openings_;
                if (accepts_) {
                    events_.emplace(now_ + openingTime, [this, id = open->connection]() {
                        give(pooler::ConnectionOpened{id});
                    });
                }
            } else if (const auto *sent = std::get_if<pooler::SendCommand>(&action)) {
                sent_.insert(sent->command.id);
                events_.emplace(now_ + work_, [this, id = sent->connection]() {
                    StatementAnswer answer;
                    answer.position = LogPosition{1, 1};
                    give(pooler::AnswerReceived{id, answer});
                });
            } else if (auto *answer = std::get_if<pooler::AnswerCaller>(&action)) {
                const auto caller = answer->caller;
                if (answer->answer.kind == AnswerKind::Success) {
                    ++served_[teams_.at(caller)];
                    if (repeats_) {
                        events_.emplace(now_, [this, caller]() { repeat(caller); });
                    }
                } else {
                    refused_[caller] = answer->answer;
                    cr_assert_not(sent_.contains(std::to_string(caller)),
                                  "a refused statement has not run");
                }
                answeredAt_[caller] = now_;
            }
        }
    }

    [[nodiscard]] std::size_t waitingCount() const
    {
        const auto usage = pooler_.usage();
        return usage.waiting.empty() ? 0 : usage.waiting.front().sessions;
    }

    static PoolerSettings makeSettings()
    {
        PoolerSettings settings{"h", Topology{"a"}};
        settings.admission = Admission::Fair;
        return settings;
    }

    Pooler pooler_;
    Instant now_ = start;
    bool accepts_ = true;  ///< Openings are accepted, otherwise never answered.
    bool repeats_ = false; ///< Each caller sends the next statement when one has succeeded.
    Duration work_ = 20ms; ///< Time for a statement.
    std::size_t openings_ = 0;
    std::set<std::string> sent_;                ///< Identifiers of statements.
    std::map<std::string, std::size_t> served_; ///< By team.
    std::map<CallerId, StatementAnswer> refused_;
    std::map<CallerId, Instant> answeredAt_;

private:
    std::multimap<Instant, std::function<void()>> events_;
    std::map<CallerId, std::string> teams_;
    CallerId nextCaller_ = 1;
};

} // namespace

// Guards against a team that keeps all connections of a host for as long as its statements wait.
Test(pooler_admission, aFloodingTeamLeavesConnectionsToOthers)
{
    World world;
    world.repeats_ = true;
    for (auto i = 0; i < 100; ++i) {
        world.send("flood");
    }
    world.run(300ms);
    const auto quiet = world.send("quiet");
    world.run(200ms);
    cr_assert(world.answeredAt_.contains(quiet));
    cr_assert_geq(world.served_["quiet"], 1U);
}

// Guards against teams that close each other's connections after every statement, where there are
// more teams than connections.
Test(pooler_admission, teamsDoNotCloseFreshConnectionsInTurn)
{
    World world;
    world.repeats_ = true;
    for (auto i = 0; i < 5; ++i) {
        for (const auto *team : {"flood", "quiet", "t1", "t2", "t3", "t4"}) {
            world.send(team);
        }
    }
    world.run(3s);
    // Four connections change their team at most once in 112 ms.
    cr_assert_leq(world.openings_, 4U * 3000 / 112 + 4, "%zu openings", world.openings_);
    cr_assert_eq(world.served_.size(), 6U);
    for (const auto &[team, served] : world.served_) {
        cr_assert_geq(served, 35U, "%s: %zu", team.c_str(), served);
    }
}

// Guards against statements of a low priority that are never served while others always wait.
Test(pooler_admission, aLowPriorityIsServedUnderLoad)
{
    World world{false};
    world.repeats_ = true;
    for (auto i = 0; i < 40; ++i) {
        world.send("");
    }
    world.run(300ms);
    const auto low = world.send("", "2");
    world.run(700ms);
    cr_assert(world.answeredAt_.contains(low));
    cr_assert(world.refused_.empty());
}

// Guards against a queue without a bound, and against a bound that locks out other teams.
Test(pooler_admission, theNewestStatementOfAFloodIsDisplaced)
{
    World world;
    world.accepts_ = false;
    for (std::size_t i = 0; i < StatementQueue::defaultCapacity; ++i) {
        world.send("flood");
    }
    cr_assert(world.refused_.empty());
    const auto excess = world.send("flood");
    cr_assert_eq(world.refused_.size(), 1U);
    cr_assert_eq(world.refused_.at(excess).text, "too many statements wait; retry after 900 ms");
    const auto quiet = world.send("quiet");
    cr_assert_eq(world.refused_.size(), 2U);
    cr_assert_eq(world.refused_.at(excess - 1).kind, AnswerKind::Busy);
    cr_assert_not(world.refused_.contains(quiet));
    cr_assert_eq(world.waitingCount(), StatementQueue::defaultCapacity);
}

// Guards against statements that wait until their deadline although it is known that they cannot
// start before it.
Test(pooler_admission, refusesAtOnceWhatCannotStartInTime)
{
    World world{false};
    world.work_ = 100ms;
    for (auto i = 0; i < 60; ++i) {
        world.send("");
    }
    world.run(650ms);
    cr_assert_gt(world.waitingCount(), 20U);
    cr_assert(world.refused_.empty());
    const auto sentAt = world.now_;
    std::vector<CallerId> late;
    for (auto i = 0; i < 60; ++i) {
        late.push_back(world.send(""));
    }
    const auto &last = world.refused_.at(late.back());
    cr_assert_eq(last.kind, AnswerKind::Busy);
    cr_assert(last.text.starts_with("the wait for a connection would exceed the deadline; retry"));
    cr_assert_eq(world.answeredAt_.at(late.back()), sentAt);
    cr_assert_not(world.refused_.contains(late.front()));
    world.run(2s);
    cr_assert_eq(world.waitingCount(), 0U);
}

// Guards against running a statement whose caller has disconnected while it waited.
Test(pooler_admission, aDisconnectEndsTheWait)
{
    World world;
    const auto leaving = world.send("flood");
    const auto staying = world.send("flood");
    world.give(pooler::CallerDisconnected{leaving});
    cr_assert_eq(world.waitingCount(), 1U);
    world.run(1s);
    cr_assert_not(world.sent_.contains(std::to_string(leaving)));
    cr_assert(world.answeredAt_.contains(staying));
}
