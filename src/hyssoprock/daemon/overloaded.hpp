#pragma once

/// @file
/// @brief Visitor of a variant made of lambdas.

namespace hyssoprock {

/// @brief Joins the call operators of several function objects.
template <class... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};

template <class... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace hyssoprock
