#include <hyssoprock/pooler/status_collector.hpp>

#include <algorithm>
#include <utility>

#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

constexpr Duration queryTimeout = std::chrono::milliseconds{300};
constexpr Duration rowLifetime = std::chrono::seconds{1};

} // namespace

StatusCollector::StatusCollector(const EndpointRegistry &registry, EndpointStatusClient &client)
    : registry_{registry}
    , client_{client}
{}

void StatusCollector::collect(StatusCallback callback)
{
    pendingCallbacks_.push_back(std::move(callback));
    if (pendingQueries_ > 0) {
        return;
    }
    const auto now = monotonicNow();
    std::erase_if(rows_,
                  [now](const auto &item) { return now - item.second.receivedAt > rowLifetime; });
    for (const auto &record : registry_.snapshot()) {
        if (rows_.contains(record.id)) {
            continue;
        }
        ++pendingQueries_;
        client_.query(record.service, record.id, record.address, EndpointOperation::Status, 0,
                      queryTimeout,
                      [this, id = record.id](const Result<EndpointStatusRow> &result,
                                             bool /*mayTakeEffect*/) { answered(id, result); });
    }
    if (pendingQueries_ == 0) {
        finishCollection();
    }
}

void StatusCollector::answered(const std::string &endpoint, const Result<EndpointStatusRow> &result)
{
    auto &row = rows_[endpoint];
    row.receivedAt = monotonicNow();
    row.answered = result.has_value();
    row.row = result.has_value() ? result.value() : EndpointStatusRow{};
    --pendingQueries_;
    if (pendingQueries_ == 0) {
        finishCollection();
    }
}

void StatusCollector::finishCollection()
{
    const auto endpoints = cachedStatus();
    for (const auto &callback : std::exchange(pendingCallbacks_, {})) {
        callback(endpoints);
    }
}

std::vector<PooledEndpointStatus> StatusCollector::cachedStatus() const
{
    const auto now = monotonicNow();
    std::vector<PooledEndpointStatus> result;
    for (const auto &service : registry_.services()) {
        for (const auto *known : registry_.members(service)) {
            if (known->expired) {
                continue;
            }
            PooledEndpointStatus status;
            status.endpoint = known->record;
            status.heartbeatAgeMs = static_cast<std::uint64_t>(
                std::max<std::int64_t>(toMilliseconds(now - known->lastHeartbeatAt), 0));
            if (const auto row = rows_.find(known->record.id);
                row != rows_.end() && row->second.answered) {
                const auto &answer = row->second.row;
                status.answered = true;
                status.role = answer.role;
                status.term = answer.term;
                status.position = answer.received;
                status.lagMs = static_cast<std::uint64_t>(toMilliseconds(answer.lag));
                status.busy = answer.busy;
                status.connections = answer.connections;
            }
            result.push_back(std::move(status));
        }
    }
    return result;
}

} // namespace hyssoprock
