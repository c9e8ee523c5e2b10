#pragma once

#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/endpoint/instance.hpp>
#include <hyssoprock/endpoint/statement.hpp>

/// @file
/// @brief The hyssoprock_... functions.

namespace hyssoprock::endpoint {

/// @brief One row with named columns.
struct AdministrativeRow
{
    std::vector<std::string> columns; ///< Names.
    std::vector<Value> values;        ///< One for each column.
};

/// @brief Columns of a function's row.
/// @return Nothing if there is no such function.
[[nodiscard]] std::optional<std::vector<std::string>>
administrativeColumns(const std::string &function);

/// @brief Runs a function.
/// @param instance Endpoint on which it works.
/// @param function Name in lower case.
/// @param arguments Values of the arguments.
/// @param now Present time.
/// @return Its row, or NotSupported, InvalidValue or Refused.
[[nodiscard]] Result<AdministrativeRow> callAdministrative(Instance &instance,
                                                           const std::string &function,
                                                           const std::vector<Value> &arguments,
                                                           Instant now);

} // namespace hyssoprock::endpoint
