#include <hyssoprock/pooler/pooler_metrics.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include <hyssoprock/pooler/metric_text.hpp>

namespace hyssoprock {

namespace {

template <std::size_t count>
using Names = std::array<std::string_view, count>;

constexpr Names<routingRuleCount> ruleNames{"write", "primary", "bounded_staleness",
                                            "read_own_writes", "local"};
constexpr Names<answeringRoleCount> targetNames{"none", "primary", "replica"};
constexpr Names<answerKindCount> outcomeNames{"success",
                                              "busy",
                                              "unknown_prepared",
                                              "lagging",
                                              "read_only",
                                              "misrouted",
                                              "too_many_connections",
                                              "aborted",
                                              "failed",
                                              "timed_out",
                                              "unknown",
                                              "no_database",
                                              "not_authorized",
                                              "malformed",
                                              "too_large",
                                              "other"};
constexpr Names<connectionFailureCount> failureNames{
    "refused", "silent", "misrouted", "too_many_connections", "closed", "protocol"};
constexpr Names<reachabilityCount> reachabilityNames{"unknown", "reachable", "silent", "refused",
                                                     "not_primary"};
constexpr Names<outlierChangeCount> outlierChangeNames{"none", "avoided", "trial_failed",
                                                       "returned", "all_failing"};
constexpr Names<promotionOutcomeCount> callNames{"accepted", "refused", "limited", "no_answer"};
constexpr Names<promotionStageCount> partNames{"evidence", "choice", "commit", "call", "total"};

template <std::size_t count>
void addCounters(MetricText &text, std::string_view name, std::string_view help,
                 std::string_view label, const std::array<std::uint64_t, count> &values,
                 const Names<count> &names)
{
    for (std::size_t i = 0; i < count; ++i) {
        text.counter(name, help, values[i], {{label, std::string{names[i]}}});
    }
}

void addStatements(MetricText &text, const PoolerCounters &counters)
{
    for (std::size_t rule = 0; rule < routingRuleCount; ++rule) {
        for (std::size_t target = 0; target < answeringRoleCount; ++target) {
            for (std::size_t outcome = 0; outcome < answerKindCount; ++outcome) {
                text.counter("hyssoprock_pooler_statements_total",
                             "Statements answered, by rule, role of the endpoint and outcome",
                             counters.statements[rule][target][outcome],
                             {{"rule", std::string{ruleNames[rule]}},
                              {"target", std::string{targetNames[target]}},
                              {"outcome", std::string{outcomeNames[outcome]}}});
            }
        }
    }
    for (std::size_t rule = 0; rule < routingRuleCount; ++rule) {
        text.histogram("hyssoprock_pooler_statement_duration_seconds",
                       "Time from a statement to its answer", counters.latency[rule],
                       {{"rule", std::string{ruleNames[rule]}}});
    }
    text.counter("hyssoprock_pooler_statement_retries_total",
                 "Times that statements were sent to an endpoint again", counters.retries);
    text.counter("hyssoprock_pooler_team_refusals_total",
                 "Statements refused because of the limit of their team",
                 counters.overLimitRefusals, {{"reason", "over_limit"}});
    text.counter("hyssoprock_pooler_team_refusals_total",
                 "Statements refused because of the limit of their team",
                 counters.noAllowanceRefusals, {{"reason", "no_control_host"}});
}

} // namespace

std::string entryMetrics(const PoolerCounters &counters, const PoolerUsage &use,
                         std::uint64_t documentVersion)
{
    MetricText text;
    addStatements(text, counters);
    addCounters(text, "hyssoprock_pooler_endpoint_refusals_total",
                "Statements that an endpoint refused to run, by kind", "kind",
                counters.endpointRefusals, outcomeNames);
    addCounters(text, "hyssoprock_pooler_caller_refusals_total",
                "Callers refused at their startup, by kind", "kind", counters.callerRefusals,
                outcomeNames);
    text.counter("hyssoprock_pooler_connections_opened_total",
                 "Connections to endpoints that were requested", counters.connectionsOpened);
    addCounters(text, "hyssoprock_pooler_connections_ended_total",
                "Connections to endpoints that failed or were ended by the endpoint, by reason",
                "reason", counters.connectionsEnded, failureNames);
    addCounters(text, "hyssoprock_pooler_evidence_reports_total",
                "Reports on endpoints to control hosts, by finding", "reachability",
                counters.evidenceReports, reachabilityNames);
    addCounters(text, "hyssoprock_pooler_outlier_changes_total",
                "Decisions on endpoints that reads avoid, by kind", "change",
                counters.outlierChanges, outlierChangeNames);
    for (const auto &endpoint : use.avoided) {
        text.gauge("hyssoprock_pooler_avoided_endpoint",
                   "1 for an endpoint that reads avoid, because they failed there", 1,
                   {{"endpoint", endpoint}});
    }
    text.gauge("hyssoprock_pooler_sessions", "Sessions of callers", use.sessions);
    for (const auto &waiting : use.waiting) {
        text.gauge("hyssoprock_pooler_waiting_sessions",
                   "Sessions that wait for a connection, by service", waiting.sessions,
                   {{"service", waiting.service}});
    }
    for (const auto &count : use.connections) {
        text.gauge("hyssoprock_pooler_endpoint_connections",
                   "Connections to an endpoint; used: a session holds it", count.used,
                   {{"endpoint", count.endpoint}, {"state", "used"}});
        text.gauge("hyssoprock_pooler_endpoint_connections",
                   "Connections to an endpoint; used: a session holds it", count.open - count.used,
                   {{"endpoint", count.endpoint}, {"state", "unused"}});
    }
    text.gauge("hyssoprock_pooler_document_version", "Deployment document in force; 0 for none",
               static_cast<double>(documentVersion));
    return text.str();
}

std::string callerLimitMetrics(const CallerLimitCounters &counters, std::size_t heldBytes)
{
    MetricText text;
    const std::array<std::pair<const char *, std::uint64_t>, 5> values{
        {{"refused_connection", counters.refusedConnections},
         {"refused_memory", counters.refusedForMemory},
         {"closed_memory", counters.closedForMemory},
         {"closed_timeout", counters.timedOut},
         {"stopped_reading", counters.stoppedReading}}};
    for (const auto &[decision, value] : values) {
        text.counter("hyssoprock_pooler_caller_limits_total",
                     "Decisions on callers that reached a limit, by decision", value,
                     {{"decision", decision}});
    }
    text.gauge("hyssoprock_pooler_caller_bytes",
               "Memory that callers' connections hold, as far as it is accounted",
               static_cast<double>(heldBytes));
    return text.str();
}

std::string controlMetrics(const ControlMetricsInput &input)
{
    const auto &status = input.status;
    MetricText text;
    text.gauge("hyssoprock_control_leader", "1 if this host leads the control group",
               input.leading ? 1 : 0);
    text.gauge("hyssoprock_control_term", "Term of the control group",
               static_cast<double>(status.term));
    text.gauge("hyssoprock_control_commit_index", "Last entry known to be committed",
               static_cast<double>(status.commitIndex));
    text.gauge("hyssoprock_control_log_bytes", "Raft log and snapshots on disk",
               static_cast<double>(input.logBytes));
    text.gauge(
        "hyssoprock_control_voters", "Voters of the control group",
        static_cast<double>(std::count_if(status.controlHosts.begin(), status.controlHosts.end(),
                                          [](const auto &host) { return host.voter; })));
    text.gauge("hyssoprock_control_entry_hosts",
               "Entry hosts that share the connections of endpoints", input.entryHosts);
    text.gauge("hyssoprock_control_entry_hosts_behind",
               "Connected entry hosts that have not reported the stored document",
               static_cast<double>(std::count_if(
                   status.entryHosts.begin(), status.entryHosts.end(), [&](const auto &host) {
                       return !host.reported
                              || host.report.documentVersion < status.documentVersion;
                   })));
    std::map<std::array<std::string, 3>, std::uint32_t> endpoints;
    for (const auto &item : status.endpoints) {
        ++endpoints[{item.endpoint.service, std::string{toString(item.endpoint.role)},
                     std::string{toString(item.endpoint.phase)}}];
    }
    for (const auto &[labels, count] : endpoints) {
        text.gauge("hyssoprock_control_endpoints", "Endpoints as their heartbeats describe them",
                   count, {{"service", labels[0]}, {"role", labels[1]}, {"phase", labels[2]}});
    }
    text.gauge("hyssoprock_control_document_version", "Stored deployment document; 0 for none",
               static_cast<double>(status.documentVersion));
    text.counter("hyssoprock_control_documents_stored_total",
                 "Documents that this host has acknowledged to operators", input.documentsStored);
    text.gauge("hyssoprock_control_fencing_token", "Highest fencing token given out",
               static_cast<double>(status.lastToken));
    text.gauge("hyssoprock_control_promotions_unsettled", "Promotions that are not settled",
               static_cast<double>(
                   std::count_if(status.promotions.begin(), status.promotions.end(),
                                 [](const auto &promotion) { return !promotion.settled; })));
    addCounters(text, "hyssoprock_control_promotion_calls_total",
                "Promotion calls of this host, by outcome", "outcome", input.promotions->calls,
                callNames);
    for (std::size_t part = 0; part < promotionStageCount; ++part) {
        text.histogram("hyssoprock_control_promotion_duration_seconds",
                       "Durations of promotions and of their parts", input.promotions->stages[part],
                       {{"part", std::string{partNames[part]}}});
    }
    return text.str();
}

} // namespace hyssoprock
