// Processor time per statement of a Pooler with simulated callers and endpoints, without sockets.
// Modes: no logging of routing decisions (off), decisions formatted (text), formatted and written
// to standard error (written), no logging but counters enabled (counted).
//
// usage: benchmark_pooler_cost [STATEMENTS [MODE]] 2>/dev/null
// MODE is off, text, written or counted; all modes by default.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <iterator>
#include <memory>
#include <queue>
#include <string>
#include <string_view>
#include <type_traits>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/daemon/log.hpp>
#include <hyssoprock/pooling/pooler.hpp>

namespace {

using namespace hyssoprock;
using namespace std::chrono_literals;

// Size of an entry host in the largest expected deployments.
constexpr std::uint32_t serviceCount = 8;
constexpr std::uint32_t endpointsPerService = 3;
constexpr std::uint32_t routeCount = 1880;
constexpr std::uint32_t sessionCount = 60;
constexpr Duration thinkTime = 20ms;
constexpr Duration serviceTime = 5ms;
constexpr Duration roundTripTime = 1ms;
constexpr std::uint64_t defaultStatementCount = 200'000;

enum class Mode : std::uint8_t { Off, Text, Written, Counted };
constexpr std::pair<std::string_view, Mode> modes[] = {{"off", Mode::Off},
                                                       {"text", Mode::Text},
                                                       {"written", Mode::Written},
                                                       {"counted", Mode::Counted}};

std::string serviceName(std::uint32_t service)
{
    return "service-" + std::to_string(service);
}

std::string databaseName(std::uint32_t route)
{
    return "database-" + std::to_string(route);
}

std::shared_ptr<const DeploymentDocument> makeDocument()
{
    // Three of five databases bound staleness; the other two rules have one each.
    constexpr ReadConsistency rules[] = {ReadConsistency::BoundedStaleness,
                                         ReadConsistency::BoundedStaleness,
                                         ReadConsistency::BoundedStaleness,
                                         ReadConsistency::ReadOwnWrites, ReadConsistency::Primary};
    auto result = std::make_shared<DeploymentDocument>();
    result->version = 1;
    for (std::uint32_t i = 0; i < routeCount; ++i) {
        Route route;
        route.name = "r-" + std::to_string(i);
        route.database = databaseName(i);
        route.service = serviceName(i % serviceCount);
        route.readConsistency = rules[i % std::size(rules)];
        route.statementTimeout = 1s;
        route.targetLatency = 800ms;
        route.staleness = 2500ms;
        route.attempts = 2;
        result->routes.push_back(std::move(route));
    }
    for (std::uint32_t service = 0; service < serviceCount; ++service) {
        result->services.push_back({serviceName(service), 60, 0});
    }
    result->transactionIdleTimeout = 3s;
    return result;
}

std::vector<EndpointRecord> makeEndpoints()
{
    std::vector<EndpointRecord> result;
    for (std::uint32_t service = 0; service < serviceCount; ++service) {
        for (std::uint32_t i = 0; i < endpointsPerService; ++i) {
            EndpointRecord record;
            record.service = serviceName(service);
            record.id = "i-" + std::to_string(service) + "-" + std::to_string(i);
            record.address = "10.0.0.1:1";
            record.dataCentre = "zone-" + std::to_string(i);
            record.role = i == 0 ? EndpointRole::Primary : EndpointRole::Replica;
            record.slots = 6;
            result.push_back(std::move(record));
        }
    }
    return result;
}

/// Drives a Pooler with sessions that send the next statement a think time after each answer.
class Driver
{
public:
    explicit Driver(Mode mode)
        : mode_{mode}
        , pooler_{{"entry", Topology{"zone-0"}, mode == Mode::Text || mode == Mode::Written,
                   mode == Mode::Counted},
                  1,
                  now_}
    {
        handle(pooler::DocumentChanged{makeDocument()});
        handle(pooler::EndpointsChanged{makeEndpoints()});
        for (std::uint32_t service = 0; service < serviceCount; ++service) {
            handle(pooler::PrimaryChanged{
                {serviceName(service), "i-" + std::to_string(service) + "-0", 1}});
        }
        for (CallerId caller = 1; caller <= sessionCount; ++caller) {
            // Spreads the sessions over the routes of the document.
            const auto route = static_cast<std::uint32_t>(caller) * (routeCount / sessionCount);
            handle(pooler::CallerConnected{
                caller, databaseName((route + static_cast<std::uint32_t>(caller)) % routeCount),
                "user"});
            events_.push({now_ + thinkTime * caller / sessionCount, ++lastSerial_, caller, 0, {}});
        }
    }

    /// @return Seconds spent in the Pooler and in writing logged decisions.
    double run(std::uint64_t statements)
    {
        processingTime_ = {};
        const auto end = answerCount_ + statements;
        while (answerCount_ < end) {
            const auto deadline = pooler_.nextDeadline();
            if (deadline && *deadline <= events_.top().dueAt) {
                now_ = std::max(now_, *deadline);
                handle(pooler::Tick{});
                continue;
            }
            const auto event = events_.top();
            events_.pop();
            now_ = std::max(now_, event.dueAt);
            if (event.caller != 0) {
                handle(pooler::StatementReceived{event.caller, nextStatement(event.caller)});
            } else if (event.connectionOpened) {
                handle(pooler::ConnectionOpened{event.connection});
            } else {
                handle(pooler::AnswerReceived{event.connection, event.answer});
            }
        }
        return std::chrono::duration<double>(processingTime_).count();
    }

private:
    struct ScheduledEvent
    {
        Instant dueAt;
        std::uint64_t serial = 0;
        CallerId caller = 0; ///< Caller that sends its next statement; 0 for events of endpoints.
        ConnectionId connection = 0;
        StatementAnswer answer;
        bool connectionOpened = false;

