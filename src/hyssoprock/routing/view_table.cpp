#include <hyssoprock/routing/view_table.hpp>

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include <hyssoprock/core/name_digest.hpp>

namespace hyssoprock {

namespace {

/// Number of renewals whose responses are still accepted.
constexpr std::size_t pendingRenewalsMax = 64;

std::string_view dataCentreOf(std::string_view host)
{
    const auto at = host.rfind('@');
    return at == std::string_view::npos ? std::string_view{} : host.substr(at + 1);
}

std::uint64_t rendezvousWeight(std::string_view host, std::string_view endpoint)
{
    const auto seed = XXH64(endpoint.data(), endpoint.size(), 0);
    return XXH64(host.data(), host.size(), seed);
}

} // namespace

ViewTable::ViewTable(std::uint64_t driftPerMille)
    : driftPerMille_{driftPerMille}
    , configuration_{std::make_shared<const Configuration>()}
{}

void ViewTable::recordRenewalSent(std::uint64_t sequence, Instant now)
{
    renewals_[sequence] = now;
    if (renewals_.size() > pendingRenewalsMax) {
        renewals_.erase(renewals_.begin());
    }
}

ViewUpdate ViewTable::apply(const HostRenewResponse &response)
{
    ViewUpdate update;
    const auto sent = renewals_.find(response.sequence);
    if (sent == renewals_.end() || response.kind != ErrorKind::None) {
        return update;
    }
    const auto sentAt = sent->second;
    renewals_.erase(sent);
    update.accepted = true;
    // The views are applied before the lease, which was granted on the assumption that they are in
    // effect.
    applyViews(response.views, update);
    viewVersion_ = std::max(viewVersion_, response.viewVersion);
    applyConfiguration(response.configuration, update);
    if (!response.hosts.empty()) {
        hosts_ = response.hosts;
        hostsDigest_ = computeNameDigest(hosts_);
    }
    const auto length = std::chrono::milliseconds{response.leaseMs};
    const auto until = sentAt + shortenedByDrift(length, driftPerMille_);
    if (response.leaseMs > 0 && (!leaseUntil_ || until > *leaseUntil_)) {
        leaseUntil_ = until;
        update.leaseExtended = true;
    }
    return update;
}

ViewUpdate ViewTable::apply(const ViewPush &push)
{
    ViewUpdate update;
    // A newer view of a group is safe to use even after a gap. The version is not advanced then, so
    // that the next renewal fetches the missed views.
    applyViews(push.views, update);
    applyConfiguration(push.configuration, update);
    if (push.previousVersion <= viewVersion_) {
        viewVersion_ = std::max(viewVersion_, push.viewVersion);
        update.accepted = true;
    } else {
        update.renewalRequired = true;
    }
    return update;
}

void ViewTable::applyViews(const std::vector<GroupView> &views, ViewUpdate &update)
{
    for (const auto &view : views) {
        const auto [place, added] = views_.try_emplace(view.group, view);
        if (!added) {
            if (view.version <= place->second.version || view.term < place->second.term) {
                continue;
            }
            place->second = view;
        }
        update.groups.push_back(view.group);
    }
}

void ViewTable::applyConfiguration(const std::optional<Configuration> &configuration,
                                   ViewUpdate &update)
{
    if (configuration && configuration->revision > configuration_->revision) {
        configuration_ = std::make_shared<const Configuration>(*configuration);
        update.configurationChanged = true;
    }
}

bool ViewTable::leaseValid(Instant now) const noexcept
{
    return leaseUntil_ && now < *leaseUntil_;
}

const GroupView *ViewTable::view(std::string_view group) const
{
    const auto found = views_.find(group);
    return found == views_.end() ? nullptr : &found->second;
}

std::vector<std::string> ViewTable::groups() const
{
    std::vector<std::string> names;
    for (const auto &[group, view] : views_) {
        names.push_back(group);
    }
    return names;
}

PrimaryStatus ViewTable::primary(std::string_view group, Instant now) const
{
    const auto *current = view(group);
    if (current == nullptr) {
        return {leaseValid(now) ? ErrorKind::UnknownGroup : ErrorKind::NoLease, {}, 0};
    }
    if (!leaseValid(now)) {
        return {ErrorKind::NoLease, current->primary, current->term};
    }
    if (current->state != GroupState::Active || current->primary.empty()) {
        return {ErrorKind::NoPrimary, current->primary, current->term};
    }
    return {ErrorKind::None, current->primary, current->term};
}

bool ViewTable::mayAcknowledge(std::string_view group, std::string_view endpoint,
                               std::uint64_t term, Instant now) const
{
    const auto *current = view(group);
    return current != nullptr && leaseValid(now) && current->term == term
           && current->primary == endpoint
           && (current->state == GroupState::Active || current->state == GroupState::Handover);
}

bool ViewTable::isTermSuperseded(std::string_view group, std::uint64_t term) const
{
    const auto *current = view(group);
    return current != nullptr && current->term > term;
}

std::vector<std::string> ViewTable::observers(std::string_view endpoint, std::size_t count) const
{
    auto ranked = hosts_;
    std::sort(ranked.begin(), ranked.end(), [endpoint](const auto &left, const auto &right) {
        return std::pair{rendezvousWeight(left, endpoint), left}
               > std::pair{rendezvousWeight(right, endpoint), right};
    });
    if (count >= ranked.size()) {
        return ranked;
    }
    const auto last = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    const auto differs = [&ranked](const std::string &host) {
        return dataCentreOf(host) != dataCentreOf(ranked.front());
    };
    if (count >= 2 && std::none_of(ranked.begin(), last, differs)) {
        if (const auto other = std::find_if(last, ranked.end(), differs); other != ranked.end()) {
            std::iter_swap(last - 1, other);
        }
    }
    ranked.erase(last, ranked.end());
    return ranked;
}

const RecordKindRule *findRule(const Configuration &configuration, std::string_view group,
                               std::string_view kind)
{
    const auto found = std::find_if(
        configuration.rules.begin(), configuration.rules.end(),
        [&](const RecordKindRule &rule) { return rule.group == group && rule.kind == kind; });
    return found == configuration.rules.end() ? nullptr : &*found;
}

} // namespace hyssoprock
