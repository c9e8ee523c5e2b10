#include <hyssoprock/request/host_tables.hpp>

#include <algorithm>
#include <utility>

#include <hyssoprock/core/earlier.hpp>

namespace hyssoprock {

HostTables::HostTables(RouterSettings routerSettings, std::uint64_t driftPerMille,
                       Duration majorityPollInterval, std::uint64_t seed)
    : views{driftPerMille}
    , acks{majorityPollInterval}
    , router{std::move(routerSettings), views, endpoints, ages, seed}
{}

void HostTables::recordReport(std::string_view group, std::string_view endpoint,
                              const EndpointReport &report, Instant sent, bool leaseValidAtSend,
                              Instant now)
{
    const auto &position = report.position;
    const bool primary = report.role == EndpointRole::Primary;
    if (primary && leaseValidAtSend && views.mayAcknowledge(group, endpoint, position.term, now)) {
        ages.recordSample(group, sent, position);
    }
    // A log with an entry of the view's term is a prefix of the log of that primary. The tail of an
    // older log may have been replaced in that term, so its indexes cannot be compared.
    if ((primary || report.role == EndpointRole::Replica)
        && !views.isTermSuperseded(group, position.term)) {
        acks.recordMajorityIndex(group, position.term,
                                 std::min(report.majorityIndex, position.index));
    }
    endpoints.recordReport(endpoint, report, sent, now, ages.age(group, position, now));
}

std::vector<std::string> HostTables::takePolls(Instant now)
{
    auto due = acks.takePolls(now);
    for (auto &group : ages.takePolls(now)) {
        if (std::find(due.begin(), due.end(), group) == due.end()) {
            due.push_back(std::move(group));
        }
    }
    return due;
}

bool HostTables::isQuiesced(std::string_view group) const
{
    const auto *view = views.view(group);
    return view != nullptr && view->state == GroupState::Handover
           && endpoints.find(view->primary).inFlight == 0 && acks.primaryWaitCount(group) == 0;
}

std::optional<Instant> HostTables::nextDeadline() const
{
    return earlier(acks.nextDeadline(), ages.nextDeadline());
}

} // namespace hyssoprock
