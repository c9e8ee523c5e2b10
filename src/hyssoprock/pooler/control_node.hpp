#pragma once

#include <cstdint>
#include <functional>
#include <memory>
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
/// @brief Internal side of a control host of a pooled deployment.

namespace hyssoprock {

/// @brief Connects the control group, the entry hosts and the parts that a control host runs. Used
/// on one I/O thread. Callbacks are not called after destruction.
class PooledControlNode
{
public:
    using PutDocumentCallback = ForwardedCalls::PutDocumentCallback;
    using ReadDocumentCallback = ForwardedCalls::ReadDocumentCallback;
    using ProposeCallback = ControlGroup::ProposeCallback;
    using LeadershipCallback = std::function<void(bool leading)>;
    using EvidenceCallback = std::function<void(const EvidenceReport &report)>;
    using StatusReplyCallback = std::function<void(const PooledStatusResponse &status)>;
    using StatusRequestCallback =
        std::function<void(PooledStatusResponse status, StatusReplyCallback reply)>;
    using SharedEndpointsCallback = std::function<void(const std::vector<EndpointRecord> &endpoints,
                                                       const std::vector<EndpointGone> &gone)>;

    /// @brief Does nothing until start().
    /// @param context I/O context.
    /// @param settings Settings.
    /// @param reader Reads documents.
    /// @param seed Seed of jitter and timeouts.
    /// @param files Where the durable state is kept.
    PooledControlNode(boost::asio::io_context &context, ControlNodeSettings settings,
                      DocumentParser reader, std::uint64_t seed,
                      std::shared_ptr<FileSystem> files = std::make_shared<PosixFileSystem>());
    PooledControlNode(const PooledControlNode &) = delete;
    PooledControlNode &operator=(const PooledControlNode &) = delete;
    ~PooledControlNode();

    /// @brief Restores the durable state and listens.
    /// @return The internal address, or why it cannot start.
    [[nodiscard]] Result<SocketAddress> start();

    /// @brief Hands leadership over, asks to be replaced, and calls back within a second.
    void stop(std::function<void()> done);

    /// @brief Replaces the seeds; connections follow at the next tick.
    /// @param seeds IP numbers of control hosts.
    void setSeeds(std::vector<std::string> seeds)
    {
        group_.membership().setSeeds(std::move(seeds));
    }

    /// @brief Stores a document, on any host.
    /// @param version Version; one that is not higher than the stored one changes nothing.
    /// @param document The document as the operator sent it.
    /// @param done Success: a document of at least this version is committed. Unreachable: no
    /// leader has confirmed it within 800 ms.
    void putDocument(std::uint64_t version, const std::string &document, PutDocumentCallback done);
    /// @brief Reads the newest acknowledged document, on any host.
    /// @param done Version 0 if none was stored; Unreachable without a leader within 800 ms.
    void readDocument(ReadDocumentCallback done);

    /// @brief Whether this host leads with a valid lease and holds every committed entry.
    [[nodiscard]] bool isLeader() const;
    /// @brief Proposes a command on the leader.
    /// @param done See RaftHost::CompletionCallback; may come late or never on a host that is cut
    /// off.
    void propose(const ControlCommand &command, ProposeCallback done);
    /// @brief Reads a document, each one once for all parts of this host.
    [[nodiscard]] DocumentCache &documents() noexcept { return documents_; }
    /// @brief The replicated state as far as this host has applied it.
    [[nodiscard]] const ControlState &state() const noexcept { return group_.replica().state(); }

    void onLeadershipChanged(LeadershipCallback callback)
    {
        leadershipChanged_ = std::move(callback);
    }
    void onEvidenceReceived(EvidenceCallback callback) { evidenceReceived_ = std::move(callback); }
    /// @brief What other control hosts have heard from endpoints.
    void onEndpointsShared(SharedEndpointsCallback callback)
    {
        endpointsShared_ = std::move(callback);
    }

    /// @brief An operator asks for the status. The callback gets what this node knows, adds the
    /// endpoints and replies; without it the node's own part is the answer.
    void onStatusRequested(StatusRequestCallback callback) { statusAsked_ = std::move(callback); }

    /// @brief Asks entry hosts to report about themselves, for groupStatus() from now on.
    void requestReports();
    /// @brief Status without its endpoints.
    [[nodiscard]] PooledStatusResponse groupStatus() const;
    /// @brief Bytes of the Raft log and its snapshots on disk.
    [[nodiscard]] std::uint64_t logBytes() const;

    /// @brief Tells entry hosts of changed endpoints.
    void pushEndpoints(const std::vector<EndpointRecord> &changed,
                       const std::vector<EndpointGone> &gone);
    /// @brief Tells entry hosts of a primary.
    void pushPrimary(const PrimaryRecord &record);
    /// @brief Passes on to the other control hosts what endpoints have told this host itself.
    void shareEndpoints(const std::vector<EndpointRecord> &endpoints,
                        const std::vector<EndpointGone> &gone);
    /// @brief Asks all connected entry hosts whether they reach an endpoint.
    void requestEvidence(const std::string &service, const std::string &endpoint);
    /// @brief Names of the entry hosts that are subscribed to this host now.
    [[nodiscard]] std::vector<std::string> connectedEntryHosts() const;
    /// @brief Number of entry hosts that share the connections of endpoints.
    /// @return Hosts that were subscribed lately, or what was assumed after the start if that is
    /// more.
    [[nodiscard]] std::uint32_t entryHostCount() const;
    /// @brief States how many entry hosts there were before this host was started again. Until all
    /// have come back, each would otherwise take too large a share of the connections.
    /// @param count Their number; it counts for as long as an entry host that is not seen.
    void restoreEntryHostCount(std::uint32_t count);
    /// @brief States which version was known to be committed before this host was started again.
    /// Called before start().
    /// @param version The version; 0 if none is known.
    void restoreCommittedVersion(std::uint64_t version) noexcept;
    /// @brief Voters by this host's log.
    [[nodiscard]] std::vector<std::string> voters() const;

private:
    [[nodiscard]] ControlClients::Handlers visitorHandlers();
    [[nodiscard]] ControlPeers::Handlers peerHandlers();
    [[nodiscard]] Result<void> takeEntry(std::uint64_t id, const ControlClient &visitor,
                                         const Frame &frame);
    [[nodiscard]] Result<void> takeControl(std::uint64_t id, const ControlClient &visitor,
                                           const Frame &frame);
    void answerOperator(std::uint64_t id);
    [[nodiscard]] Result<void> takeOperator(std::uint64_t id, const Frame &frame);
    [[nodiscard]] std::vector<ControlHostStatus> controlHostStatus() const;
    void takeForwarded(std::uint64_t id, const ForwardedCall &call);
    void tick();
    void keepAlive(Instant now);

    boost::asio::io_context &context_;
    ControlNodeSettings settings_;
    RandomSource random_;
    ControlPeers peers_;
    ControlGroup group_;
    ForwardedCalls calls_;
    DocumentCache documents_;
    EntryHostPublisher feed_;
    ControlClients visitors_;
    TcpListener listener_;
    DeadlineTimer timer_;
    std::uint64_t keepAlives_ = 0;
    Instant keepAliveAt_{};
    LeadershipCallback leadershipChanged_{};
    EvidenceCallback evidenceReceived_{};
    SharedEndpointsCallback endpointsShared_{};
    StatusRequestCallback statusAsked_{};
    /// Callbacks of the event loop hold a weak reference, so that none runs after destruction.
    std::shared_ptr<PooledControlNode *> alive_;
};

} // namespace hyssoprock
