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

/// @brief What a command did.
struct ControlResult
{
    bool changed = false;    ///< Whether the state is another one now.
    std::uint64_t token = 0; ///< Token of an order; 0 for other commands.

    [[nodiscard]] bool operator==(const ControlResult &) const = default;
};

/// @brief State machine that every control host runs on the committed commands.
///
/// Neither the document's version nor the newest token ever falls.
class ControlState
{
public:
    /// @brief Applies the next committed command.
    /// @param command The command.
    /// @return What it did; the same on every host.
    ControlResult apply(const ControlCommand &command);

    /// @brief Encodes the whole state.
    /// @return Bytes of a ControlSnapshot.
    [[nodiscard]] std::string encodeSnapshot() const;
    /// @brief Replaces the state by a later one.
    /// @param bytes Bytes of a ControlSnapshot.
    /// @return ProtocolViolation if the bytes are damaged; the state is unchanged then.
    [[nodiscard]] Result<void> restoreSnapshot(std::string_view bytes);

    /// @brief Version of the stored document; 0 for none.
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
    /// @brief The document as the operator sent it.
    [[nodiscard]] const std::string &document() const noexcept { return document_; }
    /// @brief Highest token given out.
    [[nodiscard]] std::uint64_t lastToken() const noexcept { return lastToken_; }
    /// @brief Newest order for each service.
    [[nodiscard]] const std::map<std::string, PromotionRecord> &promotions() const noexcept
    {
        return promotions_;
    }
    /// @brief Replicas of each service that may still carry out a resume.
    [[nodiscard]] const std::map<std::string, std::set<std::string>> &
    unfinishedResumes() const noexcept
    {
        return unfinishedResumes_;
    }

private:
    ControlResult run(const PutDocument &command);
    ControlResult run(const OrderPromotion &command);
    ControlResult run(const SettlePromotion &command);
    ControlResult run(const IntendResume &command);
    ControlResult run(const FinishResume &command);

    std::uint64_t version_ = 0;
    std::string document_{};
    std::uint64_t lastToken_ = 0;
    std::map<std::string, PromotionRecord> promotions_{};
    std::map<std::string, std::set<std::string>> unfinishedResumes_{};
};

} // namespace hyssoprock
