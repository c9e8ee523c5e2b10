#include <hyssoprock/pooler/document_cache.hpp>

#include <algorithm>
#include <utility>

namespace hyssoprock {

DocumentCache::DocumentCache(DocumentParser parser)
    : parser_{std::move(parser)}
{}

DocumentCache::ParseResult DocumentCache::parse(std::string_view bytes)
{
    const auto known = std::find_if(entries_.begin(), entries_.end(),
                                    [&](const auto &item) { return item.bytes == bytes; });
    if (known != entries_.end()) {
        return known->result;
    }
    auto document = parser_(bytes);
    ParseResult result =
        document.has_error()
            ? ParseResult{document.as_failure()}
            : ParseResult{std::make_shared<const DeploymentDocument>(std::move(document.value()))};
    entries_.push_front(Entry{std::string{bytes}, result});
    if (entries_.size() > entriesMax) {
        entries_.pop_back();
    }
    return result;
}

} // namespace hyssoprock
