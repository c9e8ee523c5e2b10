#pragma once

/// @file
/// @brief Forward declarations of the pooler module.

namespace hyssoprock {} // namespace hyssoprock
