#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief Replicated state of the control group of a pooled deployment.

namespace hyssoprock {

/// @brief Members of a service with synchronous replicas. A member is identified by its address,
/// because an endpoint that restarts keeps its address and its log, but not its identifier.
struct ServiceMembers
{
    std::map<std::string, std::string> endpoints; ///< Newest identifiers by address.
    std::string primaryAddress; ///< Address of the primary; empty if it is unknown.

    [[nodiscard]] bool operator==(const ServiceMembers &) const = default;
};

/// @brief Order in a command, with or without the start of the target's term.
/// @return Null if the command is no order.
[[nodiscard]] const OrderPromotion *orderOf(const ControlCommand &command) noexcept;

/// @brief Result of a command.
struct ControlResult
{
    bool changed = false;    ///< Whether the command changed the state.
    std::uint64_t token = 0; ///< Fencing token of an order; 0 for other commands.

    [[nodiscard]] bool operator==(const ControlResult &) const = default;
};

/// @brief State machine to which every control host applies the committed commands.
///
/// Neither the document version nor the last token ever decreases.
class ControlState
{
public:
    /// @brief Applies the next committed command.
    /// @param command Command to apply.
    /// @return Result of the command, identical on every host.
    ControlResult apply(const ControlCommand &command);

    /// @brief Encodes the whole state as a ControlSnapshot.
    [[nodiscard]] std::string encodeSnapshot() const;
    /// @brief Replaces the state by that of a later snapshot.
    /// @param bytes Encoded ControlSnapshot.
    /// @return ProtocolViolation if the bytes are damaged; the state is unchanged then.
    [[nodiscard]] Result<void> restoreSnapshot(std::string_view bytes);

    /// @brief Version of the stored document; 0 if there is none.
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
    /// @brief Stored document, as sent by the operator.
    [[nodiscard]] const std::string &document() const noexcept { return document_; }
    /// @brief Highest token issued so far.
    [[nodiscard]] std::uint64_t lastToken() const noexcept { return lastToken_; }
    /// @brief Whether the newest order of a service has no known outcome yet.
    [[nodiscard]] bool isPromotionUnsettled(const std::string &service) const
    {
        const auto found = promotions_.find(service);
        return found != promotions_.end() && !found->second.settled;
    }
    /// @brief Newest order of each service.
    [[nodiscard]] const std::map<std::string, PromotionRecord> &promotions() const noexcept
    {
        return promotions_;
    }
    /// @brief Replicas of each service on which a resume may still take effect.
    [[nodiscard]] const std::map<std::string, std::set<std::string>> &
    unfinishedResumes() const noexcept
    {
        return unfinishedResumes_;
    }

    /// @brief Members of each service with synchronous replicas that were ever recorded. Silence
    /// does not remove a member: it may hold commits that no other replica holds.
    [[nodiscard]] const std::map<std::string, ServiceMembers> &members() const noexcept
    {
        return members_;
    }

    /// @brief Starts of the terms of each service with a promotion.
    [[nodiscard]] const std::map<std::string, TermStartsRecord> &termStarts() const noexcept
    {
        return termStarts_;
    }

private:
    ControlResult applyCommand(const PutDocument &command);
    ControlResult applyCommand(const OrderPromotion &command);
    ControlResult applyCommand(const OrderPromotionAt &command);
    ControlResult applyCommand(const SettlePromotion &command);
    ControlResult applyCommand(const IntendResume &command);
    ControlResult applyCommand(const FinishResume &command);
    ControlResult applyCommand(const RecordMembers &command);
    ControlResult applyCommand(const ForgetMembers &command);

    std::uint64_t version_ = 0;
    std::string document_{};
    std::uint64_t lastToken_ = 0;
    std::map<std::string, PromotionRecord> promotions_{};
    std::map<std::string, std::set<std::string>> unfinishedResumes_{};
    std::map<std::string, ServiceMembers> members_{};
    std::map<std::string, TermStartsRecord> termStarts_{};
};

} // namespace hyssoprock
