#include "model.hpp"

#include <algorithm>
#include <type_traits>
#include <variant>

#include <xxhash.h>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/message/codec.hpp>

namespace hyssoprock {

/// @brief Appends numbers, texts and times to a byte string whose digest is taken.
class DigestInput
{
public:
    template <typename Value>
    DigestInput &add(const Value &value)
    {
        if constexpr (std::is_convertible_v<const Value &, std::string_view>) {
            const std::string_view text{value};
            add(text.size());
            bytes_ += text;
        } else if constexpr (std::is_same_v<Value, Instant>) {
            add(value.time_since_epoch().count());
        } else {
            static_assert(std::is_trivially_copyable_v<Value>);
            bytes_.append(reinterpret_cast<const char *>(&value), sizeof value);
        }
        return *this;
    }
    template <typename Value>
    DigestInput &add(const std::optional<Value> &value)
    {
        add(value.has_value());
        return value ? add(*value) : *this;
    }
    DigestInput &add(const LogPosition &position) { return add(position.term).add(position.index); }
    DigestInput &add(const LogEntry &entry)
    {
        return add(entry.position).add(entry.kind).add(entry.payload);
    }
    DigestInput &add(const HardState &state)
    {
        return add(state.term).add(state.votedFor).add(state.recovering);
    }
    [[nodiscard]] std::uint64_t digest() const { return XXH3_64bits(bytes_.data(), bytes_.size()); }

private:
    std::string bytes_;
};

/// @brief Reads the whole state of a RaftNode but for the generator of its timeouts, so that two
/// histories that differ only in numbers drawn are one state.
struct RaftNodeInspector
{
    static void add(DigestInput &input, const RaftNode &node)
    {
        check(!node.join_ && !node.transfer_ && !node.incoming_ && !node.log_.snapshot(),
              "the model has neither voter changes nor snapshots");
        input.add(node.hardState_).add(node.role_).add(node.leader_).add(node.commitIndex_);
        input.add(node.electionDeadline_)
            .add(node.votesBlockedUntil_)
            .add(node.messagesIgnoredUntil_);
        input.add(node.bootstrapping_).add(node.log_.last().index);
        for (std::uint64_t index = 1; index <= node.log_.last().index; ++index) {
            input.add(node.log_.at(index));
        }
        for (const auto *names : {&node.votes_, &node.emptyLogVoters_}) {
            input.add(names->size());
            for (const auto &name : *names) {
                input.add(name);
            }
        }
        if (node.role_ != RaftRole::Leader) {
            return;
        }
        input.add(node.leaderSince_).add(node.nextHeartbeat_).add(node.termStartIndex_);
        input.add(node.nextSequence_);
        for (const auto &[name, peer] : node.peers_) {
            input.add(name).add(peer.nextIndex).add(peer.matchIndex).add(peer.windowStart);
            input.add(peer.rewindSequence).add(peer.confirmedAt).add(peer.sequenceMin);
            input.add(peer.recovering).add(peer.recoveringSince).add(peer.recoveryIndex);
            input.add(peer.unansweredRequests.size());
            for (const auto &sent : peer.unansweredRequests) {
                input.add(sent.sequence).add(sent.sentAt);
            }
        }
    }
};

namespace control_model {

namespace {

using std::chrono::seconds;

const std::array<std::string, hostCount> names{"c1", "c2", "c3"};

std::size_t indexOf(const std::string &name)
{
    return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

/// Timeouts of one length, so that histories meet at the same times; no drift, as there is one
/// clock.
RaftSettings modelSettings()
{
    RaftSettings settings;
    settings.electionTimeoutMin = seconds{1};
    settings.electionTimeoutMax = seconds{1};
    settings.clockDriftPerMille = 0;
    return settings;
}

RaftNode makeNode(std::size_t index, const RestoredState &disk, Instant now)
{
    return {{names[index], {names.begin(), names.end()}}, modelSettings(), disk, index + 1, now};
}

std::uint64_t computeDigest(const Host &host)
{
    DigestInput input;
    RaftNodeInspector::add(input, host.node);
    input.add(host.disk.hardState).add(host.disk.entries.size());
    for (const auto &entry : host.disk.entries) {
        input.add(entry);
    }
    input.add(host.state.encodeSnapshot()).add(host.proposals.size());
    for (const auto &position : host.proposals) {
        input.add(position);
    }
    return input.digest();
}

std::uint64_t computeDigest(const Facts &facts)
{
    DigestInput input;
    for (const auto &[term, leader] : facts.leaders) {
        input.add(term).add(leader);
    }
    for (const auto &[index, entry] : facts.committed) {
        input.add(entry);
    }
    return input.add(facts.version).add(facts.token).add(facts.acknowledgedTerm).digest();
}

RaftEvent eventOf(const State &state, const Step &step)
{
    switch (step.kind) {
    case StepKind::Deliver:
        return raft::MessageReceived{state.network[step.index]->body};
    case StepKind::Put: {
        const auto version = state.facts->documents.empty()
                                 ? std::uint64_t{1}
                                 : state.facts->documents.rbegin()->first + 1;
        return raft::Propose{
            1, encode(ControlCommand{
                   PutDocument{version, names[step.index] + std::to_string(state.left.puts)}})};
    }
    case StepKind::Order:
        return raft::Propose{1,
                             encode(ControlCommand{OrderPromotion{"s", names[step.index], "", 0}})};
    default:
        return raft::Tick{};
    }
}

std::size_t hostOf(const State &state, const Step &step)
{
    return step.kind == StepKind::Deliver ? state.network[step.index]->to : step.index;
}

/// @brief Carries one step out on a copy of the state.
class Transition
{
public:
    explicit Transition(const State &before)
        : state_{before}
        , facts_{*before.facts}
    {}

    State run(const Step &step)
    {
        note(step);
        const auto index = step.kind == StepKind::CrashAll ? 0 : hostOf(state_, step);
        switch (step.kind) {
        case StepKind::LoseDisk:
            --state_.left.lostDisks;
            restart(step.index, {});
            break;
        case StepKind::CrashAll:
            crashAll();
            break;
        default:
            handle(step);
            if (step.cut) {
                --state_.left.crashes;
                restart(index, state_.hosts[index]->disk);
            }
        }
        facts_.digest = computeDigest(facts_);
        state_.facts = std::make_shared<const Facts>(std::move(facts_));
        return std::move(state_);
    }

    /// @brief Actions of a step, without carrying them out.
    RaftActions actionsOf(const Step &step)
    {
        const auto index = hostOf(state_, step);
        auto node = state_.hosts[index]->node;
        return node.handle(eventOf(state_, step), timeOf(step, node));
    }

private:
    void fail(bool holds, const char *invariant)
    {
        if (!holds && state_.violation.empty()) {
            state_.violation = invariant;
        }
    }

    Instant timeOf(const Step &step, const RaftNode &node) const
    {
        return step.kind == StepKind::Timeout ? std::max(state_.now, *node.nextDeadline())
                                              : state_.now;
    }

    void note(const Step &step)
    {
        static constexpr std::array kinds{"deliver", "timeout",   "put",
                                          "order",   "lose disk", "crash all"};
        auto text = std::string{kinds[static_cast<std::size_t>(step.kind)]};
        if (step.kind != StepKind::CrashAll) {
            text += " " + names[hostOf(state_, step)];
        }
        if (step.kind == StepKind::Deliver) {
            std::visit(
                [&text](const auto &message) {
                    using Type = std::decay_t<decltype(message)>;
                    text += " from " + message.from + " term " + std::to_string(message.term);
                    if constexpr (std::is_same_v<Type, AppendRequest>) {
                        text += " append " + std::to_string(message.previous.index) + "+"
                                + std::to_string(message.entries.size());
                    } else if constexpr (std::is_same_v<Type, AppendResponse>) {
                        text += " match " + std::to_string(message.matchIndex);
                    } else if constexpr (std::is_same_v<Type, VoteRequest>) {
                        text += message.preVote ? " pre-vote" : " vote";
                    } else if constexpr (std::is_same_v<Type, VoteResponse>) {
                        text += message.granted ? " granted" : " refused";
                    }
                },
                state_.network[step.index]->body);
        }
        if (step.cut) {
            text += ", crash after " + std::to_string(*step.cut) + " actions";
        }
        state_.trace = std::make_shared<const Trace>(state_.trace, std::move(text));
    }

    void restart(std::size_t index, RestoredState disk)
    {
        auto node = makeNode(index, disk, state_.now);
        put(index, Host{std::move(node), std::move(disk)});
    }

    void crashAll()
    {
        --state_.left.crashes;
        for (std::size_t i = 0; i < hostCount; ++i) {
            restart(i, state_.hosts[i]->disk);
        }
    }

    void put(std::size_t index, Host host)
    {
        host.digest = computeDigest(host);
        state_.hosts[index] = std::make_shared<const Host>(std::move(host));
    }

    void handle(const Step &step)
    {
        const auto index = hostOf(state_, step);
        const auto event = eventOf(state_, step);
        auto host = *state_.hosts[index];
        switch (step.kind) {
        case StepKind::Deliver:
            state_.network.erase(state_.network.begin() + static_cast<std::ptrdiff_t>(step.index));
            break;
        case StepKind::Timeout:
            --(host.node.role() == RaftRole::Leader ? state_.left.heartbeats
                                                    : state_.left.timeouts);
            break;
        case StepKind::Put:
            --state_.left.puts;
            break;
        default:
            --state_.left.orders;
        }
        state_.now = timeOf(step, host.node);
        auto actions = host.node.handle(event, state_.now);
        if (step.cut) {
            actions.resize(*step.cut);
        }
        for (auto &action : actions) {
            std::visit([&](auto &known) { carryOut(host, known); }, action);
        }
        checkLeader(host);
        put(index, std::move(host));
    }

    void carryOut(Host &host, raft::Persist &action)
    {
        auto &entries = host.disk.entries;
        if (action.hardState) {
            host.disk.hardState = *action.hardState;
        }
        if (action.truncateFrom) {
            entries.resize(*action.truncateFrom - 1);
        }
        entries.insert(entries.end(), action.entries.begin(), action.entries.end());
    }

    void carryOut(Host & /*host*/, raft::SendMessage &action)
    {
        auto body = std::visit([](const auto &message) { return encode(message); }, action.message);
        const auto to = indexOf(action.to);
        const auto digest =
            DigestInput{}.add(to).add(action.message.index()).add(std::move(body)).digest();
        const auto place = std::find_if(state_.network.begin(), state_.network.end(),
                                        [&](const auto &other) { return other->digest >= digest; });
        state_.network.insert(
            place, std::make_shared<const Message>(to, std::move(action.message), digest));
    }

    void carryOut(Host &host, raft::Apply &action)
    {
        const auto &entry = action.entry;
        const auto [known, added] = facts_.committed.try_emplace(entry.position.index, entry);
        fail(known->second == entry, "two entries are committed at one index");
        if (entry.kind != LogEntryKind::Command) {
            return;
        }
        const auto before = host.state.lastToken();
        const auto command = decode<ControlCommand>(entry.payload);
        const auto result = host.state.apply(command.value());
        if (const auto *document = std::get_if<PutDocument>(&command.value().body)) {
            const auto version =
                facts_.documents.try_emplace(document->version, document->document).first;
            fail(host.state.version() != document->version
                     || host.state.document() == version->second,
                 "a version has two contents");
        } else {
            fail(result.token > before, "a token does not rise");
            fail(facts_.tokens.try_emplace(result.token, entry.position.index).first->second
                     == entry.position.index,
                 "two orders share a token");
        }
        const auto own = std::find(host.proposals.begin(), host.proposals.end(), entry.position);
        if (own != host.proposals.end()) {
            host.proposals.erase(own);
            facts_.version = std::max(facts_.version, host.state.version());
            facts_.token = std::max(facts_.token, host.state.lastToken());
            facts_.acknowledgedTerm = std::max(facts_.acknowledgedTerm, host.node.term());
        }
    }

    void carryOut(Host &host, raft::ProposalAppended &action)
    {
        host.proposals.push_back(action.position);
    }

    template <typename Other>
    void carryOut(Host & /*host*/, Other & /*action*/)
    {}

    void checkLeader(const Host &host)
    {
        const auto &node = host.node;
        if (node.role() != RaftRole::Leader) {
            return;
        }
        const auto &leader = facts_.leaders.try_emplace(node.term(), node.name()).first->second;
        fail(leader == node.name(), "two leaders of one term");
        // Without a lease, a leader of an earlier term may not know yet that it was replaced.
        if (node.leaderReady()
            && (node.term() >= facts_.acknowledgedTerm || node.leaseValid(state_.now))) {
            fail(host.state.version() >= facts_.version, "an acknowledged configuration is lost");
            fail(host.state.lastToken() >= facts_.token, "an acknowledged token is lost");
        }
    }

    State state_;
    Facts facts_;
};

} // namespace

std::uint64_t State::digest() const
{
    DigestInput input;
    for (const auto &host : hosts) {
        input.add(host->digest);
    }
    for (const auto &message : network) {
        input.add(message->digest);
    }
    return input.add(now).add(left).add(facts->digest).digest();
}

std::vector<Step> possibleSteps(const State &state)
{
    std::vector<Step> steps;
    for (std::size_t i = 0; i < state.network.size(); ++i) {
        // Two equal messages lead to the same state.
        if (i == 0 || state.network[i]->digest != state.network[i - 1]->digest) {
            steps.push_back({StepKind::Deliver, i});
        }
    }
    for (std::size_t i = 0; i < hostCount; ++i) {
        const auto leads = state.hosts[i]->node.role() == RaftRole::Leader;
        const std::array<std::pair<StepKind, bool>, 4> kinds{{
            {StepKind::Timeout, (leads ? state.left.heartbeats : state.left.timeouts) > 0},
            {StepKind::Put, leads && state.left.puts > 0},
            {StepKind::Order, leads && state.left.orders > 0},
            {StepKind::LoseDisk, state.left.lostDisks > 0},
        }};
        for (const auto &[kind, possible] : kinds) {
            if (possible) {
                steps.push_back({kind, i});
            }
        }
    }
    if (state.left.crashes > 0) {
        steps.push_back({StepKind::CrashAll});
    }
    return steps;
}

State after(const State &state, const Step &step)
{
    return Transition{state}.run(step);
}

std::vector<Step> crashesInside(const State &state, const Step &step)
{
    std::vector<Step> result;
    if (state.left.crashes == 0 || step.kind == StepKind::LoseDisk
        || step.kind == StepKind::CrashAll) {
        return result;
    }
    // Any other cut equals a restart before the step, or one after it with lost messages.
    const auto actions = Transition{state}.actionsOf(step);
    auto sent = false;
    for (std::size_t i = 0; i < actions.size(); ++i) {
        if (sent && std::holds_alternative<raft::Persist>(actions[i])) {
            result.push_back({step.kind, step.index, i});
        }
        sent = sent || std::holds_alternative<raft::SendMessage>(actions[i]);
    }
    return result;
}

namespace {

/// A group that has one leader, one acknowledged configuration and one acknowledged order.
State formedGroup()
{
    State state;
    state.facts = std::make_shared<const Facts>();
    state.left = {1, 2, 1, 1, 0, 0};
    for (std::size_t i = 0; i < hostCount; ++i) {
        Host host{makeNode(i, {}, state.now)};
        host.digest = computeDigest(host);
        state.hosts[i] = std::make_shared<const Host>(std::move(host));
    }
    const auto deliverAll = [&state] {
        while (!state.network.empty()) {
            state = after(state, {StepKind::Deliver, 0});
        }
    };
    using enum StepKind;
    for (const auto kind : {Timeout, Put, Order, Timeout, Timeout}) {
        state = after(state, {kind, 0});
        deliverAll();
        if (!state.violation.empty()) {
            return state;
        }
    }
    check(state.facts->version == 1 && state.facts->token == 1
              && state.hosts[1]->state.version() == 1,
          "the group starts with an acknowledged configuration and order");
    state.trace.reset();
    return state;
}

} // namespace

State startState(Start start)
{
    auto state = formedGroup();
    if (start == Start::Formed || !state.violation.empty()) {
        return state;
    }
    state.left = {1, 0, 1, 0, 1, 0};
    state = after(after(state, {StepKind::Put, 0}), {StepKind::Timeout, 1});
    const auto deliverUntil = [&state](const auto &reached) {
        while (state.violation.empty() && !reached()) {
            const auto next =
                std::find_if(state.network.begin(), state.network.end(), [](const auto &message) {
                    const auto &from = std::visit(
                        [](const auto &body) -> const std::string & { return body.from; },
                        message->body);
                    return message->to != 0 && from != names[0];
                });
            check(next != state.network.end(), "the second host needs only the third");
            state = after(
                state, {StepKind::Deliver, static_cast<std::size_t>(next - state.network.begin())});
        }
    };
    const auto second = [&state]() -> const RaftNode & { return state.hosts[1]->node; };
    deliverUntil([&] { return second().role() == RaftRole::Leader; });
    if (start == Start::LostVote) {
        deliverUntil([&] { return second().leaderReady(); });
        state = after(state, {StepKind::LoseDisk, 2});
    }
    state.trace.reset();
    return state;
}

} // namespace control_model

} // namespace hyssoprock
