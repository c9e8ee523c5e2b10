#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <hyssoprock/promotion/promotion_event.hpp>
#include <hyssoprock/registry/endpoint_registry.hpp>

/// @file
/// @brief What the parts of one service's promotion share.

namespace hyssoprock::internal {

/// Heartbeats of other endpoints, among them a primary's, must have time to arrive.
inline constexpr Duration leadershipGrace = std::chrono::seconds{2};
/// The platform answers a call some hundred ms before the old primary is deposed.
inline constexpr Duration depositionGrace = std::chrono::seconds{2};
inline constexpr Duration statusTimeout = std::chrono::milliseconds{150};
inline constexpr Duration proposalPause = std::chrono::milliseconds{100};
inline constexpr Duration candidateInterval = std::chrono::milliseconds{500};

/// @brief What the services of a controller share.
struct PromotionContext
{
    const EndpointRegistry &registry;
    Duration stableWindow{};
    std::set<std::string> entryHosts;
    std::map<std::string, std::uint32_t> synchronousReplicas; ///< By service, if not 0.
    Instant leaderSince{};
    std::uint64_t lastQuery = 0;
    std::uint64_t lastProposal = 0;
    PromotionActions actions;
};

/// @brief Endpoints, actions and next deadline of one service.
class ServiceScope
{
public:
    ServiceScope(PromotionContext &context, std::string service)
        : context_{context}
        , service_{std::move(service)}
    {}
    ServiceScope(const ServiceScope &) = delete;
    ServiceScope &operator=(const ServiceScope &) = delete;
    ~ServiceScope() = default;

    [[nodiscard]] PromotionContext &context() noexcept { return context_; }
    [[nodiscard]] const PromotionContext &context() const noexcept { return context_; }
    [[nodiscard]] const std::string &service() const noexcept { return service_; }
    [[nodiscard]] std::vector<const KnownEndpoint *> members() const
    {
        return context_.registry.members(service_);
    }
    [[nodiscard]] const KnownEndpoint *find(const std::string &id) const
    {
        return context_.registry.find(id);
    }
    /// @brief Replicas that must receive a commit before it is answered; 0 for none.
    [[nodiscard]] std::uint32_t synchronous() const;
    /// @brief Until when an endpoint that sends no further heartbeat counts as heard.
    [[nodiscard]] Instant freshUntil(const KnownEndpoint &endpoint) const;
    [[nodiscard]] Instant leadershipGraceEnd() const
    {
        return context_.leaderSince + leadershipGrace;
    }

    void act(PromotionAction action) { context_.actions.push_back(std::move(action)); }
    /// @return Number of the proposal.
    std::uint64_t propose(ControlCommand command);
    void log(const std::string &text);

    /// @brief Asks for an evaluation at `at` at the latest.
    void wakeAt(Instant at);
    void clearDeadline() noexcept { deadline_.reset(); }
    [[nodiscard]] std::optional<Instant> deadline() const noexcept { return deadline_; }

private:
    PromotionContext &context_;
    std::string service_;
    std::optional<Instant> deadline_{};
};

} // namespace hyssoprock::internal
