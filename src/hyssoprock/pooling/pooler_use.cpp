#include <hyssoprock/pooling/pooler_use.hpp>

#include <algorithm>

#include <hyssoprock/pooling/pooler_impl.hpp>

namespace hyssoprock {

PoolerUsage Pooler::usage() const
{
    return impl_->usage();
}

PoolerUsage Pooler::Impl::usage() const
{
    PoolerUsage result;
    result.sessions = static_cast<std::uint32_t>(sessions_.size());
    for (const auto &[name, service] : services_) {
        if (!service.waiting.empty()) {
            result.waiting.push_back({name, static_cast<std::uint32_t>(service.waiting.size())});
        }
        const auto avoided = service.outliers.avoidedEndpoints();
        result.avoided.insert(result.avoided.end(), avoided.begin(), avoided.end());
    }
    for (const auto &[id, endpoint] : endpoints_) {
        if (endpoint.connections.empty()) {
            continue;
        }
        const auto used = std::count_if(
            endpoint.connections.begin(), endpoint.connections.end(),
            [this](ConnectionId connection) { return connections_.at(connection).owner != 0; });
        result.connections.push_back({id, static_cast<std::uint32_t>(endpoint.connections.size()),
                                      static_cast<std::uint32_t>(used)});
    }
    return result;
}

} // namespace hyssoprock
