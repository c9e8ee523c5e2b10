#include <chrono>
#include <map>
#include <string>

#include <criterion/criterion.h>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/registry/document_fetch_scheduler.hpp>

using namespace hyssoprock;
using std::chrono::milliseconds;

namespace {

Instant at(int milliseconds)
{
    return Instant{std::chrono::milliseconds{milliseconds}};
}

/// A host that holds version 1, with control hosts at all three distances.
DocumentFetchScheduler started()
{
    DocumentFetchScheduler fetch{1};
    cr_assert(fetch.handleConnect("near", at(0)));
    cr_assert_not(fetch.handleConnect("region", at(0)));
    cr_assert_not(fetch.handleConnect("far", at(0)));
    fetch.handleAnswer("near", 1, at(10));
    fetch.handleAnnouncement("near", Proximity::SameDataCentre, 1, at(10));
    fetch.handleAnnouncement("region", Proximity::SameRegion, 1, at(10));
    fetch.handleAnnouncement("far", Proximity::Remote, 1, at(10));
    cr_assert_not(fetch.nextRequest(at(20)).has_value());
    return fetch;
}

} // namespace

// Guards against asking each control host that announces a version, which makes the document cross
// a slow link several times, and against asking a distant one.
Test(documentFetch, theNearestHostIsAskedOnce)
{
    auto fetch = started();
    fetch.handleAnnouncement("far", Proximity::Remote, 2, at(1000));
    cr_assert_not(fetch.nextRequest(at(1000)).has_value());
    fetch.handleAnnouncement("region", Proximity::SameRegion, 2, at(1040));
    cr_assert_not(fetch.nextRequest(at(1040)).has_value());
    fetch.handleAnnouncement("near", Proximity::SameDataCentre, 2, at(1080));
    cr_assert_eq(fetch.nextRequest(at(1080))->host, "near");
    cr_assert_not(fetch.nextRequest(at(1081)).has_value());
    fetch.handleAnswer("near", 2, at(1200));
    cr_assert_not(fetch.nextRequest(at(1200)).has_value());
}

// Guards against waiting for a near host that does not get the newest version, for example because
// it is cut off from the leader.
Test(documentFetch, aNearHostWithoutTheVersionIsNotWaitedForLong)
{
    auto fetch = started();
    fetch.handleAnnouncement("far", Proximity::Remote, 2, at(1000));
    cr_assert_not(fetch.nextRequest(at(1200)).has_value());
    cr_assert_eq(fetch.nextRequest(at(1250))->host, "far");
}

// Guards against a host that falls behind for good while versions follow each other so quickly that
// the nearest control host never announces the newest one first.
Test(documentFetch, manyChangesDoNotStarve)
{
    auto fetch = started();
    std::uint64_t held = 1;
    int fetched = 0;
    for (int i = 0; i < 100; ++i) {
        const auto version = static_cast<std::uint64_t>(i) + 2;
        const auto now = 1000 + i * 50;
        fetch.handleAnnouncement("far", Proximity::Remote, version, at(now));
        fetch.handleAnnouncement("near", Proximity::SameDataCentre, version - 1, at(now));
        if (const auto ask = fetch.nextRequest(at(now))) {
            cr_assert_eq(ask->host, "near");
            held = version - 1;
            ++fetched;
            fetch.handleAnswer("near", held, at(now + 20));
        }
        cr_assert(held + 7 >= version, "at most 350 ms behind");
    }
    cr_assert_gt(fetched, 50);
}

// Guards against waiting for a host that was asked and does not answer, or whose connection ends.
Test(documentFetch, anotherHostIsAsked)
{
    auto fetch = started();
    for (const auto *host : {"near", "region", "far"}) {
        fetch.handleAnnouncement(host,
                                 host == std::string{"near"}     ? Proximity::SameDataCentre
                                 : host == std::string{"region"} ? Proximity::SameRegion
                                                                 : Proximity::Remote,
                                 2, at(1000));
    }
    cr_assert_eq(fetch.nextRequest(at(1000))->host, "near");
    cr_assert_not(fetch.nextRequest(at(1690)).has_value());
    cr_assert_eq(fetch.nextRequest(at(1700))->host, "region");
    fetch.handleDisconnect("region");
    cr_assert_eq(fetch.nextRequest(at(1750))->host, "far");
    fetch.handleAnswer("near", 2, at(1800));
    cr_assert_not(fetch.nextRequest(at(5000)).has_value(), "the late answer counts");
}

