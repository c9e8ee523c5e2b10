#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <vector>

#include <hyssoprock/promotion/promotion_controller.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

/// Controller and registry whose actions are answered by the test. Leadership starts at the initial
/// time.
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

    void sendHeartbeat(const std::string &id, EndpointRole role = EndpointRole::Replica,
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

    void sendHeartbeats()
    {
        for (auto record : registry.snapshot()) {
            record.sequence = ++sequence;
            (void)registry.handleHeartbeat(record, now);
        }
    }

    /// Advances the time; every endpoint except the silent one sends heartbeats.
    void advance(Duration time, const std::string &silent = {})
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
            if (const auto deadline = controller.nextDeadline(); deadline && *deadline <= now) {
                handle(promotion::Tick{});
            }
        }
    }

    void report(const std::string &host, const std::string &endpoint, Reachability reachability)
    {
        handle(promotion::EvidenceReceived{{host, "s", endpoint, reachability}});
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

    void answerStatus(const promotion::SendOperation &query, LogPosition received,
                      EndpointRole role = EndpointRole::Replica)
    {
        EndpointStatusRow row;
        row.role = role;
        row.term = received.term;
        row.received = received;
        handle(promotion::OperationCompleted{query.operationId, query.endpoint, row});
    }

    /// Answers the queries for the positions of candidates.
    /// @return Identifiers of the queried endpoints.
    std::vector<std::string> answerQueries(LogPosition received = {1, 9})
    {
        std::vector<std::string> queried;
        for (const auto &query : takeActions<promotion::SendOperation>()) {
            queried.push_back(query.endpoint);
            answerStatus(query, received);
        }
        return queried;
    }

    /// Commits the proposed order.
    /// @return Target of the order; empty if none was proposed.
    std::string commitOrder()
    {
        for (const auto &proposed : takeActions<promotion::Propose>()) {
            state.apply(proposed.command);
            if (const auto *const order = orderOf(proposed.command)) {
                handle(promotion::OrderProposalCompleted{"s", proposed.proposalId, ++lastToken});
                return order->endpoint;
            }
        }
        return {};
    }

    /// Replaces the control leader by one that knows only what was committed.
    /// @param settled Whether the outcome of the newest order was committed.
    void changeLeader(bool settled)
    {
        for (const auto &proposed : takeActions<promotion::Propose>()) {
            if (settled) {
                state.apply(proposed.command);
            }
        }
        ControlState restored;
        cr_assert(restored.restoreSnapshot(state.encodeSnapshot()).has_value());
        handle(promotion::LeadershipLost{});
        promotion::LeadershipGained gained;
        for (const auto &[service, record] : restored.promotions()) {
            gained.promotions.push_back(record);
        }
        gained.termStarts = restored.termStarts();
        handle(gained);
    }

    void answerCall(PromotionOutcome outcome, std::uint64_t token, const std::string &endpoint)
    {
        handle(promotion::CallCompleted{"s", endpoint, token, outcome});
    }

    /// Starts a service with primary p and replicas q and r, and waits until all grace periods have
    /// ended.
    void startService()
    {
        sendHeartbeat("p", EndpointRole::Primary);
        sendHeartbeat("q");
        sendHeartbeat("r");
        advance(3s);
        actions.clear();
    }

    EndpointRegistry registry{200ms};
    HostLeaseGrantor grantor{4s};
    PromotionController controller{registry, grantor, {2s, true}};
    Instant now{1h};
    std::uint64_t sequence = 0;
    std::uint64_t lastToken = 0;
    ControlState state; ///< Result of the committed orders.
    PromotionActions actions;
};

} // namespace

