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
/// @brief Small fakes of a control group, entry hosts and endpoints around real session machines.
///
/// Renewals, polls, ticks and grants happen by themselves when they are due. A poll or a tick is
/// written down only if something follows from it.

namespace hyssoprock::golden {

[[nodiscard]] Instant at(int ms);
[[nodiscard]] StatementResult tagged(const std::string &tag);
[[nodiscard]] StatementResult rowsOf(const std::vector<std::string> &columns,
                                     const std::vector<ResultRow> &rows);

/// @brief What the fake admission queue does with requests for a connection.
enum class Admission : std::uint8_t { Grant, Hold, QueueFull };

class GoldenWorld
{
public:
    /// @brief Group orders with the endpoints ep-1 (primary), ep-2 and ep-3, all at 1/10.
    explicit GoldenWorld(std::string_view title);
    GoldenWorld(const GoldenWorld &) = delete;
    GoldenWorld &operator=(const GoldenWorld &) = delete;
    ~GoldenWorld();

    void addHost(int ms, const std::string &host);
    /// @brief Opens a session.
    /// @param option Value of hyssoprock.session; empty for none.
    /// @return Its number.
    std::uint64_t connect(int ms, const std::string &host, const std::string &option);
    /// @brief Token that a session has reported last.
    [[nodiscard]] std::string token(std::uint64_t session) const;

    void statement(int ms, std::uint64_t session, const std::string &sql);
    /// @brief The endpoint answers what was sent; results of the proxy's own statements are added.
    void reply(int ms, std::uint64_t session, const StatementResult &result,
               TransactionState status = TransactionState::Idle);
    /// @brief Answers a read on each endpoint that it is sent to, until the caller has its answer.
    void serveRead(int ms, std::uint64_t session, const StatementResult &result);
    void replyError(int ms, std::uint64_t session, const std::string &state,
                    const std::string &message, TransactionState status = TransactionState::Idle);
    void loseConnection(int ms, std::uint64_t session);
    void leave(int ms, const std::string &host);
    void callerGone(int ms, std::uint64_t session);

    /// @brief The host's link to the control group breaks.
    void cutOff(int ms, const std::string &host);
    /// @brief Another view takes effect on all hosts that are not cut off.
    void changeView(int ms, std::uint64_t term, GroupState state, const std::string &primary,
                    const std::string &draining = {});
    /// @brief Another rule takes effect on all hosts that are not cut off.
    void changeRule(int ms, RecordKindRule rule, const std::string &text);
    /// @brief Runs everything that is due until a time.
    void advance(int ms);
    void note(int ms, const std::string &text);

    /// @brief Whether a host reports that it has quiesced the group.
    void reportQuiesced(int ms, const std::string &host);

    /// @brief State of an endpoint; the script changes it as the log grows.
    EndpointReport &endpoint(const std::string &name) { return endpoints_[name]; }
    /// @brief Rule in force.
    [[nodiscard]] const RecordKindRule &rule() const { return configuration_.rules.front(); }
    [[nodiscard]] const std::string &transcript() const noexcept { return transcript_.text(); }

    Admission admission = Admission::Grant;

private:
    struct Host;
    struct Session;

    [[nodiscard]] std::optional<Instant> nextDue() const;
    void runDue();
    void renew(Host &host, bool write);
    void poll(Host &host);
    void answerAcquires(Session &session);
    void deliver(Session &session, const SessionEvent &event, const std::string &text,
                 bool quietly = false);
    void carryOut(Session &session, const SessionActions &actions);
    void resolveAcks(Host &host);
    void viewChanged(Host &host);
    [[nodiscard]] EndpointAnswer answerOf(const Session &session) const;

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
