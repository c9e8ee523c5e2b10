#include <hyssoprock/session/request_attributes.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace hyssoprock {

namespace {

constexpr std::size_t nameBytesMax = 128;
constexpr std::uint64_t maxAgeMsMax = 86'400'000; // A day; greater values are probably mistakes.

template <class Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

bool isPrintable(std::string_view text, std::size_t bytesMax)
{
    return text.size() <= bytesMax
           && std::all_of(text.begin(), text.end(), [](unsigned char character) {
                  return character >= 0x20 && character != 0x7f;
              });
}

bool setClass(RequestAttributes &attributes, std::string_view value)
{
    if (value != "read" && value != "write" && !value.empty()) {
        return false;
    }
    attributes.requestClass = value == "read" ? RequestClass::Read : RequestClass::Write;
    return true;
}

bool setKind(RequestAttributes &attributes, std::string_view value)
{
    if (!isPrintable(value, nameBytesMax)) {
        return false;
    }
    attributes.kind = value;
    return true;
}

bool setRepeatable(RequestAttributes &attributes, std::string_view value)
{
    if (value != "yes" && value != "no" && !value.empty()) {
        return false;
    }
    attributes.repeatable = value == "yes";
    return true;
}

bool setMaxAge(RequestAttributes &attributes, std::string_view value)
{
    if (value.empty()) {
        attributes.maxAge.reset();
        return true;
    }
    const auto milliseconds = parseNumber<std::uint64_t>(value);
    if (!milliseconds || *milliseconds > maxAgeMsMax) {
        return false;
    }
    attributes.maxAge = std::chrono::milliseconds{*milliseconds};
    return true;
}

bool setRequestId(RequestAttributes &attributes, std::string_view value)
{
    // Only letters, digits and -_.: are allowed, so that no dialect has to quote the id.
    const bool valid =
        value.size() <= requestIdBytesMax
        && std::all_of(value.begin(), value.end(), [](char character) {
               return (character >= 'a' && character <= 'z')
                      || (character >= 'A' && character <= 'Z')
                      || (character >= '0' && character <= '9')
                      || std::string_view{"-_.:"}.find(character) != std::string_view::npos;
           });
    if (valid) {
        attributes.requestId = value;
    }
    return valid;
}

bool setUnderstands(RequestAttributes &attributes, std::string_view value)
{
    std::vector<std::uint32_t> versions;
    while (!value.empty()) {
        const auto comma = value.find(',');
        const auto version = parseNumber<std::uint32_t>(value.substr(0, comma));
        if (!version || comma == value.size() - 1) {
            return false;
        }
        versions.push_back(*version);
        value = comma == std::string_view::npos ? std::string_view{} : value.substr(comma + 1);
    }
    std::sort(versions.begin(), versions.end());
    versions.erase(std::unique(versions.begin(), versions.end()), versions.end());
    attributes.understands = std::move(versions);
    return true;
}

bool setWritesVersion(RequestAttributes &attributes, std::string_view value)
{
    if (value.empty()) {
        attributes.writesVersion.reset();
        return true;
    }
    const auto version = parseNumber<std::uint32_t>(value);
    if (version) {
        attributes.writesVersion = version;
    }
    return version.has_value();
}

std::string joinVersions(const std::vector<std::uint32_t> &versions)
{
    std::string text;
    for (const auto version : versions) {
        text += (text.empty() ? "" : ",") + std::to_string(version);
    }
    return text;
}

struct AttributeHandler
{
    std::string_view name;
    bool (*set)(RequestAttributes &attributes, std::string_view value);
    std::string (*show)(const RequestAttributes &attributes);
};

constexpr std::array<AttributeHandler, 7> handlers{{
    {"class", &setClass,
     [](const RequestAttributes &a) -> std::string {
         return a.requestClass == RequestClass::Read ? "read" : "write";
     }},
    {"kind", &setKind, [](const RequestAttributes &a) { return a.kind; }},
    {"repeatable", &setRepeatable,
     [](const RequestAttributes &a) -> std::string { return a.repeatable ? "yes" : "no"; }},
    {"max_age_ms", &setMaxAge,
     [](const RequestAttributes &a) {
         return a.maxAge ? std::to_string(toMilliseconds(*a.maxAge)) : std::string{};
     }},
    {"request_id", &setRequestId, [](const RequestAttributes &a) { return a.requestId; }},
    {"understands", &setUnderstands,
     [](const RequestAttributes &a) { return joinVersions(a.understands); }},
    {"writes_version", &setWritesVersion,
     [](const RequestAttributes &a) {
         return a.writesVersion ? std::to_string(*a.writesVersion) : std::string{};
     }},
}};

const AttributeHandler *findHandler(std::string_view name)
{
    const auto found = std::find_if(handlers.begin(), handlers.end(),
                                    [name](const auto &handler) { return handler.name == name; });
    return found == handlers.end() ? nullptr : &*found;
}

} // namespace

Result<bool> setAttribute(RequestAttributes &attributes, std::string_view name,
                          std::string_view value)
{
    const auto *handler = findHandler(name);
    if (handler == nullptr) {
        return false;
    }
    if (!handler->set(attributes, value)) {
        return failure(ErrorKind::InvalidAttribute, "invalid value of " + std::string{name});
    }
    return true;
}

std::optional<std::string> formatAttribute(const RequestAttributes &attributes,
                                           std::string_view name)
{
    const auto *handler = findHandler(name);
    return handler == nullptr ? std::nullopt : std::optional{handler->show(attributes)};
}

Result<RequestAttributes> applyAttributes(const RequestAttributes &defaults,
                                          const std::vector<AttributeSetting> &settings)
{
    auto attributes = defaults;
    for (const auto &[name, value] : settings) {
        if (const auto set = setAttribute(attributes, name, value); !set.has_value()) {
            return set.error();
        }
    }
    return attributes;
}

} // namespace hyssoprock
