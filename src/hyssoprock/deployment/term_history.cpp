#include <hyssoprock/deployment/term_history.hpp>

#include <algorithm>
#include <cstddef>

namespace hyssoprock {

namespace {

// Bounds the replicated state. An endpoint that missed more promotions than this has a log far
// behind those of its peers.
constexpr std::size_t knownMax = 16;

} // namespace

void recordTermStart(std::vector<TermStart> &known, const TermStart &start)
{
    if (start.term == 0) {
        return;
    }
    // A newer term that began no later gives up the same entries.
    std::erase_if(known, [&](const TermStart &earlier) {
        return earlier.term <= start.term && earlier.position >= start.position;
    });
    known.push_back(start);
    if (known.size() > knownMax) {
        known.erase(known.begin());
    }
}

bool holdsGivenUpEntries(const std::vector<TermStart> &known, LogPosition end)
{
    return std::any_of(known.begin(), known.end(), [&](const TermStart &start) {
        return end.term < start.term && end > start.position;
    });
}

} // namespace hyssoprock
