#include <hyssoprock/pooler/status_text.hpp>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include <hyssoprock/daemon/json_text.hpp>

namespace hyssoprock {

namespace {

/// Text table with aligned columns.
class Table
{
public:
    explicit Table(std::vector<std::string> head) { add(std::move(head)); }

    void add(std::vector<std::string> line) { lines_.push_back(std::move(line)); }

    [[nodiscard]] std::string str() const
    {
        std::vector<std::size_t> widths(lines_.front().size());
        for (const auto &line : lines_) {
            for (std::size_t i = 0; i < line.size(); ++i) {
                widths[i] = std::max(widths[i], line[i].size());
            }
        }
        std::string text;
        for (const auto &line : lines_) {
            std::string row;
            for (std::size_t i = 0; i < line.size(); ++i) {
                row += line[i] + std::string(widths[i] - line[i].size() + 2, ' ');
            }
            row.erase(row.find_last_not_of(' ') + 1);
            text += row + "\n";
        }
        return text;
    }

private:
    std::vector<std::vector<std::string>> lines_{};
};

std::string orNone(const std::string &text)
{
    return text.empty() ? "none" : text;
}

std::string milliseconds(std::uint64_t value)
{
    return std::to_string(value) + " ms";
}

std::string waitingText(const EntryReport &report)
{
    std::string text;
    for (const auto &waiting : report.waiting) {
        text +=
            (text.empty() ? "" : " ") + waiting.service + ":" + std::to_string(waiting.sessions);
    }
    return text.empty() ? "-" : text;
}

struct ConnectionTotal
{
    std::uint32_t open = 0;
    std::uint32_t used = 0;
};

ConnectionTotal totalOf(const EntryReport &report)
{
    ConnectionTotal total;
    for (const auto &count : report.connections) {
        total.open += count.open;
        total.used += count.used;
    }
    return total;
}

std::map<std::string, ConnectionTotal> totalsByEndpoint(const PooledStatusResponse &status)
{
    std::map<std::string, ConnectionTotal> totals;
    for (const auto &host : status.entryHosts) {
        for (const auto &count : host.report.connections) {
            totals[count.endpoint].open += count.open;
            totals[count.endpoint].used += count.used;
        }
    }
    return totals;
}

std::string describeGroup(const PooledStatusResponse &status)
{
    std::string text = "control leader " + orNone(status.leader) + ", term "
                       + std::to_string(status.term) + ", commit index "
                       + std::to_string(status.commitIndex) + ", answered by " + status.answeredBy
                       + (status.answeredBy == status.leader ? "" : " (not the leader)") + "\n";
    const auto inForce = std::count_if(
        status.entryHosts.begin(), status.entryHosts.end(), [&](const EntryHostStatus &host) {
            return host.reported && host.report.documentVersion >= status.documentVersion;
        });
    text +=
        "configuration version "
        + (status.documentVersion == 0
               ? std::string{"none"}
               : std::to_string(status.documentVersion) + ", in force at " + std::to_string(inForce)
                     + " of " + std::to_string(status.entryHosts.size()) + " entry hosts")
        + "\nfencing token " + std::to_string(status.lastToken) + "\n";
    Table hosts{{"CONTROL HOST", "ROLE", "LAST HEARD"}};
    for (const auto &host : status.controlHosts) {
        const std::string role = !host.voter       ? "spare"
                                 : host.recovering ? "voter, recovering"
                                                   : "voter";
        hosts.add(
            {host.host, role, host.host == status.answeredBy ? "-" : milliseconds(host.silentMs)});
    }
    return text + "\n" + hosts.str();
}

std::string describePromotions(const PooledStatusResponse &status)
{
    Table table{{"SERVICE", "PRIMARY", "EPOCH", "LAST PROMOTION", "TOKEN", "STATE"}};
    std::map<std::string, std::pair<const PrimaryRecord *, const PromotionRecord *>> services;
    for (const auto &primary : status.primaries) {
        services[primary.service].first = &primary;
    }
    for (const auto &promotion : status.promotions) {
        services[promotion.service].second = &promotion;
    }
    for (const auto &[service, known] : services) {
        const auto *primary = known.first;
        const auto *promotion = known.second;
        const std::string state = promotion == nullptr  ? "-"
                                  : !promotion->settled ? "not settled"
                                  : promotion->promoted ? "settled"
                                                        : "refused";
        table.add({service, primary == nullptr ? "unknown" : orNone(primary->endpoint),
                   primary == nullptr ? "-" : std::to_string(primary->epoch),
                   promotion == nullptr ? "-" : promotion->endpoint,
                   promotion == nullptr ? "-" : std::to_string(promotion->token), state});
    }
    return services.empty() ? "" : "\n" + table.str();
}

std::string describeEndpoints(const PooledStatusResponse &status)
{
    Table table{{"ENDPOINT", "SERVICE", "DATA CENTRE", "ROLE", "PHASE", "TERM", "POSITION", "LAG",
                 "SLOTS", "OPEN/USED", "HEARTBEAT", "INCARNATION"}};
    const auto totals = totalsByEndpoint(status);
    for (const auto &item : status.endpoints) {
        const auto &record = item.endpoint;
        const auto role = item.answered ? item.role : record.role;
        const auto total = totals.find(record.id);
        table.add(
            {record.id, record.service, record.dataCentre, std::string{toString(role)},
             std::string{toString(record.phase)}, item.answered ? std::to_string(item.term) : "?",
             item.answered ? toString(item.position) : "no answer",
             item.answered ? milliseconds(item.lagMs) : "?",
             (item.answered ? std::to_string(item.busy) : "?") + "/" + std::to_string(record.slots),
             total == totals.end()
                 ? "0/0"
                 : std::to_string(total->second.open) + "/" + std::to_string(total->second.used),
             milliseconds(item.heartbeatAgeMs), std::to_string(record.bornMs)});
    }
    return status.endpoints.empty() ? "\nno endpoints\n" : "\n" + table.str();
}

std::string describeEntryHosts(const PooledStatusResponse &status)
{
    Table table{{"ENTRY HOST", "DATA CENTRE", "VERSION", "SESSIONS", "WAITING", "OPEN/USED"}};
    for (const auto &host : status.entryHosts) {
        if (!host.reported) {
            table.add({host.host, host.dataCentre, "no report", "?", "?", "?"});
            continue;
        }
        const auto &report = host.report;
        const auto total = totalOf(report);
        table.add({host.host, host.dataCentre,
                   std::to_string(report.documentVersion)
                       + (report.documentVersion < status.documentVersion ? " (behind)" : ""),
                   std::to_string(report.sessions), waitingText(report),
                   std::to_string(total.open) + "/" + std::to_string(total.used)});
    }
    return status.entryHosts.empty() ? "\nno entry host is connected\n" : "\n" + table.str();
}

std::string jsonEndpoint(const PooledEndpointStatus &item)
{
    const auto &record = item.endpoint;
    JsonObject object;
    object.text("endpoint", record.id)
        .text("service", record.service)
        .text("address", record.address)
        .text("data_centre", record.dataCentre)
        .text("role", toString(item.answered ? item.role : record.role))
        .text("phase", toString(record.phase))
        .number("incarnation", record.bornMs)
        .number("slots", record.slots)
        .number("heartbeat_age_ms", item.heartbeatAgeMs)
        .flag("answered", item.answered);
    if (item.answered) {
        object.number("term", item.term)
            .text("position", toString(item.position))
            .number("lag_ms", item.lagMs)
            .number("busy", item.busy)
            .number("connections", item.connections);
    }
    return object.str();
}

std::string jsonEntryHost(const EntryHostStatus &host)
{
    JsonObject object;
    object.text("host", host.host)
        .text("data_centre", host.dataCentre)
        .flag("reported", host.reported);
    if (host.reported) {
        object.number("version", host.report.documentVersion)
            .number("sessions", host.report.sessions)
            .raw("waiting", jsonList(host.report.waiting,
                                     [](const WaitingSessions &waiting) {
                                         return JsonObject{}
                                             .text("service", waiting.service)
                                             .number("sessions", waiting.sessions)
                                             .str();
                                     }))
            .raw("connections", jsonList(host.report.connections, [](const ConnectionCount &count) {
                     return JsonObject{}
                         .text("endpoint", count.endpoint)
                         .number("open", count.open)
                         .number("used", count.used)
                         .str();
                 }));
    }
    return object.str();
}

} // namespace

std::string describe(const PooledStatusResponse &status)
{
    return describeGroup(status) + describePromotions(status) + describeEndpoints(status)
           + describeEntryHosts(status);
}

std::string toJson(const PooledStatusResponse &status)
{
    return JsonObject{}
        .text("answered_by", status.answeredBy)
        .text("leader", status.leader)
        .number("term", status.term)
        .number("commit_index", status.commitIndex)
        .raw("control_hosts", jsonList(status.controlHosts,
                                       [](const ControlHostStatus &host) {
                                           return JsonObject{}
                                               .text("host", host.host)
                                               .flag("voter", host.voter)
                                               .flag("recovering", host.recovering)
                                               .number("silent_ms", host.silentMs)
                                               .str();
                                       }))
        .number("version", status.documentVersion)
        .number("last_token", status.lastToken)
        .raw("promotions", jsonList(status.promotions,
                                    [](const PromotionRecord &promotion) {
                                        return JsonObject{}
                                            .text("service", promotion.service)
                                            .text("endpoint", promotion.endpoint)
                                            .number("token", promotion.token)
                                            .flag("settled", promotion.settled)
                                            .flag("promoted", promotion.promoted)
                                            .str();
                                    }))
        .raw("primaries", jsonList(status.primaries,
                                   [](const PrimaryRecord &primary) {
                                       return JsonObject{}
                                           .text("service", primary.service)
                                           .text("endpoint", primary.endpoint)
                                           .number("epoch", primary.epoch)
                                           .str();
                                   }))
        .raw("endpoints", jsonList(status.endpoints, jsonEndpoint))
        .raw("entry_hosts", jsonList(status.entryHosts, jsonEntryHost))
        .str();
}

} // namespace hyssoprock
