#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/deployment/document_delta.hpp>
#include <hyssoprock/pooler/control_node.hpp>
#include <hyssoprock/pooler/control_subscription.hpp>
#include <support/loopback_addresses.hpp>
#include <support/memory_file_system.hpp>

using namespace hyssoprock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// @brief Parses "document 7" as version 7 with a few routes, "large 7" as version 7 with many
/// routes that hardly compress, "limited 7" as version 7 with a team that has a limit.
Result<DeploymentDocument> parseTestDocument(std::string_view bytes)
{
    constexpr std::size_t largeRoutes = 4000;
    DeploymentDocument document;
    document.version = std::stoull(std::string{bytes.substr(bytes.rfind(' ') + 1)});
    document.services = {Service{"service", 10, 0}};
    RandomSource random{document.version};
    const auto large = bytes.starts_with("large");
    for (std::size_t i = 0; i < (large ? largeRoutes : 3); ++i) {
        Route route;
        route.database = std::to_string(i);
        route.service = "service";
        route.statementTimeout = seconds{1};
        for (int j = 0; large && j < 10; ++j) {
            route.name += std::to_string(random.next());
        }
        document.routes.push_back(route);
    }
    document.routes[0].attempts = static_cast<std::uint32_t>(document.version);
    if (bytes.starts_with("limited")) {
        document.teams = {Team{"t", {"k"}, 0, 300, 60}};
    }
    return document;
}

/// @brief IP address of the control host with the given number.
std::string ipOf(int host)
{
    return test::loopbackAddress(host);
}

std::vector<std::string> founders()
{
    return {ipOf(1), ipOf(2), ipOf(3)};
}

/// @brief Control hosts on loopback addresses, on one I/O thread. Their files are in memory,
/// because a sync on a busy disk can take longer than an election timeout and blocks the thread of
/// all hosts.
class ControlHosts
{
public:
    PooledControlNode &start(const std::string &ip, bool bootstrap, std::uint64_t committed = 0)
    {
        ControlNodeSettings settings;
        settings.name = ip;
        settings.hostName = "host " + ip;
        settings.dataCentre = "dc of " + ip;
        settings.internal = {ip, port_};
        settings.seeds = founders();
        settings.bootstrap = bootstrap;
        settings.dataFolder = "data";
        auto node = std::make_unique<PooledControlNode>(context, settings, parseTestDocument,
                                                        ++seed_, files(ip));
        node->restoreCommittedVersion(committed);
        const auto address = node->start();
        cr_assert(address.has_value());
        port_ = address.value().port;
        return *(nodes[ip] = std::move(node));
    }

    void loseData(const std::string &ip) { files(ip)->wipe(); }

    void losePower()
    {
        nodes.clear();
        for (const auto &[ip, disk] : files_) {
            disk->crash(nullptr);
        }
    }

    bool await(const std::function<bool()> &condition, Duration limit = seconds{15})
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context.run_for(milliseconds{10});
        }
        return condition();
    }

    /// @brief The leader; empty if no host has a valid lease.
    std::string leaderNow()
    {
        for (const auto &[ip, node] : nodes) {
            if (node->isLeader()) {
                return ip;
            }
        }
        return {};
    }

    /// @brief Waits for a leader: on a busy machine its lease may expire between two steps of a
    /// test.
    std::string leader()
    {
        cr_assert(await([&]() { return !leaderNow().empty(); }));
        return leaderNow();
    }

    std::string follower()
    {
        const auto leading = leader();
        for (const auto &[ip, node] : nodes) {
            if (ip != leading) {
                return ip;
            }
        }
        return {};
    }

    bool put(const std::string &ip, std::uint64_t version, const std::string &kind = "document")
    {
        std::optional<bool> stored;
        nodes.at(ip)->putDocument(version, kind + " " + std::to_string(version),
                                  [&](const Result<void> &result) { stored = result.has_value(); });
        cr_assert(await([&]() { return stored.has_value(); }, seconds{1}));
        return *stored;
    }

    std::optional<VersionedDocument> read(const std::string &ip)
    {
        std::optional<Result<VersionedDocument>> read;
        nodes.at(ip)->readDocument([&](const Result<VersionedDocument> &result) { read = result; });
        cr_assert(await([&]() { return read.has_value(); }, seconds{1}));
        return read->has_value() ? std::optional{read->value()} : std::nullopt;
    }

    [[nodiscard]] std::uint16_t port() const { return port_; }

    boost::asio::io_context context;
    std::map<std::string, std::unique_ptr<PooledControlNode>> nodes;

