#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/load/failover_gap.hpp>
#include <hyssoprock/load/history_checker.hpp>
#include <hyssoprock/load/load_report.hpp>
#include <hyssoprock/load/load_session.hpp>

/// @file
/// @brief Open-loop load generator.

namespace hyssoprock::load {

/// @brief Schedules requests at a fixed rate, independently of responses to earlier ones.
class LoadRunner
{
public:
    /// @param context Runs all I/O and timers; must outlive the runner.
    /// @param settings Settings of the run.

    LoadRunner(boost::asio::io_context &context, LoadSettings settings);

    /// @brief Starts the run. The context's run() returns when the run is complete.
    void start();

    /// @brief Results; valid after the context's run() has returned.
    [[nodiscard]] const LoadReport &report() const noexcept { return report_; }

private:
    struct Group
    {
        std::vector<std::shared_ptr<LoadSession>> probeSessions;
        FailoverGap gap{Instant{}};
        std::shared_ptr<PgConnection> reader;
        std::size_t readerEntryIndex = 0;
    };

    void scheduleRequests();
    void sendProbes();
    void startQueuedRequests();
    void startRequest(std::uint32_t session, Instant scheduledAt);
    void recordResult(const OperationResult &result, Instant scheduledAt);
    void drain();
    void stopSession(LoadSession &session);
    void readFinalRows();
    void startGroupRead(const std::string &name);
    void retryGroupRead(const std::string &name);
    void finishGroupRead(const std::string &name);
    void completeReport();

    boost::asio::io_context &context_;
    LoadSettings settings_;
    RandomSource random_;
    std::vector<std::shared_ptr<LoadSession>> sessions_;
    std::vector<std::uint32_t> idleSessions_;
    std::deque<Instant> queuedRequests_; ///< Scheduled times of requests waiting for a session.
    std::map<std::string, Group> groups_;
    std::map<std::string, std::vector<StoredRow>> finalRows_;
    HistoryChecker checker_;
    LoadReport report_;
    std::optional<LoadTimeline> timeline_{}; ///< Set by start().
    boost::asio::steady_timer scheduleTimer_;
    boost::asio::steady_timer probeTimer_;
    Instant startedAt_{};
    Instant endedAt_{};
    Instant drainDeadline_{};
    std::uint64_t scheduledCount_ = 0;
    std::uint64_t inFlightCount_ = 0;
    std::size_t unreadGroupCount_ = 0;
    bool schedulingEnded_ = false;
};

} // namespace hyssoprock::load
