#include <hyssoprock/pooler/endpoint_cache.hpp>

#include <utility>

#include <hyssoprock/message/codec.hpp>

namespace hyssoprock {

EndpointCache::EndpointCache(const std::string &folder, std::shared_ptr<FileSystem> files)
    : files_{std::move(files)}
    , value_{*files_, folder, "endpoints"}
{}

CachedHosts EndpointCache::load() const
{
    const auto stored = value_.load();
    if (stored.has_error() || !stored.value()) {
        return {};
    }
    auto list = decode<DeploymentUpdate>(*stored.value());
    if (list.has_error()) {
        return {};
    }
    return {std::move(list.value().endpoints), list.value().entryHosts,
            list.value().documentVersion};
}

Result<void> EndpointCache::store(const CachedHosts &hosts)
{
    DeploymentUpdate list;
    list.complete = true;
    list.endpoints = hosts.endpoints;
    list.entryHosts = hosts.entryHosts;
    list.documentVersion = hosts.documentVersion;
    return value_.store(encode(list));
}

} // namespace hyssoprock
