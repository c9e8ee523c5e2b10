#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <hyssoprock/promotion/promotion_controller.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

/// What a test endpoint does with orders.
struct Endpoint
{
    EndpointRole role = EndpointRole::Replica;
    LogPosition received;
    std::uint64_t term = 3;
    std::uint64_t pausedBy = 0;
    bool answers = true;
    bool late = false; ///< Orders without an answer may be carried out later.
};

/// A controller whose orders are answered by simple endpoints of one service. Time starts at
/// leadership.
class World
{
public:
    explicit World(std::uint32_t synchronous, std::vector<PromotionRecord> promotions = {},
                   std::vector<ResumeRecord> resumes = {})
    {
        handle(promotion::EntryHostsChanged{{"e1", "e2"}});
        handle(promotion::DocumentChanged{{{"s", synchronous}}});
        for (const auto &record : promotions) {
            lastToken = record.token;
        }
        handle(promotion::LeadershipGained{std::move(promotions), std::move(resumes)});
    }

    void handle(const PromotionEvent &event)
    {
        for (const auto &action : controller.handle(event, now)) {
            if (const auto *const order = std::get_if<promotion::SendOperation>(&action)) {
                waiting.push_back(*order);
            } else if (const auto *const proposed = std::get_if<promotion::Propose>(&action)) {
                proposals.push_back(*proposed);
            } else if (const auto *const call =
                           std::get_if<promotion::SendPromotionCall>(&action)) {
                calls.push_back(*call);
            }
        }
    }

    /// Answers all orders to endpoints, and commits all proposals if `commits`.
    void settleOrders()
    {
        while (!waiting.empty() || (commits && !proposals.empty())) {
            for (const auto &order : std::exchange(waiting, {})) {
                answer(order);
            }
            if (!commits) {
                continue;
            }
            for (const auto &proposed : std::exchange(proposals, {})) {
                if (std::holds_alternative<OrderPromotion>(proposed.command.body)) {
                    handle(
                        promotion::OrderProposalCompleted{"s", proposed.proposalId, ++lastToken});
                } else if (const auto *const settled =
                               std::get_if<SettlePromotion>(&proposed.command.body)) {
                    settlements.push_back(*settled);
                    handle(promotion::SettlementProposalCompleted{"s", settled->token, true});
                } else {
                    records.push_back(proposed.command);
                    handle(promotion::ResumeProposalCompleted{"s", proposed.proposalId, true});
                }
            }
        }
    }

    void answer(const promotion::SendOperation &order)
    {
        sent.push_back(order);
        auto &endpoint = endpoints[order.endpoint];
        if (!endpoint.answers) {
            handle(promotion::OperationCompleted{
                order.operationId, order.endpoint, {}, false, endpoint.late});
            return;
        }
        if (order.operation == EndpointOperation::Pause && order.term > endpoint.term
            && endpoint.role == EndpointRole::Replica) {
            endpoint.pausedBy = order.term;
        } else if (order.operation == EndpointOperation::Resume) {
            endpoint.pausedBy = 0;
        } else if (order.operation == EndpointOperation::StepDown && order.term > endpoint.term) {
            endpoint.role = EndpointRole::Replica;
        }
        EndpointStatusRow row;
        row.role = endpoint.role;
        row.term = endpoint.term;
        row.received = endpoint.received;
        row.termHeld = endpoint.pausedBy;
        handle(promotion::OperationCompleted{order.operationId, order.endpoint, row, true, true});
    }

    void beat(const std::string &id, EndpointPhase phase = EndpointPhase::Ready,
              std::uint64_t born = 10)
    {
        EndpointRecord record;
        record.service = "s";
        record.id = id;
        record.address = "10.0.0.1:" + id;
        record.bornMs = born;
        record.sequence = ++sequence;
        record.role = endpoints[id].role;
        record.phase = phase;
        (void)registry.handleHeartbeat(record, now);
        handle(promotion::RegistryChanged{"s"});
        settleOrders();
    }

