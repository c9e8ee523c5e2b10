#pragma once

#include <hyssoprock/routing/endpoint_report.hpp>
#include <hyssoprock/transport/pg_connection.hpp>

/// @file
/// @brief Positions that come with each answer of an endpoint.

namespace hyssoprock {

/// @brief Reads the newest ParameterStatus values of a connection.
/// @param connection Connection that has just been answered.
/// @return Term, index, majority index and role; zero and Unknown where the endpoint said nothing.
[[nodiscard]] EndpointReport readEndpointReport(const PgConnection &connection);

} // namespace hyssoprock
