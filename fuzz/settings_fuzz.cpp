// Parses arbitrary text as a settings file; each error must have a text and a line of the file.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/settings/loader.hpp>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace hyssoprock;
    const std::string_view text{reinterpret_cast<const char *>(data), size};
    const auto loaded = parseSettings(text);
    const auto lineCount =
        static_cast<std::uint64_t>(std::count(text.begin(), text.end(), '\n')) + 1;
    std::uint32_t lastLine = 0;
    for (const auto &error : loaded.errors) {
        check(!error.text.empty(), "an error has a text");
        check(error.line <= lineCount, "the line of an error is within the file");
        check(error.line >= lastLine, "errors are sorted by line");
        check(toString("f.toml", error).starts_with("f.toml"), "an error names its file");
        lastLine = error.line;
    }
    if (loaded.errors.empty()) {
        check(hasRole(loaded.settings, "entry") || hasRole(loaded.settings, "control"),
              "accepted settings have a role");
    }
    return 0;
}
