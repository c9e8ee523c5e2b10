#pragma once

#include <cstdint>
#include <string_view>

#include <hyssoprock/settings/settings.hpp>

/// @file
/// @brief The log of the process: short sentences with a fixed prefix for each component.

namespace hyssoprock {

/// @brief Component that a line belongs to.
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

/// @brief Prefix of a component.
/// @param component Any component.
/// @return For example "[raft]".
[[nodiscard]] std::string_view logPrefix(LogComponent component) noexcept;

/// @brief Sets severity and destination; called once before the first line.
/// @param settings Settings of the log.
void configureLog(const LogSettings &settings);

/// @brief Writes a line.
/// @param level Severity.
/// @param component Component, which gives the prefix.
/// @param text Short sentence.
void writeLog(LogLevel level, LogComponent component, std::string_view text);

/// @brief Writes a line of a state machine, which carries its prefix already.
/// @param text Prefix and short sentence.
void writeLog(std::string_view text);

} // namespace hyssoprock
