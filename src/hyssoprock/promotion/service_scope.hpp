#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <hyssoprock/leasing/host_lease_grantor.hpp>
#include <hyssoprock/promotion/promotion_event.hpp>
#include <hyssoprock/promotion/promotion_settings.hpp>
#include <hyssoprock/registry/endpoint_registry.hpp>

/// @file
/// @brief State shared by the components of one service's promotion.

namespace hyssoprock::internal {

/// After a change of leader: time for the heartbeats of all endpoints, including a primary's, to
/// arrive.
inline constexpr Duration leadershipGracePeriod = std::chrono::seconds{2};
/// The platform answers a call several hundred milliseconds before the old primary is deposed.
inline constexpr Duration depositionGracePeriod = std::chrono::seconds{2};
inline constexpr Duration statusTimeout = std::chrono::milliseconds{150};
inline constexpr Duration proposalRetryDelay = std::chrono::milliseconds{100};
inline constexpr Duration candidateRetryDelay = std::chrono::milliseconds{500};

/// @brief State shared by all services of a controller.
struct ControllerContext
{
    const EndpointRegistry &registry;
    const HostLeaseGrantor &leases;
    PromotionSettings settings;
    std::set<std::string> entryHosts;
    std::map<std::string, std::uint32_t> synchronousReplicas; ///< By service, if not 0.
    Instant leaderSince{};
    std::uint64_t lastOperationId = 0;
    std::uint64_t lastProposalId = 0;
    PromotionActions actions;
};

/// @brief Endpoints, pending actions and next deadline of one service.
class ServiceScope
{
public:
    ServiceScope(ControllerContext &controller, std::string service)
        : controller_{controller}
        , service_{std::move(service)}
    {}
    ServiceScope(const ServiceScope &) = delete;
    ServiceScope &operator=(const ServiceScope &) = delete;
    ~ServiceScope() = default;

    [[nodiscard]] ControllerContext &controller() noexcept { return controller_; }
    [[nodiscard]] const ControllerContext &controller() const noexcept { return controller_; }
    [[nodiscard]] const std::string &service() const noexcept { return service_; }
    [[nodiscard]] std::vector<const KnownEndpoint *> members() const
    {
        return controller_.registry.members(service_);
    }
    [[nodiscard]] const KnownEndpoint *find(const std::string &id) const
    {
        return controller_.registry.find(id);
    }
    /// @brief Number of replicas that must receive a commit before it is acknowledged; 0 for
    /// asynchronous replication.
    [[nodiscard]] std::uint32_t synchronousReplicas() const;
    /// @brief Whether a promotion deposes the former primary, and a call with an outdated token is
    /// refused.
    [[nodiscard]] bool isFenced() const noexcept { return controller_.settings.fenced; }
    /// @brief Whether a primary is replaced only when no entry host can acknowledge a write of it
    /// any more. With synchronous replicas a promotion is only safe then, because a replica that
    /// restarts during the call receives again in spite of its pause.
    [[nodiscard]] bool requiresWithdrawal() const
    {
        return !isFenced() || synchronousReplicas() > 0;
    }
    /// @brief Until when the newest heartbeat of an endpoint counts as fresh.
    [[nodiscard]] Instant freshUntil(const KnownEndpoint &endpoint) const;
    [[nodiscard]] Instant leadershipGraceEndsAt() const
    {
        return controller_.leaderSince + leadershipGracePeriod;
    }

    template <class Action>
    void addAction(Action action)
    {
        controller_.actions.emplace_back(std::move(action));
    }
    /// @return Identifier of the proposal.
    std::uint64_t propose(ControlCommand command);
    void log(const std::string &text);

    /// @brief Requests an evaluation no later than `at`.
    void evaluateBy(Instant at);
    void clearDeadline() noexcept { deadline_.reset(); }
    [[nodiscard]] std::optional<Instant> nextDeadline() const noexcept { return deadline_; }

private:
    ControllerContext &controller_;
    std::string service_;
    std::optional<Instant> deadline_{};
};

} // namespace hyssoprock::internal
