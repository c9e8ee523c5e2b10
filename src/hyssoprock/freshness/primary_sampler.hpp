#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief Positions of primaries that a control host requests on behalf of entry hosts.

namespace hyssoprock {

/// @brief Endpoint whose position is requested.
struct SampleTarget
{
    std::string service;  ///< Service.
    std::string endpoint; ///< Identifier of the endpoint.
    std::string address;  ///< IP number and port.

    [[nodiscard]] bool operator==(const SampleTarget &) const = default;
};

/// @brief Decides when the position of each service's primary is requested, and answers entry
/// hosts. Performs no I/O; the time is passed as an argument.
///
/// One request serves all entry hosts of a control host, so the number of requests does not depend
/// on the number of entry hosts. Only services that an entry host has requested recently are
/// sampled. Several control hosts may sample the same primary independently of each other.
class PrimarySampler
{
public:
    /// @brief Finds the endpoint that is believed to be the primary of a service.
    /// @return std::nullopt if none is known.
    using TargetLookup = std::function<std::optional<SampleTarget>(const std::string &service)>;

    /// @brief Creates a sampler without services.
    /// @param interval Time between two requests to a primary.
    /// @param lookup Finds the primary of a service.
    PrimarySampler(Duration interval, TargetLookup lookup);

    /// @brief Answers an entry host, and samples the services that it requests from now on.
    /// @param request Request of the entry host.
    /// @param now Current time.
    /// @return Positions that are recent enough to be of use.
    [[nodiscard]] PositionReport handleRequest(const PositionRequest &request, Instant now);

    /// @brief Records the position that an endpoint has reported in a plain transaction.
    /// @param target Endpoint that was asked.
    /// @param position End of its log.
    /// @param sentAt When the request was sent.
    void handlePosition(const SampleTarget &target, LogPosition position, Instant sentAt);
    /// @brief Records that an endpoint did not answer or is not the primary.
    void handleFailure(const SampleTarget &target, Instant now);

    /// @brief Returns the endpoints to ask now and marks them as asked.
    [[nodiscard]] std::vector<SampleTarget> takeDue(Instant now);
    /// @brief Forgets the services that no entry host has requested recently.
    /// @return Their names.
    [[nodiscard]] std::vector<std::string> takeUnused(Instant now);
    /// @brief When takeDue() or takeUnused() must be called.
    /// @return std::nullopt while no service is sampled.
    [[nodiscard]] std::optional<Instant> nextDeadline() const;

private:
    /// Sampled service.
    struct Service
    {
        Instant requestedAt;  ///< Last request of an entry host.
        Instant nextSampleAt; ///< When its primary is asked next.
        bool asking = false;  ///< A request to its primary is unanswered.
        std::string endpoint; ///< Endpoint that has reported the position.
        LogPosition position; ///< Newest position; index 0 and term 0 for none.
        Instant sampleSentAt; ///< When the request for it was sent.
        bool sampled = false; ///< A position is known.
    };

    Duration interval_;
    TargetLookup lookup_;
    std::map<std::string, Service> services_{};
};

} // namespace hyssoprock
