#pragma once

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <vector>

#include <hyssoprock/balancing/endpoint_selector.hpp>

/// @file
/// @brief Model of hosts that choose among three endpoints by outdated information.

namespace hyssoprock::test {

using std::chrono::milliseconds;

/// @brief Load and faults. Region i has a share of the demand, a third of the hosts and endpoint i.
struct SelectionScenario
{
    std::size_t hosts = 27;
    std::uint64_t readsPerS = 200; ///< Of all regions; 800 occupy all slots.
    Duration age{};                ///< Time until a host learns the outcome of a read.
    std::uint64_t burstFactor = 4; ///< Load of one region for a second, every 4 s.
    Duration slowUntil{};          ///< Endpoint 0 takes 5 times as long before.
    Duration downUntil{};          ///< Endpoint 0 refuses all before.
};

/// @brief Results; percentages of all reads.
struct SelectionFigures
{
    double busiest = 0; ///< Work of the busiest endpoint, divided by the mean.
    double refused = 0;
    double remote = 0; ///< Reads sent to another region.
    double oscillation =
        0; ///< Mean change of an endpoint's share of the work from second to second.
    Duration p99{};
    std::vector<std::array<std::int64_t, 3>> work; ///< By second and endpoint, in milliseconds.
};

/// @brief Discrete event simulation in integers, so that all architectures give the same figures.
class SelectionModel
{
public:
    explicit SelectionModel(SelectionScenario scenario, std::uint64_t seed)
        : scenario_{scenario}
        , random_{seed}
        , hosts_(scenario.hosts)
    {}

    SelectionFigures run(int seconds)
    {
        figures_.work.resize(static_cast<std::size_t>(seconds));
        for (auto ms = 0; ms < seconds * 1000; ++ms) {
            const auto tick = start + milliseconds{ms};
            while (!events_.empty() && events_.begin()->first <= tick) {
                auto event = events_.extract(events_.begin());
                now_ = event.key();
                event.mapped()();
            }
            now_ = tick;
            if (ms % 4000 == 3000) {
                burstRegion_ = random_.below(3);
            }
            for (std::size_t region = 0; region < 3; ++region) {
                const auto burst = ms % 4000 >= 3000 && region == burstRegion_;
                // Arrivals per million milliseconds.
                const auto rate = scenario_.readsPerS * demandPercent[region] * 10
                                  * (burst ? scenario_.burstFactor : 1);
                if (random_.below(1'000'000) < rate) {
                    place({region + 3 * random_.below(scenario_.hosts / 3), now_, {}, 0});
                }
            }
        }
        return finish();
    }

private:
    struct Read
    {
        std::size_t host;
        Instant arrivedAt;
        Instant sentAt;
        unsigned refusedBy; ///< Bit set of endpoints.
    };
    struct Host
    {
        std::array<EndpointLoad, 3> loads;
        std::array<std::vector<Instant>, 3> unanswered; ///< Oldest first.
    };
    struct Endpoint
    {
        int running = 0;
        std::deque<Read> queue;
    };

    static constexpr Instant start{std::chrono::hours{1}};
    static constexpr std::array<std::uint64_t, 3> demandPercent{60, 25, 15};
    static constexpr std::array<int, 3> workPercent{100, 100, 140};

    static Duration distanceCost(std::size_t host, std::size_t endpoint)
    {
        return milliseconds{host % 3 == endpoint ? 0 : 60};
    }
    static Duration delay(std::size_t host, std::size_t endpoint)
    {
        return milliseconds{host % 3 == endpoint ? 1 : 8};
    }
    void at(Instant time, std::function<void()> event) { events_.emplace(time, std::move(event)); }

    void place(Read read)
    {
        auto &host = hosts_[read.host];
        if (read.refusedBy == 7U) {
            read.refusedBy = 0;
        }
        std::vector<EndpointCandidate> candidates;
        std::vector<std::size_t> endpoints;
        for (std::size_t i = 0; i < 3; ++i) {
            if ((read.refusedBy >> i & 1U) == 0) {
                const auto &unanswered = host.unanswered[i];
                candidates.push_back({&host.loads[i],
                                      distanceCost(read.host, i),
                                      {},
                                      unanswered.empty() ? Duration{} : now_ - unanswered.front()});
                endpoints.push_back(i);
            }
        }
        selector_.rank(candidates, now_);
        std::size_t chosen = 0;
        while (candidates[chosen].rank != 0) {
            ++chosen;
        }
        const auto endpoint = endpoints[chosen];
        ++sent_;
        remote_ += read.host % 3 == endpoint ? 0 : 1;
        read.sentAt = now_;
        host.unanswered[endpoint].push_back(now_);
        at(now_ + delay(read.host, endpoint), [this, read, endpoint]() { arrive(read, endpoint); });
    }