private:
    std::shared_ptr<test::MemoryFileSystem> files(const std::string &ip)
    {
        auto &disk = files_[ip];
        if (!disk) {
            disk = std::make_shared<test::MemoryFileSystem>();
        }
        return disk;
    }

    std::map<std::string, std::shared_ptr<test::MemoryFileSystem>> files_;
    std::uint16_t port_ = 0; ///< Chosen by the first host and used by all.
    std::uint64_t seed_ = 0;
};

/// @brief A leader that sends heartbeats and does not answer forwarded calls.
class UnresponsiveLeader
{
public:
    UnresponsiveLeader(ControlHosts &hosts, const std::string &ip, const std::string &follower)
        : ip_{ip}
        , listener_{hosts.context}
        , client_{hosts.context, {follower, hosts.port()}, {ip, "control"}, 1}
    {
        cr_assert(
            listener_
                .open({ip, hosts.port()},
                      [this](boost::asio::ip::tcp::socket socket) { accept(std::move(socket)); })
                .has_value());
        FrameClient::Handlers handlers;
        handlers.frame = [](const Frame & /*frame*/) {};
        client_.start(std::move(handlers));
    }

    /// @brief Sends a heartbeat to the follower.
    void sendHeartbeat()
    {
        AppendRequest heartbeat;
        heartbeat.from = ip_;
        heartbeat.term = 1;
        heartbeat.sequence = ++sequence_;
        client_.send(heartbeat);
        if (connection_) {
            connection_->sendMessage(KeepAlive{sequence_});
        }
    }

    void answerNewest() { connection_->sendMessage(ForwardedAnswer{requests.back(), {}, 0, {}}); }

    void disconnect()
    {
        connection_->close();
        connection_.reset();
    }

    [[nodiscard]] bool connected() const { return connection_ != nullptr; }

    std::vector<std::uint64_t> requests; ///< Request numbers of the received documents.

private:
    void accept(boost::asio::ip::tcp::socket socket)
    {
        connection_ = std::make_shared<FrameConnection>(std::move(socket), StreamLimits{});
        FrameConnection::Handlers handlers;
        handlers.frame = [this](const Frame &frame) {
            const auto call = decodeMessage<ForwardedCall>(frame);
            if (call.has_value() && call.value().put) {
                requests.push_back(call.value().request);
            }
        };
        handlers.closed = [](const Error & /*error*/) {};
        connection_->start(std::move(handlers));
    }

    std::string ip_;
    TcpListener listener_;
    FrameClient client_;
    std::shared_ptr<FrameConnection> connection_{};
    std::uint64_t sequence_ = 0;
};

void startThree(ControlHosts &hosts)
{
    for (const auto &ip : founders()) {
        hosts.start(ip, true);
    }
    cr_assert(!hosts.leader().empty());
}

} // namespace

// Guards against calls that fail on followers, and against storing an older version.
Test(controlNode, anyHostServesPutsAndReads)
{
    ControlHosts hosts;
    startThree(hosts);
    cr_assert(hosts.read(hosts.follower()) == (VersionedDocument{0, ""}));
    cr_assert(hosts.put(hosts.follower(), 7));
    cr_assert(hosts.put(hosts.leader(), 6), "an older version is acknowledged");
    for (const auto &[ip, node] : hosts.nodes) {
        cr_assert(hosts.read(ip) == (VersionedDocument{7, "document 7"}));
    }
}

