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
/// @brief Generated table that maps each key of a settings file to a member of its settings type.

namespace hyssoprock {

/// @brief Form of a value in TOML.
enum class SettingKind : std::uint8_t {
    String,       ///< String.
    Address,      ///< IP number and port.
    List,         ///< Array of strings.
    Count,        ///< Integer in a range.
    Milliseconds, ///< Duration in milliseconds, in a range.
    Flag,         ///< true or false.
};

/// @brief Parsed value of a key. Durations are in milliseconds.
using SettingValue = std::variant<std::string, std::vector<std::string>, std::uint64_t, bool>;

/// @brief Describes one key of a settings file.
/// @tparam File Type that holds all settings of the file.
template <class File>
struct SettingDescriptor
{
    std::string_view section;                     ///< Table in the file.
    std::string_view key;                         ///< Key in the table.
    SettingKind kind;                             ///< Form of the value.
    bool required;                                ///< Whether the key must be present.
    std::uint64_t valueMin;                       ///< Minimum of a count or duration.
    std::uint64_t valueMax;                       ///< Maximum of a count or duration.
    std::vector<std::string_view> allowed;        ///< Allowed strings; empty for any.
    void (*assign)(File &, const SettingValue &); ///< Stores a value of this kind.
};

/// @brief All keys, in the order of the schema.
/// @return Descriptors with static lifetime.
template <class File>
[[nodiscard]] std::span<const SettingDescriptor<File>> settingDescriptors() noexcept;
template <>
[[nodiscard]] std::span<const SettingDescriptor<Settings>> settingDescriptors<Settings>() noexcept;
template <>
[[nodiscard]] std::span<const SettingDescriptor<PooledSettings>>
settingDescriptors<PooledSettings>() noexcept;

/// @brief Deduces the class of a member pointer; only declared.
template <class File, class Section>
File ownerOf(Section File::*);

/// @brief Creates a function that stores a value into a member.
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
