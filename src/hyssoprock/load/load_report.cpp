#include <hyssoprock/load/load_report.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ostream>

namespace hyssoprock::load {

namespace {

constexpr std::array<std::uint32_t, 4> percentilesPermille{500, 950, 990, 999};
constexpr std::array<Outcome, 4> outcomes{Outcome::Done, Outcome::NotRun, Outcome::Unknown,
                                          Outcome::Failed};
constexpr double microsPerMilli = 1000.0;

const char *kindName(RequestKind kind) noexcept
{
    switch (kind) {
    case RequestKind::Read:
        return "read";
    case RequestKind::Write:
        return "write";
    case RequestKind::Transaction:
        return "transaction";
    }
    return "invalid";
}

std::string formatMilliseconds(Duration duration)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1f",
                  static_cast<double>(duration.count()) / microsPerMilli);
    return text.data();
}

std::string padRight(const std::string &text, std::size_t width)
{
    return text.size() >= width ? text + " " : text + std::string(width - text.size(), ' ');
}

std::uint64_t outcomeCount(const KindStatistics &statistics, Outcome outcome)
{
    const auto found = statistics.outcomes.find(outcome);
    return found == statistics.outcomes.end() ? 0 : found->second;
}

std::string jsonString(const std::string &text)
{
    std::string out = "\"";
    for (const char character : text) {
        if (character == '"' || character == '\\') {
            out.push_back('\\');
            out.push_back(character);
        } else if (static_cast<unsigned char>(character) < 0x20) {
            out.push_back(' ');
        } else {
            out.push_back(character);
        }
    }
    return out + "\"";
}

std::string replicaShare(const LoadReport &report)
{
    std::uint64_t servedCount = 0;
    std::uint64_t replicaCount = 0;
    for (const auto &[server, count] : report.servedBy) {
        servedCount += server.empty() ? 0 : count;
        replicaCount += server == "replica" ? count : 0;
    }
    if (servedCount == 0) {
        return "unknown";
    }
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1f%%",
                  100.0 * static_cast<double>(replicaCount) / static_cast<double>(servedCount));
    return text.data();
}

void writeTimeline(std::ostream &out, const LoadReport &report)
{
    auto startOffset = Duration{0};
    for (const auto &interval : report.intervals) {
        out << R"({"type":"interval","at_us":)" << startOffset.count() << R"(,"length_us":)"
            << report.interval.count();
        for (const auto outcome : outcomes) {
            const auto found = interval.outcomes.find(outcome);
            out << ",\"" << toString(outcome)
                << "\":" << (found == interval.outcomes.end() ? 0 : found->second);
        }
        for (const auto permille : percentilesPermille) {
            out << ",\"p" << permille << "_us\":" << interval.latency.percentile(permille).count();
        }
        out << R"(,"aged_reads":)" << interval.allowStaleReads << R"(,"replica_reads":)"
            << interval.replicaReads << R"(,"sessions_used":)" << interval.activeSessionsMax
            << R"(,"errors":{)";
        const auto *separator = "";
        for (const auto &[error, count] : interval.errors) {
            out << separator << jsonString(error) << ":" << count;
            separator = ",";
        }
        out << "}}\n";
        startOffset += report.interval;
    }
    for (const auto &gap : report.gaps) {
        out << R"({"type":"gap","group":)" << jsonString(gap.group) << R"(,"at_us":)"
            << gap.startOffset.count() << R"(,"length_us":)" << gap.length.count() << "}\n";
    }
}

} // namespace

void LoadReport::add(const OperationResult &result, Duration latency)
{
    ++requests;
    auto &statistics = kinds[kindName(result.record.kind)];
    ++statistics.outcomes[result.record.outcome];
    if (result.record.outcome == Outcome::Done) {
        statistics.latency.add(latency);
        if (result.operation.allowStale) {
            ++servedBy[result.servedBy];
        }
    }
    if (!result.error.empty()) {
        ++errors[result.error];
    }
}

bool LoadReport::passed() const
{
    return violations.empty() && std::all_of(groups.begin(), groups.end(), [](const auto &group) {
               return group.second.finalRowsRead;
           });
}

