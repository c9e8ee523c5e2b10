#include <hyssoprock/pooler/endpoint_cache.hpp>

#include <hyssoprock/message/codec.hpp>

namespace hyssoprock {

EndpointCache::EndpointCache(const std::string &folder)
    : value_{files_, folder, "endpoints"}
{}

std::vector<EndpointRecord> EndpointCache::load() const
{
    const auto stored = value_.load();
    if (stored.has_error() || !stored.value()) {
        return {};
    }
    auto list = decode<DeploymentUpdate>(*stored.value());
    return list.has_error() ? std::vector<EndpointRecord>{} : std::move(list.value().endpoints);
}

Result<void> EndpointCache::store(const std::vector<EndpointRecord> &endpoints)
{
    DeploymentUpdate list;
    list.complete = true;
    list.endpoints = endpoints;
    return value_.store(encode(list));
}

} // namespace hyssoprock
