#pragma once

/// @file
/// @brief Forward declarations of the deployment module.

namespace hyssoprock {} // namespace hyssoprock
