#include <hyssoprock/deployment/control_state.hpp>

#include <utility>
#include <variant>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/deployment/term_history.hpp>
#include <hyssoprock/message/codec.hpp>

namespace hyssoprock {

namespace {

Result<TermStartsSnapshot> decodeSnapshot(std::string_view bytes)
{
    if (auto decoded = decode<ControlSnapshot>(bytes); !decoded.has_error()) {
        return TermStartsSnapshot{{std::move(decoded.value()), {}}, {}};
    }
    if (auto decoded = decode<MembersSnapshot>(bytes); !decoded.has_error()) {
        return TermStartsSnapshot{std::move(decoded.value()), {}};
    }
    return decode<TermStartsSnapshot>(bytes);
}

} // namespace

const OrderPromotion *orderOf(const ControlCommand &command) noexcept
{
    if (const auto *const order = std::get_if<OrderPromotionAt>(&command.body)) {
        return &order->order;
    }
    return std::get_if<OrderPromotion>(&command.body);
}

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

ControlResult ControlState::applyCommand(const OrderPromotionAt &command)
{
    const auto result = applyCommand(command.order);
    auto &starts = termStarts_[command.order.service];
    starts.service = command.order.service;
    starts.proposed = command.start;
    return result;
}

ControlResult ControlState::applyCommand(const OrderPromotion &command)
{
    if (const auto starts = termStarts_.find(command.service); starts != termStarts_.end()) {
        // The call of an order without an answer may have been executed.
        recordTermStart(starts->second.known, starts->second.proposed);
        starts->second.proposed = {};
    }
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
    if (const auto starts = termStarts_.find(command.service); starts != termStarts_.end()) {
        if (command.promoted) {
            recordTermStart(starts->second.known, starts->second.proposed);
        }
        starts->second.proposed = {};
    }
    if (const auto members = members_.find(command.service);
        command.promoted && members != members_.end()) {
        // The platform may not have executed the call yet.
        members->second.primaryAddress.clear();
    }
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

ControlResult ControlState::applyCommand(const RecordMembers &command)
{
    auto &members = members_[command.service];
    const auto before = members;
    for (const auto &member : command.members) {
        members.endpoints[member.address] = member.endpoint;
    }
    members.primaryAddress = command.primaryAddress;
    return {members != before, 0};
}

ControlResult ControlState::applyCommand(const ForgetMembers &command)
{
    return {members_.erase(command.service) != 0, 0};
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
    if (members_.empty() && termStarts_.empty()) {
        return encode(snapshot);
    }
    MembersSnapshot extended{std::move(snapshot), {}};
    for (const auto &[service, members] : members_) {
        MembersRecord record{service, {}, members.primaryAddress};
        for (const auto &[address, endpoint] : members.endpoints) {
            record.members.push_back({address, endpoint});
        }
        extended.members.push_back(std::move(record));
    }
    if (termStarts_.empty()) {
        return encode(extended);
    }
    TermStartsSnapshot withTerms{std::move(extended), {}};
    for (const auto &[service, starts] : termStarts_) {
        withTerms.termStarts.push_back(starts);
    }
    return encode(withTerms);
}

Result<void> ControlState::restoreSnapshot(std::string_view bytes)
{
    auto decoded = decodeSnapshot(bytes);
    if (decoded.has_error()) {
        return decoded.as_failure();
    }
    auto &snapshot = decoded.value().state.state;
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
    std::map<std::string, ServiceMembers> members;
    for (auto &record : decoded.value().state.members) {
        auto &service = members[record.service];
        service.primaryAddress = std::move(record.primaryAddress);
        for (auto &member : record.members) {
            service.endpoints.emplace(std::move(member.address), std::move(member.endpoint));
        }
    }
    std::map<std::string, TermStartsRecord> termStarts;
    for (auto &record : decoded.value().termStarts) {
        auto &service = termStarts[record.service];
        service = std::move(record);
    }
    check(snapshot.version >= version_, "the document version must not decrease");
    check(snapshot.lastToken >= lastToken_, "the fencing token must not decrease");
    version_ = snapshot.version;
    document_ = std::move(snapshot.document);
    lastToken_ = snapshot.lastToken;
    promotions_ = std::move(promotions);
    unfinishedResumes_ = std::move(resumes);
    members_ = std::move(members);
    termStarts_ = std::move(termStarts);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace hyssoprock
