#include <algorithm>
#include <map>

#include <criterion/criterion.h>

#include <hyssoprock/limits/allowance_owner.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

constexpr Duration step = 100ms;
constexpr Duration span = 5s;
constexpr std::uint32_t rate = 50;
constexpr std::uint32_t burst = 40;
constexpr std::uint32_t limit = 5 * rate + burst;

std::shared_ptr<const DeploymentDocument> makeDocument(std::uint64_t version, std::uint32_t perS,
                                                       std::uint32_t most)
{
    DeploymentDocument document;
    document.version = version;
    document.teams.push_back({"t", {"k"}, 0, perS, most});
    return std::make_shared<const DeploymentDocument>(std::move(document));
}

struct Host
{
    AllowanceOwner owner;
    VoterView view{true, 5, {}};
    bool connected = true; ///< Hears from the leader.
    bool frozen = false;
};

/// Control hosts that are asked for more operations than they may grant.
class Group
{
public:
    Group()
    {
        for (const auto *name : {"a", "b", "c", "d", "e"}) {
            start(name, {true, 5, {}});
        }
    }

    void start(const std::string &name, VoterView view)
    {
        hosts[name] = Host{AllowanceOwner{}, view};
        hosts[name].owner.setDocument(makeDocument(1, rate, burst));
    }

    /// Lets the buckets fill, so that a change finds the whole burst available.
    void idle()
    {
        demand = 0;
        run(2s);
        demand = 1000;
    }

    void run(Duration time)
    {
        for (const auto end = now + time; now < end; now += step) {
            for (auto &[name, host] : hosts) {
                if (host.frozen) {
                    continue;
                }
                if (host.connected) {
                    host.view.leaderContactAt = now;
                }
                host.owner.update(host.view, now);
                grants[now] += host.owner.handle({1, "t", demand}, now).granted;
            }
        }
    }

    /// Most operations that were granted in a span from `from` on.
    [[nodiscard]] std::uint32_t mostInSpan(Instant from = {}) const
    {
        std::uint32_t most = 0;
        for (auto first = grants.lower_bound(from); first != grants.end(); ++first) {
            std::uint32_t sum = 0;
            for (auto each = first; each != grants.end() && each->first <= first->first + span;
                 ++each) {
                sum += each->second;
            }
            most = std::max(most, sum);
        }
        return most;
    }

    [[nodiscard]] std::uint32_t grantedSince(Instant from) const
    {
        std::uint32_t sum = 0;
        for (auto each = grants.lower_bound(from); each != grants.end(); ++each) {
            sum += each->second;
        }
        return sum;
    }

    Instant now{1h};
    std::map<std::string, Host> hosts{};
    std::map<Instant, std::uint32_t> grants{};
    std::uint32_t demand = 1000; ///< Operations that each host is asked for in a step.
};

} // namespace

/// Guards against a limit that applies to each voter instead of to all, and against shares that
/// lose a part of the rate in divisions.
Test(allowanceOwner, allVotersTogetherGrantTheLimitAndNoMore)
{
    Group group;
    group.run(20s);
    cr_assert_leq(group.mostInSpan(), limit);
    cr_assert_geq(group.grantedSince({}), 20 * rate - 10);
    // A pause in the demand allows for the burst afterwards, once.
    group.idle();
    group.run(10s);
    cr_assert_leq(group.mostInSpan(), limit);
}

/// Guards against a removed voter that does not know of its removal and grants in addition to its
/// successor.
Test(allowanceOwner, aReplacedVoterAndItsSuccessorShareOneShare)
{
    Group group;
    group.start("f", {false, 5, {}});
    group.run(10s);
    group.idle();
    group.hosts.at("e").connected = false;
    group.hosts.at("f").view.voter = true;
    const auto replacedAt = group.now;
    group.run(20s);
    cr_assert_leq(group.mostInSpan(), limit);
    cr_assert_geq(group.grantedSince(replacedAt + 10s), 10 * rate - 10, "the successor grants");
}

/// Guards against a voter that fills its bucket, or keeps that of its former incarnation, each time
/// it restarts.
Test(allowanceOwner, restartsOfVotersGrantNothingInAddition)
{
    Group group;
    group.run(10s);
    group.idle();
    for (auto i = 0; i < 50; ++i) {
        group.start("e", {true, 5, {}});
        group.run(100ms);
    }
    for (auto i = 0; i < 20; ++i) {
        group.start("d", {false, 5, {}}); // Has lost its state and is admitted again.
        group.run(300ms);
        group.hosts.at("d").view.voter = true;
        group.run(400ms);
    }
    group.run(10s);
    cr_assert_leq(group.mostInSpan(), limit);
}

