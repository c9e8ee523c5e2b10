#pragma once

/// @file
/// @brief Forward declarations of the controlgroup module.

namespace hyssoprock {} // namespace hyssoprock
