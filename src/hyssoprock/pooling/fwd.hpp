#pragma once

/// @file
/// @brief Forward declarations of the pooling module.

namespace hyssoprock {} // namespace hyssoprock
