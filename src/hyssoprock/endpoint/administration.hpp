#pragma once

#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/endpoint/instance.hpp>
#include <hyssoprock/endpoint/statement.hpp>

/// @file
/// @brief Administrative SQL functions of the stand-in, named hyssoprock_....

namespace hyssoprock::endpoint {

/// @brief Result row of an administrative function.
struct AdministrativeRow
{
    std::vector<std::string> columns; ///< Column names.
    std::vector<Value> values;        ///< One for each column.
};

/// @brief Column names of a function's result row.
/// @return std::nullopt if the function does not exist.
[[nodiscard]] std::optional<std::vector<std::string>>
administrativeColumns(const std::string &function);

/// @brief Calls an administrative function.
/// @param instance Endpoint that the function reads or changes.
/// @param function Function name in lower case.
/// @param arguments Argument values in text form.
/// @param now Current time.
/// @return The result row, or NotSupported, InvalidValue or Refused.
[[nodiscard]] Result<AdministrativeRow> callAdministrative(Instance &instance,
                                                           const std::string &function,
                                                           const std::vector<Value> &arguments,
                                                           Instant now);

} // namespace hyssoprock::endpoint
