#pragma once

#include <cstdint>
#include <string>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/endpoint/database.hpp>

/// @file
/// @brief State that all sessions of an endpoint share.

namespace hyssoprock::endpoint {

/// @brief Faults injected with hyssoprock_fault.
struct Faults
{
    Instant stalledUntil{};   ///< The process handles no events until then.
    Instant cutOffUntil{};    ///< No data is received or sent until then; running work continues.
    Duration answerDelay{0};  ///< Delay of answers to non-administrative sessions.
    Duration receiveDelay{0}; ///< Delay of answers from the primary.
    bool crash = false;       ///< Terminate the process without cleaning up.
};

/// @brief Counters of the process that hyssoprock_status reports.
struct Counters
{
    std::uint32_t connections = 0; ///< Open sessions, including administrative ones.
    std::uint32_t inFlight = 0;    ///< Non-administrative sessions with a statement in progress or
                                   ///< an open transaction.
};

/// @brief Endpoint state without sockets.
struct Instance
{
    std::string name;              ///< Name of the endpoint.
    std::uint64_t incarnation = 0; ///< Increases with each restart.
    Database database;             ///< Transaction log and tables.
    Faults faults{};               ///< Active faults.
    Counters counters{};           ///< Maintained by the owner of the sessions.
};

} // namespace hyssoprock::endpoint
