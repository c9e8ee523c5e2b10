#pragma once

#include <hyssoprock/routing/endpoint_report.hpp>
#include <hyssoprock/transport/pg_connection.hpp>

/// @file
/// @brief Positions reported with each answer of an endpoint.

namespace hyssoprock {

/// @brief Reads the latest ParameterStatus values of a connection.
/// @param connection Connection on which an answer was received.
/// @return Term, index, majority index and role; zero or Unknown for values that were not reported.
[[nodiscard]] EndpointReport readEndpointReport(const PgConnection &connection);

} // namespace hyssoprock
