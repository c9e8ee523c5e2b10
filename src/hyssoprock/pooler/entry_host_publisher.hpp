#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/controlgroup/provisional_version.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/pooling.hpp>
#include <hyssoprock/pooler/control_group.hpp>
#include <hyssoprock/pooler/document_frame_cache.hpp>
#include <hyssoprock/pooler/forwarded_calls.hpp>
#include <hyssoprock/transport/frame_connection.hpp>

/// @file
/// @brief Sends updates from a control host to its subscribed entry hosts.

namespace hyssoprock {

/// @brief Sends documents, endpoints, primaries and requests to subscribed entry hosts. Used on one
/// I/O thread.
class EntryHostPublisher
{
public:
    /// @param group Provides the replicated document; must outlive this object.
    /// @param calls Reads the newest version from the leader; must outlive this object.
    /// @param dataCentre Data centre of this host.
    /// @param documents Must outlive this object.
    EntryHostPublisher(const ControlGroup &group, ForwardedCalls &calls, std::string dataCentre,
                       DocumentCache &documents);

    /// @brief Processes a subscription. A repeated one on the same connection replaces the first.
    /// @param id Identifier of the connection.
    /// @param request Contains the document version that the entry host holds.
    void subscribe(std::uint64_t id, std::shared_ptr<FrameConnection> connection,
                   const SubscribeRequest &request);
    /// @brief Processes a request for the document. The document is sent once the output queue is
    /// short, so that at most one document is queued per entry host.
    void handleRequest(std::uint64_t id, const DocumentRequest &request);
    /// @brief Records the document version that another control host knows to be committed.
    void recordControlHostVersion(const std::string &controlHost, std::uint64_t version);
    /// @brief Records contact with an entry host.
    void recordContact(std::uint64_t id, Instant now);
    /// @brief Removes a closed connection.
    void remove(std::uint64_t id) { subscribers_.erase(id); }
    /// @brief Sends pending changes.
    void tick(Instant now);

    /// @brief Sends endpoint changes to the entry hosts.
    void pushEndpoints(const std::vector<EndpointRecord> &changed,
                       const std::vector<EndpointGone> &gone);
    /// @brief Sends the primary of a service to the entry hosts.
    void pushPrimary(const PrimaryRecord &record);
    /// @brief Asks subscribed entry hosts whether an endpoint is reachable.
    /// @param hosts Names of the entry hosts to ask; empty for all.
    void requestEvidence(const std::string &service, const std::string &endpoint,
                         const std::vector<std::string> &hosts);

    /// @brief Asks all subscribed entry hosts to send reports; the request expires unless it is
    /// repeated.
    /// @return Whether reports were already requested.
    bool requestReports(Instant now);
    /// @brief Merges a report of an entry host into its previous one.
    void recordReport(std::uint64_t id, EntryReport report);
    /// @brief Status of the subscribed entry hosts, sorted by name.
    [[nodiscard]] std::vector<EntryHostStatus> status() const;
    /// @brief Primaries by service, as sent to the entry hosts.
    [[nodiscard]] const std::map<std::string, PrimaryRecord> &primaries() const noexcept
    {
        return primaries_;
    }

    /// @brief Whether a subscriber was sent all endpoints and primaries that this host knows.
    [[nodiscard]] bool isComplete(std::uint64_t id) const
    {
        const auto found = subscribers_.find(id);
        return found != subscribers_.end() && found->second.complete;
    }
    /// @brief Sorted names of the currently subscribed entry hosts.
    [[nodiscard]] std::vector<std::string> connected() const;
    /// @brief Number of recently subscribed entry hosts, or the restored count if it is higher and
    /// still valid.
    [[nodiscard]] std::uint32_t count() const;
    /// @brief Sets the number of entry hosts before a restart. Expires like an entry host without
    /// contact.
    void restoreCount(std::uint32_t count);

private:
    struct Subscriber
    {
        std::shared_ptr<FrameConnection> connection;
        std::string host;
        std::string dataCentre;
        std::optional<EntryReport> report{};
        bool complete = false;       ///< The complete update has been sent.
        bool provisional = false;    ///< A possibly outdated version was announced.
        bool readingVersion = false; ///< A read of the newest version is pending.
        std::optional<std::uint64_t>
            newestVersion{}; ///< Newest version at the time of the subscription, from the leader.
        std::uint64_t documentVersion = 0;               ///< Newest announced version.
        std::optional<DocumentRequest> pendingRequest{}; ///< Unanswered request.
        std::uint32_t entryHosts = 0;
        std::vector<std::string> controlHosts{};
    };

    [[nodiscard]] bool reportsRequested(Instant now) const;
    void updateAll();
    void readNewestVersion(std::uint64_t id, Subscriber &subscriber);
    void update(Subscriber &subscriber, std::uint32_t entryHosts,
                const std::vector<std::string> &controlHosts);
    void updateProvisionally(Subscriber &subscriber, std::uint32_t entryHosts,
                             const std::vector<std::string> &controlHosts);
    void answerRequest(Subscriber &subscriber);
    void sendAll(const SharedFrame &frame);

    const ControlGroup &group_;
    ForwardedCalls &forwardedCalls_;
    std::string dataCentre_;
    DocumentFrameCache documents_;
    ProvisionalVersion provisional_;
    std::map<std::uint64_t, Subscriber> subscribers_{};
    std::map<std::string, EndpointRecord> endpoints_{};
    std::map<std::string, PrimaryRecord> primaries_{};
    std::map<std::string, Instant> lastSeenAt_{};
    std::optional<Instant> reportsRequestedAt_{};
    std::uint32_t restoredCount_ = 0;
    Instant restoredCountUntil_{};
};

} // namespace hyssoprock
