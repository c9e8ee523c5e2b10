#pragma once

/// @file
/// @brief Forward declarations of the settings module.

namespace hyssoprock {

struct Settings;
struct PooledSettings;
template <class File>
struct SettingDescriptor;

} // namespace hyssoprock
