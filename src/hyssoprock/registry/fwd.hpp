#pragma once

/// @file
/// @brief Forward declarations of the registry module.

namespace hyssoprock {} // namespace hyssoprock
