#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/deployment/topology.hpp>

/// @file
/// @brief Selects the control host from which an entry host fetches the document.

namespace hyssoprock {

/// @brief Request for the newest document.
struct DocumentFetchRequest
{
    std::string host;           ///< Control host to send the request to.
    bool wholeDocument = false; ///< Whether to request the whole document instead of a delta.
};

/// @brief Decides which control host to request the document from, and when to request it from
/// another one. Performs no I/O; the time is passed as an argument.
///
/// Only one request is pending at a time. Control hosts in the same data centre are preferred, then
/// those in the same region. If the nearest one has not yet announced a version that others have,
/// the request is delayed briefly.
class DocumentFetchScheduler
{
public:
    /// @brief Creates a scheduler without control hosts.
    /// @param seed Distributes entry hosts over control hosts that are equally near.
    explicit DocumentFetchScheduler(std::uint64_t seed)
        : seed_{seed}
    {}

    /// @brief Handles a new connection.
    /// @param host Control host.
    /// @param now Current time.
    /// @return Whether the subscription must request the document. True if this host has no
    /// document and no request is pending, so that a starting host does not wait for an
    /// announcement.
    [[nodiscard]] bool handleConnect(const std::string &host, Instant now);
    /// @brief Handles the announcement of a version that a control host can send.
    /// @param host Control host.
    /// @param proximity Distance of the control host from this host.
    /// @param version Newest version of the control host; 0 if it has none.
    /// @param now Current time.
    void handleAnnouncement(const std::string &host, Proximity proximity, std::uint64_t version,
                            Instant now);
    void handleDisconnect(const std::string &host);
    /// @brief Handles progress of an answer, which extends its timeout.
    void handleProgress(const std::string &host, Instant now);
    /// @brief Handles a valid answer.
    /// @param host Control host that answered, even if the request to it is no longer pending.
    /// @param heldVersion Version in force after the answer.
    /// @param now Current time.
    void handleAnswer(const std::string &host, std::uint64_t heldVersion, Instant now);
    /// @brief Handles an unusable answer. The next request is for the whole document.
    void handleFailure(const std::string &host, Instant now);

    /// @brief Returns the request to send now. To be called after each event and every 100 ms.
    /// @return std::nullopt if no newer version is known, a request is pending, or the nearest
    /// control host is being waited for.
    [[nodiscard]] std::optional<DocumentFetchRequest> nextRequest(Instant now);

private:
    struct Source
    {
        Proximity proximity = Proximity::Remote;
        std::uint64_t version = 0;
        std::optional<Instant> failedAt{};
        std::uint64_t rank = 0; ///< Order among equally near hosts.
    };
    struct PendingRequest
    {
        std::string host;
        Instant requestedAt;
        Instant deadline;
        bool beforeAnnouncement = false; ///< Sent with the subscription, before any announcement.
    };

    Source &sourceFor(const std::string &host);
    [[nodiscard]] bool isBehind() const;
    [[nodiscard]] bool isAwaitingAnswer(Instant now);

    std::uint64_t seed_;
    std::uint64_t heldVersion_ = 0;
    bool wholeDocumentNeeded_ = false;
    std::map<std::string, Source> sources_{};
    std::optional<PendingRequest> pendingRequest_{};
    std::optional<Instant> behindSince_{};
};

} // namespace hyssoprock
