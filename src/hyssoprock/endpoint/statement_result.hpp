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

/// @brief Outcome of a statement.
struct StatementResult
{
    std::optional<pgwire::Notice> error; ///< Set if the statement failed.
    bool blocked = false;     ///< Another session has locked the table; nothing was done, retry.
    bool returnsRows = false; ///< Whether a row description is sent.
    std::vector<pgwire::Column> columns;  ///< With returnsRows.
    std::vector<std::vector<Value>> rows; ///< With returnsRows.
    std::string tag;                      ///< Command tag for CommandComplete.
};

/// @brief Result of a statement that succeeded without rows.
/// @param tag Command tag for CommandComplete.
[[nodiscard]] StatementResult successResult(std::string tag);

/// @brief Result of a statement that failed.
/// @param state SQLSTATE.
/// @param message Text for the caller.
[[nodiscard]] StatementResult errorResult(std::string state, std::string message);

/// @brief Result of a statement that failed with an internal error.
/// @param error Error; its kind determines the SQLSTATE.
[[nodiscard]] StatementResult errorResult(const Error &error);

/// @brief Column description with type text.
[[nodiscard]] pgwire::Column textColumn(std::string name);

} // namespace hyssoprock::endpoint
