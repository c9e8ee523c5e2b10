#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <hyssoprock/promotion/resume_log.hpp>
#include <hyssoprock/promotion/service_scope.hpp>

/// @file
/// @brief Pauses and resumes the replicas of one service.

namespace hyssoprock::internal {

/// @brief How long an unanswered operation or call may still take effect, counted from the decision
/// to send it: 12 s from sending, plus the longest timeout of 600 ms, within which it is sent.
inline constexpr Duration unansweredOperationLifetime = std::chrono::milliseconds{12600};

/// @brief Tracks which replicas are known to be paused, and resumes them when allowed.
class ReplicaPauses
{
public:
    explicit ReplicaPauses(ServiceScope &scope)
        : scope_{scope}
        , resumeLog_{scope}
    {}

    /// @brief Restores the resumes that earlier leaders have not finished.
    void restore(const ResumeRecord &record, Instant now);
    /// @brief Starts a pause round. No replica is resumed before release().
    void pause(const std::vector<const KnownEndpoint *> &replicas, std::uint64_t term, Instant now);
    /// @brief Processes the completion of a pause, resume or sweep query; ignores other operations.
    void handle(const promotion::OperationCompleted &event, Instant now);
    void handle(const promotion::ResumeProposalCompleted &event, Instant now)
    {
        resumeLog_.handle(event, now);
    }
    /// @brief Ends the round by resuming every replica that was sent a pause.
    void release(Instant now);
    /// @brief Queries all members and resumes those that are paused, no matter which leader paused
    /// them.
    void sweep();
    /// @brief Whether a member that sends heartbeats has not answered the last sweep.
    [[nodiscard]] bool isSweepIncomplete() const;
    /// @brief Sends the resumes and log proposals that are due.
    void evaluate(Instant now);
    [[nodiscard]] std::optional<Instant> nextDeadline() const;

    /// @brief Status rows of the members that are known to be paused in this round.
    /// @param replaced Member that does not count as a replica.
    [[nodiscard]] std::map<std::string, EndpointStatusRow>
    pausedReplicas(const std::string &replaced) const;
    [[nodiscard]] bool isRoundActive() const noexcept { return roundActive_; }
    /// @brief Whether every pause of this round has completed or failed.
    [[nodiscard]] bool isComplete() const;
    /// @brief Endpoint that answered a pause as primary; empty if none did.
    [[nodiscard]] std::string primaryResponder() const;
    /// @brief Answer of an endpoint to the pause of this round; null if there is none.
    [[nodiscard]] const EndpointStatusRow *pauseResponse(const std::string &endpoint) const;

private:
    struct Replica
    {
        std::uint64_t pauseOperationId = 0; ///< 0 if it was not sent a pause in this round.
        std::uint64_t bornMs = 0;           ///< Incarnation that was sent the pause.
        std::uint64_t pauseTerm = 0;
        Instant pauseSentAt{};
        bool pauseCompleted = false;
        bool safeFromLateResume = false; ///< No resume was unanswered when the pause was sent.
        std::optional<EndpointStatusRow> row;
        bool mustResume = false;
        Instant nextResumeAt{};
        std::optional<Instant> repeatResumeAt;
        /// Send time of each unanswered resume by operation. Operation 0 stands for resumes of
        /// earlier leaders.
        std::map<std::uint64_t, Instant> unansweredResumes;
    };

    void sendResume(const std::string &id, Replica &replica, Instant now);

    void sendDueResumes(Instant now);
    void updateResumeLog(Instant now);

    ServiceScope &scope_;
    ResumeLog resumeLog_;
    std::map<std::string, Replica> replicas_{};
    bool roundActive_ = false;
    std::uint64_t sweepOperationId_ = 0;
    std::set<std::string> sweepPending_{}; ///< Members that have not answered the sweep.
};

} // namespace hyssoprock::internal
