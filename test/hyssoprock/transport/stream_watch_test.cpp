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

// Guards against a peer that sends one byte at a time and so holds a connection forever.
Test(streamWatch, bytesThatTrickleInDoNotExtendAFrame)
{
    StreamWatch watch{limits};
    watch.received(true, true, at(0));
    for (int second = 1; second < 10; ++second) {
        watch.received(false, true, at(second));
        cr_assert(watch.check(at(second)).has_value());
    }
    cr_assert(watch.check(at(10)).error().kind == ErrorKind::DeadlineExceeded);
}

// Guards against closing a busy connection whose every read ends in the middle of a later frame.
Test(streamWatch, eachFrameHasItsOwnDeadline)
{
    StreamWatch watch{limits};
    watch.received(true, true, at(0));
    watch.received(true, true, at(9));
    cr_assert(watch.check(at(18)).has_value());
    cr_assert(watch.check(at(19)).has_error());
}

// Guards against closing an idle connection: a peer that owes nothing has no deadline.
Test(streamWatch, anIdlePeerHasNoDeadline)
{
    StreamWatch watch{limits};
    watch.received(true, false, at(0));
    cr_assert_not(watch.nextDeadline().has_value());
    cr_assert(watch.queued(10, at(1)).has_value());
    watch.written(10, at(2));
    cr_assert_not(watch.nextDeadline().has_value());
}

// Guards against a peer that stops reading while answers pile up.
Test(streamWatch, aPeerThatTakesNothingIsClosed)
{
    StreamWatch watch{limits};
    cr_assert(watch.queued(600, at(0)).has_value());
    cr_assert(watch.queued(401, at(1)).error().kind == ErrorKind::MessageTooLarge);
    cr_assert(watch.check(at(4)).has_value());
    watch.written(1, at(4));
    cr_assert(watch.check(at(8)).has_value());
    cr_assert(watch.check(at(9)).has_error());
}
