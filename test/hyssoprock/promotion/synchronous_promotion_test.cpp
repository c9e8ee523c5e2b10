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

/// State of a simulated endpoint.
struct Endpoint
{
    EndpointRole role = EndpointRole::Replica;
    LogPosition received;
    std::uint64_t term = 3;
    std::uint64_t pauseTerm = 0;
    bool answers = true;
    bool mayTakeEffectLate = false; ///< Unanswered operations may take effect later.
};

/// Controller whose operations are answered by simulated endpoints of one service. Leadership
/// starts at the initial time.
class World
{
public:
    explicit World(std::uint32_t synchronous, std::vector<PromotionRecord> promotions = {},
                   std::vector<ResumeRecord> resumes = {},
                   std::map<std::string, ServiceMembers> members = {})
    {
        handle(promotion::EntryHostsChanged{{"e1", "e2"}});
        handle(promotion::DocumentChanged{{{"s", synchronous}}});
        for (const auto &record : promotions) {
            lastToken = record.token;
        }
        handle(promotion::LeadershipGained{
            std::move(promotions), std::move(resumes), {}, std::move(members)});
    }

    void handle(const PromotionEvent &event)
    {
        for (const auto &action : controller.handle(event, now)) {
            if (const auto *const operation = std::get_if<promotion::SendOperation>(&action)) {
                pendingOperations.push_back(*operation);
            } else if (const auto *const proposed = std::get_if<promotion::Propose>(&action)) {
                proposals.push_back(*proposed);
            } else if (const auto *const call =
                           std::get_if<promotion::SendPromotionCall>(&action)) {
                calls.push_back(*call);
            } else if (const auto *const announcement =
                           std::get_if<promotion::AnnouncePrimary>(&action)) {
                announced = announcement->primary;
            }
        }
    }

    /// A lease request of an entry host that has released the withdrawn primary, or that still uses
    /// it.
    void renew(const std::string &host, bool released)
    {
        HostLeaseRequest request;
        request.incarnation = 1;
        request.sequence = ++sequence;
        if (released) {
            request.released.push_back({"s", announced.epoch});
        }
        (void)grantor.renew(host, request, now);
        handle(promotion::PrimaryReleased{"s"});
        answerOperations();
    }

