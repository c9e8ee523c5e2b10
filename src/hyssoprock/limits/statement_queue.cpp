#include <hyssoprock/limits/statement_queue.hpp>

#include <algorithm>
#include <utility>

namespace hyssoprock {

namespace {

using std::chrono::milliseconds;

// The newest interval has a weight of 1/16 in the average. A pass over the queue may serve several
// statements at the same moment, so fewer intervals would give no reliable rate.
constexpr std::int64_t intervalCountMin = 16;
// A longer interval is a stall, for example while no primary is known. It says nothing about the
// rate at which statements are served afterwards.
constexpr Duration stallInterval = milliseconds{200};

// Index of the level that has the next turn: the first one, unless a lower one would miss its turn
// otherwise.
template <class Level>
std::size_t dueLevel(const std::vector<Level> &levels)
{
    std::size_t mostMissed = 0;
    auto due = false;
    for (std::size_t i = 1; i < levels.size(); ++i) {
        // Lower levels that are served before this one.
        std::uint32_t before = 0;
        for (std::size_t j = 1; j < levels.size(); ++j) {
            before += levels[j].missedTurns > levels[i].missedTurns
                              || (j < i && levels[j].missedTurns == levels[i].missedTurns)
                          ? 1
                          : 0;
        }
        if (before == 0) {
            mostMissed = i;
        }
        due = due || levels[i].missedTurns + before + 1 >= StatementQueue::turnsPerLowerPriority;
    }
    return due ? mostMissed : 0;
}

template <class Level>
void recordTurn(std::vector<Level> &levels, std::size_t served)
{
    for (std::size_t i = 0; i < levels.size(); ++i) {
        levels[i].missedTurns = i == served || i == 0 ? 0 : levels[i].missedTurns + 1;
    }
}

// Level with a priority, which is inserted if there is none.
template <class Level>
Level &levelAt(std::vector<Level> &levels, std::uint32_t priority)
{
    auto at = std::ranges::lower_bound(levels, priority, {}, &Level::priority);
    if (at == levels.end() || at->priority != priority) {
        at = levels.insert(at, Level{});
        at->priority = priority;
    }
    return *at;
}

template <class Range>
void eraseAt(Range &range, std::size_t index)
{
    range.erase(range.begin() + static_cast<std::ptrdiff_t>(index));
}

} // namespace

OfferResult StatementQueue::offer(const WaitingStatement &statement, Instant now)
{
    if (contains(statement.id)) {
        return {};
    }
    if (statement.mayBeRefused && now + estimatedWait(statement) > statement.deadline) {
        return {ErrorKind::DeadlineExceeded, std::nullopt};
    }
    OfferResult result;
    if (size() >= capacity_) {
        const auto longest =
            std::ranges::max_element(teamCounts_, {}, [](const auto &team) { return team.second; });
        const auto own = waitingOf(statement.team) + 1;
        if (statement.mayBeRefused && own >= longest->second) {
            return {ErrorKind::QueueFull, std::nullopt};
        }
        if (const auto *newest = newestOf(longest->first)) {
            result.displaced = newest->statement.id;
            erase(*result.displaced, false);
        } else if (statement.mayBeRefused) {
            return {ErrorKind::QueueFull, std::nullopt};
        }
    }
    push(statement);
    return result;
}

void StatementQueue::push(const WaitingStatement &statement)
{
    if (!index_.try_emplace(statement.id, Entry{statement, nextArrival_}).second) {
        return;
    }
    ++teamCounts_[statement.team];
    auto &level = levelAt(levelAt(levels_, statement.routePriority).levels, statement.teamPriority);
    auto queue = std::ranges::find(level.round, statement.team, &TeamQueue::team);
    if (queue == level.round.end()) {
        queue = level.round.insert(queue, {statement.team, {}});
    }
    queue->statements.emplace(statement.deadline, nextArrival_, statement.id);
    ++nextArrival_;
}

bool StatementQueue::take(std::uint64_t id, Instant now)
{
    if (!contains(id)) {
        return false;
    }
    recordTake(now);
    erase(id, true);
    return true;
}

bool StatementQueue::remove(std::uint64_t id)
{
    if (!contains(id)) {
        return false;
    }
    erase(id, false);
    return true;
}

void StatementQueue::erase(std::uint64_t id, bool served)
{
    const auto entry = index_.find(id);
    const auto &statement = entry->second.statement;
    const auto route = std::ranges::find(levels_, statement.routePriority, &RouteLevel::priority);
    auto &teams = route->levels;
    const auto level = std::ranges::find(teams, statement.teamPriority, &TeamLevel::priority);
    const auto queue = std::ranges::find(level->round, statement.team, &TeamQueue::team);
    queue->statements.erase({statement.deadline, entry->second.arrival, id});
    if (served) {
        recordTurn(levels_, static_cast<std::size_t>(route - levels_.begin()));
        recordTurn(teams, static_cast<std::size_t>(level - teams.begin()));
        // The team is served last in the next round.
        std::rotate(queue, queue + 1, level->round.end());
    }
    std::erase_if(level->round, [](const TeamQueue &team) { return team.statements.empty(); });
    std::erase_if(teams, [](const TeamLevel &known) { return known.round.empty(); });
    std::erase_if(levels_, [](const RouteLevel &known) { return known.levels.empty(); });
    const auto count = teamCounts_.find(statement.team);
    if (--count->second == 0) {
        teamCounts_.erase(count);
    }
    index_.erase(entry);
    if (index_.empty()) {
        lastTakeAt_.reset();
        intervalCount_ = 0;
    }
}

void StatementQueue::recordTake(Instant now)
{
    const auto last = std::exchange(lastTakeAt_, now);
    if (!last || now - *last > stallInterval) {
        return;
    }
    if (intervalCount_ == 0) {
        meanInterval_ = Duration::zero();
    }
    intervalCount_ = std::min(intervalCount_ + 1, intervalCountMin);
    meanInterval_ += (now - *last - meanInterval_) / intervalCount_;
}

std::vector<std::uint64_t> StatementQueue::fairOrder() const
{
    // Copies of the levels with positions in the queues instead of the statements.
    struct Team
    {
        std::set<Key>::const_iterator next;
        std::set<Key>::const_iterator end;
    };
    struct Level
    {
        std::uint32_t missedTurns = 0;
        std::vector<Team> round;
        std::size_t next = 0; // Position in the round.
    };
    struct Route
    {
        std::uint32_t missedTurns = 0;
        std::vector<Level> levels;
    };
    std::vector<Route> routes;
    for (const auto &route : levels_) {
        auto &copy = routes.emplace_back(Route{route.missedTurns, {}});
        for (const auto &level : route.levels) {
            auto &teams = copy.levels.emplace_back(Level{level.missedTurns, {}, 0}).round;
            for (const auto &team : level.round) {
                teams.push_back({team.statements.begin(), team.statements.end()});
            }
        }
    }
    std::vector<std::uint64_t> order;
    order.reserve(size());
    while (!routes.empty()) {
        const auto route = dueLevel(routes);
        recordTurn(routes, route);
        auto &levels = routes[route].levels;
        const auto due = dueLevel(levels);
        recordTurn(levels, due);
        auto &level = levels[due];
        auto &team = level.round[level.next];
        order.push_back(std::get<2>(*team.next));
        if (++team.next == team.end) {
            eraseAt(level.round, level.next);
        } else {
            ++level.next;
        }
        if (level.round.empty()) {
            eraseAt(levels, due);
        } else if (level.next == level.round.size()) {
            level.next = 0;
        }
        if (levels.empty()) {
            eraseAt(routes, route);
        }
    }
    return order;
}

std::vector<std::uint64_t> StatementQueue::priorityOrder() const
{
    std::vector<std::tuple<std::uint32_t, std::uint64_t, std::uint64_t>> keys;
    keys.reserve(size());
    for (const auto &[id, entry] : index_) {
        keys.emplace_back(entry.statement.routePriority, entry.arrival, id);
    }
    std::ranges::sort(keys);
    std::vector<std::uint64_t> order;
    order.reserve(keys.size());
    std::ranges::transform(keys, std::back_inserter(order),
                           [](const auto &key) { return std::get<2>(key); });
    return order;
}

std::size_t StatementQueue::waitingOf(const std::string &team) const
{
    const auto found = teamCounts_.find(team);
    return found == teamCounts_.end() ? 0 : found->second;
}

const StatementQueue::Entry *StatementQueue::newestOf(const std::string &team) const
{
    const Entry *newest = nullptr;
    for (const auto &[id, entry] : index_) {
        if (entry.statement.team == team && entry.statement.mayBeRefused
            && (newest == nullptr || entry.arrival > newest->arrival)) {
            newest = &entry;
        }
    }
    return newest;
}

std::size_t StatementQueue::countOf(const TeamLevel &level)
{
    std::size_t count = 0;
    for (const auto &team : level.round) {
        count += team.statements.size();
    }
    return count;
}

std::size_t StatementQueue::aheadOnLevel(const TeamLevel &level, const WaitingStatement &statement)
{
    std::size_t own = 0;
    for (const auto &team : level.round) {
        if (team.team == statement.team) {
            own = static_cast<std::size_t>(
                std::ranges::count_if(team.statements, [&statement](const Key &key) {
                    return std::get<0>(key) <= statement.deadline;
                }));
        }
    }
    // Before this statement, each other team has at most one turn more than its own team.
    auto ahead = own;
    for (const auto &team : level.round) {
        ahead += team.team == statement.team ? 0 : std::min(team.statements.size(), own + 1);
    }
    return ahead;
}

std::size_t StatementQueue::aheadOf(const WaitingStatement &statement) const
{
    std::size_t higher = 0;
    std::size_t same = 0;
    // Whether statements wait at a higher priority of a route, and of a team on the same route.
    auto routeAbove = false;
    auto teamAbove = false;
    for (const auto &route : levels_) {
        if (route.priority > statement.routePriority) {
            break;
        }
        const auto sameRoute = route.priority == statement.routePriority;
        routeAbove = routeAbove || !sameRoute;
        for (const auto &level : route.levels) {
            if (!sameRoute || level.priority < statement.teamPriority) {
                higher += countOf(level);
                teamAbove = teamAbove || sameRoute;
            } else if (level.priority == statement.teamPriority) {
                same = aheadOnLevel(level, statement);
            }
        }
    }
    // The turns of a lower priority limit what is served before it.
    auto limit = same + 1;
    limit *= routeAbove ? turnsPerLowerPriority : 1;
    limit *= teamAbove ? turnsPerLowerPriority : 1;
    return std::min(higher + same, limit - 1);
}

Duration StatementQueue::estimatedWait(const WaitingStatement &statement) const
{
    if (intervalCount_ < intervalCountMin) {
        return Duration::zero();
    }
    return meanInterval_ * static_cast<std::int64_t>(aheadOf(statement));
}

Duration StatementQueue::retryAfter(const WaitingStatement &statement, Instant now) const
{
    const auto left = statement.deadline - now;
    const auto excess = estimatedWait(statement) - left;
    const auto after = intervalCount_ < intervalCountMin ? left : excess;
    return std::max(std::chrono::ceil<milliseconds>(after), milliseconds{1});
}

} // namespace hyssoprock
