#include <hyssoprock/session/session_floor.hpp>

#include <algorithm>

namespace hyssoprock {

std::optional<LogPosition> SessionFloor::establishedPosition(std::string_view group) const
{
    if (const auto found = entries_.find(group);
        found != entries_.end() && found->second.established) {
        return found->second.position;
    }
    return std::nullopt;
}

LogPosition SessionFloor::lowerBound(std::string_view group) const
{
    const auto found = entries_.find(group);
    return found == entries_.end() ? LogPosition{} : found->second.position;
}

bool SessionFloor::establish(std::string_view group, const LogPosition &position)
{
    auto &entry = entries_.try_emplace(std::string{group}, FloorEntry{{}, false}).first->second;
    const FloorEntry raised{std::max(entry.position, position), true};
    const bool changed = entry != raised;
    entry = raised;
    return changed;
}

bool SessionFloor::raise(std::string_view group, const LogPosition &position)
{
    auto &entry = entries_.try_emplace(std::string{group}, FloorEntry{{}, false}).first->second;
    if (position <= entry.position) {
        return false;
    }
    entry.position = position;
    return true;
}

bool SessionFloor::invalidate(std::string_view group)
{
    const auto found = entries_.find(group);
    if (found == entries_.end()) {
        entries_.emplace(std::string{group}, FloorEntry{{}, false});
        return true;
    }
    const bool changed = found->second.established;
    found->second.established = false;
    return changed;
}

bool SessionFloor::merge(const SessionFloor &other)
{
    bool changed = false;
    for (const auto &[group, theirs] : other.entries_) {
        const auto [place, added] = entries_.try_emplace(group, theirs);
        const FloorEntry merged{std::max(place->second.position, theirs.position),
                                place->second.established && theirs.established};
        changed = changed || added || place->second != merged;
        place->second = merged;
    }
    return changed;
}

bool SessionFloor::covers(const SessionFloor &other) const
{
    return std::all_of(other.entries_.begin(), other.entries_.end(), [this](const auto &entry) {
        return lowerBound(entry.first) >= entry.second.position;
    });
}

} // namespace hyssoprock
