#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <hyssoprock/core/duration_counts.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/promotion/promotion_event.hpp>

/// @file
/// @brief Duration metrics of promotions and their stages.

namespace hyssoprock {

/// @brief Stage of a promotion.
enum class PromotionStage : std::uint8_t {
    Evidence, ///< From the request to the entry hosts to the first query of endpoints.
    Choice,   ///< From that query to the proposal of the order, including retries.
    Commit,   ///< From the proposal of the order to its commit.
    Call,     ///< From a promotion call to its answer.
    Total,    ///< From the first stage to the accepted call.
};
constexpr std::size_t promotionStageCount = 5;
constexpr std::size_t promotionOutcomeCount = 4;

/// @brief Monotonic counters of a control host.
struct PromotionCounters
{
    std::array<std::uint64_t, promotionOutcomeCount> calls{};    ///< Indexed by PromotionOutcome.
    std::array<DurationHistogram, promotionStageCount> stages{}; ///< Indexed by PromotionStage.
};

/// @brief Measures promotions by observing the events and actions of a PromotionController.
class PromotionMetrics
{
public:
    /// @brief Records an event passed to the controller.
    void record(const PromotionEvent &event, Instant now);
    /// @brief Records an action returned by the controller.
    void record(const PromotionAction &action, Instant now);
    [[nodiscard]] const PromotionCounters &counters() const noexcept { return counters_; }

private:
    /// Time span of related messages of one kind.
    struct Burst
    {
        Instant first{};
        Instant last{};

        void record(Instant now);
        [[nodiscard]] bool isRecent(Instant now) const;
    };
    struct Progress
    {
        Burst evidence{};
        Burst queries{};
        std::optional<Instant> startedAt{}; ///< Set while a promotion is in progress.
        Instant proposedAt{};
        Instant calledAt{};
    };

    void add(PromotionStage stage, Duration duration);
    void recordProposal(Progress &progress, Instant now);

    std::map<std::string, Progress> services_{};
    PromotionCounters counters_{};
};

} // namespace hyssoprock
