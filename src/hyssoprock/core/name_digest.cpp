#include <hyssoprock/core/name_digest.hpp>

#include <xxhash.h>

namespace hyssoprock {

std::uint64_t computeNameDigest(const std::vector<std::string> &names)
{
    if (names.empty()) {
        return 0;
    }
    // The separator cannot occur in a name, so that "ab", "c" and "a", "bc" differ.
    std::string text;
    for (const auto &name : names) {
        text.append(name).push_back('\0');
    }
    const auto digest = XXH64(text.data(), text.size(), 0);
    return digest == 0 ? 1 : digest;
}

} // namespace hyssoprock