/// Guards against a voter that is replaced while it is frozen, and takes a message that was sent
/// before for a contact when it continues.
Test(allowanceOwner, aFrozenVoterDoesNotTrustMessagesOfThePast)
{
    Group group;
    group.start("f", {false, 5, {}});
    group.run(10s);
    group.idle();
    group.hosts.at("e").frozen = true;
    group.hosts.at("f").view.voter = true;
    group.run(10s);
    group.hosts.at("e").frozen = false;
    group.run(500ms); // Messages that were received meanwhile.
    group.hosts.at("e").connected = false;
    group.run(10s);
    cr_assert_leq(group.mostInSpan(), limit);
    group.hosts.at("f").view.voter = false;
    group.hosts.at("e").connected = true;
    const auto from = group.now;
    group.run(10s);
    cr_assert_geq(group.grantedSince(from), 10 * rate - 10, "it grants again after a new contact");
}

/// Guards against shares that grow at once when a voter is removed, while it still grants.
Test(allowanceOwner, sharesGrowOnlyWhenARemovedVoterHasStopped)
{
    Group group;
    group.run(10s);
    group.idle();
    group.hosts.at("e").connected = false;
    for (const auto *name : {"a", "b", "c", "d"}) {
        group.hosts.at(name).view.voters = 4;
    }
    const auto removedAt = group.now;
    group.run(20s);
    cr_assert_leq(group.mostInSpan(), limit);
    cr_assert_geq(group.grantedSince(removedAt + 10s), 10 * rate - 10);
}

/// Guards against tokens of a higher limit that are granted after it was lowered.
Test(allowanceOwner, aLoweredLimitAppliesToTokensThatExist)
{
    Group group;
    group.run(3s);
    group.idle();
    for (auto &[name, host] : group.hosts) {
        host.owner.setDocument(makeDocument(2, 10, 5));
    }
    const auto loweredAt = group.now;
    group.run(20s);
    cr_assert_leq(group.mostInSpan(loweredAt), 5 * 10 + 5);
}

/// Guards against voters that grant without a leader, and against a group that grants no more
/// after an election.
Test(allowanceOwner, grantsOnlyWithContactToALeader)
{
    Group group;
    group.run(5s);
    auto &host = group.hosts.at("a");
    cr_assert(host.owner.isOffering(group.now));
    for (auto &[name, each] : group.hosts) {
        each.connected = false;
    }
    group.run(3200ms);
    cr_assert_not(host.owner.isOffering(group.now));
    const auto cutOffAt = group.now;
    group.run(5s);
    cr_assert_eq(group.grantedSince(cutOffAt), 0);
    for (auto &[name, each] : group.hosts) {
        each.connected = true;
    }
    group.run(5s);
    cr_assert_geq(group.grantedSince(cutOffAt), 5 * rate - 10);
    cr_assert_leq(group.mostInSpan(), limit);
}

/// Guards against denials after which an entry host asks too early, or waits longer than needed.
Test(allowanceOwner, aDenialStatesWhenTheNextOperationIsAvailable)
{
    Group group;
    group.run(5s);
    auto &owner = group.hosts.at("a").owner;
    (void)owner.handle({1, "t", 1000}, group.now);
    const auto denied = owner.handle({7, "t", 1}, group.now);
    cr_assert_eq(denied.granted, 0);
    cr_assert_eq(denied.sequence, 7);
    const Duration wait{static_cast<std::int64_t>(denied.retryAfterUs)};
    cr_assert_leq(wait.count(), (Duration{1s} / (rate / 5)).count());
    cr_assert_eq(owner.handle({8, "t", 1}, group.now + wait - 1us).granted, 0);
    cr_assert_eq(owner.handle({9, "t", 1}, group.now + wait).granted, 1);
}

/// Guards against requests for which an outdated entry host refuses callers of a team whose limit
/// was removed, and against offers that a deployment without limits does not need.
Test(allowanceOwner, aTeamWithoutALimitIsNotRefused)
{
    AllowanceOwner owner;
    const Instant now{1h};
    owner.update({true, 3, now}, now);
    cr_assert_eq(owner.handle({1, "t", 4}, now).granted, 0, "without a document");
    owner.setDocument(makeDocument(1, 0, 0));
    owner.update({true, 3, now}, now);
    cr_assert_not(owner.isOffering(now));
    cr_assert_eq(owner.handle({1, "t", 4}, now).granted, 4);
}

/// Guards against a team with a small burst that is refused operations which its limit allows,
/// because each voter owns only a fraction of the burst, and against a tolerance that is exceeded
/// when all voters are started at the same moment.
Test(allowanceOwner, theToleranceLengthensASmallBurst)
{
    constexpr std::uint32_t tolerance = 20;
    constexpr std::uint32_t voters = 5;
    std::uint32_t granted = 0;
    for (std::uint32_t i = 0; i < voters; ++i) {
        AllowanceOwner owner{tolerance};
        owner.setDocument(makeDocument(1, 2, 2));
        const Instant start{1h};
        owner.update({true, voters, start}, start);
        cr_assert_eq(owner.handle({1, "t", 9}, start).granted, 1, "the first operation");
        Instant now = start;
        for (; now < start + 60s; now += step) {
            owner.update({true, voters, now}, now);
        }
        granted += owner.handle({2, "t", 9}, now).granted;
    }
    // 2 of the burst and 14 of the tolerance are divided among five voters, in whole operations.
    cr_assert_eq(granted, 15);
}
