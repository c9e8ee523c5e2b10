#include <hyssoprock/load/load_runner.hpp>

#include <chrono>
#include <utility>

namespace hyssoprock::load {

namespace {

constexpr std::chrono::milliseconds scheduleInterval{1};
constexpr std::chrono::milliseconds drainPollInterval{20};
/// Longer than a session's response timeout, so that sessions time out before draining ends.
constexpr std::chrono::seconds drainTimeout{30};
constexpr std::chrono::seconds finalReadTimeout{30};
constexpr std::chrono::milliseconds finalReadRetryDelay{200};
/// Several probe sessions per group, so that a single blocked session is not measured as a gap.
constexpr std::uint32_t probeSessionsPerGroupCount = 4;
constexpr std::int64_t microsecondsPerSecond = 1000000;

} // namespace

LoadRunner::LoadRunner(boost::asio::io_context &context, LoadSettings settings)
    : context_{context}
    , settings_{std::move(settings)}
    , random_{settings_.seed}
    , scheduleTimer_{context}
    , probeTimer_{context}
{
    for (std::uint32_t i = 0; i < settings_.sessionCount; ++i) {
        sessions_.push_back(std::make_shared<LoadSession>(context_, settings_, i, "s"));
        idleSessions_.push_back(i);
    }
    const auto groupCount = static_cast<std::uint32_t>(settings_.groups.size());
    for (std::uint32_t i = 0; i < groupCount; ++i) {
        auto &group = groups_[settings_.groups[i]];
        for (std::uint32_t k = 0; k < probeSessionsPerGroupCount; ++k) {
            group.probeSessions.push_back(
                std::make_shared<LoadSession>(context_, settings_, i + groupCount * k, "probe"));
        }
    }
}

void LoadRunner::start()
{
    startedAt_ = clockNow();
    report_.startedUnixMs =
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                       std::chrono::system_clock::now().time_since_epoch())
                                       .count());
    timeline_.emplace(startedAt_, std::chrono::seconds{settings_.durationSeconds});
    for (auto &[name, group] : groups_) {
        group.gap = FailoverGap{startedAt_};
    }
    scheduleRequests();
    sendProbes();
}

void LoadRunner::scheduleRequests()
{
    const auto elapsed = clockNow() - startedAt_;
    if (elapsed >= std::chrono::seconds{settings_.durationSeconds}) {
        schedulingEnded_ = true;
        endedAt_ = clockNow();
        drainDeadline_ = endedAt_ + drainTimeout;
        drain();
        return;
    }
    const auto dueCount = static_cast<std::uint64_t>(elapsed.count() * settings_.requestsPerSecond
                                                     / microsecondsPerSecond);
    for (; scheduledCount_ < dueCount; ++scheduledCount_) {
        const auto offset = static_cast<std::int64_t>(scheduledCount_) * microsecondsPerSecond
                            / settings_.requestsPerSecond;
        queuedRequests_.push_back(startedAt_ + Duration{offset});
    }
    startQueuedRequests();
    scheduleTimer_.expires_after(scheduleInterval);
    scheduleTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            scheduleRequests();
        }
    });
}

void LoadRunner::startQueuedRequests()
{
    while (!queuedRequests_.empty() && !idleSessions_.empty()) {
        const auto index = random_.below(idleSessions_.size());
        std::swap(idleSessions_[index], idleSessions_.back());
        const auto session = idleSessions_.back();
        idleSessions_.pop_back();
        const auto scheduledAt = queuedRequests_.front();
        queuedRequests_.pop_front();
        startRequest(session, scheduledAt);
    }
}

void LoadRunner::startRequest(std::uint32_t session, Instant scheduledAt)
{
    ++inFlightCount_;
    timeline_->recordActiveSessions(sessions_.size() - idleSessions_.size(), clockNow());
    const auto operation = chooseOperation(settings_, session, random_);
    sessions_[session]->execute(operation,
                                [this, session, scheduledAt](const OperationResult &result) {
                                    --inFlightCount_;
                                    idleSessions_.push_back(session);
                                    recordResult(result, scheduledAt);
                                    if (!schedulingEnded_) {
                                        startQueuedRequests();
                                    }
                                });
}

