#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <hyssoprock/request/host_tables.hpp>
#include <hyssoprock/request/session_machine.hpp>
#include <hyssoprock/sql/postgres_caller_dialect.hpp>

#include "../test/random_runs/fake_group.hpp"

/// @file
/// @brief Compares the routing policies in simulated time: `benchmark_routing_policies [SEED]`.
///
/// One entry host in data centre a; the primary in b and a replica in c have a one-way
/// delay of 3 ms, a replica in a one of 0.3 ms. Sessions read with a maximum age of the data; some
/// of them also write. The replication lag varies by 30% around a multiple of the maximum age.

namespace {

using namespace hyssoprock;
using random_runs::Scheduler;
using Time = Scheduler::Time;

constexpr Time maxAgeUs = 200'000;
constexpr Time meanThinkTimeUs = 50'000;
constexpr Time executionTimeUs = 1000;
constexpr Time simulatedTimeUs = 30'000'000;
constexpr std::size_t sessionCount = 60;
constexpr std::size_t writingSessionCount = 12;
constexpr std::uint64_t writePercent = 20;
constexpr Time lagUpdateIntervalUs = 5000;
const std::vector<std::string> endpointNames{"ep-1", "ep-2", "ep-3"};

struct Case
{
    std::string policy;
    Time wait;
    double lagFactor;
};

struct Metrics
{
    std::uint64_t reads = 0;
    std::uint64_t fromReplica = 0;
    std::uint64_t possible = 0;
    std::uint64_t possibleFromReplica = 0;
    std::uint64_t discarded = 0;
    std::uint64_t refused = 0;
    std::vector<Time> added;
    Time primaryBusy = 0;
    std::uint64_t primaryConnectionsMax = 0;
};

/// The log of the primary, and replicas that apply it with a varying lag.
class Replication
{
public:
    Replication(Scheduler &scheduler, RandomSource &random, double lagFactor)
        : scheduler_{scheduler}
        , random_{random}
        , meanLagUs_{static_cast<Time>(static_cast<double>(maxAgeUs) * lagFactor)}
        , lag_{0, meanLagUs_, meanLagUs_}
        , applied_(endpointNames.size(), 0)
    {
        advance();
    }

    void write() { commits_.push_back(scheduler_.now()); }

    [[nodiscard]] std::uint64_t index(std::size_t node) const
    {
        return node == 0 ? commits_.size() : indexAt(appliedAt(node));
    }

    [[nodiscard]] EndpointReport report(std::size_t node) const
    {
        const auto newestAppliedAt = std::max(appliedAt(1), appliedAt(2));
        const auto acknowledged = indexAt(newestAppliedAt - 3000);
        const auto majorityIndex =
            node == 0 ? acknowledged : std::min(index(node), indexAt(appliedAt(node) - 6000));
        return {{1, index(node)},
                majorityIndex,
                node == 0 ? EndpointRole::Primary : EndpointRole::Replica};
    }

    [[nodiscard]] Time appliedAt(std::size_t node) const
    {
        return std::max(applied_[node], scheduler_.now() - lag_[node]);
    }

private:
    [[nodiscard]] std::uint64_t indexAt(Time time) const
    {
        return static_cast<std::uint64_t>(std::upper_bound(commits_.begin(), commits_.end(), time)
                                          - commits_.begin());
    }

    void advance()
    {
        for (std::size_t node = 1; node < endpointNames.size(); ++node) {
            applied_[node] = appliedAt(node);
            const auto step = random_.between(Duration{0}, Duration{meanLagUs_ / 10}).count();
            lag_[node] = std::clamp(lag_[node] + step - meanLagUs_ / 20, meanLagUs_ * 7 / 10,
                                    meanLagUs_ * 13 / 10);
        }
        scheduler_.after(lagUpdateIntervalUs, [this] { advance(); });
    }

    Scheduler &scheduler_;
    RandomSource &random_;
    Time meanLagUs_;
    std::vector<Time> lag_;
    std::vector<Time> applied_;
    std::vector<Time> commits_;
};

class Simulation
{
public:
    Simulation(const Case &setting, std::uint64_t seed)
        : random_{seed}
        , replication_{scheduler_, random_, setting.lagFactor}
        , host_{{setting.policy, "dc-a", Duration{setting.wait}}, 10, Duration{5000}, seed}
        , sessions_(sessionCount)
    {
        setUpViews();
        for (std::size_t i = 0; i < sessionCount; ++i) {
            sessions_[i].machine = std::make_unique<SessionMachine>(
                SessionMachineSettings{}, i, "orders", host_, tokens_, random_.next());
            if (!sessions_[i].machine->applyStartupOption("session", "new").has_value()) {
                std::abort();
            }
            scheduler_.after(sampleThinkTimeUs(), [this, i] { issueStatement(i); });
        }
        scheduler_.after(1, [this] { poll(); });
    }

