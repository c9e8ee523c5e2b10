#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "entry_world.hpp"

/// @file
/// @brief Callers that record what they were told, and the check of it.

namespace hyssoprock::random_runs {

/// @brief What a caller was told of a write.
enum class WriteState : std::uint8_t { Pending, Acknowledged, NotRun, Unknown };

struct WriteRecord
{
    WriteState state = WriteState::Pending;
    Scheduler::Time acknowledgedAt = 0;
    bool repeatable = false;
};

/// @brief A read that was delivered.
struct ReadRecord
{
    std::set<std::string> keys;
    Scheduler::Time startedAt = 0;
    Scheduler::Time deliveredAt = 0;
    std::optional<Scheduler::Time> allowance; ///< Nothing for a read without an allowance.
    bool fromPrimary = true;
};

/// @brief Everything that all callers were told.
struct History
{
    std::map<std::string, WriteRecord> writes;
    std::vector<ReadRecord> reads;

    /// @brief Compares the history with the log that the group ends with.
    void checkAgainst(const FakeGroup &group, const FakeNode &primary) const;
};

/// @brief One caller that moves among entry hosts.
class EntryCaller final : public SessionClient
{
public:
    EntryCaller(EntryWorld &world, History &history, std::string name);

    void start();
    void stop() noexcept { stopped_ = true; }

    void answered(const AnswerCaller &answer) override;
    void tokenReported(const std::string &token) override { token_ = token; }
    void closed() override;

private:
    struct Step
    {
        std::string sql;
        std::vector<std::string> keys{}; ///< Writes whose outcome this step decides.
        bool read = false;
        std::vector<std::string> understands{};
        std::optional<Scheduler::Time> allowance{};
        std::string nonce{};
    };

    void connect(const std::string &session);
    void nextUnit();
    void planUnit();
    void planWrite();
    void planTransaction();
    void planReplicaTransaction();
    [[nodiscard]] Step readStep(bool unmarked);
    void runStep();
    void roam();
    void settleWrites(const AnswerCaller &answer, const Step &step);
    void checkRead(const AnswerCaller &answer, const Step &step);
    void abandon();
    void giveUp(WriteState open);

    EntryWorld &world_;
    History &history_;
    std::string name_;
    FakeHost *host_ = nullptr;
    std::uint64_t session_ = 0;
    std::string token_;
    std::deque<Step> steps_;
    std::optional<Step> running_;
    std::vector<std::string> openKeys_; ///< Written in the open transaction.
    std::set<std::string> seen_;
    std::uint64_t nextKey_ = 1;
    Scheduler::Time startedAt_ = 0;
    std::uint64_t chain_ = 0; ///< Invalidates units that were planned before a reconnect.
    bool stopped_ = false;
};

} // namespace hyssoprock::random_runs
