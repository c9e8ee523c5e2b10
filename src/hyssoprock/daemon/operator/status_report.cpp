#include <hyssoprock/daemon/operator/status_report.hpp>

#include <algorithm>
#include <functional>

namespace hyssoprock {

namespace {

const GroupView *viewOf(const StatusResponse &status, const std::string &group)
{
    const auto found = std::find_if(status.views.begin(), status.views.end(),
                                    [&](const GroupView &view) { return view.group == group; });
    return found == status.views.end() ? nullptr : &*found;
}

/// Number of log entries by which an endpoint is behind the primary of its group.
std::uint64_t lagOf(const StatusResponse &status, const EndpointStatus &endpoint)
{
    const auto *view = viewOf(status, endpoint.group);
    for (const auto &other : status.endpoints) {
        if (view != nullptr && other.member.announcement.endpoint == view->primary
            && other.position.index > endpoint.position.index) {
            return other.position.index - endpoint.position.index;
        }
    }
    return 0;
}

std::string jsonRule(const RecordKindRule &rule)
{
    return JsonObject{}
        .text("group", rule.group)
        .text("kind", rule.kind)
        .number("max_age_ms", rule.maxAgeMs)
        .flag("replicas_allowed", rule.replicasAllowed)
        .raw("versions",
             jsonList(
                 rule.versions,
                 [](const VersionRule &version) {
                     JsonObject object;
                     object.number("version", version.version).flag("writable", version.writable);
                     if (version.completeFrom) {
                         object.text("complete_from", toString(*version.completeFrom));
                     }
                     return object.str();
                 }))
        .number("revision", rule.revision)
        .str();
}

std::string jsonEndpoint(const StatusResponse &status, const EndpointStatus &endpoint)
{
    const auto &member = endpoint.member;
    return JsonObject{}
        .text("endpoint", member.announcement.endpoint)
        .text("group", endpoint.group)
        .text("data_centre", member.announcement.dataCentre)
        .text("address", member.announcement.address)
        .text("state", toString(member.state))
        .flag("voter", member.voter)
        .flag("reachable", endpoint.reachable)
        .text("role", endpoint.role)
        .text("position", toString(endpoint.position))
        .number("lag_entries", lagOf(status, endpoint))
        .number("granted_connections", endpoint.granted)
        .str();
}

} // namespace

RevisionProgress revisionProgress(const StatusResponse &status, std::uint64_t revision)
{
    RevisionProgress progress;
    progress.revision = revision;
    for (const auto &host : status.hosts) {
        if (host.leaseRemainingMs <= 0) {
            continue;
        }
        if (host.configRevision < revision) {
            progress.behind.push_back(host.host);
        } else {
            ++progress.inForce;
        }
    }
    return progress;
}

std::string describe(const StatusResponse &status)
{
    std::string text =
        "leader " + status.leader + ", term " + std::to_string(status.term) + ", control hosts";
    for (const auto &host : status.controlHosts) {
        text += " " + host;
    }
    text += "\nconfiguration revision " + std::to_string(status.configuration.revision) + "\n";
    for (const auto &view : status.views) {
        text += "group " + view.group + ": " + std::string{toString(view.state)} + ", term "
                + std::to_string(view.term) + ", primary "
                + (view.primary.empty() ? "none" : view.primary) + "\n";
        for (const auto &endpoint : status.endpoints) {
            if (endpoint.group != view.group) {
                continue;
            }
            const auto &member = endpoint.member;
            text +=
                "  endpoint " + member.announcement.endpoint + " (" + member.announcement.dataCentre
                + ", " + member.announcement.address + "): " + std::string{toString(member.state)}
                + ", " + (member.voter ? "voter" : "no voter") + ", "
                + (endpoint.reachable ? "reachable" : "unreachable") + ", role "
                + (endpoint.role.empty() ? "unknown" : endpoint.role) + ", position "
                + toString(endpoint.position) + ", lag " + std::to_string(lagOf(status, endpoint))
                + " entries, " + std::to_string(endpoint.granted) + " connections granted\n";
        }
    }
    for (const auto &host : status.hosts) {
        text += "host " + host.host + " (" + host.dataCentre + "): lease "
                + std::to_string(host.leaseRemainingMs) + " ms, view "
                + std::to_string(host.viewVersion) + ", configuration revision "
                + std::to_string(host.configRevision)
                + (host.configRevision < status.configuration.revision ? " (behind)" : "") + "\n";
    }
    return text;
}

std::string toJson(const StatusResponse &status)
{
    const auto &configuration = status.configuration;
    const auto quoted = [](const std::string &text) { return jsonString(text); };
    return JsonObject{}
        .text("leader", status.leader)
        .number("term", status.term)
        .raw("control_hosts", jsonList(status.controlHosts, quoted))
        .number("revision", configuration.revision)
        .raw("rules", jsonList(configuration.rules, jsonRule))
        .raw("stops", jsonList(configuration.stops, quoted))
        .raw("groups", jsonList(status.views,
                                [](const GroupView &view) {
                                    return JsonObject{}
                                        .text("group", view.group)
                                        .text("state", toString(view.state))
                                        .number("term", view.term)
                                        .text("primary", view.primary)
                                        .number("view_version", view.version)
                                        .str();
                                }))
        .raw("endpoints", jsonList(status.endpoints,
                                   [&](const EndpointStatus &endpoint) {
                                       return jsonEndpoint(status, endpoint);
                                   }))
        .raw("hosts", jsonList(status.hosts,
                               [](const HostStatus &host) {
                                   return JsonObject{}
                                       .text("host", host.host)
                                       .text("data_centre", host.dataCentre)
                                       .number("view_version", host.viewVersion)
                                       .number("config_revision", host.configRevision)
                                       .number("lease_remaining_ms", host.leaseRemainingMs)
                                       .str();
                               }))
        .str();
}

std::string toJson(const std::string &changeId, const OperatorResponse &response)
{
    return JsonObject{}
        .text("change_id", changeId)
        .text("result", toString(response.kind))
        .number("revision", response.revision)
        .text("winner", response.winner)
        .text("detail", response.detail)
        .str();
}

std::string toJson(const RevisionProgress &progress)
{
    return JsonObject{}
        .number("revision", progress.revision)
        .flag("everywhere", progress.everywhere())
        .number("in_force", progress.inForce)
        .raw("behind",
             jsonList(progress.behind, [](const std::string &text) { return jsonString(text); }))
        .str();
}

} // namespace hyssoprock