// Guards against selecting the first primary before heartbeats had time to arrive, and against a
// target that lacks commits which another replica holds.
Test(promotion_controller, choosesTheHighestPositionWithoutAPrimary)
{
    World world;
    world.sendHeartbeat("q");
    world.sendHeartbeat("r");
    world.advance(1900ms);
    cr_assert(world.takeActions<promotion::SendOperation>().empty());
    world.advance(100ms);
    const auto queries = world.takeActions<promotion::SendOperation>();
    cr_assert_eq(queries.size(), 2U);
    world.answerStatus(queries[0], {3, 10});
    world.answerStatus(queries[1], {2, 99});
    cr_assert(world.takeActions<promotion::SendPromotionCall>().empty(),
              "no call before the order is committed");
    cr_assert_eq(world.commitOrder(), queries[0].endpoint);
    const auto calls = world.takeActions<promotion::SendPromotionCall>();
    cr_assert_eq(calls.size(), 1U);
    cr_assert_eq(calls[0].token, 1U);
    world.answerCall(PromotionOutcome::Accepted, 1, calls[0].endpoint);
    const auto announced = world.takeActions<promotion::AnnouncePrimary>();
    cr_assert(announced.size() == 1U && announced[0].primary.epoch == 3U);
    const auto settled = world.takeActions<promotion::Propose>();
    cr_assert(std::get<SettlePromotion>(settled.at(0).command.body)
              == (SettlePromotion{"s", 1, true}));
}

// Guards against preferring a candidate that has not answered, and against waiting long for its
// answer.
Test(promotion_controller, waits150MsForPositions)
{
    World world;
    world.sendHeartbeat("q");
    world.sendHeartbeat("r");
    world.advance(2s);
    const auto queries = world.takeActions<promotion::SendOperation>();
    world.answerStatus(queries.at(1), {1, 1});
    cr_assert_eq(world.commitOrder(), "");
    world.advance(150ms);
    cr_assert_eq(world.commitOrder(), queries.at(1).endpoint);
}

// Guards against replacing a primary on the reports of a minority of entry hosts.
Test(promotion_controller, needsMoreUnreachableAnswersFromHalfOfTheHosts)
{
    World world;
    world.startService();
    world.report("e1", "p", Reachability::Silent);
    cr_assert_eq(world.takeActions<promotion::RequestEvidence>().size(), 1U);
    world.report("e1", "p", Reachability::Silent);
    cr_assert(world.takeActions<promotion::RequestEvidence>().empty(),
              "evidence was requested recently");
    world.report("e9", "p", Reachability::Silent);
    world.report("e8", "p", Reachability::Refused);
    world.report("e2", "p", Reachability::Reachable);
    world.report("e4", "p", Reachability::NotPrimary);
    world.report("e3", "p", Reachability::Refused);
    cr_assert(world.takeActions<promotion::SendOperation>().empty(), "two reports against two");
    world.advance(600ms);
    cr_assert_eq(world.takeActions<promotion::RequestEvidence>().size(), 1U);
    world.advance(600ms);
    world.report("e1", "p", Reachability::Silent);
    cr_assert(world.takeActions<promotion::SendOperation>().empty(),
              "the other reports have expired");
    world.report("e3", "p", Reachability::Refused);
    const auto queries = world.takeActions<promotion::SendOperation>();
    cr_assert_eq(queries.size(), 2U, "only the candidates are queried");
}

// Guards against promoting a replica that is draining, unreachable or without heartbeats.
Test(promotion_controller, skipsIneligibleReplicas)
{
    World world;
    world.startService();
    world.sendHeartbeat("a", EndpointRole::Replica, EndpointPhase::Draining);
    world.sendHeartbeat("b");
    world.advance(1s, "b");
    for (const auto *const host : {"e1", "e2", "e3"}) {
        world.report(host, "q", Reachability::Silent);
    }
    world.report("e1", "p", Reachability::Refused);
    world.report("e2", "p", Reachability::Refused);
    cr_assert(world.answerQueries() == (std::vector<std::string>{"r"}),
              "only the eligible replica is queried");
    cr_assert_eq(world.commitOrder(), "r");
}

