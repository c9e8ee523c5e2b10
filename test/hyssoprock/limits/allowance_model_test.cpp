#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/limits/allowance_owner.hpp>
#include <hyssoprock/limits/allowance_requester.hpp>

using namespace hyssoprock;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t rate = 50;
constexpr std::uint32_t burst = 50;
constexpr Duration span = 5s;
constexpr std::size_t entryCount = 20;
constexpr std::size_t voterCount = 5;
constexpr std::size_t dataCentreCount = 4;

struct Count
{
    std::uint32_t sent = 0;
    std::uint32_t refused = 0;
    std::map<Instant, std::uint32_t> consumed{}; ///< Granted by control hosts.
    std::map<Instant, std::uint32_t> run{};      ///< Granted operations that entry hosts run.
};

std::uint32_t mostInSpan(const std::map<Instant, std::uint32_t> &times)
{
    std::uint32_t most = 0;
    std::uint32_t sum = 0;
    auto first = times.begin();
    for (const auto &[at, count] : times) {
        sum += count;
        for (; first->first + span < at; ++first) {
            sum -= first->second;
        }
        most = std::max(most, sum);
    }
    return most;
}

/// Entry hosts and voters in simulated time, connected by links that lose messages.
class Model
{
public:
    Model(std::uint64_t seed, std::uint64_t lostPercent)
        : random_{seed}
        , lostPercent_{lostPercent}
    {
        DeploymentDocument document;
        document.version = 1;
        document.teams.push_back({"hot", {"h"}, 0, rate, burst});
        document.teams.push_back({"calm", {"c"}, 0, rate, burst});
        const auto shared = std::make_shared<const DeploymentDocument>(std::move(document));
        voters_.resize(voterCount);
        for (auto &voter : voters_) {
            voter.setDocument(shared);
        }
        for (std::size_t i = 0; i < entryCount; ++i) {
            entries_.push_back(std::make_unique<Entry>(Entry{AllowanceRequester{i + 1}}));
        }
        tickVoters();
    }

    /// Sends operations of a team at random entry hosts at the given rate.
    void load(const std::string &team, std::uint32_t perSecond)
    {
        const auto gap = 2 * Duration{1s}.count() / perSecond;
        at(Duration{static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(gap)))},
           [this, team, perSecond]() {
               auto &entry = *entries_[random_.below(entryCount)];
               ++counts[team].sent;
               ++entry.waiting[team];
               execute(entry, entry.requester.setWaiting(team, entry.waiting[team], now));
               load(team, perSecond);
           });
    }

    void run(Duration time)
    {
        for (const auto end = now + time; !events_.empty() && events_.begin()->first <= end;) {
            auto event = events_.extract(events_.begin());
            now = event.key();
            event.mapped()();
        }
    }

    Instant now{1h};
    std::map<std::string, Count> counts{};

private:
    struct Entry
    {
        AllowanceRequester requester;
        std::map<std::string, std::uint32_t> waiting{};
        std::size_t index = 0;
    };

    void at(Duration delay, std::function<void()> action)
    {
        events_.emplace(now + delay, std::move(action));
    }

    void tickVoters()
    {
        for (std::size_t i = 0; i < voterCount; ++i) {
            voters_[i].update({true, voterCount, now}, now);
        }
        if (now == Instant{1h}) {
            for (std::size_t e = 0; e < entryCount; ++e) {
                entries_[e]->index = e;
                for (std::size_t v = 0; v < voterCount; ++v) {
                    (void)entries_[e]->requester.handleOffer(std::to_string(v), true,
                                                             proximity(e, v), now);
                }
            }
        }
        at(100ms, [this]() { tickVoters(); });
    }

    static Proximity proximity(std::size_t entry, std::size_t voter)
    {
        const auto here = entry % dataCentreCount;
        const auto there = voter % dataCentreCount;
        return here == there           ? Proximity::SameDataCentre
               : here / 2 == there / 2 ? Proximity::SameRegion
                                       : Proximity::Remote;
    }

    static Duration delay(std::size_t entry, std::size_t voter)
    {
        switch (proximity(entry, voter)) {
        case Proximity::SameDataCentre:
            return 200us;
        case Proximity::SameRegion:
            return 3ms;
        case Proximity::Remote:
            return 8ms;
        }
        return 8ms;
    }

    void transmit(std::size_t entry, std::size_t voter, std::function<void()> receive)
    {
        if (random_.below(100) >= lostPercent_) {
            at(delay(entry, voter), std::move(receive));
        }
    }

    void execute(Entry &entry, const AllowanceActions &actions)
    {
        for (const auto &decision : actions.decisions) {
            auto &waiting = entry.waiting[decision.team];
            auto &count = counts[decision.team];
            if (decision.granted > 0) {
                count.run[now] += decision.granted;
                waiting -= decision.granted;
            } else {
                count.refused += waiting;
                waiting = 0;
            }
        }
        for (const auto &[host, request] : actions.requests) {
            const auto voter = std::stoul(host);
            transmit(entry.index, voter, [this, &entry, voter, sent = request]() {
                const auto reply = voters_[voter].handle(sent, now);
                counts[sent.team].consumed[now] += reply.granted;
                transmit(entry.index, voter, [this, &entry, voter, reply]() {
                    execute(entry, entry.requester.handleReply(std::to_string(voter), reply, now));
                });
            });
        }
        if (const auto deadline = entry.requester.nextDeadline()) {
            at(*deadline - now, [this, &entry]() { execute(entry, entry.requester.tick(now)); });
        }
    }

    RandomSource random_;
    std::uint64_t lostPercent_;
    std::vector<AllowanceOwner> voters_{};
    std::vector<std::unique_ptr<Entry>> entries_{};
    std::multimap<Instant, std::function<void()>> events_{};
};

void checkLimits(std::uint64_t seed, std::uint64_t lostPercent)
{
    Model model{seed, lostPercent};
    model.run(2s); // The buckets are empty at the start.
    model.load("hot", 5 * rate);
    model.load("calm", rate * 4 / 5);
    model.run(60s);
    for (const auto &[team, count] : model.counts) {
        cr_assert_leq(mostInSpan(count.consumed), 5 * rate + burst);
        cr_assert_leq(mostInSpan(count.run), (5 * rate + burst) * 11 / 10 + 20);
    }
    const auto &hot = model.counts.at("hot");
    const auto &calm = model.counts.at("calm");
    const auto ran = hot.sent - hot.refused;
    cr_log_info("seed %lu: hot ran %u of %u, calm refused %u of %u", seed, ran, hot.sent,
                calm.refused, calm.sent);
    cr_assert_geq(ran, 60 * rate * (95 - lostPercent) / 100, "the limit is used");
    cr_assert_leq(calm.refused * 1000, calm.sent * (lostPercent == 0 ? 1 : 5),
                  "a team below its limit is not refused: %u of %u", calm.refused, calm.sent);
}

} // namespace

/// Guards against grants over the limit, against tokens that are wasted while callers are refused,
/// and against refusals of a team below its limit because another is over its own.
Test(allowanceModel, aTeamOverItsLimitIsBoundAndAnotherIsNotRefused)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        checkLimits(seed, 0);
    }
}

/// Guards against lost messages that add operations, or that make callers wait or be refused while
/// other control hosts grant.
Test(allowanceModel, lostMessagesNeitherAddOperationsNorRefuseThem)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        checkLimits(seed, 2);
    }
}