    Metrics run()
    {
        scheduler_.runUntil(simulatedTimeUs);
        return metrics_;
    }

private:
    struct Session
    {
        std::unique_ptr<SessionMachine> machine;
        bool read = false;
        bool possible = false;
        bool lastFromReplica = false;
        Time started = 0;
        std::map<std::uint64_t, std::size_t> acquired;
        std::map<std::uint64_t, std::pair<std::size_t, Time>> connections;
    };

    [[nodiscard]] Instant clock() const { return Instant{Duration{scheduler_.now()}}; }

    [[nodiscard]] Time sampleThinkTimeUs()
    {
        const auto uniform = (static_cast<double>(random_.below(1'000'000)) + 1.0) / 1'000'001.0;
        return static_cast<Time>(-std::log(uniform) * static_cast<double>(meanThinkTimeUs));
    }

    [[nodiscard]] static Time oneWayDelayUs(std::size_t node) { return node == 1 ? 300 : 3000; }

    void setUpViews()
    {
        GroupView view;
        view.group = "orders";
        view.term = 1;
        view.primary = endpointNames[0];
        view.state = GroupState::Active;
        view.version = 1;
        const std::vector<std::string> centres{"dc-b", "dc-a", "dc-c"};
        for (std::size_t i = 0; i < endpointNames.size(); ++i) {
            Member member;
            member.announcement.endpoint = endpointNames[i];
            member.announcement.dataCentre = centres[i];
            view.members.push_back(member);
        }
        RecordKindRule rule;
        rule.group = "orders";
        rule.kind = "order";
        rule.maxAgeMs = static_cast<std::uint64_t>(maxAgeUs / 1000);
        rule.replicasAllowed = true;
        HostRenewResponse response;
        response.sequence = 1;
        response.leaseMs = 1'000'000;
        response.viewVersion = 1;
        response.views = {view};
        response.configuration = Configuration{};
        response.configuration->revision = 1;
        response.configuration->rules = {rule};
        host_.views.recordRenewalSent(1, clock());
        host_.views.apply(response);
    }

    void issueStatement(std::size_t i)
    {
        auto &session = sessions_[i];
        session.read = i >= writingSessionCount || !random_.chance(writePercent);
        session.started = scheduler_.now();
        const auto floor = session.machine->floor().lowerBound("orders");
        session.possible = false;
        for (const std::size_t node : {1U, 2U}) {
            const bool recent = scheduler_.now() - replication_.appliedAt(node) <= maxAgeUs;
            session.possible =
                session.possible || (recent && replication_.index(node) >= floor.index);
        }
        handle(i, sql::PostgresCallerDialect{}.translate(
                      session.read ? "/*class='read',kind='order'*/ SELECT a FROM t"
                                   : "INSERT INTO t (a) VALUES ('1')"));
    }

    void handle(std::size_t i, const SessionEvent &event)
    {
        auto &session = sessions_[i];
        for (const auto &action : session.machine->handle(event, clock())) {
            if (const auto *request = std::get_if<AcquireConnection>(&action)) {
                acquire(i, *request);
            } else if (const auto *query = std::get_if<SendCommand>(&action)) {
                send(i, *query);
            } else if (const auto *released = std::get_if<ReleaseConnection>(&action)) {
                release(session, *released);
            } else if (const auto *line = std::get_if<LogLine>(&action)) {
                metrics_.discarded += line->text.find("discarded") != std::string::npos ? 1 : 0;
            } else if (const auto *answer = std::get_if<AnswerCaller>(&action)) {
                record(session, answer->error.has_value());
                scheduler_.after(sampleThinkTimeUs(), [this, i] { issueStatement(i); });
            }
        }
        if (const auto deadline = session.machine->nextDeadline()) {
            const auto wait = std::max<Time>((*deadline - clock()).count(), 1);
            if (wait <= 25'000) {
                scheduler_.after(wait, [this, i, deadline = *deadline] {
                    if (sessions_[i].machine->nextDeadline() == deadline) {
                        handle(i, Tick{});
                    }
                });
            }
        }
        resolve();
    }

    void acquire(std::size_t i, const AcquireConnection &request)
    {
        const auto node = static_cast<std::size_t>(
            std::find(endpointNames.begin(), endpointNames.end(), request.endpoint)
            - endpointNames.begin());
        const auto connection = ++lastConnectionId_;
        sessions_[i].connections[connection] = {node, scheduler_.now()};
        sessions_[i].lastFromReplica = node != 0;
        if (node == 0) {
            metrics_.primaryConnectionsMax =
                std::max(metrics_.primaryConnectionsMax, ++primaryConnectionCount_);
        }
        scheduler_.after(1, [this, i, id = request.acquire, connection] {
            handle(i, ConnectionGranted{id, ConnectionId{connection}, {}});
        });
    }

