#include <criterion/criterion.h>

#include <support/pooler_world.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;
using test::PoolerWorld;

namespace {

/// Entry host that uses primaries under a lease, before endpoints that a promotion does not depose.
/// Endpoints take 20 ms for a statement.
class LeaseWorld : public PoolerWorld
{
public:
    LeaseWorld()
        : PoolerWorld{1, settings(), test::makeThreeRouteDocument(), true}
    {}

    void extendLease(Duration duration) { handle(pooler::LeaseExtended{now + duration}); }

private:
    static test::GroupSettings settings()
    {
        test::GroupSettings result;
        result.serviceTime = {20ms, 20ms};
        result.formerPrimaryUse = {10s, 10s};
        return result;
    }
};

/// Entry host before a service with synchronous replicas, whose promotions depose the former
/// primary. Endpoints take 20 ms for a statement.
class SynchronousWorld : public PoolerWorld
{
public:
    SynchronousWorld()
        : PoolerWorld{1, settings(), document()}
    {}

    void extendLease(Duration duration) { handle(pooler::LeaseExtended{now + duration}); }

private:
    static test::GroupSettings settings()
    {
        test::GroupSettings result;
        result.serviceTime = {20ms, 20ms};
        return result;
    }

    static DeploymentDocument document()
    {
        auto result = test::makeThreeRouteDocument();
        result.services.front().synchronousReplicas = 1;
        return result;
    }
};

} // namespace

// Guards against using a primary before the first lease: another endpoint may have been promoted.
Test(pooler_lease, nothingRunsOnThePrimaryWithoutALease)
{
    LeaseWorld world;
    const auto caller = world.connect("primary");
    const auto write = world.send(caller, "WRITE a 1");
    world.run(100ms);
    cr_assert_null(world.answer(write));
    cr_assert(world.expectations.runs().empty());
    world.extendLease(4s);
    world.run(100ms);
    cr_assert(world.answer(write)->kind == AnswerKind::Success);
}

// Guards against an acknowledgement from a primary that was replaced while the answer to a write
// was on its way: the lease has ended, so the promotion no longer waits for this host.
Test(pooler_lease, aWriteAnsweredAfterTheEndOfTheLeaseIsUnknown)
{
    for (const auto *const text : {"WRITE a 1", "COMMIT"}) {
        LeaseWorld world;
        world.extendLease(500ms);
        const auto caller = world.connect("primary");
        world.sendAndWait(caller, "READ a");
        if (std::string_view{text} == "COMMIT") {
            world.sendAndWait(caller, "BEGIN");
            world.sendAndWait(caller, "WRITE a 1");
        }
        world.group.delayNextResponse("d1", 1s);
        const auto write = world.send(caller, text);
        world.run(100ms);
        cr_assert_null(world.answer(write));
        world.run(400ms);
        cr_assert(world.answer(write)->kind == AnswerKind::Unknown);
    }
}

// Guards against making callers wait at a host that is cut off from the control hosts: the refusal
// is immediate, so that a retry reaches another host.
Test(pooler_lease, statementsForThePrimaryAreRefusedAtOnceAfterTheEndOfTheLease)
{
    LeaseWorld world;
    world.extendLease(500ms);
    const auto caller = world.connect("primary");
    world.sendAndWait(caller, "READ a");
    world.sendAndWait(caller, "BEGIN");
    world.sendAndWait(caller, "WRITE a 1");
    world.run(600ms);
    const auto asked = world.now;
    cr_assert(world.sendAndWait(caller, "WRITE a 2").kind == AnswerKind::Aborted);
    cr_assert(world.sendAndWait(caller, "ROLLBACK").kind == AnswerKind::Success);
    cr_assert(world.sendAndWait(caller, "WRITE a 3").kind == AnswerKind::Busy);
    cr_assert(world.now - asked <= 10ms);
    world.extendLease(4s);
    cr_assert(world.sendAndWait(caller, "WRITE a 4").kind == AnswerKind::Success);
}

// Guards against refusing what replicas can still prove to be recent enough.
Test(pooler_lease, readsOfReplicasGoOnAfterTheEndOfTheLease)
{
    LeaseWorld world;
    world.extendLease(500ms);
    const auto writer = world.connect("primary");
    const auto reader = world.connect("bounded");
    world.run(400ms);
    cr_assert(world.sendAndWait(writer, "READ a").kind == AnswerKind::Success);
    world.run(150ms);
    cr_assert(world.sendAndWait(reader, "READ a").kind == AnswerKind::Success);
    world.run(1s);
    cr_assert(world.sendAndWait(reader, "READ a").kind == AnswerKind::Busy);
}