// Guards against acknowledgements and reads by a host that is partitioned from the majority.
Test(controlNode, minorityAcknowledgesNothing)
{
    ControlHosts hosts;
    startThree(hosts);
    cr_assert(hosts.put(hosts.leader(), 7));
    const auto rest = hosts.leader();
    std::erase_if(hosts.nodes, [&](const auto &item) { return item.first != rest; });
    cr_assert(hosts.await([&]() { return !hosts.nodes.at(rest)->isLeader(); }));
    cr_assert(!hosts.put(rest, 8));
    cr_assert(!hosts.read(rest));
}

// Guards against an entry host that receives an incomplete first update or misses a later document.
Test(controlNode, entryHostIsKeptUpToDate)
{
    ControlHosts hosts;
    startThree(hosts);
    cr_assert(hosts.put(hosts.leader(), 7));
    const auto follower = hosts.follower();
    auto &node = *hosts.nodes.at(follower);
    EndpointRecord endpoint;
    endpoint.id = "e1";
    node.pushEndpoints({endpoint}, {});

    std::vector<DeploymentUpdate> updates;
    std::vector<DocumentAnswer> documents;
    std::vector<EvidenceRequest> asked;
    FrameClient client{hosts.context, {follower, hosts.port()}, {"entry-1", "entry"}, 1};
    FrameClient::Handlers handlers;
    handlers.connected = [&]() { client.send(SubscribeRequest{"entry-1", "dc", 0, false}); };
    handlers.frame = [&](const Frame &frame) {
        if (auto update = decodeMessage<DeploymentUpdate>(frame); update.has_value()) {
            updates.push_back(update.value());
        } else if (auto document = decodeMessage<DocumentAnswer>(frame); document.has_value()) {
            documents.push_back(document.value());
        } else if (auto question = decodeMessage<EvidenceRequest>(frame); question.has_value()) {
            asked.push_back(question.value());
        }
    };
    client.start(std::move(handlers));
    cr_assert(hosts.await([&]() { return !updates.empty(); }));
    cr_assert(updates[0].complete && updates[0].documentVersion == 7);
    cr_assert(updates[0].dataCentre == "dc of " + follower && updates[0].entryHosts == 1);
    cr_assert(updates[0].endpoints == std::vector<EndpointRecord>{endpoint});
    cr_assert(updates[0].controlHosts.size() == 3);
    cr_assert(node.connectedEntryHosts() == std::vector<std::string>{"entry-1"});
    cr_assert(documents.empty(), "a document is sent only on request");
    client.send(DocumentRequest{0, 0});
    cr_assert(hosts.await([&]() { return documents.size() == 1; }));
    const auto seventh = applyDelta(nullptr, decompressDelta(documents[0]).value());
    cr_assert(seventh.value() == parseTestDocument("document 7").value());

    cr_assert(hosts.put(hosts.leader(), 8));
    cr_assert(hosts.await([&]() { return updates.back().documentVersion == 8; }));
    cr_assert(!updates.back().complete && updates.back().endpoints.empty());
    cr_assert_eq(documents.size(), 1, "a document is sent only on request");
    client.send(DocumentRequest{7, computeDigest(seventh.value())});
    cr_assert(hosts.await([&]() { return documents.size() == 2; }));
    const auto delta = decompressDelta(documents[1]).value();
    cr_assert(delta.baseVersion == 7);
    cr_assert(applyDelta(&seventh.value(), delta).value()
              == parseTestDocument("document 8").value());
    node.pushEndpoints({}, {EndpointGone{"e1", 0}});
    cr_assert(hosts.await([&]() { return updates.back().gone.size() == 1; }));
    node.pushPrimary({"service", "e2", 3});
    cr_assert(hosts.await([&]() { return updates.back().primaries.size() == 1; }));
    node.requestEvidence("service", "e2");
    std::vector<EvidenceReport> reports;
    node.onEvidenceReceived([&](const EvidenceReport &report) { reports.push_back(report); });
    cr_assert(hosts.await([&]() { return asked.size() == 1; }));
    client.send(EvidenceReport{"entry-1", "service", "e2", Reachability::Silent});
    cr_assert(hosts.await([&]() { return reports.size() == 1; }));
    // This client sends no KeepAlive, so its connection is closed.
    cr_assert(hosts.await([&]() { return node.connectedEntryHosts().empty(); }, seconds{4}));
}

