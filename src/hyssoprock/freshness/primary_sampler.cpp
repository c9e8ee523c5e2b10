#include <hyssoprock/freshness/primary_sampler.hpp>

#include <algorithm>
#include <utility>

#include <hyssoprock/core/earlier.hpp>

namespace hyssoprock {

namespace {

// Entry hosts repeat their requests several times per second.
constexpr Duration demandLifetime = std::chrono::seconds{3};
// An older sample allows a read only little staleness beyond it.
constexpr Duration sampleAgeMax = std::chrono::seconds{2};
constexpr Duration failureDelay = std::chrono::milliseconds{100};
// Bounds the memory that the requests of an entry host can occupy.
constexpr std::size_t servicesMax = 4096;

} // namespace

PrimarySampler::PrimarySampler(Duration interval, TargetLookup lookup)
    : interval_{interval}
    , lookup_{std::move(lookup)}
{}

PositionReport PrimarySampler::handleRequest(const PositionRequest &request, Instant now)
{
    PositionReport report;
    report.sequence = request.sequence;
    for (const auto &name : request.services) {
        auto found = services_.find(name);
        if (found == services_.end()) {
            if (services_.size() >= servicesMax) {
                continue;
            }
            found = services_.emplace(name, Service{}).first;
            found->second.nextSampleAt = now;
        }
        auto &service = found->second;
        service.requestedAt = now;
        const auto age = now - service.sampleSentAt;
        if (service.sampled && age <= sampleAgeMax) {
            report.positions.push_back({name, service.endpoint, service.position.term,
                                        service.position.index, age.count()});
        }
    }
    return report;
}

void PrimarySampler::handlePosition(const SampleTarget &target, LogPosition position,
                                    Instant sentAt)
{
    const auto found = services_.find(target.service);
    if (found == services_.end()) {
        return;
    }
    auto &service = found->second;
    service.asking = false;
    service.nextSampleAt = sentAt + interval_;
    if (service.sampled && position.term < service.position.term) {
        return;
    }
    service.sampled = true;
    service.endpoint = target.endpoint;
    service.position = position;
    service.sampleSentAt = sentAt;
}

void PrimarySampler::handleFailure(const SampleTarget &target, Instant now)
{
    if (const auto found = services_.find(target.service); found != services_.end()) {
        found->second.asking = false;
        found->second.nextSampleAt = now + failureDelay;
    }
}

std::vector<SampleTarget> PrimarySampler::takeDue(Instant now)
{
    std::vector<SampleTarget> due;
    for (auto &[name, service] : services_) {
        if (service.asking || now < service.nextSampleAt) {
            continue;
        }
        if (auto target = lookup_(name)) {
            service.asking = true;
            due.push_back(std::move(*target));
        } else {
            service.nextSampleAt = now + failureDelay;
        }
    }
    return due;
}

std::vector<std::string> PrimarySampler::takeUnused(Instant now)
{
    std::vector<std::string> unused;
    std::erase_if(services_, [&](const auto &entry) {
        const auto ended = now - entry.second.requestedAt >= demandLifetime;
        if (ended) {
            unused.push_back(entry.first);
        }
        return ended;
    });
    return unused;
}

std::optional<Instant> PrimarySampler::nextDeadline() const
{
    std::optional<Instant> next;
    for (const auto &[name, service] : services_) {
        next = earlier(next, service.requestedAt + demandLifetime);
        if (!service.asking) {
            next = earlier(next, service.nextSampleAt);
        }
    }
    return next;
}

} // namespace hyssoprock
