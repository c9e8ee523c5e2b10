#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <hyssoprock/promotion/service_scope.hpp>

/// @file
/// @brief Records the resumes of one service in the log of the control group.

namespace hyssoprock::internal {

/// @brief Commits the intent to resume a replica before the resume is sent, and the end of the
/// resume, so that a later leader knows which replicas may still execute one.
class ResumeLog
{
public:
    explicit ResumeLog(ServiceScope &scope)
        : scope_{scope}
    {}

    /// @brief Restores the resumes that earlier leaders have not finished.
    void restore(const std::vector<std::string> &endpoints);
    /// @brief Processes the completion of a proposal; ignores proposals of other objects.
    void handle(const promotion::ResumeProposalCompleted &event, Instant now);
    /// @brief Whether the intent is committed, so that the resume may be sent.
    [[nodiscard]] bool isIntended(const std::string &endpoint) const
    {
        return intended_.contains(endpoint);
    }
    /// @brief Replicas with a resume that may be unfinished according to the log.
    [[nodiscard]] const std::set<std::string> &unfinished() const noexcept { return unfinished_; }
    /// @brief Proposes the outstanding changes, one proposal at a time.
    /// @param toResume Replicas to resume.
    /// @param finished Replicas that can no longer execute a resume.
    /// @param now Current time.
    void update(const std::set<std::string> &toResume, const std::set<std::string> &finished,
                Instant now);
    /// @brief When a failed proposal may be repeated.
    [[nodiscard]] std::optional<Instant> retryAt() const noexcept { return retryAt_; }

private:
    struct Proposal
    {
        std::uint64_t id = 0;
        bool isIntent = false;
        std::set<std::string> endpoints;
    };

    void propose(bool isIntent, std::set<std::string> endpoints);

    ServiceScope &scope_;
    std::set<std::string> intended_{};   ///< Intents known to be committed.
    std::set<std::string> unfinished_{}; ///< Intents that may be committed.
    std::optional<Proposal> openProposal_{};
    std::optional<Instant> retryAt_{};
};

} // namespace hyssoprock::internal