    /// Answers all operations, and commits all proposals if `commitsProposals` is set.
    void answerOperations()
    {
        while (!pendingOperations.empty() || (commitsProposals && !proposals.empty())) {
            for (const auto &operation : std::exchange(pendingOperations, {})) {
                answerOperation(operation);
            }
            if (!commitsProposals) {
                continue;
            }
            for (const auto &proposed : std::exchange(proposals, {})) {
                if (const auto *const recorded =
                        std::get_if<RecordMembers>(&proposed.command.body)) {
                    recordedMembers.push_back(*recorded);
                    handle(promotion::MembersProposalCompleted{"s", proposed.proposalId, true});
                } else if (std::holds_alternative<ForgetMembers>(proposed.command.body)) {
                    ++forgotten;
                    handle(promotion::MembersProposalCompleted{"s", proposed.proposalId, true});
                } else if (orderOf(proposed.command) != nullptr) {
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

    void answerOperation(const promotion::SendOperation &operation)
    {
        sent.push_back(operation);
        auto &endpoint = endpoints[operation.endpoint];
        if (!endpoint.answers) {
            handle(promotion::OperationCompleted{
                operation.operationId, operation.endpoint, {}, false, endpoint.mayTakeEffectLate});
            return;
        }
        if (operation.operation == EndpointOperation::Pause && operation.term > endpoint.term
            && endpoint.role == EndpointRole::Replica) {
            endpoint.pauseTerm = operation.term;
        } else if (operation.operation == EndpointOperation::Resume) {
            endpoint.pauseTerm = 0;
        } else if (operation.operation == EndpointOperation::StepDown
                   && operation.term > endpoint.term) {
            endpoint.role = EndpointRole::Replica;
        }
        EndpointStatusRow row;
        row.role = endpoint.role;
        row.term = endpoint.term;
        row.received = endpoint.received;
        row.termHeld = endpoint.pauseTerm;
        handle(promotion::OperationCompleted{operation.operationId, operation.endpoint, row, true,
                                             true});
    }

    void sendHeartbeat(const std::string &id, EndpointPhase phase = EndpointPhase::Ready,
                       std::uint64_t bornMs = 10)
    {
        EndpointRecord record;
        record.service = "s";
        record.id = id;
        record.address = "10.0.0.1:" + id;
        record.bornMs = bornMs;
        record.sequence = ++sequence;
        record.role = endpoints[id].role;
        record.phase = phase;
        (void)registry.handleHeartbeat(record, now);
        handle(promotion::RegistryChanged{"s"});
        answerOperations();
    }

    /// Advances the time. Endpoints that answer send heartbeats.
    void advance(Duration time)
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
            if (primaryUnreachable) {
                handle(promotion::EvidenceReceived{{"e1", "s", "p", Reachability::Silent}});
                handle(promotion::EvidenceReceived{{"e2", "s", "p", Reachability::Silent}});
            }
            if (const auto deadline = controller.nextDeadline(); deadline && *deadline <= now) {
                handle(promotion::Tick{});
            }
            answerOperations();
        }
    }

    /// Starts a service with primary p and the given replicas, and waits until all grace periods
    /// have ended.
    void startService(const std::map<std::string, LogPosition> &replicas)
    {
        endpoints["p"] = {EndpointRole::Primary, {3, 20}};
        sendHeartbeat("p");
        for (const auto &[id, received] : replicas) {
            endpoints[id].received = received;
            sendHeartbeat(id);
        }
        advance(3s);
        clear();
    }

    void clear()
    {
        sent.clear();
        calls.clear();
    }

    /// Stops the primary and reports it as unreachable.
    void crashPrimary()
    {
        endpoints["p"].answers = false;
        primaryUnreachable = true;
        advance(50ms);
    }

    void completeCall(PromotionOutcome outcome)
    {
        handle(promotion::CallCompleted{"s", calls.back().endpoint, calls.back().token, outcome});
        answerOperations();
    }

    [[nodiscard]] std::size_t count(EndpointOperation operation, const std::string &id) const
    {
        return static_cast<std::size_t>(
            std::count_if(sent.begin(), sent.end(), [&](const auto &each) {
                return each.operation == operation && each.endpoint == id;
            }));
    }

    EndpointRegistry registry{200ms};
    HostLeaseGrantor grantor{4s};
    PromotionController controller{registry, grantor, {2s, true}};
    Instant now{1h};
    std::map<std::string, Endpoint> endpoints;
    std::uint64_t sequence = 0;
    std::uint64_t lastToken = 0;
    bool commitsProposals = true;
    bool primaryUnreachable = false;
    std::vector<promotion::SendOperation> pendingOperations;
    std::vector<promotion::SendOperation> sent;
    std::vector<promotion::Propose> proposals;
    std::vector<SettlePromotion> settlements;
    std::vector<ControlCommand> records; ///< Committed intents and ends of resumes.
    std::vector<promotion::SendPromotionCall> calls;
    PrimaryRecord announced;
    std::vector<RecordMembers> recordedMembers;
    int forgotten = 0;
};

} // namespace

// Guards against a target that lacks a commit which only another replica has received.
Test(synchronous_promotion, promotesTheHighestPausedReplicaAboveTheNewestTerm)
{
    World world{1};
    world.startService({{"q", {3, 8}}, {"r", {3, 9}}});
    world.endpoints["q"].term = 5;
    world.endpoints["r"].term = 5;
    world.crashPrimary();
    cr_assert_eq(world.calls.size(), 1U);
    cr_assert_eq(world.calls[0].endpoint, "r");
    cr_assert_eq(world.endpoints["q"].pauseTerm, 6U, "the first pause shows the newer term");
    cr_assert_eq(world.endpoints["r"].pauseTerm, 6U);
}

// Guards against pausing only after the order was proposed, when the target can no longer change.
Test(synchronous_promotion, pausesBeforeTheOrderIsProposed)
{
    World world{1};
    world.startService({{"q", {3, 8}}});
    world.commitsProposals = false;
    world.crashPrimary();
    cr_assert_eq(world.count(EndpointOperation::Pause, "q"), 1U);
    cr_assert_eq(world.proposals.size(), 1U);
    cr_assert(world.calls.empty());
}

// Guards against a promotion while the primary can continue with replicas that are not paused, and
// against replicas that stay paused although nothing is promoted.
Test(synchronous_promotion, waitsForEnoughPausedReplicas)
{
    World world{1};
    world.startService({{"q", {3, 8}}, {"r", {3, 9}}});
    world.endpoints["r"].answers = false;
    world.crashPrimary();
    world.advance(350ms);
    cr_assert(world.proposals.empty() && world.calls.empty(), "r may hold newer entries");
    cr_assert_geq(world.count(EndpointOperation::Resume, "q"), 1U);
    cr_assert_geq(world.count(EndpointOperation::Resume, "r"), 1U, "the answer may have been lost");
    world.endpoints["r"].answers = true;
    world.advance(400ms);
    cr_assert_eq(world.calls.size(), 1U);
    cr_assert_eq(world.calls[0].endpoint, "r");
}

// Guards against waiting for a silent replica although no commit can be acknowledged without one of
// the others.
Test(synchronous_promotion, needsFewerPausesWithMoreSynchronousReplicas)
{
    World world{2};
    world.startService({{"q", {3, 8}}, {"r", {3, 9}}, {"t", {3, 7}}});
    world.endpoints["r"].answers = false;
    world.crashPrimary();
    cr_assert_eq(world.calls.size(), 1U, "two of three pauses are enough");
    cr_assert_eq(world.calls[0].endpoint, "q");
}

// Guards against counting the row of a replica that is not paused and continues to receive.
Test(synchronous_promotion, countsOnlyRowsThatReportThePause)
{
    World world{1};
    world.startService({{"q", {3, 8}}});
    world.endpoints["p"].answers = false;
    world.handle(promotion::EvidenceReceived{{"e1", "s", "p", Reachability::Silent}});
    world.handle(promotion::EvidenceReceived{{"e2", "s", "p", Reachability::Silent}});
    for (const auto &operation : std::exchange(world.pendingOperations, {})) {
        EndpointStatusRow row;
        row.term = 3;
        world.handle(promotion::OperationCompleted{operation.operationId, operation.endpoint, row,
                                                   true, true});
    }
    cr_assert(std::none_of(world.proposals.begin(), world.proposals.end(),
                           [](const auto &each) { return orderOf(each.command) != nullptr; }));
}

// Guards against promoting a draining replica, and against a target that lacks entries which the
// draining replica holds.
Test(synchronous_promotion, neverPromotesADrainingReplica)
{
    World world{1};
    world.startService({{"q", {3, 8}}, {"r", {3, 9}}});
    world.sendHeartbeat("r", EndpointPhase::Draining);
    world.crashPrimary();
    world.advance(500ms);
    cr_assert(world.calls.empty(), "only r has the highest position");
    cr_assert_geq(world.count(EndpointOperation::Resume, "q"), 1U);
    world.endpoints["q"].received = {3, 9};
    world.advance(400ms);
    cr_assert_eq(world.calls.size(), 1U);
    cr_assert_eq(world.calls[0].endpoint, "q");
}

// Guards against counting a replica that has restarted after its pause and receives again.
Test(synchronous_promotion, aRestartEndsThePause)
{
    World world{1};
    world.startService({{"q", {3, 8}}, {"r", {3, 9}}});
    world.commitsProposals = false;
    world.crashPrimary();
    cr_assert_eq(world.proposals.size(), 1U);
    world.endpoints["q"].pauseTerm = 0;
    world.endpoints["q"].received = {3, 10};
    world.sendHeartbeat("q", EndpointPhase::Ready, 11);
    world.commitsProposals = true;
    world.answerOperations();
    cr_assert_eq(world.calls.size(), 1U);
    cr_assert_eq(world.calls[0].endpoint, "q", "selected under a new pause");
}

// Guards against a late resume that silently ends a newer pause.
Test(synchronous_promotion, doesNotCountAReplicaWithAnUnansweredResume)
{
    World world{1};
    world.startService({{"q", {3, 8}}, {"r", {3, 9}}});
    world.endpoints["r"].answers = false;
    world.endpoints["r"].mayTakeEffectLate = true;
    world.crashPrimary();
    world.advance(450ms);
    cr_assert_geq(world.count(EndpointOperation::Resume, "r"), 1U);
    world.endpoints["r"].answers = true;
    world.advance(5s);
    cr_assert(world.calls.empty(), "the resume may still take effect");
    world.advance(9s);
    cr_assert_geq(world.calls.size(), 1U, "calls without an answer are repeated");
    cr_assert_eq(world.calls[0].endpoint, "r");
}

// Guards against commits on the old primary while the platform is about to depose it, and against
// replicas that are never resumed.
Test(synchronous_promotion, resumesWhenTheTargetReportsThatItIsPrimary)
{
    World world{1};
    world.startService({{"q", {3, 8}}, {"r", {3, 9}}});
    world.crashPrimary();
    world.completeCall(PromotionOutcome::Accepted);
    cr_assert_eq(world.count(EndpointOperation::Resume, "q"), 0U,
                 "r has not reported its new role yet");
    world.primaryUnreachable = false;
    world.endpoints["r"].role = EndpointRole::Primary;
    world.sendHeartbeat("r");
    cr_assert_eq(world.count(EndpointOperation::Resume, "q"), 1U);
    world.advance(1s);
    cr_assert_eq(world.count(EndpointOperation::Resume, "q"), 1U, "the first resume was answered");
}

// Guards against a replica that stays paused because an answer was lost or because the pause took
// effect late.
Test(synchronous_promotion, repeatsResumesUntilAnsweredAndAfterALatePause)
{
    World world{2};
    world.startService({{"q", {3, 8}}, {"r", {3, 9}}, {"t", {3, 7}}});
    world.endpoints["t"].answers = false;
    world.endpoints["t"].mayTakeEffectLate = true;
    world.crashPrimary();
    const auto pausedAt = world.now;
    world.completeCall(PromotionOutcome::Accepted);
    world.primaryUnreachable = false;
    world.endpoints["r"].role = EndpointRole::Primary;
    world.sendHeartbeat("r");
    cr_assert_eq(world.count(EndpointOperation::Resume, "t"), 1U);
    world.advance(600ms);
    cr_assert_eq(world.count(EndpointOperation::Resume, "t"), 3U);
    world.endpoints["t"].answers = true;
    world.advance(300ms);
    cr_assert_eq(world.count(EndpointOperation::Resume, "t"), 4U);
    world.advance(pausedAt + 13500ms - world.now);
    cr_assert_eq(world.count(EndpointOperation::Resume, "t"), 4U);
    world.advance(200ms);
    cr_assert_eq(world.count(EndpointOperation::Resume, "t"), 5U);
}

// Guards against the late execution of a call after its pauses have ended.
Test(synchronous_promotion, staysPausedWhileAnUnansweredCallMayTakeEffect)
{
    World world{1};
    world.startService({{"q", {3, 8}}, {"r", {3, 9}}});
    world.crashPrimary();
    cr_assert_eq(world.calls.size(), 1U);
    world.sendHeartbeat("r", EndpointPhase::Draining);
    world.primaryUnreachable = false;
    world.endpoints["p"].answers = true;
    world.advance(5s);
    cr_assert_eq(world.count(EndpointOperation::Resume, "q"), 0U);
    world.advance(8s);
    cr_assert_geq(world.count(EndpointOperation::Resume, "q"), 1U);
    cr_assert(world.settlements.size() == 1U && !world.settlements[0].promoted,
              "a new leader must not repeat the order");
}

// Guards against selecting a second target while the promotion of the first, which has started to
// drain, is in progress and is about to end the pauses.
Test(synchronous_promotion, selectsNoOtherTargetWhileAPromotionIsInProgress)
{
    World world{1};
    world.startService({{"q", {3, 9}}, {"r", {3, 8}}});
    world.crashPrimary();
    world.completeCall(PromotionOutcome::Accepted);
    const auto pauses = world.count(EndpointOperation::Pause, "r");
    world.sendHeartbeat("q", EndpointPhase::Draining);
    world.advance(500ms);
    cr_assert_eq(world.count(EndpointOperation::Pause, "r"), pauses);
    world.endpoints["q"].role = EndpointRole::Primary;
    world.sendHeartbeat("q", EndpointPhase::Draining);
    world.advance(100ms);
    cr_assert_gt(world.count(EndpointOperation::Pause, "r"), pauses);
}

// Guards against selecting another target after a refusal without a new pause.
Test(synchronous_promotion, pausesAgainAfterARefusal)
{
    World world{1};
    world.startService({{"q", {3, 9}}, {"r", {3, 9}}});
    world.crashPrimary();
    const auto first = world.calls.at(0).endpoint;
    const auto pauses = world.count(EndpointOperation::Pause, "q");
    world.completeCall(PromotionOutcome::Refused);
    cr_assert_gt(world.count(EndpointOperation::Pause, "q"), pauses);
    cr_assert_eq(world.calls.size(), 2U);
    cr_assert_neq(world.calls[1].endpoint, first);
}

// Guards against keeping a draining primary because a replica is silent.
Test(synchronous_promotion, tellsAReachablePrimaryToStepDown)
{
    World world{1};
    world.startService({{"q", {3, 19}}, {"r", {3, 9}}});
    world.endpoints["r"].answers = false;
    world.sendHeartbeat("p", EndpointPhase::Draining);
    world.advance(400ms);
    cr_assert_eq(world.count(EndpointOperation::StepDown, "p"), 1U);
    cr_assert(world.calls.empty(), "q has not reached the final position");
    world.endpoints["q"].received = {3, 20};
    world.advance(1s);
    cr_assert_geq(world.calls.size(), 1U, "calls without an answer are repeated");
    cr_assert_eq(world.calls[0].endpoint, "q");
}

// Guards against commits that are acknowledged because a paused replica restarts during the call,
// although the primary could have been stopped.
Test(synchronous_promotion, stopsTheReachablePrimaryBeforeTheOrder)
{
    World world{1};
    world.startService({{"q", {3, 19}}, {"r", {3, 20}}});
    world.commitsProposals = false;
    world.sendHeartbeat("p", EndpointPhase::Draining);
    cr_assert_eq(world.count(EndpointOperation::StepDown, "p"), 1U);
    cr_assert(world.endpoints["p"].role == EndpointRole::Replica);
    cr_assert_eq(world.proposals.size(), 1U);
    world.commitsProposals = true;
    world.answerOperations();
    cr_assert_eq(world.calls.at(0).endpoint, "r");
}

// Guards against an order that relies on the minimum number of paused replicas although the others
// are about to answer, and against waiting for silent replicas.
Test(synchronous_promotion, waitsBrieflyForMorePauses)
{
    World world{2};
    world.startService({{"q", {3, 8}}, {"r", {3, 9}}, {"t", {3, 7}}});
    world.endpoints["p"].answers = false;
    world.handle(promotion::EvidenceReceived{{"e1", "s", "p", Reachability::Silent}});
    world.handle(promotion::EvidenceReceived{{"e2", "s", "p", Reachability::Silent}});
    for (const auto &operation : std::exchange(world.pendingOperations, {})) {
        if (operation.endpoint != "t" && operation.endpoint != "p") {
            world.answerOperation(operation);
        }
    }
    cr_assert(world.proposals.empty());
    world.now += 150ms;
    world.handle(promotion::Tick{});
    cr_assert_eq(world.proposals.size(), 1U);
}

// Guards against using the final position of a primary that is not the newest one, or that has
// restarted as primary after stepping down.
Test(synchronous_promotion, aRestartInvalidatesTheFinalPosition)
{
    World world{1};
    world.startService({{"q", {3, 19}}, {"r", {3, 9}}});
    world.endpoints["r"].answers = false;
    world.sendHeartbeat("p", EndpointPhase::Draining);
    world.advance(400ms);
    world.endpoints["p"].role = EndpointRole::Primary;
    world.endpoints["p"].received = {3, 30};
    world.endpoints["p"].answers = false;
    world.sendHeartbeat("p", EndpointPhase::Ready, 11);
    world.primaryUnreachable = true;
    world.endpoints["q"].received = {3, 20};
    world.advance(3s);
    cr_assert(world.calls.empty());
}

// Guards against a new leader that repeats an earlier order without a new pause or for another
// target, and against selecting another target after a refusal without a pause.
Test(synchronous_promotion, aNewLeaderRepeatsTheOrderUnderItsOwnPause)
{
    World world{1, {{"s", "q", 4, false, false, "p", 4}}};
    world.endpoints["p"] = {EndpointRole::Primary, {3, 20}, 3, 0, false, false};
    world.endpoints["q"].received = {3, 9};
    world.endpoints["r"].received = {3, 8};
    world.sendHeartbeat("p");
    world.sendHeartbeat("r");
    world.sendHeartbeat("q");
    world.advance(2s);
    cr_assert_eq(world.calls.at(0).endpoint, "q");
    cr_assert_eq(world.calls.at(0).token, 5U);
    cr_assert_geq(world.count(EndpointOperation::Pause, "q"), 1U);
    cr_assert_geq(world.count(EndpointOperation::Pause, "r"), 1U);
    cr_assert_eq(world.count(EndpointOperation::Resume, "r"), 0U, "the promotion is in progress");
    world.primaryUnreachable = true;
    world.completeCall(PromotionOutcome::Refused);
    const auto earlier = world.calls.size();
    const auto pauses = world.count(EndpointOperation::Pause, "r");
    world.endpoints["r"].received = {3, 10};
    world.advance(1s);
    cr_assert_gt(world.count(EndpointOperation::Pause, "r"), pauses);
    cr_assert_gt(world.calls.size(), earlier);
    cr_assert_eq(world.calls[earlier].endpoint, "r");
}

// Guards against repeating an earlier order although a replica has restarted and received more
// since, and against calling another target while the earlier call may still be executed.
Test(synchronous_promotion, aNewLeaderKeepsTheTargetUntilItsCallHasExpired)
{
    World world{1, {{"s", "q", 4, false, false, "p", 4}}};
    world.endpoints["p"] = {EndpointRole::Primary, {3, 20}, 3, 0, false, false};
    world.endpoints["q"].received = {3, 8};
    world.endpoints["r"].received = {3, 9};
    world.primaryUnreachable = true;
    world.sendHeartbeat("p");
    world.sendHeartbeat("r");
    world.sendHeartbeat("q");
    world.advance(12s);
    cr_assert(world.calls.empty());
    cr_assert_eq(world.count(EndpointOperation::Resume, "r"), 0U);
    world.advance(2s);
    cr_assert_geq(world.calls.size(), 1U);
    cr_assert_eq(world.calls[0].endpoint, "r");
    cr_assert(!world.settlements.empty() && !world.settlements[0].promoted);
}

// Guards against pausing replicas although the earlier call was already executed.
Test(synchronous_promotion, aNewLeaderSendsNoPauseAfterTheExecution)
{
    World world{1, {{"s", "q", 4, false, false, "p", 4}}};
    world.endpoints["q"] = {EndpointRole::Primary, {4, 10}, 4};
    world.endpoints["r"].term = 4;
    world.sendHeartbeat("q");
    world.sendHeartbeat("r");
    world.advance(500ms);
    cr_assert_eq(world.calls.at(0).endpoint, "q");
    cr_assert_eq(world.count(EndpointOperation::Pause, "r"), 0U);
}

// Guards against a promotion that an earlier leader settled just before it stopped, and that is
// executed while the new leader relies on its pauses.
Test(synchronous_promotion, aNewLeaderAwaitsASettledPromotion)
{
    World world{1, {{"s", "q", 4, true, true, "p", 4}}};
    world.endpoints["p"].role = EndpointRole::Primary;
    world.primaryUnreachable = true;
    world.sendHeartbeat("p");
    world.sendHeartbeat("r");
    world.sendHeartbeat("q");
    world.handle(promotion::EvidenceReceived{{"e1", "s", "q", Reachability::Silent}});
    world.handle(promotion::EvidenceReceived{{"e2", "s", "q", Reachability::Silent}});
    world.advance(1900ms);
    cr_assert_eq(world.count(EndpointOperation::Pause, "r"), 0U);
    cr_assert(world.calls.empty());
}

// Guards against relying on a pause that an unfinished resume of an earlier leader may still end.
Test(synchronous_promotion, aNewLeaderAwaitsUnfinishedResumes)
{
    World world{1, {}, {{"s", {"r"}}}};
    world.startService({{"q", {3, 8}}, {"r", {3, 9}}});
    world.crashPrimary();
    world.advance(9500ms);
    cr_assert(world.calls.empty());
    cr_assert(world.records.empty() || !std::holds_alternative<FinishResume>(world.records[0].body),
              "the resume is not finished");
    world.advance(1s);
    cr_assert_geq(world.calls.size(), 1U);
    cr_assert_eq(world.calls[0].endpoint, "r");
}

// Guards against a resume that a later leader does not know of, and against one that it considers
// unfinished forever.
Test(synchronous_promotion, recordsResumesBeforeTheyAreSent)
{
    World world{1};
    world.startService({{"q", {3, 8}}, {"r", {3, 9}}});
    world.endpoints["r"].answers = false;
    world.endpoints["r"].mayTakeEffectLate = true;
    world.commitsProposals = false;
    world.crashPrimary();
    world.advance(450ms);
    cr_assert_eq(world.count(EndpointOperation::Resume, "q"), 0U, "the intent is not committed");
    world.commitsProposals = true;
    world.endpoints["p"].answers = true;
    world.primaryUnreachable = false;
    world.answerOperations();
    world.advance(50ms);
    cr_assert_geq(world.count(EndpointOperation::Resume, "q"), 1U);
    cr_assert(world.records.at(0) == (ControlCommand{IntendResume{"s", {"q", "r"}}}));
    world.advance(300ms);
    cr_assert(world.records.at(1) == (ControlCommand{FinishResume{"s", {"q"}}}));
    world.endpoints["r"].answers = true;
    world.endpoints["r"].mayTakeEffectLate = false;
    world.advance(12s);
    const auto unfinished =
        std::none_of(world.records.begin(), world.records.end(), [](const ControlCommand &command) {
            const auto *const finished = std::get_if<FinishResume>(&command.body);
            return finished != nullptr && finished->endpoints.front() == "r";
        });
    cr_assert(unfinished, "an unanswered resume may still take effect");
    world.advance(3s);
    cr_assert(world.records.back() == (ControlCommand{FinishResume{"s", {"r"}}}));
}

// Guards against replicas that stay paused because the leader that paused them has stopped or
// because its pause took effect late, and against unnecessary resumes.
Test(synchronous_promotion, aNewLeaderResumesPausedReplicasOnce)
{
    World world{1};
    world.endpoints["p"].role = EndpointRole::Primary;
    world.endpoints["q"].pauseTerm = 5;
    world.endpoints["r"].pauseTerm = 5;
    world.sendHeartbeat("p");
    world.sendHeartbeat("q");
    world.sendHeartbeat("r");
    world.sendHeartbeat("t");
    world.advance(1950ms);
    cr_assert_eq(world.count(EndpointOperation::Resume, "q"), 0U);
    world.advance(2s);
    cr_assert_eq(world.count(EndpointOperation::Resume, "q"), 1U);
    cr_assert_eq(world.count(EndpointOperation::Resume, "r"), 1U);
    world.endpoints["t"].pauseTerm = 5;
    world.advance(10s);
    cr_assert_eq(world.count(EndpointOperation::Resume, "t"), 1U);
    world.advance(10s);
    cr_assert_eq(world.count(EndpointOperation::Resume, "q"), 1U);
    cr_assert_eq(world.count(EndpointOperation::Resume, "t"), 1U);
    cr_assert_eq(world.count(EndpointOperation::Resume, "p"), 0U);
}

// Guards against delaying promotions under asynchronous replication.
Test(synchronous_promotion, sendsNoPauseWithoutSynchronousReplicas)
{
    World world{0};
    world.startService({{"q", {3, 8}}, {"r", {3, 9}}});
    world.crashPrimary();
    cr_assert_eq(world.calls.at(0).endpoint, "r");
    world.advance(1s);
    cr_assert(std::all_of(world.sent.begin(), world.sent.end(), [](const auto &operation) {
        return operation.operation == EndpointOperation::Status;
    }));
}

// Guards against losing commits that are acknowledged during the call: a paused replica that
// restarts receives again, so no entry host may acknowledge a write of the former primary.
Test(synchronous_withdrawal, theCallWaitsForAllEntryHosts)
{
    World world{1};
    world.startService({{"q", {3, 8}}, {"r", {3, 9}}});
    world.renew("e1", false);
    world.renew("e2", false);
    world.crashPrimary();
    cr_assert(world.announced.endpoint.empty());
    cr_assert(world.calls.empty(), "the entry hosts may use p");
    world.renew("e1", true);
    cr_assert(world.calls.empty(), "e2 may use p");
    world.renew("e2", true);
    cr_assert_eq(world.calls.size(), 1U);
    cr_assert_eq(world.calls[0].endpoint, "r");
    world.completeCall(PromotionOutcome::Accepted);
    cr_assert_eq(world.announced.endpoint, "r");
}

// Guards against an entry host that is cut off from the control hosts and goes on writing: its
// lease is waited for.
Test(synchronous_withdrawal, theCallWaitsForTheLeaseOfASilentHost)
{
    World world{1};
    world.startService({{"q", {3, 8}}, {"r", {3, 9}}});
    world.renew("e1", false);
    world.crashPrimary();
    world.advance(3900ms);
    cr_assert(world.calls.empty());
    world.advance(200ms);
    cr_assert_eq(world.calls.size(), 1U);
}

// Guards against a target that lacks a commit which was acknowledged between its selection and the
// last release: the other replica restarted and received it.
Test(synchronous_withdrawal, theTargetIsComparedAgainAfterTheLastRelease)
{
    World world{1};
    world.startService({{"q", {3, 8}}, {"r", {3, 9}}});
    world.renew("e1", false);
    world.crashPrimary();
    cr_assert_eq(world.announced.epoch, 3U);
    // Its heartbeat has not arrived, so the control host does not know of the restart.
    world.endpoints["q"].pauseTerm = 0;
    world.endpoints["q"].received = {3, 10};
    world.renew("e1", true);
    cr_assert_eq(world.calls.size(), 1U);
    cr_assert_eq(world.calls[0].endpoint, "q", "selected again");
}

// Guards against an outage for as long as a call may be executed: once no entry host can
// acknowledge a write, the restart of a paused replica does not invalidate the target.
Test(synchronous_withdrawal, aRestartDuringTheCallKeepsTheTarget)
{
    World world{1};
    world.startService({{"q", {3, 8}}, {"r", {3, 9}}});
    world.crashPrimary();
    cr_assert_eq(world.calls.size(), 1U);
    world.endpoints["q"].pauseTerm = 0;
    world.endpoints["q"].received = {3, 10};
    world.sendHeartbeat("q", EndpointPhase::Ready, 11);
    world.advance(650ms);
    cr_assert_eq(world.calls.size(), 2U, "the unanswered call is repeated");
    cr_assert_eq(world.calls[1].endpoint, "r");
}

// Guards against relying on a step-down: a former primary that restarts acts as primary again.
Test(synchronous_withdrawal, aStepDownDoesNotReplaceTheReleases)
{
    World world{1};
    world.startService({{"q", {3, 20}}, {"r", {3, 20}}});
    world.renew("e1", false);
    world.sendHeartbeat("p", EndpointPhase::Draining);
    world.advance(500ms);
    cr_assert_eq(world.count(EndpointOperation::StepDown, "p"), 1U);
    cr_assert(world.calls.empty());
    world.renew("e1", true);
    cr_assert_eq(world.calls.size(), 1U);
}

// Guards against a service that stays without a primary although the withdrawn one answers again
// and too few replicas can be paused to choose another.
Test(synchronous_withdrawal, aWithdrawnPrimaryThatAnswersIsUsedAgain)
{
    World world{1};
    world.startService({{"q", {3, 8}}, {"r", {3, 9}}});
    world.renew("e1", false);
    world.crashPrimary();
    cr_assert(world.announced.endpoint.empty());
    world.endpoints["q"].answers = false;
    world.renew("e1", true);
    cr_assert(world.calls.empty(), "q may hold newer entries");
    world.endpoints["p"].answers = true;
    world.primaryUnreachable = false;
    for (const auto *const host : {"e1", "e2"}) {
        world.handle(promotion::EvidenceReceived{{host, "s", "p", Reachability::Reachable}});
    }
    world.advance(400ms);
    cr_assert_eq(world.calls.size(), 1U);
    cr_assert_eq(world.calls[0].endpoint, "p");
    world.completeCall(PromotionOutcome::Accepted);
    cr_assert_eq(world.announced.endpoint, "p");
}

// Guards against a lease under which an entry host writes to the primary that an unsettled order of
// an earlier leader replaces.
Test(synchronous_withdrawal, anUnsettledOrderIsWithdrawnByTheNextLeader)
{
    World world{1, {{"s", "q", 4, false, false, "p", 4}}};
    cr_assert(world.announced.endpoint.empty());
    cr_assert_eq(world.announced.epoch, 9U);
}

namespace {

/// Members p (primary), q and r at the addresses that World gives them.
std::map<std::string, ServiceMembers> threeMembers()
{
    ServiceMembers members;
    for (const auto *const id : {"p", "q", "r"}) {
        members.endpoints["10.0.0.1:" + std::string{id}] = id;
    }
    members.primaryAddress = "10.0.0.1:p";
    return {{"s", members}};
}

} // namespace

// Guards against counting the pauses only against the members that a restarted control host has
// heard of: the primary may go on with a replica that is cut off.
Test(service_members, aRestartedLeaderCountsSilentMembers)
{
    World world{1, {}, {}, threeMembers()};
    world.endpoints["q"].received = {3, 8};
    world.sendHeartbeat("q");
    world.advance(20s);
    cr_assert(world.calls.empty(), "r is not paused");
    world.endpoints["r"].received = {3, 9};
    world.sendHeartbeat("r");
    world.advance(1s);
    cr_assert_geq(world.calls.size(), 1U, "p is the primary and needs no pause");
    cr_assert_eq(world.calls[0].endpoint, "r");
}

// Guards against a service that has no primary for ever after a member was replaced: the new
// endpoint at its address holds its log.
Test(service_members, aReplacedMemberIsTheSameMember)
{
    World world{1, {}, {}, threeMembers()};
    world.endpoints["q"].received = {3, 8};
    world.sendHeartbeat("q");
    EndpointRecord record;
    record.service = "s";
    record.id = "r2";
    record.address = "10.0.0.1:r";
    record.bornMs = 20;
    record.sequence = 1;
    world.endpoints["r2"].received = {3, 9};
    (void)world.registry.handleHeartbeat(record, world.now);
    world.handle(promotion::RegistryChanged{"s"});
    world.answerOperations();
    world.advance(4s);
    cr_assert_geq(world.calls.size(), 1U);
    cr_assert_eq(world.calls[0].endpoint, "r2");
    cr_assert_eq(world.recordedMembers[0].members.size(), 1U);
    cr_assert_eq(world.recordedMembers[0].members[0].endpoint, "r2");
}

// Guards against a later leader that does not know the members and the primary.
Test(service_members, membersAndPrimaryAreRecorded)
{
    World world{1};
    world.startService({{"q", {3, 8}}, {"r", {3, 9}}});
    ServiceMembers recorded;
    for (const auto &command : world.recordedMembers) {
        for (const auto &member : command.members) {
            recorded.endpoints[member.address] = member.endpoint;
        }
        recorded.primaryAddress = command.primaryAddress;
    }
    cr_assert(recorded == threeMembers().at("s"));
    const auto count = world.recordedMembers.size();
    world.advance(30s);
    cr_assert_eq(world.recordedMembers.size(), count, "nothing has changed");
}

// Guards against a leave or a long silence that removes a member: its log, which may hold commits
// that no other replica holds, goes to a new endpoint at its address.
Test(service_members, aMemberThatHasLeftStillCounts)
{
    World world{1};
    world.startService({{"q", {3, 8}}, {"r", {3, 9}}});
    (void)world.registry.handleLeave(EndpointGone{"r", 10}, world.now);
    cr_assert_null(world.registry.find("r"));
    world.endpoints["r"].answers = false;
    world.handle(promotion::EndpointsRemoved{});
    world.crashPrimary();
    world.advance(20s);
    cr_assert(world.calls.empty());
}

// Guards against a service that shrinks and never gets a primary again, and against a state that
// grows for ever: a document without synchronous replicas ends the membership.
Test(service_members, aDocumentWithoutSynchronousReplicasForgetsTheMembers)
{
    World world{1, {}, {}, threeMembers()};
    world.endpoints["q"].received = {3, 8};
    world.sendHeartbeat("q");
    world.advance(5s);
    cr_assert(world.calls.empty());
    world.handle(promotion::DocumentChanged{{}});
    world.answerOperations();
    cr_assert_eq(world.forgotten, 1);
    world.advance(1s);
    cr_assert_geq(world.calls.size(), 1U, "the operator accepts the loss");
}

// Guards against treating the recorded primary as such after a promotion has replaced it, and
// against counting it as a replica after an order that was not executed.
Test(service_members, anAcceptedPromotionClearsTheRecordedPrimary)
{
    ControlState state;
    (void)state.apply({RecordMembers{"s", {{"a:1", "p"}, {"b:1", "q"}}, "a:1"}});
    (void)state.apply({OrderPromotion{"s", "q", "p", 0}});
    (void)state.apply({SettlePromotion{"s", 1, false}});
    cr_assert_eq(state.members().at("s").primaryAddress, "a:1");
    (void)state.apply({OrderPromotion{"s", "q", "p", 0}});
    (void)state.apply({SettlePromotion{"s", 2, true}});
    cr_assert(state.members().at("s").primaryAddress.empty());
    cr_assert_eq(state.members().at("s").endpoints.size(), 2U);
}
