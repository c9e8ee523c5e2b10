#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/pooling/pooler.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t hostCount = 27;
constexpr std::uint32_t connectionsMax = 46;
constexpr std::size_t slotCount = 4;
constexpr std::size_t sessionsPerHost = 18;
constexpr Duration openingTime = 12ms;
/// A statement that would wait longer for a slot is refused.
constexpr Duration longestQueue = 20ms;
constexpr Duration networkDelay = 2ms;
constexpr Instant start{1h};
/// The hosts return a second after the loss of power.
constexpr Instant deadUntil = start + 2s;

/// What the hosts saw in the four seconds after their return.
struct Outcome
{
    std::size_t refusedOpenings = 0;
    std::size_t refusedStatements = 0; // By endpoints.
    std::size_t refusedCallers = 0;    // Statements that callers were told to repeat.
    std::size_t served = 0;
    Duration firstServedMedian{};
    Duration firstServedMax{};
};

/// One service of customer 2 after a loss of all power: entry hosts, three endpoints that still
/// hold dead connections, and callers that reconnect.
class RecoveryModel
{
public:
    RecoveryModel(Admission admission, std::uint64_t seed, std::size_t deadConnections)
        : random_{seed}
        , dead_{deadConnections}
    {
        auto document = std::make_shared<DeploymentDocument>();
        document->version = 1;
        for (std::uint32_t priority = 0; priority < 3; ++priority) {
            Route route;
            route.name = route.database = std::to_string(priority);
            route.service = "s";
            route.readConsistency = priority == 0   ? ReadConsistency::Primary
                                    : priority == 1 ? ReadConsistency::BoundedStaleness
                                                    : ReadConsistency::ReadOwnWrites;
            route.statementTimeout = 800ms;
            route.targetLatency = 500ms;
            route.staleness = 1500ms;
            route.priority = priority;
            document->routes.push_back(route);
        }
        document->services = {{"s", connectionsMax, 0}};
        std::vector<EndpointRecord> records(endpoints_.size());
        for (std::size_t i = 0; i < records.size(); ++i) {
            records[i].id = "e" + std::to_string(i);
            records[i].service = "s";
            records[i].address = "127.0.0.1:1";
            records[i].dataCentre = std::string(1, static_cast<char>('a' + i));
            records[i].bornMs = records[i].sequence = 1;
            records[i].role = i == 0 ? EndpointRole::Primary : EndpointRole::Replica;
            records[i].slots = slotCount;
        }
        for (std::size_t i = 0; i < hostCount; ++i) {
            PoolerSettings settings{{}, Topology{std::string(1, static_cast<char>('a' + i % 3))}};
            settings.host = "h" + std::to_string(i);
            settings.admission = admission;
            hosts_.push_back({std::make_unique<Pooler>(settings, random_.next(), start), {}, {}});
            at(start + random_.between(0ms, 100ms), [=, this]() {
                give(i, pooler::DocumentChanged{document});
                give(i, pooler::EntryHostsChanged{hostCount});
                give(i, pooler::EndpointsChanged{records});
                give(i, pooler::PrimaryChanged{{"s", "e0", 1}});
            });
            for (CallerId caller = 1; caller <= sessionsPerHost; ++caller) {
                at(start + random_.between(100ms, 1100ms), [=, this]() {
                    give(i, pooler::CallerConnected{
                                caller, std::to_string(std::min<CallerId>(caller / 4, 2)), "u"});
                    say(i, caller);
                });
            }
        }
    }

