#include "model.hpp"

#include <algorithm>
#include <type_traits>
#include <variant>

#include <xxhash.h>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/message/codec.hpp>

namespace hyssoprock {

/// @brief Serialises numbers, texts and times into a byte string and computes its digest.
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

/// @brief Adds the state of a RaftNode to a digest, without its random generator, so that histories
/// that differ only in the generated numbers lead to the same state.
struct RaftNodeInspector
{
    static void add(DigestInput &input, const RaftNode &node)
    {
        check(!node.join_ && !node.transfer_ && !node.incoming_ && !node.log_.snapshot(),
              "the model has neither voter changes nor snapshots");
        input.add(node.hardState_).add(node.role_).add(node.leader_).add(node.commitIndex_);
        input.add(node.electionDeadline_)
            .add(node.votesBlockedUntil_)
            .add(node.messagesIgnoredUntil_)
            .add(node.preVoteGrantedTo_)
            .add(node.preVoteGrantedUntil_);
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

const std::array<std::string, hostCount> hostNames{"c1", "c2", "c3"};

std::size_t indexOf(const std::string &name)
{
    return static_cast<std::size_t>(std::find(hostNames.begin(), hostNames.end(), name)
                                    - hostNames.begin());
}

/// Uses one election timeout, so that different histories reach equal states, and no drift, as
/// there is a single clock.
RaftSettings modelSettings()
{
    RaftSettings settings;
    settings.electionTimeoutMin = seconds{1};
    settings.electionTimeoutMax = seconds{1};
    settings.clockDriftPerMille = 0;
    return settings;
}

RaftNode makeNode(std::size_t index, Membership membership, const RestoredState &disk, Instant now)
{
    std::vector<std::string> voters;
    if (membership != Membership::Unknown) {
        voters.assign(hostNames.begin(), hostNames.end());
    }
    return {{hostNames[index], std::move(voters), membership == Membership::Founder},
            modelSettings(),
            disk,
            index + 1,
            now};
}

std::uint64_t computeDigest(const Host &host)
{
    DigestInput input;
    RaftNodeInspector::add(input, host.node);
    input.add(host.membership).add(host.disk.hardState).add(host.disk.entries.size());
    for (const auto &entry : host.disk.entries) {
        input.add(entry);
    }
    input.add(host.state.encodeSnapshot()).add(host.proposals.size());
    for (const auto &position : host.proposals) {
        input.add(position);
    }
    return input.digest();
}

std::uint64_t computeDigest(const ObservedHistory &observed)
{
    DigestInput input;
    for (const auto &[term, leader] : observed.leaders) {
        input.add(term).add(leader);
    }
    for (const auto &[index, entry] : observed.committed) {
        input.add(entry);
    }
    return input.add(observed.version).add(observed.token).add(observed.newestAnswerTerm).digest();
}

RaftEvent makeEvent(const State &state, const Step &step)
{
    switch (step.kind) {
    case StepKind::Deliver:
        return raft::MessageReceived{state.network[step.index]->body};
    case StepKind::Put: {
        const auto version = state.observed->documents.empty()
                                 ? std::uint64_t{1}
                                 : state.observed->documents.rbegin()->first + 1;
        return raft::Propose{
            1, encode(ControlCommand{PutDocument{
                   version, hostNames[step.index] + std::to_string(state.remaining.puts)}})};
    }
    case StepKind::Order:
        return raft::Propose{
            1, encode(ControlCommand{OrderPromotion{"s", hostNames[step.index], "", 0}})};
    default:
        return raft::Tick{};
    }
}

std::size_t hostOf(const State &state, const Step &step)
{
    return step.kind == StepKind::Deliver ? state.network[step.index]->to : step.index;
}

/// @brief Executes one step on a copy of a state.
class Transition
{
public:
    explicit Transition(const State &before)
        : state_{before}
        , observed_{*before.observed}
    {}

    State run(const Step &step)
    {
        recordTrace(step);
        const auto index = step.kind == StepKind::CrashAll ? 0 : hostOf(state_, step);
        switch (step.kind) {
        case StepKind::LoseDisk:
            --state_.remaining.lostDisks;
            restart(step.index, {}, true);
            break;
        case StepKind::CrashAll:
            crashAll();
            break;
        default:
            handle(step);
            if (step.crashAfterActions) {
                --state_.remaining.crashes;
                restart(index, state_.hosts[index]->disk);
            }
        }
        observed_.digest = computeDigest(observed_);
        state_.observed = std::make_shared<const ObservedHistory>(std::move(observed_));
        return std::move(state_);
    }

    /// @brief Actions of a step, without executing them.
    RaftActions actionsOf(const Step &step)
    {
        const auto index = hostOf(state_, step);
        auto node = state_.hosts[index]->node;
        return node.handle(makeEvent(state_, step), timeOf(step, node));
    }

private:
    void require(bool holds, const char *invariant)
    {
        if (!holds && state_.violatedInvariant.empty()) {
            state_.violatedInvariant = invariant;
        }
    }

    Instant timeOf(const Step &step, const RaftNode &node) const
    {
        return step.kind == StepKind::Timeout ? std::max(state_.now, *node.nextDeadline())
                                              : state_.now;
    }

    void recordTrace(const Step &step)
    {
        static constexpr std::array kinds{"deliver", "timeout",   "put",
                                          "order",   "lose disk", "crash all"};
        auto text = std::string{kinds[static_cast<std::size_t>(step.kind)]};
        if (step.kind != StepKind::CrashAll) {
            text += " " + hostNames[hostOf(state_, step)];
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
        if (step.crashAfterActions) {
            text += ", crash after " + std::to_string(*step.crashAfterActions) + " actions";
        }
        state_.trace = std::make_shared<const Trace>(state_.trace, std::move(text));
    }

    void restart(std::size_t index, RestoredState disk, bool diskLost = false)
    {
        auto membership = state_.hosts[index]->membership;
        if (diskLost && membership == Membership::Founder) {
            membership = Membership::Unknown;
        }
        auto node = makeNode(index, membership, disk, state_.now);
        setHost(index, Host{std::move(node), membership, std::move(disk)});
    }

    void crashAll()
    {
        --state_.remaining.crashes;
        for (std::size_t i = 0; i < hostCount; ++i) {
            restart(i, state_.hosts[i]->disk);
        }
    }

    void setHost(std::size_t index, Host host)
    {
        host.digest = computeDigest(host);
        state_.hosts[index] = std::make_shared<const Host>(std::move(host));
    }

    void handle(const Step &step)
    {
        const auto index = hostOf(state_, step);
        const auto event = makeEvent(state_, step);
        auto host = *state_.hosts[index];
        switch (step.kind) {
        case StepKind::Deliver:
            state_.network.erase(state_.network.begin() + static_cast<std::ptrdiff_t>(step.index));
            break;
        case StepKind::Timeout:
            --(host.node.role() == RaftRole::Leader ? state_.remaining.heartbeats
                                                    : state_.remaining.timeouts);
            break;
        case StepKind::Put:
            --state_.remaining.puts;
            break;
        default:
            --state_.remaining.orders;
        }
        state_.now = timeOf(step, host.node);
        auto actions = host.node.handle(event, state_.now);
        if (step.crashAfterActions) {
            actions.resize(*step.crashAfterActions);
        }
        for (auto &action : actions) {
            std::visit([&](auto &known) { execute(host, known); }, action);
        }
        checkLeader(host);
        setHost(index, std::move(host));
    }

    void execute(Host &host, raft::Persist &action)
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

    void execute(Host & /*host*/, raft::SendMessage &action)
    {
        auto body = std::visit([](const auto &message) { return encode(message); }, action.message);
        const auto to = indexOf(action.to);
        const auto digest =
            DigestInput{}.add(to).add(action.message.index()).add(std::move(body)).digest();
        const auto position =
            std::find_if(state_.network.begin(), state_.network.end(),
                         [&](const auto &other) { return other->digest >= digest; });
        state_.network.insert(
            position, std::make_shared<const Message>(to, std::move(action.message), digest));
    }

    void execute(Host &host, raft::Apply &action)
    {
        const auto &entry = action.entry;
        const auto [known, added] = observed_.committed.try_emplace(entry.position.index, entry);
        require(known->second == entry, "two entries are committed at one index");
        if (entry.kind != LogEntryKind::Command) {
            return;
        }
        const auto before = host.state.lastToken();
        const auto command = decode<ControlCommand>(entry.payload);
        const auto result = host.state.apply(command.value());
        if (const auto *document = std::get_if<PutDocument>(&command.value().body)) {
            const auto version =
                observed_.documents.try_emplace(document->version, document->document).first;
            require(host.state.version() != document->version
                        || host.state.document() == version->second,
                    "a version has two contents");
        } else {
            require(result.token > before, "a token does not rise");
            require(observed_.tokens.try_emplace(result.token, entry.position.index).first->second
                        == entry.position.index,
                    "two orders share a token");
        }
        const auto own = std::find(host.proposals.begin(), host.proposals.end(), entry.position);
        if (own != host.proposals.end()) {
            host.proposals.erase(own);
            observed_.version = std::max(observed_.version, host.state.version());
            observed_.token = std::max(observed_.token, host.state.lastToken());
            observed_.newestAnswerTerm = std::max(observed_.newestAnswerTerm, host.node.term());
        }
    }

    void execute(Host &host, raft::ProposalAppended &action)
    {
        host.proposals.push_back(action.position);
    }

    template <typename Other>
    void execute(Host & /*host*/, Other & /*action*/)
    {}

    void checkLeader(const Host &host)
    {
        const auto &node = host.node;
        if (node.role() != RaftRole::Leader) {
            return;
        }
        const auto &leader = observed_.leaders.try_emplace(node.term(), node.name()).first->second;
        require(leader == node.name(), "two leaders of one term");
        // Without a valid lease, a leader of an earlier term may not know yet that it was replaced.
        if (node.leaderReady()
            && (node.term() >= observed_.newestAnswerTerm || node.leaseValid(state_.now))) {
            require(host.state.version() >= observed_.version,
                    "an acknowledged configuration is lost");
            require(host.state.lastToken() >= observed_.token, "an acknowledged token is lost");
        }
    }

    State state_;
    ObservedHistory observed_;
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
    return input.add(now).add(remaining).add(observed->digest).digest();
}

std::vector<Step> possibleSteps(const State &state)
{
    std::vector<Step> steps;
    for (std::size_t i = 0; i < state.network.size(); ++i) {
        // Delivering either of two equal messages leads to the same state.
        if (i == 0 || state.network[i]->digest != state.network[i - 1]->digest) {
            steps.push_back({StepKind::Deliver, i});
        }
    }
    for (std::size_t i = 0; i < hostCount; ++i) {
        const auto leads = state.hosts[i]->node.role() == RaftRole::Leader;
        const std::array<std::pair<StepKind, bool>, 4> kinds{{
            {StepKind::Timeout,
             (leads ? state.remaining.heartbeats : state.remaining.timeouts) > 0},
            {StepKind::Put, leads && state.remaining.puts > 0},
            {StepKind::Order, leads && state.remaining.orders > 0},
            {StepKind::LoseDisk, state.remaining.lostDisks > 0},
        }};
        for (const auto &[kind, possible] : kinds) {
            if (possible) {
                steps.push_back({kind, i});
            }
        }
    }
    if (state.remaining.crashes > 0) {
        steps.push_back({StepKind::CrashAll});
    }
    return steps;
}

State applyStep(const State &state, const Step &step)
{
    return Transition{state}.run(step);
}

std::vector<Step> crashesWithin(const State &state, const Step &step)
{
    std::vector<Step> result;
    if (state.remaining.crashes == 0 || step.kind == StepKind::LoseDisk
        || step.kind == StepKind::CrashAll) {
        return result;
    }
    // A crash elsewhere equals a restart before the step, or one after it with lost messages.
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

/// Three hosts without state.
State makeBlankHosts(Membership membership)
{
    State state;
    state.observed = std::make_shared<const ObservedHistory>();
    for (std::size_t i = 0; i < hostCount; ++i) {
        Host host{makeNode(i, membership, {}, state.now), membership};
        host.digest = computeDigest(host);
        state.hosts[i] = std::make_shared<const Host>(std::move(host));
    }
    return state;
}

/// Group with one leader, one acknowledged configuration and one acknowledged order.
State makeFormedGroup()
{
    auto state = makeBlankHosts(Membership::Named);
    state.remaining = {1, 2, 1, 1, 0, 0};
    const auto deliverAll = [&state] {
        while (!state.network.empty()) {
            state = applyStep(state, {StepKind::Deliver, 0});
        }
    };
    using enum StepKind;
    for (const auto kind : {Timeout, Put, Order, Timeout, Timeout}) {
        state = applyStep(state, {kind, 0});
        deliverAll();
        if (!state.violatedInvariant.empty()) {
            return state;
        }
    }
    check(state.observed->version == 1 && state.observed->token == 1
              && state.hosts[1]->state.version() == 1,
          "the group starts with an acknowledged configuration and order");
    state.trace.reset();
    return state;
}

} // namespace

State makeStartState(Start start)
{
    if (start == Start::First || start == Start::TwoFounders) {
        auto state = makeBlankHosts(Membership::Founder);
        state.remaining = {1, 1, 1, 0, 0, 0};
        if (start == Start::First) {
            return state;
        }
        // The third host has not received anything yet.
        state = applyStep(state, {StepKind::Timeout, 0});
        const auto deliver = [&state] {
            for (std::size_t i = 0; i < state.network.size();) {
                const auto &message = *state.network[i];
                const auto &from =
                    std::visit([](const auto &body) -> const std::string & { return body.from; },
                               message.body);
                if (message.to == 2 || from == hostNames[2]) {
                    ++i;
                } else {
                    state = applyStep(state, {StepKind::Deliver, i});
                    i = 0;
                }
            }
        };
        deliver();
        state = applyStep(state, {StepKind::Put, 0});
        deliver();
        check(state.observed->version == 1, "two founders have acknowledged a configuration");
        state.trace.reset();
        return state;
    }
    auto state = makeFormedGroup();
    if (start == Start::Formed || !state.violatedInvariant.empty()) {
        return state;
    }
    state.remaining = {1, 0, 1, 0, 1, 0};
    state = applyStep(applyStep(state, {StepKind::Put, 0}), {StepKind::Timeout, 1});
    const auto deliverUntil = [&state](const auto &reached) {
        while (state.violatedInvariant.empty() && !reached()) {
            const auto next =
                std::find_if(state.network.begin(), state.network.end(), [](const auto &message) {
                    const auto &from = std::visit(
                        [](const auto &body) -> const std::string & { return body.from; },
                        message->body);
                    return message->to != 0 && from != hostNames[0];
                });
            check(next != state.network.end(), "the second host needs only the third");
            state = applyStep(
                state, {StepKind::Deliver, static_cast<std::size_t>(next - state.network.begin())});
        }
    };
    const auto second = [&state]() -> const RaftNode & { return state.hosts[1]->node; };
    deliverUntil([&] { return second().role() == RaftRole::Leader; });
    if (start == Start::LostVote) {
        deliverUntil([&] { return second().leaderReady(); });
        state = applyStep(state, {StepKind::LoseDisk, 2});
    }
    state.trace.reset();
    return state;
}

} // namespace control_model

} // namespace hyssoprock
