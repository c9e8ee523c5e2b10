#include <hyssoprock/limits/allowance_requester.hpp>

#include <algorithm>
#include <tuple>

#include <hyssoprock/core/name_digest.hpp>

namespace hyssoprock {

namespace {

// Bounds the effect of a denial that a newer document has made obsolete.
constexpr Duration denialMax = std::chrono::seconds{1};
constexpr Duration denialMin = std::chrono::milliseconds{1};
// A control host that has not answered is left out for this long. Other teams and later operations
// would otherwise wait for it in turn.
constexpr Duration silenceMemory = std::chrono::seconds{1};
// For a caller whose operation no control host can grant.
constexpr Duration unavailableRetry = std::chrono::milliseconds{500};

Duration toDuration(std::uint64_t microseconds)
{
    return Duration{static_cast<std::int64_t>(
        std::min(microseconds, static_cast<std::uint64_t>(denialMax.count())))};
}

} // namespace

AllowanceRequester::AllowanceRequester(std::uint64_t seed)
    : seed_{seed}
{}

AllowanceActions AllowanceRequester::handleOffer(const std::string &controlHost, bool available,
                                                 Proximity proximity, Instant now)
{
    if (!available) {
        return handleDisconnect(controlHost, now);
    }
    withoutOfferSince_.reset();
    auto &source = sources_[controlHost];
    source = Source{};
    source.proximity = proximity;
    source.rank = computeNameDigest({controlHost, std::to_string(seed_)});
    AllowanceActions actions;
    advanceAll(now, actions);
    return actions;
}

void AllowanceRequester::setProximity(const std::string &controlHost, Proximity proximity)
{
    if (const auto found = sources_.find(controlHost); found != sources_.end()) {
        found->second.proximity = proximity;
    }
}

AllowanceActions AllowanceRequester::handleDisconnect(const std::string &controlHost, Instant now)
{
    AllowanceActions actions;
    if (sources_.erase(controlHost) > 0) {
        abandonRequests(controlHost);
        advanceAll(now, actions);
    }
    return actions;
}

void AllowanceRequester::abandonRequests(const std::string &controlHost)
{
    std::erase_if(requests_,
                  [&](const auto &entry) { return entry.second.controlHost == controlHost; });
}

AllowanceActions AllowanceRequester::setWaiting(const std::string &team, std::uint32_t count,
                                                Instant now)
{
    AllowanceActions actions;
    if (count == 0) {
        waiting_.erase(team);
    } else {
        waiting_[team] = count;
        advance(team, now, actions);
    }
    return actions;
}

AllowanceActions AllowanceRequester::handleReply(const std::string &controlHost,
                                                 const AllowanceReply &reply, Instant now)
{
    AllowanceActions actions;
    const auto request = requests_.extract(reply.sequence);
    const auto source = sources_.find(controlHost);
    if (request.empty() || source == sources_.end()
        || request.mapped().controlHost != controlHost) {
        return actions;
    }
    const auto &[team, host, count, sentAt, inFlight] = request.mapped();
    source->second.silentUntil.reset();
    if (reply.granted < count) {
        source->second.deniedUntil[team] =
            now + std::max(toDuration(reply.retryAfterUs), denialMin);
    } else {
        source->second.deniedUntil.erase(team);
    }
    const auto waiting = waiting_.find(team);
    if (waiting != waiting_.end() && reply.granted > 0 && now - sentAt <= lateAnswerMax) {
        const auto granted = std::min(reply.granted, waiting->second);
        actions.decisions.push_back({team, granted, {}, false});
        waiting->second -= granted;
        if (waiting->second == 0) {
            waiting_.erase(waiting);
        }
    }
    advance(team, now, actions);
    return actions;
}

AllowanceActions AllowanceRequester::tick(Instant now)
{
    AllowanceActions actions;
    std::vector<std::string> overdue;
    for (auto entry = requests_.begin(); entry != requests_.end();) {
        auto &request = entry->second;
        if (request.inFlight && now - request.sentAt >= answerTimeout) {
            request.inFlight = false;
            sources_.at(request.controlHost).silentUntil = now + silenceMemory;
            overdue.push_back(request.team);
        }
        entry = now - request.sentAt > lateAnswerMax ? requests_.erase(entry) : std::next(entry);
    }
    for (const auto &team : overdue) {
        advance(team, now, actions);
    }
    if (withoutOfferSince_ && now - *withoutOfferSince_ >= offerWait) {
        advanceAll(now, actions);
    }
    return actions;
}

std::optional<Instant> AllowanceRequester::nextDeadline() const
{
    // Requests are sent in the order of their sequence.
    const auto first = std::find_if(requests_.begin(), requests_.end(),
                                    [](const auto &entry) { return entry.second.inFlight; });
    if (first != requests_.end()) {
        return first->second.sentAt + answerTimeout;
    }
    return withoutOfferSince_ && !waiting_.empty() ? std::optional{*withoutOfferSince_ + offerWait}
                                                   : std::nullopt;
}

void AllowanceRequester::advanceAll(Instant now, AllowanceActions &actions)
{
    std::vector<std::string> teams;
    teams.reserve(waiting_.size());
    for (const auto &[team, count] : waiting_) {
        teams.push_back(team);
    }
    for (const auto &team : teams) {
        advance(team, now, actions);
    }
}

void AllowanceRequester::advance(const std::string &team, Instant now, AllowanceActions &actions)
{
    const auto waiting = waiting_.find(team);
    if (waiting == waiting_.end() || hasRequestInFlight(team)) {
        return;
    }
    const auto *chosen = chooseSource(team, now);
    if (chosen == nullptr) {
        if (awaitsOffer(now)) {
            return;
        }
        actions.decisions.push_back(refusal(team, now));
        waiting_.erase(waiting);
        return;
    }
    const auto sequence = ++sequence_;
    requests_.emplace(sequence, Request{team, *chosen, waiting->second, now});
    actions.requests.push_back({*chosen, {sequence, team, waiting->second}});
}

bool AllowanceRequester::hasRequestInFlight(const std::string &team) const
{
    return std::any_of(requests_.begin(), requests_.end(), [&](const auto &entry) {
        return entry.second.inFlight && entry.second.team == team;
    });
}

const std::string *AllowanceRequester::chooseSource(const std::string &team, Instant now) const
{
    const std::string *best = nullptr;
    std::tuple<Proximity, std::uint64_t> bestOrder{};
    for (const auto &[name, source] : sources_) {
        const auto denied = source.deniedUntil.find(team);
        if ((source.silentUntil && now < *source.silentUntil)
            || (denied != source.deniedUntil.end() && now < denied->second)) {
            continue;
        }
        const std::tuple order{source.proximity, source.rank};
        if (best == nullptr || order < bestOrder) {
            best = &name;
            bestOrder = order;
        }
    }
    return best;
}

bool AllowanceRequester::awaitsOffer(Instant now)
{
    if (!sources_.empty()) {
        return false;
    }
    if (!withoutOfferSince_) {
        withoutOfferSince_ = now;
    }
    return now - *withoutOfferSince_ < offerWait;
}

AllowanceDecision AllowanceRequester::refusal(const std::string &team, Instant now) const
{
    AllowanceDecision result{team, 0, unavailableRetry, false};
    for (const auto &[name, source] : sources_) {
        const auto denied = source.deniedUntil.find(team);
        if (denied != source.deniedUntil.end() && now < denied->second) {
            const auto wait = denied->second - now;
            result.retryAfter = result.overLimit ? std::min(result.retryAfter, wait) : wait;
            result.overLimit = true;
        }
    }
    return result;
}

} // namespace hyssoprock
