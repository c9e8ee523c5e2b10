#pragma once

/// @file
/// @brief Forward declarations of the freshness module.

namespace hyssoprock {} // namespace hyssoprock
