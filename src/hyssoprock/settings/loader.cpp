#include <hyssoprock/settings/loader.hpp>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

#include <toml++/toml.h>

#include <hyssoprock/settings/address.hpp>
#include <hyssoprock/settings/setting_descriptor.hpp>

#include "contradictions.hpp"
#include "toml_text.hpp"

namespace hyssoprock {

namespace {

// Just below 2^53, beyond which a double does not represent every integer.
constexpr double exactDecimalMax = 9.0e15;

constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";

std::string fullKey(std::string_view section, std::string_view key)
{
    return std::string{section} + "." + std::string{key};
}

std::string quoteText(std::string_view text)
{
    return "\"" + std::string{text} + "\"";
}

/// Loads the settings of one file and collects the errors.
template <class File>
class Loader
{
public:
    BasicLoadedSettings<File> load(const toml::table &root)
    {
        for (const auto &descriptor : settingDescriptors<File>()) {
            knownKeys_[std::string{descriptor.section}].insert(std::string{descriptor.key});
        }
        reportUnknownKeys(root);
        for (const auto &descriptor : settingDescriptors<File>()) {
            loadSetting(root, descriptor);
        }
        internal::checkConstraints(
            loaded_.settings, [this](std::string_view key, std::string text) {
                // A key that is invalid by itself is reported only once.
                if (!invalidKeys_.contains(std::string{key})) {
                    loaded_.errors.push_back({lineOf(key), std::string{key}, std::move(text)});
                }
            });
        std::stable_sort(loaded_.errors.begin(), loaded_.errors.end(),
                         [](const auto &a, const auto &b) { return a.line < b.line; });
        return std::move(loaded_);
    }

private:
    [[nodiscard]] static std::uint32_t lineOf(const toml::node &node)
    {
        return node.source().begin.line;
    }

    /// Line of a key; of its section if the key is absent; 0 if both are absent.
    [[nodiscard]] std::uint32_t lineOf(std::string_view key) const
    {
        if (const auto found = keyLines_.find(std::string{key}); found != keyLines_.end()) {
            return found->second;
        }
        const auto section = sectionLines_.find(std::string{key.substr(0, key.find('.'))});
        return section == sectionLines_.end() ? 0 : section->second;
    }

    void report(std::uint32_t line, const std::string &key, std::string text)
    {
        invalidKeys_.insert(key);
        loaded_.errors.push_back({line, key, std::move(text)});
    }

    void reportUnknownKeys(const toml::table &root)
    {
        for (const auto &[sectionKey, sectionNode] : root) {
            const std::string section{sectionKey.str()};
            const auto line = sectionKey.source().begin.line;
            sectionLines_[section] = line;
            const auto found = knownKeys_.find(section);
            if (found == knownKeys_.end()) {
                report(line, section, "unknown section");
                continue;
            }
            const auto *table = sectionNode.as_table();
            if (table == nullptr) {
                report(line, section, "must be a section, written as [" + section + "]");
                continue;
            }
            for (const auto &[key, node] : *table) {
                const std::string name{key.str()};
                if (!found->second.contains(name)) {
                    report(key.source().begin.line, fullKey(section, name), "unknown key");
                }
            }
        }
    }

    void loadSetting(const toml::table &root, const SettingDescriptor<File> &descriptor)
    {
        const auto key = fullKey(descriptor.section, descriptor.key);
        const auto *section = root.get_as<toml::table>(descriptor.section);
        const auto *node = section == nullptr ? nullptr : section->get(descriptor.key);
        if (node == nullptr) {
            if (descriptor.required) {
                report(lineOf(key), key, "is required");
            }
            return;
        }
        keyLines_[key] = lineOf(*node);
        if (auto value = parseValue(*node, descriptor, key)) {
            descriptor.assign(loaded_.settings, *value);
        }
    }