// Guards against a restarted control host that lists an endpoint for many heartbeat intervals after
// it has left: nobody told the host, because it was down at that time.
Test(controlNode, aRestartedHostIsToldOfEndpointsThatHaveLeft)
{
    ControlHosts hosts;
    startThree(hosts);
    (void)hosts.leader();
    const auto restarted = ipOf(3);
    hosts.nodes.erase(restarted);
    for (auto &[ip, node] : hosts.nodes) {
        node->setEndedEndpoints([]() { return std::vector<EndpointGone>{{"e1", 5}}; });
    }
    std::vector<EndpointGone> received;
    hosts.start(restarted, false)
        .onEndpointsShared([&](const std::vector<EndpointRecord> & /*endpoints*/,
                               const std::vector<EndpointGone> &gone) {
            received.insert(received.end(), gone.begin(), gone.end());
        });
    cr_assert(hosts.await([&]() { return !received.empty(); }));
    cr_assert(received.front() == (EndpointGone{"e1", 5}));
}

// Guards against rejecting an entry host whose first message is its subscription instead of a
// handshake. ControlSubscription sends it first, so no entry host would receive a document.
Test(controlNode, subscriptionMayBeTheFirstMessage)
{
    ControlHosts hosts;
    startThree(hosts);
    cr_assert(hosts.put(hosts.leader(), 7));
    const auto follower = hosts.follower();
    std::vector<DeploymentUpdate> updates;
    std::vector<DocumentAnswer> documents;
    FrameClient client{hosts.context,
                       {follower, hosts.port()},
                       []() {
                           return frameOf(SubscribeRequest{"entry-1", "dc", 0, true});
                       },
                       1};
    FrameClient::Handlers handlers;
    handlers.frame = [&](const Frame &frame) {
        if (auto update = decodeMessage<DeploymentUpdate>(frame); update.has_value()) {
            updates.push_back(update.value());
        } else if (auto document = decodeMessage<DocumentAnswer>(frame); document.has_value()) {
            documents.push_back(document.value());
        }
    };
    client.start(std::move(handlers));
    cr_assert(hosts.await([&]() { return !updates.empty(); }));
    cr_assert(updates[0].complete && documents.size() == 1 && documents[0].version == 7);
    cr_assert(hosts.nodes.at(follower)->connectedEntryHosts()
              == std::vector<std::string>{"entry-1"});
}

// Guards against a dead voter that is never removed, and against a new host that is never added.
Test(controlNode, emptyHostAtANewAddressReplacesADeadOne)
{
    ControlHosts hosts;
    startThree(hosts);
    cr_assert(hosts.put(hosts.leader(), 7));
    const auto dead = hosts.leader();
    hosts.nodes.erase(dead);
    hosts.start(ipOf(4), false);
    const auto replaced = [&]() {
        const auto leader = hosts.leaderNow();
        if (leader.empty()) {
            return false;
        }
        const auto voters = hosts.nodes.at(leader)->voters();
        return voters.size() == 3 && std::find(voters.begin(), voters.end(), dead) == voters.end();
    };
    cr_assert(hosts.await(replaced));
    cr_assert(hosts.put(ipOf(4), 8));
    cr_assert(hosts.read(ipOf(4)) == (VersionedDocument{8, "document 8"}));
}

