#pragma once

#include <cstddef>
#include <vector>

#include <hyssoprock/transport/pg_answer.hpp>

struct pg_result;

/// @file
/// @brief Converts results of libpq.

namespace hyssoprock::internal {

/// @brief Converts the row description of a result.
/// @param result Result with a row description.
[[nodiscard]] std::vector<PgColumn> parseColumns(const pg_result &result);

/// @brief Converts the rows of a result.
/// @param result Any result.
/// @param bytes Incremented by the total size of the values.
[[nodiscard]] std::vector<std::vector<PgValue>> parseRows(const pg_result &result,
                                                          std::size_t &bytes);

/// @brief Converts the error of a failed statement.
/// @param result Result of a failed statement.
/// @return The error; fields that the endpoint did not send are empty.
[[nodiscard]] PgStatementError parseError(const pg_result &result);

} // namespace hyssoprock::internal
