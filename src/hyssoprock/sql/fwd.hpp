#pragma once

/// @file
/// @brief Forward declarations of the sql module.

namespace hyssoprock::sql {

class PostgresCallerDialect;
class PostgresEndpointDialect;

} // namespace hyssoprock::sql
