#include <criterion/criterion.h>

#include <hyssoprock/freshness/primary_sampler.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

const Instant start{100s};

std::optional<SampleTarget> findTarget(const std::string &service)
{
    return service == "unknown" ? std::nullopt
                                : std::optional{SampleTarget{service, "d1", "10.0.0.1:1"}};
}

PositionRequest makeRequest(std::vector<std::string> services)
{
    return {1, std::move(services)};
}

} // namespace

/// Guards against load on primaries that grows with the number of entry hosts: 200 hosts before 20
/// services, each asking several times per second.
Test(primarySampler, requestsToPrimariesDoNotGrowWithTheEntryHosts)
{
    constexpr int hosts = 200;
    constexpr int services = 20;
    std::vector<std::string> names;
    for (int i = 0; i < services; ++i) {
        names.push_back("s" + std::to_string(i));
    }
    PrimarySampler sampler{250ms, findTarget};
    std::size_t asked = 0;
    for (auto now = start; now < start + 10s; now += 10ms) {
        for (int host = 0; host < hosts; host += 25) {
            (void)sampler.handleRequest(makeRequest(names), now);
        }
        for (const auto &target : sampler.takeDue(now)) {
            ++asked;
            sampler.handlePosition(target, {1, 1}, now);
        }
    }
    cr_assert_leq(asked, static_cast<std::size_t>(services) * 40);
    cr_assert_geq(asked, static_cast<std::size_t>(services) * 38);
}

/// Guards against an age that leaves out the time since the request to the primary.
Test(primarySampler, theAgeCountsFromTheRequestToThePrimary)
{
    PrimarySampler sampler{250ms, findTarget};
    cr_assert(sampler.handleRequest(makeRequest({"s"}), start).positions.empty());
    const auto due = sampler.takeDue(start);
    cr_assert_eq(due.size(), 1U);
    sampler.handlePosition(due.front(), {2, 40}, start + 5ms);
    const auto report = sampler.handleRequest(makeRequest({"s"}), start + 105ms);
    cr_assert_eq(report.positions.size(), 1U);
    const auto &known = report.positions.front();
    cr_assert_eq(known.term, 2U);
    cr_assert_eq(known.index, 40U);
    cr_assert_eq(known.ageUs, Duration{100ms}.count());
}

/// Guards against a position of a former primary that replaces that of its successor.
Test(primarySampler, positionsOfOlderTermsAreIgnored)
{
    PrimarySampler sampler{250ms, findTarget};
    (void)sampler.handleRequest(makeRequest({"s"}), start);
    const SampleTarget target{"s", "d1", "10.0.0.1:1"};
    sampler.handlePosition(target, {2, 40}, start);
    sampler.handlePosition(target, {1, 90}, start + 250ms);
    const auto report = sampler.handleRequest(makeRequest({"s"}), start + 300ms);
    cr_assert_eq(report.positions.front().term, 2U);
}

/// Guards against old positions that entry hosts cannot use, and against endless requests to a
/// primary that does not answer.
Test(primarySampler, aFailedPrimaryIsAskedAgainAfterADelay)
{
    PrimarySampler sampler{250ms, findTarget};
    (void)sampler.handleRequest(makeRequest({"s"}), start);
    const auto target = sampler.takeDue(start).front();
    cr_assert(sampler.takeDue(start + 200ms).empty());
    sampler.handleFailure(target, start + 300ms);
    cr_assert(sampler.takeDue(start + 399ms).empty());
    cr_assert_eq(sampler.takeDue(start + 400ms).size(), 1U);
    sampler.handlePosition(target, {1, 1}, start + 400ms);
    cr_assert(sampler.handleRequest(makeRequest({"s"}), start + 2500ms).positions.empty());
}

/// Guards against connections that are kept to primaries that no entry host uses.
Test(primarySampler, servicesThatNobodyRequestsAreForgotten)
{
    PrimarySampler sampler{250ms, findTarget};
    (void)sampler.handleRequest(makeRequest({"s", "unknown"}), start);
    cr_assert_eq(sampler.takeDue(start).size(), 1U);
    (void)sampler.handleRequest(makeRequest({"s"}), start + 2s);
    cr_assert(sampler.takeUnused(start + 2900ms).empty());
    const auto unused = sampler.takeUnused(start + 3s);
    cr_assert_eq(unused.size(), 1U);
    cr_assert_eq(unused.front(), "unknown");
    cr_assert_eq(sampler.takeUnused(start + 5s).size(), 1U);
    cr_assert(!sampler.nextDeadline());
}
