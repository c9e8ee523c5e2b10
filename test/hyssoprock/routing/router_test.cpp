#include <string>

#include <criterion/criterion.h>

#include <hyssoprock/routing/router.hpp>
#include <hyssoprock/routing/schema_choice.hpp>

using namespace hyssoprock;
using std::chrono::milliseconds;
using Target = RoutingDecision::Target;

namespace {

Instant at(int ms)
{
    return Instant{milliseconds{ms}};
}

struct Fixture
{
    ViewTable views{10};
    EndpointTable endpoints;
    AgeTracker ages;
    Router router;

    explicit Fixture(const std::string &policy = "position_aware")
        : router{{policy, "dc-a"}, views, endpoints, ages, 1}
    {
        GroupView view;
        view.group = "orders";
        view.term = 2;
        view.primary = "ep-1";
        view.state = GroupState::Active;
        view.version = 1;
        for (const auto *name : {"ep-1", "ep-2", "ep-3"}) {
            Member member;
            member.announcement.endpoint = name;
            member.announcement.dataCentre = std::string{name} == "ep-2" ? "dc-b" : "dc-a";
            view.members.push_back(member);
        }
        push(view);
        views.recordRenewalSent(1, at(0));
        HostRenewResponse response;
        response.sequence = 1;
        response.leaseMs = 100'000;
        response.viewVersion = 1;
        views.apply(response);
    }

    void push(GroupView view)
    {
        ViewPush message;
        message.viewVersion = view.version;
        message.views = {std::move(view)};
        views.apply(message);
    }

    void replica(const std::string &name, std::uint64_t index, int sent, int now)
    {
        const LogPosition position{2, index};
        endpoints.recordReport(name, {position, index, EndpointRole::Replica}, at(sent), at(now),
                               ages.age("orders", position, at(now)));
    }

    static ReadRequirements read(std::uint64_t floor, int allowance, int arrived)
    {
        ReadRequirements needs;
        needs.group = "orders";
        needs.floor = LogPosition{2, floor};
        needs.maxAge = milliseconds{allowance};
        needs.receivedAt = at(arrived);
        return needs;
    }
};

} // namespace

// Guards against ages that are computed from the receive time or from a lower position.
Test(age_tracker, ageCountsFromSendingTheRequest)
{
    AgeTracker ages;
    ages.recordSample("orders", at(100), {2, 10});
    ages.recordSample("orders", at(200), {2, 20});
    cr_assert(ages.age("orders", {2, 15}, at(250)) == Duration{milliseconds{150}});
    cr_assert(ages.age("orders", {2, 20}, at(250)) == Duration{milliseconds{50}});
    cr_assert_not(ages.age("orders", {2, 9}, at(250)).has_value());
    cr_assert_not(ages.age("stock", {2, 20}, at(250)).has_value());
    // A later sample with the same position proves more; an earlier one adds nothing.
    ages.recordSample("orders", at(300), {2, 20});
    ages.recordSample("orders", at(150), {2, 20});
    cr_assert(ages.age("orders", {2, 20}, at(350)) == Duration{milliseconds{50}});
    cr_assert_eq(ages.sampleCount("orders"), 2U);
}

// Guards against memory that grows with the number of statements, and against ages that are too low
// after samples were removed.
Test(age_tracker, memoryIsBoundedAndThinningOnlyMakesAgesLarger)
{
    AgeTracker ages;
    for (int i = 1; i <= 5000; ++i) {
        ages.recordSample("orders", at(i), {2, static_cast<std::uint64_t>(i)});
    }
    cr_assert_leq(ages.sampleCount("orders"), AgeTracker::samplesMax);
    for (int i = 1; i <= 5000; ++i) {
        const auto age = ages.age("orders", {2, static_cast<std::uint64_t>(i)}, at(5000));
        cr_assert(!age || *age >= milliseconds{5000 - i});
    }
    cr_assert(ages.age("orders", {2, 5000}, at(5000)) == Duration{0});
}