    Outcome run()
    {
        // Control hosts have a leader after half a second, and report positions from then on.
        for (auto when = start + 500ms; when < start + 4s; when += 400ms) {
            for (std::size_t i = 0; i < hostCount; ++i) {
                at(when, [=, this]() {
                    give(i, pooler::PositionsReceived{{{"s", "e0", {1, 1}, now_}}});
                });
            }
        }
        while (!events_.empty() && events_.begin()->first < start + 4s) {
            now_ = events_.begin()->first;
            const auto event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            event();
        }
        std::vector<Duration> firsts;
        for (const auto &host : hosts_) {
            firsts.push_back(host.firstServedAt.value_or(now_) - start);
        }
        std::sort(firsts.begin(), firsts.end());
        outcome_.firstServedMedian = firsts[firsts.size() / 2];
        outcome_.firstServedMax = firsts.back();
        return outcome_;
    }

private:
    struct Endpoint
    {
        std::vector<Instant> freeAt = std::vector<Instant>(slotCount);
        std::set<std::pair<std::size_t, ConnectionId>> open;
    };
    struct Host
    {
        std::unique_ptr<Pooler> pooler;
        std::map<ConnectionId, std::pair<std::size_t, bool>> connections; // And in transaction.
        std::optional<Instant> firstServedAt;
        std::optional<Instant> tickAt{};
    };

    void at(Instant when, std::function<void()> event) { events_.emplace(when, std::move(event)); }

    void give(std::size_t host, PoolerEvent event)
    {
        for (const auto &action : hosts_[host].pooler->handle(std::move(event), now_)) {
            if (const auto *open = std::get_if<pooler::OpenConnection>(&action)) {
                const auto endpoint = static_cast<std::size_t>(open->endpoint.back() - '0');
                hosts_[host].connections[open->connection] = {endpoint, false};
                at(now_ + networkDelay,
                   [=, this, id = open->connection]() { beginOpening(host, id, endpoint); });
            } else if (const auto *send = std::get_if<pooler::SendCommand>(&action)) {
                at(now_ + networkDelay, [=, this, command = *send]() { execute(host, command); });
            } else if (const auto *close = std::get_if<pooler::CloseConnection>(&action)) {
                at(now_ + networkDelay, [=, this, id = close->connection]() { end(host, id); });
            } else if (const auto *answer = std::get_if<pooler::AnswerCaller>(&action)) {
                const auto served = answer->answer.kind == AnswerKind::Success;
                auto &first = hosts_[host].firstServedAt;
                first = first || !served ? first : now_;
                ++(served ? outcome_.served : outcome_.refusedCallers);
                at(now_ + (served ? random_.between(1500ms, 4500ms) : Duration{100ms}),
                   [=, this, caller = answer->caller]() { say(host, caller); });
            }
        }
        auto &tickAt = hosts_[host].tickAt;
        const auto next = hosts_[host].pooler->nextDeadline();
        if (next && (!tickAt || *next < *tickAt)) {
            tickAt = std::max(*next, now_);
            at(*tickAt, [=, this]() {
                hosts_[host].tickAt.reset();
                give(host, pooler::Tick{});
            });
        }
    }

    void say(std::size_t host, CallerId caller)
    {
        Statement statement;
        statement.id = std::to_string(host) + "-" + std::to_string(caller);
        statement.kind = caller % 4 == 1 ? StatementKind::Write : StatementKind::Read;
        give(host, pooler::StatementReceived{caller, std::move(statement)});
    }

    /// An opening waits for a slot and occupies it, also if it is refused.
    void beginOpening(std::size_t host, ConnectionId id, std::size_t endpoint)
    {
        auto &slot = *std::ranges::min_element(endpoints_[endpoint].freeAt);
        slot = std::max(slot, now_) + openingTime;
        at(slot, [=, this]() {
            auto &open = endpoints_[endpoint].open;
            if (!hosts_[host].connections.contains(id)) {
                return;
            }
            const auto refused = open.size() + (now_ < deadUntil ? dead_ : 0) >= connectionsMax;
            outcome_.refusedOpenings += refused ? 1 : 0;
            if (!refused) {
                open.emplace(host, id);
            }
            at(now_ + networkDelay, [=, this]() {
                if (refused) {
                    give(host, pooler::ConnectionEnded{id, ConnectionFailure::TooManyConnections});
                } else {
                    give(host, pooler::ConnectionOpened{id});
                }
            });
        });
    }

