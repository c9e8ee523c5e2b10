#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <hyssoprock/core/result.hpp>

/// @file
/// @brief Interface of the state that a Raft group replicates.

namespace hyssoprock {

/// @brief State machine replicated by RaftHost.
class ReplicatedState
{
public:
    ReplicatedState() = default;
    ReplicatedState(const ReplicatedState &) = delete;
    ReplicatedState &operator=(const ReplicatedState &) = delete;
    virtual ~ReplicatedState() = default;

    /// @brief Resets the state to that before the first command.
    virtual void reset() = 0;
    /// @brief Applies the next committed command.
    /// @param command The proposed bytes.
    /// @param index Log index of the command.
    virtual void apply(std::string_view command, std::uint64_t index) = 0;
    /// @brief Called at the start of the host for each command that follows the snapshot in the
    /// log. The command may have been committed; in this case it is applied later.
    virtual void recordLoggedCommand(std::string_view /*command*/) {}
    /// @brief Encodes the whole state.
    [[nodiscard]] virtual std::string encodeSnapshot() const = 0;
    /// @brief Replaces the state by a later one.
    /// @param bytes Result of encodeSnapshot().
    /// @return ProtocolViolation if the bytes are invalid.
    [[nodiscard]] virtual Result<void> restoreSnapshot(std::string_view bytes) = 0;
};

} // namespace hyssoprock