// Guards against the late execution of an unanswered call: each call must have a new token.
Test(promotion_controller, repeatsAnUnansweredCallWithANewToken)
{
    World world;
    world.sendHeartbeat("q");
    world.advance(2s);
    (void)world.answerQueries();
    cr_assert_eq(world.commitOrder(), "q");
    world.advance(550ms);
    cr_assert_eq(world.commitOrder(), "");
    world.advance(50ms);
    cr_assert_eq(world.commitOrder(), "q");
    auto calls = world.takeActions<promotion::SendPromotionCall>();
    cr_assert(calls.size() == 2U && calls[0].token == 1U && calls[1].token == 2U);
    world.answerCall(PromotionOutcome::Refused, 1, "q");
    cr_assert_eq(world.commitOrder(), "", "the refusal of an old token is ignored");
    world.answerCall(PromotionOutcome::Limited, 2, "q");
    cr_assert_eq(world.commitOrder(), "");
    world.advance(100ms);
    cr_assert_eq(world.commitOrder(), "q");
    world.answerCall(PromotionOutcome::Accepted, 3, "q");
    cr_assert_eq(world.takeActions<promotion::AnnouncePrimary>().at(0).primary.epoch, 7U);
}

// Guards against answers that arrive after the call was repeated: if only the newest call counted,
// no answer ever would.
Test(promotion_controller, acceptsALateAnswerForTheSameTarget)
{
    World world;
    world.sendHeartbeat("q");
    world.advance(2s);
    (void)world.answerQueries();
    cr_assert_eq(world.commitOrder(), "q");
    world.advance(600ms);
    world.answerCall(PromotionOutcome::Accepted, 1, "q");
    cr_assert(world.takeActions<promotion::AnnouncePrimary>().empty(),
              "the second order is not committed");
    (void)world.takeActions<promotion::SendPromotionCall>();
    cr_assert_eq(world.commitOrder(), "q");
    cr_assert(world.takeActions<promotion::SendPromotionCall>().empty());
    cr_assert_eq(world.takeActions<promotion::AnnouncePrimary>().at(0).primary.epoch, 5U);
}

// Guards against repeating calls forever for a target that is not running.
Test(promotion_controller, choosesAnotherTargetAfterARefusal)
{
    World world;
    world.sendHeartbeat("q");
    world.sendHeartbeat("r");
    world.advance(2s);
    for (const auto &query : world.takeActions<promotion::SendOperation>()) {
        world.answerStatus(query, {1, query.endpoint == "q" ? 9U : 5U});
    }
    cr_assert_eq(world.commitOrder(), "q");
    world.answerCall(PromotionOutcome::Refused, 1, "q");
    cr_assert(world.answerQueries() == (std::vector<std::string>{"r"}));
    cr_assert_eq(world.commitOrder(), "r");
    world.answerCall(PromotionOutcome::Refused, 2, "r");
    cr_assert_eq(world.commitOrder(), "");
    world.advance(1900ms);
    cr_assert_eq(world.commitOrder(), "", "both are excluded for 2 s");
    world.advance(600ms);
    cr_assert_neq(world.takeActions<promotion::SendOperation>().size() + world.commitOrder().size(),
                  0U);
}

// Guards against keeping a draining primary until it stops, and against losing commits that the
// replica was about to receive.
Test(promotion_controller, replacesADrainingPrimary)
{
    World world;
    world.startService();
    world.sendHeartbeat("p", EndpointRole::Primary, EndpointPhase::Draining);
    auto queries = world.takeActions<promotion::SendOperation>();
    cr_assert_eq(queries.size(), 3U, "the primary reports the position to reach");
    for (const auto &query : queries) {
        world.answerStatus(query, {1, query.endpoint == "p" ? 9U : 8U});
    }
    queries = world.takeActions<promotion::SendOperation>();
    cr_assert_eq(queries.size(), 3U);
    for (const auto &query : queries) {
        world.answerStatus(query, {1, query.endpoint == "q" ? 8U : 9U});
    }
    cr_assert_eq(world.commitOrder(), "r");
    world.answerCall(PromotionOutcome::Accepted, 1, "r");
    world.actions.clear();
    world.advance(1s);
    cr_assert_eq(world.commitOrder(), "", "an outdated role in r's heartbeats is tolerated");
    world.sendHeartbeat("r", EndpointRole::Replica, EndpointPhase::Draining);
    cr_assert_eq(world.takeActions<promotion::SendOperation>().size(), 2U,
                 "r is draining: q and r are queried");
}