// Guards against polls of groups without reads, and against missing samples of groups with reads
// but no other traffic.
Test(age_tracker, pollsFollowDemandAndFreshSamples)
{
    AgeTracker ages;
    ages.recordSample("orders", at(0), {2, 1});
    cr_assert(ages.takePolls(at(100)).empty());
    ages.requestSamples("orders", milliseconds{400}, at(100));
    cr_assert_eq(ages.takePolls(at(100)).size(), 1U);
    cr_assert(ages.takePolls(at(150)).empty());
    ages.recordSample("orders", at(180), {2, 2});
    cr_assert(ages.takePolls(at(200)).empty(), "a request has provided a sample");
    cr_assert_eq(ages.takePolls(at(290)).size(), 1U);
    cr_assert(ages.takePolls(at(9000)).empty(), "no read for five seconds");
}

// Guards against replicas that are below the session floor or too old.
Test(router, aReplicaNeedsTheFloorAndAProvableAge)
{
    Fixture f;
    f.ages.recordSample("orders", at(100), {2, 10});
    f.replica("ep-2", 12, 100, 101);
    f.replica("ep-3", 9, 100, 101);
    const auto decision = f.router.routeRead(Fixture::read(11, 50, 120), at(120));
    cr_assert(decision.target == Target::Replica && decision.endpoint == "ep-2");
    // No replica is used if its lag is unknown and its recent position is below the floor.
    const auto fresh = f.router.routeRead(Fixture::read(13, 50, 90), at(120));
    cr_assert(fresh.target == Target::Primary && fresh.endpoint == "ep-1");
    auto unknown = Fixture::read(0, 50, 120);
    unknown.floor.reset();
    cr_assert(f.router.routeRead(unknown, at(120)).target == Target::Primary);
}

// Guards against remote reads that this host's data centre can serve.
Test(router, theOwnDataCentreAndTheLeastLoadComeFirst)
{
    Fixture f;
    f.ages.recordSample("orders", at(100), {2, 10});
    f.replica("ep-2", 10, 100, 101);
    f.replica("ep-3", 10, 100, 101);
    f.endpoints.recordAcquired("ep-3");
    const auto near = f.router.routeRead(Fixture::read(1, 50, 110), at(110));
    cr_assert(near.endpoint == "ep-3");
    f.endpoints.setEjected("ep-3", true);
    cr_assert(f.router.routeRead(Fixture::read(1, 50, 110), at(110)).endpoint == "ep-2");
}

// Guards against sending a read with an allowance of zero to a replica, whose answer would have to
// be discarded.
Test(router, aReadThatAllowsNoAgeGoesToThePrimary)
{
    Fixture f;
    f.ages.recordSample("orders", at(100), {2, 10});
    f.replica("ep-2", 10, 100, 101);
    const auto decision = f.router.routeRead(Fixture::read(1, 0, 110), at(110));
    cr_assert(decision.target == RoutingDecision::Target::Primary);
    cr_assert(decision.reason == "no age is allowed");
}

// Guards against new work for endpoints that are shutting down.
Test(router, aDrainingReplicaGetsNoWork)
{
    Fixture f;
    f.ages.recordSample("orders", at(100), {2, 10});
    f.replica("ep-2", 10, 100, 101);
    f.replica("ep-3", 10, 100, 101);
    auto view = *f.views.view("orders");
    view.version = 2;
    view.members[2].state = EndpointState::Draining;
    f.push(view);
    cr_assert(f.router.routeRead(Fixture::read(1, 50, 110), at(110)).endpoint == "ep-2");
}

