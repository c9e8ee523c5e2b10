#pragma once

#include <memory>
#include <optional>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/leasing/host_lease_grantor.hpp>
#include <hyssoprock/promotion/promotion_event.hpp>
#include <hyssoprock/promotion/promotion_settings.hpp>
#include <hyssoprock/registry/endpoint_registry.hpp>

/// @file
/// @brief Selects and promotes primaries on the control leader.

namespace hyssoprock {

/// @brief State machine that replaces primaries that are draining, missing or unreachable.
///
/// At most one promotion per service is in progress. Each call has its own token, which is
/// committed before the call is sent.
class PromotionController
{
public:
    /// @brief Creates a controller that is inactive until LeadershipGained.
    /// @param registry Known endpoints; must outlive the controller.
    /// @param leases Leases of the entry hosts. A promotion waits for them where it is not fenced
    /// or the service has synchronous replicas. Must outlive the controller, and must be told of a
    /// leadership before the controller.
    PromotionController(const EndpointRegistry &registry, const HostLeaseGrantor &leases,
                        PromotionSettings settings);
    PromotionController(const PromotionController &) = delete;
    PromotionController &operator=(const PromotionController &) = delete;
    ~PromotionController();

    /// @brief Processes an event.
    /// @param event Event to process.
    /// @param now Current time.
    /// @return Actions to execute, in order.
    [[nodiscard]] PromotionActions handle(const PromotionEvent &event, Instant now);

    /// @brief Latest time for the next Tick.
    /// @return std::nullopt if no deadline is pending.
    [[nodiscard]] std::optional<Instant> nextDeadline() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace hyssoprock
