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
/// @brief Durations of promotions and of their parts.

namespace hyssoprock {

/// @brief Part of a promotion.
enum class PromotionStage : std::uint8_t {
    Evidence, ///< From the question to the entry hosts to the first query of endpoints.
    Choice,   ///< From there to the proposal of the order; pauses and repeated attempts included.
    Commit,   ///< From the proposal of an order to its commit.
    Call,     ///< From a promotion call to its answer.
    Total,    ///< From the first of these to the call that was accepted.
};
/// @brief Number of parts.
constexpr std::size_t promotionStageCount = 5;
/// @brief Number of PromotionOutcome values.
constexpr std::size_t promotionOutcomeCount = 4;

/// @brief Counters of a control host; all begin at 0 and never fall.
struct PromotionCounters
{
    std::array<std::uint64_t, promotionOutcomeCount> calls{}; ///< By PromotionOutcome.
    std::array<DurationCounts, promotionStageCount> stages{}; ///< By PromotionStage.
};

/// @brief Follows the events and actions of a PromotionController and measures promotions.
class PromotionMetrics
{
public:
    /// @brief Takes an event of the controller.
    void record(const PromotionEvent &event, Instant now);
    /// @brief Takes an action of the controller.
    void record(const PromotionAction &action, Instant now);
    /// @brief What was measured.
    [[nodiscard]] const PromotionCounters &counters() const noexcept { return counters_; }

private:
    /// Messages of one kind that belong together.
    struct Burst
    {
        Instant first{};
        Instant last{};

        void record(Instant now);
        [[nodiscard]] bool recent(Instant now) const;
    };
    struct Progress
    {
        Burst evidence{};
        Burst queries{};
        std::optional<Instant> startedAt{}; ///< Set while a promotion is in progress.
        Instant proposedAt{};
        Instant calledAt{};
    };

    void add(PromotionStage part, Duration duration);
    void proposed(Progress &progress, Instant now);

    std::map<std::string, Progress> services_{};
    PromotionCounters counters_{};
};

} // namespace hyssoprock