    void arrive(const Read &read, std::size_t endpoint)
    {
        auto &target = endpoints_[endpoint];
        const auto down = endpoint == 0 && now_ < start + scenario_.downUntil;
        if (down || target.queue.size() >= 32) {
            ++refused_;
            at(now_ + delay(read.host, endpoint), [this, read, endpoint]() {
                learn(read, endpoint, true);
                auto next = read;
                next.refusedBy |= 1U << endpoint;
                place(next);
            });
            return;
        }
        target.queue.push_back(read);
        startNext(endpoint);
    }

    void startNext(std::size_t endpoint)
    {
        auto &target = endpoints_[endpoint];
        while (target.running < 4 && !target.queue.empty()) {
            const auto read = target.queue.front();
            target.queue.pop_front();
            ++target.running;
            // 15 ms on average.
            const auto kind = random_.below(10);
            auto work = kind < 6   ? random_.between(milliseconds{6}, milliseconds{16})
                        : kind < 9 ? random_.between(milliseconds{12}, milliseconds{24})
                                   : random_.between(milliseconds{20}, milliseconds{40});
            const auto slow = endpoint == 0 && now_ < start + scenario_.slowUntil;
            work = work * workPercent[endpoint] / 100 * (slow ? 5 : 1);
            const auto second = static_cast<std::size_t>((now_ - start) / std::chrono::seconds{1});
            figures_.work[second][endpoint] += work / milliseconds{1};
            at(now_ + work, [this, read, endpoint]() {
                --endpoints_[endpoint].running;
                at(now_ + delay(read.host, endpoint), [this, read, endpoint]() {
                    latencies_.push_back(now_ - read.arrivedAt);
                    learn(read, endpoint, false);
                });
                startNext(endpoint);
            });
        }
    }

    void learn(const Read &read, std::size_t endpoint, bool refused)
    {
        std::erase(hosts_[read.host].unanswered[endpoint], read.sentAt);
        const auto latency = now_ - read.sentAt;
        at(now_ + scenario_.age, [this, host = read.host, endpoint, refused, latency]() {
            auto &loads = hosts_[host].loads;
            if (refused) {
                loads[endpoint].recordRefusal(now_);
                return;
            }
            std::optional<Duration> lowest;
            for (const auto &load : loads) {
                if (const auto low = load.lowLatency()) {
                    lowest = std::min(lowest.value_or(*low), *low);
                }
            }
            const auto expected = EndpointSelector::expectedLatency(
                loads[endpoint], distanceCost(host, endpoint), lowest);
            loads[endpoint].recordAnswer(latency, expected.value_or(latency), now_);
        });
    }

    SelectionFigures finish()
    {
        std::array<std::int64_t, 3> sums{};
        for (std::size_t i = 0; i < figures_.work.size(); ++i) {
            for (std::size_t endpoint = 0; endpoint < 3; ++endpoint) {
                sums[endpoint] += figures_.work[i][endpoint];
                if (i > 0) {
                    figures_.oscillation +=
                        std::abs(shareOf(i, endpoint) - shareOf(i - 1, endpoint)) / 3
                        / static_cast<double>(figures_.work.size() - 1);
                }
            }
        }
        figures_.busiest = 3.0 * static_cast<double>(*std::max_element(sums.begin(), sums.end()))
                           / static_cast<double>(sums[0] + sums[1] + sums[2]);
        figures_.refused = 100.0 * refused_ / sent_;
        figures_.remote = 100.0 * remote_ / sent_;
        std::sort(latencies_.begin(), latencies_.end());
        figures_.p99 = latencies_[latencies_.size() * 99 / 100];
        return figures_;
    }

    [[nodiscard]] double shareOf(std::size_t second, std::size_t endpoint) const
    {
        const auto &work = figures_.work[second];
        return static_cast<double>(work[endpoint])
               / static_cast<double>(std::max<std::int64_t>(work[0] + work[1] + work[2], 1));
    }

    SelectionScenario scenario_;
    RandomSource random_;
    EndpointSelector selector_{random_};
    std::vector<Host> hosts_;
    std::array<Endpoint, 3> endpoints_;
    std::multimap<Instant, std::function<void()>> events_;
    std::vector<Duration> latencies_;
    SelectionFigures figures_;
    Instant now_{start};
    std::size_t burstRegion_ = 0;
    double sent_ = 0;
    double refused_ = 0;
    double remote_ = 0;
};

} // namespace hyssoprock::test
