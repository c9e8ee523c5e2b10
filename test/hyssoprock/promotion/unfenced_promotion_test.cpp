#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <vector>

#include <hyssoprock/promotion/promotion_controller.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

constexpr Duration leaseDuration = 4s;

/// Controller of a platform that neither deposes a replaced primary nor refuses outdated tokens.
/// Entry hosts e1 and e2 hold leases; p is the primary, q and r are replicas.
class World
{
public:
    explicit World(std::vector<PromotionRecord> promotions = {},
                   std::map<std::string, Instant> unsettledSince = {})
    {
        grantor.beginLeadership(now);
        handle(promotion::EntryHostsChanged{{"e1", "e2"}});
        handle(promotion::LeadershipGained{std::move(promotions), {}, std::move(unsettledSince)});
        heartbeat("p", EndpointRole::Primary);
        heartbeat("q");
        heartbeat("r");
    }

    void handle(const PromotionEvent &event)
    {
        for (auto &action : controller.handle(event, now)) {
            actions.push_back(std::move(action));
        }
    }

    void heartbeat(const std::string &id, EndpointRole role = EndpointRole::Replica,
                   EndpointPhase phase = EndpointPhase::Ready, std::uint64_t bornMs = 10)
    {
        EndpointRecord record;
        record.service = "s";
        record.id = id;
        record.address = "10.0.0.1:" + id;
        record.bornMs = bornMs;
        record.sequence = ++sequence;
        record.role = role;
        record.phase = phase;
        (void)registry.handleHeartbeat(record, now);
        handle(promotion::RegistryChanged{"s"});
    }

    void advance(Duration time)
    {
        const auto end = now + time;
        while (now < end) {
            now = std::min(end, now + 50ms);
            for (auto record : registry.snapshot()) {
                record.sequence = ++sequence;
                (void)registry.handleHeartbeat(record, now);
            }
            if (const auto deadline = controller.nextDeadline(); deadline && *deadline <= now) {
                handle(promotion::Tick{});
            }
        }
    }

    /// A lease request of a host, with the epochs that it has released.
    void renew(const std::string &host, std::vector<PrimaryRelease> released = {})
    {
        HostLeaseRequest request;
        request.incarnation = 1;
        request.sequence = ++sequence;
        request.released = released;
        (void)grantor.renew(host, request, now);
        for (const auto &release : released) {
            handle(promotion::PrimaryReleased{release.service});
        }
    }

    void reportUnreachable(const std::string &endpoint)
    {
        for (const auto *const host : {"e1", "e2"}) {
            handle(promotion::EvidenceReceived{{host, "s", endpoint, Reachability::Silent}});
        }
    }

    template <class Action>
    std::vector<Action> takeActions()
    {
        std::vector<Action> found;
        std::erase_if(actions, [&](const auto &action) {
            if (const auto *const match = std::get_if<Action>(&action)) {
                found.push_back(*match);
                return true;
            }
            return false;
        });
        return found;
    }

    /// Answers all status queries of replicas; q has the highest position.
    void answerQueries()
    {
        for (const auto &query : takeActions<promotion::SendOperation>()) {
            if (query.operation != EndpointOperation::Status) {
                stepDowns.push_back(query);
                continue;
            }
            EndpointStatusRow row;
            row.role =
                query.endpoint == actingPrimary ? EndpointRole::Primary : EndpointRole::Replica;
            row.term = query.endpoint == "r" ? newestTerm : 1;
            row.received = {1, query.endpoint == "r" ? 5U : 9U};
            handle(promotion::OperationCompleted{query.operationId, query.endpoint, row});
        }
    }

    /// Commits the proposed order.
    /// @return Target of the order; empty if none was proposed.
    std::string commitOrder()
    {
        answerQueries();
        for (const auto &proposed : takeActions<promotion::Propose>()) {
            if (const auto *const order = orderOf(proposed.command)) {
                handle(promotion::OrderProposalCompleted{"s", proposed.proposalId, ++lastToken});
                answerQueries();
                return order->endpoint;
            }
        }
        return {};
    }

    void confirmStepDown()
    {
        EndpointStatusRow row;
        row.term = 1;
        row.received = {1, 9};
        handle(promotion::OperationCompleted{stepDowns.back().operationId,
                                             stepDowns.back().endpoint, row});
    }

    /// Lets the primary become unreachable, and commits the order of its successor.
    void losePrimary()
    {
        advance(5s);
        actions.clear();
        renew("e1");
        renew("e2");
        reportUnreachable("p");
        cr_assert_eq(commitOrder(), "q");
    }

