#include "pooler_run.hpp"

#include <array>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/core/random_source.hpp>

#include <support/pooler_world.hpp>
#include <support/random_callers.hpp>

namespace hyssoprock::random_runs {

namespace {

using namespace std::chrono_literals;
using test::GroupSettings;
using test::PoolerWorld;

constexpr Duration faultyTime = 5s;
constexpr Duration calmTime = 4s;
constexpr std::size_t callersLeast = 4;
constexpr std::size_t callersSpread = 12;
constexpr std::array databases{"primary", "bounded", "own"};

const char *nameOf(AnswerKind kind)
{
    constexpr std::array names{
        "success",   "busy",        "unknown prepared", "lagging",   "read-only",
        "misrouted", "too many",    "aborted",          "failed",    "timed out",
        "unknown",   "no database", "malformed",        "too large", "other"};
    return names.at(static_cast<std::size_t>(kind));
}

GroupSettings randomSettings(RandomSource &random)
{
    GroupSettings result;
    result.slots = static_cast<std::uint32_t>(2 + random.below(4));
    result.connectionsMax = 6 + random.below(15);
    result.network = {100us, random.between(200us, 4ms)};
    result.serviceTime = {500us, random.between(2ms, 40ms)};
    result.replicationDelay = random.between(1ms, 120ms);
    return result;
}

DeploymentDocument randomDocument(RandomSource &random)
{
    auto result = test::makeThreeRouteDocument(random.between(30ms, 800ms));
    result.transactionIdleTimeout = random.between(100ms, 2s);
    for (auto &route : result.routes) {
        route.statementTimeout = random.between(400ms, 1s);
        route.targetLatency = random.between(100ms, 800ms);
    }
    return result;
}

class PoolerRun
{
public:
    explicit PoolerRun(std::uint64_t seed, Admission admission, bool evenBalancing = false)
        : random_{seed}
        , document_{randomDocument(random_)}
        , world_{seed, randomSettings(random_), document_, false, admission, evenBalancing}
        , start_{world_.now}
    {
        const auto callers = callersLeast + random_.below(callersSpread);
        for (std::size_t i = 0; i < callers; ++i) {
            connect();
        }
    }

    RunReport run()
    {
        while (world_.now < start_ + faultyTime) {
            world_.run(random_.between(200us, 8ms));
            act();
            if (random_.chance(4)) {
                injectFault();
            }
            endFaults();
        }
        settle();
        report_.steps = world_.steps;
        for (const auto &[kind, count] : world_.answerCounts) {
            report_.events[std::string{"answer "} + nameOf(kind)] += count;
        }
        report_.events["statement run"] += world_.expectations.runs().size();
        report_.events["acknowledged commit rolled back by a promotion"] +=
            world_.expectations.acknowledgedLostCount();
        return report_;
    }

private:
    struct Caller
    {
        CallerId id = 0;
        Instant nextAt;
    };

    void connect()
    {
        callers_.push_back({world_.connect(databases[random_.below(databases.size())]),
                            world_.now + random_.between(0ms, 50ms)});
    }

    void act()
    {
        for (auto &caller : callers_) {
            if (!world_.isConnected(caller.id) || caller.nextAt > world_.now) {
                continue;
            }
            const auto ahead = world_.unansweredCount(caller.id) > 0;
            if (ahead && !random_.chance(2)) {
                continue;
            }
            caller.nextAt =
                world_.now
                + (random_.chance(3) ? random_.between(100ms, 1s) : random_.between(0ms, 20ms));
            if (random_.below(300) == 0) {
                ++report_.events["caller left"];
                world_.disconnect(caller.id);
                continue;
            }
            world_.send(caller.id, test::randomStatement(random_, world_.states[caller.id]));
        }
        std::erase_if(callers_,
                      [this](const Caller &caller) { return !world_.isConnected(caller.id); });
        if (callers_.size() < callersLeast) {
            connect();
        }
    }

    void later(Duration delay, std::function<void()> what)
    {
        repairs_.emplace(world_.now + delay, std::move(what));
    }

    std::string anyEndpoint() { return "d" + std::to_string(1 + random_.below(3)); }

    void injectFault()
    {
        const auto id = anyEndpoint();
        switch (random_.below(16)) {
        case 0:
            if (world_.group.isUp(id) && random_.chance(40)) {
                ++report_.faults["endpoint ended"];
                world_.group.stopEndpoint(id);
                later(random_.between(50ms, 1s), [this, id]() {
                    world_.group.startEndpoint(id);
                    world_.announceEndpoints();
                });
                later(random_.between(0ms, 400ms), [this]() { world_.announceEndpoints(); });
                later(random_.between(50ms, 500ms), [this]() { promote(); });
            }
            break;
        case 1:
            if (random_.chance(50)) {
                promote();
            }
            break;
        case 2:
            ++report_.faults["endpoint draining"];
            world_.group.setDraining(id, true);
            world_.announceEndpoints();
            later(random_.between(100ms, 1s), [this, id]() {
                world_.group.setDraining(id, false);
                world_.announceEndpoints();
            });
            break;
        case 3:
            if (!routeRemoved_) {
                ++report_.faults["route removed"];
                removeRoute();
            }
            break;
        default:
            if (const auto fault =
                    test::injectEndpointFault(world_.group, id, random_,
                                              [this](Duration delay, std::function<void()> what) {
                                                  later(delay, std::move(what));
                                              });
                !fault.empty()) {
                ++report_.faults[fault];
                world_.announceEndpoints();
            }
            break;
        }
    }