    /// Lets time pass. Endpoints that answer send heartbeats.
    void pass(Duration time)
    {
        const auto end = now + time;
        while (now < end) {
            now = std::min(end, now + 50ms);
            for (auto record : registry.snapshot()) {
                if (endpoints[record.id].answers) {
                    record.sequence = ++sequence;
                    (void)registry.handleHeartbeat(record, now);
                }
            }
            if (unreachable) {
                handle(promotion::EvidenceReceived{{"e1", "s", "p", Reachability::Silent}});
                handle(promotion::EvidenceReceived{{"e2", "s", "p", Reachability::Silent}});
            }
            if (const auto due = controller.nextDeadline(); due && *due <= now) {
                handle(promotion::Tick{});
            }
            settleOrders();
        }
    }

    /// Service with primary p and these replicas, after all periods of grace.
    void settleDown(const std::map<std::string, LogPosition> &replicas)
    {
        endpoints["p"] = {EndpointRole::Primary, {3, 20}};
        beat("p");
        for (const auto &[id, received] : replicas) {
            endpoints[id].received = received;
            beat(id);
        }
        pass(3s);
        clear();
    }

    void clear()
    {
        sent.clear();
        calls.clear();
    }

    /// The primary stops.
    void crashPrimary()
    {
        endpoints["p"].answers = false;
        unreachable = true;
        pass(50ms);
    }

    void call(PromotionOutcome outcome)
    {
        handle(promotion::CallCompleted{"s", calls.back().endpoint, calls.back().token, outcome});
        settleOrders();
    }

    [[nodiscard]] std::size_t count(EndpointOperation order, const std::string &id) const
    {
        return static_cast<std::size_t>(
            std::count_if(sent.begin(), sent.end(), [&](const auto &each) {
                return each.operation == order && each.endpoint == id;
            }));
    }

    EndpointRegistry registry{200ms};
    PromotionController controller{registry, 2s};
    Instant now{1h};
    std::map<std::string, Endpoint> endpoints;
    std::uint64_t sequence = 0;
    std::uint64_t lastToken = 0;
    bool commits = true;
    bool unreachable = false;
    std::vector<promotion::SendOperation> waiting;
    std::vector<promotion::SendOperation> sent;
    std::vector<promotion::Propose> proposals;
    std::vector<SettlePromotion> settlements;
    std::vector<ControlCommand> records; ///< Intended and finished resumes.
    std::vector<promotion::SendPromotionCall> calls;
};

} // namespace

// Guards against a target that lacks a commit which only another replica has received.
Test(synchronous_promotion, promotesTheHighestPausedReplicaAboveTheNewestTerm)
{
    World world{1};
    world.settleDown({{"q", {3, 8}}, {"r", {3, 9}}});
    world.endpoints["q"].term = 5;
    world.endpoints["r"].term = 5;
    world.crashPrimary();
    cr_assert_eq(world.calls.size(), 1U);
    cr_assert_eq(world.calls[0].endpoint, "r");
    cr_assert_eq(world.endpoints["q"].pausedBy, 6U, "the first pause shows the newer term");
    cr_assert_eq(world.endpoints["r"].pausedBy, 6U);
}

// Guards against a pause that comes after the order, when the target is fixed already.
Test(synchronous_promotion, pausesBeforeTheOrderIsProposed)
{
    World world{1};
    world.settleDown({{"q", {3, 8}}});
    world.commits = false;
    world.crashPrimary();
    cr_assert_eq(world.count(EndpointOperation::Pause, "q"), 1U);
    cr_assert_eq(world.proposals.size(), 1U);
    cr_assert(world.calls.empty());
}

