#include <map>
#include <string>

#include <criterion/criterion.h>

#include <hyssoprock/limits/admission_queue.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

constexpr Instant start{1h};

} // namespace

// Guards against a burst of one caller that starves another.
Test(admissionQueue, callersAreServedInTurn)
{
    AdmissionQueue queue{100};
    for (std::uint64_t id = 1; id <= 50; ++id) {
        cr_assert_eq(queue.offer({id, "busy", start + 1s}, start).kind, ErrorKind::None);
    }
    cr_assert_eq(queue.offer({51, "quiet", start + 1s}, start).kind, ErrorKind::None);
    cr_assert_eq(queue.take(start).value(), 1);
    cr_assert_eq(queue.take(start).value(), 51);
    cr_assert_eq(queue.take(start).value(), 2);
    cr_assert_eq(queue.size(), 48);
}

// Guards against a full queue that refuses callers without any request in it.
Test(admissionQueue, theLongestCallerGivesWayWhenFull)
{
    AdmissionQueue queue{4};
    for (std::uint64_t id = 1; id <= 4; ++id) {
        cr_assert_eq(queue.offer({id, "busy", start + 1s}, start).kind, ErrorKind::None);
    }
    cr_assert_eq(queue.offer({5, "busy", start + 1s}, start).kind, ErrorKind::QueueFull);
    const auto result = queue.offer({6, "quiet", start + 1s}, start);
    cr_assert_eq(result.kind, ErrorKind::None);
    cr_assert_eq(result.displaced.value(), 4);
    cr_assert_eq(queue.size(), 4);
}

// Guards against queueing a request that cannot start before its deadline.
Test(admissionQueue, refusesWhatCannotStartInTime)
{
    AdmissionQueue queue{100};
    queue.setServerCount(1);
    queue.recordServiceTime(100ms);
    for (std::uint64_t id = 1; id <= 3; ++id) {
        cr_assert_eq(queue.offer({id, "a", start + 250ms}, start).kind, ErrorKind::None);
    }
    cr_assert_eq(queue.offer({4, "a", start + 250ms}, start).kind, ErrorKind::DeadlineExceeded);
    cr_assert_eq(queue.offer({5, "b", start + 250ms}, start).kind, ErrorKind::None);
    cr_assert_eq(queue.offer({6, "b", start}, start).kind, ErrorKind::DeadlineExceeded);
}

// Guards against running a request that was already reported as not run.
Test(admissionQueue, expiredRequestsAreNeverTaken)
{
    AdmissionQueue queue{100};
    cr_assert_eq(queue.offer({1, "a", start + 10ms}, start).kind, ErrorKind::None);
    cr_assert_eq(queue.offer({2, "a", start + 30ms}, start).kind, ErrorKind::None);
    cr_assert_eq(queue.nextDeadline().value(), start + 10ms);
    cr_assert_eq(queue.take(start + 10ms).value(), 2);
    const auto expired = queue.expire(start + 10ms);
    cr_assert_eq(expired.size(), 1);
    cr_assert_eq(expired.front(), 1);
    cr_assert(queue.empty());
}

// Guards against running a request whose caller has disconnected.
Test(admissionQueue, removedRequestsAreNeverTaken)
{
    AdmissionQueue queue{100};
    cr_assert_eq(queue.offer({1, "a", start + 1s}, start).kind, ErrorKind::None);
    cr_assert(queue.remove(1));
    cr_assert_not(queue.remove(1));
    cr_assert_not(queue.take(start).has_value());
}
