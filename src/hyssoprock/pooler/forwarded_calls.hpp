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
/// @brief Calls that only the control leader answers.

namespace hyssoprock {

/// @brief A document with its version.
using VersionedDocument = std::pair<std::uint64_t, std::string>;

/// @brief Answers calls on the leader and passes them on to the leader elsewhere, with retries up
/// to a deadline. A document is large, so it is sent once for each leader and connection; a host
/// that may not be the leader is asked for its version first. Used on one I/O thread.
class ForwardedCalls
{
public:
    using PutDocumentCallback = std::function<void(Result<void>)>;
    using ReadDocumentCallback = std::function<void(Result<VersionedDocument>)>;
    using ReadVersionCallback = std::function<void(Result<std::uint64_t>)>;

    /// @brief Knows no call.
    /// @param context I/O context.
    /// @param group This host's part in the control group; outlives this object.
    /// @param peers Carries calls to the leader; outlives this object.
    ForwardedCalls(boost::asio::io_context &context, ControlGroup &group, ControlPeers &peers);

    /// @brief Stores a document.
    /// @param version Version; one that is not higher than the stored one changes nothing.
    /// @param document The document as the operator sent it.
    /// @param done Success: a document of at least this version is committed. Unreachable: no
    /// leader has confirmed it within 800 ms.
    void putDocument(std::uint64_t version, const std::string &document, PutDocumentCallback done);
    /// @brief Reads the newest acknowledged document.
    /// @param done Version 0 if none was stored; Unreachable without a leader within 800 ms.
    void readDocument(ReadDocumentCallback done);

    /// @brief Reads the version of the newest acknowledged document.
    /// @param done As for readDocument().
    void readVersion(ReadVersionCallback done);

    /// @brief Answers a call on the leader.
    /// @param call The call.
    /// @param done NotLeader on another host.
    void serve(const ForwardedCall &call, ReadDocumentCallback done);
    /// @brief Takes the answer to a call that was passed on.
    /// @param host Who has answered.
    /// @param answer The answer.
    void receive(const std::string &host, const ForwardedAnswer &answer);

private:
    /// Where a document was sent, and in which term.
    struct Sent
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
        std::string target{};       ///< Host that was asked last.
        std::optional<Sent> sent{}; ///< A document that waits for its answer.
        bool refused = false;       ///< A host has refused the document.
        ReadDocumentCallback done;
    };

    void begin(ForwardedCall request, ReadDocumentCallback done);
    void attempt(std::uint64_t id);
    void pass(std::uint64_t id, Call &call);
    void sendDocument(Call &call, const std::string &host);
    [[nodiscard]] bool waits(const Sent &sent) const;
    [[nodiscard]] std::uint64_t term() const;
    void receiveProbe(std::uint64_t id, const std::string &host, const ForwardedAnswer &answer);
    void settle(std::uint64_t id, Result<VersionedDocument> result);
    [[nodiscard]] std::string chooseTarget(const std::string &last) const;
    void advance();
    void arm();

    ControlGroup &group_;
    ControlPeers &peers_;
    DeadlineTimer timer_;
    std::map<std::uint64_t, Call> calls_{};
    std::map<std::uint64_t, std::vector<ReadDocumentCallback>>
        storing_{}; ///< ProposeCallback, by version.
    std::uint64_t next_ = 1;
};

} // namespace hyssoprock
