#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/consensus.hpp>

/// @file
/// @brief What a leader knows of one other control host.

namespace hyssoprock {

/// @brief Progress of one follower.
struct PeerProgress
{
    /// @brief A request whose answer has not come.
    struct Sent
    {
        std::uint64_t sequence; ///< Its sequence number.
        Instant at;             ///< When it was sent.
    };

    /// @brief A snapshot that is being sent in parts. A newer one does not replace it, so that a
    /// slow follower makes progress while changes go on.
    struct SnapshotTransfer
    {
        std::shared_ptr<const RaftSnapshot> snapshot; ///< What is sent.
        std::uint64_t offset = 0;                     ///< Next byte to send.
        std::uint64_t received = 0;                   ///< Bytes that the follower has.
        std::uint64_t barrier = 0;                    ///< Answers to older requests are ignored.
        Instant progressAt;                           ///< Newest progress.
    };

    std::uint64_t next = 1;                   ///< Next index to send.
    std::uint64_t match = 0;                  ///< Last index known to be synced there.
    std::uint64_t windowStart = 1;            ///< Entries from here on were sent since startAt().
    std::uint64_t rewindSequence = 0;         ///< Refusals of older requests are ignored.
    std::deque<Sent> sent;                    ///< Unanswered requests, oldest first.
    std::optional<Instant> confirmedAt;       ///< When the newest answered request was sent.
    std::optional<SnapshotTransfer> transfer; ///< The snapshot under way.
    std::uint64_t leastSequence = 0;          ///< Answers to older requests are ignored.
    bool recovering = false;                  ///< It has lost its data; counts towards no majority.
    Instant recoveringSince;                  ///< When the leader learned that.
    std::uint64_t recoverIndex = 0;           ///< Index that it must reach to be readmitted.

    /// @brief Sends from an index on; entries before it do not count as unanswered.
    void startAt(std::uint64_t index) noexcept;
    /// @brief Notes a request.
    void noteSent(std::uint64_t sequence, Instant now);
    /// @brief Notes the answer to a request: it proves contact at the time of sending.
    void noteAnswered(std::uint64_t sequence);
    /// @brief Starts over after the peer has lost its data.
    void startRecovery(std::uint64_t nextSequence, std::uint64_t lastIndex, Instant now);
};

} // namespace hyssoprock