// Guards against a promotion while the primary may go on with replicas that are not paused, and
// against replicas that stay paused although nothing is promoted.
Test(synchronous_promotion, waitsForEnoughPausedReplicas)
{
    World world{1};
    world.settleDown({{"q", {3, 8}}, {"r", {3, 9}}});
    world.endpoints["r"].answers = false;
    world.crashPrimary();
    world.pass(350ms);
    cr_assert(world.proposals.empty() && world.calls.empty(), "r may have more");
    cr_assert_geq(world.count(EndpointOperation::Resume, "q"), 1U);
    cr_assert_geq(world.count(EndpointOperation::Resume, "r"), 1U, "the answer may have been lost");
    world.endpoints["r"].answers = true;
    world.pass(400ms);
    cr_assert_eq(world.calls.size(), 1U);
    cr_assert_eq(world.calls[0].endpoint, "r");
}

// Guards against a promotion that waits for a silent replica without which no commit is answered.
Test(synchronous_promotion, needsFewerPausesWithMoreSynchronousReplicas)
{
    World world{2};
    world.settleDown({{"q", {3, 8}}, {"r", {3, 9}}, {"t", {3, 7}}});
    world.endpoints["r"].answers = false;
    world.crashPrimary();
    cr_assert_eq(world.calls.size(), 1U, "two of three are enough");
    cr_assert_eq(world.calls[0].endpoint, "q");
}

// Guards against a row of a replica that is not paused and goes on receiving.
Test(synchronous_promotion, countsOnlyRowsThatStateThePause)
{
    World world{1};
    world.settleDown({{"q", {3, 8}}});
    world.endpoints["p"].answers = false;
    world.handle(promotion::EvidenceReceived{{"e1", "s", "p", Reachability::Silent}});
    world.handle(promotion::EvidenceReceived{{"e2", "s", "p", Reachability::Silent}});
    for (const auto &order : std::exchange(world.waiting, {})) {
        EndpointStatusRow row;
        row.term = 3;
        world.handle(
            promotion::OperationCompleted{order.operationId, order.endpoint, row, true, true});
    }
    cr_assert(std::none_of(world.proposals.begin(), world.proposals.end(), [](const auto &each) {
        return std::holds_alternative<OrderPromotion>(each.command.body);
    }));
}

// Guards against a draining target, and against one that lacks what the draining replica has.
Test(synchronous_promotion, neverPromotesADrainingReplica)
{
    World world{1};
    world.settleDown({{"q", {3, 8}}, {"r", {3, 9}}});
    world.beat("r", EndpointPhase::Draining);
    world.crashPrimary();
    world.pass(500ms);
    cr_assert(world.calls.empty(), "only r has the best position");
    cr_assert_geq(world.count(EndpointOperation::Resume, "q"), 1U);
    world.endpoints["q"].received = {3, 9};
    world.pass(400ms);
    cr_assert_eq(world.calls.size(), 1U);
    cr_assert_eq(world.calls[0].endpoint, "q");
}

// Guards against a replica that restarts after its pause, and receives again, but still counts.
Test(synchronous_promotion, aRestartEndsThePause)
{
    World world{1};
    world.settleDown({{"q", {3, 8}}, {"r", {3, 9}}});
    world.commits = false;
    world.crashPrimary();
    cr_assert_eq(world.proposals.size(), 1U);
    world.endpoints["q"].pausedBy = 0;
    world.endpoints["q"].received = {3, 10};
    world.beat("q", EndpointPhase::Ready, 11);
    world.commits = true;
    world.settleOrders();
    cr_assert_eq(world.calls.size(), 1U);
    cr_assert_eq(world.calls[0].endpoint, "q", "chosen under a new pause");
}

// Guards against a resume that is carried out late and ends a newer pause unseen.
Test(synchronous_promotion, doesNotCountAReplicaWithAnOpenResume)
{
    World world{1};
    world.settleDown({{"q", {3, 8}}, {"r", {3, 9}}});
    world.endpoints["r"].answers = false;
    world.endpoints["r"].late = true;
    world.crashPrimary();
    world.pass(450ms);
    cr_assert_geq(world.count(EndpointOperation::Resume, "r"), 1U);
    world.endpoints["r"].answers = true;
    world.pass(5s);
    cr_assert(world.calls.empty(), "the resume may still come");
    world.pass(9s);
    cr_assert_geq(world.calls.size(), 1U, "calls without an answer are repeated");
    cr_assert_eq(world.calls[0].endpoint, "r");
}

