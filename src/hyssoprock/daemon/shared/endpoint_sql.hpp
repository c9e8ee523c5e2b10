#pragma once

#include <string>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/failover/endpoint_call.hpp>
#include <hyssoprock/transport/pg_answer.hpp>

/// @file
/// @brief Administrative calls to endpoints as SQL (section 5 of the design).

namespace hyssoprock {

/// @brief Statement that makes a call.
/// @param request The call.
/// @return Its text.
[[nodiscard]] std::string toSql(const EndpointRequest &request);

/// @brief Reads the answer to a call.
/// @param request The call.
/// @param answer The whole answer.
/// @return The report; Refused with the endpoint's message if it answered with an error;
/// ProtocolViolation if a column is missing or malformed.
[[nodiscard]] Result<EndpointCallResponse> readAnswer(const EndpointRequest &request,
                                                      const PgAnswer &answer);

} // namespace hyssoprock
