#pragma once

#include <cstddef>
#include <vector>

#include <hyssoprock/transport/pg_answer.hpp>

struct pg_result;

/// @file
/// @brief Reads the parts of a result of libpq.

namespace hyssoprock::internal {

/// @brief Columns of a result.
/// @param result Result with rows, or with none but a row description.
/// @return One entry for each column.
[[nodiscard]] std::vector<PgColumn> columnsOf(const pg_result &result);

/// @brief Rows of a result.
/// @param result Any result.
/// @param bytes Raised by the size of all values.
/// @return One entry for each row.
[[nodiscard]] std::vector<std::vector<PgValue>> rowsOf(const pg_result &result, std::size_t &bytes);

/// @brief Error of a failed statement.
/// @param result Result of a failed statement.
/// @return Its fields; empty where the endpoint sent none.
[[nodiscard]] PgStatementError errorOf(const pg_result &result);

} // namespace hyssoprock::internal
