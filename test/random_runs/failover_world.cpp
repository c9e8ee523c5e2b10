#include "failover_world.hpp"

#include <memory>

#include <support/event_digest.hpp>

namespace hyssoprock::random_runs::failover {

using namespace std::chrono_literals;

std::size_t World::addNode(std::string name, std::string dataCentre)
{
    Node node;
    node.name = std::move(name);
    node.dataCentre = std::move(dataCentre);
    node.clockOffsetUs = static_cast<std::int64_t>(random.below(1'000'000'000)) + 1'000'000'000;
    // Any two clocks differ by at most 1%, the default drift bound.
    node.clockRatePpm = static_cast<std::int64_t>(random.below(10'001)) - 5'000;
    nodes.push_back(std::move(node));
    return nodes.size() - 1;
}

Instant World::clock(std::size_t node) const noexcept
{
    const auto &clock = nodes[node];
    const auto elapsed = now_.count() + now_.count() * clock.clockRatePpm / 1'000'000;
    return Instant{Duration{clock.clockOffsetUs + elapsed}};
}

void World::after(Duration delay, std::function<void()> function)
{
    events_.push(Event{now_ + delay, ++order_, std::move(function)});
}

void World::every(Duration interval, std::function<void()> function)
{
    after(interval, [this, interval, function = std::move(function)] {
        function();
        every(interval, function);
    });
}

bool World::linked(std::size_t from, std::size_t to) const
{
    if (from == to) {
        return true;
    }
    const auto &source = nodes[from];
    const auto &target = nodes[to];
    if (source.isolated || target.isolated || blocked.contains({from, to})) {
        return false;
    }
    return source.dataCentre == target.dataCentre
           || (!cutOff.contains(source.dataCentre) && !cutOff.contains(target.dataCentre));
}

bool World::reachable(std::size_t from, std::size_t to) const
{
    return nodes[from].alive && nodes[to].alive && linked(from, to) && linked(to, from);
}

void World::deliverLater(std::size_t from, std::size_t to, const std::function<void()> &deliver)
{
    const bool near = nodes[from].dataCentre == nodes[to].dataCentre;
    auto delay = near ? random.between(200us, 1ms) : random.between(3ms, 6ms);
    if (random.chance(latePercent)) {
        delay += random.between(0ms, 3s);
        ++report.faults["late message"];
    }
    after(delay, [this, from, to, deliver] {
        if (nodes[to].alive && linked(from, to)) {
            deliver();
        }
    });
}

void World::send(std::size_t from, std::size_t to, const std::function<void()> &deliver)
{
    if (!nodes[from].alive || !linked(from, to)) {
        return;
    }
    if (random.chance(dropPercent)) {
        ++report.faults["lost message"];
        return;
    }
    deliverLater(from, to, deliver);
    if (random.chance(duplicatePercent)) {
        ++report.faults["doubled message"];
        deliverLater(from, to, deliver);
    }
}

void World::runUntil(Duration end)
{
    while (!events_.empty() && events_.top().at <= end) {
        auto function = events_.top().function;
        now_ = events_.top().at;
        test::eventDigest().record(now_, events_.top().order);
        events_.pop();
        ++report.steps;
        function();
    }
    now_ = end;
}

} // namespace hyssoprock::random_runs::failover
