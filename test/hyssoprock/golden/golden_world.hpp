#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/request/host_tables.hpp>
#include <hyssoprock/request/session_machine.hpp>

#include "transcript.hpp"

/// @file
/// @brief Real session machines with fakes of the control group, the entry hosts and the endpoints.
///
/// Renewals, polls, ticks and grants run when they are due. A poll or tick is recorded only if it
/// results in actions.

namespace hyssoprock::golden {

[[nodiscard]] Instant at(int ms);
[[nodiscard]] StatementResult resultWithTag(const std::string &tag);
[[nodiscard]] StatementResult resultWithRows(const std::vector<std::string> &columns,
                                             const std::vector<ResultRow> &rows);

/// @brief Response of the fake admission queue to requests for a connection.
enum class Admission : std::uint8_t { Grant, Hold, QueueFull };

class GoldenWorld
{
public:
    /// @brief Creates the group `orders` with the endpoints ep-1 (primary), ep-2 and ep-3, all at
    /// 1/10.
    explicit GoldenWorld(std::string_view title);
    GoldenWorld(const GoldenWorld &) = delete;
    GoldenWorld &operator=(const GoldenWorld &) = delete;
    ~GoldenWorld();

    void addHost(int ms, const std::string &host);
    /// @brief Opens a session.
    /// @param option Value of hyssoprock.session; empty for none.
    /// @return Number of the session.
    std::uint64_t connect(int ms, const std::string &host, const std::string &option);
    /// @brief Last token that a session has reported.
    [[nodiscard]] std::string token(std::uint64_t session) const;

    void statement(int ms, std::uint64_t session, const std::string &sql);
    /// @brief Answers the last command of the session; adds the results of statements that the
    /// proxy inserted.
    void reply(int ms, std::uint64_t session, const StatementResult &result,
               TransactionState status = TransactionState::Idle);
    /// @brief Answers a read on each endpoint that it is sent to until the session is idle.
    void serveRead(int ms, std::uint64_t session, const StatementResult &result);
    void replyError(int ms, std::uint64_t session, const std::string &state,
                    const std::string &message, TransactionState status = TransactionState::Idle);
    void loseConnection(int ms, std::uint64_t session);
    void leave(int ms, const std::string &host);
    void disconnectCaller(int ms, std::uint64_t session);

    /// @brief Disconnects the host from the control group.
    void cutOff(int ms, const std::string &host);
    /// @brief Pushes a new view to all hosts that are not cut off.
    void changeView(int ms, std::uint64_t term, GroupState state, const std::string &primary,
                    const std::string &draining = {});
    /// @brief Sends a new rule to all hosts that are not cut off.
    void changeRule(int ms, RecordKindRule rule, const std::string &text);
    /// @brief Processes all deadlines up to a time.
    void advance(int ms);
    void note(int ms, const std::string &text);

    /// @brief Records whether a host has quiesced the group.
    void reportQuiesced(int ms, const std::string &host);

    /// @brief Report of an endpoint; the script updates it as the log grows.
    EndpointReport &endpoint(const std::string &name) { return endpoints_[name]; }
    [[nodiscard]] const RecordKindRule &rule() const { return configuration_.rules.front(); }
    [[nodiscard]] const std::string &transcript() const noexcept { return transcript_.text(); }

    Admission admission = Admission::Grant;

private:
    struct Host;
    struct Session;

    [[nodiscard]] std::optional<Instant> nextDeadline() const;
    void processDeadlines();
    void renew(Host &host, bool recorded);
    void poll(Host &host);
    void answerAcquires(Session &session);
    void deliver(Session &session, const SessionEvent &event, const std::string &text,
                 bool onlyWithActions = false);
    void execute(Session &session, const SessionActions &actions);
    void resolveAcks(Host &host);
    void notifyViewChanged(Host &host);
    [[nodiscard]] EndpointAnswer makeAnswer(const Session &session) const;

    Transcript transcript_;
    TokenCodec tokens_{"a secret of the golden files"};
    Instant now_{};
    GroupView view_;
    std::uint64_t viewVersion_ = 1;
    Configuration configuration_;
    std::map<std::string, EndpointReport> endpoints_;
    std::map<std::string, std::unique_ptr<Host>> hosts_;
    std::map<std::uint64_t, std::unique_ptr<Session>> sessions_;
    std::uint64_t nextConnection_ = 1;
};

} // namespace hyssoprock::golden
