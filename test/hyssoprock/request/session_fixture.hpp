#pragma once

#include <optional>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include <hyssoprock/request/session_machine.hpp>
#include <hyssoprock/sql/command_tag.hpp>
#include <hyssoprock/sql/postgres_caller_dialect.hpp>
#include <hyssoprock/sql/postgres_endpoint_dialect.hpp>

/// @file
/// @brief One session on a host with a lease and a group of three endpoints with primary ep-1.

namespace hyssoprock::test {

inline Instant at(int ms)
{
    return Instant{std::chrono::milliseconds{ms}};
}

inline EndpointReport primaryReport(std::uint64_t index, std::uint64_t majority,
                                    std::uint64_t term = 1)
{
    return {{term, index}, majority, EndpointRole::Primary};
}

inline EndpointReport replicaReport(std::uint64_t index, std::uint64_t majority)
{
    return {{1, index}, majority, EndpointRole::Replica};
}

inline StatementResult tagged(const std::string &tag)
{
    StatementResult result;
    result.tag = tag;
    return result;
}

inline StatementResult rowsOf(const std::string &column, const std::vector<std::string> &values)
{
    StatementResult result;
    result.columns = {ResultColumn{column}};
    for (const auto &value : values) {
        result.rows.push_back({value});
    }
    result.tag = "SELECT " + std::to_string(values.size());
    return result;
}

/// @brief A command as received by an endpoint.
struct Sent
{
    ConnectionId connection{};
    SendId send{};
    std::string sql{};
    ExpectedAnswer expected{};
};

class SessionFixture
{
public:
    explicit SessionFixture(const SessionMachineSettings &settings = {})
        : machine{settings, 7, "orders", host, tokens, 1}
    {
        GroupView view;
        view.group = "orders";
        view.term = 1;
        view.primary = "ep-1";
        view.state = GroupState::Active;
        view.version = 1;
        for (const auto *name : {"ep-1", "ep-2", "ep-3"}) {
            Member member;
            member.announcement.endpoint = name;
            view.members.push_back(member);
        }
        RecordKindRule rule;
        rule.group = "orders";
        rule.kind = "order";
        rule.maxAgeMs = 100;
        rule.replicasAllowed = true;
        rule.versions = {VersionRule{1, LogPosition{0, 0}, true}};
        Configuration configuration;
        configuration.revision = 1;
        configuration.rules = {rule};
        HostRenewResponse response;
        response.sequence = 1;
        response.leaseMs = 1000;
        response.viewVersion = 1;
        response.views = {view};
        response.configuration = configuration;
        host.views.recordRenewalSent(1, at(0));
        host.views.apply(response);
        cr_assert(machine.applyStartupOption("session", "new").has_value());
    }

    /// @brief Renews the lease at the given time.
    void renew(int ms)
    {
        HostRenewResponse response;
        response.sequence = ++sequence;
        response.leaseMs = 1000;
        response.viewVersion = host.views.viewVersion();
        host.views.recordRenewalSent(sequence, at(ms));
        host.views.apply(response);
        run(ViewChanged{}, ms);
    }

    void changeView(std::uint64_t term, GroupState state, const std::string &primary, int ms)
    {
        auto view = *host.views.view("orders");
        view.term = term;
        view.state = state;
        view.primary = primary;
        view.version = host.views.viewVersion() + 1;
        ViewPush push;
        push.previousVersion = host.views.viewVersion();
        push.viewVersion = view.version;
        push.views = {view};
        host.views.apply(push);
        run(ViewChanged{}, ms);
    }

    void run(const SessionEvent &event, int ms)
    {
        actions = machine.handle(event, at(ms));
        for (const auto &action : actions) {
            if (const auto *wanted = std::get_if<AcquireConnection>(&action)) {
                acquire = *wanted;
            } else if (const auto *query = std::get_if<SendCommand>(&action)) {
                auto encoded = endpoints.encode(query->command);
                sent = {query->connection, query->send, std::move(encoded.text), encoded.expected};
                ++sends;
            } else if (const auto *given = std::get_if<ReleaseConnection>(&action)) {
                released = *given;
            } else if (const auto *reply = std::get_if<AnswerCaller>(&action)) {
                answer = *reply;
                ++answers;
            }
        }
    }

    /// @brief Sends a statement and grants the connection that it requests.
    void statement(const std::string &sql, int ms)
    {
        acquire.reset();
        answer.reset();
        run(dialect.translate(sql), ms);
        if (acquire) {
            grant(ms);
        }
    }

    void grant(int ms, const std::string &versions = {})
    {
        const auto id = acquire->acquire;
        acquire.reset();
        run(ConnectionGranted{id, ConnectionId{++connection}, versions}, ms);
    }

    void reply(std::vector<StatementResult> results, TransactionState status,
               const EndpointReport &report, int ms)
    {
        if (sent.sql.starts_with("SET hyssoprock.")) {
            results.insert(results.begin(), tagged("SET"));
        }
        run(endpoints.interpret(
                sent.expected,
                EndpointAnswer{sent.connection, sent.send, std::move(results), {}, status, report}),
            ms);
    }

    void replyError(const std::string &state, TransactionState status, const EndpointReport &report,
                    int ms)
    {
        run(endpoints.interpret(
                sent.expected,
                EndpointAnswer{
                    sent.connection, sent.send, {}, SqlError{state, "fake"}, status, report}),
            ms);
    }

    /// @brief Simulates the result of a poll of the primary.
    void learnMajority(std::uint64_t index, int ms, std::uint64_t term = 1)
    {
        host.acks.recordMajorityIndex("orders", term, index);
        for (const auto &resolved : host.acks.takeResolved(host.views, at(ms))) {
            run(AckResolved{resolved.request}, ms);
        }
    }

    [[nodiscard]] ErrorKind errorKind() const
    {
        return answer && answer->error ? answer->error->kind : ErrorKind::None;
    }

    const sql::PostgresCallerDialect dialect{};
    const sql::PostgresEndpointDialect endpoints{};
    HostTables host{{"position_aware", "dc-a"}, 10, std::chrono::milliseconds{5}, 1};
    TokenCodec tokens{"a secret of this test"};
    SessionMachine machine;
    SessionActions actions;
    std::optional<AcquireConnection> acquire;
    Sent sent;
    std::optional<ReleaseConnection> released;
    std::optional<AnswerCaller> answer;
    int sends = 0;
    int answers = 0;
    std::uint64_t connection = 0;
    std::uint64_t sequence = 1;
};

} // namespace hyssoprock::test
