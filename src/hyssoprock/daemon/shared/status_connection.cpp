#include <hyssoprock/daemon/shared/status_connection.hpp>

#include <algorithm>
#include <utility>

#include <hyssoprock/daemon/shared/endpoint_report_reader.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

StatusConnection::StatusConnection(boost::asio::io_context &context, PgTarget target)
    : context_{context}
    , target_{std::move(target)}
    , timer_{context, [this]() { expireQueued(); }}
    , alive_{std::make_shared<StatusConnection *>(this)}
{}

StatusConnection::~StatusConnection()
{
    if (connection_) {
        connection_->close();
    }
}

void StatusConnection::call(std::string sql, Duration timeout, AnswerCallback done)
{
    queue_.push_back(Call{std::move(sql), monotonicNow() + timeout, std::move(done)});
    startNextCall();
    if (!queue_.empty()) {
        timer_.set(queue_.front().deadline);
    }
}

void StatusConnection::startNextCall()
{
    if (running_ || queue_.empty()) {
        return;
    }
    running_ = std::move(queue_.front());
    queue_.pop_front();
    const auto now = monotonicNow();
    const auto remaining = std::max<Duration>(running_->deadline - now, Duration{1});
    const auto weak = std::weak_ptr{alive_};
    const auto answered = [weak](Result<PgAnswer> result) {
        if (const auto self = weak.lock()) {
            (*self)->completeCall(std::move(result));
        }
    };
    if (connection_ && connection_->isIdle()) {
        connection_->query(running_->sql, remaining, answered);
        return;
    }
    connection_ = PgConnection::create(context_, target_);
    connection_->connect(remaining, [weak, answered](const Result<void> &result) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (result.has_error()) {
            (*self)->completeCall(result.as_failure());
            return;
        }
        auto &running = *(*self)->running_;
        const auto left = std::max<Duration>(running.deadline - monotonicNow(), Duration{1});
        (*self)->connection_->query(running.sql, left, answered);
    });
}

void StatusConnection::expireQueued()
{
    // Only queued calls expire here; the connection enforces the timeout of the running call.
    const auto now = monotonicNow();
    std::vector<AnswerCallback> expired;
    while (!queue_.empty() && queue_.front().deadline <= now) {
        expired.push_back(std::move(queue_.front().done));
        queue_.pop_front();
    }
    if (!queue_.empty()) {
        timer_.set(queue_.front().deadline);
    }
    const auto weak = std::weak_ptr{alive_};
    for (const auto &done : expired) {
        if (!weak.expired()) {
            done(failure(ErrorKind::DeadlineExceeded, "the call timed out in the queue"));
        }
    }
}

void StatusConnection::completeCall(Result<PgAnswer> result)
{
    const auto done = std::move(running_->done);
    running_.reset();
    const auto weak = std::weak_ptr{alive_};
    done(std::move(result));
    if (!weak.expired()) {
        startNextCall();
    }
}

EndpointReport StatusConnection::report() const
{
    return connection_ ? readEndpointReport(*connection_) : EndpointReport{};
}

} // namespace hyssoprock
