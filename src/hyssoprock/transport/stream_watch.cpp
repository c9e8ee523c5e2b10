#include <hyssoprock/transport/stream_watch.hpp>

#include <algorithm>

namespace hyssoprock {

void StreamWatch::recordReceived(bool frameStarted, bool hasPartialFrame, Instant now) noexcept
{
    if (!hasPartialFrame) {
        frameDeadline_.reset();
    } else if (frameStarted || !frameDeadline_) {
        frameDeadline_ = now + limits_.frameTimeout;
    }
}

Result<void> StreamWatch::recordQueued(std::size_t bytes, Instant now)
{
    if (bytes > limits_.outputBytesMax - std::min(outputBytes_, limits_.outputBytesMax)) {
        return failure(ErrorKind::MessageTooLarge,
                       "the peer reads too slowly: " + std::to_string(outputBytes_)
                           + " bytes are queued");
    }
    if (outputBytes_ == 0) {
        writeDeadline_ = now + limits_.writeTimeout;
    }
    outputBytes_ += bytes;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void StreamWatch::recordWritten(std::size_t bytes, Instant now) noexcept
{
    outputBytes_ -= std::min(bytes, outputBytes_);
    if (outputBytes_ == 0) {
        writeDeadline_.reset();
    } else {
        writeDeadline_ = now + limits_.writeTimeout;
    }
}

std::optional<Instant> StreamWatch::nextDeadline() const noexcept
{
    if (frameDeadline_ && writeDeadline_) {
        return std::min(*frameDeadline_, *writeDeadline_);
    }
    return frameDeadline_ ? frameDeadline_ : writeDeadline_;
}

Result<void> StreamWatch::check(Instant now) const
{
    if (frameDeadline_ && now >= *frameDeadline_) {
        return failure(ErrorKind::DeadlineExceeded, "the peer did not finish a frame in time");
    }
    if (writeDeadline_ && now >= *writeDeadline_) {
        return failure(ErrorKind::DeadlineExceeded,
                       "the peer does not read the data queued for it");
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace hyssoprock