void writeTable(std::ostream &out, const LoadSettings &settings, const LoadReport &report)
{
    out << "run " << settings.runId << " seed " << settings.seed << ": " << report.requests
        << " requests, " << report.unfinished << " unfinished, " << report.unsent << " unsent\n";
    out << "kind          done    not run unknown failed  p50 ms  p95 ms  p99 ms  p99.9 ms max "
           "ms\n";
    for (const auto &[kind, statistics] : report.kinds) {
        out << padRight(kind, 14);
        for (const auto outcome : outcomes) {
            out << padRight(std::to_string(outcomeCount(statistics, outcome)), 8);
        }
        for (const auto permille : percentilesPermille) {
            out << padRight(formatMilliseconds(statistics.latency.percentile(permille)), 8);
        }
        out << " " << formatMilliseconds(statistics.latency.longest()) << "\n";
    }
    out << "reads with an age allowance served by replicas: " << replicaShare(report) << "\n";
    for (const auto &[name, group] : report.groups) {
        out << "group " << name << ": longest time without an acknowledged write "
            << formatMilliseconds(group.longestWriteGap) << " ms, " << group.acknowledgedProbes
            << " probe writes, " << group.finalRowCount << " rows"
            << (group.finalRowsRead ? "" : ", FINAL ROWS COULD NOT BE READ") << "\n";
    }
    for (const auto &[error, count] : report.errors) {
        out << "error " << error << ": " << count << "\n";
    }
    for (const auto &violation : report.violations) {
        out << "BROKEN " << violation.guarantee << ": " << violation.detail << "\n";
    }
    out << (report.passed() ? "all promises kept" : "PROMISES BROKEN OR NOT CHECKED") << "\n";
}

void writeJson(std::ostream &out, const LoadSettings &settings, const LoadReport &report)
{
    out << R"({"type":"run","run":)" << jsonString(settings.runId) << R"(,"seed":)" << settings.seed
        << R"(,"rate":)" << settings.requestsPerSecond << R"(,"seconds":)"
        << settings.durationSeconds << R"(,"sessions":)" << settings.sessionCount
        << R"(,"requests":)" << report.requests << R"(,"started_unix_ms":)" << report.startedUnixMs
        << R"(,"unfinished":)" << report.unfinished << R"(,"unsent":)" << report.unsent
        << R"(,"passed":)" << (report.passed() ? "true" : "false") << "}\n";
    for (const auto &[kind, statistics] : report.kinds) {
        out << R"({"type":"kind","kind":)" << jsonString(kind);
        for (const auto outcome : outcomes) {
            out << ",\"" << toString(outcome) << "\":" << outcomeCount(statistics, outcome);
        }
        for (const auto permille : percentilesPermille) {
            out << ",\"p" << permille
                << "_us\":" << statistics.latency.percentile(permille).count();
        }
        out << R"(,"max_us":)" << statistics.latency.longest().count() << "}\n";
    }
    for (const auto &[server, count] : report.servedBy) {
        out << R"({"type":"served_by","server":)" << jsonString(server) << R"(,"reads":)" << count
            << "}\n";
    }
    for (const auto &[name, group] : report.groups) {
        out << R"({"type":"group","group":)" << jsonString(name) << R"(,"gap_us":)"
            << group.longestWriteGap.count() << R"(,"probes":)" << group.acknowledgedProbes
            << R"(,"final_rows":)" << group.finalRowCount << R"(,"checked":)"
            << (group.finalRowsRead ? "true" : "false") << "}\n";
    }
    for (const auto &[error, count] : report.errors) {
        out << R"({"type":"error","error":)" << jsonString(error) << R"(,"requests":)" << count
            << "}\n";
    }
    for (const auto &violation : report.violations) {
        out << R"({"type":"violation","promise":)" << jsonString(violation.guarantee)
            << R"(,"detail":)" << jsonString(violation.detail) << "}\n";
    }
    writeTimeline(out, report);
}

} // namespace hyssoprock::load
