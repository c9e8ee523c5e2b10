#include "membership_run.hpp"

#include <string>

#include <hyssoprock/core/invariant.hpp>

#include "../support/membership_simulation.hpp"

namespace hyssoprock::random_runs {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t hostCount = 9;
constexpr std::uint64_t endpointCount = 4;
constexpr int roundsPerSeed = 150;

MembershipSettings settingsOf(RandomSource &random)
{
    MembershipSettings settings;
    settings.records = 2 + random.below(6);
    settings.announcements = 1 + random.below(4);
    settings.announcementTtl = seconds{10};
    return settings;
}

/// @brief Brings faults about at random; afterwards all hosts must agree.
class MembershipRun
{
public:
    explicit MembershipRun(std::uint64_t seed)
        : plan_{seed ^ 0x5eedULL}
        , simulation_{seed, settingsOf(plan_)}
    {
        for (std::uint64_t i = 0; i < hostCount; ++i) {
            simulation_.add(hostName(i), "dc" + std::to_string(i % 3),
                            static_cast<std::int64_t>(plan_.below(21)) - 10);
        }
        for (std::uint64_t i = 0; i < hostCount; ++i) {
            simulation_.start(hostName(i), hostName(0));
        }
    }

    RunReport run()
    {
        for (int round = 0; round < roundsPerSeed; ++round) {
            disturb();
            announceAll();
            simulation_.run(plan_.between(milliseconds{100}, milliseconds{1500}));
        }
        recover();
        return report();
    }

private:
    static std::string hostName(std::uint64_t index) { return "h" + std::to_string(index); }
    std::string anyHost() { return hostName(plan_.below(hostCount)); }

    void disturb()
    {
        const auto host = anyHost();
        switch (plan_.below(12)) {
        case 0:
            simulation_.isolate(host);
            ++report_.faults["partition"];
            break;
        case 1:
            simulation_.cut(host, anyHost());
            ++report_.faults["one-way partition"];
            break;
        case 2:
            separateDataCentre();
            break;
        case 3:
        case 4:
            simulation_.heal();
            break;
        case 5:
            simulation_.crash(host);
            ++report_.faults["crash"];
            break;
        case 6:
            if (simulation_.isUp(host)) {
                simulation_.leave(host);
                ++report_.events["departure"];
            }
            break;
        case 7:
        case 8:
            startStopped();
            break;
        case 9:
            simulation_.lossPercent = plan_.chance(50) ? 0 : plan_.below(40);
            simulation_.duplicatePercent = plan_.below(30);
            simulation_.delayMax = plan_.between(milliseconds{2}, milliseconds{400});
            ++report_.faults["network change"];
            break;
        case 10:
            ++endpointIncarnations_[plan_.below(endpointCount)];
            ++report_.events["endpoint restarted"];
            break;
        default:
            break;
        }
    }

    void separateDataCentre()
    {
        for (std::uint64_t inside = 0; inside < hostCount; inside += 3) {
            for (std::uint64_t outside = 0; outside < hostCount; ++outside) {
                if (outside % 3 != 0) {
                    simulation_.cut(hostName(inside), hostName(outside));
                    simulation_.cut(hostName(outside), hostName(inside));
                }
            }
        }
        ++report_.faults["data centre partition"];
    }

    void startStopped()
    {
        for (std::uint64_t i = 0; i < hostCount; ++i) {
            if (!simulation_.isUp(hostName(i))) {
                simulation_.start(hostName(i), hostName((i + 1) % hostCount));
                ++report_.events["restart"];
            }
        }
    }

    Announcement announcementOf(std::uint64_t endpoint)
    {
        return {"e" + std::to_string(endpoint),      "orders", "dc1", "127.0.0.1:5432",
                1 + endpointIncarnations_[endpoint], 35,       5};
    }

    /// Endpoints are in data centre 1 and reach any one of its hosts.
    void announceAll()
    {
        for (std::uint64_t endpoint = 0; endpoint < endpointCount; ++endpoint) {
            if (plan_.chance(60)) {
                simulation_.announce(hostName(1 + 3 * plan_.below(hostCount / 3)),
                                     announcementOf(endpoint));
            }
        }
    }

    void recover()
    {
        simulation_.heal();
        simulation_.lossPercent = 0;
        simulation_.duplicatePercent = 0;
        simulation_.delayMax = milliseconds{20};
        startStopped();
        simulation_.run(seconds{20});
        simulation_.crash("h8");
        simulation_.leave("h7");
        for (int second = 0; second < 60; ++second) {
            simulation_.announce("h1", announcementOf(0));
            simulation_.run(seconds{1});
        }
        checkAgreement();
    }

    void checkAgreement()
    {
        for (std::uint64_t i = 0; i < 7; ++i) {
            const auto name = hostName(i);
            for (std::uint64_t other = 0; other < 7; ++other) {
                check(i == other
                          || (simulation_.knows(name, hostName(other))
                              && simulation_.recordedState(name, hostName(other))
                                     == HostState::Alive),
                      "hosts that run are alive to all others");
            }
            check(simulation_.recordedState(name, "h8") == HostState::Dead,
                  "a crashed host is dead");
            check(simulation_.recordedState(name, "h7") == HostState::Left,
                  "a host that left has left");
            check(simulation_.knowsEndpoint(name, "e0") == (i % 3 == 1),
                  "hosts of the data centre, and only they, know its endpoints");
            check(!simulation_.knowsEndpoint(name, "e1"), "a silent endpoint expires everywhere");
            check(simulation_.node(name).isForwarder() == (i < 3),
                  "one host of each data centre forwards announcements");
        }
    }

    RunReport report()
    {
        report_.steps = simulation_.events;
        for (const auto &[name, count] : simulation_.counts) {
            const auto isFault = name.starts_with("message") && name != "message sent";
            (isFault ? report_.faults : report_.events)[name] += count;
        }
        return report_;
    }

    RandomSource plan_;
    test::MembershipSimulation simulation_;
    RunReport report_;
    std::map<std::uint64_t, std::uint64_t> endpointIncarnations_;
};

} // namespace

RunReport runMembership(std::uint64_t seed)
{
    return MembershipRun{seed}.run();
}

} // namespace hyssoprock::random_runs
