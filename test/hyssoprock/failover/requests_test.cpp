#include <criterion/criterion.h>

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
    bench.feed(OperatorReceived{901, first});
    bench.feed(OperatorReceived{902, second});
    cr_assert_eq(bench.operatorAnswers.size(), 2u);
    cr_assert_eq(bench.operatorAnswers[0].kind, ErrorKind::None);
    cr_assert_eq(bench.operatorAnswers[1].kind, ErrorKind::RevisionConflict);
    cr_assert(bench.operatorAnswers[1].winner == "anna-1");

    bench.changeLeader();
    bench.feed(OperatorReceived{903, first});
    cr_assert(bench.operatorAnswers[2] == bench.operatorAnswers[0]);
    bench.feed(LeadershipLost{"control-b"});
    bench.feed(OperatorReceived{904, first});
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
    bench.feed(StatusReceived{900, StatusRequest{"orders"}});
    const auto &status = bench.statusAnswers.back();
    cr_assert_eq(status.views.size(), 1u);
    cr_assert_eq(status.hosts.size(), 3u);
    cr_assert_eq(status.endpoints.size(), 4u);
    cr_assert(status.endpoints.front().reachable);
    bench.feed(StatusReceived{901, StatusRequest{"nothing"}});
    cr_assert(bench.statusAnswers.back().views.empty());
}
