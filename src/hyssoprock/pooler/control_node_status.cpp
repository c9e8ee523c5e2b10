#include <filesystem>
#include <set>
#include <system_error>
#include <utility>

#include <boost/outcome/try.hpp>

#include <hyssoprock/pooler/control_node.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

std::uint64_t millisecondsBetween(Instant from, Instant to)
{
    return from < to ? static_cast<std::uint64_t>(toMilliseconds(to - from)) : 0;
}

} // namespace

Result<void> PoolerControlNode::takeOperator(std::uint64_t id, const Frame &frame)
{
    BOOST_OUTCOME_TRY(const auto request, messageIn<PooledStatusRequest>(frame));
    auto response = groupStatus();
    const auto reply = [weak = std::weak_ptr{alive_}, id](const PooledStatusResponse &complete) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        const auto visitor = (*self)->visitors_.find(id);
        if (visitor != (*self)->visitors_.end()) {
            visitor->second.connection->sendMessage(complete);
        }
    };
    if (!request.anyHost && !isLeader()) {
        PooledStatusResponse redirect;
        redirect.kind = ErrorKind::NotLeader;
        redirect.answeredBy = response.answeredBy;
        redirect.leader = response.leader;
        reply(redirect);
    } else if (statusAsked_) {
        statusAsked_(std::move(response), reply);
    } else {
        reply(response);
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

PooledStatusResponse PoolerControlNode::groupStatus() const
{
    PooledStatusResponse status;
    status.answeredBy = settings_.name;
    status.controlHosts = controlHostStatus();
    status.documentVersion = state().version();
    status.lastToken = state().lastToken();
    if (const auto *node = raft_ ? raft_->node() : nullptr) {
        status.leader = node->leader();
        status.term = node->term();
        status.commitIndex = node->commitIndex();
    }
    for (const auto &[service, record] : state().promotions()) {
        status.promotions.push_back(record);
    }
    for (const auto &[service, record] : primaries_) {
        status.primaries.push_back(record);
    }
    status.entryHosts = entryHostStatus();
    return status;
}

std::uint64_t PoolerControlNode::logBytes() const
{
    std::uint64_t bytes = 0;
    std::error_code error;
    std::filesystem::directory_iterator files{settings_.dataFolder + "/raft", error};
    for (; !error && files != std::filesystem::directory_iterator{}; files.increment(error)) {
        std::error_code gone;
        if (const auto size = files->file_size(gone); !gone) {
            bytes += size;
        }
    }
    return bytes;
}

std::vector<ControlHostStatus> PoolerControlNode::controlHostStatus() const
{
    const auto now = monotonicNow();
    const auto names = voters();
    const std::set<std::string> voting{names.begin(), names.end()};
    auto all = voting;
    for (const auto &host : membership_.presentHosts()) {
        all.insert(host);
    }
    std::set<std::string> recovering;
    if (const auto *node = raft_ ? raft_->node() : nullptr) {
        for (const auto &voter : node->voterStatus()) {
            if (voter.recovering) {
                recovering.insert(voter.host);
            }
        }
    }
    std::vector<ControlHostStatus> result;
    for (const auto &host : all) {
        const auto peer = peers_.find(host);
        const auto silent = host == settings_.name || peer == peers_.end()
                                ? 0
                                : millisecondsBetween(peer->second.heardAt, now);
        result.push_back({host, voting.contains(host), recovering.contains(host), silent});
    }
    return result;
}

std::vector<EntryHostStatus> PoolerControlNode::entryHostStatus() const
{
    // A host that has connected again may still have its former connection; the later one counts.
    std::map<std::string, EntryHostStatus> byName;
    for (const auto &[id, visitor] : visitors_) {
        if (visitor.subscribed) {
            byName[visitor.process] =
                EntryHostStatus{visitor.process, visitor.dataCentre, visitor.report.has_value(),
                                visitor.report.value_or(EntryReport{})};
        }
    }
    std::vector<EntryHostStatus> result;
    result.reserve(byName.size());
    for (auto &[name, status] : byName) {
        result.push_back(std::move(status));
    }
    return result;
}

} // namespace hyssoprock
