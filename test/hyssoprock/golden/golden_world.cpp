#include <utility>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/sql/postgres_caller_dialect.hpp>
#include <hyssoprock/sql/postgres_endpoint_dialect.hpp>

#include "golden_world_state.hpp"

namespace hyssoprock::golden {

namespace {

constexpr auto group = "orders";
constexpr int durationMsMax = 60000; ///< Upper bound; scripts are much shorter.

bool setsSchemaVersions(const std::string &sql)
{
    return sql.starts_with("SET hyssoprock.schema_versions");
}

std::string numberOf(auto id)
{
    return std::to_string(static_cast<std::uint64_t>(id));
}

} // namespace

Instant at(int ms)
{
    return Instant{std::chrono::milliseconds{ms}};
}

StatementResult resultWithTag(const std::string &tag)
{
    StatementResult result;
    result.tag = tag;
    return result;
}

StatementResult resultWithRows(const std::vector<std::string> &columns,
                               const std::vector<ResultRow> &rows)
{
    StatementResult result;
    for (const auto &column : columns) {
        result.columns.push_back(ResultColumn{column});
    }
    result.rows = rows;
    result.tag = "SELECT " + std::to_string(rows.size());
    return result;
}

GoldenWorld::GoldenWorld(std::string_view title)
    : transcript_{title}
{
    view_.group = group;
    view_.term = 1;
    view_.primary = "ep-1";
    view_.state = GroupState::Active;
    view_.version = viewVersion_;
    for (const auto *name : {"ep-1", "ep-2", "ep-3"}) {
        Member member;
        member.announcement.endpoint = name;
        member.announcement.group = group;
        member.announcement.dataCentre = "dc-a";
        member.voter = true;
        view_.members.push_back(member);
        const auto role = name == view_.primary ? EndpointRole::Primary : EndpointRole::Replica;
        endpoints_[name] = EndpointReport{{1, 10}, 10, role};
    }
    RecordKindRule rule;
    rule.group = group;
    rule.kind = "order";
    rule.maxAgeMs = 200;
    rule.replicasAllowed = true;
    rule.versions = {VersionRule{1, LogPosition{0, 0}, true}};
    rule.revision = 1;
    configuration_.revision = 1;
    configuration_.rules = {rule};
}

GoldenWorld::~GoldenWorld() = default;

void GoldenWorld::addHost(int ms, const std::string &name)
{
    advance(ms);
    auto &host = *(hosts_[name] = std::make_unique<Host>(name));
    renew(host, true);
}

std::uint64_t GoldenWorld::connect(int ms, const std::string &host, const std::string &option)
{
    advance(ms);
    const auto number = sessions_.size() + 1;
    auto &owner = *hosts_.at(host);
    sessions_[number].reset(new Session{
        number, owner,
        SessionMachine{SessionMachineSettings{}, number, group, owner.tables, tokens_, number}});
    auto &session = *sessions_[number];
    std::string shown = "no hyssoprock.session";
    if (!option.empty()) {
        const auto floor = tokens_.decode(option);
        shown = "hyssoprock.session = "
                + (floor.has_value() ? "token: " + textOf(floor.value()) : "'" + option + "'");
    }
    transcript_.event(now_, host, "session " + std::to_string(number) + " connects, " + shown);
    if (!option.empty()) {
        const auto applied = session.machine.applyStartupOption("session", option);
        if (!applied.has_value()) {
            transcript_.action("refused: " + std::string{describe(applied.error().kind).text});
            session.closed = true;
        }
    }
    return number;
}

std::string GoldenWorld::token(std::uint64_t session) const
{
    return sessions_.at(session)->token;
}

void GoldenWorld::statement(int ms, std::uint64_t session, const std::string &sql)
{
    advance(ms);
    auto &target = *sessions_.at(session);
    auto shown = sql;
    if (const auto position = sql.find("hyssoprock.session = '"); position != std::string::npos) {
        const auto begin = position + std::string_view{"hyssoprock.session = '"}.size();
        const auto floor = tokens_.decode(sql.substr(begin, sql.find('\'', begin) - begin));
        if (floor.has_value()) {
            shown = sql.substr(0, begin) + "<token: " + textOf(floor.value()) + ">'";
        }
    }
    deliver(target, sql::PostgresCallerDialect{}.translate(sql), "caller: " + shown);
}

EndpointAnswer GoldenWorld::makeAnswer(const Session &session) const
{
    EndpointAnswer answer;
    answer.connection = session.sent.connection;
    answer.send = session.sent.send;
    const auto held = session.connections.find(session.sent.connection);
    check(held != session.connections.end(), "the script answers on a connection that is held");
    answer.report = endpoints_.at(held->second);
    return answer;
}

void GoldenWorld::reply(int ms, std::uint64_t session, const StatementResult &result,
                        TransactionState status)
{
    advance(ms);
    auto &target = *sessions_.at(session);
    auto answer = makeAnswer(target);
    const auto &sql = target.query.text;
    const auto ownInsert = sql.find("INSERT INTO hyssoprock_request") != std::string::npos;
    const bool wrapped = sql.find("BEGIN; INSERT INTO hyssoprock_request") != std::string::npos;
    if (setsSchemaVersions(sql)) {
        answer.results.push_back(resultWithTag("SET"));
    }
    if (wrapped) {
        answer.results.push_back(resultWithTag("BEGIN"));
    }
    if (wrapped || (ownInsert && result.tag != "BEGIN")) {
        answer.results.push_back(resultWithTag("INSERT 0 1"));
    }
    answer.results.push_back(result);
    if (wrapped) {
        answer.results.push_back(resultWithTag("COMMIT"));
    } else if (ownInsert && result.tag == "BEGIN") {
        answer.results.push_back(resultWithTag("INSERT 0 1"));
    }
    answer.status = status;
    deliver(target, sql::PostgresEndpointDialect{}.interpret(target.query.expected, answer),
            target.connections.at(answer.connection) + " answers on connection "
                + numberOf(answer.connection) + ": " + textOf(answer.results, answer.error) + "; "
                + std::string{textOf(status)} + "; " + textOf(answer.report));
}

void GoldenWorld::serveRead(int ms, std::uint64_t session, const StatementResult &result)
{
    constexpr int stepMs = 2; // Longer than grantDelay.
    advance(ms);
    for (auto &target = *sessions_.at(session); target.machine.isBusy(); ms += stepMs) {
        check(ms < durationMsMax, "a read of the script gets its answer");
        advance(ms);
        if (target.connections.contains(target.sent.connection)) {
            reply(ms, session, result);
        }
    }
}

void GoldenWorld::replyError(int ms, std::uint64_t session, const std::string &state,
                             const std::string &message, TransactionState status)
{
    advance(ms);
    auto &target = *sessions_.at(session);
    auto answer = makeAnswer(target);
    answer.error = SqlError{state, message};
    answer.status = status;
    deliver(target, sql::PostgresEndpointDialect{}.interpret(target.query.expected, answer),
            target.connections.at(answer.connection) + " answers on connection "
                + numberOf(answer.connection) + ": " + textOf({}, answer.error) + "; "
                + std::string{textOf(status)} + "; " + textOf(answer.report));
}

void GoldenWorld::loseConnection(int ms, std::uint64_t session)
{
    advance(ms);
    auto &target = *sessions_.at(session);
    const auto id = target.sent.connection;
    const auto endpoint = target.connections.at(id);
    target.connections.erase(id);
    deliver(target, ConnectionLost{id}, endpoint + " ends connection " + numberOf(id));
}

void GoldenWorld::leave(int ms, const std::string &host)
{
    advance(ms);
    for (auto &[number, session] : sessions_) {
        if (session->host.name == host && !session->closed) {
            deliver(*session, HostLeaving{}, "the host is leaving");
        }
    }
}

void GoldenWorld::disconnectCaller(int ms, std::uint64_t session)
{
    advance(ms);
    deliver(*sessions_.at(session), CallerDisconnected{}, "the caller closes its connection");
}

void GoldenWorld::cutOff(int ms, const std::string &host)
{
    advance(ms);
    auto &target = *hosts_.at(host);
    target.cutOff = true;
    transcript_.event(now_, host,
                      "the link to the control group breaks; the lease ends at "
                          + textOf(*target.tables.views.leaseUntil()) + " ms");
}

void GoldenWorld::changeView(int ms, std::uint64_t term, GroupState state,
                             const std::string &primary, const std::string &draining)
{
    advance(ms);
    view_.term = term;
    view_.state = state;
    view_.primary = primary;
    for (auto &member : view_.members) {
        const bool drains = member.announcement.endpoint == draining;
        member.state = drains ? EndpointState::Draining : EndpointState::Active;
    }
    const auto previous = viewVersion_++;
    view_.version = viewVersion_;
    for (auto &[name, host] : hosts_) {
        if (host->cutOff) {
            continue;
        }
        ViewPush push;
        push.previousVersion = previous;
        push.viewVersion = viewVersion_;
        push.views = {view_};
        check(host->tables.views.apply(push).accepted, "the push is in order");
        transcript_.event(now_, name,
                          "view " + std::to_string(viewVersion_) + ": term " + std::to_string(term)
                              + " " + std::string{toString(state)} + ", primary "
                              + (primary.empty() ? "none" : primary)
                              + (draining.empty() ? "" : ", " + draining + " is draining"));
        notifyViewChanged(*host);
    }
}

void GoldenWorld::changeRule(int ms, RecordKindRule rule, const std::string &text)
{
    advance(ms);
    rule.revision = ++configuration_.revision;
    configuration_.rules = {std::move(rule)};
    transcript_.event(now_, "control",
                      "revision " + std::to_string(configuration_.revision) + ": " + text);
    for (auto &[name, host] : hosts_) {
        if (!host->cutOff) {
            renew(*host, true);
        }
    }
}

void GoldenWorld::note(int ms, const std::string &text)
{
    advance(ms);
    transcript_.event(now_, "script", text);
}

void GoldenWorld::reportQuiesced(int ms, const std::string &host)
{
    advance(ms);
    const bool quiesced = hosts_.at(host)->tables.isQuiesced(group);
    transcript_.event(now_, host, quiesced ? "quiesced: yes" : "quiesced: no");
}

} // namespace hyssoprock::golden