// Guards against losing a document when one disk is lost and all other hosts lose power.
Test(controlNode, lostDiskWithRestartOfAllOthers)
{
    ControlHosts hosts;
    startThree(hosts);
    cr_assert(hosts.put(hosts.leader(), 7));
    const auto lost = hosts.leader();
    hosts.losePower();
    hosts.loseData(lost);
    for (const auto &ip : founders()) {
        hosts.start(ip, false);
    }
    cr_assert(!hosts.leader().empty());
    cr_assert(hosts.read(lost) == (VersionedDocument{7, "document 7"}));
    cr_assert(
        hosts.await([&]() { return hosts.nodes.at(lost)->state().version() == 7; }, seconds{5}));
}

// Guards against a stop that takes too long or makes the group wait for an election timeout, and
// against endpoint records that do not reach the other control hosts.
Test(controlNode, stoppingLeaderHandsOver)
{
    ControlHosts hosts;
    startThree(hosts);
    const auto leader = hosts.leader();
    const auto other = hosts.follower();
    std::vector<EndpointRecord> shared;
    hosts.nodes.at(other)->onEndpointsShared(
        [&](const auto &endpoints, const auto & /*gone*/) { shared = endpoints; });
    EndpointRecord endpoint;
    endpoint.id = "e1";
    hosts.nodes.at(leader)->shareEndpoints({endpoint}, {});
    cr_assert(hosts.await([&]() { return shared == std::vector<EndpointRecord>{endpoint}; }));
    auto stopped = false;
    hosts.nodes.at(leader)->stop([&]() { stopped = true; });
    cr_assert(hosts.await([&]() { return stopped; }, seconds{1}));
    hosts.nodes.erase(leader);
    cr_assert(hosts.await([&]() { return !hosts.leaderNow().empty(); }, milliseconds{300}));
}

// Guards against queueing every document for an entry host on a slow link: it needs only the newest
// one.
Test(controlNode, slowEntryHostSkipsDocuments)
{
    ControlHosts hosts;
    startThree(hosts);
    const auto leader = hosts.leader();
    boost::asio::ip::tcp::socket socket{hosts.context};
    socket.open(boost::asio::ip::tcp::v4());
    socket.set_option(boost::asio::socket_base::receive_buffer_size{4096});
    socket.connect({boost::asio::ip::make_address(leader), hosts.port()});
    boost::asio::write(socket,
                       boost::asio::buffer(frameOf(SubscribeRequest{"entry-1", "dc", 0, true})));
    constexpr std::uint64_t newest = 12;
    for (std::uint64_t version = 1; version <= newest; ++version) {
        std::optional<bool> stored;
        hosts.nodes.at(leader)->putDocument(
            version, "large " + std::to_string(version),
            [&](const Result<void> &result) { stored = result.has_value(); });
        cr_assert(hosts.await([&]() { return stored.has_value(); }, seconds{1}) && *stored);
        hosts.context.run_for(milliseconds{100});
        boost::asio::write(socket, boost::asio::buffer(frameOf(DocumentRequest{0, 0})));
    }
    FrameReader reader;
    std::vector<std::uint64_t> versions;
    std::vector<char> buffer(65536);
    socket.non_blocking(true);
    cr_assert(hosts.await([&]() {
        boost::system::error_code error;
        std::size_t count = 0;
        while ((count = socket.read_some(boost::asio::buffer(buffer), error)) > 0) {
            reader.append({buffer.data(), count});
        }
        for (auto frame = reader.next(); frame.value(); frame = reader.next()) {
            if (const auto answer = decodeMessage<DocumentAnswer>(*frame.value());
                answer.has_value()) {
                cr_assert_gt(answer.value().body.size(), 300000);
                versions.push_back(answer.value().version);
            }
        }
        return !versions.empty() && versions.back() == newest;
    }));
    cr_assert_leq(versions.size(), 3);
}

