#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <vector>

#include <hyssoprock/promotion/promotion_controller.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

/// A controller with a registry, whose actions the test answers. Time starts at leadership.
class World
{
public:
    explicit World(std::vector<PromotionRecord> promotions = {},
                   std::vector<std::string> hosts = {"e1", "e2", "e3", "e4"})
    {
        handle(promotion::EntryHostsChanged{std::move(hosts)});
        handle(promotion::LeadershipGained{std::move(promotions)});
    }

    void handle(const PromotionEvent &event)
    {
        for (auto &action : controller.handle(event, now)) {
            actions.push_back(std::move(action));
        }
    }

    void beat(const std::string &id, EndpointRole role = EndpointRole::Replica,
              EndpointPhase phase = EndpointPhase::Ready, std::uint64_t born = 10)
    {
        EndpointRecord record;
        record.service = "s";
        record.id = id;
        record.address = "10.0.0.1:" + id;
        record.bornMs = born;
        record.sequence = ++sequence;
        record.role = role;
        record.phase = phase;
        (void)registry.handleHeartbeat(record, now);
        handle(promotion::RegistryChanged{"s"});
    }

    void beatAgain()
    {
        for (auto record : registry.snapshot()) {
            record.sequence = ++sequence;
            (void)registry.handleHeartbeat(record, now);
        }
    }

    /// Lets time pass with heartbeats of all endpoints but the silent one.
    void pass(Duration time, const std::string &silent = {})
    {
        const auto end = now + time;
        while (now < end) {
            now = std::min(end, now + 50ms);
            for (auto record : registry.snapshot()) {
                if (record.id != silent) {
                    record.sequence = ++sequence;
                    (void)registry.handleHeartbeat(record, now);
                }
            }
            if (const auto due = controller.nextDeadline(); due && *due <= now) {
                handle(promotion::Tick{});
            }
        }
    }

    void report(const std::string &host, const std::string &endpoint, Reachability reachability)
    {
        handle(promotion::EvidenceReceived{{host, "s", endpoint, reachability}});
    }

    template <class Action>
    std::vector<Action> taken()
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

    void status(const promotion::SendOperation &query, LogPosition received,
                EndpointRole role = EndpointRole::Replica)
    {
        EndpointStatusRow row;
        row.role = role;
        row.term = received.term;
        row.received = received;
        handle(promotion::OperationCompleted{query.operationId, query.endpoint, row});
    }

    /// Commits the order that is being proposed.
    /// @return The target, or an empty text if none was proposed.
    std::string commitOrder()
    {
        for (const auto &proposed : taken<promotion::Propose>()) {
            if (const auto *const order = std::get_if<OrderPromotion>(&proposed.command.body)) {
                handle(promotion::OrderProposalCompleted{"s", proposed.proposalId, ++lastToken});
                return order->endpoint;
            }
        }
        return {};
    }

    void answer(PromotionOutcome outcome, std::uint64_t token, const std::string &endpoint)
    {
        handle(promotion::CallCompleted{"s", endpoint, token, outcome});
    }

    /// Service with primary p and replicas q and r, after all periods of grace.
    void settleDown()
    {
        beat("p", EndpointRole::Primary);
        beat("q");
        beat("r");
        pass(3s);
        actions.clear();
    }

    EndpointRegistry registry{200ms};
    PromotionController controller{registry, 2s};
    Instant now{1h};
    std::uint64_t sequence = 0;
    std::uint64_t lastToken = 0;
    PromotionActions actions;
};

} // namespace