// Guards against commits on the old primary while the platform is about to depose it, and against
// replicas that are never resumed.
Test(synchronous_promotion, resumesWhenTheTargetSaysThatItIsPrimary)
{
    World world{1};
    world.settleDown({{"q", {3, 8}}, {"r", {3, 9}}});
    world.crashPrimary();
    world.call(PromotionOutcome::Accepted);
    cr_assert_eq(world.count(EndpointOperation::Resume, "q"), 0U, "the change takes a while");
    world.unreachable = false;
    world.endpoints["r"].role = EndpointRole::Primary;
    world.beat("r");
    cr_assert_eq(world.count(EndpointOperation::Resume, "q"), 1U);
    world.pass(1s);
    cr_assert_eq(world.count(EndpointOperation::Resume, "q"), 1U, "it was answered");
}

// Guards against a replica that stays paused because an answer was lost, or because the pause was
// carried out late.
Test(synchronous_promotion, repeatsResumesUntilAnsweredAndWhenThePauseIsOver)
{
    World world{2};
    world.settleDown({{"q", {3, 8}}, {"r", {3, 9}}, {"t", {3, 7}}});
    world.endpoints["t"].answers = false;
    world.endpoints["t"].late = true;
    world.crashPrimary();
    const auto pausedAt = world.now;
    world.call(PromotionOutcome::Accepted);
    world.unreachable = false;
    world.endpoints["r"].role = EndpointRole::Primary;
    world.beat("r");
    cr_assert_eq(world.count(EndpointOperation::Resume, "t"), 1U);
    world.pass(600ms);
    cr_assert_eq(world.count(EndpointOperation::Resume, "t"), 3U);
    world.endpoints["t"].answers = true;
    world.pass(300ms);
    cr_assert_eq(world.count(EndpointOperation::Resume, "t"), 4U);
    world.pass(pausedAt + 13500ms - world.now);
    cr_assert_eq(world.count(EndpointOperation::Resume, "t"), 4U);
    world.pass(200ms);
    cr_assert_eq(world.count(EndpointOperation::Resume, "t"), 5U);
}

// Guards against a late execution of a call after its pause has ended.
Test(synchronous_promotion, staysPausedWhileAnUnansweredCallMayRun)
{
    World world{1};
    world.settleDown({{"q", {3, 8}}, {"r", {3, 9}}});
    world.crashPrimary();
    cr_assert_eq(world.calls.size(), 1U);
    world.beat("r", EndpointPhase::Draining);
    world.unreachable = false;
    world.endpoints["p"].answers = true;
    world.pass(5s);
    cr_assert_eq(world.count(EndpointOperation::Resume, "q"), 0U);
    world.pass(8s);
    cr_assert_geq(world.count(EndpointOperation::Resume, "q"), 1U);
    cr_assert(world.settlements.size() == 1U && !world.settlements[0].promoted,
              "a new leader must not repeat it");
}

// Guards against a second target that is chosen while the promotion of the first one, which has
// begun to drain, is under way and ends the pauses.
Test(synchronous_promotion, choosesNoOtherTargetWhileAPromotionIsUnderWay)
{
    World world{1};
    world.settleDown({{"q", {3, 9}}, {"r", {3, 8}}});
    world.crashPrimary();
    world.call(PromotionOutcome::Accepted);
    const auto pauses = world.count(EndpointOperation::Pause, "r");
    world.beat("q", EndpointPhase::Draining);
    world.pass(500ms);
    cr_assert_eq(world.count(EndpointOperation::Pause, "r"), pauses);
    world.endpoints["q"].role = EndpointRole::Primary;
    world.beat("q", EndpointPhase::Draining);
    world.pass(100ms);
    cr_assert_gt(world.count(EndpointOperation::Pause, "r"), pauses);
}