// Guards against an answer to a caller that has left, and against its statement being sent again
// elsewhere: the lease ends while the host handles its departure.
Test(pooler_lease, aCallerThatHasLeftIsNotAnsweredAtTheEndOfTheLease)
{
    LeaseWorld world;
    world.extendLease(100ms);
    const auto caller = world.connect("primary");
    world.sendAndWait(caller, "WRITE a 1");
    world.withdrawPrimary();
    world.send(caller, "WRITE a 2");
    world.now += 200ms;
    world.disconnect(caller);
}

// Guards against a release that is reported while a commit may still be acknowledged, and against
// transactions that go on at a withdrawn primary.
Test(pooler_lease, aWithdrawnPrimaryIsReleasedAfterItsCommits)
{
    LeaseWorld world;
    world.extendLease(4s);
    const auto committing = world.connect("primary");
    world.sendAndWait(committing, "BEGIN");
    world.sendAndWait(committing, "WRITE a 1");
    const auto open = world.connect("primary");
    world.sendAndWait(open, "BEGIN");
    world.sendAndWait(open, "WRITE b 1");
    const auto commit = world.send(committing, "COMMIT");
    world.run(5ms);
    world.withdrawPrimary();
    cr_assert(world.releases.empty(), "the commit has not been answered");
    world.run(50ms);
    cr_assert(world.answer(commit)->kind == AnswerKind::Success);
    cr_assert(world.releases.size() == 1U && world.releases[0].epoch == 2U);
    cr_assert(world.sendAndWait(open, "WRITE b 2").kind == AnswerKind::Aborted);
    const auto write = world.send(world.connect("primary"), "WRITE c 1");
    world.run(200ms);
    cr_assert_null(world.answer(write), "waits for the next primary");
    world.promote("d2");
    world.run(100ms);
    cr_assert(world.answer(write)->kind == AnswerKind::Success);
    cr_assert_eq(world.lastEndpointOf(write), "d2");
}

// Guards against a promotion that waits for the whole lease because a withdrawn primary does not
// answer a commit.
Test(pooler_lease, anUnansweredCommitDelaysTheReleaseOnlyBriefly)
{
    LeaseWorld world;
    world.extendLease(4s);
    const auto caller = world.connect("primary");
    world.sendAndWait(caller, "READ a");
    world.group.delayNextResponse("d1", 3s);
    const auto write = world.send(caller, "WRITE a 1");
    world.run(50ms);
    world.withdrawPrimary();
    world.run(150ms);
    cr_assert(world.releases.empty());
    world.run(100ms);
    cr_assert(world.answer(write)->kind == AnswerKind::Unknown);
    cr_assert_eq(world.releases.size(), 1U);
}

// Guards against following a deposed primary that goes on claiming its role: only an announcement
// of the control leader makes an endpoint the primary.
Test(pooler_lease, aClaimWithoutAnAnnouncementIsNotFollowed)
{
    LeaseWorld world;
    world.extendLease(4s);
    const auto caller = world.connect("primary");
    world.sendAndWait(caller, "WRITE a 1");
    world.withdrawPrimary();
    world.announceEndpoints();
    const auto write = world.send(caller, "WRITE a 2");
    world.run(500ms);
    cr_assert_null(world.answer(write));
    cr_assert_eq(world.expectations.timesRun(write), 0U);
}

// Guards against a release that is not repeated for a later withdrawal: the control leader that
// withdrew the primary first may have lost its leadership.
Test(pooler_lease, aRepeatedWithdrawalIsReleasedAgain)
{
    LeaseWorld world;
    world.extendLease(4s);
    world.withdrawPrimary();
    world.withdrawPrimary();
    cr_assert_eq(world.releases.size(), 2U);
    cr_assert_eq(world.releases[1].epoch, 3U);
}

