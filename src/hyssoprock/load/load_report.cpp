#include <hyssoprock/load/load_report.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ostream>

namespace hyssoprock::load {

namespace {

constexpr std::array<std::uint32_t, 4> permilles{500, 950, 990, 999};
constexpr std::array<Outcome, 4> outcomes{Outcome::Done, Outcome::NotRun, Outcome::Unknown,
                                          Outcome::Failed};
constexpr double microsPerMilli = 1000.0;

const char *nameOf(RequestKind kind) noexcept
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

std::string milliseconds(Duration duration)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1f",
                  static_cast<double>(duration.count()) / microsPerMilli);
    return text.data();
}

std::string padded(const std::string &text, std::size_t width)
{
    return text.size() >= width ? text + " " : text + std::string(width - text.size(), ' ');
}

std::uint64_t countOf(const KindFigures &figures, Outcome outcome)
{
    const auto found = figures.outcomes.find(outcome);
    return found == figures.outcomes.end() ? 0 : found->second;
}

std::string quoted(const std::string &text)
{
    std::string out = "\"";
    for (const char letter : text) {
        if (letter == '"' || letter == '\\') {
            out.push_back('\\');
            out.push_back(letter);
        } else if (static_cast<unsigned char>(letter) < 0x20) {
            out.push_back(' ');
        } else {
            out.push_back(letter);
        }
    }
    return out + "\"";
}

std::string replicaShare(const LoadReport &report)
{
    std::uint64_t known = 0;
    std::uint64_t replica = 0;
    for (const auto &[server, count] : report.servedBy) {
        known += server.empty() ? 0 : count;
        replica += server == "replica" ? count : 0;
    }
    if (known == 0) {
        return "unknown";
    }
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1f%%",
                  100.0 * static_cast<double>(replica) / static_cast<double>(known));
    return text.data();
}

void writeTimeline(std::ostream &out, const LoadReport &report)
{
    auto at = Duration{0};
    for (const auto &interval : report.intervals) {
        out << R"({"type":"interval","at_us":)" << at.count() << R"(,"length_us":)"
            << report.interval.count();
        for (const auto outcome : outcomes) {
            const auto found = interval.outcomes.find(outcome);
            out << ",\"" << toString(outcome)
                << "\":" << (found == interval.outcomes.end() ? 0 : found->second);
        }
        for (const auto permille : permilles) {
            out << ",\"p" << permille << "_us\":" << interval.latency.percentile(permille).count();
        }
        out << R"(,"aged_reads":)" << interval.agedReads << R"(,"replica_reads":)"
            << interval.replicaReads << R"(,"sessions_used":)" << interval.sessionsUsed
            << R"(,"errors":{)";
        const auto *separator = "";
        for (const auto &[error, count] : interval.errors) {
            out << separator << quoted(error) << ":" << count;
            separator = ",";
        }
        out << "}}\n";
        at += report.interval;
    }
    for (const auto &gap : report.gaps) {
        out << R"({"type":"gap","group":)" << quoted(gap.group) << R"(,"at_us":)" << gap.at.count()
            << R"(,"length_us":)" << gap.length.count() << "}\n";
    }
}

} // namespace

void LoadReport::add(const StepResult &result, Duration latency)
{
    ++requests;
    auto &figures = kinds[nameOf(result.record.kind)];
    ++figures.outcomes[result.record.outcome];
    if (result.record.outcome == Outcome::Done) {
        figures.latency.add(latency);
        if (result.step.aged) {
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
               return group.second.checked;
           });
}

void writeTable(std::ostream &out, const LoadSettings &settings, const LoadReport &report)
{
    out << "run " << settings.run << " seed " << settings.seed << ": " << report.requests
        << " requests, " << report.unfinished << " unfinished, " << report.unsent << " unsent\n";
    out << "kind          done    not run unknown failed  p50 ms  p95 ms  p99 ms  p99.9 ms max "
           "ms\n";
    for (const auto &[kind, figures] : report.kinds) {
        out << padded(kind, 14);
        for (const auto outcome : outcomes) {
            out << padded(std::to_string(countOf(figures, outcome)), 8);
        }
        for (const auto permille : permilles) {
            out << padded(milliseconds(figures.latency.percentile(permille)), 8);
        }
        out << " " << milliseconds(figures.latency.longest()) << "\n";
    }
    out << "reads with an age allowance served by replicas: " << replicaShare(report) << "\n";
    for (const auto &[name, group] : report.groups) {
        out << "group " << name << ": longest time without an acknowledged write "
            << milliseconds(group.gap) << " ms, " << group.probes << " probe writes, "
            << group.finalRows << " rows" << (group.checked ? "" : ", FINAL ROWS COULD NOT BE READ")
            << "\n";
    }
    for (const auto &[error, count] : report.errors) {
        out << "error " << error << ": " << count << "\n";
    }
    for (const auto &violation : report.violations) {
        out << "BROKEN " << violation.promise << ": " << violation.detail << "\n";
    }
    out << (report.passed() ? "all promises kept" : "PROMISES BROKEN OR NOT CHECKED") << "\n";
}

void writeJson(std::ostream &out, const LoadSettings &settings, const LoadReport &report)
{
    out << R"({"type":"run","run":)" << quoted(settings.run) << R"(,"seed":)" << settings.seed
        << R"(,"rate":)" << settings.rate << R"(,"seconds":)" << settings.seconds
        << R"(,"sessions":)" << settings.sessions << R"(,"requests":)" << report.requests
        << R"(,"started_unix_ms":)" << report.startedUnixMs << R"(,"unfinished":)"
        << report.unfinished << R"(,"unsent":)" << report.unsent << R"(,"passed":)"
        << (report.passed() ? "true" : "false") << "}\n";
    for (const auto &[kind, figures] : report.kinds) {
        out << R"({"type":"kind","kind":)" << quoted(kind);
        for (const auto outcome : outcomes) {
            out << ",\"" << toString(outcome) << "\":" << countOf(figures, outcome);
        }
        for (const auto permille : permilles) {
            out << ",\"p" << permille << "_us\":" << figures.latency.percentile(permille).count();
        }
        out << R"(,"max_us":)" << figures.latency.longest().count() << "}\n";
    }
    for (const auto &[server, count] : report.servedBy) {
        out << R"({"type":"served_by","server":)" << quoted(server) << R"(,"reads":)" << count
            << "}\n";
    }
    for (const auto &[name, group] : report.groups) {
        out << R"({"type":"group","group":)" << quoted(name) << R"(,"gap_us":)" << group.gap.count()
            << R"(,"probes":)" << group.probes << R"(,"final_rows":)" << group.finalRows
            << R"(,"checked":)" << (group.checked ? "true" : "false") << "}\n";
    }
    for (const auto &[error, count] : report.errors) {
        out << R"({"type":"error","error":)" << quoted(error) << R"(,"requests":)" << count
            << "}\n";
    }
    for (const auto &violation : report.violations) {
        out << R"({"type":"violation","promise":)" << quoted(violation.promise) << R"(,"detail":)"
            << quoted(violation.detail) << "}\n";
    }
    writeTimeline(out, report);
}

} // namespace hyssoprock::load
