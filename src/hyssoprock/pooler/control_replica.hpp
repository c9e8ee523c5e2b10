#pragma once

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/deployment/control_state.hpp>
#include <hyssoprock/message/codec.hpp>
#include <hyssoprock/replicated/replicated_state.hpp>

/// @file
/// @brief ControlState as the state of a Raft group.

namespace hyssoprock {

/// @brief A document that is known to be committed. Valid until the replica changes.
struct CommittedDocument
{
    std::uint64_t version = 0;   ///< Version; 0 if there is none.
    std::string_view document{}; ///< The document as the operator sent it.
};

/// @brief Replicates a ControlState.
class ControlReplica final : public ReplicatedState
{
public:
    void reset() override { state_ = ControlState{}; }

    void apply(std::string_view bytes, std::uint64_t /*index*/) override
    {
        const auto command = decode<ControlCommand>(bytes);
        check(command.has_value(), "a committed command can be decoded");
        result_ = state_.apply(command.value());
        releaseLogged();
    }

    void recordLoggedCommand(std::string_view bytes) override
    {
        const auto command = decode<ControlCommand>(bytes);
        const auto *put =
            command.has_value() ? std::get_if<PutDocument>(&command.value().body) : nullptr;
        if (put != nullptr && put->version > logged_.version && put->version <= committed_) {
            logged_ = *put;
        }
    }

    /// @brief States which version was known to be committed before this host was started. What
    /// the log holds beyond it may yet be replaced by other content of the same version.
    /// @param version The version; 0 if none is known.
    void restoreCommittedVersion(std::uint64_t version) noexcept { committed_ = version; }

    [[nodiscard]] std::string encodeSnapshot() const override { return state_.encodeSnapshot(); }

    [[nodiscard]] Result<void> restoreSnapshot(std::string_view bytes) override
    {
        auto restored = state_.restoreSnapshot(bytes);
        releaseLogged();
        return restored;
    }

    /// @brief The replicated state.
    [[nodiscard]] const ControlState &state() const noexcept { return state_; }
    /// @brief Newest document that is known to be committed; the group may have a newer one.
    [[nodiscard]] CommittedDocument newestCommittedDocument() const noexcept
    {
        return state_.version() >= logged_.version
                   ? CommittedDocument{state_.version(), state_.document()}
                   : CommittedDocument{logged_.version, logged_.document};
    }
    /// @brief Result of the command that was applied last.
    [[nodiscard]] const ControlResult &lastResult() const noexcept { return result_; }

private:
    void releaseLogged()
    {
        if (state_.version() >= logged_.version) {
            logged_ = {};
        }
    }

    ControlState state_{};
    ControlResult result_{};
    std::uint64_t committed_ = 0;
    PutDocument logged_{}; ///< Newest committed document in the log when this host was started.
};

} // namespace hyssoprock
