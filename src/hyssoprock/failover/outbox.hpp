#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/failover/coordinator_io.hpp>

/// @file
/// @brief Collects the actions of one event and tracks pending calls.

namespace hyssoprock {

/// @brief A call that has not completed.
struct PendingCall
{
    std::string group;       ///< Group of the endpoint.
    std::string endpoint;    ///< Endpoint.
    EndpointRequest request; ///< The call.
    Instant sentAt{};        ///< When the call was sent.
    Duration timeout{0};     ///< Timeout of the call.
};

/// @brief Actions to be returned, and calls that have not completed.
class Outbox
{
public:
    void add(CoordinatorAction action) { actions_.push_back(std::move(action)); }

    void log(std::string text) { add(WriteLog{std::move(text)}); }

    /// @brief Adds a call to an endpoint.
    /// @param member The endpoint.
    /// @param request The call.
    /// @param timeout Timeout of the call.
    /// @param now Current time.
    /// @return ID of the call.
    CallId call(const Member &member, EndpointRequest request, Duration timeout, Instant now);

    /// @brief Completes a pending call.
    /// @param call ID of the call.
    /// @return The call, or nothing if it is not pending: it has completed before, or was made in
    /// an earlier leadership.
    [[nodiscard]] std::optional<PendingCall> complete(CallId call);

    /// @brief IDs of calls that have been pending for more than twice their timeout. The daemon
    /// reports the outcome of every call; this is a safeguard for a missing report.
    [[nodiscard]] std::vector<CallId> overdueCalls(Instant now) const;

    /// @brief Discards all pending calls.
    void clear() noexcept { pending_.clear(); }

    /// @brief Returns the collected actions and removes them.
    [[nodiscard]] CoordinatorActions takeActions();

private:
    CoordinatorActions actions_;
    CallId lastCall_ = 0;
    std::map<CallId, PendingCall> pending_;
};

} // namespace hyssoprock
