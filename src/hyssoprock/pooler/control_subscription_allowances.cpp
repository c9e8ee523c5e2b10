#include <utility>

#include <boost/outcome/try.hpp>

#include <hyssoprock/pooler/control_subscription.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

Result<bool> ControlSubscription::handleAllowanceFrame(const std::string &ip, const Frame &frame)
{
    if (holds<AllowanceReply>(frame)) {
        BOOST_OUTCOME_TRY(const auto reply, decodeMessage<AllowanceReply>(frame));
        executeAllowanceActions(allowances_.handleReply(ip, reply, monotonicNow()));
        return true;
    }
    if (holds<AllowanceOffer>(frame)) {
        BOOST_OUTCOME_TRY(const auto offer, decodeMessage<AllowanceOffer>(frame));
        executeAllowanceActions(allowances_.handleOffer(
            ip, offer.available, topology_.proximity(controlHosts_.at(ip).dataCentre),
            monotonicNow()));
        return true;
    }
    return false;
}

void ControlSubscription::requestAllowance(const pooler::RequestAllowance &request)
{
    executeAllowanceActions(allowances_.setWaiting(request.team, request.count, monotonicNow()));
}

void ControlSubscription::executeAllowanceActions(AllowanceActions actions)
{
    for (const auto &[ip, request] : actions.requests) {
        const auto host = controlHosts_.find(ip);
        if (host == controlHosts_.end() || !host->second.client->send(request)) {
            auto further = allowances_.handleDisconnect(ip, monotonicNow());
            executeAllowanceActions(std::move(further));
        }
    }
    allowanceTimer_.set(allowances_.nextDeadline());
    for (auto &decision : actions.decisions) {
        if (decision.granted > 0) {
            eventCallback_(pooler::AllowanceGranted{std::move(decision.team), decision.granted});
        } else {
            eventCallback_(pooler::AllowanceDenied{std::move(decision.team), decision.retryAfter,
                                                   decision.overLimit});
        }
    }
}

} // namespace hyssoprock
