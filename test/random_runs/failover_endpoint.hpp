#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/core/result.hpp>
#include <hyssoprock/failover/endpoint_call.hpp>
#include <hyssoprock/message/common.hpp>

#include "failover_world.hpp"

/// @file
/// @brief Fake database instance with a log, terms, a fence and asynchronous replication.

namespace hyssoprock::random_runs::failover {

/// @brief A write in a log.
struct LogEntry
{
    std::uint64_t term = 0;
    std::uint64_t id = 0; ///< 0 for the first entry of a term.
    [[nodiscard]] bool operator==(const LogEntry &) const = default;
};

class FakeEndpoint;

/// @brief Finds an endpoint by its name.
using EndpointFinder = std::function<FakeEndpoint *(const std::string &)>;

/// @brief Log and fence are durable; role, term and voters are lost in a crash.
class FakeEndpoint
{
public:
    FakeEndpoint(World &world, std::size_t node, std::string group, EndpointFinder find);

    /// @brief An administrative call.
    [[nodiscard]] Result<EndpointCallResponse> call(const EndpointRequest &request);

    /// @brief A write of an entry host.
    /// @return Its position, or ReadOnlyEndpoint.
    [[nodiscard]] Result<LogPosition> write(std::uint64_t id);

    [[nodiscard]] EndpointCallResponse status() const;
    [[nodiscard]] bool holds(const LogPosition &position, std::uint64_t id) const;
    [[nodiscard]] const std::string &name() const { return world_.nodes[node_].name; }
    [[nodiscard]] const std::string &group() const noexcept { return group_; }
    [[nodiscard]] std::size_t node() const noexcept { return node_; }
    [[nodiscard]] Announcement announcement() const;

    void crash();
    void restart();

    Duration lag{0}; ///< Pause between two fetches.

private:
    struct Fetched
    {
        std::uint64_t term = 0;
        bool accepted = false;
        bool matches = false;
        std::uint64_t previous = 0; // index
        LogPosition retryFrom;
        std::vector<LogEntry> entries;
    };

    [[nodiscard]] Result<EndpointCallResponse> on(const StatusCall &call);
    [[nodiscard]] Result<EndpointCallResponse> on(const FenceCall &call);
    [[nodiscard]] Result<EndpointCallResponse> on(const PromoteCall &call);
    [[nodiscard]] Result<EndpointCallResponse> on(const FollowCall &call);
    [[nodiscard]] Result<EndpointCallResponse> on(const VotersCall &call);
    [[nodiscard]] LogPosition last() const;
    [[nodiscard]] LogPosition newestNotAfter(const LogPosition &other) const;
    [[nodiscard]] bool serving() const noexcept { return isPrimary_ && fenced_ <= term_; }
    void setVoters(const std::vector<VoterAddress> &voters);
    void append(std::uint64_t id);
    void advanceMajority();
    void fetch();
    [[nodiscard]] Fetched serve(const std::string &from, std::uint64_t term,
                                const LogPosition &previous);
    void take(const Fetched &answer);

    World &world_;
    std::size_t node_;
    std::string group_;
    EndpointFinder find_;
    std::vector<LogEntry> log_;
    std::uint64_t fenced_ = 0;
    std::uint64_t term_ = 0;
    bool isPrimary_ = false;
    std::string primary_;
    std::set<std::string> voters_;
    std::uint64_t voterVersion_ = 0;
    std::map<std::string, std::uint64_t> held_;
    std::uint64_t majority_ = 0;
    LogPosition probe_;
    Duration nextFetch_{0};
};

} // namespace hyssoprock::random_runs::failover
