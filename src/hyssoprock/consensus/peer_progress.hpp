#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/consensus.hpp>

/// @file
/// @brief Replication progress of one other control host, as known to the leader.

namespace hyssoprock {

/// @brief Progress of one follower.
struct PeerProgress
{
    /// @brief A request without a response so far.
    struct SentRequest
    {
        std::uint64_t sequence; ///< Its sequence number.
        Instant sentAt;         ///< When it was sent.
    };

    /// @brief A snapshot that is being sent in parts. It is not replaced by a newer one, so that a
    /// slow follower makes progress while snapshots are taken.
    struct SnapshotTransfer
    {
        std::shared_ptr<const RaftSnapshot> snapshot; ///< The snapshot.
        std::uint64_t offset = 0;                     ///< Next byte to send.
        std::uint64_t receivedBytes = 0;              ///< Bytes that the follower has received.
        std::uint64_t sequenceMin = 0;                ///< Responses to older requests are ignored.
        Instant lastProgressAt;                       ///< When progress was last made.
    };

    std::uint64_t nextIndex = 1;                ///< Index of the next entry to send.
    std::uint64_t matchIndex = 0;               ///< Last index known to be durable at the follower.
    std::uint64_t windowStart = 1;              ///< First index sent since the last startFrom().
    std::uint64_t rewindSequence = 0;           ///< Rejections of older requests are ignored.
    std::deque<SentRequest> unansweredRequests; ///< Oldest first.
    std::optional<Instant> confirmedAt;       ///< When the newest request with a response was sent.
    std::optional<SnapshotTransfer> transfer; ///< The snapshot in transfer.
    std::uint64_t sequenceMin = 0;            ///< Responses to older requests are ignored.
    bool recovering = false;         ///< It has lost its data and counts towards no majority.
    Instant recoveringSince;         ///< When the leader learned of the data loss.
    std::uint64_t recoveryIndex = 0; ///< Index that it must reach to be readmitted.

    /// @brief Continues sending at an index. Earlier entries no longer count as unanswered.
    void startFrom(std::uint64_t index) noexcept;
    /// @brief Records a sent request.
    void recordRequest(std::uint64_t sequence, Instant now);
    /// @brief Records the response to a request, which proves contact after the time of sending.
    void recordResponse(std::uint64_t sequence);
    /// @brief Resets the progress of a peer that has lost its data.
    void startRecovery(std::uint64_t nextSequence, std::uint64_t lastIndex, Instant now);
};

} // namespace hyssoprock
