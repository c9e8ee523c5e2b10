#include <hyssoprock/registry/document_fetch_scheduler.hpp>

#include <algorithm>
#include <tuple>

#include <hyssoprock/core/name_digest.hpp>

namespace hyssoprock {

namespace {

using std::chrono::milliseconds;

// A difference takes under 100 ms at 2 Mbit/s; a whole document shows progress meanwhile.
constexpr Duration answerTimeout = milliseconds{700};
// An answer that makes progress may take this long in all.
constexpr Duration answerLimit = std::chrono::seconds{10};
// A host that was asked with the subscription may be unable to answer. Another one that announces a
// version is asked after this time.
constexpr Duration blindPatience = milliseconds{100};
// A follower learns of a commit with the nextRequest heartbeat and announces it within 100 ms.
constexpr Duration nearestPatience = milliseconds{250};
// A host that has handleFailure is asked again only if no other one has a newer version, and not at
// once.
constexpr Duration failureMemory = std::chrono::seconds{5};
constexpr Duration retryPause = milliseconds{500};

} // namespace

DocumentFetchScheduler::Source &DocumentFetchScheduler::sourceOf(const std::string &host)
{
    const auto [entry, added] = sources_.try_emplace(host);
    if (added) {
        entry->second.rank = digestOfNames({host, std::to_string(seed_)});
    }
    return entry->second;
}

bool DocumentFetchScheduler::handleConnect(const std::string &host, Instant now)
{
    sourceOf(host).version = 0;
    if (held_ != 0 || asked_) {
        return false;
    }
    asked_ = Asked{host, now, now + answerTimeout, true};
    return true;
}

bool DocumentFetchScheduler::behind() const
{
    return std::any_of(sources_.begin(), sources_.end(),
                       [this](const auto &item) { return item.second.version > held_; });
}

void DocumentFetchScheduler::handleAnnouncement(const std::string &host, Proximity proximity,
                                                std::uint64_t version, Instant now)
{
    auto &source = sourceOf(host);
    source.proximity = proximity;
    source.version = std::max(source.version, version);
    if (!behindSince_ && behind()) {
        behindSince_ = now;
    }
}

void DocumentFetchScheduler::handleDisconnect(const std::string &host)
{
    sources_.erase(host);
    if (asked_ && asked_->host == host) {
        asked_.reset();
    }
}

void DocumentFetchScheduler::handleProgress(const std::string &host, Instant now)
{
    if (asked_ && asked_->host == host) {
        asked_->deadline = std::min(asked_->since + answerLimit, now + answerTimeout);
    }
}

void DocumentFetchScheduler::handleAnswer(const std::string &host, std::uint64_t held, Instant now)
{
    held_ = std::max(held_, held);
    full_ = false;
    if (asked_ && asked_->host == host) {
        asked_.reset();
    }
    if (const auto found = sources_.find(host); found != sources_.end()) {
        found->second.failedAt.reset();
    }
    behindSince_ = behind() ? std::optional{now} : std::nullopt;
}

void DocumentFetchScheduler::handleFailure(const std::string &host, Instant now)
{
    full_ = true;
    if (asked_ && asked_->host == host) {
        asked_.reset();
    }
    sourceOf(host).failedAt = now;
}

bool DocumentFetchScheduler::awaits(Instant now)
{
    if (!asked_) {
        return false;
    }
    const auto announcedByAsked = sourceOf(asked_->host).version > held_;
    if (asked_->blind && behind() && !announcedByAsked && now >= asked_->since + blindPatience) {
        asked_.reset();
        return false;
    }
    if (now < asked_->deadline) {
        return true;
    }
    sourceOf(asked_->host).failedAt = now;
    asked_.reset();
    return false;
}

std::optional<DocumentFetchRequest> DocumentFetchScheduler::nextRequest(Instant now)
{
    if (awaits(now) || !behind()) {
        return std::nullopt;
    }
    using Preference = std::tuple<bool, Proximity, std::uint64_t>;
    std::optional<Preference> nearest;
    std::optional<std::pair<Preference, std::string>> best;
    for (const auto &[host, source] : sources_) {
        const auto failedLately = source.failedAt && now - *source.failedAt < failureMemory;
        const Preference preference{failedLately, source.proximity, source.rank};
        nearest = nearest ? std::min(*nearest, preference) : preference;
        const auto paused = source.failedAt && now - *source.failedAt < retryPause;
        if (source.version > held_ && !paused && (!best || preference < best->first)) {
            best = std::pair{preference, host};
        }
    }
    if (!best) {
        return std::nullopt;
    }
    const auto farther = std::tie(std::get<0>(best->first), std::get<1>(best->first))
                         > std::tie(std::get<0>(*nearest), std::get<1>(*nearest));
    if (held_ != 0 && farther && behindSince_ && now < *behindSince_ + nearestPatience) {
        return std::nullopt;
    }
    asked_ = Asked{best->second, now, now + answerTimeout, false};
    return DocumentFetchRequest{best->second, full_};
}

} // namespace hyssoprock
