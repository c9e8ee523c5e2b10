#include <chrono>
#include <string>

#include <criterion/criterion.h>

#include <platform/codec_factory.hpp>
#include <platform/json_codec.hpp>

using namespace hyssoprock;
using namespace hyssoprock::platform;

namespace {

const std::string heartbeat =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"stred-a","version":"v1",)"
    R"("slots":3,"state":"ready","coldLeftMs":0,"dbRole":"replica","sequence":4,)"
    R"("born":1700000000000})";

const std::string document =
    R"({"version":7,"routes":[{"name":"r-1","host":"fiti832","pathPrefix":"/",)"
    R"("kind":"read_own_writes","timeoutMs":1000,"targetLatencyMs":800,"priority":2,)"
    R"("service":"huvo11a","maxAttempts":2,"maxStalenessMs":2500}],)"
    R"("services":[{"name":"huvo11a","healthPath":"/health","maxConns":34,"protocol":"h1",)"
    R"("tls":false,"syncReplicas":0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000,"txIdleMs":3000}})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto place = text.find(from);
    cr_assert(place != std::string::npos, "%s", from.c_str());
    return text.replace(place, from.size(), to);
}

} // namespace

// Guards against assigning a field to the wrong member.
Test(jsonCodec, parsesHeartbeat)
{
    const EndpointRecord expected{"huvo11a",
                                  "i-7",
                                  "10.128.0.9:8080",
                                  "stred-a",
                                  1700000000000,
                                  4,
                                  EndpointRole::Replica,
                                  EndpointPhase::Ready,
                                  3,
                                  0};
    cr_assert(parseHeartbeat("i-7", heartbeat).value() == expected);
    auto changed = replaced(heartbeat, "ready", "draining");
    changed = replaced(changed, "replica", "primary");
    changed = replaced(changed, R"("coldLeftMs":0)", R"("coldLeftMs":900,"more":[1])");
    const auto record = parseHeartbeat("i-7", changed).value();
    cr_assert(record.phase == EndpointPhase::Draining);
    cr_assert(record.role == EndpointRole::Primary);
    cr_assert(record.warmupMs == 900);
}

// Guards against registering an endpoint from an incomplete body or one with wrong types.
Test(jsonCodec, rejectsInvalidHeartbeat)
{
    cr_assert(parseHeartbeat("", heartbeat).error().kind == ErrorKind::InvalidValue);
    for (const auto *field : {"service", "address", "zone", "version", "slots", "state",
                              "coldLeftMs", "dbRole", "sequence", "born"}) {
        const auto name = '"' + std::string{field} + '"';
        const auto missing = parseHeartbeat("i-7", replaced(heartbeat, name, R"("other")"));
        cr_assert(missing.has_error(), "%s missing", field);
        cr_assert(missing.error().kind == ErrorKind::InvalidValue);
        const auto key = name + ":";
        const auto nested = parseHeartbeat("i-7", replaced(heartbeat, key, key + "[],\"other\":"));
        cr_assert(nested.has_error(), "%s of another type", field);
    }
    const std::pair<const char *, const char *> changes[] = {
        {"1700000000000", "1700000000000.5"},
        {"1700000000000", "1.7e12"},
        {"1700000000000", "-1"},
        {"1700000000000", "\"1700000000000\""},
        {"1700000000000", "99999999999999999999"},
        {"\"slots\":3", "\"slots\":4294967296"},
        {"\"slots\":3", "\"slots\":true"},
        {"\"ready\"", "\"gone\""},
        {"\"replica\"", "\"\""},
        {"\"huvo11a\"", "\"\""},
        {"10.128.0.9:8080", "10.128.0.9"},
        {"10.128.0.9:8080", "host:8080"},
        {"10.128.0.9:8080", "10.128.0.9:0"},
        {"}", ""},
        {"}", "}}"},
        {"{", "[{"},
    };
    for (const auto &[from, to] : changes) {
        cr_assert(parseHeartbeat("i-7", replaced(heartbeat, from, to)).has_error(), "%s", to);
    }
    for (const auto *body : {"", "[]", "null", "3", "{}"}) {
        cr_assert(parseHeartbeat("i-7", body).has_error(), "%s", body);
    }
}

