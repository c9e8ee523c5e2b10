#pragma once

#include <memory>
#include <optional>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/promotion/promotion_event.hpp>
#include <hyssoprock/registry/endpoint_registry.hpp>

/// @file
/// @brief Chooses and promotes primaries, on the control leader.

namespace hyssoprock {

/// @brief State machine that replaces primaries that drain, are missing or are unreachable.
///
/// At most one promotion of a service is in progress. Each call has a token of its own, which is
/// committed before the call is sent.
class PromotionController
{
public:
    /// @brief Does nothing until leadership is gained.
    /// @param registry Endpoints; must outlive the controller.
    /// @param stableWindow Time after a promotion in which only a failure of the target, or its
    /// draining, leads to another one of the same service.
    PromotionController(const EndpointRegistry &registry, Duration stableWindow);
    PromotionController(const PromotionController &) = delete;
    PromotionController &operator=(const PromotionController &) = delete;
    ~PromotionController();

    /// @brief Reacts to an event.
    /// @param event The event.
    /// @param now Present time.
    /// @return What to do, in order.
    [[nodiscard]] PromotionActions handle(const PromotionEvent &event, Instant now);

    /// @brief When a Tick is due at the latest.
    /// @return Nothing if no deadline is pending.
    [[nodiscard]] std::optional<Instant> nextDeadline() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace hyssoprock
