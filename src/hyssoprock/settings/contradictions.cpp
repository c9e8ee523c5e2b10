#include "contradictions.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include <hyssoprock/settings/address.hpp>
#include <hyssoprock/settings/loader.hpp>

namespace hyssoprock::internal {

namespace {

constexpr std::size_t tokenKeyBytesMin = 16;
constexpr std::size_t controlHostCountMax = 7;

/// A constraint on several settings; key and text form the error if it is violated.
template <class File>
struct Rule
{
    std::string_view key;
    std::string_view text;
    bool (*isViolated)(const File &);
};

bool isEntry(const Settings &settings)
{
    return hasRole(settings, "entry");
}

bool isControl(const Settings &settings)
{
    return hasRole(settings, "control");
}

// clang-format off
const std::array rules{
    Rule<Settings>{"host.name", "must not be empty", [](const Settings &s) { return s.host.name.empty(); }},
    Rule<Settings>{"host.data_centre", "must not be empty", [](const Settings &s) { return s.host.dataCentre.empty(); }},
    Rule<Settings>{"host.name", "must not contain '@', '=' or a space", [](const Settings &s) { return s.host.name.find_first_of("@= ") != std::string::npos; }},
    Rule<Settings>{"host.roles", "at least one role is needed", [](const Settings &s) { return s.host.roles.empty(); }},
    Rule<Settings>{"host.data_folder", "a control host needs a data folder", [](const Settings &s) { return isControl(s) && s.host.dataFolder.empty(); }},
    Rule<Settings>{"listen.control", "a control host needs an address for processes and operators", [](const Settings &s) { return isControl(s) && s.listen.control.empty(); }},
    Rule<Settings>{"listen.callers", "an entry host needs an address for callers", [](const Settings &s) { return isEntry(s) && s.listen.callers.empty(); }},
    Rule<Settings>{"listen.peers", "an entry host needs an address for datagrams", [](const Settings &s) { return isEntry(s) && s.listen.peers.empty(); }},
    Rule<Settings>{"session.token_key", "an entry host needs a token key of at least 16 bytes", [](const Settings &s) { return isEntry(s) && s.session.tokenKey.size() < tokenKeyBytesMin; }},
    Rule<Settings>{"control.hosts", "at least one control host is needed", [](const Settings &s) { return s.control.hosts.empty(); }},
    Rule<Settings>{"control.hosts", "at most 7 control hosts are allowed", [](const Settings &s) { return s.control.hosts.size() > controlHostCountMax; }},
    Rule<Settings>{"raft.election_timeout_min_ms", "must be above two heartbeats (raft.heartbeat_ms)", [](const Settings &s) { return s.raft.electionTimeoutMin <= 2 * s.raft.heartbeat; }},
    Rule<Settings>{"raft.election_timeout_max_ms", "must be above raft.election_timeout_min_ms", [](const Settings &s) { return s.raft.electionTimeoutMax <= s.raft.electionTimeoutMin; }},
    Rule<Settings>{"lease.renew_interval_ms", "must be below half of lease.host_lease_ms", [](const Settings &s) { return 2 * s.lease.renewInterval >= s.lease.hostLease; }},
    Rule<Settings>{"lease.probe_interval_ms", "must be below half of lease.evidence_ms", [](const Settings &s) { return 2 * s.lease.probeInterval >= s.lease.evidence; }},
    Rule<Settings>{"membership.probe_timeout_ms", "must be below membership.probe_interval_ms", [](const Settings &s) { return s.membership.probeTimeout >= s.membership.probeInterval; }},
    Rule<Settings>{"limits.reserved_connections", "must hold lease.observers, one control host and limits.local_connections for each of limits.local_hosts", [](const Settings &s) { return s.limits.reservedConnections < s.lease.observers + 1 + s.limits.localConnections * s.limits.localHosts; }},
    Rule<Settings>{"limits.election_deadline_ms", "must not be below limits.queue_deadline_ms", [](const Settings &s) { return s.limits.electionDeadline < s.limits.queueDeadline; }},
    Rule<Settings>{"request.majority_poll_ms", "must be below request.majority_timeout_ms", [](const Settings &s) { return s.request.majorityPoll >= s.request.majorityTimeout; }},
    Rule<Settings>{"request.buffer_bytes", "must not be above request.message_bytes_max", [](const Settings &s) { return s.request.bufferBytes > s.request.messageBytesMax; }},
};
// clang-format on

bool isPooledControl(const PooledSettings &settings)
{
    return settings.host.role == "control";
}

/// Whether other processes cannot connect to an address because it is empty or its port is 0.
bool lacksPort(const std::string &text)
{
    const auto address = parseAddress(text);
    return address.has_error() || address.value().port == 0;
}

// clang-format off
const std::array pooledRules{
    Rule<PooledSettings>{"host.name", "must not be empty", [](const PooledSettings &s) { return s.host.name.empty(); }},
    Rule<PooledSettings>{"host.data_centre", "must not be empty", [](const PooledSettings &s) { return s.host.dataCentre.empty(); }},
    Rule<PooledSettings>{"host.data_folder", "a control host needs a data folder", [](const PooledSettings &s) { return isPooledControl(s) && s.host.dataFolder.empty(); }},
    Rule<PooledSettings>{"listen.callers", "an entry host needs an address for callers", [](const PooledSettings &s) { return !isPooledControl(s) && s.listen.callers.empty(); }},
    Rule<PooledSettings>{"listen.control", "a control host needs an address for operators and endpoints", [](const PooledSettings &s) { return isPooledControl(s) && s.listen.control.empty(); }},
    Rule<PooledSettings>{"listen.internal", "must have a port other than 0, because it is the same on all hosts", [](const PooledSettings &s) { return lacksPort(s.listen.internal); }},
    Rule<PooledSettings>{"raft.election_timeout_min_ms", "must be above two heartbeats (raft.heartbeat_ms)", [](const PooledSettings &s) { return s.raft.electionTimeoutMin <= 2 * s.raft.heartbeat; }},
    Rule<PooledSettings>{"raft.election_timeout_max_ms", "must be above raft.election_timeout_min_ms", [](const PooledSettings &s) { return s.raft.electionTimeoutMax <= s.raft.electionTimeoutMin; }},
};
// clang-format on

/// Reports malformed entries. Returns the names if every entry is valid.
std::optional<std::set<std::string>> checkNamedAddresses(const std::vector<std::string> &entries,
                                                         std::string_view key,
                                                         const ReportViolation &report)
{
    std::set<std::string> names;
    bool valid = true;
    const auto reportInvalid = [&](std::string text) {
        valid = false;
        report(key, std::move(text));
    };
    for (const auto &entry : entries) {
        const auto named = parseNamedAddress(entry);
        if (named.has_error()) {
            reportInvalid(named.error().detail);
        } else if (named.value().address.port == 0) {
            reportInvalid("\"" + entry + "\" has no port");
        } else if (!names.insert(named.value().name).second) {
            reportInvalid("\"" + named.value().name + "\" is named twice");
        }
    }
    return valid ? std::optional{names} : std::nullopt;
}

} // namespace

void checkConstraints(const Settings &settings, const ReportViolation &report)
{
    for (const auto &rule : rules) {
        if (rule.isViolated(settings)) {
            report(rule.key, std::string{rule.text});
        }
    }
    const auto hosts = checkNamedAddresses(settings.control.hosts, "control.hosts", report);
    if (isControl(settings) && !settings.host.name.empty() && hosts && !hosts->empty()
        && !hosts->contains(settings.host.name)) {
        report("control.hosts", "must list this control host, \"" + settings.host.name + "\"");
    }
    checkNamedAddresses(settings.control.peers, "control.peers", report);
}

void checkConstraints(const PooledSettings &settings, const ReportViolation &report)
{
    for (const auto &rule : pooledRules) {
        if (rule.isViolated(settings)) {
            report(rule.key, std::string{rule.text});
        }
    }
    for (const auto &seed : settings.seeds.controlHosts) {
        if (const auto address = parseAddress(seed); address.has_error()) {
            report("seeds.control_hosts", address.error().detail);
        }
    }
}

} // namespace hyssoprock::internal
