#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/deployment/control_state.hpp>
#include <hyssoprock/message/codec.hpp>
#include <hyssoprock/replicated/replicated_state.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

/// @file
/// @brief Adapter between ControlState and a Raft group.

namespace hyssoprock {

/// @brief Newest document that is known to be committed. The view is valid until the replica
/// changes.
struct CommittedDocument
{
    std::uint64_t version = 0;   ///< 0 if there is none.
    std::string_view document{}; ///< Document as the operator sent it.
};

/// @brief Applies committed commands to a ControlState, and keeps the newest logged document that
/// was committed before a restart.
class ControlReplica final : public ReplicatedState
{
public:
    /// @param clock Returns the current time.
    explicit ControlReplica(std::function<Instant()> clock = monotonicNow)
        : clock_{std::move(clock)}
    {}

    void reset() override
    {
        state_ = ControlState{};
        unsettledSince_.clear();
    }

    void apply(std::string_view bytes, std::uint64_t /*index*/) override
    {
        const auto command = decode<ControlCommand>(bytes);
        check(command.has_value(), "a committed command can be decoded");
        if (const auto *const order = orderOf(command.value());
            order != nullptr && !state_.isPromotionUnsettled(order->service)) {
            unsettledSince_[order->service] = clock_();
        }
        lastResult_ = state_.apply(command.value());
        releaseSupersededDocument();
    }

    void recordLoggedCommand(std::string_view bytes) override
    {
        const auto command = decode<ControlCommand>(bytes);
        const auto *put =
            command.has_value() ? std::get_if<PutDocument>(&command.value().body) : nullptr;
        if (put != nullptr && put->version > newestLogged_.version
            && put->version <= committedVersion_) {
            newestLogged_ = *put;
        }
    }

    /// @brief Sets the document version that was known to be committed before a restart. Later log
    /// entries may still be replaced by others, even with the same version.
    /// @param version 0 if none is known.
    void restoreCommittedVersion(std::uint64_t version) noexcept { committedVersion_ = version; }

    [[nodiscard]] std::string encodeSnapshot() const override { return state_.encodeSnapshot(); }

    [[nodiscard]] Result<void> restoreSnapshot(std::string_view bytes) override
    {
        auto restored = state_.restoreSnapshot(bytes);
        unsettledSince_.clear();
        for (const auto &[service, record] : state_.promotions()) {
            if (!record.settled) {
                unsettledSince_[service] = clock_();
            }
        }
        releaseSupersededDocument();
        return restored;
    }

    [[nodiscard]] const ControlState &state() const noexcept { return state_; }
    /// @brief Newest document that this host knows to be committed; the group may have a newer one.
    [[nodiscard]] CommittedDocument newestCommittedDocument() const noexcept
    {
        return state_.version() >= newestLogged_.version
                   ? CommittedDocument{state_.version(), state_.document()}
                   : CommittedDocument{newestLogged_.version, newestLogged_.document};
    }
    /// @brief When this host applied the first order since the service's last settled one. The
    /// order was committed no later.
    /// @return std::nullopt if the newest order is settled.
    [[nodiscard]] std::optional<Instant> unsettledSince(const std::string &service) const
    {
        const auto found = unsettledSince_.find(service);
        return state_.isPromotionUnsettled(service) && found != unsettledSince_.end()
                   ? std::optional{found->second}
                   : std::nullopt;
    }
    /// @brief Result of the last applied command.
    [[nodiscard]] const ControlResult &lastResult() const noexcept { return lastResult_; }

private:
    void releaseSupersededDocument()
    {
        if (state_.version() >= newestLogged_.version) {
            newestLogged_ = {};
        }
    }

    std::function<Instant()> clock_;
    ControlState state_{};
    std::map<std::string, Instant> unsettledSince_{};
    ControlResult lastResult_{};
    std::uint64_t committedVersion_ = 0;
    PutDocument newestLogged_{}; ///< Committed document from the log, until the state catches up.
};

} // namespace hyssoprock