// Guards against assigning a field to the wrong member or with the wrong unit.
Test(jsonCodec, parsesDocument)
{
    const auto read = PlatformCodecFactory{}.parseDocument(document).value();
    DeploymentDocument expected;
    expected.version = 7;
    Route route;
    route.name = "r-1";
    route.database = "fiti832";
    route.pathPrefix = "/";
    route.service = "huvo11a";
    route.readConsistency = ReadConsistency::ReadOwnWrites;
    route.statementTimeout = std::chrono::milliseconds{1000};
    route.targetLatency = std::chrono::milliseconds{800};
    route.staleness = std::chrono::milliseconds{2500};
    route.priority = 2;
    route.attempts = 2;
    expected.routes = {route};
    expected.services = {Service{"huvo11a", 34, 0}};
    expected.transactionIdleTimeout = std::chrono::milliseconds{3000};
    cr_assert(read == expected);
    cr_assert(parseDocument(replaced(document, "read_own_writes", "primary"))
                  .value()
                  .routes[0]
                  .readConsistency
              == ReadConsistency::Primary);
    cr_assert(parseDocument(replaced(document, "read_own_writes", "bounded_staleness"))
                  .value()
                  .routes[0]
                  .readConsistency
              == ReadConsistency::BoundedStaleness);
    cr_assert(parseDocument(replaced(document, "{", R"({"extra":{"a":[1]},)")).has_value());
}

// Guards against acknowledging a document that no entry host can apply.
Test(jsonCodec, rejectsInvalidDocument)
{
    const std::pair<const char *, const char *> changes[] = {
        {R"("service":"huvo11a")", R"("service":"other")"},
        {R"("timeoutMs":1000)", R"("timeoutMs":0)"},
        {R"("timeoutMs":1000)", R"("timeoutMs":-5)"},
        {R"("timeoutMs":1000)", R"("timeoutMs":"1000")"},
        {R"("timeoutMs":1000,)", ""},
        {R"("timeoutMs":1000)", R"("timeoutMs":18446744073709551615)"},
        {R"("version":7)", R"("version":"7")"},
        {R"("version":7)", R"("version":7.5)"},
        {R"("version":7,)", ""},
        {R"("kind":"read_own_writes")", R"("kind":"newest")"},
        {R"("host":"fiti832",)", ""},
        {R"("maxConns":34)", R"("maxConns":null)"},
        {R"("tls":false)", R"("tls":"no")"},
        {R"("txIdleMs":3000)", R"("txIdleMs":[])"},
        {R"("limits":{)", R"("limits":3,"other":{)"},
        {R"("services":[)", R"("services":3,"other":[)"},
        {R"("routes":[{)", R"("routes":[3,{)"},
        {R"(}})", R"(})"},
    };
    for (const auto &[from, to] : changes) {
        const auto result = parseDocument(replaced(document, from, to));
        cr_assert(result.has_error(), "%s", to);
        cr_assert(result.error().kind == ErrorKind::InvalidValue);
        cr_assert_not(result.error().detail.empty());
    }
    const auto begin = document.find('[') + 1;
    const auto route = document.substr(begin, document.find(']') - begin);
    cr_assert(parseDocument(replaced(document, route, route + "," + route)).has_error());
    const auto other = replaced(route, R"("pathPrefix":"/")", R"("pathPrefix":"/a")");
    cr_assert(parseDocument(replaced(document, route, route + "," + other)).has_value());
}

// Guards against a crash or unbounded recursion on a deeply nested body.
Test(jsonCodec, rejectsDeepNesting)
{
    cr_assert(parseDocument(std::string(1000000, '[')).has_error());
    const auto deep = std::string(500000, '[') + std::string(500000, ']');
    cr_assert(parseDocument(R"({"version":)" + deep + "}").has_error());
}

