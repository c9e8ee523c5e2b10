#include <hyssoprock/daemon/entry/endpoint_prober.hpp>

#include <utility>

#include <hyssoprock/daemon/shared/endpoint_sql.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

EndpointProber::EndpointProber(boost::asio::io_context &context, std::string endpoint,
                               PgTarget target, const LeaseSettings &settings, Handlers handlers)
    : endpoint_{std::move(endpoint)}
    , address_{target.address}
    , settings_{settings}
    , handlers_{std::move(handlers)}
    , lastAnswerAt_{monotonicNow()}
    , connection_{std::make_unique<StatusConnection>(context, std::move(target))}
    , timer_{context, [this]() { probe(); }}
{
    evidence_.endpoint = endpoint_;
    timer_.set(monotonicNow());
}

void EndpointProber::probe()
{
    const auto now = monotonicNow();
    timer_.set(now + settings_.probeInterval);
    if (now - lastAnswerAt_ >= settings_.evidence && !silenceReported_) {
        silenceReported_ = true;
        handlers_.silent();
    }
    if (connection_->pendingCount() > 0) {
        return;
    }
    connection_->call(toSql(StatusCall{}), settings_.callTimeout,
                      [this, now](const Result<PgAnswer> &answer) { handleAnswer(answer, now); });
}

void EndpointProber::handleAnswer(const Result<PgAnswer> &answer, Instant sent)
{
    const auto status = answer.has_value() ? parseAnswer(StatusCall{}, answer.value())
                                           : Result<EndpointCallResponse>{answer.as_failure()};
    if (status.has_error()) {
        evidence_.reachable = false;
        return;
    }
    lastAnswerAt_ = monotonicNow();
    silenceReported_ = false;
    evidence_.reachable = true;
    evidence_.role = status.value().role;
    evidence_.term = status.value().term;
    evidence_.position = status.value().position;
    // The status row contains the end of the log, the ParameterStatus values the position that
    // reads see.
    handlers_.answered(connection_->report(), sent);
}

FailureEvidence EndpointProber::evidence() const
{
    auto evidence = evidence_;
    evidence.silentForMs =
        static_cast<std::uint64_t>(toMilliseconds(monotonicNow() - lastAnswerAt_));
    return evidence;
}

} // namespace hyssoprock
