#include <criterion/criterion.h>

#include <hyssoprock/core/name_digest.hpp>

#include "bench.hpp"

using namespace hyssoprock;
using namespace std::chrono_literals;
using hyssoprock::test::Bench;

// Guards against operators who race through the leader and are told the wrong outcome, and against
// a resent change whose answer was lost with the former leader.
Test(requests, racingOperatorsAndAResentChangeGetTheirAnswers)
{
    Bench bench;
    bench.form();
    OperatorRequest first;
    first.change = OperatorChange{"anna-1", 1, "anna", DeclareGroup{"bills", 3}};
    OperatorRequest second;
    second.change = OperatorChange{"bert-1", 1, "bert", DeclareGroup{"stock", 3}};
    bench.feed(OperatorRequestReceived{901, first});
    bench.feed(OperatorRequestReceived{902, second});
    cr_assert_eq(bench.operatorAnswers.size(), 2u);
    cr_assert_eq(bench.operatorAnswers[0].kind, ErrorKind::None);
    cr_assert_eq(bench.operatorAnswers[1].kind, ErrorKind::RevisionConflict);
    cr_assert(bench.operatorAnswers[1].winner == "anna-1");

    bench.changeLeader();
    bench.feed(OperatorRequestReceived{903, first});
    cr_assert(bench.operatorAnswers[2] == bench.operatorAnswers[0]);
    bench.feed(LeadershipLost{"control-b"});
    bench.feed(OperatorRequestReceived{904, first});
    cr_assert_eq(bench.operatorAnswers[3].kind, ErrorKind::NotLeader);
    cr_assert(bench.operatorAnswers[3].leader == "control-b");
}

// Guards against a renewal that was overtaken by a later one and takes its reports back.
Test(requests, anOlderRenewalIsNotTaken)
{
    Bench bench;
    bench.form();
    auto &host = bench.hosts.at("entry-a");
    const auto newest = host.answer.sequence;
    host.sequence = newest - 1; // the next renewal repeats a sequence
    host.nextRenewal = bench.now;
    host.answer = {};
    bench.run(10ms);
    cr_assert_eq(host.answer.sequence, 0u, "a repeated sequence gets no answer");
    bench.run(500ms);
    cr_assert_eq(host.answer.sequence, newest + 1);
}

// Guards against a host that is told too little to route, and against a wrong status page.
Test(requests, renewalsAndStatusTellTheWholeState)
{
    Bench bench;
    bench.form();
    const auto &answer = bench.hosts.at("entry-b").answer;
    cr_assert_eq(answer.leaseMs, 1500u);
    cr_assert_eq(answer.hosts.size(), 3u);
    cr_assert(answer.hosts.front() == "entry-a@dc-a");
    cr_assert_eq(answer.viewVersion, bench.catalog.viewVersion());
    bench.feed(StatusRequestReceived{900, StatusRequest{"orders"}});
    const auto &status = bench.statusAnswers.back();
    cr_assert_eq(status.views.size(), 1u);
    cr_assert_eq(status.hosts.size(), 3u);
    cr_assert_eq(status.endpoints.size(), 4u);
    cr_assert(status.endpoints.front().reachable);
    bench.feed(StatusRequestReceived{901, StatusRequest{"nothing"}});
    cr_assert(bench.statusAnswers.back().views.empty());
}

// Guards against a list of hosts that is sent with every renewal, and against a host that keeps an
// old list and so chooses other observers than the rest.
Test(requests, theListOfHostsIsSentOnlyToAHostThatHasAnother)
{
    Bench bench;
    bench.form();
    HostRenewRequest request;
    request.host = "entry-d";
    request.dataCentre = "dc-a";
    request.incarnation = 1;
    request.viewVersion = bench.catalog.viewVersion();
    const auto renew = [&] {
        ++request.sequence;
        bench.renew(request);
        return bench.hosts.at("entry-d").answer;
    };
    bench.hosts["entry-d"].connected = false;
    const auto first = renew();
    cr_assert_eq(first.hosts.size(), 4u);
    request.hostsDigest = digestOfNames(first.hosts);
    cr_assert(renew().hosts.empty(), "the host has this list");

    bench.hosts.at("entry-b").connected = false;
    bench.run(
        1000ms); // It renewed at most 400 ms ago, and a lease is 1515 ms with the drift bound.
    cr_assert(renew().hosts.empty(), "the lease of entry-b may still be valid");
    bench.run(1400ms);
    const auto shrunk = renew();
    cr_assert_eq(shrunk.hosts.size(), 3u, "entry-b is left out once its lease has ended");
    cr_assert_eq(renew().hosts.size(), 3u, "the list is sent again until the host has it");
    request.hostsDigest = digestOfNames(shrunk.hosts);
    cr_assert(renew().hosts.empty());

    bench.hosts.at("entry-b").connected = true;
    bench.run(500ms);
    cr_assert_eq(renew().hosts.size(), 4u, "entry-b is back");
    request.leaving = true;
    renew();
    bench.run(500ms);
    cr_assert_eq(bench.hosts.at("entry-a").answer.hosts.size(), 3u, "entry-d has left");
}