// Guards against a first primary that is chosen before heartbeats had time to arrive, and against
// a target that lacks commits another one has.
Test(promotion_controller, choosesTheHighestPositionWhenThereIsNoPrimary)
{
    World world;
    world.beat("q");
    world.beat("r");
    world.pass(1900ms);
    cr_assert(world.taken<promotion::SendOperation>().empty());
    world.pass(100ms);
    const auto queries = world.taken<promotion::SendOperation>();
    cr_assert_eq(queries.size(), 2U);
    world.status(queries[0], {3, 10});
    world.status(queries[1], {2, 99});
    cr_assert(world.taken<promotion::SendPromotionCall>().empty(), "not before the commit");
    cr_assert_eq(world.commitOrder(), queries[0].endpoint);
    const auto calls = world.taken<promotion::SendPromotionCall>();
    cr_assert_eq(calls.size(), 1U);
    cr_assert_eq(calls[0].token, 1U);
    world.answer(PromotionOutcome::Accepted, 1, calls[0].endpoint);
    const auto named = world.taken<promotion::AnnouncePrimary>();
    cr_assert(named.size() == 1U && named[0].primary.epoch == 3U);
    const auto settled = world.taken<promotion::Propose>();
    cr_assert(std::get<SettlePromotion>(settled.at(0).command.body)
              == (SettlePromotion{"s", 1, true}));
}

// Guards against a candidate without an answer that is preferred or delays the choice for long.
Test(promotion_controller, waits150MsForPositions)
{
    World world;
    world.beat("q");
    world.beat("r");
    world.pass(2s);
    const auto queries = world.taken<promotion::SendOperation>();
    world.status(queries.at(1), {1, 1});
    cr_assert_eq(world.commitOrder(), "");
    world.pass(150ms);
    cr_assert_eq(world.commitOrder(), queries.at(1).endpoint);
}

// Guards against a primary that is replaced on the word of a minority.
Test(promotion_controller, needsMoreUnreachableAnswersFromHalfOfTheHosts)
{
    World world;
    world.settleDown();
    world.report("e1", "p", Reachability::Silent);
    cr_assert_eq(world.taken<promotion::RequestEvidence>().size(), 1U);
    world.report("e1", "p", Reachability::Silent);
    cr_assert(world.taken<promotion::RequestEvidence>().empty(), "asked just now");
    world.report("e9", "p", Reachability::Silent);
    world.report("e8", "p", Reachability::Refused);
    world.report("e2", "p", Reachability::Reachable);
    world.report("e4", "p", Reachability::NotPrimary);
    world.report("e3", "p", Reachability::Refused);
    cr_assert(world.taken<promotion::SendOperation>().empty(), "two against two");
    world.pass(600ms);
    cr_assert_eq(world.taken<promotion::RequestEvidence>().size(), 1U);
    world.pass(600ms);
    world.report("e1", "p", Reachability::Silent);
    cr_assert(world.taken<promotion::SendOperation>().empty(), "the others are too old");
    world.report("e3", "p", Reachability::Refused);
    const auto queries = world.taken<promotion::SendOperation>();
    cr_assert_eq(queries.size(), 2U, "candidates without the primary");
}

// Guards against a replica that is draining, unreachable or silent and becomes primary.
Test(promotion_controller, passesOverUnfitReplicas)
{
    World world;
    world.settleDown();
    world.beat("a", EndpointRole::Replica, EndpointPhase::Draining);
    world.beat("b");
    world.pass(1s, "b");
    for (const auto *const host : {"e1", "e2", "e3"}) {
        world.report(host, "q", Reachability::Silent);
    }
    world.report("e1", "p", Reachability::Refused);
    world.report("e2", "p", Reachability::Refused);
    cr_assert_eq(world.commitOrder(), "r", "the only one that is fit needs no query");
}

// Guards against a late execution of an unanswered call: each call has a new token.
Test(promotion_controller, repeatsAnUnansweredCallWithANewToken)
{
    World world;
    world.beat("q");
    world.pass(2s);
    cr_assert_eq(world.commitOrder(), "q");
    world.pass(550ms);
    cr_assert_eq(world.commitOrder(), "");
    world.pass(50ms);
    cr_assert_eq(world.commitOrder(), "q");
    auto calls = world.taken<promotion::SendPromotionCall>();
    cr_assert(calls.size() == 2U && calls[0].token == 1U && calls[1].token == 2U);
    world.answer(PromotionOutcome::Refused, 1, "q");
    cr_assert_eq(world.commitOrder(), "", "the refusal of an old token means nothing");
    world.answer(PromotionOutcome::Limited, 2, "q");
    cr_assert_eq(world.commitOrder(), "");
    world.pass(100ms);
    cr_assert_eq(world.commitOrder(), "q");
    world.answer(PromotionOutcome::Accepted, 3, "q");
    cr_assert_eq(world.taken<promotion::AnnouncePrimary>().at(0).primary.epoch, 7U);
}

