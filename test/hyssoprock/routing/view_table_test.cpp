#include <set>
#include <string>

#include <criterion/criterion.h>

#include <hyssoprock/core/name_digest.hpp>
#include <hyssoprock/routing/view_table.hpp>

using namespace hyssoprock;
using std::chrono::milliseconds;

namespace {

GroupView viewOf(std::uint64_t term, GroupState state, const std::string &primary,
                 std::uint64_t version)
{
    GroupView view;
    view.group = "orders";
    view.term = term;
    view.state = state;
    view.primary = primary;
    view.version = version;
    return view;
}

HostRenewResponse renewal(std::uint64_t sequence, std::uint64_t version)
{
    HostRenewResponse response;
    response.sequence = sequence;
    response.leaseMs = 1000;
    response.viewVersion = version;
    return response;
}

Instant at(int ms)
{
    return Instant{milliseconds{ms}};
}

} // namespace

// Guards against a lease that starts when a late response is received.
Test(view_table, theLeaseCountsFromSendingAndIsShortenedByTheDrift)
{
    ViewTable views{10};
    views.recordRenewalSent(1, at(100));
    cr_assert(views.apply(renewal(1, 0)).leaseExtended);
    cr_assert(views.leaseValid(at(1089)));
    cr_assert_not(views.leaseValid(at(1090)));
    cr_assert_not(views.apply(renewal(1, 0)).accepted, "a response is applied once");
    cr_assert_not(views.apply(renewal(7, 0)).accepted,
                  "a response to an unknown request is ignored");
}

// Guards against old responses that shorten a lease or restore an old view.
Test(view_table, answersOutOfOrderChangeNothing)
{
    ViewTable views{10};
    views.recordRenewalSent(1, at(0));
    views.recordRenewalSent(2, at(400));
    auto newer = renewal(2, 5);
    newer.views = {viewOf(3, GroupState::Electing, "", 5)};
    views.apply(newer);
    auto older = renewal(1, 4);
    older.views = {viewOf(2, GroupState::Active, "ep-1", 4)};
    views.apply(older);
    cr_assert_eq(views.view("orders")->term, 3U);
    cr_assert_eq(views.viewVersion(), 5U);
    cr_assert(views.leaseValid(at(1300)));
}

// Guards against a host that misses a push and does not fetch it.
Test(view_table, aMissedPushAsksForARenewal)
{
    ViewTable views{10};
    views.recordRenewalSent(1, at(0));
    views.apply(renewal(1, 5));
    ViewPush push;
    push.previousVersion = 6;
    push.viewVersion = 7;
    push.views = {viewOf(2, GroupState::Active, "ep-2", 7)};
    cr_assert(views.apply(push).renewalRequired);
    cr_assert_eq(views.viewVersion(), 5U);
}

// Guards against new work for a primary without a lease, during an election or during a handover.
Test(view_table, aPrimaryIsUsableOnlyWhileActiveUnderALease)
{
    ViewTable views{10};
    cr_assert(views.primary("orders", at(0)).kind == ErrorKind::NoLease);
    views.recordRenewalSent(1, at(0));
    auto answer = renewal(1, 1);
    answer.views = {viewOf(2, GroupState::Active, "ep-1", 1)};
    views.apply(answer);
    cr_assert(views.primary("orders", at(10)).kind == ErrorKind::None);
    cr_assert(views.primary("stock", at(10)).kind == ErrorKind::UnknownGroup);
    cr_assert(views.mayAcknowledge("orders", "ep-1", 2, at(10)));
    cr_assert_not(views.mayAcknowledge("orders", "ep-1", 1, at(10)));
    cr_assert_not(views.mayAcknowledge("orders", "ep-1", 2, at(990)));
    ViewPush push;
    push.previousVersion = 1;
    push.viewVersion = 2;
    push.views = {viewOf(2, GroupState::Handover, "ep-1", 2)};
    views.apply(push);
    cr_assert(views.primary("orders", at(10)).kind == ErrorKind::NoPrimary);
    cr_assert(views.mayAcknowledge("orders", "ep-1", 2, at(10)), "work in progress may finish");
}

// Guards against replacing a configuration by an older one.
Test(view_table, anOlderConfigurationIsIgnored)
{
    ViewTable views{10};
    ViewPush push;
    push.configuration = Configuration{};
    push.configuration->revision = 4;
    cr_assert(views.apply(push).configurationChanged);
    const auto pinned = views.configuration();
    push.configuration->revision = 3;
    cr_assert_not(views.apply(push).configurationChanged);
    cr_assert(views.configuration() == pinned);
}

// Guards against observers that are all on one side of a network partition.
Test(view_table, observersAreInTwoDataCentres)
{
    ViewTable views{10};
    views.recordRenewalSent(1, at(0));
    auto answer = renewal(1, 1);
    answer.hosts = {"e1@a", "e2@a", "e3@a", "e4@a", "e5@a", "e6@a", "e7@a", "e8@b"};
    views.apply(answer);
    std::set<std::string> chosen;
    for (int i = 0; i < 30; ++i) {
        const auto observers = views.observers("ep-" + std::to_string(i), 3);
        cr_assert_eq(observers.size(), 3U);
        bool other = false;
        for (const auto &host : observers) {
            other = other || host == "e8@b";
            chosen.insert(host);
        }
        cr_assert(other);
    }
    cr_assert_eq(chosen.size(), 8U, "all hosts serve as observers");
}

// Guards against a host that discards its list of hosts when a response omits the unchanged list.
Test(view_table, theListOfHostsStaysUntilAnotherOneComes)
{
    ViewTable views{10};
    cr_assert_eq(views.hostsDigest(), 0U);
    views.recordRenewalSent(1, at(0));
    auto answer = renewal(1, 1);
    answer.hosts = {"e1@a", "e2@b"};
    views.apply(answer);
    const auto digest = views.hostsDigest();
    cr_assert_eq(digest, computeNameDigest(answer.hosts));
    views.recordRenewalSent(2, at(1));
    views.apply(renewal(2, 1));
    cr_assert_eq(views.hosts().size(), 2U);
    cr_assert_eq(views.hostsDigest(), digest);
}