        bool operator<(const ScheduledEvent &other) const
        {
            return std::pair{dueAt, serial} > std::pair{other.dueAt, other.serial};
        }
    };

    Statement nextStatement(CallerId caller)
    {
        auto &remainingSteps = remainingSteps_[caller];
        Statement statement;
        statement.id = std::to_string(++statementCount_);
        const auto fill = [&](StatementKind kind, const char *text) {
            statement.kind = kind;
            statement.text = text;
        };
        if (remainingSteps == 0) {
            // Of ten draws, one begins a transaction of four statements, two write and seven read.
            const auto draw = random_.next() % 10;
            remainingSteps = draw == 0 ? 3 : 0;
            if (draw == 0) {
                fill(StatementKind::Begin, "BEGIN");
            } else if (draw <= 2) {
                fill(StatementKind::Write, "WRITE item-12345 some data to be kept");
            } else {
                fill(StatementKind::Read, "READ item-12345");
            }
        } else {
            --remainingSteps;
            fill(remainingSteps == 0   ? StatementKind::Commit
                 : remainingSteps == 1 ? StatementKind::Write
                                       : StatementKind::Read,
                 remainingSteps == 0   ? "COMMIT"
                 : remainingSteps == 1 ? "WRITE item-12345 some data to be kept"
                                       : "READ item-12345");
        }
        return statement;
    }

    void handle(PoolerEvent event)
    {
        const auto start = std::chrono::steady_clock::now();
        auto actions = pooler_.handle(std::move(event), now_);
        (void)pooler_.nextDeadline();
        if (mode_ == Mode::Written) {
            for (const auto &action : actions) {
                if (const auto *decision = std::get_if<pooler::LogDecision>(&action)) {
                    writeLog(decision->text);
                }
            }
        }
        processingTime_ += std::chrono::steady_clock::now() - start;
        for (auto &action : actions) {
            std::visit([this](auto &typedAction) { execute(typedAction); }, action);
        }
    }

    template <class Action>
    void execute(Action &action)
    {
        if constexpr (std::is_same_v<Action, pooler::AnswerCaller>) {
            ++answerCount_;
            events_.push({now_ + thinkTime, ++lastSerial_, action.caller, 0, {}});
        } else if constexpr (std::is_same_v<Action, pooler::OpenConnection>) {
            events_.push({now_ + 3 * roundTripTime, ++lastSerial_, 0, action.connection, {}, true});
        } else if constexpr (std::is_same_v<Action, pooler::SendCommand>) {
            scheduleAnswer(action.connection, action.command);
        }
    }

    void scheduleAnswer(ConnectionId connection, const EndpointCommand &command)
    {
        auto &inTransaction = inTransaction_[connection];
        StatementAnswer answer;
        answer.position = LogPosition{1, ++position_};
        if (command.kind == EndpointCommandKind::Begin
            || command.kind == EndpointCommandKind::BeginReadOnly) {
            inTransaction = true;
        } else if (command.kind == EndpointCommandKind::Rollback || command.text == "COMMIT") {
            inTransaction = false;
        } else {
            answer.rows = {"a row of data"};
        }
        answer.state = inTransaction ? TransactionState::Open : TransactionState::Idle;
        answer.signature = "signature";
        const auto executes = command.kind == EndpointCommandKind::Forward;
        auto &lastAt = lastAnswerAt_[connection];
        lastAt = std::max(lastAt, now_ + roundTripTime + (executes ? serviceTime : Duration{}));
        events_.push({lastAt, ++lastSerial_, 0, connection, std::move(answer)});
    }

    Mode mode_;
    Instant now_{100s};
    Pooler pooler_;
    RandomSource random_{7};
    std::priority_queue<ScheduledEvent> events_;
    std::unordered_map<ConnectionId, bool> inTransaction_;
    std::unordered_map<ConnectionId, Instant> lastAnswerAt_;
    std::unordered_map<CallerId, int> remainingSteps_;
    std::uint64_t lastSerial_ = 0;
    std::uint64_t statementCount_ = 0;
    std::uint64_t answerCount_ = 0;
    std::uint64_t position_ = 0;
    std::chrono::steady_clock::duration processingTime_{};
};

void measure(std::string_view name, Mode mode, std::uint64_t statements)
{
    constexpr double microsecondsPerSecond = 1e6;
    // Reports the fastest round, since other load on the machine slows rounds down.
    constexpr std::uint64_t roundCount = 20;
    Driver driver{mode};
    (void)driver.run(statements / roundCount);
    double fastest = 1;
    for (std::uint64_t round = 0; round < roundCount; ++round) {
        fastest = std::min(fastest, driver.run(statements / roundCount));
    }
    std::printf("%-8s %.2f us per statement\n", std::string{name}.c_str(),
                fastest * microsecondsPerSecond / static_cast<double>(statements / roundCount));
}

} // namespace

int main(int argc, char **argv)
{
    const auto statements = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : defaultStatementCount;
    const std::string_view selectedMode = argc > 2 ? argv[2] : "";
    configureLog(LogSettings{});
    for (const auto &[name, mode] : modes) {
        if (selectedMode.empty() || selectedMode == name) {
            measure(name, mode, statements);
        }
    }
    return 0;
}
