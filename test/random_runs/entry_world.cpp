#include "entry_world.hpp"

#include <algorithm>
#include <utility>

#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock::random_runs {

namespace {

constexpr std::uint64_t driftBound = 10;
constexpr std::uint64_t leaseMs = 300;
constexpr Scheduler::Time renewInterval = 80'000;

SessionMachineSettings machineSettings()
{
    SessionMachineSettings settings;
    settings.queueDeadline = std::chrono::milliseconds{200};
    settings.electionDeadline = std::chrono::milliseconds{1500};
    settings.majorityTimeout = std::chrono::milliseconds{300};
    settings.statementTimeout = std::chrono::milliseconds{400};
    settings.settleTimeout = std::chrono::milliseconds{2500};
    return settings;
}

} // namespace

EntryWorld::EntryWorld(std::uint64_t seed, RunReport &runReport)
    : random{seed}
    , report{runReport}
    , group{scheduler, random, 3}
{
    control.view.group = groupName;
    control.view.state = GroupState::Active;
    control.view.term = 1;
    control.view.primary = "ep-1";
    control.view.version = 1;
    for (auto &node : group.nodes()) {
        node.lag = 500 + static_cast<Scheduler::Time>(random.below(8000));
        Member member;
        member.announcement.endpoint = node.name;
        member.announcement.group = groupName;
        member.announcement.dataCentre = node.dataCentre;
        member.voter = true;
        control.view.members.push_back(member);
        group.follow(node, 1);
    }
    group.node("ep-1").term = 0;
    group.promote(group.node("ep-1"), 1);
    constexpr std::size_t hostCount = 4;
    for (std::size_t i = 0; i < hostCount; ++i) {
        auto host = std::make_unique<FakeHost>();
        host->name = "entry-" + std::to_string(i + 1);
        host->dataCentre = "dc-" + std::string(1, static_cast<char>('a' + i % 3));
        host->offset = static_cast<std::int64_t>(random.below(1'000'000'000));
        host->driftPerMille = static_cast<std::int64_t>(random.below(9)) - 4;
        RouterSettings router;
        const auto policy = random.below(6);
        router.policy = policy == 0 ? "random_replica" : "position_aware";
        router.dataCentre = host->dataCentre;
        host->knowledge = std::make_unique<HostTables>(router, driftBound,
                                                       std::chrono::milliseconds{5}, random.next());
        hosts.push_back(std::move(host));
        renewLoop(*hosts.back());
    }
    for (std::size_t i = 0; i < group.nodes().size(); ++i) {
        followLoop(i);
    }
}

Instant EntryWorld::clock(const FakeHost &host) const
{
    return Instant{Duration{host.offset + scheduler.now() * (1000 + host.driftPerMille) / 1000}};
}

Scheduler::Time EntryWorld::untilClock(const FakeHost &host, Instant time) const
{
    const auto wait = (time - clock(host)).count();
    return wait <= 0 ? 1 : wait * 1000 / (1000 + host.driftPerMille) + 2;
}

Scheduler::Time EntryWorld::networkDelay()
{
    return 300 + static_cast<Scheduler::Time>(random.below(3000));
}

bool EntryWorld::fault(const char *name, std::uint64_t percent)
{
    const bool happens = lossy && random.chance(percent);
    if (happens) {
        ++report.faults[name];
    }
    return happens;
}

void EntryWorld::renewLoop(FakeHost &host)
{
    const auto sequence = ++host.sequence;
    host.knowledge->views.recordRenewalSent(sequence, clock(host));
    if (!host.cutFromControl && !fault("lost renewal", 5)) {
        scheduler.after(networkDelay(),
                        [this, &host, sequence, version = host.knowledge->views.viewVersion(),
                         revision = host.knowledge->views.configuration()->revision] {
                            answerRenewal(host, sequence, version, revision);
                        });
    }
    scheduler.after(renewInterval, [this, &host] { renewLoop(host); });
}

void EntryWorld::answerRenewal(FakeHost &host, std::uint64_t sequence, std::uint64_t viewVersion,
                               std::uint64_t revision)
{
    HostRenewResponse response;
    response.sequence = sequence;
    response.leaseMs = leaseMs;
    response.viewVersion = control.version;
    if (control.view.version > viewVersion) {
        response.views = {control.view};
    }
    if (control.configuration.revision > revision) {
        response.configuration = control.configuration;
    }
    auto &confirmed = control.confirmed[host.name];
    confirmed = std::max(confirmed, viewVersion);
    auto &leaseEnd = control.leaseEnd[host.name];
    leaseEnd = scheduler.now() + static_cast<Scheduler::Time>(leaseMs) * (1000 + driftBound);
    auto delay = networkDelay();
    delay += fault("late renewal answer", 3) ? 150'000 : 0;
    if (!host.cutFromControl) {
        scheduler.after(delay, [this, &host, response] {
            if (host.knowledge->views.apply(response).accepted) {
                pump(host);
            }
        });
    }
}

void EntryWorld::push()
{
    ViewPush message;
    message.previousVersion = control.version - 1;
    message.viewVersion = control.version;
    message.views = {control.view};
    message.configuration = control.configuration;
    for (auto &host : hosts) {
        if (!host->cutFromControl && !fault("lost push", 10)) {
            scheduler.after(networkDelay(), [this, target = host.get(), message] {
                target->knowledge->views.apply(message);
                pump(*target);
            });
        }
    }
}

void EntryWorld::configure(const std::function<void(Configuration &)> &change)
{
    change(control.configuration);
    ++control.configuration.revision;
    for (auto &rule : control.configuration.rules) {
        rule.revision = control.configuration.revision;
    }
    push();
}

void EntryWorld::beginTerm()
{
    ++control.view.term;
    control.view.primary.clear();
    control.view.state = GroupState::Electing;
    control.view.version = ++control.version;
    push();
    for (auto &node : group.nodes()) {
        scheduler.after(networkDelay(), [this, &node, term = control.view.term] {
            if (!node.cut) {
                group.fence(node, term);
            }
        });
    }
}

void EntryWorld::failOver()
{
    if (control.changing) {
        return;
    }
    control.changing = true;
    ++report.events["failover"];
    auto &old = group.node(control.view.primary);
    if (random.chance(60)) {
        ++report.faults["primary cut off"];
        old.cut = true;
        scheduler.after(400'000 + static_cast<Scheduler::Time>(random.below(1'500'000)),
                        [&old] { old.cut = false; });
    }
    const auto detection = static_cast<Scheduler::Time>(random.below(200'000));
    scheduler.after(detection, [this, name = old.name] {
        beginTerm();
        awaitFenced(control.view.term, control.version, control.leaseEnd, name);
    });
}

void EntryWorld::awaitFenced(std::uint64_t term, std::uint64_t version,
                             std::map<std::string, Scheduler::Time> leases, std::string avoid)
{
    std::vector<FakeNode *> fenced;
    for (auto &node : group.nodes()) {
        if (!node.cut && node.fence >= term) {
            fenced.push_back(&node);
        }
    }
    const bool leasesOver = std::all_of(leases.begin(), leases.end(), [&](const auto &lease) {
        return lease.second < scheduler.now() || control.confirmed[lease.first] >= version;
    });
    if (fenced.size() < 2 || !leasesOver) {
        for (auto &node : group.nodes()) {
            if (!node.cut) {
                group.fence(node, term);
            }
        }
        scheduler.after(5000, [this, term, version, leases = std::move(leases), avoid] {
            awaitFenced(term, version, leases, avoid);
        });
        return;
    }
    // Any majority will do; sometimes one without the old primary.
    if (fenced.size() > 2 && random.chance(50)) {
        fenced.erase(fenced.begin() + static_cast<std::ptrdiff_t>(random.below(fenced.size())));
    }
    auto *best = *std::max_element(fenced.begin(), fenced.end(), [&](auto *left, auto *right) {
        return std::pair{left->position(), left->name != avoid}
               < std::pair{right->position(), right->name != avoid};
    });
    group.promote(*best, term);
    control.view.primary = best->name;
    control.view.state = GroupState::Active;
    control.view.version = ++control.version;
    control.changing = false;
    push();
}

void EntryWorld::followLoop(std::size_t index)
{
    auto &node = group.nodes()[index];
    const auto &view = control.view;
    if (!node.cut && view.state == GroupState::Active && view.primary != node.name
        && !fault("follow delayed", 30)) {
        group.follow(node, view.term);
    }
    scheduler.after(20'000, [this, index] { followLoop(index); });
}

void EntryWorld::handOver()
{
    if (control.changing) {
        return;
    }
    control.changing = true;
    ++report.events["handover begun"];
    control.view.state = GroupState::Handover;
    control.view.version = ++control.version;
    push();
    awaitQuiesced(scheduler.now() + 600'000);
}

void EntryWorld::awaitQuiesced(Scheduler::Time limit)
{
    const bool quiesced = std::all_of(hosts.begin(), hosts.end(), [this](const auto &host) {
        return host->knowledge->isQuiesced(groupName)
               || control.leaseEnd[host->name] < scheduler.now();
    });
    auto &old = group.node(control.view.primary);
    auto &nodes = group.nodes();
    const auto successor = std::find_if(nodes.begin(), nodes.end(), [&old](const FakeNode &node) {
        return node.name != old.name && !node.cut && node.position() == old.position();
    });
    if (quiesced && successor != nodes.end()) {
        ++report.events["handover done"];
        auto leases = control.leaseEnd;
        beginTerm();
        awaitFenced(control.view.term, control.version, std::move(leases), old.name);
    } else if (scheduler.now() >= limit) {
        ++report.events["handover called off"];
        control.view.state = GroupState::Active;
        control.view.version = ++control.version;
        control.changing = false;
        push();
    } else {
        scheduler.after(3000, [this, limit] { awaitQuiesced(limit); });
    }
}

std::uint64_t EntryWorld::open(FakeHost &host, SessionClient &client, const std::string &session)
{
    const auto id = nextSession_++;
    FakeSession opened;
    opened.machine = std::make_unique<SessionMachine>(machineSettings(), id, groupName,
                                                      *host.knowledge, tokens, random.next());
    opened.client = &client;
    if (!session.empty()) {
        check(opened.machine->applyStartupOption("session", session).has_value(),
              "a token of another host is accepted");
    }
    host.sessions.emplace(id, std::move(opened));
    return id;
}

void EntryWorld::deliver(FakeHost &host, std::uint64_t session, const SessionEvent &event)
{
    const auto found = host.sessions.find(session);
    if (found == host.sessions.end()) {
        if (const auto *granted = std::get_if<ConnectionGranted>(&event)) {
            release(host, {granted->connection, true, granted->schemaVersions});
        }
        return;
    }
    ++report.steps;
    carryOut(host, session, found->second.machine->handle(event, clock(host)));
    scheduleTick(host, session);
    schedulePump(host);
}

void EntryWorld::scheduleTick(FakeHost &host, std::uint64_t session)
{
    const auto found = host.sessions.find(session);
    if (found == host.sessions.end()) {
        return;
    }
    auto &entry = found->second;
    const auto deadline = entry.machine->nextDeadline();
    if (!deadline || (entry.tickAt && *entry.tickAt <= *deadline)) {
        return;
    }
    entry.tickAt = deadline;
    scheduler.after(untilClock(host, *deadline), [this, &host, session, due = *deadline] {
        const auto present = host.sessions.find(session);
        if (present != host.sessions.end() && present->second.tickAt == due) {
            present->second.tickAt.reset();
            deliver(host, session, Tick{});
        }
    });
}

/// What the daemon does after the shared tables have changed.
void EntryWorld::pump(FakeHost &host)
{
    std::vector<std::uint64_t> ids;
    for (const auto &[id, session] : host.sessions) {
        ids.push_back(id);
    }
    for (const auto id : ids) {
        deliver(host, id, ViewChanged{});
    }
    schedulePump(host);
}

void EntryWorld::schedulePump(FakeHost &host)
{
    auto &knowledge = *host.knowledge;
    for (const auto &resolved : knowledge.acks.takeResolved(knowledge.views, clock(host))) {
        scheduler.after(1, [this, &host, resolved] {
            deliver(host, resolved.session, AckResolved{resolved.request});
        });
    }
    if (!knowledge.takePolls(clock(host)).empty()) {
        poll(host);
    }
    const auto due = knowledge.nextDeadline();
    if (due && (!host.pumpAt || *due < *host.pumpAt)) {
        host.pumpAt = due;
        scheduler.after(untilClock(host, *due), [this, &host, due = *due] {
            if (host.pumpAt == due) {
                host.pumpAt.reset();
                schedulePump(host);
            }
        });
    }
}

void EntryWorld::poll(FakeHost &host)
{
    const auto *view = host.knowledge->views.view(groupName);
    if (view == nullptr || view->primary.empty() || fault("lost poll", 5)) {
        return;
    }
    const auto sent = clock(host);
    const bool lease = host.knowledge->views.leaseValid(sent);
    scheduler.after(networkDelay(), [this, &host, sent, lease, name = view->primary] {
        const auto answer = group.node(name).report();
        scheduler.after(networkDelay(), [this, &host, sent, lease, name, answer] {
            host.knowledge->recordReport(groupName, name, answer, sent, lease, clock(host));
            schedulePump(host);
        });
    });
}

} // namespace hyssoprock::random_runs
