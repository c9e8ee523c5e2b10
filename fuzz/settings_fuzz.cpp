// Loads arbitrary text as a settings file; each error must have a place within the file and a text.

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
    const auto lines = static_cast<std::uint64_t>(std::count(text.begin(), text.end(), '\n')) + 1;
    std::uint32_t last = 0;
    for (const auto &error : loaded.errors) {
        check(!error.text.empty(), "an error says what is wrong");
        check(error.line <= lines, "an error is within the file");
        check(error.line >= last, "errors are sorted by line");
        check(toString("f.toml", error).starts_with("f.toml"), "an error names its file");
        last = error.line;
    }
    if (loaded.errors.empty()) {
        check(hasRole(loaded.settings, "entry") || hasRole(loaded.settings, "control"),
              "accepted settings have a role");
    }
    return 0;
}
