#pragma once

#include <string>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/failover/endpoint_call.hpp>
#include <hyssoprock/transport/pg_answer.hpp>

/// @file
/// @brief Administrative calls to endpoints as SQL, see section 5 of the design document.

namespace hyssoprock {

/// @brief Encodes a call as an SQL statement.
[[nodiscard]] std::string toSql(const EndpointRequest &request);

/// @brief Parses the answer to a call.
/// @param request Call.
/// @param answer Complete answer.
/// @return The report; Refused with the message of the endpoint if it answered with an error;
/// ProtocolViolation if a column is missing or malformed.
[[nodiscard]] Result<EndpointCallResponse> parseAnswer(const EndpointRequest &request,
                                                       const PgAnswer &answer);

} // namespace hyssoprock
