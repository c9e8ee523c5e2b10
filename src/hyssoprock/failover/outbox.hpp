#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/failover/coordinator_io.hpp>

/// @file
/// @brief Collects the actions of one event and keeps track of open calls.

namespace hyssoprock {

/// @brief A call that has not been answered.
struct OpenCall
{
    std::string group;       ///< Group of the endpoint.
    std::string endpoint;    ///< Endpoint.
    EndpointRequest request; ///< What was called.
    Instant sentAt{};        ///< When.
    Duration timeout{0};     ///< For how long the answer is waited for.
};

/// @brief Actions under way.
class Outbox
{
public:
    /// @brief Adds an action.
    void add(CoordinatorAction action) { actions_.push_back(std::move(action)); }

    /// @brief Adds a log line.
    void log(std::string text) { add(WriteLog{std::move(text)}); }

    /// @brief Calls an endpoint.
    /// @param member Endpoint and its address.
    /// @param request What to call.
    /// @param timeout Timeout of the call.
    /// @param now Present time.
    /// @return Id of the call.
    CallId call(const Member &member, EndpointRequest request, Duration timeout, Instant now);

    /// @brief Ends a call.
    /// @param call Its id.
    /// @return The call, or nothing if it is not open (answered twice, or of another leadership).
    [[nodiscard]] std::optional<OpenCall> close(CallId call);

    /// @brief Ids of calls whose answer is overdue by a full timeout. The daemon always reports a
    /// call's end; this is for an end that it has failed to report.
    [[nodiscard]] std::vector<CallId> overdue(Instant now) const;

    /// @brief Forgets all open calls.
    void clear() noexcept { open_.clear(); }

    /// @brief Takes the collected actions.
    [[nodiscard]] CoordinatorActions take();

private:
    CoordinatorActions actions_;
    CallId lastCall_ = 0;
    std::map<CallId, OpenCall> open_;
};

} // namespace hyssoprock
