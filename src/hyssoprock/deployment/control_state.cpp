#include <hyssoprock/deployment/control_state.hpp>

#include <utility>
#include <variant>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/message/codec.hpp>

namespace hyssoprock {

ControlResult ControlState::apply(const ControlCommand &command)
{
    const auto version = version_;
    const auto token = lastToken_;
    const auto result =
        std::visit([this](const auto &known) { return applyCommand(known); }, command.body);
    check(version_ >= version, "the document version must not decrease");
    check(lastToken_ >= token, "the fencing token must not decrease");
    return result;
}

ControlResult ControlState::applyCommand(const PutDocument &command)
{
    if (command.version <= version_) {
        return {};
    }
    version_ = command.version;
    document_ = command.document;
    return {true, 0};
}

ControlResult ControlState::applyCommand(const OrderPromotion &command)
{
    ++lastToken_;
    promotions_[command.service] =
        PromotionRecord{command.service, command.endpoint, lastToken_,  false,
                        false,           command.replaced, command.term};
    return {true, lastToken_};
}

ControlResult ControlState::applyCommand(const SettlePromotion &command)
{
    const auto found = promotions_.find(command.service);
    if (found == promotions_.end() || found->second.token != command.token
        || found->second.settled) {
        return {};
    }
    found->second.settled = true;
    found->second.promoted = command.promoted;
    return {true, 0};
}

ControlResult ControlState::applyCommand(const IntendResume &command)
{
    if (command.endpoints.empty()) {
        return {};
    }
    auto &unfinished = unfinishedResumes_[command.service];
    const auto before = unfinished.size();
    unfinished.insert(command.endpoints.begin(), command.endpoints.end());
    return {unfinished.size() != before, 0};
}

ControlResult ControlState::applyCommand(const FinishResume &command)
{
    const auto found = unfinishedResumes_.find(command.service);
    if (found == unfinishedResumes_.end()) {
        return {};
    }
    std::size_t erased = 0;
    for (const auto &endpoint : command.endpoints) {
        erased += found->second.erase(endpoint);
    }
    if (found->second.empty()) {
        unfinishedResumes_.erase(found);
    }
    return {erased != 0, 0};
}

std::string ControlState::encodeSnapshot() const
{
    ControlSnapshot snapshot{version_, document_, lastToken_, {}, {}};
    for (const auto &[service, record] : promotions_) {
        snapshot.promotions.push_back(record);
    }
    for (const auto &[service, endpoints] : unfinishedResumes_) {
        snapshot.resumes.push_back({service, {endpoints.begin(), endpoints.end()}});
    }
    return encode(snapshot);
}

Result<void> ControlState::restoreSnapshot(std::string_view bytes)
{
    auto decoded = decode<ControlSnapshot>(bytes);
    if (decoded.has_error()) {
        return decoded.as_failure();
    }
    auto &snapshot = decoded.value();
    std::map<std::string, PromotionRecord> promotions;
    for (auto &record : snapshot.promotions) {
        if (record.token > snapshot.lastToken) {
            return failure(ErrorKind::ProtocolViolation,
                           "the token of an order exceeds the last token");
        }
        promotions.emplace(record.service, record);
    }
    std::map<std::string, std::set<std::string>> resumes;
    for (auto &record : snapshot.resumes) {
        resumes[record.service].insert(record.endpoints.begin(), record.endpoints.end());
    }
    check(snapshot.version >= version_, "the document version must not decrease");
    check(snapshot.lastToken >= lastToken_, "the fencing token must not decrease");
    version_ = snapshot.version;
    document_ = std::move(snapshot.document);
    lastToken_ = snapshot.lastToken;
    promotions_ = std::move(promotions);
    unfinishedResumes_ = std::move(resumes);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace hyssoprock
