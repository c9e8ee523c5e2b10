#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/settings/pooler_settings.hpp>
#include <hyssoprock/settings/settings.hpp>

/// @file
/// @brief Loads and validates a settings file.

namespace hyssoprock {

/// @brief One error of a settings file.
struct SettingsError
{
    std::uint32_t line = 0;   ///< Line, from 1; 0 if the error has no position.
    std::string key{};        ///< Key as section.key; empty for a syntax error.
    std::string text{};       ///< Description of the error.
    std::uint32_t column = 0; ///< Column in characters, from 1; 0 if only the line is known.

    [[nodiscard]] bool operator==(const SettingsError &) const = default;
};

/// @brief Result of loading a settings file.
template <class File>
struct BasicLoadedSettings
{
    File settings{};                     ///< Valid only if there are no errors.
    std::vector<SettingsError> errors{}; ///< All errors, sorted by line.
};

using LoadedSettings = BasicLoadedSettings<Settings>;
using LoadedPooledSettings = BasicLoadedSettings<PooledSettings>;

/// @brief Parses settings and validates every key and the constraints between keys.
/// @param text Contents of the file.
/// @return The settings and all errors.
[[nodiscard]] LoadedSettings parseSettings(std::string_view text);

/// @brief Loads settings from a file; a file that cannot be read is reported as an error.
/// @param path Path of the file.
/// @return The settings and all errors.
[[nodiscard]] LoadedSettings loadSettings(const std::string &path);

/// @brief Like parseSettings(), for a process of the pooled deployment.
[[nodiscard]] LoadedPooledSettings parsePooledSettings(std::string_view text);

/// @brief Like loadSettings(), for a process of the pooled deployment.
[[nodiscard]] LoadedPooledSettings loadPooledSettings(const std::string &path);

/// @brief Formats an error for people.
/// @param path Path of the file.
/// @param error The error.
/// @return "path:line: key: text", or "path:line:column: key: text" if the column is known.
[[nodiscard]] std::string toString(const std::string &path, const SettingsError &error);

/// @brief Whether the process has a role.
/// @param settings Settings of the process.
/// @param role "entry" or "control".
/// @return Whether host.roles lists the role.
[[nodiscard]] bool hasRole(const Settings &settings, std::string_view role);

} // namespace hyssoprock
