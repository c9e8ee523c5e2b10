#include "console.hpp"

#include <charconv>
#include <ostream>
#include <system_error>

#include <absl/flags/flag.h>

#include <hyssoprock/core/error_kind.hpp>
#include <hyssoprock/daemon/json_text.hpp>

#include "flags.hpp"
#include "usage.hpp"

namespace hyssoprock {

int fail(const Console &console, const Error &error)
{
    const auto &description = describe(error.kind);
    if (absl::GetFlag(FLAGS_json)) {
        console.out
            << JsonObject{}.text("result", description.name).text("detail", error.detail).str()
            << "\n";
    } else {
        console.error << description.text << ": " << error.detail << "\n";
    }
    return description.exitStatus;
}

int usageError(const Console &console, const std::string &text)
{
    console.error << text << "\n" << usageText;
    return exitUsage;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

} // namespace hyssoprock