// Guards against another target after a refusal that is chosen without a pause.
Test(synchronous_promotion, startsAnewWithAPauseAfterARefusal)
{
    World world{1};
    world.settleDown({{"q", {3, 9}}, {"r", {3, 9}}});
    world.crashPrimary();
    const auto first = world.calls.at(0).endpoint;
    const auto pauses = world.count(EndpointOperation::Pause, "q");
    world.call(PromotionOutcome::Refused);
    cr_assert_gt(world.count(EndpointOperation::Pause, "q"), pauses);
    cr_assert_eq(world.calls.size(), 2U);
    cr_assert_neq(world.calls[1].endpoint, first);
}

// Guards against a draining primary that is kept because a replica is silent.
Test(synchronous_promotion, stepsAReachablePrimaryDown)
{
    World world{1};
    world.settleDown({{"q", {3, 19}}, {"r", {3, 9}}});
    world.endpoints["r"].answers = false;
    world.beat("p", EndpointPhase::Draining);
    world.pass(400ms);
    cr_assert_eq(world.count(EndpointOperation::StepDown, "p"), 1U);
    cr_assert(world.calls.empty(), "q has not reached the final position");
    world.endpoints["q"].received = {3, 20};
    world.pass(1s);
    cr_assert_geq(world.calls.size(), 1U, "calls without an answer are repeated");
    cr_assert_eq(world.calls[0].endpoint, "q");
}

// Guards against commits that are answered because a paused replica restarts while the call is
// under way, although the primary could have been stopped.
Test(synchronous_promotion, stopsTheReachablePrimaryBeforeTheOrder)
{
    World world{1};
    world.settleDown({{"q", {3, 19}}, {"r", {3, 20}}});
    world.commits = false;
    world.beat("p", EndpointPhase::Draining);
    cr_assert_eq(world.count(EndpointOperation::StepDown, "p"), 1U);
    cr_assert(world.endpoints["p"].role == EndpointRole::Replica);
    cr_assert_eq(world.proposals.size(), 1U);
    world.commits = true;
    world.settleOrders();
    cr_assert_eq(world.calls.at(0).endpoint, "r");
}

// Guards against an order that relies on the fewest paused replicas although the others are about
// to answer, and against one that waits for silent replicas.
Test(synchronous_promotion, waitsShortlyForMorePauses)
{
    World world{2};
    world.settleDown({{"q", {3, 8}}, {"r", {3, 9}}, {"t", {3, 7}}});
    world.endpoints["p"].answers = false;
    world.handle(promotion::EvidenceReceived{{"e1", "s", "p", Reachability::Silent}});
    world.handle(promotion::EvidenceReceived{{"e2", "s", "p", Reachability::Silent}});
    for (const auto &order : std::exchange(world.waiting, {})) {
        if (order.endpoint != "t" && order.endpoint != "p") {
            world.answer(order);
        }
    }
    cr_assert(world.proposals.empty());
    world.now += 150ms;
    world.handle(promotion::Tick{});
    cr_assert_eq(world.proposals.size(), 1U);
}

// Guards against the position of a primary that is not the newest one, or that restarts and leads
// on after it has stepped down.
Test(synchronous_promotion, aRestartVoidsTheFinalPosition)
{
    World world{1};
    world.settleDown({{"q", {3, 19}}, {"r", {3, 9}}});
    world.endpoints["r"].answers = false;
    world.beat("p", EndpointPhase::Draining);
    world.pass(400ms);
    world.endpoints["p"].role = EndpointRole::Primary;
    world.endpoints["p"].received = {3, 30};
    world.endpoints["p"].answers = false;
    world.beat("p", EndpointPhase::Ready, 11);
    world.unreachable = true;
    world.endpoints["q"].received = {3, 20};
    world.pass(3s);
    cr_assert(world.calls.empty());
}

