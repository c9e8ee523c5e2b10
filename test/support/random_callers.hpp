#pragma once

#include <functional>
#include <string>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/pooling/statement.hpp>

#include "endpoint_group_simulation.hpp"

/// @file
/// @brief Generators of random caller statements and endpoint faults.

namespace hyssoprock::test {

/// @brief Text of a caller's next statement, in the syntax of parseStatement().
[[nodiscard]] std::string randomStatement(RandomSource &random, TransactionState state);

/// @brief Injects one fault into a running endpoint or one of its connections.
/// @param group Group of the endpoint.
/// @param id Name of the endpoint.
/// @param random Source of the choices.
/// @param later Schedules a callback that ends the fault after a delay.
/// @return Name of the fault; empty if none was injected.
[[nodiscard]] std::string
injectEndpointFault(EndpointGroupSimulation &group, const std::string &id, RandomSource &random,
                    const std::function<void(Duration, std::function<void()>)> &later);

} // namespace hyssoprock::test
