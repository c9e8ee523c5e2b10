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
/// @brief Open-loop load.

namespace hyssoprock::load {

/// @brief Starts requests at a fixed rate, whether or not earlier ones were answered.
class LoadRunner
{
public:
    /// @param context Runs everything; must outlive the runner.
    /// @param settings Settings of the run.
    LoadRunner(boost::asio::io_context &context, LoadSettings settings);

    /// @brief Starts the run; the context's run() returns when it is over.
    void start();

    /// @brief Figures, after the context's run() has returned.
    [[nodiscard]] const LoadReport &report() const noexcept { return report_; }

private:
    struct Group
    {
        std::vector<std::shared_ptr<LoadSession>> probes;
        FailoverGap gap{Instant{}};
        std::shared_ptr<PgConnection> reader;
        std::size_t readerEntry = 0;
    };

    void tick();
    void probe();
    void startWaiting();
    void launch(std::uint32_t session, Instant scheduledAt);
    void finished(const StepResult &result, Instant scheduledAt);
    void drain();
    void stop(LoadSession &session);
    void readFinalRows();
    void readGroup(const std::string &name);
    void retryGroup(const std::string &name);
    void groupRead(const std::string &name);
    void complete();

    boost::asio::io_context &context_;
    LoadSettings settings_;
    RandomSource random_;
    std::vector<std::shared_ptr<LoadSession>> sessions_;
    std::vector<std::uint32_t> free_;
    std::deque<Instant> waiting_; ///< Scheduled times of requests for which no session is free.
    std::map<std::string, Group> groups_;
    std::map<std::string, std::vector<StoredRow>> finalRows_;
    HistoryChecker checker_;
    LoadReport report_;
    std::optional<LoadTimeline> timeline_{}; ///< From start() on.
    boost::asio::steady_timer tickTimer_;
    boost::asio::steady_timer probeTimer_;
    Instant startedAt_{};
    Instant endedAt_{};
    Instant drainDeadline_{};
    std::uint64_t arrivals_ = 0;
    std::uint64_t inFlight_ = 0;
    std::size_t groupsToRead_ = 0;
    bool ended_ = false;
};

} // namespace hyssoprock::load
