#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/request/session_events.hpp>
#include <support/event_digest.hpp>

/// @file
/// @brief Fake endpoints of one group with asynchronous replication, in simulated time.

namespace hyssoprock::random_runs {

/// @brief Events in simulated time, in microseconds.
class Scheduler
{
public:
    using Time = std::int64_t;

    [[nodiscard]] Time now() const noexcept { return now_; }

    void after(Time delay, std::function<void()> action)
    {
        events_.push({now_ + (delay > 0 ? delay : 0), next_++, std::move(action)});
    }

    /// @brief Runs events up to a time.
    /// @return Number of events.
    std::uint64_t runUntil(Time end)
    {
        std::uint64_t count = 0;
        while (!events_.empty() && events_.top().time <= end) {
            auto event = events_.top();
            events_.pop();
            now_ = event.time;
            test::eventDigest().record(now_, event.sequence);
            event.action();
            ++count;
        }
        now_ = end;
        return count;
    }

private:
    struct Event
    {
        Time time;
        std::uint64_t sequence;
        std::function<void()> action;

        bool operator<(const Event &other) const noexcept
        {
            return std::pair{time, sequence} > std::pair{other.time, other.sequence};
        }
    };

    Time now_ = 0;
    std::uint64_t next_ = 0;
    std::priority_queue<Event> events_;
};

struct FakeRow
{
    std::string table;
    std::string key;
    std::uint32_t version = 0;
};

struct FakeEntry
{
    std::uint64_t term = 0;
    std::vector<FakeRow> rows;
    Scheduler::Time committedAt = 0;
};

/// @brief Connection as the endpoint sees it.
struct FakeConnection
{
    bool explicitTransaction = false;
    bool failed = false;
    std::string schemaVersions;
    std::vector<FakeRow> pending;
};

/// @brief One endpoint.
struct FakeNode
{
    std::string name;
    std::string dataCentre;
    std::vector<FakeEntry> log;
    std::uint64_t term = 0;
    std::uint64_t fence = 0;
    EndpointRole role = EndpointRole::Replica;
    std::uint64_t majority = 0;
    std::map<std::string, std::uint64_t> held;
    bool cut = false; ///< From the other endpoints and the control group.
    Scheduler::Time lag = 2000;
    std::map<std::uint64_t, FakeConnection> connections;

    [[nodiscard]] LogPosition position() const
    {
        return log.empty() ? LogPosition{} : LogPosition{log.back().term, log.size()};
    }
    [[nodiscard]] bool writable() const { return role == EndpointRole::Primary && term >= fence; }
    [[nodiscard]] EndpointRole statedRole() const
    {
        return role == EndpointRole::Primary && term < fence ? EndpointRole::Fenced : role;
    }
    [[nodiscard]] EndpointReport report() const { return {position(), majority, statedRole()}; }
};

/// @brief Three endpoints and their replication.
class FakeGroup
{
public:
    FakeGroup(Scheduler &scheduler, RandomSource &random, std::size_t nodes);

    [[nodiscard]] FakeNode &node(std::string_view name);
    [[nodiscard]] std::vector<FakeNode> &nodes() noexcept { return nodes_; }

    void fence(FakeNode &node, std::uint64_t term);
    void promote(FakeNode &node, std::uint64_t term);
    void follow(FakeNode &node, std::uint64_t term);

    /// @brief Runs a simple query at once.
    [[nodiscard]] EndpointAnswer execute(FakeNode &node, std::uint64_t connection,
                                         std::string_view sql);

    bool dualWrites = false;    ///< Each record is written in versions 1 and 2.
    bool ignoresFilter = false; ///< Fault: answers hold all versions.

    /// @brief Adds version 2 of every record that lacks it.
    /// @return Position from which version 2 is complete.
    LogPosition backfill(FakeNode &primary);

private:
    void replicateOnce(std::size_t index);
    void commit(FakeNode &node, std::vector<FakeRow> rows);
    void countMajority(FakeNode &primary);
    [[nodiscard]] std::optional<StatementResult> run(FakeNode &node, FakeConnection &connection,
                                                     std::string_view statement);
    [[nodiscard]] StatementResult select(const FakeNode &node, const FakeConnection &connection,
                                         std::string_view statement) const;

    Scheduler &scheduler_;
    RandomSource &random_;
    std::vector<FakeNode> nodes_;
};

} // namespace hyssoprock::random_runs
