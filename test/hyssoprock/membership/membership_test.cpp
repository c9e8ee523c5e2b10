#include <algorithm>
#include <string>
#include <variant>

#include <criterion/criterion.h>

#include <hyssoprock/membership/announcement_table.hpp>
#include <hyssoprock/membership/member_table.hpp>
#include <support/membership_simulation.hpp>

using namespace hyssoprock;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test::MembershipSimulation;

namespace {

constexpr int hostCount = 6;

std::string hostName(int index)
{
    return "h" + std::to_string(index);
}

void addHosts(MembershipSimulation &simulation)
{
    for (int i = 0; i < hostCount; ++i) {
        simulation.add(hostName(i), i < 3 ? "a" : "b");
    }
    for (int i = 0; i < hostCount; ++i) {
        simulation.start(hostName(i), hostName(0));
    }
    simulation.run(seconds{20});
}

bool allHostsReportState(MembershipSimulation &simulation, const std::string &other,
                         HostState state)
{
    for (int i = 0; i < hostCount; ++i) {
        const auto name = hostName(i);
        if (name != other && simulation.isUp(name)
            && (!simulation.knows(name, other) || simulation.recordedState(name, other) != state)) {
            return false;
        }
    }
    return true;
}

Announcement announcementOf(std::uint64_t incarnation)
{
    return {"e1", "orders", "a", "127.0.0.1:5432", incarnation, 35, 5};
}

} // namespace

// Guards against hosts that stay unknown if each knows only one other host at first. Seed 1.
Test(membership, hostsFindEachOtherThroughOneSeed)
{
    MembershipSimulation simulation{1, {}};
    addHosts(simulation);
    for (int i = 0; i < hostCount; ++i) {
        cr_assert(allHostsReportState(simulation, hostName(i), HostState::Alive));
    }
}

// Guards against a failed host that counts as alive, and against a live host that counts as dead.
// Seed 2.
Test(membership, crashedHostIsDeadAfterSuspicion)
{
    MembershipSimulation simulation{2, {}};
    addHosts(simulation);
    simulation.crash("h4");
    simulation.run(seconds{25});
    cr_assert(allHostsReportState(simulation, "h4", HostState::Dead));
    cr_assert(allHostsReportState(simulation, "h3", HostState::Alive));
}

// Guards against suspecting a host that one host cannot reach but others can. Seed 3.
Test(membership, indirectProbesBridgeABrokenPath)
{
    MembershipSimulation simulation{3, {}};
    addHosts(simulation);
    simulation.cut("h1", "h2");
    simulation.cut("h2", "h1");
    simulation.counts.clear();
    simulation.run(seconds{120});
    cr_assert_eq(simulation.counts["host suspect"], 0);
    cr_assert(allHostsReportState(simulation, "h2", HostState::Alive));
}

// Guards against declaring a host dead that is unresponsive for less than the suspicion timeout: it
// learns of the suspicion and refutes it. Seed 4.
Test(membership, falselySuspectedHostRefutes)
{
    MembershipSettings settings;
    settings.suspicion = seconds{10};
    MembershipSimulation simulation{4, settings};
    addHosts(simulation);
    simulation.isolate("h2");
    simulation.run(seconds{6});
    cr_assert(simulation.counts["host suspect"] > 0);
    simulation.heal();
    simulation.run(seconds{20});
    cr_assert(simulation.node("h2").self().incarnation > 1);
    cr_assert(allHostsReportState(simulation, "h2", HostState::Alive));
    cr_assert_eq(simulation.counts["host dead"], 0);
}

// Guards against two sides of a healed partition that still consider each other dead. Seed 5.
Test(membership, sidesRejoinAfterALongPartition)
{
    MembershipSimulation simulation{5, {}};
    addHosts(simulation);
    for (int left = 0; left < 3; ++left) {
        for (int right = 3; right < hostCount; ++right) {
            simulation.cut(hostName(left), hostName(right));
            simulation.cut(hostName(right), hostName(left));
        }
    }
    simulation.run(seconds{3600});
    cr_assert(simulation.recordedState("h0", "h5") == HostState::Dead);
    simulation.heal();
    simulation.run(seconds{60});
    for (int i = 0; i < hostCount; ++i) {
        cr_assert(allHostsReportState(simulation, hostName(i), HostState::Alive));
    }
}

// Guards against ignoring a restarted host whose incarnation is lower than before. Seed 6.
Test(membership, restartedHostIsAliveAgain)
{
    MembershipSimulation simulation{6, {}};
    addHosts(simulation);
    simulation.leave("h3");
    simulation.run(seconds{20});
    cr_assert(allHostsReportState(simulation, "h3", HostState::Left));
    simulation.start("h3", "h1");
    simulation.run(seconds{20});
    cr_assert(allHostsReportState(simulation, "h3", HostState::Alive));
}

