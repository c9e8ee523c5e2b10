#pragma once

#include <cstdint>
#include <string>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/endpoint/database.hpp>

/// @file
/// @brief What all sessions of an endpoint share.

namespace hyssoprock::endpoint {

/// @brief Faults that were asked for with hyssoprock_fault.
struct Faults
{
    Instant stalledUntil{}; ///< Until then nothing at all happens in the process.
    Instant cutOffUntil{};  ///< Until then nothing goes in or out; work under way goes on.
    Duration lateAnswer{0}; ///< Each answer to an ordinary session is sent this much later.
    Duration receiveLag{0}; ///< Each answer of the primary arrives this much later.
    bool crash = false;     ///< End the process without cleaning up.
};

/// @brief Figures of the process for hyssoprock_status.
struct Counters
{
    std::uint32_t connections = 0; ///< Sessions that have started.
    std::uint32_t inFlight = 0;    ///< Ordinary sessions with a statement or transaction open.
};

/// @brief One endpoint without its sockets.
struct Instance
{
    std::string name;              ///< Name of the endpoint.
    std::uint64_t incarnation = 0; ///< Rises with each restart.
    Database database;             ///< Log and tables.
    Faults faults{};               ///< Faults in force.
    Counters counters{};           ///< Maintained by whoever runs the sessions.
};

} // namespace hyssoprock::endpoint
