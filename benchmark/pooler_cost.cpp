// Processor time of a statement in the entry role: a Pooler with simulated callers and endpoints,
// without sockets. Modes: decisions not logged, texts of decisions made, texts made and written to
// standard error, and counters kept.
//
// usage: benchmark_pooler_cost [STATEMENTS [MODE]] 2>/dev/null
// MODE is off, text, written or counted; all of them by default.

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

// An entry host of the grown deployments: 8 services of 3 endpoints, 1,880 routes, 60 sessions.
constexpr std::uint32_t services = 8;
constexpr std::uint32_t endpointsPerService = 3;
constexpr std::uint32_t routes = 1880;
constexpr std::uint32_t sessions = 60;
constexpr Duration thinkTime = 20ms;
constexpr Duration serviceTime = 5ms;
constexpr Duration roundTrip = 1ms;
constexpr std::uint64_t defaultStatements = 200'000;

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

std::shared_ptr<const DeploymentDocument> document()
{
    // Of five databases, three have a staleness bound and one each of the other rules.
    constexpr ReadConsistency rules[] = {ReadConsistency::BoundedStaleness,
                                         ReadConsistency::BoundedStaleness,
                                         ReadConsistency::BoundedStaleness,
                                         ReadConsistency::ReadOwnWrites, ReadConsistency::Primary};
    auto result = std::make_shared<DeploymentDocument>();
    result->version = 1;
    for (std::uint32_t i = 0; i < routes; ++i) {
        Route route;
        route.name = "r-" + std::to_string(i);
        route.database = databaseName(i);
        route.service = serviceName(i % services);
        route.readConsistency = rules[i % std::size(rules)];
        route.statementTimeout = 1s;
        route.targetLatency = 800ms;
        route.staleness = 2500ms;
        route.attempts = 2;
        result->routes.push_back(std::move(route));
    }
    for (std::uint32_t service = 0; service < services; ++service) {
        result->services.push_back({serviceName(service), 60, 0});
    }
    result->transactionIdleTimeout = 3s;
    return result;
}

