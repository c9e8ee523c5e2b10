#include <criterion/criterion.h>

#include <hyssoprock/limits/allowance_requester.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

constexpr Instant start{1h};

/// A requester that knows a near, a middle and a far control host.
AllowanceRequester makeRequester()
{
    AllowanceRequester requester{1};
    (void)requester.handleOffer("far", true, Proximity::Remote, start);
    (void)requester.handleOffer("middle", true, Proximity::SameRegion, start);
    (void)requester.handleOffer("near", true, Proximity::Remote, start);
    requester.setProximity("near", Proximity::SameDataCentre);
    return requester;
}

void expectRequest(const AllowanceActions &actions, const std::string &host, std::uint32_t count)
{
    cr_assert_eq(actions.requests.size(), 1);
    cr_assert_eq(actions.requests.front().controlHost, host);
    cr_assert_eq(actions.requests.front().request.count, count);
}

void expectRefusal(const AllowanceActions &actions, bool overLimit, Duration retryAfter)
{
    cr_assert(actions.requests.empty());
    cr_assert_eq(actions.decisions.size(), 1);
    cr_assert(actions.decisions.front() == (AllowanceDecision{"t", 0, retryAfter, overLimit}));
}

} // namespace

/// Guards against a request for each statement under load.
Test(allowanceRequester, oneRequestForAllOperationsThatWait)
{
    auto requester = makeRequester();
    expectRequest(requester.setWaiting("t", 1, start), "near", 1);
    cr_assert(requester.setWaiting("t", 2, start).requests.empty());
    cr_assert(requester.setWaiting("t", 3, start).requests.empty());
    const auto actions = requester.handleReply("near", {1, 1, 0}, start + 1ms);
    cr_assert(actions.decisions.front() == (AllowanceDecision{"t", 1, {}, false}));
    expectRequest(actions, "near", 2);
}

/// Guards against refusals while another control host has tokens, and against requests to hosts
/// that have said when their next token is available.
Test(allowanceRequester, asksTheNextHostAfterADenialUntilAllHaveDenied)
{
    auto requester = makeRequester();
    expectRequest(requester.setWaiting("t", 5, start), "near", 5);
    auto actions = requester.handleReply("near", {1, 2, 50'000}, start);
    cr_assert_eq(actions.decisions.front().granted, 2);
    expectRequest(actions, "middle", 3);
    expectRequest(requester.handleReply("middle", {2, 0, 30'000}, start), "far", 3);
    expectRefusal(requester.handleReply("far", {3, 0, 90'000}, start), true, 30ms);
    expectRefusal(requester.setWaiting("t", 1, start + 29ms), true, 1ms);
    expectRequest(requester.setWaiting("t", 1, start + 30ms), "middle", 1);
}

/// Guards against a caller that waits for a host that does not answer, also one of another team,
/// and against the loss of operations that a slow host has granted.
Test(allowanceRequester, asksTheNextHostIfOneDoesNotAnswerInTime)
{
    auto requester = makeRequester();
    expectRequest(requester.setWaiting("t", 1, start), "near", 1);
    cr_assert(requester.nextDeadline() == start + 100ms);
    cr_assert(requester.tick(start + 99ms).requests.empty());
    expectRequest(requester.tick(start + 100ms), "middle", 1);
    expectRequest(requester.setWaiting("other", 1, start + 100ms), "middle", 1);
    const auto late = requester.handleReply("near", {1, 1, 0}, start + 150ms);
    cr_assert_eq(late.decisions.size(), 1);
    cr_assert_eq(late.decisions.front().granted, 1);
    cr_assert(requester.handleReply("middle", {2, 1, 0}, start + 151ms).decisions.empty());
    expectRequest(requester.setWaiting("t", 1, start + 151ms), "near", 1);
}

/// Guards against operations that run long after the time for which they were counted, because this
/// process was frozen.
Test(allowanceRequester, anAnswerThatIsFarTooLateGrantsNothing)
{
    auto requester = makeRequester();
    expectRequest(requester.setWaiting("t", 1, start), "near", 1);
    cr_assert(requester.handleReply("near", {1, 1, 0}, start + 501ms).decisions.empty());
}

/// Guards against callers that wait for their deadline when a control host stops granting or is
/// lost, and against refusals after a loss of power before the control hosts have a leader.
Test(allowanceRequester, aLostOfferMovesTheRequestToAnotherHost)
{
    auto requester = makeRequester();
    expectRequest(requester.setWaiting("t", 2, start), "near", 2);
    expectRequest(requester.handleOffer("near", false, Proximity::SameDataCentre, start), "middle",
                  2);
    cr_assert(requester.handleReply("near", {1, 2, 0}, start).decisions.empty());
    expectRequest(requester.handleDisconnect("middle", start), "far", 2);
    const auto lost = requester.handleDisconnect("far", start);
    cr_assert(lost.requests.empty() && lost.decisions.empty());
    expectRequest(requester.handleOffer("far", true, Proximity::Remote, start + 3s), "far", 2);
    cr_assert(requester.handleDisconnect("far", start + 3s).decisions.empty());
    cr_assert(requester.setWaiting("t", 1, start + 6999ms).decisions.empty());
    cr_assert(requester.nextDeadline() == start + 7s);
    expectRefusal(requester.tick(start + 7s), false, 500ms);
    cr_assert(!requester.nextDeadline());
    expectRefusal(requester.setWaiting("t", 1, start + 7s), false, 500ms);
}

/// Guards against a team over its limit that delays or refuses the operations of another.
Test(allowanceRequester, teamsAreIndependent)
{
    auto requester = makeRequester();
    expectRequest(requester.setWaiting("t", 100, start), "near", 100);
    expectRequest(requester.setWaiting("other", 1, start), "near", 1);
    expectRequest(requester.handleReply("near", {1, 0, 50'000}, start), "middle", 100);
    cr_assert_eq(requester.handleReply("near", {2, 1, 0}, start).decisions.size(), 1);
    expectRequest(requester.setWaiting("other", 1, start), "near", 1);
}

/// Guards against tokens that are consumed for callers that have disconnected.
Test(allowanceRequester, abandonedOperationsAreNotRequested)
{
    auto requester = makeRequester();
    expectRequest(requester.setWaiting("t", 3, start), "near", 3);
    cr_assert(requester.setWaiting("t", 0, start).requests.empty());
    const auto actions = requester.handleReply("near", {1, 0, 50'000}, start);
    cr_assert(actions.requests.empty() && actions.decisions.empty());
}
