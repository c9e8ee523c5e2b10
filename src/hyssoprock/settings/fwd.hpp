#pragma once

/// @file
/// @brief Forward declarations of the settings module.

namespace hyssoprock {

struct Settings;
struct SettingDescriptor;

} // namespace hyssoprock
