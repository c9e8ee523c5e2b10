#include "failover_endpoint.hpp"

#include <algorithm>
#include <functional>

namespace hyssoprock::random_runs::failover {

using namespace std::chrono_literals;

FakeEndpoint::FakeEndpoint(World &world, std::size_t node, std::string group, EndpointFinder find)
    : world_{world}
    , node_{node}
    , group_{std::move(group)}
    , find_{std::move(find)}
{
    world_.every(10ms, [this] { fetch(); });
}

Announcement FakeEndpoint::announcement() const
{
    const auto &node = world_.nodes[node_];
    return {node.name,
            group_,
            node.dataCentre,
            "127.0.0.1:" + std::to_string(5000 + node_),
            node.incarnation,
            35,
            5};
}

LogPosition FakeEndpoint::last() const
{
    return log_.empty() ? LogPosition{} : LogPosition{log_.back().term, log_.size()};
}

bool FakeEndpoint::holds(const LogPosition &position, std::uint64_t id) const
{
    return position.index >= 1 && position.index <= log_.size()
           && log_[position.index - 1] == LogEntry{position.term, id};
}

EndpointCallResponse FakeEndpoint::status() const
{
    EndpointCallResponse report;
    report.name = name();
    report.incarnation = world_.nodes[node_].incarnation;
    report.role = serving() ? "primary" : isPrimary_ ? "fenced" : "replica";
    report.term = term_;
    report.position = last();
    report.majorityIndex = majority_;
    report.fencedTerm = fenced_;
    report.primary = primary_;
    report.voters = {voters_.begin(), voters_.end()};
    return report;
}

Result<EndpointCallResponse> FakeEndpoint::call(const EndpointRequest &request)
{
    return std::visit([this](const auto &body) { return on(body); }, request);
}

Result<EndpointCallResponse> FakeEndpoint::on(const StatusCall &)
{
    return status();
}

Result<EndpointCallResponse> FakeEndpoint::on(const FenceCall &call)
{
    if (call.term < fenced_) {
        return failure(ErrorKind::Refused, "fenced at a higher term");
    }
    fenced_ = call.term;
    return status();
}

Result<EndpointCallResponse> FakeEndpoint::on(const PromoteCall &call)
{
    if (isPrimary_ && call.term == term_ && call.term >= fenced_) {
        return status();
    }
    if (call.term < fenced_ || call.term <= term_ || call.term <= last().term) {
        return failure(ErrorKind::Refused, "term is not new");
    }
    fenced_ = call.term;
    term_ = call.term;
    isPrimary_ = true;
    primary_ = name();
    voterVersion_ = 0;
    held_.clear();
    majority_ = 0;
    setVoters(call.voters);
    append(0);
    ++world_.report.events["promotion"];
    return status();
}

Result<EndpointCallResponse> FakeEndpoint::on(const FollowCall &call)
{
    if (call.term < fenced_ || call.term < term_ || (isPrimary_ && call.term == term_)
        || call.primary == name()) {
        return failure(ErrorKind::Refused, "cannot follow");
    }
    fenced_ = call.term;
    if (call.term != term_) {
        probe_ = last();
    }
    term_ = call.term;
    isPrimary_ = false;
    primary_ = call.primary;
    voters_.clear();
    return status();
}

Result<EndpointCallResponse> FakeEndpoint::on(const VotersCall &call)
{
    if (!serving() || call.term != term_ || call.version < voterVersion_) {
        return failure(ErrorKind::Refused, "not the primary of the term, or an old version");
    }
    voterVersion_ = call.version;
    setVoters(call.voters);
    advanceMajority();
    return status();
}

void FakeEndpoint::setVoters(const std::vector<VoterAddress> &voters)
{
    voters_.clear();
    for (const auto &voter : voters) {
        voters_.insert(voter.endpoint);
    }
}

Result<LogPosition> FakeEndpoint::write(std::uint64_t id)
{
    if (!serving()) {
        return failure(ErrorKind::ReadOnlyEndpoint, name() + " is not a primary");
    }
    append(id);
    return last();
}

void FakeEndpoint::append(std::uint64_t id)
{
    log_.push_back({term_, id});
    advanceMajority();
}

void FakeEndpoint::advanceMajority()
{
    std::vector<std::uint64_t> held;
    for (const auto &voter : voters_) {
        held.push_back(voter == name() ? log_.size() : held_[voter]);
    }
    std::sort(held.begin(), held.end(), std::greater<>{});
    const auto index = held[held.size() / 2];
    if (index > majority_ && log_[index - 1].term == term_) {
        majority_ = index;
    }
}

LogPosition FakeEndpoint::newestNotAfter(const LogPosition &other) const
{
    auto index = std::min<std::uint64_t>(other.index, log_.size());
    while (index > 0 && log_[index - 1].term > other.term) {
        --index;
    }
    return index == 0 ? LogPosition{} : LogPosition{log_[index - 1].term, index};
}

void FakeEndpoint::fetch()
{
    const bool follows = !isPrimary_ && !primary_.empty() && term_ >= fenced_;
    if (!world_.nodes[node_].alive || !follows || world_.time() < nextFetch_) {
        return;
    }
    nextFetch_ = world_.time() + lag;
    auto *primary = find_(primary_);
    world_.send(node_, primary->node(),
                [this, primary, from = name(), term = term_, previous = probe_] {
                    const auto answer = primary->serve(from, term, previous);
                    world_.send(primary->node(), node_, [this, answer] { take(answer); });
                });
}

FakeEndpoint::Fetched FakeEndpoint::serve(const std::string &from, std::uint64_t term,
                                          const LogPosition &previous)
{
    Fetched answer;
    answer.term = term_;
    answer.previous = previous.index;
    if (!serving() || term != term_) {
        return answer;
    }
    answer.accepted = true;
    const bool known =
        previous == LogPosition{}
        || (previous.index <= log_.size() && log_[previous.index - 1].term == previous.term);
    if (!known) {
        answer.retryFrom = newestNotAfter(previous);
        return answer;
    }
    answer.matches = true;
    held_[from] = std::max(held_[from], previous.index);
    advanceMajority();
    answer.entries.assign(log_.begin() + static_cast<std::ptrdiff_t>(previous.index), log_.end());
    return answer;
}

void FakeEndpoint::take(const Fetched &answer)
{
    if (isPrimary_ || term_ < fenced_ || !answer.accepted || answer.term != term_
        || answer.previous != probe_.index) {
        return;
    }
    if (!answer.matches) {
        probe_ = newestNotAfter(answer.retryFrom);
        return;
    }
    auto index = answer.previous;
    for (const auto &entry : answer.entries) {
        ++index;
        if (index <= log_.size() && log_[index - 1].term != entry.term) {
            log_.resize(index - 1);
            ++world_.report.events["truncated tail"];
        }
        if (index > log_.size()) {
            log_.push_back(entry);
        }
        probe_ = {entry.term, index};
    }
}

void FakeEndpoint::crash()
{
    world_.nodes[node_].alive = false;
    isPrimary_ = false;
    term_ = 0;
    primary_.clear();
    voters_.clear();
    held_.clear();
    majority_ = 0;
}

void FakeEndpoint::restart()
{
    auto &node = world_.nodes[node_];
    node.alive = true;
    ++node.incarnation;
}

} // namespace hyssoprock::random_runs::failover
