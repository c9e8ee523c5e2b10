#include <hyssoprock/deployment/document_archive.hpp>

#include <algorithm>
#include <utility>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/deployment/document_delta.hpp>

namespace hyssoprock {

namespace {

std::size_t memoryBytes(const DeploymentDocument &document)
{
    auto bytes =
        document.routes.size() * sizeof(Route) + document.services.size() * sizeof(Service);
    for (const auto &route : document.routes) {
        bytes += route.name.size() + route.database.size() + route.pathPrefix.size()
                 + route.service.size();
    }
    for (const auto &team : document.teams) {
        bytes += sizeof team + team.name.size();
        for (const auto &key : team.keys) {
            bytes += sizeof(std::string) + key.size();
        }
    }
    return bytes;
}

} // namespace

void DocumentArchive::add(std::shared_ptr<const DeploymentDocument> document)
{
    if (!versions_.empty() && document->version <= versions_.back().document->version) {
        return;
    }
    const auto digest = computeDigest(*document);
    const auto bytes = memoryBytes(*document);
    while (!versions_.empty() && (versions_.size() >= versionsMax_ || bytes_ > bytesMax_)) {
        bytes_ -= versions_.front().bytes;
        versions_.pop_front();
    }
    versions_.push_back({std::move(document), digest, bytes});
    bytes_ += bytes;
}

std::shared_ptr<const DeploymentDocument> DocumentArchive::newest() const
{
    return versions_.empty() ? nullptr : versions_.back().document;
}

const DocumentArchive::Version *DocumentArchive::findVersion(std::uint64_t version) const
{
    const auto found =
        std::find_if(versions_.begin(), versions_.end(), [version](const Version &known) {
            return known.document->version == version;
        });
    return found == versions_.end() ? nullptr : &*found;
}

std::uint64_t DocumentArchive::deltaBase(std::uint64_t held, std::uint64_t digest) const
{
    const auto *known = findVersion(held);
    return known != nullptr && known->digest == digest && known != &versions_.back() ? held : 0;
}

DocumentDelta DocumentArchive::deltaFrom(std::uint64_t base) const
{
    check(!versions_.empty(), "the archive must not be empty");
    const auto *known = base == 0 ? nullptr : findVersion(base);
    return computeDelta(known == nullptr ? nullptr : known->document.get(),
                        *versions_.back().document);
}

} // namespace hyssoprock
