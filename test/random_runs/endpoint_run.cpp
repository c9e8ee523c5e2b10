#include "endpoint_run.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/endpoint/database.hpp>
#include <support/event_digest.hpp>

namespace hyssoprock::random_runs {

namespace {

using endpoint::Database;
using endpoint::Role;
using endpoint::Voter;

constexpr int stepsPerSeed = 3000;
constexpr Duration stepTime = std::chrono::milliseconds{1};
constexpr Duration largestLag = std::chrono::milliseconds{20};

struct Disk final : endpoint::Journal
{
    void fence(std::uint64_t term) override { fencedTerm = term; }
    void append(const TransactionEntry &entry) override { entries.push_back(entry); }
    void truncateAfter(std::uint64_t index) override { entries.resize(index); }

    std::uint64_t fencedTerm = 0;
    std::vector<TransactionEntry> entries;
};

struct Node
{
    std::string name;
    std::unique_ptr<Disk> disk = std::make_unique<Disk>();
    std::unique_ptr<Database> database;
};

struct Message
{
    std::size_t to = 0;
    std::optional<ReplicaFetch> fetch;
    std::size_t from = 0;
    std::optional<ReplicaEntries> answer;
};

class Cluster
{
public:
    explicit Cluster(std::uint64_t seed)
        : random_{seed}
    {
        const auto count = random_.chance(50) ? 3U : 5U;
        for (std::size_t i = 0; i < count; ++i) {
            nodes_.push_back({"e" + std::to_string(i)});
            voters_.push_back({nodes_.back().name, std::to_string(i)});
            start(nodes_.back());
        }
    }

    RunReport run()
    {
        for (int step = 0; step < stepsPerSeed; ++step) {
            now_ += stepTime;
            ++report_.steps;
            act();
            observe();
        }
        settle();
        return report_;
    }

private:
    void start(Node &node)
    {
        // The restored journal is a copy, as restore() does not write to it again.
        node.database = std::make_unique<Database>(
            node.name, random_.between(Duration{0}, largestLag), *node.disk);
        node.database->restore(node.disk->fencedTerm, node.disk->entries);
    }

    Node &anyNode() { return nodes_[random_.below(nodes_.size())]; }

    void act()
    {
        const auto choice = random_.below(100);
        if (choice < 35) {
            fetch(random_.below(nodes_.size()));
        } else if (choice < 75) {
            deliver();
        } else if (choice < 93) {
            write(anyNode());
        } else if (choice < 96) {
            promote();
        } else if (choice < 98) {
            order(anyNode());
        } else {
            crash();
        }
    }

    void crash()
    {
        auto &node = anyNode();
        if (random_.chance(50)) {
            node.database.reset();
            ++report_.faults["crash"];
        }
        for (auto &other : nodes_) {
            if (!other.database && random_.chance(70)) {
                start(other);
                ++report_.events["restart"];
            }
        }
    }

    void write(Node &node)
    {
        if (!node.database) {
            return;
        }
        RowChange change{RowChangeKind::Insert, "t", Database::firstProvisionalRow, {}};
        change.values = {{"id", std::to_string(++writes_)}};
        const auto term = node.database->replication().term();
        const auto role = node.database->replication().role();
        const auto position = node.database->commit({change}, term);
        check(position.has_value() == (role == Role::Primary), "only an unfenced primary commits");
        ++report_.events[position.has_value() ? "commit" : "refused commit"];
    }

    void fetch(std::size_t from)
    {
        if (!nodes_[from].database) {
            return;
        }
        const auto request = nodes_[from].database->replication().makeFetch();
        if (request) {
            const auto address = nodes_[from].database->replication().primaryAddress();
            messages_.push_back({std::stoul(address), request, from, std::nullopt});
        }
    }

    /// Any message of those under way, so that they overtake each other.
    void deliver()
    {
        if (messages_.empty()) {
            return;
        }
        const auto at = static_cast<std::ptrdiff_t>(random_.below(messages_.size()));
        const auto message = messages_[static_cast<std::size_t>(at)];
        if (!random_.chance(5)) {
            messages_.erase(messages_.begin() + at);
        } else {
            ++report_.faults["duplicated message"];
        }
        auto &target = nodes_[message.to];
        if (random_.chance(10) || !target.database) {
            ++report_.faults["lost message"];
            return;
        }
        if (message.answer) {
            const auto before = target.database->replication().log().last();
            static_cast<void>(target.database->handleEntries(*message.answer, now_));
            if (!target.database->replication().log().contains(before)) {
                ++report_.events["truncated tail"];
            }
        } else if (auto answer = target.database->handleFetch(*message.fetch)) {
            messages_.push_back({message.from, std::nullopt, message.to, std::move(answer)});
        }
    }