// Guards against a second promotion caused by reports that date from before the first one.
Test(promotion_controller, doesNotRepeatWithin2SWithoutAFailureOf1S)
{
    World world;
    world.startService();
    world.report("e1", "p", Reachability::Refused);
    world.report("e2", "p", Reachability::Refused);
    world.advance(150ms, "p");
    const auto target = world.commitOrder();
    world.answerCall(PromotionOutcome::Accepted, 1, target);
    world.actions.clear();
    const auto begin = world.now;
    while (world.now < begin + 950ms) {
        world.report("e1", target, Reachability::Silent);
        world.report("e2", target, Reachability::Silent);
        world.advance(50ms, "p");
    }
    cr_assert_eq(world.commitOrder(), "");
    world.report("e1", target, Reachability::Silent);
    world.report("e2", target, Reachability::Silent);
    world.advance(300ms, "p");
    cr_assert_neq(world.commitOrder(), "");
}

// Guards against an endpoint that stays announced as primary after it was demoted unnoticed.
Test(promotion_controller, queriesRolesWhenEntryHostsReportAReplica)
{
    World world;
    world.startService();
    world.report("e1", "p", Reachability::NotPrimary);
    cr_assert(world.takeActions<promotion::SendOperation>().empty(),
              "one entry host may be mistaken");
    world.report("e2", "p", Reachability::NotPrimary);
    const auto queries = world.takeActions<promotion::SendOperation>();
    cr_assert_eq(queries.size(), 3U);
    world.answerStatus(queries[0], {1, 9}, EndpointRole::Primary);
    world.answerStatus(queries[1], {2, 3}, EndpointRole::Primary);
    world.advance(300ms);
    // The epoch below the first token is used up, so the new primary is announced with a token.
    cr_assert_eq(world.commitOrder(), queries[1].endpoint);
    world.answerCall(PromotionOutcome::Accepted, 1, queries[1].endpoint);
    const auto announced = world.takeActions<promotion::AnnouncePrimary>();
    cr_assert(announced.size() == 1U && announced[0].primary.endpoint == queries[1].endpoint);
}

// Guards against a dead primary that stays undetected while no entry host is connected.
Test(promotion_controller, checksThePrimaryItselfWithoutEntryHosts)
{
    World world{{}, {}};
    world.startService();
    world.advance(750ms, "p");
    cr_assert(world.takeActions<promotion::SendOperation>().empty());
    world.advance(50ms, "p");
    auto queries = world.takeActions<promotion::SendOperation>();
    cr_assert(queries.size() == 1U && queries[0].endpoint == "p");
    world.handle(promotion::OperationCompleted{queries[0].operationId, "p", {}, true});
    cr_assert(world.takeActions<promotion::SendOperation>().empty(),
              "a refusal shows that it runs");
    world.advance(600ms, "p");
    queries = world.takeActions<promotion::SendOperation>();
    cr_assert_eq(queries.size(), 1U);
    world.handle(promotion::OperationCompleted{queries[0].operationId, "p", {}, false});
    queries = world.takeActions<promotion::SendOperation>();
    cr_assert_eq(queries.size(), 2U);
}

// Guards against a service that keeps a lost primary for ever: once it has expired, entry hosts are
// not sent it any more and cannot report on it.
Test(promotion_controller, replacesAnExpiredPrimaryThatDoesNotAnswer)
{
    World world;
    world.startService();
    world.advance(4s, "p");
    world.actions.clear();
    (void)world.registry.expire(world.now);
    world.handle(promotion::EndpointsRemoved{});
    auto queries = world.takeActions<promotion::SendOperation>();
    cr_assert(queries.size() == 1U && queries[0].endpoint == "p");
    world.handle(promotion::OperationCompleted{queries[0].operationId, "p", {}, false});
    queries = world.takeActions<promotion::SendOperation>();
    cr_assert_eq(queries.size(), 2U, "the candidates are queried");
}

