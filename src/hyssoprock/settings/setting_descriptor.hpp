#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

#include <hyssoprock/settings/pooler_settings.hpp>
#include <hyssoprock/settings/settings.hpp>

/// @file
/// @brief The generated table that ties each key of the settings file to a member of its type.

namespace hyssoprock {

/// @brief How the value of a key is written in TOML.
enum class SettingKind : std::uint8_t {
    String,       ///< Text.
    Address,      ///< IP number and port.
    List,         ///< Array of text.
    Count,        ///< Whole number in a range.
    Milliseconds, ///< Duration in whole milliseconds, in a range.
    Flag,         ///< true or false.
};

/// @brief A value as it was read from the file. Durations are in milliseconds.
using SettingValue = std::variant<std::string, std::vector<std::string>, std::uint64_t, bool>;

/// @brief One key of a settings file.
/// @tparam File Type that holds all settings of the file.
template <class File>
struct SettingDescriptor
{
    std::string_view section;                     ///< Table in the file.
    std::string_view key;                         ///< Key in the table.
    SettingKind kind;                             ///< How it is written.
    bool required;                                ///< Must be given.
    std::uint64_t least;                          ///< Least value of a count or duration.
    std::uint64_t most;                           ///< Greatest value of a count or duration.
    std::vector<std::string_view> allowed;        ///< Allowed texts; empty for any.
    void (*assign)(File &, const SettingValue &); ///< Stores a value of the right kind.
};

/// @brief All keys, in the order of the schema.
/// @return The table.
template <class File>
[[nodiscard]] std::span<const SettingDescriptor<File>> settingDescriptors() noexcept;
template <>
[[nodiscard]] std::span<const SettingDescriptor<Settings>> settingDescriptors<Settings>() noexcept;
template <>
[[nodiscard]] std::span<const SettingDescriptor<PooledSettings>>
settingDescriptors<PooledSettings>() noexcept;

/// @brief Class that a member pointer belongs to.
template <class File, class Section>
File ownerOf(Section File::*);

/// @brief Function that stores a value into a member.
/// @return A function for SettingDescriptor::assign.
template <auto Section, auto Member>
[[nodiscard]] constexpr auto bindSetting() noexcept
{
    return +[](decltype(ownerOf(Section)) &settings, const SettingValue &value) {
        auto &member = (settings.*Section).*Member;
        using Field = std::remove_reference_t<decltype(member)>;
        if constexpr (std::is_same_v<Field, Duration>) {
            member = std::chrono::milliseconds{std::get<std::uint64_t>(value)};
        } else {
            member = std::get<Field>(value);
        }
    };
}

} // namespace hyssoprock