    std::optional<SettingValue> parseValue(const toml::node &node,
                                           const SettingDescriptor<File> &descriptor,
                                           const std::string &key)
    {
        switch (descriptor.kind) {
        case SettingKind::String:
            return parseText(node, descriptor, key);
        case SettingKind::Address:
            return parseAddressSetting(node, key);
        case SettingKind::List:
            return parseList(node, descriptor, key);
        case SettingKind::Count:
        case SettingKind::Milliseconds:
            return parseNumber(node, descriptor, key);
        case SettingKind::Flag:
            if (const auto *flag = node.as_boolean()) {
                return SettingValue{flag->get()};
            }
            report(lineOf(node), key, "must be true or false");
            return std::nullopt;
        }
        return std::nullopt;
    }

    bool checkAllowed(const std::string &text, const SettingDescriptor<File> &descriptor,
                      std::uint32_t line, const std::string &key)
    {
        const auto &allowed = descriptor.allowed;
        if (allowed.empty() || std::find(allowed.begin(), allowed.end(), text) != allowed.end()) {
            return true;
        }
        std::string list;
        for (const auto &item : allowed) {
            list += (list.empty() ? "" : ", ") + quoteText(item);
        }
        report(line, key, quoteText(text) + " is not one of " + list);
        return false;
    }

    std::optional<SettingValue> parseText(const toml::node &node,
                                          const SettingDescriptor<File> &descriptor,
                                          const std::string &key)
    {
        const auto *text = node.as_string();
        if (text == nullptr) {
            report(lineOf(node), key, "must be text in quotes");
            return std::nullopt;
        }
        if (!checkAllowed(text->get(), descriptor, lineOf(node), key)) {
            return std::nullopt;
        }
        return SettingValue{text->get()};
    }

    std::optional<SettingValue> parseAddressSetting(const toml::node &node, const std::string &key)
    {
        const auto *text = node.as_string();
        if (text == nullptr) {
            report(lineOf(node), key, "must be an IP number and port in quotes");
            return std::nullopt;
        }
        if (!text->get().empty()) {
            if (const auto address = parseAddress(text->get()); address.has_error()) {
                report(lineOf(node), key, address.error().detail);
                return std::nullopt;
            }
        }
        return SettingValue{text->get()};
    }

    std::optional<SettingValue> parseList(const toml::node &node,
                                          const SettingDescriptor<File> &descriptor,
                                          const std::string &key)
    {
        const auto *array = node.as_array();
        if (array == nullptr) {
            report(lineOf(node), key, "must be a list of texts");
            return std::nullopt;
        }
        std::vector<std::string> list;
        bool valid = true;
        for (const auto &element : *array) {
            const auto *text = element.as_string();
            if (text == nullptr) {
                report(lineOf(element), key, "must hold only texts in quotes");
                valid = false;
            } else if (checkAllowed(text->get(), descriptor, lineOf(element), key)) {
                list.push_back(text->get());
            } else {
                valid = false;
            }
        }
        return valid ? std::optional{SettingValue{std::move(list)}} : std::nullopt;
    }

    std::optional<SettingValue> parseNumber(const toml::node &node,
                                            const SettingDescriptor<File> &descriptor,
                                            const std::string &key)
    {
        // Durations converted from seconds by a template may be written as a decimal with an
        // exponent.
        const auto *decimal =
            descriptor.kind == SettingKind::Milliseconds ? node.as_floating_point() : nullptr;
        if (decimal != nullptr && std::abs(decimal->get()) < exactDecimalMax
            && std::trunc(decimal->get()) == decimal->get()) {
            return checkRange(std::llround(decimal->get()), descriptor, lineOf(node), key);
        }
        const auto *number = node.as_integer();
        if (number == nullptr) {
            report(lineOf(node), key, "must be a whole number");
            return std::nullopt;
        }
        return checkRange(number->get(), descriptor, lineOf(node), key);
    }

