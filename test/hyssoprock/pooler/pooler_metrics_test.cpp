#include <string>

#include <criterion/criterion.h>

#include <hyssoprock/pooler/metric_text.hpp>
#include <hyssoprock/pooler/pooler_metrics.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

void expectLine(const std::string &text, const std::string &line)
{
    cr_expect(text.find("\n" + line + "\n") != std::string::npos, "%s is missing in\n%s",
              line.c_str(), text.c_str());
}

} // namespace

// Guards against metric names and values that differ from docs/operators/metrics.md.
Test(poolerMetrics, entryHostMetrics)
{
    PoolerCounters counters;
    counters.statements[static_cast<std::size_t>(RoutingRule::ReadOwnWrites)]
                       [static_cast<std::size_t>(AnsweringRole::Replica)]
                       [static_cast<std::size_t>(AnswerKind::Other)] = 3;
    counters.latency[static_cast<std::size_t>(RoutingRule::Write)].add(1ms);
    counters.latency[static_cast<std::size_t>(RoutingRule::Write)].add(1500us);
    counters.latency[static_cast<std::size_t>(RoutingRule::Write)].add(20s);
    counters.retries = 4;
    counters.connectionsEnded[static_cast<std::size_t>(ConnectionFailure::Protocol)] = 5;
    counters.evidenceReports[static_cast<std::size_t>(Reachability::NotPrimary)] = 6;
    counters.endpointRefusals[static_cast<std::size_t>(AnswerKind::TooManyConnections)] = 7;
    counters.callerRefusals[static_cast<std::size_t>(AnswerKind::NoDatabase)] = 8;
    counters.overLimitRefusals = 14;
    counters.noAllowanceRefusals = 15;
    counters.outlierChanges[static_cast<std::size_t>(OutlierChange::Returned)] = 14;
    const auto text = entryMetrics(counters, {9, {{"s", 10}}, {{"e", 12, 11}}, {"f"}}, 13);
    expectLine(
        text,
        R"(hyssoprock_pooler_statements_total{rule="read_own_writes",target="replica",outcome="other"} 3)");
    const std::string duration = R"(hyssoprock_pooler_statement_duration_seconds_)";
    expectLine(text, duration + R"(bucket{rule="write",le="0.001"} 1)");
    expectLine(text, duration + R"(bucket{rule="write",le="0.002"} 2)");
    expectLine(text, duration + R"(bucket{rule="write",le="12"} 2)");
    expectLine(text, duration + R"(bucket{rule="write",le="+Inf"} 3)");
    expectLine(text, duration + R"(count{rule="write"} 3)");
    expectLine(text, duration + R"(sum{rule="write"} 20.0025)");
    expectLine(text, "hyssoprock_pooler_statement_retries_total 4");
    expectLine(text, R"(hyssoprock_pooler_connections_ended_total{reason="protocol"} 5)");
    expectLine(text, R"(hyssoprock_pooler_evidence_reports_total{reachability="not_primary"} 6)");
    expectLine(text, R"(hyssoprock_pooler_endpoint_refusals_total{kind="too_many_connections"} 7)");
    expectLine(text, R"(hyssoprock_pooler_caller_refusals_total{kind="no_database"} 8)");
    expectLine(text, R"(hyssoprock_pooler_team_refusals_total{reason="over_limit"} 14)");
    expectLine(text, R"(hyssoprock_pooler_team_refusals_total{reason="no_control_host"} 15)");
    expectLine(text, "hyssoprock_pooler_sessions 9");
    expectLine(text, R"(hyssoprock_pooler_waiting_sessions{service="s"} 10)");
    expectLine(text, R"(hyssoprock_pooler_endpoint_connections{endpoint="e",state="used"} 11)");
    expectLine(text, R"(hyssoprock_pooler_endpoint_connections{endpoint="e",state="unused"} 1)");
    expectLine(text, "hyssoprock_pooler_document_version 13");
    expectLine(text, R"(hyssoprock_pooler_outlier_changes_total{change="returned"} 14)");
    expectLine(text, R"(hyssoprock_pooler_avoided_endpoint{endpoint="f"} 1)");
}

// Guards against control host metrics that differ from docs/operators/metrics.md.
Test(poolerMetrics, controlHostMetrics)
{
    ControlMetricsInput input;
    input.status.term = 2;
    input.status.commitIndex = 3;
    input.status.controlHosts = {{"a", true, false, 0}, {"b", false, false, 0}};
    input.status.documentVersion = 4;
    input.status.lastToken = 5;
    input.status.promotions = {{"s", "e", 5, false, false}, {"t", "f", 4, true, true}};
    input.status.entryHosts.resize(2);
    PooledEndpointStatus endpoint;
    endpoint.endpoint.service = "s";
    endpoint.endpoint.phase = EndpointPhase::Draining;
    input.status.endpoints = {endpoint, endpoint};
    input.leading = true;
    input.logBytes = 6;
    input.entryHosts = 7;
    input.documentsStored = 8;
    PromotionCounters promotions;
    promotions.calls[static_cast<std::size_t>(PromotionOutcome::NoAnswer)] = 9;
    promotions.stages[static_cast<std::size_t>(PromotionStage::Total)].add(250ms);
    input.promotions = &promotions;
    const auto text = "\n" + controlMetrics(input);
    expectLine(text, "hyssoprock_control_leader 1");
    expectLine(text, "hyssoprock_control_term 2");
    expectLine(text, "hyssoprock_control_commit_index 3");
    expectLine(text, "hyssoprock_control_voters 1");
    expectLine(text, "hyssoprock_control_document_version 4");
    expectLine(text, "hyssoprock_control_fencing_token 5");
    expectLine(text, "hyssoprock_control_promotions_unsettled 1");
    expectLine(text, "hyssoprock_control_entry_hosts_behind 2");
    expectLine(text,
               R"(hyssoprock_control_endpoints{service="s",role="replica",phase="draining"} 2)");
    expectLine(text, "hyssoprock_control_log_bytes 6");
    expectLine(text, "hyssoprock_control_entry_hosts 7");
    expectLine(text, "hyssoprock_control_documents_stored_total 8");
    expectLine(text, R"(hyssoprock_control_promotion_calls_total{outcome="no_answer"} 9)");
    expectLine(text, R"(hyssoprock_control_promotion_duration_seconds_sum{part="total"} 0.25)");
}

// Guards against metrics served on other paths or for other methods.
Test(poolerMetrics, otherPathsAndMethodsAreRejected)
{
    const auto text = []() { return std::string{"x"}; };
    cr_assert_eq(handleMetricsRequest({"GET", "/metrics", ""}, text).status, 200U);
    cr_assert(handleMetricsRequest({"GET", "/metrics?a=b", ""}, text).body == "x");
    cr_assert_eq(handleMetricsRequest({"GET", "/", ""}, text).status, 404U);
    cr_assert_eq(handleMetricsRequest({"POST", "/metrics", ""}, text).status, 405U);
}