// Guards against answers slower than the repetition, with which no call would ever count.
Test(promotion_controller, takesALateAcceptanceOfTheSameTarget)
{
    World world;
    world.beat("q");
    world.pass(2s);
    cr_assert_eq(world.commitOrder(), "q");
    world.pass(600ms);
    world.answer(PromotionOutcome::Accepted, 1, "q");
    cr_assert(world.taken<promotion::AnnouncePrimary>().empty(),
              "the second order is not committed");
    (void)world.taken<promotion::SendPromotionCall>();
    cr_assert_eq(world.commitOrder(), "q");
    cr_assert(world.taken<promotion::SendPromotionCall>().empty());
    cr_assert_eq(world.taken<promotion::AnnouncePrimary>().at(0).primary.epoch, 5U);
}

// Guards against endless calls for a target that does not run.
Test(promotion_controller, choosesAnotherTargetAfterARefusal)
{
    World world;
    world.beat("q");
    world.beat("r");
    world.pass(2s);
    for (const auto &query : world.taken<promotion::SendOperation>()) {
        world.status(query, {1, query.endpoint == "q" ? 9U : 5U});
    }
    cr_assert_eq(world.commitOrder(), "q");
    world.answer(PromotionOutcome::Refused, 1, "q");
    cr_assert_eq(world.commitOrder(), "r");
    world.answer(PromotionOutcome::Refused, 2, "r");
    cr_assert_eq(world.commitOrder(), "");
    world.pass(1900ms);
    cr_assert_eq(world.commitOrder(), "", "both are passed over for 2 s");
    world.pass(600ms);
    cr_assert_neq(world.taken<promotion::SendOperation>().size() + world.commitOrder().size(), 0U);
}

// Guards against a draining primary that is kept until it stops, and against a loss of commits
// that the replica was about to receive.
Test(promotion_controller, replacesADrainingPrimary)
{
    World world;
    world.settleDown();
    world.beat("p", EndpointRole::Primary, EndpointPhase::Draining);
    auto queries = world.taken<promotion::SendOperation>();
    cr_assert_eq(queries.size(), 3U, "the primary tells the position to reach");
    for (const auto &query : queries) {
        world.status(query, {1, query.endpoint == "p" ? 9U : 8U});
    }
    queries = world.taken<promotion::SendOperation>();
    cr_assert_eq(queries.size(), 3U);
    for (const auto &query : queries) {
        world.status(query, {1, query.endpoint == "q" ? 8U : 9U});
    }
    cr_assert_eq(world.commitOrder(), "r");
    world.answer(PromotionOutcome::Accepted, 1, "r");
    world.actions.clear();
    world.pass(1s);
    cr_assert_eq(world.commitOrder(), "", "a late role in r's heartbeats is no contradiction");
    world.beat("r", EndpointRole::Replica, EndpointPhase::Draining);
    cr_assert_eq(world.taken<promotion::SendOperation>().size(), 2U, "draining again: q and r");
}

// Guards against a second promotion because of reports about the time before the first.
Test(promotion_controller, doesNotRepeatWithin2SWithoutAFailureOf1S)
{
    World world;
    world.settleDown();
    world.report("e1", "p", Reachability::Refused);
    world.report("e2", "p", Reachability::Refused);
    world.pass(150ms, "p");
    const auto target = world.commitOrder();
    world.answer(PromotionOutcome::Accepted, 1, target);
    world.actions.clear();
    const auto begin = world.now;
    while (world.now < begin + 950ms) {
        world.report("e1", target, Reachability::Silent);
        world.report("e2", target, Reachability::Silent);
        world.pass(50ms, "p");
    }
    cr_assert_eq(world.commitOrder(), "");
    world.report("e1", target, Reachability::Silent);
    world.report("e2", target, Reachability::Silent);
    world.pass(300ms, "p");
    cr_assert_neq(world.commitOrder(), "");
}

