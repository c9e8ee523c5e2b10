#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <hyssoprock/promotion/resume_log.hpp>
#include <hyssoprock/promotion/service_context.hpp>

/// @file
/// @brief Pauses of the replicas of one service, and the orders that end them.

namespace hyssoprock::internal {

/// @brief An order or call without an answer may be carried out up to this long after the decision
/// to send it: 12 s after it was sent, which takes up to the longest timeout of 600 ms.
inline constexpr Duration lateOrder = std::chrono::milliseconds{12600};

/// @brief Knows which replicas are paused for certain, and resumes each that may be.
class ReplicaPauses
{
public:
    /// @brief No replica is paused.
    explicit ReplicaPauses(ServiceScope &scope)
        : scope_{scope}
        , log_{scope}
    {}

    /// @brief Takes the resumes that earlier leaders have not finished.
    void restore(const ResumeRecord &record, Instant now);
    /// @brief Begins a round. Nothing is resumed before release().
    void pause(const std::vector<const KnownEndpoint *> &replicas, std::uint64_t term, Instant now);
    /// @brief Takes the end of a pause, resume or query of a sweep; others are ignored.
    void take(const promotion::OperationCompleted &event, Instant now);
    void take(const promotion::ResumeProposalCompleted &event, Instant now)
    {
        log_.take(event, now);
    }
    /// @brief Ends the round: resumes every replica that was sent a pause.
    void release(Instant now);
    /// @brief Queries all members, and resumes those that are paused, whoever has paused them.
    void sweep();
    /// @brief Whether a member that sends heartbeats has not answered the last sweep.
    [[nodiscard]] bool sweepIncomplete() const;
    /// @brief Sends what is due.
    void evaluate(Instant now);
    [[nodiscard]] std::optional<Instant> deadline() const;

    /// @brief Rows of the members that are paused for certain in this round.
    /// @param replaced Member that does not count as a replica.
    [[nodiscard]] std::map<std::string, EndpointStatusRow>
    paused(const std::string &replaced) const;
    [[nodiscard]] bool holding() const noexcept { return holding_; }
    /// @brief Whether every pause of this round has ended.
    [[nodiscard]] bool complete() const;
    /// @brief Whether one has answered a pause of this round as primary.
    [[nodiscard]] bool primaryAnswered() const;
    /// @brief Answer to a pause of this round; null if there is none.
    [[nodiscard]] const EndpointStatusRow *answer(const std::string &endpoint) const;

private:
    struct Replica
    {
        std::uint64_t pauseQuery = 0; ///< 0 if it was not sent a pause in this round.
        std::uint64_t bornMs = 0;     ///< Incarnation that was sent the pause.
        std::uint64_t pauseTerm = 0;
        Instant pausedAt{};
        bool pauseEnded = false;
        bool certain = false; ///< No resume could overtake the pause.
        std::optional<EndpointStatusRow> row;
        bool owed = false; ///< It must be resumed.
        Instant resumeAt{};
        std::optional<Instant> resumeAgainAt;
        /// Query and time of those not answered; query 0 stands for those of earlier leaders.
        std::map<std::uint64_t, Instant> openResumes;
    };

    void resume(const std::string &id, Replica &replica, Instant now);

    void sendResumes(Instant now);
    void recordResumes(Instant now);

    ServiceScope &scope_;
    ResumeLog log_;
    std::map<std::string, Replica> replicas_{};
    bool holding_ = false;
    std::uint64_t sweepQuery_ = 0;
    std::set<std::string> unswept_{}; ///< Members that have not answered the sweep.
};

} // namespace hyssoprock::internal