// Guards against an entry host without a document after a restart of all control hosts: until a
// leader is elected, a host must send the committed document that it has on disk.
Test(controlNode, committedDocumentIsSentWithoutALeader)
{
    ControlHosts hosts;
    startThree(hosts);
    cr_assert(hosts.put(hosts.leader(), 7));
    cr_assert(hosts.put(hosts.leader(), 8));
    const auto last = hosts.leader();
    hosts.nodes.clear();
    hosts.start(last, false, 8);
    std::vector<std::uint64_t> versions;
    FrameClient client{hosts.context,
                       {last, hosts.port()},
                       []() {
                           return frameOf(SubscribeRequest{"entry-1", "dc", 0, true});
                       },
                       1};
    FrameClient::Handlers handlers;
    handlers.frame = [&](const Frame &frame) {
        if (auto document = decodeMessage<DocumentAnswer>(frame); document.has_value()) {
            versions.push_back(document.value().version);
        }
    };
    client.start(std::move(handlers));
    cr_assert(hosts.await([&]() { return !versions.empty(); }, seconds{1}));
    cr_assert(versions == std::vector<std::uint64_t>{8});
}

// Guards against an entry host that misses a version or reverts to an older one while control hosts
// restart.
Test(controlNode, subscribedEntryHostFollowsEachVersion)
{
    ControlHosts hosts;
    startThree(hosts);
    cr_assert(hosts.put(hosts.leader(), 7));
    PooledSettings settings;
    settings.host.name = "entry-1";
    settings.host.dataCentre = "dc of " + ipOf(2);
    settings.listen.internal = ipOf(9) + ":" + std::to_string(hosts.port());
    settings.seeds.controlHosts = {ipOf(1) + ":1", ipOf(2) + ":1", ipOf(3) + ":1"};
    settings.deployment.heartbeat = milliseconds{500};
    std::vector<std::uint64_t> versions;
    ControlSubscription subscription{
        hosts.context, settings, 1, [&](const PoolerEvent &event) {
            if (const auto *changed = std::get_if<pooler::DocumentChanged>(&event)) {
                versions.push_back(changed->document->version);
                cr_assert(
                    *changed->document
                    == parseTestDocument("document " + std::to_string(versions.back())).value());
            }
        }};
    subscription.start();
    const auto follows = [&](std::uint64_t version) {
        return hosts.await([&]() { return !versions.empty() && versions.back() == version; },
                           seconds{2});
    };
    cr_assert(follows(7));
    cr_assert(hosts.put(hosts.leader(), 8) && follows(8));
    hosts.nodes.erase(ipOf(2));
    cr_assert(!hosts.leader().empty());
    cr_assert(hosts.put(hosts.leader(), 9) && follows(9));
    hosts.start(ipOf(2), false);
    cr_assert(hosts.put(hosts.leader(), 10) && follows(10));
    cr_assert(std::is_sorted(versions.begin(), versions.end()));
}

// Guards against offers that a deployment without limits does not need, and against a limit that
// connected entry hosts do not learn of.
Test(controlNode, operationsAreOfferedWhileATeamHasALimit)
{
    ControlHosts hosts;
    startThree(hosts);
    cr_assert(hosts.put(hosts.leader(), 7));
    std::vector<bool> offers;
    std::vector<AllowanceReply> replies;
    FrameClient client{hosts.context, {hosts.follower(), hosts.port()}, {"entry-1", "entry"}, 1};
    FrameClient::Handlers handlers;
    handlers.connected = [&]() { client.send(SubscribeRequest{"entry-1", "dc", 0, false}); };
    handlers.frame = [&](const Frame &frame) {
        if (auto offer = decodeMessage<AllowanceOffer>(frame); offer.has_value()) {
            offers.push_back(offer.value().available);
        } else if (auto reply = decodeMessage<AllowanceReply>(frame); reply.has_value()) {
            replies.push_back(reply.value());
        }
    };
    client.start(std::move(handlers));
    hosts.await([]() { return false; }, milliseconds{500});
    cr_assert(offers.empty());
    cr_assert(hosts.put(hosts.leader(), 8, "limited"));
    cr_assert(hosts.await([&]() { return offers == std::vector{true}; }));
    client.send(AllowanceRequest{7, "t", 1000});
    cr_assert(hosts.await([&]() { return replies.size() == 1; }));
    cr_assert_eq(replies[0].sequence, 7);
    cr_assert_lt(replies[0].granted, 21, "this host has a third of the burst of 60");
    cr_assert_gt(replies[0].retryAfterUs, 0);
    cr_assert(hosts.put(hosts.leader(), 9));
    cr_assert(hosts.await([&]() { return offers == std::vector{true, false}; }));
}