    std::vector<promotion::SendPromotionCall> calls()
    {
        return takeActions<promotion::SendPromotionCall>();
    }

    /// @return The last announcement; empty endpoint if there is none.
    PrimaryRecord announced()
    {
        const auto found = takeActions<promotion::AnnouncePrimary>();
        return found.empty() ? PrimaryRecord{} : found.back().primary;
    }

    EndpointRegistry registry{200ms};
    HostLeaseGrantor grantor{leaseDuration};
    PromotionController controller{registry, grantor, {2s, false}};
    Instant now{1h};
    std::uint64_t sequence = 0;
    std::uint64_t lastToken = 0;
    std::uint64_t newestTerm = 1;    ///< Reported by r when it is queried.
    std::string actingPrimary = "p"; ///< Reports that it is primary when it is queried.
    std::vector<promotion::SendOperation> stepDowns;
    PromotionActions actions;
};

PromotionRecord record(const std::string &endpoint, std::uint64_t token, bool settled,
                       bool promoted)
{
    return {"s", endpoint, token, settled, promoted, "p", 0};
}

} // namespace

// Guards against a call while a host that cannot be reached may still use a live primary: a primary
// that is cut off from the control hosts but not from all entry hosts.
Test(unfenced_promotion, theCallWaitsForAllLeases)
{
    World world;
    world.losePrimary();
    const auto withdrawal = world.announced();
    cr_assert(withdrawal.endpoint.empty() && withdrawal.epoch == 3U);
    cr_assert(world.calls().empty());
    world.renew("e1", {{"s", 3}});
    cr_assert(world.calls().empty(), "e2 has not released the primary");
    world.advance(leaseDuration);
    cr_assert(world.calls().empty(), "the lease of e2 may last for the drift bound");
    world.advance(100ms);
    cr_assert_eq(world.calls().size(), 1U);
    world.handle(promotion::CallCompleted{"s", "q", 1, PromotionOutcome::Accepted});
    const auto promoted = world.announced();
    cr_assert(promoted.endpoint == "q" && promoted.epoch == 4U, "above the withdrawal's epoch");
}

// Guards against a longer outage than necessary: once every host has released the primary, nothing
// else is waited for.
Test(unfenced_promotion, theCallFollowsTheLastRelease)
{
    World world;
    world.losePrimary();
    world.renew("e1", {{"s", 3}});
    world.renew("e2", {{"s", 3}});
    cr_assert_eq(world.calls().size(), 1U);
}

// Guards against waiting for leases where the former primary itself confirms that it acknowledges
// nothing more.
Test(unfenced_promotion, aConfirmedStepDownSuffices)
{
    World world;
    world.advance(5s);
    world.actions.clear();
    world.renew("e1");
    world.heartbeat("p", EndpointRole::Primary, EndpointPhase::Draining);
    cr_assert_eq(world.commitOrder(), "q");
    cr_assert_eq(world.stepDowns.size(), 1U);
    cr_assert(world.stepDowns[0].endpoint == "p" && world.stepDowns[0].term == 2U);
    cr_assert(world.calls().empty());
    world.confirmStepDown();
    cr_assert_eq(world.calls().size(), 1U);
}

// Guards against an order to step down that is lost: it is repeated while leases last.
Test(unfenced_promotion, anUnansweredStepDownIsRepeated)
{
    World world;
    world.losePrimary();
    world.advance(600ms);
    world.answerQueries();
    cr_assert_eq(world.stepDowns.size(), 2U);
}

// Guards against two primaries after a change of the control leader: leases of the former leader
// are unknown to the new one.
Test(unfenced_promotion, aNewLeaderWaitsForLeasesOfTheFormerOne)
{
    World world;
    world.advance(2s);
    world.actions.clear();
    world.reportUnreachable("p");
    cr_assert_eq(world.commitOrder(), "q");
    world.advance(1900ms);
    cr_assert(world.calls().empty());
    world.advance(200ms);
    cr_assert_eq(world.calls().size(), 1U);
}

// Guards against a lease under which a host uses a primary that an earlier leader has withdrawn:
// the call of that leader may have been executed.
Test(unfenced_promotion, anUnsettledOrderIsWithdrawnBeforeAnyLeaseIsGranted)
{
    World world{{record("q", 5, false, false)}};
    const auto first = world.announced();
    cr_assert(first.endpoint.empty() && first.epoch == 11U);
    world.lastToken = 5;
    world.advance(700ms);
    cr_assert_eq(world.commitOrder(), "q");
    const auto second = world.announced();
    cr_assert(second.endpoint.empty() && second.epoch == 13U,
              "the earlier leader may have announced q with epoch 12");
    cr_assert(world.calls().empty());
}

