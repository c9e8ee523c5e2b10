#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include <hyssoprock/promotion/service_scope.hpp>

/// @file
/// @brief Records the members of one service in the log of the control group.

namespace hyssoprock::internal {

/// @brief Knows all members of a service with synchronous replicas, also those that this control
/// host has never heard of because it has restarted. A majority of pauses counts against them.
///
/// A member is removed only when a document sets the service's synchronous replicas to 0: a silent
/// one may still receive commits, and a new endpoint at its address holds its log.
class MemberLog
{
public:
    explicit MemberLog(ServiceScope &scope)
        : scope_{scope}
    {}

    /// @brief Restores the members that are recorded in the log.
    void restore(const ServiceMembers &members) { recorded_ = members; }
    /// @brief Processes the completion of a proposal; ignores proposals of other objects.
    void handle(const promotion::MembersProposalCompleted &event, Instant now);
    /// @brief Handles an accepted promotion. Until the target reports that it is primary, it is not
    /// known whether the promotion was executed.
    void handlePromotion() { recorded_.primaryAddress.clear(); }
    /// @brief Proposes the outstanding changes, one proposal at a time.
    /// @param primary Endpoint that is announced and reports that it is primary; null if unknown.
    /// @param now Current time.
    void update(const KnownEndpoint *primary, Instant now);

    /// @brief Number of members that may be replicas: the known and the recorded ones, except for
    /// the primary to replace.
    /// @param replaced Identifier of the primary to replace; empty if unknown.
    [[nodiscard]] std::size_t replicaCount(const std::string &replaced) const;
    /// @brief Known endpoint at the recorded address of the primary; empty if there is none.
    [[nodiscard]] std::string recordedPrimary() const;

private:
    void proposeChanges(const std::string &primaryAddress);
    [[nodiscard]] std::string addressOf(const std::string &endpoint) const;

    ServiceScope &scope_;
    ServiceMembers recorded_{};      ///< As committed or proposed last.
    std::uint64_t openProposal_ = 0; ///< 0 if none is open.
    bool isRepeatNeeded_ = false;    ///< The last proposal may not have been committed.
    std::optional<Instant> retryAt_{};
};

} // namespace hyssoprock::internal
