#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/load/workload.hpp>

/// @file
/// @brief One caller that roams between entry hosts.

namespace hyssoprock::load {

/// @brief What became of a step.
struct StepResult
{
    RequestRecord record; ///< For the history.
    Step step;            ///< What was asked for.
    std::string servedBy; ///< hyssoprock.served_by of the answer; empty if not reported.
    std::string error;    ///< SQLSTATE and message, for anything but Done.
};

/// @brief Present time on the clock of the load program.
[[nodiscard]] Instant clockNow();

/// @brief Connection string for an entry host.
[[nodiscard]] std::string connectionInfo(const std::string &entry, const std::string &group,
                                         const std::string &user);

/// @brief Does one step after the other on its own connection.
class LoadSession : public std::enable_shared_from_this<LoadSession>
{
public:
    /// @param context Runs the callbacks; must outlive the session.
    /// @param settings Settings of the run; must outlive the session.
    /// @param number Number of the session.
    /// @param prefix Tells its name from those of other kinds of sessions.
    LoadSession(boost::asio::io_context &context, const LoadSettings &settings,
                std::uint32_t number, std::string prefix);

    /// @brief Does a step. Only while it is not busy.
    void run(const Step &step, std::function<void(StepResult)> done);

    [[nodiscard]] bool busy() const noexcept { return static_cast<bool>(done_); }
    [[nodiscard]] const std::string &group() const noexcept { return group_; }
    /// @brief Name that the rows of a session carry as their writer.
    [[nodiscard]] std::string nameOf(std::uint32_t number) const;
    /// @brief Closes the connection.
    void close();
    /// @brief Gives up on the step under way.
    /// @return Its record, with an unknown outcome. Only while busy.
    [[nodiscard]] RequestRecord abandon();

private:
    using Handler = void (LoadSession::*)(const Answer &);

    void connect();
    void connected(const std::string &error);
    void begin();
    void ask(const std::string &text, Handler handler);
    void tokenSet(const Answer &answer);
    void answered(const Answer &answer);
    void transactionStep(const Answer &answer);
    void transactionEnded(const Answer &answer);
    void rolledBack(const Answer &answer);
    void makeRows();
    void note(const Answer &answer);
    void finish(Outcome outcome);
    [[nodiscard]] std::vector<std::string> transactionTexts() const;

    boost::asio::io_context &context_;
    const LoadSettings &settings_;
    std::uint32_t number_;
    std::string prefix_;
    std::string group_;
    std::string user_;
    std::size_t entry_;
    std::string token_;
    std::shared_ptr<PgConnection> connection_;
    std::function<void(StepResult)> done_;
    StepResult result_;
    std::vector<std::string> texts_; ///< Statements of the transaction under way.
    std::size_t nextText_ = 0;
    std::uint64_t sequence_ = 0;
    Instant connectDeadline_{};
    bool first_ = true;
};

} // namespace hyssoprock::load
