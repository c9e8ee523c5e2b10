#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/daemon/deadline_timer.hpp>
#include <hyssoprock/message/pooling.hpp>
#include <hyssoprock/pooler/control_group.hpp>
#include <hyssoprock/pooler/control_peers.hpp>

/// @file
/// @brief Calls that only the control leader can answer.

namespace hyssoprock {

/// @brief Version and content of a document; version 0 for none.
using VersionedDocument = std::pair<std::uint64_t, std::string>;

/// @brief Serves calls on the leader and forwards them to the leader from other hosts, with retries
/// until a deadline. A document is large, so it is sent only once per leader and connection; a host
/// that may not be the leader is first asked for its version. Used on one I/O thread.
class ForwardedCalls
{
public:
    using PutDocumentCallback = std::function<void(Result<void>)>;
    using ReadDocumentCallback = std::function<void(Result<VersionedDocument>)>;
    using ReadVersionCallback = std::function<void(Result<std::uint64_t>)>;

    /// @param group Must outlive this object.
    /// @param peers Sends calls to the leader; must outlive this object.
    ForwardedCalls(boost::asio::io_context &context, ControlGroup &group, ControlPeers &peers);

    /// @param version No effect unless it is higher than the stored version.
    /// @param document Document as the operator sent it.
    /// @param done Success once a document of at least this version is committed; Unreachable if no
    /// leader confirms it within 800 ms.
    void putDocument(std::uint64_t version, const std::string &document, PutDocumentCallback done);
    /// @brief Reads the newest acknowledged document.
    /// @param done Version 0 if none was stored; Unreachable if no leader answers within 800 ms.
    void readDocument(ReadDocumentCallback done);

    /// @brief Reads the version of the newest acknowledged document.
    /// @param done See readDocument().
    void readVersion(ReadVersionCallback done);

    /// @brief Executes a call on the leader.
    /// @param done NotLeader on another host.
    void serve(const ForwardedCall &call, ReadDocumentCallback done);
    /// @brief Processes the answer to a forwarded call.
    /// @param host IP address of the sender.
    void handleAnswer(const std::string &host, const ForwardedAnswer &answer);

private:
    /// Target and term of a document that was sent.
    struct SentDocument
    {
        std::string host;
        std::uint64_t connection;
        std::uint64_t term;
    };

    struct Call
    {
        ForwardedCall request;
        Instant deadline;
        Instant retryAt;
        std::string target{};               ///< Host of the last attempt.
        std::optional<SentDocument> sent{}; ///< Document without an answer.
        bool refused = false; ///< A host has refused the document; probe the next one first.
        ReadDocumentCallback done;
    };

    void begin(ForwardedCall request, ReadDocumentCallback done);
    void attempt(std::uint64_t id);
    void forward(std::uint64_t id, Call &call);
    void sendDocument(Call &call, const std::string &host);
    [[nodiscard]] bool isAwaitingAnswer(const SentDocument &sent) const;
    [[nodiscard]] std::uint64_t term() const;
    void handleProbeAnswer(std::uint64_t id, const std::string &host,
                           const ForwardedAnswer &answer);
    void complete(std::uint64_t id, Result<VersionedDocument> result);
    [[nodiscard]] std::string chooseTarget(const std::string &last) const;
    void processDueCalls();
    void armTimer();

    ControlGroup &group_;
    ControlPeers &peers_;
    DeadlineTimer timer_;
    std::map<std::uint64_t, Call> calls_{};
    std::map<std::uint64_t, std::vector<ReadDocumentCallback>>
        pendingStores_{}; ///< Callbacks of proposed documents by version.
    std::uint64_t nextId_ = 1;
};

} // namespace hyssoprock