    /// What the control group does: fence a majority, promote its newest log. Stops in between at
    /// times, as if the leader had died.
    void promote()
    {
        const auto term = ++term_;
        Node *best = nullptr;
        std::size_t fenced = 0;
        for (auto &node : nodes_) {
            if (!node.database || random_.chance(15)) {
                continue;
            }
            const auto last = node.database->fence(term);
            check(last.has_value(), "a new term can always be fenced");
            ++fenced;
            if (best == nullptr || best->database->replication().log().last() < last.value()) {
                best = &node;
            }
        }
        if (fenced <= nodes_.size() / 2 || random_.chance(10)) {
            ++report_.faults["election given up"];
            return;
        }
        check(best->database->promote(term, voters_).has_value(), "the newest log can be promoted");
        ++report_.events["promotion"];
        primary_ = best->name;
        primaryTerm_ = term;
        checkHoldsAcknowledged(*best);
    }

    void order(Node &node)
    {
        if (!node.database || primary_.empty() || node.name == primary_) {
            return;
        }
        const auto followed = node.database->follow(primaryTerm_, primary_, primary_.substr(1));
        ++report_.events[followed.has_value() ? "follow" : "refused follow"];
    }

    void observe()
    {
        for (auto &node : nodes_) {
            if (!node.database) {
                continue;
            }
            node.database->applyDue(now_);
            const auto &replication = node.database->replication();
            test::eventDigest().record(now_, node.name, replication.role(), replication.term(),
                                       replication.log().last().index);
            check(replication.majorityIndex() <= replication.log().last().index,
                  "the majority index lies within the log");
            if (replication.role() != Role::Primary) {
                continue;
            }
            for (auto index = acknowledged_.size() + 1; index <= replication.majorityIndex();
                 ++index) {
                acknowledged_.push_back(replication.log().at(index));
                ++report_.events["entry held by a majority"];
            }
        }
    }

    void checkHoldsAcknowledged(const Node &node)
    {
        const auto &log = node.database->replication().log();
        check(log.last().index >= acknowledged_.size(), "a primary's log is long enough");
        for (std::size_t i = 0; i < acknowledged_.size(); ++i) {
            check(log.at(i + 1) == acknowledged_[i],
                  "an entry that a majority held is in the log of every later primary");
        }
    }

    void checkTables(const Node &node)
    {
        const auto &database = *node.database;
        endpoint::TableStore expected;
        for (std::uint64_t i = 1; i <= database.visiblePosition().index; ++i) {
            expected.apply(database.replication().log().at(i));
        }
        const auto *wanted = expected.find("t");
        const auto *found = database.tables().find("t");
        check((wanted == nullptr) == (found == nullptr), "tables agree with the log");
        if (wanted != nullptr) {
            const auto numbers = wanted->find({});
            check(numbers == found->find({}), "rows agree with the log");
            for (const auto number : numbers) {
                check(*wanted->row(number) == *found->row(number), "values agree with the log");
            }
        }
    }

    /// Without further faults every endpoint ends with the same log.
    void settle()
    {
        messages_.clear();
        for (auto &node : nodes_) {
            if (!node.database) {
                start(node);
            }
        }
        const auto term = ++term_;
        Node *best = &nodes_.front();
        for (auto &node : nodes_) {
            const auto last = node.database->fence(term).value();
            if (best->database->replication().log().last() < last) {
                best = &node;
            }
        }
        check(best->database->promote(term, voters_).has_value(), "the last election succeeds");
        checkHoldsAcknowledged(*best);
        for (auto &node : nodes_) {
            checkTables(node);
            if (&node != best) {
                catchUp(node, *best, term);
            }
        }
        check(best->database->replication().majorityIndex()
                  == best->database->replication().log().last().index,
              "the whole log is held by a majority in the end");
    }

    void catchUp(Node &node, Node &primary, std::uint64_t term)
    {
        check(node.database->follow(term, primary.name, primary.name.substr(1)).has_value(),
              "every other endpoint follows");
        while (const auto answer =
                   primary.database->handleFetch(*node.database->replication().makeFetch())) {
            check(node.database->handleEntries(*answer, now_), "answers of the primary are taken");
        }
        node.database->applyDue(now_ + largestLag);
        check(node.disk->entries == primary.disk->entries, "all logs agree in the end");
        checkTables(node);
    }

    RandomSource random_;
    RunReport report_;
    Instant now_{};
    std::vector<Node> nodes_;
    std::vector<Voter> voters_;
    std::vector<Message> messages_;
    std::vector<TransactionEntry> acknowledged_;
    std::uint64_t term_ = 0;
    std::uint64_t primaryTerm_ = 0;
    std::uint64_t writes_ = 0;
    std::string primary_;
};

} // namespace

RunReport runEndpoint(std::uint64_t seed)
{
    return Cluster{seed}.run();
}

} // namespace hyssoprock::random_runs
