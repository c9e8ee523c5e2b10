#include "limits_run.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/limits/budget_allocator.hpp>
#include <hyssoprock/limits/budget_ledger.hpp>
#include <support/event_digest.hpp>

namespace hyssoprock::random_runs {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t driftPerMille = 10;
constexpr std::uint64_t administrative = 6;
constexpr std::uint32_t localShare = 2;
constexpr std::size_t localHosts = 3;
constexpr std::uint64_t reserved = administrative + localShare * localHosts;
constexpr std::uint32_t connectionLimit = 35;
constexpr std::size_t hostCount = 9;
constexpr Duration lease = 1500ms;
constexpr Duration step = 10ms;
constexpr Duration faultyTime = 120s;
constexpr Duration calmTime = 20s;
const std::string endpoint = "orders-1";

/// A clock that runs within the drift bound of real time.
struct DriftingClock
{
    std::int64_t ratePerMille = 1000;
    Duration offset{};

    [[nodiscard]] Instant at(Duration realTime) const
    {
        return Instant{offset + realTime * ratePerMille / 1000};
    }
};

struct Host
{
    std::string name;
    DriftingClock clock;
    BudgetLedger ledger;
    std::uint32_t wanted = 0;
    Duration cutOffUntil{};
    Duration nextRenewal{};
};

struct Answer
{
    std::size_t host = 0;
    std::uint64_t life = 0;
    Duration arrival{};
    Instant expiry{};
    std::vector<BudgetGrant> grants;
};

class LimitsRun
{
public:
    explicit LimitsRun(std::uint64_t seed)
        : random_{seed}
        , lives_(hostCount, 0)
    {
        for (std::size_t i = 0; i < hostCount; ++i) {
            hosts_.push_back(Host{"entry-" + std::to_string(i), randomClock(), {}, 0, {}, {}});
        }
        leaderClock_ = randomClock();
        for (std::size_t i = 0; i < localHosts; ++i) {
            hosts_[i].ledger.setLocalShare(endpoint, localShare);
        }
    }

    RunReport run()
    {
        for (; now_ < faultyTime + calmTime; now_ += step) {
            ++report_.steps;
            if (now_ < faultyTime) {
                injectFaults();
            }
            for (std::size_t i = 0; i < hosts_.size(); ++i) {
                renewIfDue(i);
            }
            deliverAnswers();
            for (auto &host : hosts_) {
                useConnections(host);
            }
            checkLimit();
        }
        checkDemandIsMet();
        return report_;
    }

private:
    DriftingClock randomClock()
    {
        const auto rate = 1000 - driftPerMille / 2 + random_.below(driftPerMille + 1);
        return {static_cast<std::int64_t>(rate), random_.between(0s, 1h)};
    }

    void injectFaults()
    {
        auto &host = hosts_[random_.below(hostCount)];
        if (random_.below(1000) < 3) {
            ++report_.faults["host cut off"];
            host.cutOffUntil = now_ + random_.between(100ms, 5s);
        }
        if (random_.below(1000) < 3) {
            ++report_.faults["host restarted"];
            const auto index = static_cast<std::size_t>(&host - hosts_.data());
            ++lives_[index];
            host.ledger = BudgetLedger{};
            if (index < localHosts) {
                host.ledger.setLocalShare(endpoint, localShare);
            }
            host.clock = randomClock();
        }
        if (random_.below(1000) < 2) {
            ++report_.faults["leader changed"];
            leaderClock_ = randomClock();
            allocator_.reset(leaderClock_.at(now_), lengthenedByDrift(lease, driftPerMille));
        }
        if (random_.below(100) < 5) {
            host.wanted = static_cast<std::uint32_t>(random_.below(30));
        }
    }

    void renewIfDue(std::size_t index)
    {
        auto &host = hosts_[index];
        if (now_ < host.nextRenewal) {
            return;
        }
        host.nextRenewal = now_ + random_.between(300ms, 500ms);
        const auto faulty = now_ < faultyTime;
        if (now_ < host.cutOffUntil || (faulty && random_.chance(5))) {
            ++report_.faults["request lost"];
            return;
        }
        const auto sent = host.clock.at(now_);
        const auto open = host.ledger.open(endpoint);
        const auto waiting = host.wanted > open ? host.wanted - open : 0U;
        const auto demand = host.ledger.demand(endpoint, waiting, 0, sent);
        const std::vector<EndpointLimit> limits{{endpoint, connectionLimit}};
        // The grantor counts from its answer, which is later than the holder's sending.
        auto grants = allocator_.renew(host.name, {demand}, limits, leaderClock_.at(now_),
                                       lengthenedByDrift(lease, driftPerMille));
        if (faulty && random_.chance(5)) {
            ++report_.faults["answer lost"];
            return;
        }
        answers_.push_back(Answer{index, lives_[index], now_ + random_.between(0ms, 300ms),
                                  sent + shortenedByDrift(lease, driftPerMille),
                                  std::move(grants)});
    }

    void deliverAnswers()
    {
        for (const auto &answer : answers_) {
            if (answer.arrival <= now_ && answer.life == lives_[answer.host]) {
                hosts_[answer.host].ledger.apply(answer.grants, answer.expiry);
            }
        }
        std::erase_if(answers_, [this](const Answer &answer) { return answer.arrival <= now_; });
    }

    void useConnections(Host &host)
    {
        const auto local = host.clock.at(now_);
        for (auto excess = host.ledger.excess(endpoint, local); excess > 0; --excess) {
            host.ledger.recordClosed(endpoint);
            ++report_.events["connection closed for the budget"];
        }
        while (host.ledger.open(endpoint) > host.wanted) {
            host.ledger.recordClosed(endpoint);
        }
        while (host.ledger.open(endpoint) < host.wanted && host.ledger.tryOpen(endpoint, local)) {
            ++report_.events["connection opened"];
        }
    }

    void checkLimit()
    {
        std::uint32_t open = 0;
        for (const auto &host : hosts_) {
            open += host.ledger.open(endpoint);
            test::eventDigest().record(now_, host.wanted, host.ledger.open(endpoint));
        }
        check(open <= connectionLimit - administrative,
              "connections stay within the endpoint's limit");
        for (std::size_t i = 0; i < localHosts; ++i) {
            check(hosts_[i].ledger.open(endpoint) >= std::min(hosts_[i].wanted, localShare),
                  "the local share is usable without a lease");
        }
    }

    void checkDemandIsMet()
    {
        std::uint32_t wanted = 0;
        std::uint32_t open = 0;
        for (const auto &host : hosts_) {
            wanted += host.wanted;
            open += host.ledger.open(endpoint);
        }
        const auto reachable = std::min<std::uint32_t>(wanted, connectionLimit - administrative);
        // Equal parts are rounded down, so each host may fall short by one.
        check(open + hostCount >= reachable, "with the faults over, the demand is met");
    }

    RandomSource random_;
    std::vector<std::uint64_t> lives_;
    std::vector<Host> hosts_;
    std::vector<Answer> answers_;
    BudgetAllocator allocator_{reserved};
    DriftingClock leaderClock_;
    Duration now_{};
    RunReport report_;
};

} // namespace

RunReport runLimits(std::uint64_t seed)
{
    return LimitsRun{seed}.run();
}

} // namespace hyssoprock::random_runs
