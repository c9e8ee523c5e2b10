#include <hyssoprock/pooler/document_cache.hpp>

#include <algorithm>
#include <utility>

namespace hyssoprock {

DocumentCache::DocumentCache(DocumentParser reader)
    : reader_{std::move(reader)}
{}

DocumentCache::Read DocumentCache::read(std::string_view bytes)
{
    const auto known = std::find_if(known_.begin(), known_.end(),
                                    [&](const auto &item) { return item.bytes == bytes; });
    if (known != known_.end()) {
        return known->read;
    }
    auto document = reader_(bytes);
    Read read = document.has_error()
                    ? Read{document.as_failure()}
                    : Read{std::make_shared<const DeploymentDocument>(std::move(document.value()))};
    known_.push_front(Known{std::string{bytes}, read});
    if (known_.size() > knownMost) {
        known_.pop_back();
    }
    return read;
}

} // namespace hyssoprock