// Guards against a late call of an earlier leader that is executed after another target was
// selected.
Test(promotion_controller, repeatsAnUnsettledOrderOfAnEarlierLeader)
{
    World world;
    world.startService();
    world.lastToken = 4;
    world.handle(promotion::LeadershipLost{});
    world.handle(promotion::LeadershipGained{{{"s", "q", 4, false, false}}});
    cr_assert_eq(world.commitOrder(), "q");
    cr_assert_eq(world.takeActions<promotion::SendPromotionCall>().at(0).token, 5U);
}

// Guards against a new leader that replaces a working primary, or keeps one that has restarted.
Test(promotion_controller, keepsTheSettledPrimaryUntilItRestarts)
{
    World world{{{"s", "q", 4, true, true}}};
    world.sendHeartbeat("q", EndpointRole::Primary);
    world.sendHeartbeat("r");
    world.lastToken = 4;
    cr_assert_eq(world.takeActions<promotion::AnnouncePrimary>().at(0).primary.epoch, 9U);
    world.advance(5s);
    cr_assert(world.takeActions<promotion::AnnouncePrimary>().empty());
    cr_assert_eq(world.commitOrder(), "");
    world.sendHeartbeat("q", EndpointRole::Replica, EndpointPhase::Ready, 11);
    cr_assert_eq(world.takeActions<promotion::SendOperation>().size(), 2U,
                 "no endpoint is primary now");
}

// Guards against calls by a host that is no longer the leader.
Test(promotion_controller, stopsWhenLeadershipIsLost)
{
    World world;
    world.sendHeartbeat("q");
    world.advance(2s);
    (void)world.answerQueries();
    const auto proposed = world.takeActions<promotion::Propose>();
    world.handle(promotion::LeadershipLost{});
    world.handle(promotion::OrderProposalCompleted{"s", proposed.at(0).proposalId, 1});
    world.advance(5s);
    cr_assert(world.takeActions<promotion::SendPromotionCall>().empty());
    cr_assert(world.controller.nextDeadline() == std::nullopt);
}

namespace {

/// Lets the primary become unreachable, and promotes the endpoint that the positions lead to.
/// @return Identifier of the new primary.
std::string replaceLostPrimary(World &world, const std::string &lost,
                               const std::map<std::string, LogPosition> &positions)
{
    world.advance(3s, lost);
    world.actions.clear();
    for (const auto *const host : {"e1", "e2", "e3"}) {
        world.report(host, lost, Reachability::Silent);
    }
    for (const auto &query : world.takeActions<promotion::SendOperation>()) {
        if (const auto found = positions.find(query.endpoint); found != positions.end()) {
            world.answerStatus(query, found->second);
        }
    }
    const auto target = world.commitOrder();
    world.answerCall(PromotionOutcome::Accepted, world.lastToken, target);
    return target;
}

} // namespace

// Guards against bringing commits back that a promotion has given up: reads since then have not
// seen them. The former primary holds them until it follows its successor.
Test(promotion_controller, aFormerPrimaryWithGivenUpCommitsRanksBelowAReplica)
{
    World world;
    world.startService();
    cr_assert_eq(replaceLostPrimary(world, "p", {{"q", {3, 10}}, {"r", {3, 5}}}), "q");
    world.sendHeartbeat("q", EndpointRole::Primary);
    world.sendHeartbeat("p", EndpointRole::Replica, EndpointPhase::Ready, 20);
    cr_assert_eq(replaceLostPrimary(world, "q", {{"p", {3, 20}}, {"r", {3, 8}}}), "r");
}

// Guards against preferring a replica that is behind to one that holds entries of the newest term.
Test(promotion_controller, entriesOfTheNewestTermAreNotGivenUp)
{
    World world;
    world.startService();
    cr_assert_eq(replaceLostPrimary(world, "p", {{"q", {3, 10}}, {"r", {3, 5}}}), "q");
    world.sendHeartbeat("q", EndpointRole::Primary);
    world.sendHeartbeat("p", EndpointRole::Replica, EndpointPhase::Ready, 20);
    cr_assert_eq(replaceLostPrimary(world, "q", {{"p", {4, 12}}, {"r", {3, 10}}}), "p");
}

