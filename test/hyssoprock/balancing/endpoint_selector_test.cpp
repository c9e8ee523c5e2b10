#include <criterion/criterion.h>

#include "selection_model.hpp"

using namespace hyssoprock;
using namespace std::chrono_literals;
using test::SelectionFigures;
using test::SelectionModel;
using test::SelectionScenario;

namespace {

SelectionFigures runModel(const SelectionScenario &scenario)
{
    return SelectionModel{scenario, 1}.run(60);
}

/// Share of endpoint 0 in the work of some seconds.
double shareOfFirst(const SelectionFigures &figures, std::size_t from, std::size_t to)
{
    std::int64_t first = 0;
    std::int64_t all = 0;
    for (auto i = from; i < to; ++i) {
        first += figures.work[i][0];
        all += figures.work[i][0] + figures.work[i][1] + figures.work[i][2];
    }
    return static_cast<double>(first) / static_cast<double>(all);
}

void expectEven(const SelectionScenario &scenario, double refused, double busiest)
{
    const auto figures = runModel(scenario);
    const auto age = static_cast<int>(scenario.age / 1ms);
    cr_log_info("%zu hosts, age %d ms: refused %.2f%% busiest %.2f remote %.1f%% oscillation %.3f "
                "p99 %d ms",
                scenario.hosts, age, figures.refused, figures.busiest, figures.remote,
                figures.oscillation, static_cast<int>(figures.p99 / 1ms));
    cr_expect(figures.refused <= refused, "age %d ms: refused %.2f%%", age, figures.refused);
    cr_expect(figures.busiest <= busiest, "age %d ms: busiest %.2f", age, figures.busiest);
    cr_expect(figures.remote <= 25, "age %d ms: remote %.1f%%", age, figures.remote);
    cr_expect(figures.oscillation <= 0.14, "age %d ms: oscillation %.3f", age, figures.oscillation);
    cr_expect(figures.p99 <= 150ms, "age %d ms: p99", age);
}

} // namespace

/// Guards against bursts of one region that overload its endpoint while the others idle. Without
/// moved reads the busiest endpoint has 1.8 times the mean load.
Test(endpoint_selector, burstsAreSpreadByOutdatedInformation)
{
    for (const auto hosts : {std::size_t{27}, std::size_t{66}}) {
        for (const auto age : {50ms, 500ms, 2000ms}) {
            expectEven({hosts, 200, age, 4}, 0.5, 1.5);
            expectEven({hosts, 400, age, 2}, 0.5, 1.5);
        }
    }
}

/// Guards against traffic to other regions that no load requires.
Test(endpoint_selector, readsStayNearWithoutCongestion)
{
    for (const auto age : {50ms, 2000ms}) {
        const auto figures = runModel({27, 80, age, 1});
        cr_log_info("remote %.1f%%", figures.remote);
        cr_expect(figures.remote <= 3, "remote %.1f%%", figures.remote);
        cr_expect(figures.refused <= 0);
    }
}

/// Guards against reads that wait at an endpoint 5 times as slow, and against an endpoint that gets
/// no work after it has recovered.
Test(endpoint_selector, aSlowEndpointIsLeftUntilItRecovers)
{
    for (const auto age : {50ms, 500ms}) {
        const auto figures = runModel({27, 120, age, 2, 30s});
        cr_log_info("refused %.2f%% p99 %d ms, after %.2f", figures.refused,
                    static_cast<int>(figures.p99 / 1ms), shareOfFirst(figures, 35, 60));
        cr_expect(figures.refused <= 0.5, "refused %.2f%%", figures.refused);
        cr_expect(figures.p99 <= 400ms);
        cr_expect(shareOfFirst(figures, 35, 60) >= 0.45);
    }
}

/// Guards against reads that are offered to an endpoint that refuses all of them, and against one
/// that gets no work, or all work at once, after it has returned.
Test(endpoint_selector, anEndpointThatRefusesAllIsLeftUntilItReturns)
{
    const auto figures = runModel({27, 120, 50ms, 2, {}, 30s});
    cr_log_info("refused %.2f%%, after %.2f", figures.refused, shareOfFirst(figures, 40, 60));
    cr_expect(figures.refused <= 7, "refused %.2f%%", figures.refused);
    cr_expect(shareOfFirst(figures, 40, 60) >= 0.45);
}

/// Guards against an endpoint that is chosen for its own low latency although another one at the
/// same distance is much faster.
Test(endpoint_selector, theExpectedLatencyIsThatOfTheFastestEndpoint)
{
    EndpointLoad slow;
    slow.recordAnswer(75ms, 75ms, Instant{1s});
    cr_assert(EndpointSelector::expectedLatency(slow, 0ms, 15ms) == 15ms);
    cr_assert(EndpointSelector::expectedLatency(slow, 60ms, 15ms) == 30ms);
    cr_assert(EndpointSelector::expectedLatency(slow, 60ms, std::nullopt) == 75ms);
    cr_assert(!EndpointSelector::expectedLatency(EndpointLoad{}, 0ms, std::nullopt));
}