// Guards against an order of an earlier leader that is repeated without a new pause, or for another
// target, and against another target after a refusal that is chosen without a pause.
Test(synchronous_promotion, aNewLeaderRepeatsTheOrderUnderItsOwnPause)
{
    World world{1, {{"s", "q", 4, false, false, "p", 4}}};
    world.endpoints["p"] = {EndpointRole::Primary, {3, 20}, 3, 0, false, false};
    world.endpoints["q"].received = {3, 9};
    world.endpoints["r"].received = {3, 8};
    world.beat("p");
    world.beat("r");
    world.beat("q");
    world.pass(2s);
    cr_assert_eq(world.calls.at(0).endpoint, "q");
    cr_assert_eq(world.calls.at(0).token, 5U);
    cr_assert_geq(world.count(EndpointOperation::Pause, "q"), 1U);
    cr_assert_geq(world.count(EndpointOperation::Pause, "r"), 1U);
    cr_assert_eq(world.count(EndpointOperation::Resume, "r"), 0U, "it is promoting");
    world.unreachable = true;
    world.call(PromotionOutcome::Refused);
    const auto earlier = world.calls.size();
    const auto pauses = world.count(EndpointOperation::Pause, "r");
    world.endpoints["r"].received = {3, 10};
    world.pass(1s);
    cr_assert_gt(world.count(EndpointOperation::Pause, "r"), pauses);
    cr_assert_gt(world.calls.size(), earlier);
    cr_assert_eq(world.calls[earlier].endpoint, "r");
}

// Guards against an order of an earlier leader that is repeated although a replica has restarted
// and received more since, and against another target while the earlier call may be executed.
Test(synchronous_promotion, aNewLeaderKeepsTheTargetUntilItsCallHasExpired)
{
    World world{1, {{"s", "q", 4, false, false, "p", 4}}};
    world.endpoints["p"] = {EndpointRole::Primary, {3, 20}, 3, 0, false, false};
    world.endpoints["q"].received = {3, 8};
    world.endpoints["r"].received = {3, 9};
    world.unreachable = true;
    world.beat("p");
    world.beat("r");
    world.beat("q");
    world.pass(12s);
    cr_assert(world.calls.empty());
    cr_assert_eq(world.count(EndpointOperation::Resume, "r"), 0U);
    world.pass(2s);
    cr_assert_geq(world.calls.size(), 1U);
    cr_assert_eq(world.calls[0].endpoint, "r");
    cr_assert(!world.settlements.empty() && !world.settlements[0].promoted);
}

// Guards against replicas that a new leader pauses although the call was executed already.
Test(synchronous_promotion, aNewLeaderPausesNobodyAfterTheExecution)
{
    World world{1, {{"s", "q", 4, false, false, "p", 4}}};
    world.endpoints["q"] = {EndpointRole::Primary, {4, 10}, 4};
    world.endpoints["r"].term = 4;
    world.beat("q");
    world.beat("r");
    world.pass(500ms);
    cr_assert_eq(world.calls.at(0).endpoint, "q");
    cr_assert_eq(world.count(EndpointOperation::Pause, "r"), 0U);
}

// Guards against a promotion that an earlier leader has settled just before it stopped, and that is
// executed while the new one relies on its pauses.
Test(synchronous_promotion, aNewLeaderAwaitsASettledPromotion)
{
    World world{1, {{"s", "q", 4, true, true, "p", 4}}};
    world.endpoints["p"].role = EndpointRole::Primary;
    world.unreachable = true;
    world.beat("p");
    world.beat("r");
    world.beat("q");
    world.handle(promotion::EvidenceReceived{{"e1", "s", "q", Reachability::Silent}});
    world.handle(promotion::EvidenceReceived{{"e2", "s", "q", Reachability::Silent}});
    world.pass(1900ms);
    cr_assert_eq(world.count(EndpointOperation::Pause, "r"), 0U);
    cr_assert(world.calls.empty());
}

