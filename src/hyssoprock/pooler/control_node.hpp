#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/controlgroup/group_membership.hpp>
#include <hyssoprock/daemon/deadline_timer.hpp>
#include <hyssoprock/pooler/control_replica.hpp>
#include <hyssoprock/replicated/raft_host.hpp>
#include <hyssoprock/transport/frame_client.hpp>
#include <hyssoprock/transport/tcp_listener.hpp>

/// @file
/// @brief Internal side of a control host of a pooled deployment.

namespace hyssoprock {

/// @brief Settings of the control role's internal side.
struct ControlNodeSettings
{
    std::string name;                    ///< This host: its IP number.
    std::string hostName;                ///< Name for people.
    std::string dataCentre;              ///< Data centre.
    SocketAddress internal;              ///< Where to listen; the port is the same on every host.
    std::vector<std::string> seeds;      ///< IP numbers of control hosts; may be out of date.
    bool bootstrap = false;              ///< First start of the whole system.
    std::uint32_t failuresTolerated = 1; ///< Voters that may fail at the same time.
    std::string dataFolder;              ///< Folder of the durable state.
    RaftSettings raft;                   ///< Timing of the control group.
};

/// @brief A document with its version.
using VersionedDocument = std::pair<std::uint64_t, std::string>;

/// @brief Connects the control group, the entry hosts and the parts that a control host runs. Used
/// on one I/O thread. Callbacks are not called after destruction.
class PoolerControlNode
{
public:
    using DocumentStored = std::function<void(Result<void>)>;
    using DocumentRead = std::function<void(Result<VersionedDocument>)>;
    using Proposed = std::function<void(Result<ControlResult>)>;
    using LeadershipChanged = std::function<void(bool leading)>;
    using EvidenceReceived = std::function<void(const EvidenceReport &report)>;
    using StatusReply = std::function<void(const PooledStatusResponse &status)>;
    using StatusAsked = std::function<void(PooledStatusResponse status, StatusReply reply)>;
    using EndpointsShared = std::function<void(const std::vector<EndpointRecord> &endpoints,
                                               const std::vector<EndpointGone> &gone)>;

    /// @brief Does nothing until start().
    /// @param context I/O context.
    /// @param settings Settings.
    /// @param seed Seed of jitter and timeouts.
    PoolerControlNode(boost::asio::io_context &context, ControlNodeSettings settings,
                      std::uint64_t seed);
    PoolerControlNode(const PoolerControlNode &) = delete;
    PoolerControlNode &operator=(const PoolerControlNode &) = delete;
    ~PoolerControlNode();

    /// @brief Restores the durable state and listens.
    /// @return The internal address, or why it cannot start.
    [[nodiscard]] Result<SocketAddress> start();

    /// @brief Hands leadership over, asks to be replaced, and calls back within a second.
    void stop(std::function<void()> done);

    /// @brief Replaces the seeds; connections follow at the next tick.
    /// @param seeds IP numbers of control hosts.
    void setSeeds(std::vector<std::string> seeds) { membership_.setSeeds(std::move(seeds)); }

    /// @brief Stores a document, on any host.
    /// @param version Version; one that is not higher than the stored one changes nothing.
    /// @param document The document as the operator sent it.
    /// @param done Success: a document of at least this version is committed. Unreachable: no
    /// leader has confirmed it within 800 ms.
    void putDocument(std::uint64_t version, const std::string &document, DocumentStored done);
    /// @brief Reads the newest acknowledged document, on any host.
    /// @param done Version 0 if none was stored; Unreachable without a leader within 800 ms.
    void readDocument(DocumentRead done);

    /// @brief Whether this host leads with a valid lease and holds every committed entry.
    [[nodiscard]] bool isLeader() const;
    /// @brief Proposes a command on the leader.
    /// @param done See RaftHost::Completed; may come late or never on a host that is cut off.
    void propose(const ControlCommand &command, Proposed done);
    /// @brief The replicated state as far as this host has applied it.
    [[nodiscard]] const ControlState &state() const noexcept { return replica_.state(); }

    void onLeadership(LeadershipChanged callback) { leadershipChanged_ = std::move(callback); }
    void onEvidence(EvidenceReceived callback) { evidenceReceived_ = std::move(callback); }
    /// @brief What other control hosts have heard from endpoints.
    void onSharedEndpoints(EndpointsShared callback) { endpointsShared_ = std::move(callback); }

