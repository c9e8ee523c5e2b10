#pragma once

#include <cstdint>

/// @file
/// @brief Forward declarations of the settings module.

namespace hyssoprock {

enum class SettingKind : std::uint8_t;
struct ControlSettings;
struct DeploymentSettings;
struct HostSettings;
struct LeaseSettings;
struct LimitSettings;
struct ListenSettings;
struct LogSettings;
struct MembershipSettings;
struct NamedAddress;
struct PooledHostSettings;
struct PooledListenSettings;
struct PooledSettings;
struct RaftSettings;
struct RequestSettings;
struct RoutingSettings;
struct SeedSettings;
struct SessionSettings;
struct Settings;
struct SettingsError;
struct SocketAddress;

template <class File>
struct BasicLoadedSettings;
template <class File>
struct SettingDescriptor;

} // namespace hyssoprock
