#include <hyssoprock/controlgroup/provisional_version.hpp>

#include <algorithm>

namespace hyssoprock {

void ProvisionalVersion::recordVersion(const std::string &host, std::uint64_t version)
{
    if (version != 0) {
        auto &known = versions_[host];
        known = std::max(known, version);
    }
}

bool ProvisionalVersion::mayAnnounce(std::uint64_t ownVersion, std::size_t voters,
                                     Instant now) const
{
    if (ownVersion == 0
        || std::any_of(versions_.begin(), versions_.end(),
                       [ownVersion](const auto &other) { return other.second > ownVersion; })) {
        return false;
    }
    const auto majority = voters / 2 + 1;
    return versions_.size() + 1 >= majority || now >= startedAt_ + majorityTimeout;
}

} // namespace hyssoprock
