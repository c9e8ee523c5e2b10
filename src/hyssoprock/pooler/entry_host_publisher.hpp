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
/// @brief What a control host sends to the entry hosts that are subscribed to it.

namespace hyssoprock {

/// @brief Keeps subscribed entry hosts up to date. Used on one I/O thread.
class EntryHostPublisher
{
public:
    /// @brief Knows no entry host.
    /// @param group Holds the document; outlives this object.
    /// @param calls Asks the leader for the newest version; outlives this object.
    /// @param dataCentre Data centre of this host.
    /// @param documents Reads documents; outlives this object.
    EntryHostPublisher(const ControlGroup &group, ForwardedCalls &calls, std::string dataCentre,
                       DocumentCache &documents);

    /// @brief Takes a subscription; a second one on a connection starts over.
    /// @param id Identifies the connection.
    /// @param connection The connection.
    /// @param request What the entry host holds.
    void subscribe(std::uint64_t id, std::shared_ptr<FrameConnection> connection,
                   const SubscribeRequest &request);
    /// @brief Takes a request for the document. It is sent once little else waits for the entry
    /// host, so that at most one document does.
    void request(std::uint64_t id, const DocumentRequest &request);
    /// @brief Notes which version another control host knows to be committed.
    void noteVersion(const std::string &controlHost, std::uint64_t version);
    /// @brief Notes that an entry host is there.
    void heard(std::uint64_t id, Instant now);
    /// @brief Notes that a connection is not open any more.
    void remove(std::uint64_t id) { subscribers_.erase(id); }
    /// @brief Sends what has changed.
    void tick(Instant now);

    /// @brief Tells entry hosts of changed endpoints.
    void pushEndpoints(const std::vector<EndpointRecord> &changed,
                       const std::vector<EndpointGone> &gone);
    /// @brief Tells entry hosts of a primary.
    void pushPrimary(const PrimaryRecord &record);
    /// @brief Asks all subscribed entry hosts whether they reach an endpoint.
    void requestEvidence(const std::string &service, const std::string &endpoint);

    /// @brief Asks all subscribed entry hosts to report about themselves for a while.
    /// @return Whether they report already.
    bool requestReports(Instant now);
    /// @brief Takes what an entry host reports about itself.
    void report(std::uint64_t id, EntryReport report);
    /// @brief State of the subscribed entry hosts, by name.
    [[nodiscard]] std::vector<EntryHostStatus> status() const;
    /// @brief Primaries that entry hosts were told of.
    [[nodiscard]] const std::map<std::string, PrimaryRecord> &primaries() const noexcept
    {
        return primaries_;
    }

    /// @brief Names of the entry hosts that are subscribed now.
    [[nodiscard]] std::vector<std::string> connected() const;
    /// @brief Number of entry hosts that were subscribed lately, or what is assumed if that is
    /// more.
    [[nodiscard]] std::uint32_t count() const;
    /// @brief States how many entry hosts there were before this host was started again.
    void restoreCount(std::uint32_t count);

private:
    struct Subscriber
    {
        std::shared_ptr<FrameConnection> connection;
        std::string host;
        std::string dataCentre;
        std::optional<EntryReport> report{};
        bool complete = false;                   ///< The complete update was sent.
        bool provisional = false;                ///< A version that may be outdated was announced.
        bool asking = false;                     ///< A read of the newest version is under way.
        std::optional<std::uint64_t> newest{};   ///< Version acknowledged before the subscription.
        std::uint64_t documentVersion = 0;       ///< Newest version that was announced.
        std::optional<DocumentRequest> wanted{}; ///< Request that is not answered yet.
        std::uint32_t entryHosts = 0;
        std::vector<std::string> controlHosts{};
    };

    [[nodiscard]] bool reportsAsked(Instant now) const;
    void updateAll();
    void askNewest(std::uint64_t id, Subscriber &subscriber);
    void update(Subscriber &subscriber, std::uint32_t entryHosts,
                const std::vector<std::string> &controlHosts);
    void updateProvisionally(Subscriber &subscriber, std::uint32_t entryHosts,
                             const std::vector<std::string> &controlHosts);
    void answer(Subscriber &subscriber);
    void sendAll(const SharedFrame &frame);

    const ControlGroup &group_;
    ForwardedCalls &calls_;
    std::string dataCentre_;
    DocumentFrameCache documents_;
    ProvisionalVersion provisional_;
    std::map<std::uint64_t, Subscriber> subscribers_{};
    std::map<std::string, EndpointRecord> endpoints_{};
    std::map<std::string, PrimaryRecord> primaries_{};
    std::map<std::string, Instant> seen_{};
    std::optional<Instant> reportsAskedAt_{};
    std::uint32_t assumedCount_ = 0;
    Instant assumedUntil_{};
};

} // namespace hyssoprock
