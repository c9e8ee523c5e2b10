#include <algorithm>

#include <hyssoprock/pooling/pooler_impl.hpp>

namespace hyssoprock {

namespace {

// A host that uses a primary more often gets its positions from the primary's answers.
constexpr Duration ownSampleInterval = std::chrono::milliseconds{200};
// Bounds the size of a request to a control host.
constexpr std::size_t requestedServicesMax = 64;

} // namespace

std::vector<std::string> Pooler::Impl::servicesWithoutSample(Instant now) const
{
    std::vector<std::string> names;
    if (!document_) {
        return names;
    }
    std::vector<std::pair<Instant, const std::string *>> found;
    found.reserve(document_->services.size());
    for (const auto &configured : document_->services) {
        const auto &service = services_.at(configured.name);
        if (const auto newest = service.history.newestSampleAt();
            !newest || *newest + ownSampleInterval <= now) {
            found.emplace_back(service.usedAt, &configured.name);
        }
    }
    if (found.size() > requestedServicesMax) {
        std::partial_sort(
            found.begin(), found.begin() + requestedServicesMax, found.end(),
            [](const auto &left, const auto &right) { return left.first > right.first; });
        found.resize(requestedServicesMax);
    }
    names.reserve(found.size());
    for (const auto &[usedAt, name] : found) {
        names.push_back(*name);
    }
    return names;
}

bool Pooler::Impl::isProven(const PositionSample &sample, const PooledService &service) const
{
    // Without fenced promotions a former primary still reports positions. While this host holds its
    // lease, no other endpoint than the announced one is promoted.
    return !settings_.leasedPrimaries
           || (hasLease() && service.primary == sample.endpoint
               && sample.sentAt >= service.announcedAt && sample.sentAt >= leaseHeldSince_);
}

void Pooler::Impl::on(pooler::PositionsReceived &event)
{
    for (const auto &sample : event.samples) {
        const auto found = services_.find(sample.service);
        if (found == services_.end() || !isProven(sample, found->second)) {
            continue;
        }
        auto &service = found->second;
        service.history.add(sample.sentAt, sample.position);
        placeWaiting(service);
    }
}

} // namespace hyssoprock
