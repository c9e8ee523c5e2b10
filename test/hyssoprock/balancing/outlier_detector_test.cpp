#include <criterion/criterion.h>

#include <hyssoprock/balancing/outlier_detector.hpp>
#include <hyssoprock/core/random_source.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

constexpr auto served = EndpointOutcome::Served;
constexpr auto failed = EndpointOutcome::Failed;

struct Service
{
    OutlierDetector detector;
    Instant now{100s};

    explicit Service(const std::vector<std::string> &members = {"a", "b", "c"})
    {
        detector.setMembers(members);
    }

    OutlierChange record(const std::string &endpoint, EndpointOutcome outcome, int times = 1)
    {
        auto result = OutlierChange::None;
        for (auto i = 0; i < times; ++i) {
            result = detector.record(endpoint, outcome, now);
        }
        return result;
    }

    /// Runs a read on "a" if it is not avoided, otherwise on "b", every 20 ms.
    /// @return Number of reads on "a" in the last 10 s.
    template <class Outcome>
    int run(Duration time, const Outcome &outcomeOfA)
    {
        auto reads = 0;
        for (const auto end = now + time; now < end; now += 20ms) {
            if (detector.use("a", now) == EndpointUse::Avoided) {
                record("b", served);
                continue;
            }
            static_cast<void>(detector.beginTrial("a", now));
            record("a", outcomeOfA());
            reads += now >= end - 10s ? 1 : 0;
        }
        return reads;
    }

    [[nodiscard]] EndpointUse use(const std::string &endpoint) const
    {
        return detector.use(endpoint, now);
    }
};

} // namespace

/// Guards against an endpoint that fails 45% of its reads and is used on, as its health is good.
Test(outlier_detector, anEndpointThatFailsPartOfItsReadsIsAvoided)
{
    Service service;
    RandomSource random{1};
    const auto reads = service.run(60s, [&]() { return random.chance(45) ? failed : served; });
    // 500 reads would reach it otherwise.
    cr_expect(reads <= 25, "%d reads", reads);
}

/// Guards against an endpoint that goes down and up and gets all reads as soon as it is up.
Test(outlier_detector, anEndpointThatGoesDownAndUpIsAvoidedForLongerEachTime)
{
    Service service;
    const auto reads = service.run(90s, [&]() {
        const auto down = service.now.time_since_epoch() / 1400ms % 2 == 0;
        return down ? EndpointOutcome::Reset : served;
    });
    cr_expect(reads <= 120, "%d reads", reads);
}

/// Guards against a caller that waits for each of several statements at a hanging endpoint.
Test(outlier_detector, twoHangsAreEnough)
{
    Service service;
    cr_expect(service.record("a", EndpointOutcome::Hung) == OutlierChange::None);
    cr_expect(service.record("a", EndpointOutcome::Hung) == OutlierChange::Avoided);
    cr_expect(service.use("a") == EndpointUse::Avoided);
}

/// Guards against moving the load of an overloaded endpoint to the others, and against avoiding an
/// endpoint for single failures.
Test(outlier_detector, refusalsAndSingleFailuresAvoidNothing)
{
    Service service;
    cr_expect(service.record("a", EndpointOutcome::Refused, 50) == OutlierChange::None);
    for (auto i = 0; i < 50; ++i) {
        cr_expect(service.record("a", failed) == OutlierChange::None);
        service.record("a", served, 7);
    }
    cr_expect(service.detector.avoidedEndpoints().empty());
}

/// Guards against old failures that are added to new ones.
Test(outlier_detector, failuresBeforeAPauseAreForgotten)
{
    Service service;
    service.record("a", failed, 2);
    service.now += 11s;
    cr_expect(service.record("a", failed) == OutlierChange::None);
}

/// Guards against the loss of most of a service's capacity.
Test(outlier_detector, atMostHalfOfTheEndpointsIsAvoided)
{
    Service service;
    service.record("a", failed, 3);
    cr_expect(service.record("b", failed, 8) == OutlierChange::None);
    cr_expect(service.detector.avoidedEndpoints() == std::vector<std::string>{"a"});

    Service single{{"a"}};
    single.record("a", failed, 8);
    cr_expect(single.use("a") == EndpointUse::Normal);

    Service four{{"a", "b", "c", "d"}};
    for (const auto *endpoint : {"a", "b", "c"}) {
        four.record(endpoint, failed, 3);
    }
    cr_expect(four.detector.avoidedEndpoints() == (std::vector<std::string>{"a", "b"}));
}

/// Guards against a host that avoids good endpoints because its own link has failed.
Test(outlier_detector, noneIsAvoidedIfAllFail)
{
    Service service;
    cr_expect(service.record("a", failed, 3) == OutlierChange::Avoided);
    service.record("b", failed, 3);
    cr_expect(service.record("c", failed, 3) == OutlierChange::AllFailing);
    cr_expect(service.detector.avoidedEndpoints().empty());
}

/// Guards against statements that fail by their own text on each endpoint in turn.
Test(outlier_detector, readsThatFailEverywhereAvoidNothing)
{
    Service service;
    for (auto i = 0; i < 20; ++i) {
        for (const auto *endpoint : {"a", "b", "c"}) {
            cr_expect(service.record(endpoint, failed) == OutlierChange::None);
        }
    }
}

/// Guards against all reads at once on an endpoint whose state is unknown, and against one that
/// stays avoided for good.
Test(outlier_detector, anEndpointReturnsByTrialOfOneReadAtATime)
{
    Service service;
    service.record("a", failed, 3);
    service.record("a", served, 50);
    cr_expect(service.use("a") == EndpointUse::Avoided, "answers to earlier reads are no trial");
    service.now += 500ms;
    service.record("a", served, 50);
    cr_expect(service.use("a") == EndpointUse::Trial);
    cr_expect(service.detector.beginTrial("a", service.now));
    cr_expect(service.use("a") == EndpointUse::Avoided);
    cr_expect(!service.detector.beginTrial("a", service.now));
    service.now += 3s;
    cr_expect(service.use("a") == EndpointUse::Trial, "the answer to the trial was lost");
    for (auto i = 0; i < 3; ++i) {
        cr_expect(service.detector.beginTrial("a", service.now));
        cr_expect((service.record("a", served) == OutlierChange::Returned) == (i == 2));
    }
    cr_expect(service.use("a") == EndpointUse::Normal);
    // A relapse needs one failure only, and the interval has doubled.
    cr_expect(service.record("a", failed) == OutlierChange::Avoided);
    service.now += 900ms;
    cr_expect(service.use("a") == EndpointUse::Avoided);
    service.now += 100ms;
    cr_expect(service.use("a") == EndpointUse::Trial);
    cr_expect(service.record("a", failed) == OutlierChange::TrialFailed,
              "the connection for the trial could not be opened");
    service.now += 1900ms;
    cr_expect(service.use("a") == EndpointUse::Avoided);
}

/// Guards against lost knowledge when the list of endpoints changes.
Test(outlier_detector, theStateOfRemainingMembersIsKept)
{
    Service service;
    service.record("a", failed, 3);
    service.detector.setMembers({"a", "b"});
    cr_expect(service.use("a") == EndpointUse::Avoided);
    service.detector.setMembers({"b"});
    service.detector.setMembers({"a", "b"});
    cr_expect(service.use("a") == EndpointUse::Normal);
}
