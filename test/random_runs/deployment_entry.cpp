#include "deployment_world.hpp"

#include <algorithm>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/deployment/document_delta.hpp>
#include <support/pooler_world.hpp>

namespace hyssoprock::random_runs {

using namespace std::chrono_literals;

namespace {

// As in the shell of the entry role.
constexpr Duration retention = 1s;
constexpr Duration silenceMost = 2s;
constexpr Duration tickInterval = 100ms;
constexpr Duration transactionGrace = 3s;
constexpr Duration grace = 6s;
/// After the loss of a machine, endpoints keep its connections for up to this long.
constexpr Duration keptLongest = 3s;
/// Section 9 of docs/platform.md: a draining endpoint gets no new work after this.
constexpr Duration drainBound = 7s;

constexpr std::uint64_t hostShift = 32;

std::uint64_t numberOf(const EntryHost &host, const std::map<std::uint64_t, EntryHost *> &hosts)
{
    // The newest number is that of the running process.
    const auto found = std::find_if(hosts.rbegin(), hosts.rend(),
                                    [&](const auto &item) { return item.second == &host; });
    return found->first;
}

/// Applies a function to the connection that an event or action names.
template <class Variant, class Function>
void renameConnection(Variant &variant, const Function &rename)
{
    std::visit(
        [&](auto &body) {
            if constexpr (requires { body.connection; }) {
                body.connection = rename(body.connection);
            }
        },
        variant);
}

} // namespace

void DeploymentWorld::startEntry(EntryHost &host)
{
    ++host.life;
    host.up = true;
    host.stopping = false;
    host.version = 0;
    host.ended.clear();
    host.subscriptions.clear();
    hostByNumber_[nextHostNumber_++] = &host;
    host.view = std::make_unique<DeploymentView>(retention);
    host.fetch = std::make_unique<DocumentFetchScheduler>(random_.next());
    host.pooler = std::make_unique<Pooler>(
        PoolerSettings{host.name, Topology{"a"}, false, false, !fenced_}, random_.next(), now_);
    host.lease =
        fenced_ ? nullptr : std::make_unique<HostLeaseHolder>(random_.next(), hostLeaseDuration);
    host.positions = std::make_unique<PositionFeed>(positionInterval, random_.next());
    tick(host);
}

void DeploymentWorld::crash(EntryHost &host)
{
    if (!host.up) {
        return;
    }
    host.up = false;
    host.frozenUntil = Instant{};
    host.pooler.reset();
    for (const auto &[id, link] : std::map{host.subscriptions}) {
        closeSide(link, true);
    }
    std::vector<CallerId> gone;
    for (const auto &[id, caller] : callers) {
        if (caller.host == &host) {
            gone.push_back(id);
        }
    }
    for (const auto &[id, left] : leaving_) {
        if (left == &host) {
            gone.push_back(id);
        }
    }
    std::for_each(gone.begin(), gone.end(), [this](CallerId id) { closeCaller(id); });
    const auto number = numberOf(host, hostByNumber_);
    const auto machineLost = random_.chance(50);
    std::erase_if(connections_, [&](const auto &item) {
        if (item.first >> hostShift != number) {
            return false;
        }
        group(item.second)
            .abandon(item.first, random_.between(0ms, machineLost ? keptLongest : 5ms));
        return true;
    });
}

void DeploymentWorld::stop(EntryHost &host)
{
    if (host.up && !host.stopping && !frozen(host)) {
        host.stopping = true;
        handle(host, pooler::ShutdownStarted{transactionGrace, grace});
        later(grace + 100ms, [this, &host, life = host.life]() {
            check(!host.up || host.life != life || host.frozenUntil > now_ - grace,
                  "a process ends within its grace period");
        });
    }
}

void DeploymentWorld::handle(EntryHost &host, PoolerEvent event)
{
    if (host.pooler) {
        ++report.steps;
        const auto eventIndex = event.index();
        const auto actions = host.pooler->handle(std::move(event), now_);
        test::recordInDigest(host.name, now_, eventIndex, actions);
        carryOut(host, actions);
    }
}

void DeploymentWorld::carryOut(EntryHost &host, const PoolerActions &actions)
{
    const auto global = [number = numberOf(host, hostByNumber_)](ConnectionId id) {
        return number << hostShift | id;
    };
    auto finished = false;
    for (auto action : actions) {
        renameConnection(action, global);
        if (const auto *open = std::get_if<pooler::OpenConnection>(&action)) {
            connections_[open->connection] = open->service;
            group(open->service).execute(action, now_);
        } else if (const auto *send = std::get_if<pooler::SendCommand>(&action)) {
            if (!host.ended.contains(send->connection)) {
                group(connections_.at(send->connection)).execute(action, now_);
            }
        } else if (const auto *close = std::get_if<pooler::CloseConnection>(&action)) {
            const auto found = connections_.find(close->connection);
            if (host.ended.erase(close->connection) == 0 && found != connections_.end()) {
                group(found->second).execute(action, now_);
            }
            connections_.erase(close->connection);
        } else if (const auto *refuse = std::get_if<pooler::RefuseCaller>(&action)) {
            ++report.events["caller refused"];
            closeCaller(refuse->caller);
        } else if (const auto *answered = std::get_if<pooler::AnswerCaller>(&action)) {
            expectations.recordAnswer(answered->caller, answered->answer, now_);
            if (const auto found = callers.find(answered->caller); found != callers.end()) {
                found->second.unanswered.pop_front();
                found->second.state = answered->answer.state;
                found->second.last = answered->answer;
            }
            ++report.events[answered->answer.kind == AnswerKind::Success ? "answer success"
                            : answered->answer.kind == AnswerKind::Unknown
                                ? "answer unknown"
                                : "answer refused or failed"];
        } else if (const auto *closed = std::get_if<pooler::CloseCaller>(&action)) {
            closeCaller(closed->caller);
        } else if (const auto *evidence = std::get_if<pooler::ReportEvidence>(&action)) {
            const EvidenceReport report_{host.name, evidence->service, evidence->endpoint,
                                         evidence->reachability};
            for (const auto &[name, link] : host.subscriptions) {
                stream(link, false, [this, link = link, report_]() {
                    post(*link->control, promotion::EvidenceReceived{report_});
                });
            }
        } else if (const auto *released = std::get_if<pooler::PrimaryReleased>(&action)) {
            host.lease->release({released->service, released->epoch});
            requestLease(host);
        } else if (std::holds_alternative<pooler::ShutdownFinished>(action)) {
            finished = true;
            if (host.lease) {
                host.lease->leave();
                requestLease(host);
            }
        }
    }
    if (finished) {
        crash(host);
    }
}

/// Passes an event of a connection to its entry host, after a freeze if it stands still.
void DeploymentWorld::dispatch(PoolerEvent event)
{
    ConnectionId id = 0;
    renameConnection(event, [&id](ConnectionId connection) {
        id = connection;
        return connection & ((ConnectionId{1} << hostShift) - 1);
    });
    auto &host = *hostByNumber_.at(id >> hostShift);
    const auto ends = std::holds_alternative<pooler::ConnectionEnded>(event);
    if (ends) {
        host.ended.insert(id);
    }
    post(host, Duration{}, [this, &host, id, ends, event]() {
        // The Pooler may have closed the connection before it read the event.
        if (connections_.contains(id)) {
            if (ends) {
                host.ended.erase(id);
                connections_.erase(id);
            }
            handle(host, event);
        }
    });
}

void DeploymentWorld::receive(EntryHost &host, const std::string &control,
                              const DeploymentUpdate &update)
{
    const auto proximity = control == "c1" ? Proximity::SameDataCentre : Proximity::SameRegion;
    host.fetch->handleAnnouncement(control, proximity, update.documentVersion, now_);
    fetchDocument(host);
    reportChanges(host, host.view->applyUpdate(control, update, now_));
}

/// As ControlSubscription does.
void DeploymentWorld::receive(EntryHost &host, const std::string &control,
                              const DocumentAnswer &answer)
{
    if (answer.version > host.version) {
        const auto delta = decompressDelta(answer);
        check(delta.has_value(), "an undamaged answer is read");
        auto document = applyDelta(host.view->document().get(), delta.value());
        if (document.has_error()) {
            ++report.events["document answer of another base"];
            host.fetch->handleFailure(control, now_);
            fetchDocument(host);
            return;
        }
        const auto shared = std::make_shared<const DeploymentDocument>(std::move(document.value()));
        check(!validate(*shared).has_error(), "an invalid document is not in force");
        if (host.view->adoptDocument(shared)) {
            const auto version = shared->version;
            check(version > host.version, "an entry host does not go back to an older version");
            const auto committed = stored_.find(version);
            check(committed != stored_.end() && documents_.at(committed->second) == *shared,
                  "only committed documents are in force");
            host.version = version;
            expectations.setDocument(shared, host.name);
            handle(host, pooler::DocumentChanged{shared});
        }
    }
    host.fetch->handleAnswer(control, host.version, now_);
    fetchDocument(host);
}

void DeploymentWorld::fetchDocument(EntryHost &host)
{
    while (const auto fetchRequest = host.fetch->nextRequest(now_)) {
        const auto &document = host.view->document();
        DocumentRequest request;
        if (document && !fetchRequest->wholeDocument) {
            request = {document->version, computeDigest(*document)};
        }
        if (const auto found = host.subscriptions.find(fetchRequest->host);
            found != host.subscriptions.end()) {
            stream(found->second, false, [this, link = found->second, request]() {
                link->wanted = request;
                answerRequest(link);
            });
            return;
        }
        host.fetch->handleDisconnect(fetchRequest->host);
    }
}

void DeploymentWorld::reportChanges(EntryHost &host, DeploymentViewChanges changes)
{
    if (changes.endpoints) {
        handle(host, pooler::EndpointsChanged{host.view->endpoints()});
    }
    for (auto &primary : changes.primaries) {
        handle(host, pooler::PrimaryChanged{std::move(primary)});
    }
    if (changes.entryHosts) {
        handle(host, pooler::EntryHostsChanged{host.view->entryHosts()});
    }
}

void DeploymentWorld::tick(EntryHost &host)
{
    for (auto &[name, control] : controls) {
        const auto found = host.subscriptions.find(name);
        if (found != host.subscriptions.end()) {
            const auto link = found->second;
            if (now_ - link->entryHeard >= silenceMost) {
                closeSide(link, true);
            } else if (random_.chance(20)) {
                stream(link, false, []() {});
            }
        } else if (control.up && !frozen(control) && reaches(host.name, name)
                   && reaches(name, host.name)) {
            auto link = std::make_shared<Subscription>();
            link->entry = &host;
            link->control = &control;
            link->entryHeard = link->controlHeard = now_;
            link->version = host.version;
            if (host.fetch->handleConnect(name, now_)) {
                link->wanted = DocumentRequest{};
            }
            host.subscriptions[name] = link;
            control.subscriptions.push_back(link);
            offerPositions(link);
        }
    }
    fetchDocument(host);
    reportChanges(host, host.view->expireRetained(now_));
    if (!host.pooler) {
        // The process has completed its shutdown.
        return;
    }
    requestLease(host);
    requestPositions(host);
    post(host, tickInterval, [this, &host]() { tick(host); });
}

void DeploymentWorld::requestLease(EntryHost &host)
{
    const auto due = host.lease ? host.lease->nextRequest(now_) : std::nullopt;
    if (!due) {
        return;
    }
    for (const auto &[name, link] : host.subscriptions) {
        if (due->controlHost.empty() || due->controlHost == name) {
            stream(link, false, [this, link = link, request = due->request]() {
                receive(*link->control, link, request);
            });
        }
    }
}

Instant DeploymentWorld::lastDisturbed(const std::string &entry, const std::string &service)
{
    auto last = std::max(disturbedUntil_["promotion"], disturbedUntil_[entry]);
    for (const auto &[name, control] : controls) {
        last = std::max(last, disturbedUntil_[name]);
    }
    for (const auto &[id, endpoint] : endpoints_) {
        if (endpoint.service == service) {
            last = std::max(last, disturbedUntil_[id]);
        }
    }
    return last;
}

void DeploymentWorld::workBegins(ConnectionId connection, const std::string &id)
{
    const auto &endpoint = endpoints_.at(id);
    if (!endpoint.drainingSince) {
        return;
    }
    ++report.events["work on a draining endpoint"];
    const auto &host = *hostByNumber_.at(connection >> hostShift);
    const auto since =
        std::max(*endpoint.drainingSince, lastDisturbed(host.name, endpoint.service));
    report.samples["work begun after ms of draining"].push_back(
        static_cast<std::uint64_t>(toMilliseconds(std::max(Duration{}, now_ - since))));
    check(now_ - since < drainBound, "a draining endpoint gets no new work after the bound");
}

std::optional<CallerId> DeploymentWorld::connect(EntryHost &host, const std::string &database)
{
    if (!host.up || frozen(host) || !host.pooler->ready()) {
        return std::nullopt;
    }
    const auto id = nextCaller_++;
    callers[id].host = &host;
    callers[id].nextAt = now_;
    expectations.recordConnect(id, database, host.name);
    handle(host, pooler::CallerConnected{id, database, "user"});
    return callers.contains(id) ? std::optional{id} : std::nullopt;
}

void DeploymentWorld::send(CallerId id, const std::string &text)
{
    auto &caller = callers.at(id);
    const auto statement = test::parseStatement("q" + std::to_string(nextStatement_++), text);
    caller.unanswered.push_back(statement.id);
    const auto arrives = [this, id, statement, &host = *caller.host]() {
        if (callers.contains(id)) {
            expectations.recordStatement(id, statement, now_);
            handle(host, pooler::StatementReceived{id, statement});
        }
    };
    if (frozen(*caller.host)) {
        post(*caller.host, Duration{}, arrives);
    } else {
        arrives();
    }
}

void DeploymentWorld::leave(CallerId id)
{
    auto &host = *callers.at(id).host;
    callers.erase(id);
    leaving_[id] = &host;
    post(host, Duration{}, [this, &host, id]() {
        // The Pooler may have closed the caller before it read this.
        if (leaving_.erase(id) > 0) {
            expectations.recordDisconnect(id);
            handle(host, pooler::CallerDisconnected{id});
        }
    });
}

void DeploymentWorld::closeCaller(CallerId id)
{
    check(callers.erase(id) + leaving_.erase(id) == 1, "a caller is closed once");
    expectations.recordDisconnect(id);
}

std::optional<StatementAnswer> DeploymentWorld::ask(CallerId id, const std::string &text,
                                                    Duration limit)
{
    send(id, text);
    for (const auto end = now_ + limit;
         now_ < end && callers.contains(id) && !callers.at(id).unanswered.empty();) {
        run(5ms);
    }
    return callers.contains(id) && callers.at(id).unanswered.empty() ? callers.at(id).last
                                                                     : std::nullopt;
}

} // namespace hyssoprock::random_runs
