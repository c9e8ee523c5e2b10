#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/deployment/topology.hpp>
#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief Requests of an entry host for permission to run operations of teams with a limit.

namespace hyssoprock {

/// @brief Request and the control host that it is sent to.
struct AddressedAllowanceRequest
{
    std::string controlHost;  ///< Control host.
    AllowanceRequest request; ///< Message.

    [[nodiscard]] bool operator==(const AddressedAllowanceRequest &) const = default;
};

/// @brief Decision about waiting operations of a team.
struct AllowanceDecision
{
    std::string team;          ///< Name of the team.
    std::uint32_t granted = 0; ///< Operations that may run; 0 if all waiting ones are refused.
    Duration retryAfter{};     ///< If refused: time until an operation may be granted.
    bool overLimit = true;     ///< If refused: a control host has denied; otherwise none grants.

    [[nodiscard]] bool operator==(const AllowanceDecision &) const = default;
};

/// @brief What the owner must do after an event, in this order.
struct AllowanceActions
{
    std::vector<AllowanceDecision> decisions;
    std::vector<AddressedAllowanceRequest> requests;
};

/// @brief Decides which control host is asked to grant the waiting operations of a team, and when
/// they are refused. Performs no I/O; the time is passed as an argument.
///
/// One request of a team is in flight, for all operations that wait when it is sent, so that the
/// number of messages is limited by the round-trip time and not by the load. The nearest control
/// host that may have tokens is asked first. A denial states when the next token is expected; until
/// then that host is not asked again for the team. A host that does not answer in time is not asked
/// for a moment, by any team, unless its answer arrives late. If no host remains, all waiting
/// operations are refused.
class AllowanceRequester
{
public:
    /// Time after which another control host is asked.
    static constexpr Duration answerTimeout = std::chrono::milliseconds{100};
    /// Time without an offer after which operations are refused at once. After a loss of power the
    /// control hosts need some 2 s to elect a leader and to offer.
    static constexpr Duration offerWait = std::chrono::seconds{4};

    /// @param seed Distributes entry hosts over control hosts that are equally near.
    explicit AllowanceRequester(std::uint64_t seed);

    /// @brief Records that a control host grants operations from now on, or does not any more.
    [[nodiscard]] AllowanceActions handleOffer(const std::string &controlHost, bool available,
                                               Proximity proximity, Instant now);
    /// @brief Records the distance of a control host, which it may report after its offer.
    void setProximity(const std::string &controlHost, Proximity proximity);
    [[nodiscard]] AllowanceActions handleDisconnect(const std::string &controlHost, Instant now);

    /// @brief Sets the number of waiting operations of a team; replaces the former number.
    [[nodiscard]] AllowanceActions setWaiting(const std::string &team, std::uint32_t count,
                                              Instant now);
    /// @brief Handles an answer. One that is later than `lateAnswerMax` grants nothing, because the
    /// operations would run long after the time for which they were counted.
    [[nodiscard]] AllowanceActions handleReply(const std::string &controlHost,
                                               const AllowanceReply &reply, Instant now);
    /// @brief Handles requests that were not answered in time.
    [[nodiscard]] AllowanceActions tick(Instant now);
    /// @brief Latest time of the next tick().
    /// @return std::nullopt while no request is in flight.
    [[nodiscard]] std::optional<Instant> nextDeadline() const;

private:
    static constexpr Duration lateAnswerMax = std::chrono::milliseconds{500};

    /// @brief A control host that grants.
    struct Source
    {
        Proximity proximity = Proximity::Remote;
        std::uint64_t rank = 0;                       ///< Order among equally near control hosts.
        std::optional<Instant> silentUntil{};         ///< It has not answered in time.
        std::map<std::string, Instant> deniedUntil{}; ///< By team.
    };

    /// @brief Request that may still be answered.
    struct Request
    {
        std::string team;
        std::string controlHost;
        std::uint32_t count = 0;
        Instant sentAt{};
        bool inFlight = true; ///< Not late; the team has no other request in flight.
    };

    /// Sends a request for the team, or refuses its waiting operations, unless one is in flight.
    void advance(const std::string &team, Instant now, AllowanceActions &actions);
    void advanceAll(Instant now, AllowanceActions &actions);
    void abandonRequests(const std::string &controlHost);
    [[nodiscard]] bool hasRequestInFlight(const std::string &team) const;
    /// @return Control host to ask; null if none may grant.
    [[nodiscard]] const std::string *chooseSource(const std::string &team, Instant now) const;
    /// Whether operations wait for the first offer after a start or a loss of all offers.
    [[nodiscard]] bool awaitsOffer(Instant now);
    [[nodiscard]] AllowanceDecision refusal(const std::string &team, Instant now) const;

    std::uint64_t seed_;
    std::map<std::string, Source> sources_{};
    std::map<std::string, std::uint32_t> waiting_{}; ///< Operations by team; no zeros.
    std::map<std::uint64_t, Request> requests_{};    ///< By sequence.
    std::uint64_t sequence_ = 0;
    std::optional<Instant> withoutOfferSince_{}; ///< Empty while a control host offers.
};

} // namespace hyssoprock
