#include <criterion/criterion.h>

#include <optional>
#include <string>
#include <vector>

#include <platform/control_api.hpp>
#include <platform/promotion_call.hpp>
#include <platform/status_row.hpp>

using namespace hyssoprock;
using namespace hyssoprock::platform;

namespace {

const std::string heartbeatBody =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"stred-a","version":"v1",)"
    R"("slots":3,"state":"ready","coldLeftMs":0,"dbRole":"replica","sequence":4,)"
    R"("born":1700000000000})";

class FakeService final : public ControlService
{
public:
    void heartbeat(const EndpointRecord &record, ResultCallback done) override
    {
        heard.push_back(record.id);
        finish(done);
    }
    void leave(std::string_view id) override { left.emplace_back(id); }
    void putDocument(const std::string &bytes, ResultCallback done) override
    {
        document = bytes;
        finish(done);
    }
    void readDocument(ReadDocumentCallback done) override
    {
        if (error == ErrorKind::None) {
            done(std::pair{version, document});
        } else {
            done(failure(error));
        }
    }

    ErrorKind error = ErrorKind::None;
    std::uint64_t version = 1;
    std::string document;
    std::vector<std::string> heard;
    std::vector<std::string> left;

private:
    void finish(const ResultCallback &done) const
    {
        if (error == ErrorKind::None) {
            done(BOOST_OUTCOME_V2_NAMESPACE::success());
        } else {
            done(failure(error));
        }
    }
};

HttpResponse ask(FakeService &service, const std::string &method, const std::string &target,
                 const std::string &body = {})
{
    std::optional<HttpResponse> answer;
    handleControlRequest(service, {method, target, body},
                         [&](HttpResponse response) { answer = std::move(response); });
    cr_assert(answer.has_value());
    return *answer;
}

} // namespace

// Guards against registering an endpoint from an invalid heartbeat, or ignoring a valid one.
Test(control_api, handlesHeartbeatsAndLeaves)
{
    FakeService service;
    const std::string path = "/hyssoprock/instances/i-7/";
    cr_assert(ask(service, "POST", path + "heartbeat", heartbeatBody) == (HttpResponse{200, "{}"}));
    cr_assert_eq(ask(service, "POST", path + "heartbeat", "{}").status, 400U);
    cr_assert_eq(ask(service, "POST", path + "leave").status, 200U);
    cr_assert_eq(ask(service, "POST", "/hyssoprock/instances/a%20b/leave").status, 400U);
    cr_assert_eq(ask(service, "POST", "/hyssoprock/instances//leave").status, 400U);
    cr_assert_eq(ask(service, "POST", path + "other").status, 404U);
    cr_assert_eq(ask(service, "GET", path + "leave").status, 405U);
    cr_assert(service.heard == std::vector<std::string>{"i-7"});
    cr_assert(service.left == std::vector<std::string>{"i-7"});
    service.error = ErrorKind::InvalidValue;
    cr_assert_eq(ask(service, "POST", path + "heartbeat", heartbeatBody).status, 400U);
    service.error = ErrorKind::Unreachable;
    cr_assert_eq(ask(service, "POST", path + "heartbeat", heartbeatBody).status, 503U);
}

// Guards against acknowledging a document that is not stored, returning a document that may be
// outdated, and a status other than 503 where another host could serve the operator.
Test(control_api, handlesPutAndGetOfDocuments)
{
    FakeService service;
    cr_assert_eq(ask(service, "POST", "/hyssoprock/config/put", "{ \"a\": 1 }").status, 200U);
    cr_assert(ask(service, "GET", "/hyssoprock/config/get?x=1")
              == (HttpResponse{200, "{ \"a\": 1 }"}));
    service.version = 0;
    cr_assert_eq(ask(service, "GET", "/hyssoprock/config/get").status, 404U);
    for (const auto kind : {ErrorKind::Unreachable, ErrorKind::OutcomeUnknown, ErrorKind::NotLeader,
                            ErrorKind::StorageFull}) {
        service.error = kind;
        cr_assert_eq(ask(service, "POST", "/hyssoprock/config/put").status, 503U);
        cr_assert_eq(ask(service, "GET", "/hyssoprock/config/get").status, 503U);
    }
    service.error = ErrorKind::InvalidValue;
    cr_assert_eq(ask(service, "POST", "/hyssoprock/config/put").status, 400U);
    cr_assert_eq(ask(service, "GET", "/hyssoprock/other").status, 404U);
}

// Guards against reporting a host as ready that cannot serve callers.
Test(control_api, handlesReadinessProbe)
{
    cr_assert_eq(handleReadinessRequest(true, {"GET", "/hyssoprock/readiness", ""}).status, 200U);
    cr_assert_eq(handleReadinessRequest(false, {"GET", "/hyssoprock/readiness", ""}).status, 503U);
    cr_assert_eq(handleReadinessRequest(true, {"GET", "/", ""}).status, 404U);
}

// Guards against treating a promotion with an unknown outcome as refused or completed.
Test(promotion_call, mapsAnswersToOutcomes)
{
    const auto outcome = [](unsigned status) {
        return promotionOutcome(HttpCallResponse{status, ""});
    };
    cr_assert(outcome(200) == PromotionOutcome::Accepted);
    cr_assert(outcome(409) == PromotionOutcome::Refused);
    cr_assert(outcome(429) == PromotionOutcome::Limited);
    cr_assert(outcome(500) == PromotionOutcome::Limited);
    cr_assert(promotionOutcome(failure(ErrorKind::OutcomeUnknown)) == PromotionOutcome::NoAnswer);
    cr_assert(promotionOutcome(failure(ErrorKind::Unreachable)) == PromotionOutcome::Limited);
}

// Guards against choosing a promotion target by an incorrectly parsed position.
Test(status_row, parsesEveryFieldAndRejectsInvalidRows)
{
    EndpointStatusRow expected{EndpointRole::Replica, 3, {3, 1209}, 0, {}, 2, 17};
    expected.lag = std::chrono::milliseconds{12};
    const auto row = parseStatusRow("replica 3 3.1209 0 12 2 17");
    cr_assert(row.has_value() && row.value() == expected);
    cr_assert(parseStatusRow("primary 1 - 1 0 0 1").value().received == LogPosition{});
    for (const auto *const text :
         {"", "replica 3 3.1209 0 12 2", "replica 3 3.1209 0 12 2 17 4", "leader 3 3.1 0 1 2 3",
          "replica 3 31209 0 12 2 17", "replica 3 3.1209x 0 12 2 17", "replica -3 3.1 0 1 2 3",
          "replica 3 3.1 0 99999999999999999 2 3", "replica  3 3.1 0 1 2 3"}) {
        cr_assert(parseStatusRow(text).has_error(), "%s", text);
    }
}
