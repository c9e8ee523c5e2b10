#include <criterion/criterion.h>

#include <hyssoprock/transport/stream_watch.hpp>

using namespace hyssoprock;

namespace {

constexpr StreamLimits limits{std::chrono::seconds{10}, std::chrono::seconds{5}, 1000};

Instant at(int seconds)
{
    return Instant{std::chrono::seconds{seconds}};
}

} // namespace

// Guards against a peer that keeps a connection open by sending one byte at a time.
Test(streamWatch, slowBytesDoNotExtendTheFrameDeadline)
{
    StreamWatch watch{limits};
    watch.recordReceived(true, true, at(0));
    for (int second = 1; second < 10; ++second) {
        watch.recordReceived(false, true, at(second));
        cr_assert(watch.check(at(second)).has_value());
    }
    cr_assert(watch.check(at(10)).error().kind == ErrorKind::DeadlineExceeded);
}

// Guards against closing an active connection on which each read ends inside a new frame.
Test(streamWatch, eachFrameHasItsOwnDeadline)
{
    StreamWatch watch{limits};
    watch.recordReceived(true, true, at(0));
    watch.recordReceived(true, true, at(9));
    cr_assert(watch.check(at(18)).has_value());
    cr_assert(watch.check(at(19)).has_error());
}

// Guards against closing an idle connection: without a partial frame or queued data there is no
// deadline.
Test(streamWatch, idlePeerHasNoDeadline)
{
    StreamWatch watch{limits};
    watch.recordReceived(true, false, at(0));
    cr_assert_not(watch.nextDeadline().has_value());
    cr_assert(watch.recordQueued(10, at(1)).has_value());
    watch.recordWritten(10, at(2));
    cr_assert_not(watch.nextDeadline().has_value());
}

// Guards against unbounded buffering for a peer that has stopped reading.
Test(streamWatch, peerThatStopsReadingIsDetected)
{
    StreamWatch watch{limits};
    cr_assert(watch.recordQueued(600, at(0)).has_value());
    cr_assert(watch.recordQueued(401, at(1)).error().kind == ErrorKind::MessageTooLarge);
    cr_assert(watch.check(at(4)).has_value());
    watch.recordWritten(1, at(4));
    cr_assert(watch.check(at(8)).has_value());
    cr_assert(watch.check(at(9)).has_error());
}
