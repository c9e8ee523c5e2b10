#include <string>
#include <vector>

#include <criterion/criterion.h>

#include <hyssoprock/limits/statement_queue.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

constexpr Instant start{1h};

WaitingStatement waiting(std::uint64_t id, std::string team, std::uint32_t routePriority = 0,
                         std::uint32_t teamPriority = 0, Duration wait = 700ms)
{
    return {id, std::move(team), routePriority, teamPriority, start + wait, true};
}

using Ids = std::vector<std::uint64_t>;

/// Takes the first statement of the order, as often as given.
Ids serve(StatementQueue &queue, std::size_t count, Instant now = start)
{
    Ids served;
    for (std::size_t i = 0; i < count; ++i) {
        served.push_back(queue.fairOrder().front());
        queue.take(served.back(), now);
    }
    return served;
}

} // namespace

// Guards against an order that ignores a priority, the deadlines of a team or the turns of teams.
Test(statementQueue, ordersByPrioritiesTurnsAndDeadline)
{
    StatementQueue queue;
    queue.push(waiting(1, "a", 1));
    queue.push(waiting(2, "a", 0, 1));
    queue.push(waiting(3, "a", 0, 0, 300ms));
    queue.push(waiting(4, "a", 0, 0, 200ms));
    queue.push(waiting(5, "b", 0, 0, 500ms));
    const auto order = queue.fairOrder();
    cr_assert((order == Ids{4, 5, 3, 2, 1}));
    cr_assert(serve(queue, 5) == order, "the order holds while statements are served");
    cr_assert(queue.empty());
}

// Guards against starvation of lower priorities while higher ones always have statements waiting.
Test(statementQueue, eachLowerPriorityHasOneTurnOfEight)
{
    StatementQueue queue;
    for (std::uint64_t id = 1; id <= 300; ++id) {
        const auto priority = static_cast<std::uint32_t>(id % 3);
        queue.push(waiting(id, "a", priority, id % 2 == 0 ? 1 : 0));
    }
    const auto order = queue.fairOrder();
    const auto served = serve(queue, 120);
    cr_assert(std::equal(served.begin(), served.end(), order.begin()));
    std::size_t counts[3][2] = {};
    for (std::size_t i = 0; i < served.size(); ++i) {
        ++counts[served[i] % 3][served[i] % 2 == 0 ? 1 : 0];
        if ((i + 1) % 8 == 0) {
            for (std::size_t priority = 1; priority <= 2; ++priority) {
                cr_assert_geq(counts[priority][0] + counts[priority][1], (i + 1) / 8,
                              "priority %zu after %zu turns", priority, i + 1);
            }
        }
    }
    cr_assert_eq(counts[0][0] + counts[0][1], 90);
    cr_assert_geq(counts[0][1], 90 / 8, "the lower priority of a team");
}

// Guards against a team with many statements that delays the others.
Test(statementQueue, aFloodingTeamDelaysOthersByOneTurn)
{
    StatementQueue queue;
    for (std::uint64_t id = 1; id <= 200; ++id) {
        queue.push(waiting(id, "flood", 0, 0, 100ms));
    }
    queue.push(waiting(201, "a"));
    queue.push(waiting(202, "b"));
    queue.push(waiting(203, "a"));
    cr_assert((serve(queue, 5) == Ids{1, 201, 202, 2, 203}));
}

// Guards against a full queue in which one team leaves no room for the others, and against
// displacing a statement that may have run.
Test(statementQueue, theNewestOfTheLongestTeamIsDisplaced)
{
    StatementQueue queue{4};
    for (std::uint64_t id = 1; id <= 3; ++id) {
        cr_assert_eq(queue.offer(waiting(id, "flood"), start).kind, ErrorKind::None);
    }
    auto sent = waiting(4, "flood");
    sent.mayBeRefused = false;
    cr_assert_eq(queue.offer(sent, start).kind, ErrorKind::None);
    cr_assert_eq(queue.offer(waiting(5, "flood"), start).kind, ErrorKind::QueueFull);
    const auto result = queue.offer(waiting(6, "quiet"), start);
    cr_assert_eq(result.kind, ErrorKind::None);
    cr_assert_eq(result.displaced.value(), 3);
    cr_assert_eq(queue.size(), 4);
    cr_assert_eq(queue.waitingOf("flood"), 3);
    cr_assert(queue.contains(4));
}

// Guards against statements that wait although they cannot start in time, and against refusing
// those that can: of a lower priority by its share of the turns, or after a stall.
Test(statementQueue, refusesWhatCannotStartInTime)
{
    StatementQueue queue;
    for (std::uint64_t id = 1; id <= 120; ++id) {
        cr_assert_eq(queue.offer(waiting(id, "a", 0, 0, 2s), start).kind, ErrorKind::None);
    }
    auto now = start + 1s;
    for (auto i = 0; i < 20; ++i) {
        now += i == 10 ? 900ms : 10ms;
        serve(queue, 1, now);
    }
    // 100 statements wait, and one is served in each 10 ms.
    const auto with = [&](std::string team, std::uint32_t priority, Duration wait) {
        return WaitingStatement{500, std::move(team), priority, 0, now + wait, true};
    };
    cr_assert_eq(queue.estimatedWait(with("a", 0, 2s)), 1s);
    cr_assert_eq(queue.offer(with("a", 0, 900ms), now).kind, ErrorKind::DeadlineExceeded);
    cr_assert_eq(queue.offer(with("a", 0, 1100ms), now).kind, ErrorKind::None);
    queue.remove(500);
    const auto late = with("a", 1, 40ms);
    cr_assert_eq(queue.offer(late, now).kind, ErrorKind::DeadlineExceeded);
    cr_assert_eq(queue.retryAfter(late, now), 30ms, "of 70 ms");
    cr_assert_eq(queue.offer(with("a", 1, 80ms), now).kind, ErrorKind::None);
    queue.remove(500);
    cr_assert_eq(queue.offer(with("b", 0, 20ms), now).kind, ErrorKind::None);
    queue.remove(500);
    serve(queue, 100, now);
    queue.push(waiting(1, "a"));
    cr_assert_eq(queue.estimatedWait(with("a", 0, 1s)), 0s, "the rate of a former queue");
}

// Guards against serving a statement whose caller has disconnected.
Test(statementQueue, removedStatementsAreNotInTheOrder)
{
    StatementQueue queue;
    queue.push(waiting(1, "a"));
    queue.push(waiting(2, "a", 1));
    cr_assert(queue.remove(1));
    cr_assert_not(queue.remove(1));
    cr_assert_not(queue.take(1, start));
    cr_assert((queue.fairOrder() == Ids{2}));
    cr_assert((queue.priorityOrder() == Ids{2}));
}
