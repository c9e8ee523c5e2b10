#include "event_digest.hpp"

#include <cinttypes>
#include <cstdio>
#include <utility>

namespace hyssoprock::test {

void EventDigest::begin(std::string label, std::uint64_t printInterval)
{
    *this = EventDigest{};
    label_ = std::move(label);
    printInterval_ = printInterval;
}

void EventDigest::mixNumber(std::uint64_t number) noexcept
{
    value_ = (value_ ^ number) * 0x9e3779b97f4a7c15ULL;
    value_ ^= value_ >> 32U;
}

void EventDigest::mixText(std::string_view text) noexcept
{
    mixNumber(text.size());
    for (const auto letter : text) {
        mixNumber(static_cast<unsigned char>(letter));
    }
}

void EventDigest::print() const
{
    std::printf("digest %s event %" PRIu64 " %016" PRIx64 "\n", label_.c_str(), count_, value_);
    // A broken invariant ends the process without flushing.
    std::fflush(stdout);
}

EventDigest &eventDigest() noexcept
{
    static EventDigest digest;
    return digest;
}

} // namespace hyssoprock::test
