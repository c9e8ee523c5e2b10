#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Detection of endpoints that fail although they are reported healthy.

namespace hyssoprock {

/// @brief Outcome of a read, or of opening a connection, as seen by this host.
enum class EndpointOutcome : std::uint8_t {
    Served,
    Refused, ///< Not run because of load; shows that the endpoint works.
    Failed,  ///< The statement failed, or no connection could be opened.
    Hung,    ///< No answer within the time limit, and nothing else was received meanwhile.
    Reset,   ///< The connection ended while it was in use.
};

/// @brief Whether an endpoint may run reads.
enum class EndpointUse : std::uint8_t {
    Normal,
    Trial, ///< Avoided, but one read may test it now.
    Avoided,
};

/// @brief Decision that follows from an outcome.
enum class OutlierChange : std::uint8_t {
    None,
    Avoided,     ///< The endpoint is avoided from now on.
    TrialFailed, ///< It stays avoided, for longer.
    Returned,    ///< It is used again.
    AllFailing,  ///< All endpoints fail, so none is avoided any more.
};
/// @brief Number of OutlierChange values.
constexpr std::size_t outlierChangeCount = 5;

/// @brief Text for a log line.
[[nodiscard]] std::string_view toString(OutlierChange change) noexcept;

/// @brief Decides which endpoints of one service a host avoids for reads.
///
/// An endpoint is avoided if it failed several of its last outcomes and another one failed clearly
/// fewer. At most half of the endpoints are avoided. It returns after several trials, one read at a
/// time; a failed trial lengthens the interval until the next one. If all endpoints fail, the cause
/// is this host's own link or the statements, so none is avoided.
class OutlierDetector
{
public:
    /// @brief Sets the endpoints of the service. The state of those that remain is kept, also
    /// across a restart of the endpoint, so that restarting in turns counts as failing.
    void setMembers(const std::vector<std::string> &endpoints);

    /// @brief Records an outcome. Unknown endpoints are ignored.
    OutlierChange record(const std::string &endpoint, EndpointOutcome outcome, Instant now);

    /// @brief Marks the trial of an endpoint as in progress, if it is due.
    /// @return Whether a trial has begun.
    bool beginTrial(const std::string &endpoint, Instant now);

    /// @brief Whether the endpoint may run reads.
    [[nodiscard]] EndpointUse use(const std::string &endpoint, Instant now) const;

    /// @brief Endpoints that are avoided, including those on trial, sorted.
    [[nodiscard]] std::vector<std::string> avoidedEndpoints() const;

private:
    struct Record
    {
        std::uint32_t failures = 0; ///< Last outcomes, one bit each, 1 for a failure.
        Instant outcomeAt{};        ///< Last outcome.
        Instant failedAt{};         ///< Last failure.
        bool avoided = false;
        std::uint32_t repetitions = 0;    ///< Failed trials and relapses; lengthens the interval.
        std::uint32_t servedTrials = 0;   ///< Trials in a row that were served.
        Instant trialAt{};                ///< Next trial.
        std::optional<Instant> triedAt{}; ///< Start of the trial in progress.
        Instant returnedAt{};             ///< End of the last avoidance.
    };

    OutlierChange recordWhileAvoided(Record &record, EndpointOutcome outcome, Instant now);
    [[nodiscard]] std::size_t avoidedCount() const;
    [[nodiscard]] bool canAvoid(const Record &record, int margin) const;
    [[nodiscard]] bool allFailing(Instant now) const;
    static void avoid(Record &record, Instant now);

    std::map<std::string, Record, std::less<>> records_{};
};

} // namespace hyssoprock
