#include <hyssoprock/load/load_runner.hpp>

#include <chrono>
#include <utility>

namespace hyssoprock::load {

namespace {

constexpr std::chrono::milliseconds tickInterval{1};
constexpr std::chrono::milliseconds drainInterval{20};
/// Longer than the time after which a session gives up on an answer.
constexpr std::chrono::seconds drainTimeout{30};
constexpr std::chrono::seconds finalReadTimeout{30};
constexpr std::chrono::milliseconds finalReadRetry{200};
/// Several probe sessions per group, so that one that hangs does not look like a gap.
constexpr std::uint32_t probesPerGroup = 4;
constexpr std::int64_t microsPerSecond = 1000000;

} // namespace

LoadRunner::LoadRunner(boost::asio::io_context &context, LoadSettings settings)
    : context_{context}
    , settings_{std::move(settings)}
    , random_{settings_.seed}
    , tickTimer_{context}
    , probeTimer_{context}
{
    for (std::uint32_t i = 0; i < settings_.sessions; ++i) {
        sessions_.push_back(std::make_shared<LoadSession>(context_, settings_, i, "s"));
        free_.push_back(i);
    }
    const auto groupCount = static_cast<std::uint32_t>(settings_.groups.size());
    for (std::uint32_t i = 0; i < groupCount; ++i) {
        auto &group = groups_[settings_.groups[i]];
        for (std::uint32_t k = 0; k < probesPerGroup; ++k) {
            group.probes.push_back(
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
    timeline_.emplace(startedAt_, std::chrono::seconds{settings_.seconds});
    for (auto &[name, group] : groups_) {
        group.gap = FailoverGap{startedAt_};
    }
    tick();
    probe();
}

void LoadRunner::tick()
{
    const auto elapsed = clockNow() - startedAt_;
    if (elapsed >= std::chrono::seconds{settings_.seconds}) {
        ended_ = true;
        endedAt_ = clockNow();
        drainDeadline_ = endedAt_ + drainTimeout;
        drain();
        return;
    }
    const auto due = static_cast<std::uint64_t>(elapsed.count() * settings_.rate / microsPerSecond);
    for (; arrivals_ < due; ++arrivals_) {
        const auto offset = static_cast<std::int64_t>(arrivals_) * microsPerSecond / settings_.rate;
        waiting_.push_back(startedAt_ + Duration{offset});
    }
    startWaiting();
    tickTimer_.expires_after(tickInterval);
    tickTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void LoadRunner::startWaiting()
{
    while (!waiting_.empty() && !free_.empty()) {
        const auto at = random_.below(free_.size());
        std::swap(free_[at], free_.back());
        const auto session = free_.back();
        free_.pop_back();
        const auto scheduledAt = waiting_.front();
        waiting_.pop_front();
        launch(session, scheduledAt);
    }
}

void LoadRunner::launch(std::uint32_t session, Instant scheduledAt)
{
    ++inFlight_;
    timeline_->noteSessions(sessions_.size() - free_.size(), clockNow());
    const auto step = chooseStep(settings_, session, random_);
    sessions_[session]->run(step, [this, session, scheduledAt](const StepResult &result) {
        --inFlight_;
        free_.push_back(session);
        finished(result, scheduledAt);
        if (!ended_) {
            startWaiting();
        }
    });
}

void LoadRunner::finished(const StepResult &result, Instant scheduledAt)
{
    report_.add(result, result.record.answeredAt - scheduledAt);
    timeline_->add(result, result.record.answeredAt - scheduledAt);
    checker_.add(result.record);
}

void LoadRunner::probe()
{
    if (ended_) {
        return;
    }
    for (auto &[name, group] : groups_) {
        for (const auto &session : group.probes) {
            if (session->busy()) {
                continue;
            }
            ++inFlight_;
            Step step;
            step.kind = RequestKind::Write;
            session->run(
                step, [this, target = &group, scheduledAt = clockNow()](const StepResult &result) {
                    --inFlight_;
                    if (result.record.outcome == Outcome::Done && !ended_) {
                        timeline_->noteGap(result.record.group, target->gap.last(),
                                           result.record.answeredAt);
                        target->gap.acknowledged(result.record.answeredAt);
                        ++report_.groups[result.record.group].probes;
                    }
                    finished(result, scheduledAt);
                });
            break;
        }
    }
    probeTimer_.expires_after(std::chrono::milliseconds{settings_.probeIntervalMs});
    probeTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            probe();
        }
    });
}

void LoadRunner::stop(LoadSession &session)
{
    if (session.busy()) {
        checker_.add(session.abandon());
    } else {
        session.close();
    }
}

void LoadRunner::drain()
{
    if (inFlight_ == 0 || clockNow() >= drainDeadline_) {
        report_.unfinished = inFlight_;
        report_.unsent = waiting_.size();
        for (const auto &session : sessions_) {
            stop(*session);
        }
        for (auto &[name, group] : groups_) {
            for (const auto &session : group.probes) {
                stop(*session);
            }
        }
        readFinalRows();
        return;
    }
    tickTimer_.expires_after(drainInterval);
    tickTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            drain();
        }
    });
}

void LoadRunner::readFinalRows()
{
    drainDeadline_ = clockNow() + finalReadTimeout;
    groupsToRead_ = groups_.size();
    for (auto &[name, group] : groups_) {
        report_.groups[name].gap = group.gap.longest(endedAt_);
        timeline_->noteGap(name, group.gap.last(), endedAt_);
        readGroup(name);
    }
}

void LoadRunner::readGroup(const std::string &name)
{
    auto &group = groups_.at(name);
    group.reader = std::make_shared<PgConnection>(context_, finalReadTimeout);
    const auto &entry = settings_.entries[group.readerEntry++ % settings_.entries.size()];
    group.reader->connect(connectionInfo(entry, name, "checker"),
                          [this, name](const std::string &error) {
                              if (!error.empty()) {
                                  retryGroup(name);
                                  return;
                              }
                              groups_.at(name).reader->query(
                                  readAllStatement(settings_), [this, name](const Answer &answer) {
                                      if (outcomeOf(answer) != Outcome::Done) {
                                          retryGroup(name);
                                          return;
                                      }
                                      finalRows_[name] = rowsOf(answer);
                                      report_.groups[name].finalRows = finalRows_[name].size();
                                      report_.groups[name].checked = true;
                                      groupRead(name);
                                  });
                          });
}

void LoadRunner::retryGroup(const std::string &name)
{
    if (clockNow() >= drainDeadline_) {
        groupRead(name);
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, finalReadRetry);
    timer->async_wait([this, name, timer](const boost::system::error_code &error) {
        if (!error) {
            readGroup(name);
        }
    });
}

void LoadRunner::groupRead(const std::string &name)
{
    groups_.at(name).reader->close();
    if (--groupsToRead_ == 0) {
        complete();
    }
}

void LoadRunner::complete()
{
    report_.violations = checker_.finish(finalRows_);
    report_.intervals = timeline_->intervals();
    report_.interval = timeline_->interval();
    report_.gaps = timeline_->gaps();
}

} // namespace hyssoprock::load