void LoadRunner::recordResult(const OperationResult &result, Instant scheduledAt)
{
    report_.add(result, result.record.respondedAt - scheduledAt);
    timeline_->add(result, result.record.respondedAt - scheduledAt);
    checker_.add(result.record);
}

void LoadRunner::sendProbes()
{
    if (schedulingEnded_) {
        return;
    }
    for (auto &[name, group] : groups_) {
        for (const auto &session : group.probeSessions) {
            if (session->isBusy()) {
                continue;
            }
            ++inFlightCount_;
            Operation operation;
            operation.kind = RequestKind::Write;
            session->execute(operation, [this, target = &group,
                                         scheduledAt = clockNow()](const OperationResult &result) {
                --inFlightCount_;
                if (result.record.outcome == Outcome::Done && !schedulingEnded_) {
                    timeline_->recordGap(result.record.group, target->gap.lastAcknowledgedAt(),
                                         result.record.respondedAt);
                    target->gap.recordAcknowledgement(result.record.respondedAt);
                    ++report_.groups[result.record.group].acknowledgedProbes;
                }
                recordResult(result, scheduledAt);
            });
            break;
        }
    }
    probeTimer_.expires_after(std::chrono::milliseconds{settings_.probeIntervalMs});
    probeTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            sendProbes();
        }
    });
}

void LoadRunner::stopSession(LoadSession &session)
{
    if (session.isBusy()) {
        checker_.add(session.abandon());
    } else {
        session.close();
    }
}

void LoadRunner::drain()
{
    if (inFlightCount_ == 0 || clockNow() >= drainDeadline_) {
        report_.unfinished = inFlightCount_;
        report_.unsent = queuedRequests_.size();
        for (const auto &session : sessions_) {
            stopSession(*session);
        }
        for (auto &[name, group] : groups_) {
            for (const auto &session : group.probeSessions) {
                stopSession(*session);
            }
        }
        readFinalRows();
        return;
    }
    scheduleTimer_.expires_after(drainPollInterval);
    scheduleTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            drain();
        }
    });
}

void LoadRunner::readFinalRows()
{
    drainDeadline_ = clockNow() + finalReadTimeout;
    unreadGroupCount_ = groups_.size();
    for (auto &[name, group] : groups_) {
        report_.groups[name].longestWriteGap = group.gap.longest(endedAt_);
        timeline_->recordGap(name, group.gap.lastAcknowledgedAt(), endedAt_);
        startGroupRead(name);
    }
}

void LoadRunner::startGroupRead(const std::string &name)
{
    auto &group = groups_.at(name);
    group.reader = std::make_shared<PgConnection>(context_, finalReadTimeout);
    const auto &entryAddress =
        settings_.entryAddresses[group.readerEntryIndex++ % settings_.entryAddresses.size()];
    group.reader->connect(
        connectionString(entryAddress, name, "checker"), [this, name](const std::string &error) {
            if (!error.empty()) {
                retryGroupRead(name);
                return;
            }
            groups_.at(name).reader->query(
                readAllStatement(settings_), [this, name](const QueryResult &result) {
                    if (classifyOutcome(result) != Outcome::Done) {
                        retryGroupRead(name);
                        return;
                    }
                    finalRows_[name] = parseRows(result);
                    report_.groups[name].finalRowCount = finalRows_[name].size();
                    report_.groups[name].finalRowsRead = true;
                    finishGroupRead(name);
                });
        });
}

void LoadRunner::retryGroupRead(const std::string &name)
{
    if (clockNow() >= drainDeadline_) {
        finishGroupRead(name);
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, finalReadRetryDelay);
    timer->async_wait([this, name, timer](const boost::system::error_code &error) {
        if (!error) {
            startGroupRead(name);
        }
    });
}

void LoadRunner::finishGroupRead(const std::string &name)
{
    groups_.at(name).reader->close();
    if (--unreadGroupCount_ == 0) {
        completeReport();
    }
}

void LoadRunner::completeReport()
{
    report_.violations = checker_.checkAll(finalRows_);
    report_.intervals = timeline_->intervals();
    report_.interval = timeline_->interval();
    report_.gaps = timeline_->gaps();
}

} // namespace hyssoprock::load
