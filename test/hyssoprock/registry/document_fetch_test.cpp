#include <chrono>
#include <map>
#include <string>

#include <criterion/criterion.h>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/registry/document_fetch.hpp>

using namespace hyssoprock;
using std::chrono::milliseconds;

namespace {

Instant at(int milliseconds)
{
    return Instant{std::chrono::milliseconds{milliseconds}};
}

/// Creates a scheduler that holds version 1 and knows control hosts at all three distances.
DocumentFetchScheduler makeScheduler()
{
    DocumentFetchScheduler scheduler{1};
    cr_assert(scheduler.handleConnect("near", at(0)));
    cr_assert_not(scheduler.handleConnect("region", at(0)));
    cr_assert_not(scheduler.handleConnect("far", at(0)));
    scheduler.handleAnswer("near", 1, at(10));
    scheduler.handleAnnouncement("near", Proximity::SameDataCentre, 1, at(10));
    scheduler.handleAnnouncement("region", Proximity::SameRegion, 1, at(10));
    scheduler.handleAnnouncement("far", Proximity::Remote, 1, at(10));
    cr_assert_not(scheduler.nextRequest(at(20)).has_value());
    return scheduler;
}

} // namespace

// Guards against requesting the document from each control host that announces a version, which
// sends it over a slow link several times, and against requesting it from a distant one.
Test(documentFetchScheduler, requestsTheDocumentFromTheNearestHostOnce)
{
    auto scheduler = makeScheduler();
    scheduler.handleAnnouncement("far", Proximity::Remote, 2, at(1000));
    cr_assert_not(scheduler.nextRequest(at(1000)).has_value());
    scheduler.handleAnnouncement("region", Proximity::SameRegion, 2, at(1040));
    cr_assert_not(scheduler.nextRequest(at(1040)).has_value());
    scheduler.handleAnnouncement("near", Proximity::SameDataCentre, 2, at(1080));
    cr_assert_eq(scheduler.nextRequest(at(1080))->host, "near");
    cr_assert_not(scheduler.nextRequest(at(1081)).has_value());
    scheduler.handleAnswer("near", 2, at(1200));
    cr_assert_not(scheduler.nextRequest(at(1200)).has_value());
}

// Guards against waiting for a near host that does not receive the newest version, for example
// because it cannot reach the leader.
Test(documentFetchScheduler, waitsOnlyBrieflyForANearHostWithoutTheVersion)
{
    auto scheduler = makeScheduler();
    scheduler.handleAnnouncement("far", Proximity::Remote, 2, at(1000));
    cr_assert_not(scheduler.nextRequest(at(1200)).has_value());
    cr_assert_eq(scheduler.nextRequest(at(1250))->host, "far");
}

// Guards against a host that falls behind permanently because versions follow each other so quickly
// that the nearest control host never announces the newest one first.
Test(documentFetchScheduler, frequentChangesDoNotStarveTheHost)
{
    auto scheduler = makeScheduler();
    std::uint64_t held = 1;
    int fetchCount = 0;
    for (int i = 0; i < 100; ++i) {
        const auto version = static_cast<std::uint64_t>(i) + 2;
        const auto now = 1000 + i * 50;
        scheduler.handleAnnouncement("far", Proximity::Remote, version, at(now));
        scheduler.handleAnnouncement("near", Proximity::SameDataCentre, version - 1, at(now));
        if (const auto request = scheduler.nextRequest(at(now))) {
            cr_assert_eq(request->host, "near");
            held = version - 1;
            ++fetchCount;
            scheduler.handleAnswer("near", held, at(now + 20));
        }
        cr_assert(held + 7 >= version, "at most 350 ms behind");
    }
    cr_assert_gt(fetchCount, 50);
}

// Guards against waiting for a control host that does not answer or whose connection has ended.
Test(documentFetchScheduler, turnsToAnotherHost)
{
    auto scheduler = makeScheduler();
    for (const auto *host : {"near", "region", "far"}) {
        scheduler.handleAnnouncement(host,
                                     host == std::string{"near"}     ? Proximity::SameDataCentre
                                     : host == std::string{"region"} ? Proximity::SameRegion
                                                                     : Proximity::Remote,
                                     2, at(1000));
    }
    cr_assert_eq(scheduler.nextRequest(at(1000))->host, "near");
    cr_assert_not(scheduler.nextRequest(at(1690)).has_value());
    cr_assert_eq(scheduler.nextRequest(at(1700))->host, "region");
    scheduler.handleDisconnect("region");
    cr_assert_eq(scheduler.nextRequest(at(1750))->host, "far");
    scheduler.handleAnswer("near", 2, at(1800));
    cr_assert_not(scheduler.nextRequest(at(5000)).has_value(), "the late answer is used");
}