    /// @brief An operator asks for the status. The callback gets what this node knows, adds the
    /// endpoints and replies; without it the node's own part is the answer.
    void onStatus(StatusAsked callback) { statusAsked_ = std::move(callback); }

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
    void askEvidence(const std::string &service, const std::string &endpoint);
    /// @brief Names of the entry hosts that are subscribed to this host now.
    [[nodiscard]] std::vector<std::string> connectedEntryHosts() const;
    /// @brief Number of entry hosts that share the connections of endpoints.
    /// @return Hosts that were subscribed lately, or what was assumed after the start if that is
    /// more.
    [[nodiscard]] std::uint32_t entryHostCount() const;
    /// @brief States how many entry hosts there were before this host was started again. Until all
    /// have come back, each would otherwise take too large a share of the connections.
    /// @param count Their number; it counts for as long as an entry host that is not seen.
    void assumeEntryHosts(std::uint32_t count);
    /// @brief States which version was known to be committed before this host was started again.
    /// Called before start().
    /// @param version The version; 0 if none is known.
    void assumeCommitted(std::uint64_t version) noexcept;
    /// @brief Voters by this host's log.
    [[nodiscard]] std::vector<std::string> voters() const;

private:
    /// A process that has connected to this host.
    struct Visitor
    {
        std::shared_ptr<FrameConnection> connection;
        Instant heardAt;
        std::string process{};
        std::string role{};
        std::string dataCentre{};
        std::optional<EntryReport> report{}; ///< State of an entry host.
        bool subscribed = false;
        bool complete = false;                 ///< The complete update was sent.
        bool provisional = false;              ///< A document that may be outdated was sent.
        bool asking = false;                   ///< A read of the newest version is under way.
        std::optional<std::uint64_t> newest{}; ///< Version acknowledged before the subscription.
        std::uint64_t documentVersion = 0;
        std::uint32_t entryHosts = 0;
        std::vector<std::string> controlHosts{};
    };
    /// Another control host.
    struct Peer
    {
        std::unique_ptr<FrameClient> client;
        Instant heardAt;
    };
    /// A put or a read that waits for the leader.
    struct Call
    {
        ForwardedCall request;
        Instant deadline;
        Instant retryAt;
        std::string target{}; ///< Host that was asked last.
        std::function<void(Result<VersionedDocument>)> done;
    };

    Result<std::vector<std::string>> founders();
    void accept(boost::asio::ip::tcp::socket socket);
    void take(std::uint64_t id, const Frame &frame);
    [[nodiscard]] Result<void> dispatch(std::uint64_t id, Visitor &visitor, const Frame &frame);
    [[nodiscard]] Result<void> takeEntry(Visitor &visitor, const Frame &frame);
    [[nodiscard]] Result<void> takeControl(std::uint64_t id, const Visitor &visitor,
                                           const Frame &frame);
    [[nodiscard]] Result<void> takeOperator(std::uint64_t id, const Frame &frame);
    [[nodiscard]] std::vector<ControlHostStatus> controlHostStatus() const;
    [[nodiscard]] std::vector<EntryHostStatus> entryHostStatus() const;
    void takeRaft(RaftMessage message);
    void takeForwarded(std::uint64_t id, const ForwardedCall &call);
    void takeAnswer(const ForwardedAnswer &answer);
    void serve(const ForwardedCall &call, std::function<void(Result<VersionedDocument>)> done);
    void begin(ForwardedCall request, std::function<void(Result<VersionedDocument>)> done);
    void attempt(std::uint64_t id);
    void settle(std::uint64_t id, Result<VersionedDocument> result);
    [[nodiscard]] std::string chooseTarget(const std::string &last) const;
    void advanceCalls();
    void armCalls();
    void tick();
    void tickMembership(Instant now);
    void changeVoters(const std::string &host, bool add);
    void syncPeers(Instant now);
    void openPeer(const std::string &host, Instant now);
    void closeSilent(Instant now);
    void keepAlive();
    void updateEntryHosts();
    void askNewest(std::uint64_t id, Visitor &visitor);
    void updateEntryHost(Visitor &visitor, std::uint32_t entryHosts,
                         const std::vector<std::string> &controlHosts);
    void updateProvisionally(Visitor &visitor, std::uint32_t entryHosts,
                             const std::vector<std::string> &controlHosts);
    void toEntryHosts(const std::string &frame);
    [[nodiscard]] bool confident(Instant now) const;
    template <class Message>
    bool sendTo(const std::string &host, const Message &message);

    boost::asio::io_context &context_;
    ControlNodeSettings settings_;
    RandomSource random_;
    ControlReplica replica_{};
    GroupMembership membership_;
    std::unique_ptr<RaftHost> raft_{};
    TcpListener listener_;
    DeadlineTimer timer_;
    DeadlineTimer callTimer_;
    std::map<std::uint64_t, Visitor> visitors_{};
    std::uint64_t nextVisitor_ = 1;
    std::map<std::string, Peer> peers_{};
    std::map<std::uint64_t, Call> calls_{};
    std::uint64_t nextCall_ = 1;
    std::map<std::string, EndpointRecord> endpoints_{};
    std::map<std::string, PrimaryRecord> primaries_{};
    std::map<std::string, Instant> entryHostSeen_{};
    std::optional<Instant> leaderSeen_{};
    std::uint64_t leaderCommit_ = 0;
    std::uint64_t keepAlives_ = 0;
    Instant keepAliveAt_{};
    bool leading_ = false;
    bool stopping_ = false;
    LeadershipChanged leadershipChanged_{};
    EvidenceReceived evidenceReceived_{};
    EndpointsShared endpointsShared_{};
    StatusAsked statusAsked_{};
    /// Callbacks of the event loop hold a weak reference, so that none runs after destruction.
    std::uint32_t assumedEntryHosts_ = 0;
    Instant assumedUntil_{};
    std::shared_ptr<PoolerControlNode *> alive_;
};

} // namespace hyssoprock