std::vector<EndpointRecord> endpoints()
{
    std::vector<EndpointRecord> result;
    for (std::uint32_t service = 0; service < services; ++service) {
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

/// Drives a Pooler with sessions that send their next statement a while after each answer.
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
        handle(pooler::DocumentChanged{document()});
        handle(pooler::EndpointsChanged{endpoints()});
        for (std::uint32_t service = 0; service < services; ++service) {
            handle(pooler::PrimaryChanged{
                {serviceName(service), "i-" + std::to_string(service) + "-0", 1}});
        }
        for (CallerId caller = 1; caller <= sessions; ++caller) {
            // Spread over the document.
            const auto route = static_cast<std::uint32_t>(caller) * (routes / sessions);
            handle(pooler::CallerConnected{
                caller, databaseName((route + static_cast<std::uint32_t>(caller)) % routes),
                "user"});
            events_.push({now_ + thinkTime * caller / sessions, ++serial_, caller, 0, {}});
        }
    }

    /// @return Seconds that the Pooler took, with the writing of logged decisions.
    double run(std::uint64_t statements)
    {
        spent_ = {};
        const auto end = answered_ + statements;
        while (answered_ < end) {
            const auto deadline = pooler_.nextDeadline();
            if (deadline && *deadline <= events_.top().at) {
                now_ = std::max(now_, *deadline);
                handle(pooler::Tick{});
                continue;
            }
            const auto event = events_.top();
            events_.pop();
            now_ = std::max(now_, event.at);
            if (event.caller != 0) {
                handle(pooler::StatementReceived{event.caller, nextStatement(event.caller)});
            } else if (event.opens) {
                handle(pooler::ConnectionOpened{event.connection});
            } else {
                handle(pooler::AnswerReceived{event.connection, event.answer});
            }
        }
        return std::chrono::duration<double>(spent_).count();
    }

private:
    struct Pending
    {
        Instant at;
        std::uint64_t serial = 0;
        CallerId caller = 0; ///< Sends its next statement, if not 0.
        ConnectionId connection = 0;
        StatementAnswer answer;
        bool opens = false;

        bool operator<(const Pending &other) const
        {
            return std::pair{at, serial} > std::pair{other.at, other.serial};
        }
    };

    Statement nextStatement(CallerId caller)
    {
        auto &step = steps_[caller];
        Statement statement;
        statement.id = std::to_string(++statements_);
        const auto fill = [&](StatementKind kind, const char *text) {
            statement.kind = kind;
            statement.text = text;
        };
        if (step == 0) {
            // One of ten begins a transaction of four statements, two write, seven read.
            const auto draw = random_.next() % 10;
            step = draw == 0 ? 3 : 0;
            if (draw == 0) {
                fill(StatementKind::Begin, "BEGIN");
            } else if (draw <= 2) {
                fill(StatementKind::Write, "WRITE item-12345 some data to be kept");
            } else {
                fill(StatementKind::Read, "READ item-12345");
            }
        } else {
            --step;
            fill(step == 0   ? StatementKind::Commit
                 : step == 1 ? StatementKind::Write
                             : StatementKind::Read,
                 step == 0   ? "COMMIT"
                 : step == 1 ? "WRITE item-12345 some data to be kept"
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
        spent_ += std::chrono::steady_clock::now() - start;
        for (auto &action : actions) {
            std::visit([this](auto &known) { carryOut(known); }, action);
        }
    }

    template <class Action>
    void carryOut(Action &action)
    {
        if constexpr (std::is_same_v<Action, pooler::AnswerCaller>) {
            ++answered_;
            events_.push({now_ + thinkTime, ++serial_, action.caller, 0, {}});
        } else if constexpr (std::is_same_v<Action, pooler::OpenConnection>) {
            events_.push({now_ + 3 * roundTrip, ++serial_, 0, action.connection, {}, true});
        } else if constexpr (std::is_same_v<Action, pooler::SendCommand>) {
            answer(action.connection, action.command);
        }
    }

    void answer(ConnectionId connection, const EndpointCommand &command)
    {
        auto &open = open_[connection];
        StatementAnswer answer;
        answer.position = LogPosition{1, ++position_};
        if (command.kind == EndpointCommandKind::Begin
            || command.kind == EndpointCommandKind::BeginReadOnly) {
            open = true;
        } else if (command.kind == EndpointCommandKind::Rollback || command.text == "COMMIT") {
            open = false;
        } else {
            answer.rows = {"a row of data"};
        }
        answer.state = open ? TransactionState::Open : TransactionState::Idle;
        answer.signature = "signature";
        const auto runs = command.kind == EndpointCommandKind::Forward;
        auto &last = lastAnswer_[connection];
        last = std::max(last, now_ + roundTrip + (runs ? serviceTime : Duration{}));
        events_.push({last, ++serial_, 0, connection, std::move(answer)});
    }

    Mode mode_;
    Instant now_{100s};
    Pooler pooler_;
    RandomSource random_{7};
    std::priority_queue<Pending> events_;
    std::unordered_map<ConnectionId, bool> open_;
    std::unordered_map<ConnectionId, Instant> lastAnswer_;
    std::unordered_map<CallerId, int> steps_;
    std::uint64_t serial_ = 0;
    std::uint64_t statements_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t position_ = 0;
    std::chrono::steady_clock::duration spent_{};
};

void measure(std::string_view name, Mode mode, std::uint64_t statements)
{
    constexpr double microseconds = 1e6;
    // The fastest round is reported: other load on the machine makes the others slower.
    constexpr std::uint64_t rounds = 20;
    Driver driver{mode};
    (void)driver.run(statements / rounds);
    double fastest = 1;
    for (std::uint64_t round = 0; round < rounds; ++round) {
        fastest = std::min(fastest, driver.run(statements / rounds));
    }
    std::printf("%-8s %.2f us per statement\n", std::string{name}.c_str(),
                fastest * microseconds / static_cast<double>(statements / rounds));
}

} // namespace

int main(int argc, char **argv)
{
    const auto statements = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : defaultStatements;
    const std::string_view only = argc > 2 ? argv[2] : "";
    configureLog(LogSettings{});
    for (const auto &[name, mode] : modes) {
        if (only.empty() || only == name) {
            measure(name, mode, statements);
        }
    }
    return 0;
}