// Guards against an entry of another writer that ends a control host, or lets it use an endpoint:
// nesting that takes hundreds of megabytes to parse, numbers and ports out of range.
Test(jsonCodec, rejectsHeartbeatsOfOtherWriters)
{
    const auto extended = [](const std::string &field) {
        return replaced(heartbeat, R"("slots":)", field + R"(,"slots":)");
    };
    cr_assert(parseHeartbeat("i-1", extended(R"("x":[[[{"y":[]}]]])")).has_value());
    const auto deep = std::string(1000, '[') + std::string(1000, ']');
    cr_assert(parseHeartbeat("i-1", extended(R"("x":)" + deep)).has_error());
    cr_assert(parseHeartbeat("i-1", R"({"x":)" + std::string(4000000, '[')).has_error());
    cr_assert(parseHeartbeat("i-1", R"({"x":)" + std::string(4000000, '{')).has_error());
    cr_assert(
        parseHeartbeat("i-1", extended(R"("x":")" + std::string(20000, '[') + '"')).has_error(),
        "no heartbeat is that long");
    cr_assert(parseHeartbeat("i-1", extended(R"("x":"[[\"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[")"))
                  .has_value(),
              "brackets in a text do not nest");
    for (const auto *const number :
         {"-1", "1.5", "1e400", "18446744073709551616", "99999999999999999999999999"}) {
        for (const auto *const name : {"born", "sequence", "slots", "coldLeftMs"}) {
            const auto field = '"' + std::string{name} + R"(":)";
            const auto begin = heartbeat.find(field) + field.size();
            auto body = heartbeat;
            body.replace(begin, body.find_first_of(",}", begin) - begin, number);
            cr_assert(parseHeartbeat("i-1", body).has_error(), "%s", body.c_str());
        }
    }
    cr_assert(parseHeartbeat("i-1", replaced(heartbeat, "1700000000000", "18446744073709551615"))
                  .has_error(),
              "a start time that hides all later incarnations");
    for (const auto *const port : {"0", "65536", "99999999999999999999", "-1", "80x", ""}) {
        cr_assert(
            parseHeartbeat("i-1", replaced(heartbeat, ":8080\"", ":" + std::string{port} + '"'))
                .has_error(),
            "%s", port);
    }
}

// Guards against invalid JSON when an identifier needs escaping.
Test(jsonCodec, writesBodies)
{
    cr_assert(promotionRequestBody("huvo11a", "i-7") == R"({"id":"i-7","service":"huvo11a"})");
    cr_assert(promotionRequestBody("a\"b", "\xff").find(R"(a\"b)") != std::string::npos);
    cr_assert(heartbeatResponseBody() == "{}");
}

// Guards against teams that are read from the wrong fields, and against accepting a team that no
// caller could use unambiguously.
Test(jsonCodec, parsesTeams)
{
    const auto teams =
        replaced(document, R"("limits":)",
                 R"("tenants":[{"name":"lab","apiKeys":["k1","k2"],"priority":1,"ratePerS":241,)"
                 R"("burst":240},{"name":"jobs","apiKeys":[]}],"limits":)");
    const auto read =
        parseDocument(replaced(teams, R"("priority":2,)", R"("priority":2,"public":true,)"));
    const std::vector<Team> expected{Team{"lab", {"k1", "k2"}, 1, 241, 240},
                                     Team{"jobs", {}, 0, 0, 0}};
    cr_assert(read.value().teams == expected);
    cr_assert(read.value().routes[0].isPublic);
    cr_assert(!parseDocument(teams).value().routes[0].isPublic);
    cr_assert(parseDocument(replaced(teams, R"("jobs","apiKeys":[])", R"("jobs","apiKeys":["k2"])"))
                  .has_error());
    cr_assert(parseDocument(replaced(teams, R"("k1")", "1")).has_error());
    cr_assert(parseDocument(replaced(teams, R"("name":"lab",)", "")).has_error());
    cr_assert(parseDocument(replaced(teams, "241", "-1")).has_error());
    cr_assert(parseDocument(replaced(teams, "241", "2.5")).has_error());
    cr_assert(
        parseDocument(replaced(document, R"("limits":)", R"("tenants":{},"limits":)")).has_error());
}
