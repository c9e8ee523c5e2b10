#include <hyssoprock/registry/document_fetch.hpp>

#include <algorithm>
#include <tuple>

#include <hyssoprock/core/name_digest.hpp>

namespace hyssoprock {

namespace {

using std::chrono::milliseconds;

// A delta takes less than 100 ms at 2 Mbit/s. A whole document takes longer but makes progress
// meanwhile.
constexpr Duration answerTimeout = milliseconds{700};
// Maximum total time of an answer that makes progress.
constexpr Duration answerTimeoutMax = std::chrono::seconds{10};
// A host that was sent the request with the subscription may be unable to answer. After this time
// another host that announces a version is asked.
constexpr Duration unannouncedRequestTimeout = milliseconds{100};
// A follower learns of a commit with the next heartbeat and announces it within 100 ms.
constexpr Duration nearestHostDelay = milliseconds{250};
// After a failure a host is asked again only if no other host has a newer version, and only after a
// delay.
constexpr Duration failureLifetime = std::chrono::seconds{5};
constexpr Duration retryDelay = milliseconds{500};

} // namespace

DocumentFetchScheduler::Source &DocumentFetchScheduler::sourceFor(const std::string &host)
{
    const auto [entry, added] = sources_.try_emplace(host);
    if (added) {
        entry->second.rank = computeNameDigest({host, std::to_string(seed_)});
    }
    return entry->second;
}

bool DocumentFetchScheduler::handleConnect(const std::string &host, Instant now)
{
    sourceFor(host).version = 0;
    if (heldVersion_ != 0 || pendingRequest_) {
        return false;
    }
    pendingRequest_ = PendingRequest{host, now, now + answerTimeout, true};
    return true;
}

bool DocumentFetchScheduler::isBehind() const
{
    return std::any_of(sources_.begin(), sources_.end(),
                       [this](const auto &item) { return item.second.version > heldVersion_; });
}

void DocumentFetchScheduler::handleAnnouncement(const std::string &host, Proximity proximity,
                                                std::uint64_t version, Instant now)
{
    auto &source = sourceFor(host);
    source.proximity = proximity;
    source.version = std::max(source.version, version);
    if (!behindSince_ && isBehind()) {
        behindSince_ = now;
    }
}

void DocumentFetchScheduler::handleDisconnect(const std::string &host)
{
    sources_.erase(host);
    if (pendingRequest_ && pendingRequest_->host == host) {
        pendingRequest_.reset();
    }
}

void DocumentFetchScheduler::handleProgress(const std::string &host, Instant now)
{
    if (pendingRequest_ && pendingRequest_->host == host) {
        pendingRequest_->deadline =
            std::min(pendingRequest_->requestedAt + answerTimeoutMax, now + answerTimeout);
    }
}

void DocumentFetchScheduler::handleAnswer(const std::string &host, std::uint64_t heldVersion,
                                          Instant now)
{
    heldVersion_ = std::max(heldVersion_, heldVersion);
    wholeDocumentNeeded_ = false;
    if (pendingRequest_ && pendingRequest_->host == host) {
        pendingRequest_.reset();
    }
    if (const auto found = sources_.find(host); found != sources_.end()) {
        found->second.failedAt.reset();
    }
    behindSince_ = isBehind() ? std::optional{now} : std::nullopt;
}

void DocumentFetchScheduler::handleFailure(const std::string &host, Instant now)
{
    wholeDocumentNeeded_ = true;
    if (pendingRequest_ && pendingRequest_->host == host) {
        pendingRequest_.reset();
    }
    sourceFor(host).failedAt = now;
}

bool DocumentFetchScheduler::isAwaitingAnswer(Instant now)
{
    if (!pendingRequest_) {
        return false;
    }
    const auto announcedByRequested = sourceFor(pendingRequest_->host).version > heldVersion_;
    if (pendingRequest_->beforeAnnouncement && isBehind() && !announcedByRequested
        && now >= pendingRequest_->requestedAt + unannouncedRequestTimeout) {
        pendingRequest_.reset();
        return false;
    }
    if (now < pendingRequest_->deadline) {
        return true;
    }
    sourceFor(pendingRequest_->host).failedAt = now;
    pendingRequest_.reset();
    return false;
}

std::optional<DocumentFetchRequest> DocumentFetchScheduler::nextRequest(Instant now)
{
    if (isAwaitingAnswer(now) || !isBehind()) {
        return std::nullopt;
    }
    using Preference = std::tuple<bool, Proximity, std::uint64_t>;
    std::optional<Preference> nearest;
    std::optional<std::pair<Preference, std::string>> best;
    for (const auto &[host, source] : sources_) {
        const auto recentlyFailed = source.failedAt && now - *source.failedAt < failureLifetime;
        const Preference preference{recentlyFailed, source.proximity, source.rank};
        nearest = nearest ? std::min(*nearest, preference) : preference;
        const auto retryDelayed = source.failedAt && now - *source.failedAt < retryDelay;
        if (source.version > heldVersion_ && !retryDelayed && (!best || preference < best->first)) {
            best = std::pair{preference, host};
        }
    }
    if (!best) {
        return std::nullopt;
    }
    const auto farther = std::tie(std::get<0>(best->first), std::get<1>(best->first))
                         > std::tie(std::get<0>(*nearest), std::get<1>(*nearest));
    if (heldVersion_ != 0 && farther && behindSince_ && now < *behindSince_ + nearestHostDelay) {
        return std::nullopt;
    }
    pendingRequest_ = PendingRequest{best->second, now, now + answerTimeout, false};
    return DocumentFetchRequest{best->second, wholeDocumentNeeded_};
}

} // namespace hyssoprock
