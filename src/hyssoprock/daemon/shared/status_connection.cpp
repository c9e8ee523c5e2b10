#include <hyssoprock/daemon/shared/status_connection.hpp>

#include <algorithm>
#include <utility>

#include <hyssoprock/daemon/shared/endpoint_report_reader.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

StatusConnection::StatusConnection(boost::asio::io_context &context, PgTarget target)
    : context_{context}
    , target_{std::move(target)}
    , timer_{context, [this]() { expire(); }}
    , alive_{std::make_shared<StatusConnection *>(this)}
{}

StatusConnection::~StatusConnection()
{
    if (connection_) {
        connection_->close();
    }
}

void StatusConnection::call(std::string sql, Duration timeout, Done done)
{
    waiting_.push_back(Call{std::move(sql), monotonicNow() + timeout, std::move(done)});
    next();
    if (!waiting_.empty()) {
        timer_.set(waiting_.front().deadline);
    }
}

void StatusConnection::next()
{
    if (running_ || waiting_.empty()) {
        return;
    }
    running_ = std::move(waiting_.front());
    waiting_.pop_front();
    const auto now = monotonicNow();
    const auto remaining = std::max<Duration>(running_->deadline - now, Duration{1});
    const auto weak = std::weak_ptr{alive_};
    const auto answered = [weak](Result<PgAnswer> result) {
        if (const auto self = weak.lock()) {
            (*self)->finish(std::move(result));
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
            (*self)->finish(result.as_failure());
            return;
        }
        auto &running = *(*self)->running_;
        const auto left = std::max<Duration>(running.deadline - monotonicNow(), Duration{1});
        (*self)->connection_->query(running.sql, left, answered);
    });
}

void StatusConnection::expire()
{
    // Only calls that wait behind others end here; a running one is timed by its connection.
    const auto now = monotonicNow();
    std::vector<Done> expired;
    while (!waiting_.empty() && waiting_.front().deadline <= now) {
        expired.push_back(std::move(waiting_.front().done));
        waiting_.pop_front();
    }
    if (!waiting_.empty()) {
        timer_.set(waiting_.front().deadline);
    }
    const auto weak = std::weak_ptr{alive_};
    for (const auto &done : expired) {
        if (!weak.expired()) {
            done(failure(ErrorKind::DeadlineExceeded, "the call waited too long for its turn"));
        }
    }
}

void StatusConnection::finish(Result<PgAnswer> result)
{
    const auto done = std::move(running_->done);
    running_.reset();
    const auto weak = std::weak_ptr{alive_};
    done(std::move(result));
    if (!weak.expired()) {
        next();
    }
}

EndpointReport StatusConnection::report() const
{
    return connection_ ? readEndpointReport(*connection_) : EndpointReport{};
}

} // namespace hyssoprock