// Guards against using the primary while a replica has nearly caught up.
Test(router, aNearlyCaughtUpReplicaIsWaitedForBriefly)
{
    Fixture f;
    f.ages.recordSample("orders", at(90), {2, 5});
    f.ages.recordSample("orders", at(100), {2, 10});
    f.replica("ep-3", 5, 99, 101);
    f.replica("ep-2", 4, 99, 101);
    // ep-3 lags by 11 ms; the primary reached position 10 at 100 ms.
    const auto wait = f.router.routeRead(Fixture::read(10, 50, 101), at(101));
    cr_assert(wait.target == Target::Wait && wait.retryAt == at(103));
    const auto later = f.router.routeRead(Fixture::read(10, 50, 101), at(112));
    cr_assert(later.target == Target::Replica && later.endpoint == "ep-3");
    // The wait is bounded.
    f.replica("ep-3", 5, 119, 120);
    cr_assert(f.router.routeRead(Fixture::read(10, 50, 101), at(121)).target == Target::Primary);
}

// Guards against stale reads in a data centre that is isolated for longer than the allowance.
Test(router, withoutALeaseOldReplicasAreRefused)
{
    Fixture f;
    f.ages.recordSample("orders", at(99'000), {2, 10});
    f.replica("ep-2", 10, 99'980, 99'990);
    f.replica("ep-3", 10, 99'980, 99'990);
    const auto served = f.router.routeRead(Fixture::read(1, 2000, 100'000), at(100'000));
    cr_assert(served.target == Target::Replica);
    const auto refused = f.router.routeRead(Fixture::read(1, 500, 100'000), at(100'000));
    cr_assert(refused.target == Target::Refuse && refused.refusal == ErrorKind::AgeNotProven);
}

// Guards against delivering an answer on the optimistic assumptions of the routing decision.
Test(router, theAnswerIsCheckedAtDelivery)
{
    Fixture f;
    f.ages.recordSample("orders", at(100), {2, 10});
    const auto needs = Fixture::read(10, 50, 100);
    const auto verdict = [&](LogPosition position, EndpointRole role, int now) {
        return f.router.checkReplicaAnswer(needs, {2, 0}, {position, 0, role}, at(now));
    };
    cr_assert(verdict({2, 10}, EndpointRole::Replica, 150) == AnswerVerdict::Accept);
    cr_assert(verdict({2, 10}, EndpointRole::Replica, 151) == AnswerVerdict::TooOld);
    cr_assert(verdict({2, 9}, EndpointRole::Replica, 120) == AnswerVerdict::BelowFloor);
    cr_assert(verdict({2, 10}, EndpointRole::Fenced, 120) == AnswerVerdict::WrongRole);
    cr_assert(verdict({1, 90}, EndpointRole::Primary, 120) == AnswerVerdict::WrongRole);
    cr_assert(
        f.router.checkReplicaAnswer(needs, {2, 11}, {{2, 10}, 0, EndpointRole::Replica}, at(120))
        == AnswerVerdict::Incomplete);
}

// Guards against versions that a caller does not understand or that are incomplete.
Test(schema_choice, theHighestCompleteUnderstoodVersionIsChosen)
{
    RecordKindRule rule;
    rule.kind = "order";
    rule.versions = {VersionRule{1, LogPosition{1, 0}, true},
                     VersionRule{2, LogPosition{2, 50}, true}, VersionRule{3, {}, false}};
    const auto chosen = [&rule](std::vector<std::uint32_t> understands, LogPosition position) {
        const auto choice = chooseSchema(rule, understands, position);
        return choice.has_value() ? toSetting(choice.value()) : std::string{"refused"};
    };
    cr_assert(chosen({1, 2}, {2, 49}) == "1");
    cr_assert(chosen({1, 2}, {2, 50}) == "2");
    cr_assert(chosen({1, 2, 3}, {1, 0}) == "1,2,3", "together they are complete");
    cr_assert(chosen({3}, {2, 99}) == "refused");
    cr_assert(chosen({2}, {2, 49}) == "refused");
    cr_assert(chosen({}, {2, 99}) == "refused");
    cr_assert(checkWritable(rule, 2) == ErrorKind::None);
    cr_assert(checkWritable(rule, 3) == ErrorKind::VersionNotWritable);
    cr_assert(checkWritable(rule, 9) == ErrorKind::VersionNotWritable);
    cr_assert(checkWritable(rule, std::nullopt) == ErrorKind::VersionNotWritable);
}