// Guards against a pause on which a new leader relies while a resume of an earlier one may still
// end it.
Test(synchronous_promotion, aNewLeaderAwaitsUnfinishedResumes)
{
    World world{1, {}, {{"s", {"r"}}}};
    world.settleDown({{"q", {3, 8}}, {"r", {3, 9}}});
    world.crashPrimary();
    world.pass(9500ms);
    cr_assert(world.calls.empty());
    cr_assert(world.records.empty() || !std::holds_alternative<FinishResume>(world.records[0].body),
              "the resume is not finished");
    world.pass(1s);
    cr_assert_geq(world.calls.size(), 1U);
    cr_assert_eq(world.calls[0].endpoint, "r");
}

// Guards against a resume that a later leader does not know of, and against one that it takes for
// unfinished for ever.
Test(synchronous_promotion, recordsResumesBeforeTheyAreSent)
{
    World world{1};
    world.settleDown({{"q", {3, 8}}, {"r", {3, 9}}});
    world.endpoints["r"].answers = false;
    world.endpoints["r"].late = true;
    world.commits = false;
    world.crashPrimary();
    world.pass(450ms);
    cr_assert_eq(world.count(EndpointOperation::Resume, "q"), 0U, "the intention is not committed");
    world.commits = true;
    world.endpoints["p"].answers = true;
    world.unreachable = false;
    world.settleOrders();
    world.pass(50ms);
    cr_assert_geq(world.count(EndpointOperation::Resume, "q"), 1U);
    cr_assert(world.records.at(0) == (ControlCommand{IntendResume{"s", {"q", "r"}}}));
    world.pass(300ms);
    cr_assert(world.records.at(1) == (ControlCommand{FinishResume{"s", {"q"}}}));
    world.endpoints["r"].answers = true;
    world.endpoints["r"].late = false;
    world.pass(12s);
    const auto unfinished =
        std::none_of(world.records.begin(), world.records.end(), [](const ControlCommand &command) {
            const auto *const finished = std::get_if<FinishResume>(&command.body);
            return finished != nullptr && finished->endpoints.front() == "r";
        });
    cr_assert(unfinished, "an unanswered resume may still be carried out");
    world.pass(3s);
    cr_assert(world.records.back() == (ControlCommand{FinishResume{"s", {"r"}}}));
}

// Guards against replicas that stay paused because the leader that paused them has stopped, or
// because its pause is carried out late, and against resumes that nobody needs.
Test(synchronous_promotion, aNewLeaderResumesPausedReplicasOnce)
{
    World world{1};
    world.endpoints["p"].role = EndpointRole::Primary;
    world.endpoints["q"].pausedBy = 5;
    world.endpoints["r"].pausedBy = 5;
    world.beat("p");
    world.beat("q");
    world.beat("r");
    world.beat("t");
    world.pass(1950ms);
    cr_assert_eq(world.count(EndpointOperation::Resume, "q"), 0U);
    world.pass(2s);
    cr_assert_eq(world.count(EndpointOperation::Resume, "q"), 1U);
    cr_assert_eq(world.count(EndpointOperation::Resume, "r"), 1U);
    world.endpoints["t"].pausedBy = 5;
    world.pass(10s);
    cr_assert_eq(world.count(EndpointOperation::Resume, "t"), 1U);
    world.pass(10s);
    cr_assert_eq(world.count(EndpointOperation::Resume, "q"), 1U);
    cr_assert_eq(world.count(EndpointOperation::Resume, "t"), 1U);
    cr_assert_eq(world.count(EndpointOperation::Resume, "p"), 0U);
}

// Guards against a delay of promotions of asynchronous replication.
Test(synchronous_promotion, sendsNoPauseWithoutSynchronousReplicas)
{
    World world{0};
    world.settleDown({{"q", {3, 8}}, {"r", {3, 9}}});
    world.crashPrimary();
    cr_assert_eq(world.calls.at(0).endpoint, "r");
    world.pass(1s);
    cr_assert(std::all_of(world.sent.begin(), world.sent.end(), [](const auto &order) {
        return order.operation == EndpointOperation::Status;
    }));
}
