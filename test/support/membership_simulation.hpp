#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/membership/membership_node.hpp>

#include "event_digest.hpp"

/// @file
/// @brief Simulation of entry hosts that exchange membership messages.

namespace hyssoprock::test {

/// @brief Runs MembershipNode for several hosts and checks their membership tables after each
/// event.
class MembershipSimulation
{
public:
    struct Host
    {
        HostRecord self; ///< Record at the start of the host.
        std::unique_ptr<MembershipNode> node;
        std::int64_t driftPerMille = 0;
        std::int64_t offset = 0;
        std::map<std::string, HostRecord> records;
        std::map<std::string, Announcement> endpoints;
    };

    MembershipSimulation(std::uint64_t seed, const MembershipSettings &settings)
        : random{seed}
        , settings_{settings}
    {}

    RandomSource random;
    std::uint64_t lossPercent = 0;
    std::uint64_t duplicatePercent = 0;
    Duration delayMax = std::chrono::milliseconds{10};
    std::map<std::string, std::uint64_t> counts;
    std::uint64_t events = 0;

    void add(const std::string &name, const std::string &dataCentre, std::int64_t driftPerMille = 0)
    {
        auto &host = hosts_[name];
        host.self = {name, dataCentre, name + ":1", 1, HostState::Alive};
        host.driftPerMille = driftPerMille;
        host.offset = static_cast<std::int64_t>(random.below(1000000000));
    }

    /// @brief Starts a host with one seed host.
    void start(const std::string &name, const std::string &seedHost)
    {
        auto &host = hosts_.at(name);
        host.records.clear();
        host.endpoints.clear();
        host.node = std::make_unique<MembershipNode>(
            host.self, std::vector{SeedHost{seedHost, seedHost + ":1"}}, settings_, random.next(),
            localNow(host));
        recordIncarnation(name);
    }

    /// @brief Stops a host without a Leave message; it loses its incarnation number.
    void crash(const std::string &name) { hosts_.at(name).node.reset(); }

    void leave(const std::string &name)
    {
        deliver(name, membership::Leave{});
        leftIncarnations_.emplace(name, hosts_.at(name).node->self().incarnation);
        crash(name);
    }

    /// @brief Delivers an endpoint's announcement to a host.
    void announce(const std::string &name, const Announcement &announcement)
    {
        if (isUp(name)) {
            lastAnnounced_[announcement.endpoint] = now_;
            deliver(name, membership::AnnouncementReceived{announcement});
        }
    }

    void cut(const std::string &from, const std::string &to) { cuts_.emplace(from, to); }
    void isolate(const std::string &name)
    {
        for (const auto &[other, host] : hosts_) {
            cut(name, other);
            cut(other, name);
        }
    }
    void heal() { cuts_.clear(); }

    [[nodiscard]] bool isUp(const std::string &name) const
    {
        return hosts_.at(name).node != nullptr;
    }
    [[nodiscard]] MembershipNode &node(const std::string &name) { return *hosts_.at(name).node; }
    [[nodiscard]] const std::map<std::string, Host> &hosts() const { return hosts_; }
    [[nodiscard]] Duration now() const { return now_; }

    /// @brief State of another host in a host's membership table.
    [[nodiscard]] HostState recordedState(const std::string &name, const std::string &other) const
    {
        return hosts_.at(name).records.at(other).state;
    }
    [[nodiscard]] bool knows(const std::string &name, const std::string &other) const
    {
        return hosts_.at(name).records.contains(other);
    }
    [[nodiscard]] bool knowsEndpoint(const std::string &name, const std::string &endpoint) const
    {
        return hosts_.at(name).endpoints.contains(endpoint);
    }

    void run(Duration length)
    {
        const auto end = now_ + length;
        while (step(end)) {}
        now_ = end;
    }

    void deliver(const std::string &name, const MembershipEvent &event)
    {
        auto &host = hosts_.at(name);
        if (!host.node) {
            return;
        }
        ++events;
        const auto actions = host.node->handle(event, localNow(host));
        eventDigest().record(name, now_, event.index(), actions.size());
        recordIncarnation(name);
        for (const auto &action : actions) {
            std::visit([&](const auto &known) { execute(host, known); }, action);
        }
    }

private:
    [[nodiscard]] Instant localNow(const Host &host) const
    {
        return Instant{Duration{host.offset + now_.count() * (1000 + host.driftPerMille) / 1000}};
    }

    bool step(Duration end)
    {
        auto next = network_.empty() ? end : std::min(end, network_.begin()->first.first);
        for (const auto &[name, host] : hosts_) {
            if (host.node && host.node->nextDeadline()) {
                const auto local =
                    host.node->nextDeadline()->time_since_epoch().count() - host.offset;
                const Duration at{local * 1000 / (1000 + host.driftPerMille) + 1};
                next = std::min(next, std::max(now_, at));
            }
        }
        if (next >= end) {
            return false;
        }
        now_ = next;
        if (!network_.empty() && network_.begin()->first.first <= now_) {
            const auto [to, message] = std::move(network_.begin()->second);
            network_.erase(network_.begin());
            deliver(to, membership::MessageReceived{message});
            return true;
        }
        for (auto &[name, host] : hosts_) {
            if (host.node && host.node->nextDeadline()
                && *host.node->nextDeadline() <= localNow(host)) {
                deliver(name, membership::Tick{});
            }
        }
        return true;
    }

