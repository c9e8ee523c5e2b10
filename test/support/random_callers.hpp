#pragma once

#include <functional>
#include <string>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/pooling/statement.hpp>

#include "endpoint_group_simulation.hpp"

/// @file
/// @brief Random statements of callers and random faults of endpoints.

namespace hyssoprock::test {

/// @brief Next statement of a caller, with the text that statementOf() reads.
[[nodiscard]] std::string randomStatement(RandomSource &random, TransactionState state);

/// @brief Brings about one fault of an endpoint that stays up, or of one of its connections.
/// @param group The endpoint's group.
/// @param id The endpoint.
/// @param random Choices.
/// @param later Called with a delay and what ends the fault.
/// @return Name of the fault; empty if there was nothing to disturb.
[[nodiscard]] std::string
disturbEndpoint(EndpointGroupSimulation &group, const std::string &id, RandomSource &random,
                const std::function<void(Duration, std::function<void()>)> &later);

} // namespace hyssoprock::test