// Guards against an endpoint that was demoted unseen, and stays named as primary.
Test(promotion_controller, queriesRolesWhenEntryHostsMeetAReplica)
{
    World world;
    world.settleDown();
    world.report("e1", "p", Reachability::NotPrimary);
    cr_assert(world.taken<promotion::SendOperation>().empty(), "one entry host may be mistaken");
    world.report("e2", "p", Reachability::NotPrimary);
    const auto queries = world.taken<promotion::SendOperation>();
    cr_assert_eq(queries.size(), 3U);
    world.status(queries[0], {1, 9}, EndpointRole::Primary);
    world.status(queries[1], {2, 3}, EndpointRole::Primary);
    world.pass(300ms);
    // The epoch below the first token is used, so the choice is made known with a token.
    cr_assert_eq(world.commitOrder(), queries[1].endpoint);
    world.answer(PromotionOutcome::Accepted, 1, queries[1].endpoint);
    const auto named = world.taken<promotion::AnnouncePrimary>();
    cr_assert(named.size() == 1U && named[0].primary.endpoint == queries[1].endpoint);
}

// Guards against a dead primary that nobody notices while no caller is connected.
Test(promotion_controller, checksThePrimaryItselfWithoutEntryHosts)
{
    World world{{}, {}};
    world.settleDown();
    world.pass(750ms, "p");
    cr_assert(world.taken<promotion::SendOperation>().empty());
    world.pass(50ms, "p");
    auto queries = world.taken<promotion::SendOperation>();
    cr_assert(queries.size() == 1U && queries[0].endpoint == "p");
    world.handle(promotion::OperationCompleted{queries[0].operationId, "p", {}, true});
    cr_assert(world.taken<promotion::SendOperation>().empty(), "a refusal shows that it runs");
    world.pass(600ms, "p");
    queries = world.taken<promotion::SendOperation>();
    cr_assert_eq(queries.size(), 1U);
    world.handle(promotion::OperationCompleted{queries[0].operationId, "p", {}, false});
    queries = world.taken<promotion::SendOperation>();
    cr_assert_eq(queries.size(), 2U);
}

// Guards against a late call of an earlier leader that is executed after another choice.
Test(promotion_controller, repeatsAnUnsettledOrderOfAnEarlierLeader)
{
    World world;
    world.settleDown();
    world.lastToken = 4;
    world.handle(promotion::LeadershipLost{});
    world.handle(promotion::LeadershipGained{{{"s", "q", 4, false, false}}});
    cr_assert_eq(world.commitOrder(), "q");
    cr_assert_eq(world.taken<promotion::SendPromotionCall>().at(0).token, 5U);
}

// Guards against a new leader that replaces a working primary, or keeps one that has restarted.
Test(promotion_controller, keepsTheSettledPrimaryUntilItContradicts)
{
    World world{{{"s", "q", 4, true, true}}};
    world.beat("q", EndpointRole::Primary);
    world.beat("r");
    world.lastToken = 4;
    cr_assert_eq(world.taken<promotion::AnnouncePrimary>().at(0).primary.epoch, 9U);
    world.pass(5s);
    cr_assert(world.taken<promotion::AnnouncePrimary>().empty());
    cr_assert_eq(world.commitOrder(), "");
    world.beat("q", EndpointRole::Replica, EndpointPhase::Ready, 11);
    cr_assert_eq(world.taken<promotion::SendOperation>().size(), 2U, "nobody is primary now");
}

// Guards against calls of a host that does not lead any more.
Test(promotion_controller, stopsWhenLeadershipIsLost)
{
    World world;
    world.beat("q");
    world.pass(2s);
    const auto proposed = world.taken<promotion::Propose>();
    world.handle(promotion::LeadershipLost{});
    world.handle(promotion::OrderProposalCompleted{"s", proposed.at(0).proposalId, 1});
    world.pass(5s);
    cr_assert(world.taken<promotion::SendPromotionCall>().empty());
    cr_assert(world.controller.nextDeadline() == std::nullopt);
}