// Guards against abandoning a whole document that arrives over a slow link, and against waiting
// forever for one that makes almost no progress.
Test(documentFetchScheduler, progressExtendsTheTimeUpToALimit)
{
    auto scheduler = makeScheduler();
    scheduler.handleAnnouncement("near", Proximity::SameDataCentre, 2, at(1000));
    scheduler.handleAnnouncement("region", Proximity::SameRegion, 2, at(1000));
    cr_assert_eq(scheduler.nextRequest(at(1000))->host, "near");
    for (int now = 1100; now < 11000; now += 100) {
        scheduler.handleProgress("near", at(now));
        cr_assert_not(scheduler.nextRequest(at(now)).has_value());
    }
    scheduler.handleProgress("near", at(11000));
    cr_assert_eq(scheduler.nextRequest(at(11000))->host, "region");
}

// Guards against requesting the same unusable delta repeatedly.
Test(documentFetchScheduler, anUnusableAnswerLeadsToTheWholeDocument)
{
    auto scheduler = makeScheduler();
    scheduler.handleAnnouncement("near", Proximity::SameDataCentre, 2, at(1000));
    cr_assert_not(scheduler.nextRequest(at(1000))->wholeDocument);
    scheduler.handleFailure("near", at(1100));
    cr_assert_not(scheduler.nextRequest(at(1100)).has_value(),
                  "a retry is delayed even without another host");
    const auto again = scheduler.nextRequest(at(1600));
    cr_assert(again && again->host == "near" && again->wholeDocument);
    scheduler.handleAnswer("near", 2, at(1700));
    scheduler.handleAnnouncement("near", Proximity::SameDataCentre, 3, at(2000));
    cr_assert_not(scheduler.nextRequest(at(2000))->wholeDocument);
}

// Guards against a starting host that waits for a control host that cannot answer, for example
// because it has just started as well, while another one has the document.
Test(documentFetchScheduler, aStartingHostTurnsToAnAnnouncingHost)
{
    DocumentFetchScheduler scheduler{1};
    cr_assert(scheduler.handleConnect("silent", at(0)));
    cr_assert_not(scheduler.handleConnect("other", at(5)));
    scheduler.handleAnnouncement("other", Proximity::Remote, 9, at(10));
    cr_assert_not(scheduler.nextRequest(at(50)).has_value());
    cr_assert_eq(scheduler.nextRequest(at(100))->host, "other");
}

// Guards against all entry hosts of a data centre without a control host using the same one.
Test(documentFetchScheduler, equallyNearHostsShareTheLoad)
{
    std::map<std::string, int> requestCounts;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        DocumentFetchScheduler scheduler{seed};
        for (const auto *host : {"a", "b", "c"}) {
            scheduler.handleAnnouncement(host, Proximity::SameRegion, 1, at(0));
        }
        ++requestCounts[scheduler.nextRequest(at(0))->host];
    }
    for (const auto *host : {"a", "b", "c"}) {
        cr_assert_gt(requestCounts[host], 60);
    }
}

// Guards against missing the newest version although a control host that has it stays reachable,
// whatever else fails. Seeds 1 to 200.
Test(documentFetchScheduler, theNewestVersionIsReached)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        RandomSource random{seed};
        DocumentFetchScheduler scheduler{seed};
        std::uint64_t held = 0;
        std::uint64_t newest = 1;
        std::map<std::string, int> pending;
        for (int now = 0; now < 20000; now += 20) {
            const auto host = "host-" + std::to_string(random.below(6));
            const auto quiet = now >= 15000;
            newest += !quiet && random.chance(5) ? 1 : 0;
            if (!quiet && random.chance(10)) {
                scheduler.handleDisconnect(host);
            } else if (!quiet && random.chance(10)) {
                scheduler.handleFailure(host, at(now));
            } else {
                scheduler.handleAnnouncement(host, static_cast<Proximity>(random.below(3)),
                                             quiet ? newest : random.below(newest + 1), at(now));
            }
            if (const auto request = scheduler.nextRequest(at(now));
                request && (quiet || random.chance(70))) {
                held = std::max(held, newest);
                scheduler.handleAnswer(request->host, held, at(now));
            }
        }
        cr_assert_eq(held, newest, "seed %lu", static_cast<unsigned long>(seed));
    }
}
