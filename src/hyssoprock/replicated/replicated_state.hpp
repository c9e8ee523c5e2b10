#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <hyssoprock/core/result.hpp>

/// @file
/// @brief State machine that a Raft group replicates.

namespace hyssoprock {

/// @brief What RaftHost needs of the state that it replicates.
class ReplicatedState
{
public:
    ReplicatedState() = default;
    ReplicatedState(const ReplicatedState &) = delete;
    ReplicatedState &operator=(const ReplicatedState &) = delete;
    virtual ~ReplicatedState() = default;

    /// @brief Returns to the state before the first command.
    virtual void reset() = 0;
    /// @brief Applies the next committed command.
    /// @param command Bytes that were proposed.
    /// @param index Its index in the log.
    virtual void apply(std::string_view command, std::uint64_t index) = 0;
    /// @brief Notes a command that the log held after its snapshot when this host was started. It
    /// may have been committed; if so it is applied later.
    virtual void noteLogged(std::string_view /*command*/) {}
    /// @brief Encodes the whole state.
    [[nodiscard]] virtual std::string encodeSnapshot() const = 0;
    /// @brief Replaces the state by a later one.
    /// @param bytes From encodeSnapshot().
    /// @return ProtocolViolation if the bytes are damaged.
    [[nodiscard]] virtual Result<void> restoreSnapshot(std::string_view bytes) = 0;
};

} // namespace hyssoprock
