#pragma once

/// @file
/// @brief Forward declarations of the promotion module.

namespace hyssoprock {} // namespace hyssoprock
