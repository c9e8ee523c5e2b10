#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <hyssoprock/promotion/service_context.hpp>

/// @file
/// @brief What the log of the control group says about the resumes of one service.

namespace hyssoprock::internal {

/// @brief Commits the intention to resume a replica before the resume is sent, and its end, so that
/// a later leader knows which replicas may still carry out a resume.
class ResumeLog
{
public:
    explicit ResumeLog(ServiceScope &scope)
        : scope_{scope}
    {}

    /// @brief Takes what earlier leaders have left unfinished.
    void restore(const std::vector<std::string> &endpoints);
    /// @brief Takes the end of a proposal; those of other objects are ignored.
    void take(const promotion::ResumeProposalCompleted &event, Instant now);
    /// @brief Whether a resume may be sent to a replica.
    [[nodiscard]] bool intended(const std::string &endpoint) const
    {
        return intended_.contains(endpoint);
    }
    /// @brief Replicas that the log may hold as unfinished.
    [[nodiscard]] const std::set<std::string> &unfinished() const noexcept { return unfinished_; }
    /// @brief Proposes what is wanted, one proposal at a time.
    /// @param wanted Replicas that are to be resumed.
    /// @param finished Replicas that cannot carry out a resume any more.
    /// @param now Present time.
    void update(const std::set<std::string> &wanted, const std::set<std::string> &finished,
                Instant now);
    /// @brief When a failed proposal may be repeated.
    [[nodiscard]] std::optional<Instant> retryAt() const noexcept { return retryAt_; }

private:
    struct Proposal
    {
        std::uint64_t number = 0;
        bool intends = false;
        std::set<std::string> endpoints;
    };

    void propose(bool intends, std::set<std::string> endpoints);

    ServiceScope &scope_;
    std::set<std::string> intended_{};   ///< For certain.
    std::set<std::string> unfinished_{}; ///< Perhaps.
    std::optional<Proposal> open_{};
    std::optional<Instant> retryAt_{};
};

} // namespace hyssoprock::internal