// Guards against an entry host that refuses operations although control hosts grant them, that is
// granted more than the limit, or that waits for control hosts without a leader.
Test(controlNode, subscribedEntryHostIsGrantedOperations)
{
    ControlHosts hosts;
    startThree(hosts);
    cr_assert(hosts.put(hosts.leader(), 7, "limited"));
    PooledSettings settings;
    settings.host.name = "entry-1";
    settings.listen.internal = ipOf(9) + ":" + std::to_string(hosts.port());
    settings.seeds.controlHosts = {ipOf(1) + ":1", ipOf(2) + ":1", ipOf(3) + ":1"};
    settings.deployment.heartbeat = milliseconds{500};
    std::uint32_t granted = 0;
    std::vector<pooler::AllowanceDenied> denied;
    ControlSubscription subscription{
        hosts.context, settings, 1, [&](const PoolerEvent &event) {
            if (const auto *grant = std::get_if<pooler::AllowanceGranted>(&event)) {
                granted += grant->count;
            } else if (const auto *denial = std::get_if<pooler::AllowanceDenied>(&event)) {
                denied.push_back(*denial);
            }
        }};
    subscription.start();
    const auto request = [&](std::uint32_t count) {
        granted = 0;
        denied.clear();
        subscription.requestAllowance({"t", count});
        cr_assert(hosts.await([&]() { return granted >= count || !denied.empty(); }));
    };
    cr_assert(hosts.await([&]() {
        request(1);
        return granted == 1;
    }));
    hosts.await([]() { return false; }, milliseconds{300});
    request(100'000);
    cr_assert(denied.back().overLimit);
    cr_assert(denied.back().retryAfter <= milliseconds{11});
    cr_assert(granted > 20, "several hosts have granted");
    cr_assert(granted < 200, "the burst, and little more in the time of the requests");
    const auto rest = hosts.leader();
    std::erase_if(hosts.nodes, [&](const auto &item) { return item.first != rest; });
    cr_assert(hosts.await([&]() {
        request(100'000);
        return !denied.back().overLimit;
    }));
}

// Guards against sending a document repeatedly over the same connection to a slow leader, and
// against losing a document when the connection is closed.
Test(controlNode, forwardedDocumentIsSentOnceForEachConnection)
{
    ControlHosts hosts;
    auto &node = hosts.start(ipOf(1), true);
    UnresponsiveLeader leader{hosts, ipOf(2), ipOf(1)};
    const auto await = [&](const std::function<bool()> &condition) {
        return hosts.await([&]() {
            leader.sendHeartbeat();
            return condition();
        });
    };
    cr_assert(await([&]() { return leader.connected() && node.groupStatus().leader == ipOf(2); }));

    std::optional<bool> stored;
    const auto put = [&](std::uint64_t version) {
        stored.reset();
        node.putDocument(version, "document " + std::to_string(version),
                         [&](const Result<void> &result) { stored = result.has_value(); });
    };
    put(7);
    cr_assert(await([&]() { return stored.has_value(); }));
    cr_assert_not(*stored);
    cr_assert_eq(leader.requests.size(), 1U);

    put(8);
    cr_assert(await([&]() { return leader.requests.size() == 2; }));
    leader.disconnect();
    cr_assert(await([&]() { return leader.requests.size() == 3; }));
    leader.answerNewest();
    cr_assert(await([&]() { return stored.has_value(); }));
    cr_assert(*stored);
    cr_assert_eq(leader.requests.size(), 3U);
}
