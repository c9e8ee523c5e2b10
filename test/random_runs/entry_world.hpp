#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <hyssoprock/request/host_tables.hpp>
#include <hyssoprock/request/session_machine.hpp>

#include "fake_group.hpp"
#include "run_report.hpp"

/// @file
/// @brief Fake control group, entry hosts and network around real session machines.

namespace hyssoprock::random_runs {

inline constexpr const char *groupName = "orders";

/// @brief Receives what a session's caller would see.
class SessionClient
{
public:
    SessionClient() = default;
    SessionClient(const SessionClient &) = delete;
    SessionClient &operator=(const SessionClient &) = delete;
    virtual ~SessionClient() = default;
    virtual void answered(const AnswerCaller &answer) = 0;
    virtual void tokenReported(const std::string &token) = 0;
    virtual void closed() = 0;
};

/// @brief A session on an entry host.
struct FakeSession
{
    std::unique_ptr<SessionMachine> machine;
    SessionClient *client = nullptr;
    std::optional<Instant> tickAt;
};

/// @brief Connection from an entry host to an endpoint.
struct FakeLink
{
    std::string endpoint;
    std::string schemaVersions;
    bool closed = false;
    int inFlight = 0; ///< Statements that have not reached the endpoint.
};

/// @brief One entry host with its own clock.
struct FakeHost
{
    std::string name;
    std::string dataCentre;
    std::unique_ptr<HostTables> knowledge;
    std::map<std::uint64_t, FakeSession> sessions;
    std::map<std::uint64_t, FakeLink> links;
    std::map<std::string, std::vector<std::uint64_t>> idle;
    std::vector<std::uint64_t> cancelled;
    std::int64_t offset = 0;
    std::int64_t driftPerMille = 0;
    std::uint64_t sequence = 0;
    bool cutFromControl = false;
    std::optional<Instant> pumpAt;
};

/// @brief What the control group has granted and decided.
struct FakeControl
{
    GroupView view;
    std::uint64_t version = 1;
    Configuration configuration;
    std::map<std::string, Scheduler::Time> leaseEnd;
    std::map<std::string, std::uint64_t> confirmed;
    bool changing = false;
};

/// @brief The whole simulated system.
class EntryWorld
{
public:
    EntryWorld(std::uint64_t seed, RunReport &report);

    Scheduler scheduler;
    RandomSource random;
    RunReport &report;
    FakeGroup group;
    FakeControl control;
    std::vector<std::unique_ptr<FakeHost>> hosts;
    TokenCodec tokens{"a secret of the test run"};

    /// @brief Opens a session; options as in a startup packet.
    std::uint64_t open(FakeHost &host, SessionClient &client, const std::string &session);
    void deliver(FakeHost &host, std::uint64_t session, const SessionEvent &event);

    /// @brief Makes another endpoint primary, without its cooperation.
    void failOver();
    /// @brief Moves the primary role with no request in flight.
    void handOver();
    /// @brief Puts a new configuration in force.
    void configure(const std::function<void(Configuration &)> &change);

    [[nodiscard]] Instant clock(const FakeHost &host) const;
    bool lossy = true; ///< Faults of the network are injected.

private:
    void renewLoop(FakeHost &host);
    void answerRenewal(FakeHost &host, std::uint64_t sequence, std::uint64_t viewVersion,
                       std::uint64_t revision);
    void push();
    void beginTerm();
    void awaitFenced(std::uint64_t term, std::uint64_t version,
                     std::map<std::string, Scheduler::Time> leases, std::string avoid);
    void followLoop(std::size_t node);
    void awaitQuiesced(Scheduler::Time limit);
    void carryOut(FakeHost &host, std::uint64_t session, const SessionActions &actions);
    void pump(FakeHost &host);
    void schedulePump(FakeHost &host);
    void scheduleTick(FakeHost &host, std::uint64_t session);
    void acquire(FakeHost &host, std::uint64_t session, const AcquireConnection &request);
    void sendCommand(FakeHost &host, std::uint64_t session, const SendCommand &request);
    void release(FakeHost &host, const ReleaseConnection &request);
    void poll(FakeHost &host);
    [[nodiscard]] Scheduler::Time untilClock(const FakeHost &host, Instant time) const;
    [[nodiscard]] Scheduler::Time networkDelay();
    [[nodiscard]] bool fault(const char *name, std::uint64_t percent);

    std::uint64_t nextSession_ = 1;
    std::uint64_t nextLink_ = 1;
};

} // namespace hyssoprock::random_runs