    std::optional<SettingValue> checkRange(std::int64_t value,
                                           const SettingDescriptor<File> &descriptor,
                                           std::uint32_t line, const std::string &key)
    {
        if (value < 0 || static_cast<std::uint64_t>(value) < descriptor.valueMin
            || static_cast<std::uint64_t>(value) > descriptor.valueMax) {
            report(line, key,
                   std::to_string(value) + " is not in " + std::to_string(descriptor.valueMin)
                       + ".." + std::to_string(descriptor.valueMax));
            return std::nullopt;
        }
        return SettingValue{static_cast<std::uint64_t>(value)};
    }

    BasicLoadedSettings<File> loaded_{};
    std::map<std::string, std::set<std::string>> knownKeys_{};
    std::map<std::string, std::uint32_t> keyLines_{};
    std::map<std::string, std::uint32_t> sectionLines_{};
    std::set<std::string> invalidKeys_{};
};

/// Line of the first table header that does not begin with a key; 0 if there is none. toml++ 3.3
/// fails an assertion on such a header, for example "[ = 3", instead of reporting it.
std::uint32_t findInvalidHeader(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    constexpr std::string_view keyStarts =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-\"'";
    std::uint32_t line = 1;
    for (std::size_t begin = 0; begin < text.size(); ++line) {
        const auto end = std::min(text.find('\n', begin), text.size());
        const auto content = text.substr(begin, end - begin);
        begin = end + 1;
        auto position = content.find_first_not_of(blanks);
        if (position == std::string_view::npos || content[position] != '[') {
            continue;
        }
        position += content.substr(position).starts_with("[[") ? 2U : 1U;
        position = content.find_first_not_of(blanks, position);
        if (position == std::string_view::npos
            || keyStarts.find(content[position]) == std::string_view::npos) {
            return line;
        }
    }
    return 0;
}

template <class File>
BasicLoadedSettings<File> parse(std::string_view text)
{
    // The parser skips a byte order mark, too. If it stayed, findInvalidHeader() would miss a
    // header in the first line.
    if (text.starts_with(byteOrderMark)) {
        text.remove_prefix(byteOrderMark.size());
    }
    if (auto error = internal::findCharacterError(text)) {
        BasicLoadedSettings<File> loaded;
        loaded.errors.push_back({error->line, "", std::move(error->text), error->column});
        return loaded;
    }
    if (const auto line = findInvalidHeader(text); line != 0) {
        BasicLoadedSettings<File> loaded;
        loaded.errors.push_back({line, "", "a table header must begin with a key"});
        return loaded;
    }
    try {
        return Loader<File>{}.load(toml::parse(text));
    } catch (const toml::parse_error &error) {
        BasicLoadedSettings<File> loaded;
        loaded.errors.push_back({error.source().begin.line, "", std::string{error.description()}});
        return loaded;
    }
}

template <class File>
BasicLoadedSettings<File> loadFile(const std::string &path)
{
    std::ifstream file{path, std::ios::binary};
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        BasicLoadedSettings<File> loaded;
        loaded.errors.push_back({0, "", "cannot be read"});
        return loaded;
    }
    return parse<File>(text.str());
}

} // namespace

LoadedSettings parseSettings(std::string_view text)
{
    return parse<Settings>(text);
}

LoadedSettings loadSettings(const std::string &path)
{
    return loadFile<Settings>(path);
}

LoadedPooledSettings parsePooledSettings(std::string_view text)
{
    return parse<PooledSettings>(text);
}

LoadedPooledSettings loadPooledSettings(const std::string &path)
{
    return loadFile<PooledSettings>(path);
}

std::string toString(const std::string &path, const SettingsError &error)
{
    std::string text = path + ":";
    if (error.line > 0) {
        text += std::to_string(error.line) + ":";
    }
    if (error.column > 0) {
        text += std::to_string(error.column) + ":";
    }
    return text + " " + (error.key.empty() ? "" : error.key + ": ") + error.text;
}

bool hasRole(const Settings &settings, std::string_view role)
{
    const auto &roles = settings.host.roles;
    return std::find(roles.begin(), roles.end(), role) != roles.end();
}

} // namespace hyssoprock
