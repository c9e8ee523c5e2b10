#include <hyssoprock/freshness/position_feed.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

#include <hyssoprock/core/name_digest.hpp>

namespace hyssoprock {

namespace {

constexpr Duration answerTimeout = std::chrono::milliseconds{400};
// A control host that has not answered is asked again after this time if others answer.
constexpr Duration failureMemory = std::chrono::seconds{5};
// A control host that has just started to sample a service has a position after a round trip.
constexpr Duration incompleteDelay = std::chrono::milliseconds{60};

} // namespace

PositionFeed::PositionFeed(Duration interval, std::uint64_t seed)
    : interval_{interval}
    , seed_{seed}
{}

void PositionFeed::handleOffer(const std::string &controlHost, Proximity proximity)
{
    auto &source = sources_[controlHost];
    source = Source{};
    source.proximity = proximity;
    source.rank = computeNameDigest({controlHost, std::to_string(seed_)});
}

void PositionFeed::setProximity(const std::string &controlHost, Proximity proximity)
{
    if (const auto found = sources_.find(controlHost); found != sources_.end()) {
        found->second.proximity = proximity;
    }
}

void PositionFeed::handleDisconnect(const std::string &controlHost)
{
    if (const auto found = sources_.find(controlHost); found != sources_.end()) {
        if (!found->second.answered) {
            nextRequestAt_ = Instant{};
        }
        sources_.erase(found);
    }
}

bool PositionFeed::isDue(Instant now) const
{
    return !sources_.empty() && now >= nextRequestAt_;
}

std::optional<AddressedPositionRequest> PositionFeed::nextRequest(std::vector<std::string> services,
                                                                  Instant now)
{
    if (!isDue(now)) {
        return std::nullopt;
    }
    for (auto &[name, source] : sources_) {
        if (source.answered) {
            continue;
        }
        if (now - source.sentAt < answerTimeout) {
            nextRequestAt_ = source.sentAt + answerTimeout;
            return std::nullopt;
        }
        source.failedAt = now;
        source.answered = true;
    }
    nextRequestAt_ = now + interval_;
    if (services.empty()) {
        return std::nullopt;
    }
    const auto *chosen = preferredSource(now);
    auto &source = sources_.at(*chosen);
    source.sequence = ++sequence_;
    source.requested = services.size();
    source.sentAt = now;
    source.answered = false;
    return AddressedPositionRequest{*chosen, {sequence_, std::move(services)}};
}

std::optional<Instant> PositionFeed::nextDeadline() const
{
    return sources_.empty() ? std::nullopt : std::optional{nextRequestAt_};
}

const std::string *PositionFeed::preferredSource(Instant now) const
{
    const auto order = [&](const Source &source) {
        const auto failed = source.failedAt && now - *source.failedAt < failureMemory;
        return std::tuple{failed, failed ? *source.failedAt : Instant{}, source.proximity,
                          source.rank};
    };
    const auto best = std::min_element(sources_.begin(), sources_.end(),
                                       [&](const auto &left, const auto &right) {
                                           return order(left.second) < order(right.second);
                                       });
    return &best->first;
}

std::vector<PositionSample> PositionFeed::handleReport(const std::string &controlHost,
                                                       const PositionReport &report, Instant now)
{
    std::vector<PositionSample> samples;
    const auto found = sources_.find(controlHost);
    if (found == sources_.end() || report.sequence == 0
        || found->second.sequence != report.sequence) {
        return samples;
    }
    auto &source = found->second;
    if (!std::exchange(source.answered, true)) {
        nextRequestAt_ = std::max(source.sentAt + interval_, now);
    }
    source.failedAt.reset();
    if (report.positions.size() < source.requested) {
        nextRequestAt_ = std::min(nextRequestAt_, now + incompleteDelay);
    }
    samples.reserve(report.positions.size());
    for (const auto &known : report.positions) {
        const Duration age{std::max<std::int64_t>(known.ageUs, 0)};
        samples.push_back(
            {known.service, known.endpoint, {known.term, known.index}, source.sentAt - age});
    }
    return samples;
}

} // namespace hyssoprock
