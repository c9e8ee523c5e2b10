#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <hyssoprock/promotion/promotion_event.hpp>
#include <hyssoprock/registry/endpoint_registry.hpp>

/// @file
/// @brief Pauses of the replicas of one service, and the orders that end them.

namespace hyssoprock::internal {

/// @brief An order without an answer may be carried out up to this long after it was sent.
inline constexpr Duration lateOrder = std::chrono::seconds{12};

/// @brief Knows which replicas are paused for certain, and resumes each that may be.
class ReplicaPauses
{
public:
    /// @brief No replica is paused.
    /// @param registry Endpoints.
    /// @param service Service.
    /// @param lastQuery Last query number in use.
    /// @param actions Where orders are appended.
    ReplicaPauses(const EndpointRegistry &registry, std::string service, std::uint64_t &lastQuery,
                  PromotionActions &actions)
        : registry_{registry}
        , service_{std::move(service)}
        , lastQuery_{lastQuery}
        , actions_{actions}
    {}

    /// @brief Begins a round. Nothing is resumed before release().
    void pause(const std::vector<const KnownEndpoint *> &replicas, std::uint64_t term, Instant now);
    /// @brief Takes the end of a pause or resume; others are ignored.
    void take(const promotion::StatusArrived &event, Instant now);
    /// @brief Ends the round: resumes every replica that was sent a pause.
    void release(Instant now);
    /// @brief Resumes all replicas, whoever has paused them.
    void resumeAll(Instant now);
    /// @brief Sends what is due.
    void evaluate(Instant now);
    [[nodiscard]] std::optional<Instant> deadline() const;

    /// @brief Rows of the members that are paused for certain in this round.
    /// @param replaced Member that does not count as a replica.
    [[nodiscard]] std::map<std::string, EndpointStatusRow>
    paused(const std::string &replaced) const;
    [[nodiscard]] bool holding() const noexcept { return holding_; }
    /// @brief Whether every pause of this round has ended.
    [[nodiscard]] bool complete() const;
    /// @brief Whether one has answered a pause of this round as primary.
    [[nodiscard]] bool primaryAnswered() const;

private:
    struct Replica
    {
        std::uint64_t pauseQuery = 0; ///< 0 if it was not sent a pause in this round.
        std::uint64_t bornMs = 0;     ///< Incarnation that was sent the pause.
        std::uint64_t pauseTerm = 0;
        Instant pausedAt{};
        bool pauseEnded = false;
        bool certain = false; ///< No resume could overtake the pause.
        std::optional<EndpointStatusRow> row;
        bool owed = false; ///< It must be resumed.
        Instant resumeAt{};
        std::optional<Instant> resumeAgainAt;
        std::map<std::uint64_t, Instant> openResumes; ///< Query and time of those not answered.
    };

    void resume(const std::string &id, Replica &replica, Instant now);

    const EndpointRegistry &registry_;
    std::string service_;
    std::uint64_t &lastQuery_;
    PromotionActions &actions_;
    std::map<std::string, Replica> replicas_;
    bool holding_ = false;
};

} // namespace hyssoprock::internal
