#include <criterion/criterion.h>

#include <hyssoprock/freshness/position_feed.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

const Instant start{100s};

PositionReport makeReport(std::uint64_t sequence, Duration age, std::uint64_t index = 7)
{
    PositionReport report;
    report.sequence = sequence;
    report.positions.push_back({"s", "d1", 1, index, age.count()});
    return report;
}

} // namespace

/// Guards against a closed connection: a control host of an earlier version does not know the
/// request and treats it as a violation of the protocol.
Test(positionFeed, onlyControlHostsThatOfferPositionsAreAsked)
{
    PositionFeed feed{250ms, 1};
    cr_assert(!feed.nextRequest({"s"}, start));
    cr_assert(!feed.nextDeadline());
    feed.handleOffer("c1", Proximity::SameDataCentre);
    const auto request = feed.nextRequest({"s"}, start);
    cr_assert(request.has_value());
    cr_assert_eq(request->controlHost, "c1");
    cr_assert_eq(request->request.services.size(), 1U);
}

/// Guards against stale reads after a slow message or a suspended process: a sample that seems
/// younger than it is would cover fewer commits than the read must see.
Test(positionFeed, aDelayedAnswerIsDatedByItsRequest)
{
    PositionFeed feed{250ms, 1};
    feed.handleOffer("c1", Proximity::SameDataCentre);
    const auto request = feed.nextRequest({"s"}, start);
    const auto samples =
        feed.handleReport("c1", makeReport(request->request.sequence, 120ms), start + 3s);
    cr_assert_eq(samples.size(), 1U);
    const PositionSample expected{"s", "d1", {1, 7}, start - 120ms};
    cr_assert(samples.front() == expected);
}

/// Guards against samples dated into the future by a control host whose clock misbehaves.
Test(positionFeed, aNegativeAgeCountsAsZero)
{
    PositionFeed feed{250ms, 1};
    feed.handleOffer("c1", Proximity::SameDataCentre);
    const auto request = feed.nextRequest({"s"}, start);
    const auto samples =
        feed.handleReport("c1", makeReport(request->request.sequence, -500ms), start + 1ms);
    cr_assert(samples.front().sentAt == start);
}

/// Guards against an answer to a request of an earlier connection or process, whose time of sending
/// is not known.
Test(positionFeed, anAnswerToAnUnknownRequestIsIgnored)
{
    PositionFeed feed{250ms, 1};
    feed.handleOffer("c1", Proximity::SameDataCentre);
    const auto request = feed.nextRequest({"s"}, start);
    cr_assert(
        feed.handleReport("c1", makeReport(request->request.sequence + 1, 0ms), start).empty());
    cr_assert(feed.handleReport("c2", makeReport(request->request.sequence, 0ms), start).empty());
    feed.handleDisconnect("c1");
    feed.handleOffer("c1", Proximity::SameDataCentre);
    cr_assert(feed.handleReport("c1", makeReport(request->request.sequence, 0ms), start).empty());
}

/// Guards against positions that stop when the nearest control host is frozen or cut off without a
/// reset, and against traffic between data centres while it answers.
Test(positionFeed, aSilentControlHostIsReplacedByTheNextNearest)
{
    PositionFeed feed{250ms, 1};
    feed.handleOffer("remote", Proximity::Remote);
    feed.handleOffer("near", Proximity::SameDataCentre);
    feed.handleOffer("region", Proximity::SameRegion);
    const auto first = feed.nextRequest({"s"}, start);
    cr_assert_eq(first->controlHost, "near");
    cr_assert(!feed.nextRequest({"s"}, start + 250ms));
    const auto second = feed.nextRequest({"s"}, start + 400ms);
    cr_assert_eq(second->controlHost, "region");
    // The late answer counts, and the control host is asked again.
    cr_assert_eq(
        feed.handleReport("near", makeReport(first->request.sequence, 0ms), start + 450ms).size(),
        1U);
    cr_assert_eq(
        feed.handleReport("region", makeReport(second->request.sequence, 0ms), start + 460ms)
            .size(),
        1U);
    cr_assert_eq(feed.nextRequest({"s"}, start + 650ms)->controlHost, "near");
}

/// Guards against a fraction of a second without positions after a start: the first answer is
/// empty, because the control host has only then begun to sample the service.
Test(positionFeed, anIncompleteAnswerIsFollowedUpSoon)
{
    PositionFeed feed{250ms, 1};
    feed.handleOffer("c1", Proximity::SameDataCentre);
    const auto first = feed.nextRequest({"s", "t"}, start);
    (void)feed.handleReport("c1", makeReport(first->request.sequence, 0ms), start + 1ms);
    cr_assert(feed.nextRequest({"t"}, start + 61ms).has_value());
}

/// Guards against requests by a host that gets all positions from its own statements.
Test(positionFeed, nothingIsRequestedWithoutNeed)
{
    PositionFeed feed{250ms, 1};
    feed.handleOffer("c1", Proximity::SameDataCentre);
    cr_assert(!feed.nextRequest({}, start));
    cr_assert(!feed.isDue(start + 100ms));
    cr_assert(feed.nextRequest({"s"}, start + 250ms).has_value());
}
