#include "coordinator_fixture.hpp"

#include <algorithm>

#include <criterion/criterion.h>

namespace hyssoprock::test {

using namespace std::chrono_literals;

CoordinatorFixture::CoordinatorFixture()
{
    endpoints = {{"orders-1", {.dataCentre = "dc-a"}},
                 {"orders-2", {.dataCentre = "dc-b"}},
                 {"orders-3", {.dataCentre = "dc-c"}},
                 {"orders-4", {.dataCentre = "dc-a"}}};
    hosts = {{"entry-a", {.dataCentre = "dc-a"}},
             {"entry-b", {.dataCentre = "dc-b"}},
             {"entry-c", {.dataCentre = "dc-c"}}};
    catalog.apply(CatalogCommand{OperatorChange{"declare", 0, "anna", DeclareGroup{"orders", 3}}},
                  1);
    std::uint16_t port = 5000;
    for (const auto &[name, endpoint] : endpoints) {
        const Announcement announcement{
            name, "orders", endpoint.dataCentre, "127.0.0.1:" + std::to_string(++port), 1, 40, 5};
        catalog.apply(CatalogCommand{RecordEndpoint{announcement}}, catalog.appliedIndex() + 1);
    }
    makeCoordinator();
}

void CoordinatorFixture::makeCoordinator()
{
    LeaseSettings lease;
    lease.replaceVoter = 5s;
    coordinator_ = std::make_unique<Coordinator>(
        CoordinatorSettings{"control-a", "dc-a", lease, 10}, catalog, BudgetAllocator{6});
}

void CoordinatorFixture::form()
{
    feed(LeadershipGained{++leaderTerm_});
    const auto formed = runUntil([this] { return active(); }, 5s);
    cr_assert(formed, "the group forms");
    run(1s);
}

void CoordinatorFixture::changeLeader()
{
    makeCoordinator();
    feed(LeadershipGained{++leaderTerm_});
}

void CoordinatorFixture::kill(const std::string &endpoint)
{
    endpoints.at(endpoint).reachable = false;
    for (auto &[name, host] : hosts) {
        host.cutOffFrom.insert(endpoint);
    }
}

void CoordinatorFixture::revive(const std::string &endpoint, bool restarted)
{
    auto &state = endpoints.at(endpoint);
    state.reachable = true;
    if (restarted) {
        state.role = "replica";
        state.term = 0;
        state.primary.clear();
    }
    for (auto &[name, host] : hosts) {
        host.cutOffFrom.erase(endpoint);
    }
}

void CoordinatorFixture::change(decltype(OperatorChange::change) body)
{
    OperatorRequest request;
    request.change = OperatorChange{"change-" + std::to_string(++changes_),
                                    catalog.configuration().revision, "anna", std::move(body)};
    feed(OperatorRequestReceived{++lastRequest_, request});
}

std::size_t CoordinatorFixture::voters() const
{
    const auto &members = view().members;
    return static_cast<std::size_t>(std::count_if(
        members.begin(), members.end(), [](const Member &member) { return member.voter; }));
}

bool CoordinatorFixture::isVoter(const std::string &endpoint) const
{
    return catalog.findMember(endpoint)->voter;
}

void CoordinatorFixture::run(Duration duration)
{
    const auto end = now + duration;
    while (now < end) {
        now += 10ms;
        for (auto &[name, host] : hosts) {
            for (const auto &[endpoint, state] : endpoints) {
                const bool answers = !host.cutOffFrom.contains(endpoint);
                auto &last = host.lastResponseAt.try_emplace(endpoint, now).first->second;
                last = answers ? now : last;
            }
            if (host.connected && now >= host.nextRenewal) {
                renew(name);
            }
        }
        feed(CoordinatorTick{});
    }
}

bool CoordinatorFixture::runUntil(const std::function<bool()> &condition, Duration limit)
{
    for (const auto end = now + limit; now < end;) {
        if (condition()) {
            return true;
        }
        run(10ms);
    }
    return condition();
}

void CoordinatorFixture::renew(const std::string &name)
{
    auto &host = hosts.at(name);
    host.nextRenewal = now + 400ms;
    HostRenewRequest request;
    request.host = name;
    request.dataCentre = host.dataCentre;
    request.incarnation = host.incarnation;
    request.sequence = ++host.sequence;
    request.viewVersion = host.viewVersion;
    for (const auto &[endpoint, last] : host.lastResponseAt) {
        const auto silent = static_cast<std::uint64_t>(toMilliseconds(now - last));
        request.evidence.push_back({endpoint, silent < 250, silent, "", 0, {}});
    }
    if (host.quiesces) {
        request.quiesced = {"orders"};
    }
    for (const auto &member : view().members) {
        if (host.drains && member.state == EndpointState::Draining) {
            request.drained.push_back(member.announcement.endpoint);
        }
    }
    renew(request);
}

void CoordinatorFixture::renew(const HostRenewRequest &request)
{
    renewals_[++lastRequest_] = request.host;
    feed(RenewRequestReceived{lastRequest_, request});
}

void CoordinatorFixture::feed(const CoordinatorEvent &event)
{
    for (const auto &action : coordinator_->handle(event, now, leaderLeaseValid)) {
        perform(action);
    }
}

void CoordinatorFixture::perform(const CoordinatorAction &action)
{
    if (const auto *command = std::get_if<ProposeCommand>(&action)) {
        committed.push_back(command->command);
        const auto result = catalog.apply(command->command, catalog.appliedIndex() + 1);
        feed(CommandCommitted{command->command, result});
    } else if (const auto *call = std::get_if<CallEndpoint>(&action)) {
        respondTo(*call);
    } else if (const auto *renewal = std::get_if<SendRenewResponse>(&action)) {
        auto &host = hosts.at(renewals_.at(renewal->request));
        host.response = renewal->message;
        if (renewal->message.kind == ErrorKind::None) {
            host.leaseEnd = now + shortenedByDrift(1500ms, 10);
            host.viewVersion = host.confirms ? renewal->message.viewVersion : host.viewVersion;
        }
    } else if (const auto *push = std::get_if<PushView>(&action)) {
        for (auto &[name, host] : hosts) {
            if (host.connected && host.confirms
                && host.viewVersion == push->message.previousVersion) {
                host.viewVersion = push->message.viewVersion;
                host.nextRenewal = now;
            }
        }
    } else if (const auto *line = std::get_if<WriteLog>(&action)) {
        log.push_back(line->text);
    } else if (const auto *report = std::get_if<ReportFailover>(&action)) {
        reports.push_back(report->report);
    } else if (const auto *operatorAnswer = std::get_if<SendOperatorResponse>(&action)) {
        operatorResponses.push_back(operatorAnswer->message);
    } else if (const auto *status = std::get_if<SendStatusResponse>(&action)) {
        statusResponses.push_back(status->message);
    }
}

void CoordinatorFixture::respondTo(const CallEndpoint &call)
{
    calls.push_back(call.request);
    const auto &endpoint = endpoints.at(call.endpoint);
    auto served = endpoint.reachable
                      ? serve(call.endpoint, call.request)
                      : Result<EndpointCallResponse>{failure(ErrorKind::Unreachable, "timeout")};
    if (served.has_value()) {
        feed(EndpointCallSucceeded{call.call, served.value()});
    } else {
        feed(EndpointCallFailed{call.call, served.error()});
    }
}

Result<EndpointCallResponse> CoordinatorFixture::serve(const std::string &name,
                                                       const EndpointRequest &request)
{
    auto &endpoint = endpoints.at(name);
    if (const auto *fence = std::get_if<FenceCall>(&request)) {
        endpoint.fenced = std::max(endpoint.fenced, fence->term);
        if (endpoint.role == "primary" && endpoint.term < fence->term) {
            endpoint.role = "fenced";
        }
    } else if (const auto *promote = std::get_if<PromoteCall>(&request)) {
        if (endpoint.refusesPromotion || promote->term < endpoint.fenced) {
            return failure(ErrorKind::Refused, "promotion refused");
        }
        endpoint.role = "primary";
        endpoint.term = promote->term;
        endpoint.primary = name;
        endpoint.position = {promote->term, endpoint.position.index + 1};
        endpoint.voters.clear();
        for (const auto &voter : promote->voters) {
            endpoint.voters.push_back(voter.endpoint);
        }
        if (endpoint.losesPromotionResponse) {
            return failure(ErrorKind::Unreachable, "timeout");
        }
    } else if (const auto *follow = std::get_if<FollowCall>(&request)) {
        if (follow->term < endpoint.fenced || follow->term < endpoint.term) {
            return failure(ErrorKind::Refused, "fenced");
        }
        endpoint.role = "replica";
        endpoint.term = follow->term;
        endpoint.primary = follow->primary;
        endpoint.position = endpoints.at(follow->primary).position; // catches up immediately
    } else if (const auto *voters = std::get_if<VotersCall>(&request)) {
        endpoint.voters.clear();
        for (const auto &voter : voters->voters) {
            endpoint.voters.push_back(voter.endpoint);
        }
    }
    EndpointCallResponse report;
    report.name = name;
    report.role = endpoint.role;
    report.term = endpoint.term;
    report.position = endpoint.position;
    report.majorityIndex =
        endpoint.majorityFollows ? endpoint.position.index : endpoint.majorityIndex;
    report.primary = endpoint.primary;
    report.voters = endpoint.voters;
    return report;
}

} // namespace hyssoprock::test
