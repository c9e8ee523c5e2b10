#include <filesystem>
#include <memory>
#include <optional>
#include <set>
#include <system_error>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/outcome/try.hpp>

#include <hyssoprock/pooler/control_node.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

// Covers two report checks of the entry hosts, which run every 100 ms.
constexpr Duration firstReportDelay = std::chrono::milliseconds{250};

std::uint64_t millisecondsBetween(Instant from, Instant to)
{
    return from < to ? static_cast<std::uint64_t>(toMilliseconds(to - from)) : 0;
}

} // namespace

Result<void> PooledControlNode::handleOperatorFrame(std::uint64_t id, const Frame &frame)
{
    BOOST_OUTCOME_TRY(const auto request, decodeMessage<PooledStatusRequest>(frame));
    if (!request.anyHost && !isLeader()) {
        const auto *node = group_.node();
        PooledStatusResponse redirect;
        redirect.kind = ErrorKind::NotLeader;
        redirect.answeredBy = settings_.name;
        redirect.leader = node != nullptr ? node->leader() : std::string{};
        clients_.send(id, redirect);
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    if (publisher_.requestReports(monotonicNow())) {
        sendStatus(id);
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(firstReportDelay);
    timer->async_wait(
        [weak = std::weak_ptr{alive_}, timer, id](const boost::system::error_code & /*error*/) {
            if (const auto self = weak.lock()) {
                (*self)->sendStatus(id);
            }
        });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void PooledControlNode::sendStatus(std::uint64_t id)
{
    const auto reply = [weak = std::weak_ptr{alive_}, id](const PooledStatusResponse &complete) {
        if (const auto self = weak.lock()) {
            (*self)->clients_.send(id, complete);
        }
    };
    if (statusCallback_) {
        statusCallback_(groupStatus(), reply);
    } else {
        reply(groupStatus());
    }
}

void PooledControlNode::requestReports()
{
    publisher_.requestReports(monotonicNow());
}

PooledStatusResponse PooledControlNode::groupStatus() const
{
    PooledStatusResponse status;
    status.answeredBy = settings_.name;
    status.controlHosts = controlHostStatus();
    status.documentVersion = state().version();
    status.lastToken = state().lastToken();
    if (const auto *node = group_.node()) {
        status.leader = node->leader();
        status.term = node->term();
        status.commitIndex = node->commitIndex();
    }
    for (const auto &[service, record] : state().promotions()) {
        status.promotions.push_back(record);
    }
    for (const auto &[service, record] : publisher_.primaries()) {
        status.primaries.push_back(record);
    }
    status.entryHosts = publisher_.status();
    return status;
}

std::uint64_t PooledControlNode::logBytes() const
{
    std::uint64_t bytes = 0;
    std::error_code error;
    std::filesystem::directory_iterator files{settings_.dataFolder + "/raft", error};
    for (; !error && files != std::filesystem::directory_iterator{}; files.increment(error)) {
        std::error_code ignored;
        if (const auto size = files->file_size(ignored); !ignored) {
            bytes += size;
        }
    }
    return bytes;
}

std::vector<ControlHostStatus> PooledControlNode::controlHostStatus() const
{
    const auto now = monotonicNow();
    const auto names = voters();
    const std::set<std::string> voting{names.begin(), names.end()};
    auto all = voting;
    for (const auto &host : group_.membership().activeHosts()) {
        all.insert(host);
    }
    std::set<std::string> recovering;
    if (const auto *node = group_.node()) {
        for (const auto &voter : node->voterStatus()) {
            if (voter.recovering) {
                recovering.insert(voter.host);
            }
        }
    }
    std::vector<ControlHostStatus> result;
    for (const auto &host : all) {
        const auto lastReceivedAt =
            host == settings_.name ? std::nullopt : peers_.lastReceivedAt(host);
        const auto silent = lastReceivedAt ? millisecondsBetween(*lastReceivedAt, now) : 0;
        result.push_back({host, voting.contains(host), recovering.contains(host), silent});
    }
    return result;
}

} // namespace hyssoprock
