#pragma once

/// @file
/// @brief Variant visitor composed of lambdas.

namespace hyssoprock {

/// @brief Combines the call operators of several function objects.
template <class... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};

template <class... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace hyssoprock