    void execute(Host &host, const membership::SendDatagram &action)
    {
        ++counts["message sent"];
        checkBounds(action.message);
        const auto to = action.address.substr(0, action.address.find(':'));
        if (!hosts_.contains(to) || cuts_.contains({host.self.host, to})) {
            ++counts["message cut off"];
            return;
        }
        if (random.chance(lossPercent)) {
            ++counts["message lost"];
            return;
        }
        const auto copies = random.chance(duplicatePercent) ? 2 : 1;
        counts["message duplicated"] += static_cast<std::uint64_t>(copies - 1);
        for (int i = 0; i < copies; ++i) {
            const auto at = now_ + random.between(std::chrono::milliseconds{1}, delayMax);
            network_.emplace(std::pair{at, ++order_}, std::pair{to, action.message});
        }
    }

    void execute(Host &host, const membership::HostChanged &action)
    {
        const auto &record = action.record;
        check(record.host != host.self.host, "a host receives no membership record of itself");
        check(record.incarnation <= incarnations_[record.host],
              "only the host itself raises its incarnation");
        const auto known = host.records.find(record.host);
        if (known != host.records.end()) {
            check(record.incarnation > known->second.incarnation
                      || (record.incarnation == known->second.incarnation
                          && record.state > known->second.state),
                  "a membership record is replaced only by a newer one");
        }
        checkCause(record);
        host.records[record.host] = record;
        ++counts["host " + std::string{toString(record.state)}];
    }

    void execute(Host &host, const membership::EndpointAnnounced &action)
    {
        const auto &announcement = action.announcement;
        const auto known = host.endpoints.find(announcement.endpoint);
        check(known == host.endpoints.end()
                  || known->second.incarnation <= announcement.incarnation,
              "an older incarnation of an endpoint is not announced again");
        // Copies of an announcement extend its lifetime at most by the delay of a message.
        const auto slack = settings_.announcementTtl / 10 + delayMax * 4;
        check(now_ <= lastAnnounced_[announcement.endpoint] + settings_.announcementTtl + slack,
              "an announcement does not outlive its endpoint");
        host.endpoints[announcement.endpoint] = announcement;
        ++counts["endpoint announced"];
    }

    void execute(Host &host, const membership::EndpointExpired &action)
    {
        host.endpoints.erase(action.endpoint);
        ++counts["endpoint expired"];
    }

    /// @brief Checks that a dead host was suspected for the suspicion time and that a host reported
    /// as left has sent a Leave.
    void checkCause(const HostRecord &record)
    {
        const std::pair key{record.host, record.incarnation};
        if (record.state == HostState::Suspect) {
            suspectedAt_.emplace(key, now_);
        } else if (record.state == HostState::Dead) {
            const auto suspected = suspectedAt_.find(key);
            check(suspected != suspectedAt_.end()
                      && now_ >= suspected->second + settings_.suspicion * 9 / 10,
                  "a host is dead only after an unrefuted suspicion");
        } else if (record.state == HostState::Left) {
            check(leftIncarnations_.contains(key) || isLeaving(record),
                  "a host has left only if it sent a Leave");
        }
    }

    [[nodiscard]] bool isLeaving(const HostRecord &record) const
    {
        const auto &host = hosts_.at(record.host);
        return host.node && host.node->self() == record;
    }

    void checkBounds(const MembershipMessage &message) const
    {
        const auto holds = [this](const auto &lists) {
            return lists.records.size() <= settings_.records
                   && lists.announcements.size() <= settings_.announcements;
        };
        const auto *ping = std::get_if<PeerPing>(&message);
        const auto *ack = std::get_if<PeerAck>(&message);
        check((ping == nullptr || holds(*ping)) && (ack == nullptr || holds(*ack)),
              "messages stay within their bounds");
    }

    void recordIncarnation(const std::string &name)
    {
        auto &highest = incarnations_[name];
        highest = std::max(highest, hosts_.at(name).node->self().incarnation);
    }

    MembershipSettings settings_;
    std::map<std::string, Host> hosts_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::map<std::pair<Duration, std::uint64_t>, std::pair<std::string, MembershipMessage>>
        network_;
    std::map<std::string, std::uint64_t> incarnations_;
    std::set<std::pair<std::string, std::uint64_t>> leftIncarnations_;
    std::map<std::pair<std::string, std::uint64_t>, Duration> suspectedAt_;
    std::map<std::string, Duration> lastAnnounced_;
    Duration now_{};
    std::uint64_t order_ = 0;
};

} // namespace hyssoprock::test
