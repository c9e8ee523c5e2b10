#pragma once

#include <string>
#include <utility>

#include <boost/outcome/result.hpp>

#include <hyssoprock/core/error_kind.hpp>

/// @file
/// @brief Result type of operations that can fail.

namespace hyssoprock {

/// @brief An error kind with a human-readable detail.
struct Error
{
    ErrorKind kind = ErrorKind::None; ///< The kind.
    std::string detail;               ///< Cause of the error; may be empty.

    [[nodiscard]] bool operator==(const Error &) const = default;
};

/// @brief A value or an Error. Accessing the wrong alternative terminates the process.
template <class T>
using Result =
    BOOST_OUTCOME_V2_NAMESPACE::result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// @brief Makes the failed alternative of a Result.
/// @param kind The kind.
/// @param detail Cause of the error.
/// @return A value that converts to any Result.
[[nodiscard]] inline auto failure(ErrorKind kind, std::string detail = {})
{
    return BOOST_OUTCOME_V2_NAMESPACE::failure(Error{kind, std::move(detail)});
}

} // namespace hyssoprock