// Guards against a refutation that is missing in a relayed response because other records fill it.
Test(membership, relayedResponseContainsTheRecordOfTheTarget)
{
    MembershipSettings settings;
    settings.records = 2;
    Instant now{seconds{100}};
    MembershipNode helper{{"h1", "a", "h1:1", 1, HostState::Alive}, {}, settings, 1, now};
    const HostRecord requester{"h2", "a", "h2:1", 1, HostState::Alive};
    const HostRecord target{"z9", "a", "z9:1", 5, HostState::Alive};
    (void)helper.handle(
        membership::MessageReceived{
            PeerPing{requester, 1, {{"z9", "a", "z9:1", 4, HostState::Suspect}, target}, {}}},
        now);
    const auto pingActions =
        helper.handle(membership::MessageReceived{PeerPingRequest{requester, "z9", 77}}, now);
    cr_assert_eq(pingActions.size(), 1);
    const auto &ping =
        std::get<PeerPing>(std::get<membership::SendDatagram>(pingActions.front()).message);

    PeerAck ack{target, "z9", ping.sequence, {}, {}};
    ack.from.incarnation = 6;
    for (const auto *name : {"h3", "h4", "h5", "h6"}) {
        ack.records.push_back({name, "a", "x:1", 1, HostState::Alive});
    }
    const auto actions = helper.handle(membership::MessageReceived{ack}, now);
    const auto &relayed =
        std::get<PeerAck>(std::get<membership::SendDatagram>(actions.back()).message);
    cr_assert_eq(relayed.sequence, 77);
    cr_assert(relayed.target == "z9");
    cr_assert_eq(relayed.records.size(), 2);
    cr_assert(relayed.records.front() == ack.from);
}

// Guards against an old record that replaces a newer one, in every order of arrival.
Test(memberTable, recordsAreOrderedByIncarnationThenState)
{
    const auto record = [](std::uint64_t incarnation, HostState state) {
        return HostRecord{"h1", "a", "h1:1", incarnation, state};
    };
    const std::vector<HostRecord> order{
        record(1, HostState::Alive), record(1, HostState::Suspect), record(1, HostState::Dead),
        record(2, HostState::Alive), record(2, HostState::Suspect), record(3, HostState::Alive)};
    for (std::size_t known = 0; known < order.size(); ++known) {
        for (std::size_t arriving = 0; arriving < order.size(); ++arriving) {
            MemberTable table{seconds{3}, seconds{600}};
            const Instant now{seconds{1}};
            (void)table.merge(order[0], now);
            (void)table.merge(order[known], now);
            cr_assert_eq(table.merge(order[arriving], now), arriving > known);
            cr_assert(*table.find("h1") == order[std::max(known, arriving)]);
        }
    }
}

// Guards against dead hosts that are gossiped indefinitely because some host still has a record.
Test(memberTable, removedHostIsNotAddedAgainAsDead)
{
    MemberTable table{seconds{3}, seconds{600}};
    const HostRecord dead{"h1", "a", "h1:1", 4, HostState::Dead};
    Instant now{seconds{1}};
    cr_assert(table.merge({"h1", "a", "h1:1", 4, HostState::Alive}, now));
    cr_assert(table.merge(dead, now));
    now += seconds{600};
    cr_assert(table.expire(now).empty());
    cr_assert_null(table.find("h1"));
    cr_assert_not(table.merge(dead, now));
    cr_assert_null(table.find("h1"));
}

// Guards against an endpoint that is known only to the host that received its announcement, that is
// known in another data centre, or that never expires. Seed 7.
Test(announcements, areSharedInTheDataCentreAndExpire)
{
    MembershipSimulation simulation{7, {}};
    addHosts(simulation);
    for (int second = 0; second < 90; ++second) {
        simulation.announce("h1", announcementOf(1));
        simulation.run(seconds{1});
        cr_assert(second < 20 || simulation.knowsEndpoint("h0", "e1"));
        cr_assert(second < 20 || simulation.knowsEndpoint("h2", "e1"));
        cr_assert_not(simulation.knowsEndpoint("h4", "e1"));
    }
    simulation.announce("h2", announcementOf(2));
    simulation.run(seconds{10});
    const auto known = simulation.node("h0").announcements();
    cr_assert_eq(known.size(), 1);
    cr_assert_eq(known.front().incarnation, 2);
    simulation.run(seconds{35});
    for (int i = 0; i < hostCount; ++i) {
        cr_assert_not(simulation.knowsEndpoint(hostName(i), "e1"));
    }
}

// Guards against copies of an announcement that renew each other after the endpoint has stopped.
Test(announcements, copiesDoNotRenewEachOther)
{
    const Duration ttl = seconds{10};
    AnnouncementTable first{ttl};
    AnnouncementTable second{ttl};
    Instant now{seconds{100}};
    cr_assert(first.add(announcementOf(1), now));
    for (int i = 0; i < 200; ++i) {
        for (const auto &shared : first.selectForGossip(4, 1000, now)) {
            second.merge(shared, now + milliseconds{40});
        }
        now += milliseconds{50};
        for (const auto &shared : second.selectForGossip(4, 1000, now)) {
            first.merge(shared, now + milliseconds{40});
        }
        now += milliseconds{50};
    }
    cr_assert_eq(first.expire(now).size(), 1);
    cr_assert_eq(second.expire(now).size(), 1);
}

// Guards against an announcement from before a restart that replaces a newer one.
Test(announcements, olderIncarnationIsIgnored)
{
    AnnouncementTable table{seconds{10}};
    const Instant now{seconds{100}};
    cr_assert(table.add(announcementOf(2), now));
    cr_assert_not(table.add(announcementOf(1), now + seconds{1}));
    cr_assert_not(table.merge({announcementOf(1), 0}, now + seconds{8}));
    cr_assert_eq(table.announcements().front().incarnation, 2);
}