// Guards against an outage of a whole lease duration for each change of the control leader while a
// promotion is in progress: leases granted after the withdrawal do not allow the former primary.
Test(unfenced_promotion, leasesThatWereGrantedAfterTheWithdrawalAreNotWaitedFor)
{
    World world{{record("q", 5, false, false)}, {{"s", Instant{1h} - 3s}}};
    world.lastToken = 5;
    world.advance(700ms);
    cr_assert_eq(world.commitOrder(), "q");
    cr_assert(world.calls().empty());
    world.advance(400ms);
    cr_assert_eq(world.calls().size(), 1U);
}

// Guards against two primaries after an unanswered call: without a fence it may be executed after
// the promotion of another endpoint.
Test(unfenced_promotion, afterAnUnansweredCallNoOtherEndpointIsPromoted)
{
    World world;
    world.losePrimary();
    world.renew("e1", {{"s", 3}});
    world.renew("e2", {{"s", 3}});
    cr_assert_eq(world.calls().size(), 1U);
    world.heartbeat("q", EndpointRole::Replica, EndpointPhase::Draining);
    world.advance(5s);
    cr_assert_eq(world.commitOrder(), "", "the call for q may still be executed");
    world.advance(7500ms);
    world.reportUnreachable("p");
    world.advance(500ms);
    cr_assert_eq(world.commitOrder(), "r");
}

// Guards against a later leader that does not know of a call which may still be executed.
Test(unfenced_promotion, anOrderIsSettledWhenNoEarlierCallCanBeExecuted)
{
    World world;
    world.losePrimary();
    world.renew("e1", {{"s", 3}});
    world.renew("e2", {{"s", 3}});
    world.advance(650ms);
    cr_assert_eq(world.commitOrder(), "q", "the unanswered call is repeated");
    world.handle(promotion::CallCompleted{"s", "q", 2, PromotionOutcome::Accepted});
    world.heartbeat("q", EndpointRole::Primary);
    cr_assert_eq(world.announced().endpoint, "q");
    cr_assert(world.takeActions<promotion::Propose>().empty());
    world.advance(12s);
    const auto settled = world.takeActions<promotion::Propose>();
    cr_assert_eq(settled.size(), 1U);
    cr_assert(std::get<SettlePromotion>(settled[0].command.body)
              == (SettlePromotion{"s", 2, true}));
}

// Guards against a deposed primary that comes back after a crash with its log and role, while its
// successor is down: its term is outdated.
Test(unfenced_promotion, aDeposedPrimaryIsNotFollowed)
{
    World world{{record("q", 5, true, true)}};
    world.lastToken = 5;
    cr_assert_eq(world.announced().endpoint, "q");
    world.heartbeat("q", EndpointRole::Primary);
    world.advance(5s);
    world.actions.clear();
    world.heartbeat("q", EndpointRole::Replica, EndpointPhase::Ready, 20);
    world.heartbeat("p", EndpointRole::Primary, EndpointPhase::Ready, 20);
    world.advance(2s);
    for (const auto &announcement : world.takeActions<promotion::AnnouncePrimary>()) {
        cr_assert_neq(announcement.primary.endpoint, "p");
    }
}

// Guards against writes that a target accepts as the primary of an older term: it is announced when
// the platform accepts the call, before the promotion takes effect.
Test(unfenced_promotion, aTargetThatActsAsPrimaryStepsDownBeforeTheCall)
{
    World world{{record("p", 5, true, true)}};
    world.lastToken = 5;
    world.heartbeat("p", EndpointRole::Primary);
    world.advance(5s);
    world.actions.clear();
    world.actingPrimary = "q";
    world.newestTerm = 2;
    world.heartbeat("q", EndpointRole::Primary, EndpointPhase::Ready, 20);
    world.renew("e1");
    world.reportUnreachable("p");
    cr_assert_eq(world.commitOrder(), "q");
    world.renew("e1", {{"s", 13}});
    cr_assert(world.calls().empty(), "q acts as primary");
    cr_assert_eq(world.stepDowns.back().endpoint, "q");
    world.confirmStepDown();
    cr_assert_eq(world.calls().size(), 1U);
}
