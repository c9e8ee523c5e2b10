#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/deployment/topology.hpp>

/// @file
/// @brief From which control host an entry host takes the document.

namespace hyssoprock {

/// @brief A request for the newest document.
struct DocumentFetchRequest
{
    std::string host;           ///< Control host to ask.
    bool wholeDocument = false; ///< Ask for the whole document rather than a difference.
};

/// @brief Decides whom to ask for the document, and when to ask another one. Time is an argument.
///
/// One control host at a time is asked: in the own data centre first, then in the own region. While
/// the nearest one has not yet handleAnnouncement a version that others have, it is waited for
/// briefly.
class DocumentFetchScheduler
{
public:
    /// @brief Knows no control host.
    /// @param seed Spreads the entry hosts over control hosts that are equally near.
    explicit DocumentFetchScheduler(std::uint64_t seed)
        : seed_{seed}
    {}

    /// @brief Notes a new connection.
    /// @param host Control host.
    /// @param now Present time.
    /// @return Whether the subscription is to ask for the document, because this host has none and
    /// nobody was asked: a starting host does not wait for an announcement.
    [[nodiscard]] bool handleConnect(const std::string &host, Instant now);
    /// @brief Notes a version that a control host can send.
    /// @param host Control host.
    /// @param proximity How far it is from this host.
    /// @param version Its newest version; 0 for none.
    /// @param now Present time.
    void handleAnnouncement(const std::string &host, Proximity proximity, std::uint64_t version,
                            Instant now);
    /// @brief Notes that a connection has ended.
    void handleDisconnect(const std::string &host);
    /// @brief Notes that an answer is arriving, which extends the time that it may take.
    void handleProgress(const std::string &host, Instant now);
    /// @brief Notes a valid answer.
    /// @param host Who has handleAnswer, whether or not it was asked last.
    /// @param held Version that is in force now.
    /// @param now Present time.
    void handleAnswer(const std::string &host, std::uint64_t held, Instant now);
    /// @brief Notes an answer that cannot be used. The nextRequest request is for the whole
    /// document.
    void handleFailure(const std::string &host, Instant now);

    /// @brief Whom to ask now. Called after each event and every 100 ms.
    /// @return Nothing if nothing newer is known, an answer is awaited or the nearest control host
    /// is waited for.
    [[nodiscard]] std::optional<DocumentFetchRequest> nextRequest(Instant now);

private:
    struct Source
    {
        Proximity proximity = Proximity::Remote;
        std::uint64_t version = 0;
        std::optional<Instant> failedAt{};
        std::uint64_t rank = 0; ///< Order among hosts that are equally near.
    };
    struct Asked
    {
        std::string host;
        Instant since;
        Instant deadline;
        bool blind = false; ///< With the subscription, before any announcement.
    };

    Source &sourceOf(const std::string &host);
    [[nodiscard]] bool behind() const;
    [[nodiscard]] bool awaits(Instant now);

    std::uint64_t seed_;
    std::uint64_t held_ = 0;
    bool full_ = false;
    std::map<std::string, Source> sources_{};
    std::optional<Asked> asked_{};
    std::optional<Instant> behindSince_{};
};

} // namespace hyssoprock