// Guards against giving up a whole document that arrives over a slow link, and against waiting
// without end for one that only trickles in.
Test(documentFetch, progressExtendsTheTimeUpToALimit)
{
    auto fetch = started();
    fetch.handleAnnouncement("near", Proximity::SameDataCentre, 2, at(1000));
    fetch.handleAnnouncement("region", Proximity::SameRegion, 2, at(1000));
    cr_assert_eq(fetch.nextRequest(at(1000))->host, "near");
    for (int now = 1100; now < 11000; now += 100) {
        fetch.handleProgress("near", at(now));
        cr_assert_not(fetch.nextRequest(at(now)).has_value());
    }
    fetch.handleProgress("near", at(11000));
    cr_assert_eq(fetch.nextRequest(at(11000))->host, "region");
}

// Guards against asking for the same unusable difference again and again.
Test(documentFetch, anUnusableAnswerLeadsToTheWholeDocument)
{
    auto fetch = started();
    fetch.handleAnnouncement("near", Proximity::SameDataCentre, 2, at(1000));
    cr_assert_not(fetch.nextRequest(at(1000))->wholeDocument);
    fetch.handleFailure("near", at(1100));
    cr_assert_not(fetch.nextRequest(at(1100)).has_value(), "the only one is not asked at once");
    const auto again = fetch.nextRequest(at(1600));
    cr_assert(again && again->host == "near" && again->wholeDocument);
    fetch.handleAnswer("near", 2, at(1700));
    fetch.handleAnnouncement("near", Proximity::SameDataCentre, 3, at(2000));
    cr_assert_not(fetch.nextRequest(at(2000))->wholeDocument);
}

// Guards against a starting host that waits for a control host that cannot answer, for example
// because it has just started itself, while another one has the document.
Test(documentFetch, aStartingHostTurnsToTheOneThatAnnounces)
{
    DocumentFetchScheduler fetch{1};
    cr_assert(fetch.handleConnect("silent", at(0)));
    cr_assert_not(fetch.handleConnect("other", at(5)));
    fetch.handleAnnouncement("other", Proximity::Remote, 9, at(10));
    cr_assert_not(fetch.nextRequest(at(50)).has_value());
    cr_assert_eq(fetch.nextRequest(at(100))->host, "other");
}

// Guards against all entry hosts of a data centre without a control host asking the same one.
Test(documentFetch, equallyNearHostsShareTheLoad)
{
    std::map<std::string, int> asked;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        DocumentFetchScheduler fetch{seed};
        for (const auto *host : {"a", "b", "c"}) {
            fetch.handleAnnouncement(host, Proximity::SameRegion, 1, at(0));
        }
        ++asked[fetch.nextRequest(at(0))->host];
    }
    for (const auto *host : {"a", "b", "c"}) {
        cr_assert_gt(asked[host], 60);
    }
}

// Guards against a host that misses the newest version although a control host that has it stays
// reachable, whatever else fails. Seeds 1 to 200.
Test(documentFetch, theNewestVersionIsReached)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        RandomSource random{seed};
        DocumentFetchScheduler fetch{seed};
        std::uint64_t held = 0;
        std::uint64_t newest = 1;
        std::map<std::string, int> pending;
        for (int now = 0; now < 20000; now += 20) {
            const auto host = "host-" + std::to_string(random.below(6));
            const auto quiet = now >= 15000;
            newest += !quiet && random.chance(5) ? 1 : 0;
            if (!quiet && random.chance(10)) {
                fetch.handleDisconnect(host);
            } else if (!quiet && random.chance(10)) {
                fetch.handleFailure(host, at(now));
            } else {
                fetch.handleAnnouncement(host, static_cast<Proximity>(random.below(3)),
                                         quiet ? newest : random.below(newest + 1), at(now));
            }
            if (const auto ask = fetch.nextRequest(at(now)); ask && (quiet || random.chance(70))) {
                held = std::max(held, newest);
                fetch.handleAnswer(ask->host, held, at(now));
            }
        }
        cr_assert_eq(held, newest, "seed %lu", static_cast<unsigned long>(seed));
    }
}
