#include <criterion/criterion.h>

#include <hyssoprock/core/name_digest.hpp>

#include "coordinator_fixture.hpp"

using namespace hyssoprock;
using namespace std::chrono_literals;
using hyssoprock::test::CoordinatorFixture;

// Guards against wrong outcomes of concurrent changes, and of a repeated change whose first
// response was lost with the former leader.
Test(requests, concurrentAndRepeatedChangesGetTheirResponses)
{
    CoordinatorFixture fixture;
    fixture.form();
    OperatorRequest first;
    first.change = OperatorChange{"anna-1", 1, "anna", DeclareGroup{"bills", 3}};
    OperatorRequest second;
    second.change = OperatorChange{"bert-1", 1, "bert", DeclareGroup{"stock", 3}};
    fixture.feed(OperatorRequestReceived{901, first});
    fixture.feed(OperatorRequestReceived{902, second});
    cr_assert_eq(fixture.operatorResponses.size(), 2u);
    cr_assert_eq(fixture.operatorResponses[0].kind, ErrorKind::None);
    cr_assert_eq(fixture.operatorResponses[1].kind, ErrorKind::RevisionConflict);
    cr_assert(fixture.operatorResponses[1].winner == "anna-1");

    fixture.changeLeader();
    fixture.feed(OperatorRequestReceived{903, first});
    cr_assert(fixture.operatorResponses[2] == fixture.operatorResponses[0]);
    fixture.feed(LeadershipLost{"control-b"});
    fixture.feed(OperatorRequestReceived{904, first});
    cr_assert_eq(fixture.operatorResponses[3].kind, ErrorKind::NotLeader);
    cr_assert(fixture.operatorResponses[3].leader == "control-b");
}

// Guards against a delayed renewal that overwrites the reports of a later one.
Test(requests, anOlderRenewalIsIgnored)
{
    CoordinatorFixture fixture;
    fixture.form();
    auto &host = fixture.hosts.at("entry-a");
    const auto newest = host.response.sequence;
    host.sequence = newest - 1; // the next renewal repeats a sequence
    host.nextRenewal = fixture.now;
    host.response = {};
    fixture.run(10ms);
    cr_assert_eq(host.response.sequence, 0u, "a repeated sequence number gets no response");
    fixture.run(500ms);
    cr_assert_eq(host.response.sequence, newest + 1);
}

// Guards against an incomplete renewal response, and against a wrong status response.
Test(requests, renewalsAndStatusContainTheWholeState)
{
    CoordinatorFixture fixture;
    fixture.form();
    const auto &response = fixture.hosts.at("entry-b").response;
    cr_assert_eq(response.leaseMs, 1500u);
    cr_assert_eq(response.hosts.size(), 3u);
    cr_assert(response.hosts.front() == "entry-a@dc-a");
    cr_assert_eq(response.viewVersion, fixture.catalog.viewVersion());
    fixture.feed(StatusRequestReceived{900, StatusRequest{"orders"}});
    const auto &status = fixture.statusResponses.back();
    cr_assert_eq(status.views.size(), 1u);
    cr_assert_eq(status.hosts.size(), 3u);
    cr_assert_eq(status.endpoints.size(), 4u);
    cr_assert(status.endpoints.front().reachable);
    fixture.feed(StatusRequestReceived{901, StatusRequest{"nothing"}});
    cr_assert(fixture.statusResponses.back().views.empty());
}

// Guards against sending the list of hosts with every renewal, and against a host that keeps an
// outdated list and so computes other observers than the others.
Test(requests, theListOfHostsIsSentOnlyToAHostThatHasAnother)
{
    CoordinatorFixture fixture;
    fixture.form();
    HostRenewRequest request;
    request.host = "entry-d";
    request.dataCentre = "dc-a";
    request.incarnation = 1;
    request.viewVersion = fixture.catalog.viewVersion();
    const auto renew = [&] {
        ++request.sequence;
        fixture.renew(request);
        return fixture.hosts.at("entry-d").response;
    };
    fixture.hosts["entry-d"].connected = false;
    const auto first = renew();
    cr_assert_eq(first.hosts.size(), 4u);
    request.hostsDigest = computeNameDigest(first.hosts);
    cr_assert(renew().hosts.empty(), "the host has this list");

    fixture.hosts.at("entry-b").connected = false;
    fixture.run(
        1000ms); // It renewed at most 400 ms ago, and a lease is 1515 ms with the drift bound.
    cr_assert(renew().hosts.empty(), "the lease of entry-b may still be valid");
    fixture.run(1400ms);
    const auto shrunk = renew();
    cr_assert_eq(shrunk.hosts.size(), 3u, "entry-b is left out once its lease has ended");
    cr_assert_eq(renew().hosts.size(), 3u, "the list is sent again until the host has it");
    request.hostsDigest = computeNameDigest(shrunk.hosts);
    cr_assert(renew().hosts.empty());

    fixture.hosts.at("entry-b").connected = true;
    fixture.run(500ms);
    cr_assert_eq(renew().hosts.size(), 4u, "entry-b is back");
    request.leaving = true;
    renew();
    fixture.run(500ms);
    cr_assert_eq(fixture.hosts.at("entry-a").response.hosts.size(), 3u, "entry-d has left");
}
