#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/daemon/deadline_timer.hpp>
#include <hyssoprock/pooler/control_clients.hpp>
#include <hyssoprock/pooler/control_group.hpp>
#include <hyssoprock/pooler/control_node_settings.hpp>
#include <hyssoprock/pooler/control_peers.hpp>
#include <hyssoprock/pooler/entry_host_publisher.hpp>
#include <hyssoprock/pooler/forwarded_calls.hpp>
#include <hyssoprock/storage/posix_file_system.hpp>
#include <hyssoprock/transport/tcp_listener.hpp>

/// @file
/// @brief Internal interface of a control host of a pooled deployment.

namespace hyssoprock {

/// @brief Serves the internal port of a control host: Raft messages, forwarded calls, entry host
/// subscriptions and operator requests. Used on one I/O thread. Callbacks are not called after
/// destruction.
class PooledControlNode
{
public:
    using PutDocumentCallback = ForwardedCalls::PutDocumentCallback;
    using ReadDocumentCallback = ForwardedCalls::ReadDocumentCallback;
    using ProposeCallback = ControlGroup::ProposeCallback;
    using LeadershipCallback = std::function<void(bool leading)>;
    using EvidenceCallback = std::function<void(const EvidenceReport &report)>;
    /// Returns the answer to a lease request of an entry host; std::nullopt for none.
    using LeaseCallback = std::function<std::optional<HostLeaseGrant>(
        const std::string &host, const HostLeaseRequest &request)>;
    /// Returns the answer to a request of an entry host for positions of primaries.
    using PositionCallback = std::function<PositionReport(const PositionRequest &request)>;
    using StatusReplyCallback = std::function<void(const PooledStatusResponse &status)>;
    using StatusRequestCallback =
        std::function<void(PooledStatusResponse status, StatusReplyCallback reply)>;
    using SharedEndpointsCallback = std::function<void(const std::vector<EndpointRecord> &endpoints,
                                                       const std::vector<EndpointGone> &gone)>;

    /// @param reader Parses deployment documents.
    /// @param seed Seed of reconnect jitter and election timeouts.
    /// @param files File system that holds the durable state.
    PooledControlNode(boost::asio::io_context &context, ControlNodeSettings settings,
                      DocumentParser reader, std::uint64_t seed,
                      std::shared_ptr<FileSystem> files = std::make_shared<PosixFileSystem>());
    PooledControlNode(const PooledControlNode &) = delete;
    PooledControlNode &operator=(const PooledControlNode &) = delete;
    ~PooledControlNode();

    /// @brief Restores the durable state and starts listening.
    /// @return The bound internal address, or the error.
    [[nodiscard]] Result<SocketAddress> start();

    /// @brief Transfers leadership and asks the other hosts to replace this voter.
    /// @param done Called within one second.
    void stop(std::function<void()> done);

    /// @brief Replaces the seeds; connections are updated at the next tick.
    /// @param seeds IP addresses of control hosts.
    void setSeeds(std::vector<std::string> seeds)
    {
        group_.membership().setSeeds(std::move(seeds));
    }

    /// @brief Stores a document; forwarded to the leader if necessary.
    /// @param version No effect unless it is higher than the stored version.
    /// @param document Document as the operator sent it.
    /// @param done Success once a document of at least this version is committed; Unreachable if no
    /// leader confirms it within 800 ms.
    void putDocument(std::uint64_t version, const std::string &document, PutDocumentCallback done);
    /// @brief Reads the newest acknowledged document; forwarded to the leader if necessary.
    /// @param done Version 0 if none was stored; Unreachable if no leader answers within 800 ms.
    void readDocument(ReadDocumentCallback done);

    /// @brief Whether this host leads with a valid lease and has applied every committed entry.
    [[nodiscard]] bool isLeader() const;
    /// @brief Proposes a command; only the leader can commit it.
    /// @param done See RaftHost::CompletionCallback. May be called late or never on a partitioned
    /// host.
    void propose(const ControlCommand &command, ProposeCallback done);
    /// @brief Cache of parsed documents, shared by all components of this host.
    [[nodiscard]] DocumentCache &documents() noexcept { return documents_; }
    /// @brief Replicated state as applied on this host; may lag behind the leader.
    [[nodiscard]] const ControlState &state() const noexcept { return group_.replica().state(); }

    /// @brief See ControlReplica::unsettledSince().
    [[nodiscard]] std::optional<Instant> unsettledSince(const std::string &service) const
    {
        return group_.replica().unsettledSince(service);
    }