    void removeRoute()
    {
        routeRemoved_ = true;
        auto document = document_;
        document.version = ++version_;
        document.routes.erase(document.routes.begin()
                              + static_cast<std::ptrdiff_t>(random_.below(databases.size())));
        world_.announce(std::move(document));
        later(random_.between(10ms, 500ms), [this]() {
            auto restored = document_;
            restored.version = ++version_;
            world_.announce(std::move(restored));
            routeRemoved_ = false;
        });
    }

    /// The group changes at once; the Pooler hears of endpoints and primary independently.
    void promote()
    {
        const auto id = anyEndpoint();
        if (!world_.group.isUp(id) || world_.group.primary() == id) {
            return;
        }
        ++report_.faults["promotion"];
        world_.group.promote(id);
        later(random_.between(0ms, 300ms), [this]() { world_.announcePrimary(); });
        later(random_.between(0ms, 500ms), [this]() { world_.announceEndpoints(); });
    }

    void endFaults()
    {
        while (!repairs_.empty() && repairs_.begin()->first <= world_.now) {
            const auto what = std::move(repairs_.begin()->second);
            repairs_.erase(repairs_.begin());
            what();
        }
    }

    void settle()
    {
        while (!repairs_.empty()) {
            world_.run(10ms);
            endFaults();
        }
        for (const auto *id : {"d1", "d2", "d3"}) {
            world_.group.refuse(id, false);
            world_.group.delayTrafficUntil(id, world_.now);
            world_.group.setReplicationDelay(id, 10ms);
            world_.group.setReplicationPaused(id, false);
            world_.group.setDraining(id, false);
        }
        world_.announceEndpoints();
        world_.announcePrimary();
        world_.run(calmTime);
        check(world_.expectations.unanswered() == 0,
              "with the faults over, every statement is answered");
        for (const auto &caller : callers_) {
            if (world_.isConnected(caller.id)) {
                world_.disconnect(caller.id);
            }
        }
        for (const auto *database : databases) {
            const auto caller = world_.connect(database);
            for (const auto *text : {"WRITE i0 data", "READ i0", "BEGIN", "WRITE i0 data",
                                     "READ i0", "COMMIT", "READ i0"}) {
                // An answer fault that no statement has met yet may still be pending.
                auto answer = world_.sendAndWait(caller, text);
                for (auto tries = 0; tries < 6 && answer.kind != AnswerKind::Success
                                     && answer.state == TransactionState::Idle
                                     && std::string_view{text} != "COMMIT";
                     ++tries) {
                    answer = world_.sendAndWait(caller, text);
                }
                if (answer.state == TransactionState::Failed) {
                    check(world_.sendAndWait(caller, "ROLLBACK").kind == AnswerKind::Success,
                          "a failed transaction can be ended");
                    break;
                }
                check(answer.kind == AnswerKind::Success || std::string_view{text} == "COMMIT",
                      "with the faults over, statements succeed");
                if (answer.kind != AnswerKind::Success) {
                    break;
                }
            }
            world_.disconnect(caller);
        }
        shutDown();
    }

    void shutDown()
    {
        const auto open = world_.connect("primary");
        world_.sendAndWait(open, "BEGIN");
        world_.sendAndWait(open, "WRITE i0 data");
        world_.connect("own");
        world_.handle(pooler::ShutdownStarted{3s, 6s});
        world_.run(6s);
        check(world_.finished, "a shutdown ends within its grace");
    }

    RandomSource random_;
    DeploymentDocument document_;
    std::uint64_t version_ = 1;
    bool routeRemoved_ = false;
    PoolerWorld world_;
    Instant start_;
    std::vector<Caller> callers_;
    std::multimap<Instant, std::function<void()>> repairs_;
    RunReport report_;
};

} // namespace

RunReport runPooler(std::uint64_t seed)
{
    return PoolerRun{seed, Admission::Priority}.run();
}

RunReport runFairPooler(std::uint64_t seed)
{
    return PoolerRun{seed, Admission::Fair}.run();
}

RunReport runEvenPooler(std::uint64_t seed)
{
    return PoolerRun{seed, Admission::Priority, true}.run();
}

} // namespace hyssoprock::random_runs
