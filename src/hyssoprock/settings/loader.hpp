#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/settings/pooler_settings.hpp>
#include <hyssoprock/settings/settings.hpp>

/// @file
/// @brief Reads and checks a settings file.

namespace hyssoprock {

/// @brief One error of a settings file.
struct SettingsError
{
    std::uint32_t line = 0;   ///< Line, from 1; 0 if the error has no place in the file.
    std::string key{};        ///< Key as section.key; empty for an error of syntax.
    std::string text{};       ///< What is wrong.
    std::uint32_t column = 0; ///< Column in characters, from 1; 0 if only the line is known.

    [[nodiscard]] bool operator==(const SettingsError &) const = default;
};

/// @brief Outcome of reading a settings file.
template <class File>
struct BasicLoadedSettings
{
    File settings{};                     ///< Only to be used if there is no error.
    std::vector<SettingsError> errors{}; ///< All errors, sorted by line.
};

using LoadedSettings = BasicLoadedSettings<Settings>;
using LoadedPooledSettings = BasicLoadedSettings<PooledSettings>;

/// @brief Reads settings from text and checks every key and every combination.
/// @param text Contents of the file.
/// @return The settings and all errors.
[[nodiscard]] LoadedSettings parseSettings(std::string_view text);

/// @brief Reads settings from a file.
/// @param path Path of the file.
/// @return The settings and all errors.
[[nodiscard]] LoadedSettings loadSettings(const std::string &path);

/// @brief As parseSettings(), for a process of the pooled deployment.
[[nodiscard]] LoadedPooledSettings parsePooledSettings(std::string_view text);

/// @brief As loadSettings(), for a process of the pooled deployment.
[[nodiscard]] LoadedPooledSettings loadPooledSettings(const std::string &path);

/// @brief Text of an error for people.
/// @param path Path of the file.
/// @param error The error.
/// @return "path:line: key: text", or "path:line:column: key: text" if the column is known.
[[nodiscard]] std::string toString(const std::string &path, const SettingsError &error);

/// @brief Whether a process has a role.
/// @param settings Checked settings.
/// @param role "entry" or "control".
/// @return Whether the role is listed.
[[nodiscard]] bool hasRole(const Settings &settings, std::string_view role);

} // namespace hyssoprock
