#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/control.hpp>
#include <hyssoprock/request/host_knowledge.hpp>
#include <hyssoprock/request/request_machine.hpp>
#include <hyssoprock/request/session_events.hpp>
#include <hyssoprock/routing/router.hpp>
#include <hyssoprock/routing/schema_choice.hpp>
#include <hyssoprock/session/request_attributes.hpp>
#include <hyssoprock/session/session_command.hpp>
#include <hyssoprock/session/session_floor.hpp>
#include <hyssoprock/session/token_codec.hpp>

/// @file
/// @brief One caller connection: requests, transactions, floor and outcomes.

namespace hyssoprock {

/// @brief Settings of a session machine; defaults as in schema/settings.toml.
struct SessionMachineSettings
{
    Duration queueDeadline = std::chrono::milliseconds{1000};     ///< limits.queue_deadline_ms
    Duration electionDeadline = std::chrono::milliseconds{8000};  ///< limits.election_deadline_ms
    Duration majorityTimeout = std::chrono::milliseconds{2000};   ///< request.majority_timeout_ms
    Duration statementTimeout = std::chrono::milliseconds{10000}; ///< request.statement_timeout_ms
    Duration settleTimeout = std::chrono::milliseconds{10000};    ///< Longest settling.
    Duration retryBackoff = std::chrono::milliseconds{10};        ///< First backoff, jittered.
    std::uint32_t readAttempts = 6;                               ///< Sends of one read at most.
    bool logDecisions = true;                                     ///< log.decisions
};

/// @brief Session machine of one caller connection.
///
/// How the daemon uses it: create one after the startup packet, call applyStartup() for each
/// `hyssoprock.*` option, then handle() for each event and carry out the actions in order. One
/// CallerStatement at a time: the next follows AnswerCaller. Send Tick at nextDeadline(),
/// ViewChanged after each accepted view, lease or configuration, and AckResolved for each entry of
/// HostKnowledge::acks.takeResolved() with this session's id (sessions other than the present one
/// get theirs after the lock is released). At the end of a connection send CallerGone; the machine
/// then releases what it holds.
class SessionMachine
{
public:
    /// @brief Makes a session for a group.
    /// @param settings Settings.
    /// @param session Id of the session, unique within the process.
    /// @param group Group: the database name of the startup packet.
    /// @param knowledge Shared tables of the host; outlive the machine.
    /// @param tokens Codec; outlives the machine.
    /// @param seed Seed for the jitter of retries.
    SessionMachine(SessionMachineSettings settings, std::uint64_t session, std::string group,
                   HostKnowledge &knowledge, const TokenCodec &tokens, std::uint64_t seed);

    /// @brief Applies a startup option.
    /// @param name Name without "hyssoprock."; unknown ones are ignored.
    /// @param value Value.
    /// @return ErrorKind::InvalidToken or InvalidAttribute for a bad value.
    [[nodiscard]] Result<bool> applyStartup(std::string_view name, std::string_view value);

    /// @brief Handles an event.
    [[nodiscard]] SessionActions handle(const SessionEvent &event, Instant now);

    /// @brief When a Tick is due at the latest.
    [[nodiscard]] std::optional<Instant> nextDeadline() const noexcept;

    /// @brief What the session has seen.
    [[nodiscard]] const SessionFloor &floor() const noexcept { return floor_; }

    /// @brief Transaction status as the caller sees it.
    [[nodiscard]] TransactionStatus transactionStatus() const noexcept;

    /// @brief Whether a statement of the caller has not been answered yet.
    [[nodiscard]] bool busy() const noexcept { return request_ != nullptr; }

    /// @brief Id of the session.
    [[nodiscard]] std::uint64_t session() const noexcept { return session_; }

    ~SessionMachine();
    SessionMachine(const SessionMachine &) = delete;
    SessionMachine &operator=(const SessionMachine &) = delete;

private:
    struct Request;
    struct Held;
    struct Transaction;
};

} // namespace hyssoprock
