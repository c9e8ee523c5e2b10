#pragma once

#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/endpoint/table_store.hpp>
#include <hyssoprock/pgwire/backend_encoder.hpp>

/// @file
/// @brief Outcome of one statement on the stand-in database instance.

namespace hyssoprock::endpoint {

/// @brief What a statement gives.
struct StatementResult
{
    std::optional<pgwire::Notice> error; ///< Set if the statement failed.
    bool blocked = false;     ///< Another transaction holds the table; nothing was done, try again.
    bool returnsRows = false; ///< Whether there is a row description.
    std::vector<pgwire::Column> columns;  ///< With returnsRows.
    std::vector<std::vector<Value>> rows; ///< With returnsRows.
    std::string tag;                      ///< For CommandComplete.
};

/// @brief Result of a statement that succeeded without rows.
/// @param tag Text for CommandComplete.
/// @return The result.
[[nodiscard]] StatementResult done(std::string tag);

/// @brief Result of a statement that failed.
/// @param state SQLSTATE.
/// @param message Text for the caller.
/// @return The result.
[[nodiscard]] StatementResult failed(std::string state, std::string message);

/// @brief Result of a statement that failed with an error of the product.
/// @param error Error; its kind gives the SQLSTATE.
/// @return The result.
[[nodiscard]] StatementResult failed(const Error &error);

/// @brief Column whose values are sent as text.
/// @param name Name.
/// @return The column.
[[nodiscard]] pgwire::Column textColumn(std::string name);

} // namespace hyssoprock::endpoint
