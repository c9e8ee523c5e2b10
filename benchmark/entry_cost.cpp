// Cost of the coordination modules of an entry host, without sockets: memory of idle sessions, and
// processor time of a statement from its arrival to the answer to the caller.
//
// usage: benchmark_entry_cost

#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <hyssoprock/request/session_machine.hpp>
#include <hyssoprock/sql/postgres_caller_dialect.hpp>
#include <hyssoprock/sql/postgres_endpoint_dialect.hpp>

#include "process_usage.hpp"

namespace {

using namespace hyssoprock;
using namespace hyssoprock::benchmarks;
using namespace std::chrono_literals;

constexpr std::size_t groupCount = 8;
constexpr int statementsPerSession = 20;

std::string groupName(std::size_t group)
{
    return "group-" + std::to_string(group);
}

GroupView makeView(std::size_t group)
{
    GroupView view;
    view.group = groupName(group);
    view.state = GroupState::Active;
    view.term = 1;
    view.version = 1;
    for (int instance = 1; instance <= 3; ++instance) {
        Member member;
        member.announcement.endpoint = view.group + "-" + std::to_string(instance);
        member.announcement.group = view.group;
        member.announcement.dataCentre = "dc-a";
        member.voter = true;
        view.members.push_back(member);
    }
    view.primary = view.members.front().announcement.endpoint;
    return view;
}

void grantLease(HostTables &tables, Instant now)
{
    HostRenewResponse response;
    response.sequence = 1;
    response.leaseMs = 1'000'000;
    response.viewVersion = 1;
    Configuration configuration;
    configuration.revision = 1;
    for (std::size_t group = 0; group < groupCount; ++group) {
        response.views.push_back(makeView(group));
        const std::vector<VersionRule> versions{{1, LogPosition{0, 0}, true}};
        configuration.rules.push_back({groupName(group), "order", 2000, true, versions, 1});
    }
    response.configuration = configuration;
    tables.views.recordRenewalSent(1, now);
    (void)tables.views.apply(response);
}

/// Runs one write whose position a majority already holds.
/// @return Whether the caller was answered.
bool runWrite(SessionMachine &session, Instant now, std::uint64_t index)
{
    const auto statement = sql::PostgresCallerDialect{}.translate(
        "/*class='write',kind='order',writes_version='1'*/ INSERT INTO orders VALUES (1)");
    auto actions = session.handle(statement, now);
    for (std::size_t step = 0; step < 4; ++step) {
        SessionActions next;
        for (const auto &action : actions) {
            if (std::holds_alternative<AnswerCaller>(action)) {
                return true;
            }
            if (const auto *acquire = std::get_if<AcquireConnection>(&action)) {
                next =
                    session.handle(ConnectionGranted{acquire->acquire, ConnectionId{1}, {}}, now);
            } else if (const auto *send = std::get_if<SendCommand>(&action)) {
                const sql::PostgresEndpointDialect endpoints;
                const auto query = endpoints.encode(send->command);
                StatementResult result;
                result.tag = "INSERT 0 1";
                std::vector<StatementResult> results{result};
                if (query.text.starts_with("SET hyssoprock.")) {
                    results.insert(results.begin(), StatementResult{{}, {}, "SET"});
                }
                const EndpointReport report{{1, index}, index, EndpointRole::Primary};
                next = session.handle(
                    endpoints.interpret(query.expected, EndpointAnswer{send->connection,
                                                                       send->send,
                                                                       results,
                                                                       {},
                                                                       TransactionState::Idle,
                                                                       report}),
                    now);
            }
        }
        actions = std::move(next);
    }
    return false;
}

void measure(std::size_t sessions)
{
    Instant now{1h};
    HostTables tables{{"position_aware", "dc-a"}, 10, 5ms, 1};
    grantLease(tables, now);
    const TokenCodec tokens{"a key of at least 16 bytes"};
    SessionMachineSettings settings;
    settings.logDecisions = false;

    const auto before = residentBytes();
    std::vector<std::unique_ptr<SessionMachine>> machines;
    machines.reserve(sessions);
    for (std::size_t i = 0; i < sessions; ++i) {
        machines.push_back(std::make_unique<SessionMachine>(settings, i, groupName(i % groupCount),
                                                            tables, tokens, i));
    }
    std::uint64_t index = 0;
    std::size_t answered = 0;
    for (auto &machine : machines) {
        answered += runWrite(*machine, now, ++index) ? 1U : 0U;
    }
    const auto after = residentBytes();

    const auto begin = processorSeconds();
    for (int round = 0; round < statementsPerSession; ++round) {
        for (auto &machine : machines) {
            now += 10us;
            answered += runWrite(*machine, now, ++index) ? 1U : 0U;
        }
    }
    const auto seconds = processorSeconds() - begin;
    const auto statements = static_cast<double>(sessions) * statementsPerSession;
    std::printf("| %zu | %.0f | %.1f | %.2f | %zu |\n", sessions,
                (after - before) / static_cast<double>(sessions), (after - before) / 1e6,
                seconds / statements * 1e6, answered);
    std::fflush(stdout);
}

} // namespace

int main()
{
    std::printf("| sessions | bytes for each session | MB in all | us of processor time for each "
                "write | writes answered |\n|---|---|---|---|---|\n");
    for (const std::size_t sessions : {1000U, 3737U, 16000U}) {
        measure(sessions);
    }
    return 0;
}