    void end(std::size_t host, ConnectionId id)
    {
        const auto found = hosts_[host].connections.find(id);
        if (found != hosts_[host].connections.end()) {
            endpoints_[found->second.first].open.erase({host, id});
            hosts_[host].connections.erase(found);
        }
    }

    void execute(std::size_t host, const pooler::SendCommand &sent)
    {
        const auto found = hosts_[host].connections.find(sent.connection);
        if (found == hosts_[host].connections.end()) {
            return;
        }
        auto &[endpoint, inTransaction] = found->second;
        StatementAnswer answer;
        answer.position = LogPosition{1, 1};
        auto done = now_;
        const auto kind = sent.command.kind;
        if (kind == EndpointCommandKind::Begin || kind == EndpointCommandKind::BeginReadOnly) {
            inTransaction = true;
        } else if (kind == EndpointCommandKind::Rollback) {
            inTransaction = false;
        } else if (kind == EndpointCommandKind::Forward) {
            auto &slot = *std::ranges::min_element(endpoints_[endpoint].freeAt);
            if (slot > now_ + longestQueue) {
                answer.kind = AnswerKind::Busy;
                ++outcome_.refusedStatements;
            } else {
                done = slot = std::max(slot, now_) + random_.between(4ms, 19ms);
            }
        }
        answer.state = inTransaction ? TransactionState::Open : TransactionState::Idle;
        at(done + networkDelay, [=, this, id = sent.connection]() {
            if (hosts_[host].connections.contains(id)) {
                give(host, pooler::AnswerReceived{id, answer});
            }
        });
    }

    RandomSource random_;
    std::size_t dead_;
    Instant now_ = start;
    std::multimap<Instant, std::function<void()>> events_;
    std::vector<Endpoint> endpoints_ = std::vector<Endpoint>(3);
    std::vector<Host> hosts_;
    Outcome outcome_;
};

Outcome sumOver(Admission admission, std::size_t deadConnections)
{
    Outcome sum;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const auto one = RecoveryModel{admission, seed, deadConnections}.run();
        sum.refusedOpenings += one.refusedOpenings;
        sum.refusedStatements += one.refusedStatements;
        sum.refusedCallers += one.refusedCallers;
        sum.served += one.served;
        sum.firstServedMedian += one.firstServedMedian / 5;
        sum.firstServedMax += one.firstServedMax / 5;
    }
    cr_log_info("%s, %zu dead: refused openings %zu, statements %zu, callers %zu; served %zu; "
                "first served after %lld ms (median), %lld ms (max)",
                admission == Admission::Fair ? "fair" : "priority", deadConnections,
                sum.refusedOpenings, sum.refusedStatements, sum.refusedCallers, sum.served,
                static_cast<long long>(toMilliseconds(sum.firstServedMedian)),
                static_cast<long long>(toMilliseconds(sum.firstServedMax)));
    return sum;
}

} // namespace

// Guards against hosts that return together and occupy the slots of endpoints with openings: those
// that are refused, and those that replace connections closed while statements waited.
Test(recovery_model, hostsThatReturnTogetherPaceTheirOpenings)
{
    for (const std::size_t dead : {0U, 20U, 30U, 43U}) {
        const auto before = sumOver(Admission::Priority, dead);
        const auto after = sumOver(Admission::Fair, dead);
        cr_assert_leq(after.refusedOpenings, before.refusedOpenings * (dead == 0 ? 4 : 3) / 4);
        cr_assert_geq(after.served, before.served * 13 / 10);
        cr_assert_lt(after.refusedCallers, before.refusedCallers);
        cr_assert_leq(after.firstServedMedian, before.firstServedMedian);
        cr_assert_leq(after.firstServedMax, before.firstServedMax);
    }
}