    void release(Session &session, const ReleaseConnection &released)
    {
        const auto found =
            session.connections.find(static_cast<std::uint64_t>(released.connection));
        if (found->second.first == 0) {
            metrics_.primaryBusy += scheduler_.now() - found->second.second;
            --primaryConnectionCount_;
        }
        session.connections.erase(found);
    }

    void send(std::size_t i, const SendCommand &query)
    {
        const auto node =
            sessions_[i].connections.at(static_cast<std::uint64_t>(query.connection)).first;
        const bool read = sessions_[i].read;
        scheduler_.after(oneWayDelayUs(node) + executionTimeUs, [this, i, node, read, query] {
            StatementResult result;
            if (read) {
                result.columns = {ResultColumn{"a"}};
                result.tag = "SELECT 0";
            } else {
                replication_.write();
                result.tag = "INSERT 0 1";
            }
            EndpointAnswer answer{
                query.connection,         query.send, {result}, {}, TransactionState::Idle,
                replication_.report(node)};
            scheduler_.after(oneWayDelayUs(node), [this, i, answer] { handle(i, answer); });
        });
    }

    void record(const Session &session, bool error)
    {
        if (!session.read) {
            return;
        }
        ++metrics_.reads;
        metrics_.refused += error ? 1 : 0;
        const bool replica = session.lastFromReplica && !error;
        metrics_.fromReplica += replica ? 1 : 0;
        metrics_.possible += session.possible ? 1 : 0;
        metrics_.possibleFromReplica += session.possible && replica ? 1 : 0;
        const auto direct = 2 * oneWayDelayUs(1) + executionTimeUs;
        metrics_.added.push_back(scheduler_.now() - session.started - direct);
    }

    void resolve()
    {
        for (const auto &resolved : host_.acks.takeResolved(host_.views, clock())) {
            scheduler_.after(
                1, [this, resolved] { handle(resolved.session, AckResolved{resolved.request}); });
        }
    }

    void poll()
    {
        if (!host_.takePolls(clock()).empty()) {
            const auto sent = clock();
            scheduler_.after(oneWayDelayUs(0), [this, sent] {
                const auto report = replication_.report(0);
                scheduler_.after(oneWayDelayUs(0), [this, sent, report] {
                    host_.recordReport("orders", endpointNames[0], report, sent, true, clock());
                    resolve();
                });
            });
        }
        resolve();
        scheduler_.after(1000, [this] { poll(); });
    }

    Scheduler scheduler_;
    RandomSource random_;
    Replication replication_;
    HostTables host_;
    TokenCodec tokens_{"a secret of the benchmark"};
    std::vector<Session> sessions_;
    Metrics metrics_;
    std::uint64_t lastConnectionId_ = 0;
    std::uint64_t primaryConnectionCount_ = 0;
};

double percent(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0.0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

void print(const Case &setting, Metrics metrics)
{
    std::sort(metrics.added.begin(), metrics.added.end());
    double sum = 0;
    for (const auto added : metrics.added) {
        sum += static_cast<double>(added);
    }
    const auto count = metrics.added.size();
    std::printf(
        "%5.2f  %-14s %5lld  %7llu  %8.1f  %10.1f  %9llu  %7llu  %7.1f  %7.1f  %8.2f  %4llu\n",
        setting.lagFactor, setting.policy.c_str(), static_cast<long long>(setting.wait / 1000),
        static_cast<unsigned long long>(metrics.reads), percent(metrics.fromReplica, metrics.reads),
        percent(metrics.possibleFromReplica, metrics.possible),
        static_cast<unsigned long long>(metrics.discarded),
        static_cast<unsigned long long>(metrics.refused), sum / static_cast<double>(count) / 1000.0,
        static_cast<double>(metrics.added[count * 99 / 100]) / 1000.0,
        static_cast<double>(metrics.primaryBusy) / static_cast<double>(simulatedTimeUs),
        static_cast<unsigned long long>(metrics.primaryConnectionsMax));
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    std::printf("seed %llu, allowance %lld ms, %zu sessions of which %zu write\n",
                static_cast<unsigned long long>(seed), static_cast<long long>(maxAgeUs / 1000),
                sessionCount, writingSessionCount);
    std::printf("  lag  policy          wait    reads  replica%%  of possible  discarded  refused  "
                "mean ms   p99 ms  primary    most\n");
    for (const double lag : {0.5, 0.8, 1.0, 1.2}) {
        for (const auto &[policy, wait] :
             std::vector<std::pair<std::string, Time>>{{"primary_only", 0},
                                                       {"random_replica", 0},
                                                       {"position_aware", 0},
                                                       {"position_aware", 20'000},
                                                       {"position_aware", 100'000}}) {
            const Case setting{policy, wait, lag};
            print(setting, Simulation{setting, seed}.run());
        }
    }
    return 0;
}
