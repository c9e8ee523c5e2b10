#include "deployment_world.hpp"

#include <algorithm>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/deployment/document_delta.hpp>
#include <hyssoprock/message/codec.hpp>
#include <support/event_digest.hpp>

namespace hyssoprock::random_runs {

using namespace std::chrono_literals;

namespace {

constexpr Duration heartbeatInterval = 200ms;
constexpr Duration stableWindow = 2s;
constexpr Duration silenceLimit = 2s;
constexpr Duration statusTimeout = 300ms;
constexpr Duration putLimit = 800ms;
constexpr Duration putRetry = 50ms;
constexpr Duration executionLatest = 12s;

} // namespace

void DeploymentWorld::stream(const std::shared_ptr<Subscription> &link, bool toEntry,
                             std::function<void()> what)
{
    auto &direction = toEntry ? link->toEntry : link->toControl;
    direction.messages.push_back(std::move(what));
    direction.last = std::max(direction.last, now_ + delay());
    events_.emplace(direction.last, [this, link, toEntry]() { arrive(link, toEntry); });
}

void DeploymentWorld::arrive(const std::shared_ptr<Subscription> &link, bool toEntry)
{
    const auto &entry = link->entry->name;
    const auto &control = link->control->name;
    const SimulatedProcess &receiver = toEntry
                                           ? static_cast<const SimulatedProcess &>(*link->entry)
                                           : static_cast<const SimulatedProcess &>(*link->control);
    const auto until = std::max(receiver.frozenUntil,
                                toEntry ? cutUntil(control, entry) : cutUntil(entry, control));
    if (until > now_) {
        events_.emplace(until, [this, link, toEntry]() { arrive(link, toEntry); });
        return;
    }
    auto &direction = toEntry ? link->toEntry : link->toControl;
    const auto what = std::move(direction.messages.front());
    direction.messages.pop_front();
    if (toEntry ? link->entryOpen : link->controlOpen) {
        (toEntry ? link->entryHeard : link->controlHeard) = now_;
        what();
    }
}

/// One side closes the connection; the other learns of it like of any message.
void DeploymentWorld::closeSide(const std::shared_ptr<Subscription> &link, bool entrySide)
{
    if (!std::exchange(entrySide ? link->entryOpen : link->controlOpen, false)) {
        return;
    }
    if (entrySide) {
        auto &entry = *link->entry;
        if (entry.up) {
            entry.subscriptions.erase(link->control->name);
            entry.fetch->handleDisconnect(link->control->name);
            if (entry.lease) {
                entry.lease->handleDisconnect(link->control->name);
            }
            entry.positions->handleDisconnect(link->control->name);
            fetchDocument(entry);
            reportChanges(entry, entry.view->handleDisconnect(link->control->name, now_));
        }
    } else {
        std::erase(link->control->subscriptions, link);
    }
    stream(link, !entrySide, [this, link, entrySide]() { closeSide(link, !entrySide); });
}

bool DeploymentWorld::leads(ControlHost &host)
{
    const auto &member = raft.host(host.name);
    return host.up && member.node && member.node->leaderReady()
           && member.node->leaseValid(raft.localNow(member));
}

ControlHost *DeploymentWorld::leaderFor(ControlHost &host)
{
    for (auto &[name, other] : controls) {
        if (leads(other) && !frozen(other)
            && (&other == &host || (reaches(host.name, name) && reaches(name, host.name)))) {
            return &other;
        }
    }
    return nullptr;
}

void DeploymentWorld::startControl(ControlHost &host)
{
    ++host.life;
    host.up = true;
    host.registry = std::make_unique<EndpointRegistry>(heartbeatInterval);
    host.leases = std::make_unique<HostLeaseGrantor>(hostLeaseDuration);
    host.controller = std::make_unique<PromotionController>(
        *host.registry, *host.leases, PromotionSettings{stableWindow, fenced_});
    startSampler(host);
    host.replica.reset();
    host.archive = DocumentArchive{};
    host.replica.restoreCommittedVersion(host.storedVersion);
    host.applied = 0;
    host.results.clear();
    host.leading = false;
    host.knownVersion = 0;
    host.primaries.clear();
    host.entryHosts.clear();
    host.subscriptions.clear();
    host.events.clear();
    host.running = false;
    if (raft.hosts().contains(host.name)) {
        // Only its log names the voters of a host that starts again.
        raft.host(host.name).initialVoters.clear();
        raft.start(host.name);
    } else {
        raft.add(host.name, {"c1", "c2", "c3"}, static_cast<std::int64_t>(random_.below(11)) - 5);
    }
    apply(host);
    for (const auto &entry : raft.host(host.name).restored) {
        if (entry.kind == LogEntryKind::Command) {
            host.replica.recordLoggedCommand(entry.payload);
        }
    }
    for (const auto &record : host.storedEndpoints) {
        take(host, record);
    }
    tick(host);
}

void DeploymentWorld::crash(ControlHost &host, bool loseDisk)
{
    if (host.up) {
        host.up = false;
        host.frozenUntil = Instant{};
        raft.host(host.name).frozenUntil = Duration{};
        for (const auto &link : std::vector{host.subscriptions}) {
            closeSide(link, false);
        }
        if (raft.isUp(host.name)) {
            raft.crash(host.name);
        }
    }
    if (loseDisk) {
        raft.loseData(host.name);
        host.storedEndpoints.clear();
        host.storedVersion = 0;
    }
}

bool DeploymentWorld::allDisksWhole()
{
    return std::all_of(controls.begin(), controls.end(), [this](const auto &item) {
        // A host without data has no voters, and recovers until it holds what was committed.
        return item.second.up && raft.isUp(item.first) && !raft.node(item.first).recovering()
               && raft.node(item.first).voters().size() == controls.size();
    });
}

void DeploymentWorld::propose(ControlHost &host, const ControlCommand &command,
                              std::function<void(std::optional<ControlResult>)> done)
{
    const auto id = ++nextProposal_;
    proposals_.emplace(id, Proposal{&host, host.life, {}, std::move(done)});
    raft.deliver(host.name, raft::Propose{id, encode(command)});
}

void DeploymentWorld::apply(ControlHost &host)
{
    const auto &committed = raft.history.committed();
    while (raft.isUp(host.name) && host.applied < raft.host(host.name).state.index) {
        const auto &entry = committed.at(++host.applied);
        if (entry.kind != LogEntryKind::Command) {
            continue;
        }
        host.replica.apply(entry.payload, host.applied);
        const auto &result = host.results[host.applied] = host.replica.lastResult();
        const auto command = decode<ControlCommand>(entry.payload).value();
        if (const auto *put = std::get_if<PutDocument>(&command.body);
            put != nullptr && result.changed) {
            check(stored_.emplace(put->version, put->document).first->second == put->document,
                  "a version has one content on every control host");
        }
    }
}

void DeploymentWorld::advanceRaft()
{
    raft.run(now_ - start_ - raft.now());
    for (auto &[name, host] : controls) {
        if (host.up && !raft.isUp(name)) {
            // It died between two operations on its disk.
            crash(host);
            later(500ms, [this, &host = host]() {
                if (!host.up) {
                    startControl(host);
                }
            });
        }
        if (!host.up || frozen(host)) {
            continue;
        }
        apply(host);
        const auto leading = raft.node(name).leaderReady();
        if (leading == host.leading) {
            continue;
        }
        host.leading = leading;
        if (!leading) {
            post(host, promotion::LeadershipLost{});
            continue;
        }
        ++report.events["control leader"];
        post(host, promotion::EntryHostsChanged{host.entryHosts});
        host.leases->beginLeadership(now_);
        promotion::LeadershipGained gained;
        for (const auto &[service, record] : host.replica.state().promotions()) {
            gained.promotions.push_back(record);
            if (const auto since = host.replica.unsettledSince(service)) {
                gained.unsettledSince.emplace(service, *since);
            }
        }
        gained.termStarts = host.replica.state().termStarts();
        post(host, std::move(gained));
    }
    finishProposals();
}

void DeploymentWorld::finishProposals()
{
    for (const auto &appended : raft.appended) {
        if (const auto found = proposals_.find(appended.proposal); found != proposals_.end()) {
            found->second.position = appended.position;
        }
    }
    std::set<std::uint64_t> rejected;
    for (const auto &event : raft.rejected) {
        rejected.insert(event.proposal);
    }
    raft.appended.clear();
    raft.rejected.clear();
    std::vector<std::function<void()>> ended;
    std::erase_if(proposals_, [&](const auto &item) {
        const auto &[id, proposal] = item;
        auto &host = *proposal.host;
        if (!host.up || host.life != proposal.life) {
            return true;
        }
        const auto applied = proposal.position && host.applied >= proposal.position->index;
        if (frozen(host) || (!applied && !rejected.contains(id))) {
            return false;
        }
        std::optional<ControlResult> result;
        if (applied
            && raft.history.committed().at(proposal.position->index).position
                   == *proposal.position) {
            result = host.results.at(proposal.position->index);
        }
        ended.push_back([done = proposal.done, result]() { done(result); });
        return true;
    });
    for (const auto &done : ended) {
        done();
    }
}

void DeploymentWorld::tick(ControlHost &host)
{
    if (const auto known = host.replica.newestCommittedDocument(); known.version > archived(host)) {
        host.archive.add(
            std::make_shared<const DeploymentDocument>(documents_.at(std::string{known.document})));
    }
    for (const auto &link : std::vector{host.subscriptions}) {
        if (now_ - link->controlHeard > silenceLimit) {
            closeSide(link, false);
            continue;
        }
        update(host, link);
        answerRequest(link);
        if (now_ - start_ - (now_ - start_) / 500ms * 500ms < 100ms) {
            stream(link, true, []() {});
        }
    }
    std::vector<std::string> names;
    for (const auto &link : host.subscriptions) {
        names.push_back(link->entry->name);
    }
    if (names != host.entryHosts) {
        host.entryHosts = names;
        post(host, promotion::EntryHostsChanged{std::move(names)});
    }
    host.storedEndpoints = host.registry->snapshot();
    host.storedVersion = std::max(host.storedVersion, host.replica.state().version());
    apply(host, host.registry->expire(now_));
    samplePrimaries(host);
    post(host, 100ms, [this, &host]() { tick(host); });
}

void DeploymentWorld::update(ControlHost &host, const std::shared_ptr<Subscription> &link)
{
    const auto &state = host.replica.state();
    const auto *leader = leaderFor(host);
    DeploymentUpdate update;
    update.complete = !link->complete;
    update.documentVersion = archived(host);
    update.entryHosts = static_cast<std::uint32_t>(entries.size());
    if (!link->complete
        && (leader == nullptr || state.version() < leader->replica.state().version())) {
        if (leader != nullptr || link->provisional || link->version != 0
            || update.documentVersion == 0) {
            return;
        }
        link->provisional = true;
        update.endpoints = host.registry->snapshot();
    } else {
        if (update.complete) {
            update.endpoints = host.registry->snapshot();
            for (const auto &[service, primary] : host.primaries) {
                update.primaries.push_back(primary);
            }
        } else if (update.documentVersion <= link->version) {
            return;
        }
        link->complete = true;
    }
    link->version = std::max(link->version, update.documentVersion);
    stream(link, true,
           [this, link, update]() { receive(*link->entry, link->control->name, update); });
}

/// Answers like EntryHostPublisher: only once the entry host was told of a version.
void DeploymentWorld::answerRequest(const std::shared_ptr<Subscription> &link)
{
    if (!link->wanted || !(link->complete || link->provisional)) {
        return;
    }
    const auto request = *std::exchange(link->wanted, std::nullopt);
    const auto &archive = link->control->archive;
    if (archived(*link->control) <= request.held) {
        return;
    }
    const auto base = archive.deltaBase(request.held, request.digest);
    ++report.events[base == 0 ? "whole document sent" : "difference of documents sent"];
    const auto send = [this, link, answer = compressDelta(archive.deltaFrom(base))]() {
        stream(link, true,
               [this, link, answer]() { receive(*link->entry, link->control->name, answer); });
    };
    const auto fate = documentAnswersFail_ ? random_.below(100) : 100;
    if (fate < 5) {
        ++report.faults["document answer lost"];
    } else if (fate < 15) {
        ++report.faults["document answer late"];
        later(random_.between(50ms, 3s), send);
    } else {
        send();
    }
}

void DeploymentWorld::toEntryHosts(ControlHost &host, DeploymentUpdate update)
{
    update.documentVersion = archived(host);
    for (const auto &link : host.subscriptions) {
        if (link->complete || link->provisional) {
            stream(link, true,
                   [this, link, update]() { receive(*link->entry, link->control->name, update); });
        }
    }
}

void DeploymentWorld::take(ControlHost &host, const EndpointRecord &record)
{
    const auto changes = host.registry->handleHeartbeat(record, now_);
    apply(host, changes);
    if (changes.newer) {
        share(host, {record}, {});
    }
}

void DeploymentWorld::apply(ControlHost &host, const RegistryChanges &changes)
{
    if (changes.empty()) {
        return;
    }
    DeploymentUpdate update;
    update.endpoints = changes.changed;
    update.gone = changes.gone;
    toEntryHosts(host, update);
    if (!changes.gone.empty()) {
        post(host, promotion::EndpointsRemoved{});
    }
    for (const auto &record : changes.changed) {
        post(host, promotion::RegistryChanged{record.service});
    }
}

void DeploymentWorld::share(ControlHost &host, const std::vector<EndpointRecord> &records,
                            const std::vector<EndpointGone> &gone)
{
    for (auto &[name, other] : controls) {
        if (&other == &host || !reaches(host.name, name)) {
            continue;
        }
        post(other, delay(), [this, &other = other, records, gone]() {
            for (const auto &record : records) {
                apply(other, other.registry->handleHeartbeat(record, now_));
            }
            for (const auto &incarnation : gone) {
                apply(other, other.registry->handleLeave(incarnation, now_));
            }
        });
    }
}

void DeploymentWorld::post(ControlHost &host, PromotionEvent event)
{
    host.events.push_back(std::move(event));
    if (std::exchange(host.running, true)) {
        return;
    }
    while (!host.events.empty()) {
        const auto next = std::move(host.events.front());
        host.events.pop_front();
        ++report.steps;
        const auto actions = host.controller->handle(next, now_);
        test::eventDigest().record(host.name, now_, next.index(), actions.size());
        for (const auto &action : actions) {
            std::visit([&](const auto &body) { execute(host, body); }, action);
        }
    }
    host.running = false;
}

/// Answers like ControlProcess: only as leader, and only a host that was sent all primaries.
void DeploymentWorld::receive(ControlHost &host, const std::shared_ptr<Subscription> &link,
                              const HostLeaseRequest &request)
{
    if (!host.leading || !leads(host) || !link->complete) {
        return;
    }
    const auto grant = host.leases->renew(link->entry->name, request, now_);
    for (const auto &release : request.released) {
        post(host, promotion::PrimaryReleased{release.service});
    }
    if (grant) {
        stream(link, true, [this, link, grant = *grant]() {
            auto &entry = *link->entry;
            if (const auto until = entry.lease->handleGrant(link->control->name, grant, now_)) {
                handle(entry, pooler::LeaseExtended{*until});
            }
        });
    }
}

void DeploymentWorld::execute(ControlHost &host, const promotion::RequestEvidence &action)
{
    for (const auto &link : host.subscriptions) {
        if (!action.hosts.empty()
            && std::find(action.hosts.begin(), action.hosts.end(), link->entry->name)
                   == action.hosts.end()) {
            continue;
        }
        stream(link, true, [this, link, action]() {
            handle(*link->entry, pooler::EvidenceRequested{action.service, action.endpoint});
        });
    }
}

void DeploymentWorld::execute(ControlHost &host, const promotion::SendOperation &action)
{
    const auto stepsDown = action.operation == EndpointOperation::StepDown && !fenced_;
    check(action.operation == EndpointOperation::Status || stepsDown,
          "asynchronous services are not paused");
    const promotion::OperationCompleted unanswered{
        action.operationId, action.endpoint, {}, false, true};
    const auto there = delay();
    const auto back = there + delay();
    const auto found = endpoints_.find(action.endpoint);
    const auto runs = found != endpoints_.end() && found->second.address == action.address
                      && group(action.service).isUp(action.endpoint);
    if (runs && reaches(host.name, action.endpoint) && reaches(action.endpoint, host.name)
        && found->second.frozenUntil <= now_) {
        if (stepsDown) {
            ++report.events["primary stepped down"];
            group(action.service).stepDown(action.endpoint, action.term);
        }
        const promotion::OperationCompleted answer{action.operationId, action.endpoint,
                                                   group(action.service).status(action.endpoint),
                                                   true, true};
        post(host, back, [this, &host, answer]() { post(host, answer); });
    } else {
        post(host, runs ? statusTimeout : back,
             [this, &host, unanswered]() { post(host, unanswered); });
    }
}

void DeploymentWorld::execute(ControlHost &host, const promotion::Propose &action)
{
    propose(host, action.command, [this, &host, action](std::optional<ControlResult> result) {
        if (const auto *order = orderOf(action.command)) {
            post(host, promotion::OrderProposalCompleted{order->service, action.proposalId,
                                                         result ? std::optional{result->token}
                                                                : std::nullopt});
        } else if (const auto *settled = std::get_if<SettlePromotion>(&action.command.body)) {
            post(host, promotion::SettlementProposalCompleted{settled->service, settled->token,
                                                              result.has_value()});
        }
    });
}

void DeploymentWorld::execute(ControlHost &host, const promotion::SendPromotionCall &action)
{
    const auto end = [this, &host, action](PromotionOutcome outcome) {
        post(host,
             promotion::CallCompleted{action.service, action.endpoint, action.token, outcome});
    };
    if (!leads(host)) {
        post(host, Duration{}, [end]() { end(PromotionOutcome::Limited); });
        return;
    }
    ++report.events["promotion call"];
    check(tokens_.emplace(action.token, host.name).second, "each promotion call has a new token");
    auto &highest = highestSent_[action.service];
    check(action.token > highest, "the tokens of promotion calls rise");
    highest = action.token;
    const auto fate = callFateUntil_ > now_ ? callFate_ : CallFate::Normal;
    const auto there = random_.between(2ms, 30ms);
    switch (fate) {
    case CallFate::Lost:
        ++report.faults["promotion call lost"];
        break;
    case CallFate::Limited:
        ++report.faults["promotion call refused"];
        post(host, there, [end]() { end(PromotionOutcome::Limited); });
        break;
    case CallFate::Late:
        ++report.faults["promotion call executed late"];
        later(random_.between(100ms, executionLatest), [this, action]() { (void)promote(action); });
        if (random_.chance(50)) {
            post(host, there, [end]() { end(PromotionOutcome::NoAnswer); });
        }
        break;
    case CallFate::Normal:
        later(there, [this, &host, life = host.life, action, end]() {
            const auto outcome = promote(action);
            const auto back = random_.between(2ms, 30ms);
            events_.emplace(now_ + back, [this, &host, life, end, outcome]() {
                deliver(host, life, [end, outcome]() { end(outcome); });
            });
        });
        break;
    }
}

/// Carries a call out, as platform/protocol.md describes the platform.
PromotionOutcome DeploymentWorld::promote(const promotion::SendPromotionCall &call)
{
    auto &highest = highestExecuted_[call.service];
    auto &endpoints = group(call.service);
    if ((fenced_ && call.token < highest) || !endpoints.isUp(call.endpoint)) {
        ++report.events["promotion call fenced"];
        return PromotionOutcome::Refused;
    }
    highest = std::max(highest, call.token);
    later(random_.between(100ms, 500ms), [this, call, &endpoints]() {
        if ((!fenced_ || highestExecuted_[call.service] == call.token)
            && endpoints.isUp(call.endpoint)) {
            ++report.events["promotion"];
            // Also where the endpoint was primary until it stepped down.
            endpoints.promote(call.endpoint);
            check(endpoints.record(call.endpoint).role == EndpointRole::Primary,
                  "an executed promotion makes its endpoint primary");
        }
    });
    return PromotionOutcome::Accepted;
}

void DeploymentWorld::execute(ControlHost &host, const promotion::AnnouncePrimary &action)
{
    auto &known = host.primaries[action.primary.service];
    if (action.primary.epoch < known.epoch) {
        return;
    }
    known = action.primary;
    DeploymentUpdate update;
    update.primaries.push_back(action.primary);
    toEntryHosts(host, update);
}

void DeploymentWorld::execute(ControlHost & /*host*/, const promotion::LogDecision & /*action*/) {}

std::string DeploymentWorld::describe(DeploymentDocument document)
{
    auto text = "document " + std::to_string(documents_.size() + 1) + " of version "
                + std::to_string(document.version);
    documents_.emplace(text, std::move(document));
    return text;
}

void DeploymentWorld::put(const std::string &text, std::function<void(std::optional<int>)> done)
{
    auto &host =
        std::next(controls.begin(), static_cast<std::ptrdiff_t>(random_.below(controls.size())))
            ->second;
    const auto answered = std::make_shared<bool>(false);
    const auto finish = [this, done, answered](std::optional<int> status) {
        if (!std::exchange(*answered, true)) {
            done(status);
        }
    };
    later(1s, [finish]() { finish(std::nullopt); });
    if (random_.chance(5)) {
        ++report.faults["operator's call lost"];
        return;
    }
    post(host, delay(), [this, &host, text, finish]() {
        if (validate(documents_.at(text)).has_error()) {
            finish(400);
            return;
        }
        attemptPut(host, text, now_ + putLimit, [this, finish](int status) {
            if (random_.chance(10)) {
                ++report.faults["operator's answer lost"];
            } else {
                later(delay(), [finish, status]() { finish(status); });
            }
        });
    });
}

void DeploymentWorld::attemptPut(ControlHost &host, const std::string &text, Instant until,
                                 std::function<void(int)> answer)
{
    const auto again = [this, &host, text, until, answer]() {
        attemptPut(host, text, until, answer);
    };
    if (now_ >= until) {
        answer(503);
        return;
    }
    auto *leader = leaderFor(host);
    if (leader == nullptr) {
        post(host, putRetry, again);
        return;
    }
    const auto version = documents_.at(text).version;
    if (version <= leader->replica.state().version()) {
        answer(200);
        return;
    }
    propose(*leader, {PutDocument{version, text}},
            [this, &host, again, answer, life = host.life](std::optional<ControlResult> result) {
                if (host.life != life || !host.up) {
                    return;
                }
                if (result) {
                    post(host, delay(), [answer]() { answer(200); });
                } else {
                    post(host, putRetry, again);
                }
            });
}

void DeploymentWorld::beat(const std::string &id)
{
    auto &endpoint = endpoints_.at(id);
    if (!group(endpoint.service).isUp(id)) {
        return;
    }
    if (endpoint.frozenUntil > now_) {
        events_.emplace(endpoint.frozenUntil, [this, id]() { beat(id); });
        return;
    }
    auto record = group(endpoint.service).record(id);
    record.sequence = ++endpoint.sequence;
    auto &control = controls.at(endpoint.control);
    if (control.up && !frozen(control) && reaches(id, control.name)) {
        post(control, delay(), [this, &control, record]() { take(control, record); });
    } else {
        endpoint.control = "c" + std::to_string(1 + random_.below(controls.size()));
    }
    if (random_.chance(4)) {
        // A copy that arrives after later heartbeats, perhaps of another incarnation.
        ++report.faults["heartbeat late"];
        auto &other = controls.at("c" + std::to_string(1 + random_.below(controls.size())));
        later(random_.between(50ms, 4s), [this, &other, record]() {
            post(other, Duration{}, [this, &other, record]() { take(other, record); });
        });
    }
    endpoint.beatAt = now_ + heartbeatInterval;
    events_.emplace(endpoint.beatAt, [this, id]() {
        if (endpoints_.at(id).beatAt == now_) {
            beat(id);
        }
    });
}

} // namespace hyssoprock::random_runs
