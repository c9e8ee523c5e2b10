#include <hyssoprock/controlgroup/provisional_version.hpp>

#include <algorithm>

namespace hyssoprock {

void ProvisionalVersion::recordVersion(const std::string &host, std::uint64_t version)
{
    if (version != 0) {
        auto &known = heard_[host];
        known = std::max(known, version);
    }
}

bool ProvisionalVersion::mayAnnounce(std::uint64_t own, std::size_t voters, Instant now) const
{
    if (own == 0 || std::any_of(heard_.begin(), heard_.end(), [own](const auto &other) {
            return other.second > own;
        })) {
        return false;
    }
    const auto majority = voters / 2 + 1;
    return heard_.size() + 1 >= majority || now >= startedAt_ + majorityTimeout;
}

} // namespace hyssoprock