// Guards against bringing commits back that the promotion of an earlier control leader has given
// up.
Test(promotion_controller, aNewLeaderKnowsWhatAPromotionHasGivenUp)
{
    World world;
    world.startService();
    cr_assert_eq(replaceLostPrimary(world, "p", {{"q", {3, 10}}, {"r", {3, 5}}}), "q");
    world.changeLeader(true);
    world.sendHeartbeat("q", EndpointRole::Primary);
    world.sendHeartbeat("p", EndpointRole::Replica, EndpointPhase::Ready, 20);
    cr_assert_eq(replaceLostPrimary(world, "q", {{"p", {3, 20}}, {"r", {3, 8}}}), "r");
}

// Guards against the same if the earlier leader was lost before the outcome of its call was
// committed, and the target is lost before the new leader has repeated the call.
Test(promotion_controller, aNewLeaderKnowsWhatAnUnsettledPromotionMayHaveGivenUp)
{
    World world;
    world.startService();
    cr_assert_eq(replaceLostPrimary(world, "p", {{"q", {3, 10}}, {"r", {3, 5}}}), "q");
    world.changeLeader(false);
    world.sendHeartbeat("p", EndpointRole::Replica, EndpointPhase::Ready, 20);
    cr_assert_eq(world.commitOrder(), "q");
    world.answerCall(PromotionOutcome::Refused, world.lastToken, "q");
    for (const auto &query : world.takeActions<promotion::SendOperation>()) {
        world.answerStatus(query, query.endpoint == "p" ? LogPosition{3, 20} : LogPosition{3, 8});
    }
    cr_assert_eq(world.commitOrder(), "r");
}

// Guards against an unknown start of the term of a single candidate: the former primary could bring
// back what its promotion has given up.
Test(promotion_controller, theStartOfTheTermOfASingleCandidateIsKnown)
{
    World world;
    world.sendHeartbeat("p", EndpointRole::Primary);
    world.sendHeartbeat("q");
    world.advance(3s);
    cr_assert_eq(replaceLostPrimary(world, "p", {{"q", {3, 10}}}), "q");
    world.sendHeartbeat("q", EndpointRole::Primary);
    world.sendHeartbeat("p", EndpointRole::Replica, EndpointPhase::Ready, 20);
    world.sendHeartbeat("r");
    cr_assert_eq(replaceLostPrimary(world, "q", {{"p", {3, 20}}, {"r", {3, 8}}}), "r");
}

// Guards against a candidate that no replica can replace being refused: it is promoted although it
// brings back what was given up.
Test(promotion_controller, aCandidateWithGivenUpCommitsIsPromotedIfThereIsNoOther)
{
    World world;
    world.startService();
    cr_assert_eq(replaceLostPrimary(world, "p", {{"q", {3, 10}}, {"r", {3, 5}}}), "q");
    world.sendHeartbeat("q", EndpointRole::Primary);
    world.sendHeartbeat("p", EndpointRole::Replica, EndpointPhase::Ready, 20);
    cr_assert_eq(replaceLostPrimary(world, "q", {{"p", {3, 20}}, {"r", {3, 12}}}), "p");
}

// Guards against the same after a planned promotion: the former primary acknowledged commits until
// it was replaced.
Test(promotion_controller, theStartOfTheTermAfterAPlannedPromotionIsKnown)
{
    World world;
    world.startService();
    world.sendHeartbeat("p", EndpointRole::Primary, EndpointPhase::Draining);
    (void)world.answerQueries({3, 10});
    const auto target = world.commitOrder();
    const auto other = std::string{target == "q" ? "r" : "q"};
    world.answerCall(PromotionOutcome::Accepted, world.lastToken, target);
    world.sendHeartbeat(target, EndpointRole::Primary);
    world.sendHeartbeat("p", EndpointRole::Replica, EndpointPhase::Ready, 20);
    cr_assert_eq(replaceLostPrimary(world, target, {{"p", {3, 20}}, {other, {3, 8}}}), other);
}
