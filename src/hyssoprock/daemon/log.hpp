#pragma once

#include <cstdint>
#include <string_view>

#include <hyssoprock/settings/settings.hpp>

/// @file
/// @brief Log of the process; each line has a fixed prefix for its component.

namespace hyssoprock {

/// @brief Component that writes a line.
enum class LogComponent : std::uint8_t {
    Raft,
    Failover,
    Route,
    Limits,
    Session,
    Config,
    Member,
    Endpoint,
    Wire,
    Main,
};

/// @brief Severity of a line.
enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/// @brief Returns the prefix of a component, for example "[raft]".
[[nodiscard]] std::string_view logPrefix(LogComponent component) noexcept;

/// @brief Sets the minimum severity and the destination. Must be called once before the first line.
void configureLog(const LogSettings &settings);

/// @brief Writes a line.
/// @param level Severity.
/// @param component Component, determines the prefix.
/// @param text Text without prefix.
void writeLog(LogLevel level, LogComponent component, std::string_view text);

/// @brief Writes a line of severity Info.
/// @param text Text including the component prefix.
void writeLog(std::string_view text);

} // namespace hyssoprock