    void onLeadershipChanged(LeadershipCallback callback)
    {
        leadershipCallback_ = std::move(callback);
    }
    void onEvidenceReceived(EvidenceCallback callback) { evidenceCallback_ = std::move(callback); }
    /// @brief Sets the callback for lease requests of entry hosts that have received all primaries
    /// known to this host.
    void onLeaseRequested(LeaseCallback callback) { leaseCallback_ = std::move(callback); }
    /// @brief Sets the callback for requests for positions of primaries. Only with it, entry hosts
    /// are offered positions.
    void onPositionsRequested(PositionCallback callback)
    {
        positionCallback_ = std::move(callback);
    }
    /// @brief Sets the source of the ended incarnations that another control host is told of when
    /// it connects. After a restart it may list endpoints that left while it was down.
    void setEndedEndpoints(std::function<std::vector<EndpointGone>()> ended)
    {
        endedEndpoints_ = std::move(ended);
    }
    /// @brief Sets the callback for endpoint changes that other control hosts have shared.
    void onEndpointsShared(SharedEndpointsCallback callback)
    {
        sharedEndpointsCallback_ = std::move(callback);
    }

    /// @brief Sets the callback for operator status requests. It receives groupStatus(), adds the
    /// endpoints and calls the reply callback. Without it, groupStatus() is sent as it is.
    void onStatusRequested(StatusRequestCallback callback)
    {
        statusCallback_ = std::move(callback);
    }

    /// @brief Asks entry hosts to send reports, which groupStatus() then includes.
    void requestReports();
    /// @brief Status without the endpoints.
    [[nodiscard]] PooledStatusResponse groupStatus() const;
    /// @brief Size of the Raft log and its snapshots on disk.
    [[nodiscard]] std::uint64_t logBytes() const;

    /// @brief Sends endpoint changes to the entry hosts.
    void pushEndpoints(const std::vector<EndpointRecord> &changed,
                       const std::vector<EndpointGone> &gone);
    /// @brief Sends the primary of a service to the entry hosts.
    void pushPrimary(const PrimaryRecord &record);
    /// @brief Sends to the other control hosts the endpoint changes that this host received
    /// directly.
    void shareEndpoints(const std::vector<EndpointRecord> &endpoints,
                        const std::vector<EndpointGone> &gone);
    /// @brief Asks connected entry hosts whether an endpoint is reachable.
    /// @param hosts Names of the entry hosts to ask; empty for all.
    void requestEvidence(const std::string &service, const std::string &endpoint,
                         const std::vector<std::string> &hosts = {});
    /// @brief Sorted names of the currently subscribed entry hosts.
    [[nodiscard]] std::vector<std::string> connectedEntryHosts() const;
    /// @brief Primary of a service as this host has announced it.
    /// @return std::nullopt if it is unknown or withdrawn.
    [[nodiscard]] std::optional<std::string> primaryOf(const std::string &service) const;
    /// @brief Number of entry hosts among which the connections of endpoints are divided.
    /// @return Recently subscribed hosts, or the restored count if it is higher and still valid.
    [[nodiscard]] std::uint32_t entryHostCount() const;
    /// @brief Sets the number of entry hosts before a restart. While they reconnect, each would
    /// otherwise take too large a share of the connections.
    /// @param count Expires after 10 s, like an entry host without contact.
    void restoreEntryHostCount(std::uint32_t count);
    /// @brief Sets the document version that was known to be committed before a restart. Called
    /// before start().
    /// @param version 0 if none is known.
    void restoreCommittedVersion(std::uint64_t version) noexcept;
    /// @brief Voters according to this host's log.
    [[nodiscard]] std::vector<std::string> voters() const;

private:
    [[nodiscard]] ControlClients::Handlers clientHandlers();
    [[nodiscard]] ControlPeers::Handlers peerHandlers();
    [[nodiscard]] Result<void> handleEntryFrame(std::uint64_t id, const ControlClient &client,
                                                const Frame &frame);
    [[nodiscard]] Result<void> handleControlFrame(std::uint64_t id, const ControlClient &client,
                                                  const Frame &frame);
    void sendStatus(std::uint64_t id);
    [[nodiscard]] Result<void> handleOperatorFrame(std::uint64_t id, const Frame &frame);
    [[nodiscard]] std::vector<ControlHostStatus> controlHostStatus() const;
    void handleForwardedCall(std::uint64_t id, const ForwardedCall &call);
    void updateAllowances(Instant now);
    void tick();
    void sendKeepAlive(Instant now);

    boost::asio::io_context &context_;
    ControlNodeSettings settings_;
    RandomSource random_;
    ControlPeers peers_;
    ControlGroup group_;
    ForwardedCalls forwardedCalls_;
    DocumentCache documents_;
    EntryHostPublisher publisher_;
    AllowanceOwner allowances_;
    bool offeringAllowances_ = false; ///< As last sent to the entry hosts.
    ControlClients clients_;
    TcpListener listener_;
    DeadlineTimer timer_;
    std::uint64_t keepAliveSequence_ = 0;
    Instant lastKeepAliveAt_{};
    LeadershipCallback leadershipCallback_{};
    EvidenceCallback evidenceCallback_{};
    LeaseCallback leaseCallback_{};
    PositionCallback positionCallback_{};
    std::function<std::vector<EndpointGone>()> endedEndpoints_{};
    SharedEndpointsCallback sharedEndpointsCallback_{};
    StatusRequestCallback statusCallback_{};
    /// Event loop callbacks hold a weak reference to it, so that none runs after destruction.
    std::shared_ptr<PooledControlNode *> alive_;
};

} // namespace hyssoprock
