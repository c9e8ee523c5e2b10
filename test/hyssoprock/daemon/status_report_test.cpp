#include <string>

#include <criterion/criterion.h>

#include <hyssoprock/daemon/operator/status_report.hpp>

using namespace hyssoprock;

namespace {

StatusResponse sample()
{
    StatusResponse status;
    status.leader = "control-1";
    status.configuration.revision = 5;
    status.hosts = {HostStatus{"entry-1", "dc-a", 9, 5, 1000},
                    HostStatus{"entry-2", "dc-a", 9, 4, 1000},
                    HostStatus{"entry-3", "dc-b", 9, 3, -10}};
    GroupView view;
    view.group = "orders";
    view.primary = "orders-1";
    status.views = {view};
    EndpointStatus primary;
    primary.group = "orders";
    primary.member.announcement.endpoint = "orders-1";
    primary.position = {2, 50};
    EndpointStatus replica = primary;
    replica.member.announcement.endpoint = "orders-2";
    replica.position = {2, 43};
    status.endpoints = {primary, replica};
    return status;
}

} // namespace

// Guards against reporting a revision as in force everywhere while a host with a lease has an older
// one, and against waiting for a host whose lease has expired, which does no work.
Test(statusReport, aRevisionIsInForceWhenEveryHostWithALeaseHasIt)
{
    const auto progress = revisionProgress(sample(), 5);
    cr_assert_not(progress.everywhere());
    cr_assert(progress.behind == std::vector<std::string>{"entry-2"});
    cr_assert(revisionProgress(sample(), 4).everywhere());
    cr_assert(revisionProgress(sample(), 4).inForce == 2);
}

// Guards against invalid JSON caused by text from operators.
Test(statusReport, jsonTextIsEscaped)
{
    cr_assert(jsonString("a\"b\\c\n") == "\"a\\\"b\\\\c\\u000a\"");
}

// Guards against a lag relative to the primary of another group, and against an underflow.
Test(statusReport, lagIsTheDistanceToThePrimary)
{
    const auto json = toJson(sample());
    cr_assert(json.find("\"position\": \"2/43\", \"lag_entries\": 7") != std::string::npos);
    cr_assert(json.find("\"position\": \"2/50\", \"lag_entries\": 0") != std::string::npos);
    auto ahead = sample();
    ahead.endpoints[1].position = {2, 60};
    cr_assert(toJson(ahead).find("\"position\": \"2/60\", \"lag_entries\": 0")
              != std::string::npos);
}