// Guards against acknowledging a write that a promotion without this host's release loses, and
// against refusing reads, of which the endpoint itself refuses those that are outdated.
Test(synchronous_lease, onlyWritesNeedTheLease)
{
    SynchronousWorld world;
    const auto caller = world.connect("primary");
    const auto write = world.send(caller, "WRITE a 1");
    world.run(100ms);
    cr_assert_null(world.answer(write), "no lease has been granted");
    const auto reader = world.connect("primary");
    cr_assert(world.sendAndWait(reader, "READ a").kind == AnswerKind::Success);
    world.extendLease(500ms);
    world.run(100ms);
    cr_assert(world.answer(write)->kind == AnswerKind::Success);
    world.run(500ms);
    cr_assert(world.sendAndWait(caller, "WRITE a 2").kind == AnswerKind::Busy);
    cr_assert(world.sendAndWait(reader, "READ a").kind == AnswerKind::Success);
}

// Guards against a write that is acknowledged after the lease has ended: the promotion no longer
// waits for this host.
Test(synchronous_lease, aWriteAnsweredAfterTheEndOfTheLeaseIsUnknown)
{
    SynchronousWorld world;
    world.extendLease(500ms);
    const auto caller = world.connect("primary");
    world.sendAndWait(caller, "WRITE a 1");
    world.group.delayNextResponse("d1", 1s);
    const auto write = world.send(caller, "WRITE a 2");
    world.run(600ms);
    cr_assert(world.answer(write)->kind == AnswerKind::Unknown);
}

// Guards against a release that is reported while a commit may still be acknowledged, and against
// reads that wait for the next primary although the withdrawn one proves that it still is one.
Test(synchronous_lease, aWithdrawalEndsWritesOnly)
{
    SynchronousWorld world;
    world.extendLease(4s);
    const auto committing = world.connect("primary");
    world.sendAndWait(committing, "BEGIN");
    world.sendAndWait(committing, "WRITE a 1");
    const auto open = world.connect("primary");
    world.sendAndWait(open, "BEGIN");
    world.sendAndWait(open, "WRITE b 1");
    const auto commit = world.send(committing, "COMMIT");
    world.run(5ms);
    world.withdrawPrimary();
    cr_assert(world.releases.empty(), "the commit has not been answered");
    world.run(50ms);
    cr_assert(world.answer(commit)->kind == AnswerKind::Success);
    cr_assert(world.releases.size() == 1U && world.releases[0].epoch == 2U);
    cr_assert(world.sendAndWait(open, "WRITE b 2").kind == AnswerKind::Aborted);
    const auto reader = world.connect("primary");
    cr_assert(world.sendAndWait(reader, "READ a").kind == AnswerKind::Success);
    const auto write = world.send(world.connect("primary"), "WRITE c 1");
    world.run(200ms);
    cr_assert_null(world.answer(write), "waits for the next primary");
    world.promote("d2");
    world.run(100ms);
    cr_assert_eq(world.lastEndpointOf(write), "d2");
}

// Guards against a promotion that waits for the lease of a host which received the withdrawal
// before its first document, and so has nothing to release.
Test(synchronous_lease, aWithdrawalBeforeTheDocumentIsReleased)
{
    SynchronousWorld world;
    auto document = test::makeThreeRouteDocument();
    document.version = 2;
    world.announce(document);
    world.withdrawPrimary();
    cr_assert(world.releases.empty());
    document.version = 3;
    document.services.front().synchronousReplicas = 1;
    world.announce(document);
    cr_assert(world.releases.size() == 1U && world.releases[0].epoch == 2U);
}

// Guards against transactions that go on at a withdrawn primary because no control host lists it
// any more, and against a release that is reported while they do.
Test(pooler_lease, aPrimaryThatIsNotListedIsReleasedOnlyWhenItIsUnused)
{
    LeaseWorld world;
    world.extendLease(4s);
    const auto open = world.connect("primary");
    world.sendAndWait(open, "BEGIN");
    world.sendAndWait(open, "WRITE a 1");
    const auto committing = world.connect("primary");
    world.sendAndWait(committing, "BEGIN");
    world.sendAndWait(committing, "WRITE b 1");
    auto records = world.group.records();
    std::erase_if(records, [](const EndpointRecord &record) { return record.id == "d1"; });
    world.handle(pooler::EndpointsChanged{records});
    const auto commit = world.send(committing, "COMMIT");
    world.run(5ms);
    world.withdrawPrimary();
    cr_assert(world.releases.empty(), "the commit has not been answered");
    cr_assert(world.sendAndWait(open, "COMMIT").kind == AnswerKind::Aborted);
    world.run(50ms);
    cr_assert(world.answer(commit)->kind == AnswerKind::Success);
    cr_assert_eq(world.releases.size(), 1U);
}
