#include <string>
#include <vector>

#include <criterion/criterion.h>

#include <hyssoprock/endpoint/replication_state.hpp>

#include "recording_journal.hpp"

using namespace hyssoprock;
using namespace hyssoprock::endpoint;

namespace {

const std::vector<Voter> threeVoters{{"a", "x:1"}, {"b", "x:2"}, {"c", "x:3"}};

struct Node
{
    explicit Node(const std::string &name)
        : state{name, journal}
    {}

    RecordingJournal journal;
    ReplicationState state;
};

std::vector<RowChange> row(const std::string &id)
{
    return {{RowChangeKind::Insert, "t", 1, {{"id", id}}}};
}

void requireSuccess(const Result<LogPosition> &result)
{
    cr_assert(result.has_value());
}

/// Exchanges fetches and answers until the replica is up to date.
void replicate(Node &primary, Node &replica)
{
    for (int round = 0; round < 20; ++round) {
        const auto fetch = replica.state.makeFetch();
        cr_assert(fetch.has_value());
        const auto answer = primary.state.handleFetch(*fetch);
        if (!answer) {
            return;
        }
        static_cast<void>(replica.state.handleEntries(*answer));
    }
    cr_assert_fail("the replica does not catch up");
}

} // namespace

// Guards against counting an entry as held by a majority before a second voter holds it.
Test(replicationState, majorityNeedsASecondVoter)
{
    Node a{"a"};
    Node b{"b"};
    requireSuccess(a.state.promote(1, threeVoters));
    requireSuccess(a.state.append(row("1")));
    cr_assert_eq(a.state.majorityIndex(), 0);
    requireSuccess(b.state.follow(1, "a", "x:1"));
    replicate(a, b);
    cr_assert_eq(a.state.majorityIndex(), 2);
    cr_assert_eq(b.state.majorityIndex(), 2);
}

// Guards against a non-voter that advances the majority index.
Test(replicationState, nonVoterDoesNotCount)
{
    Node a{"a"};
    Node d{"d"};
    requireSuccess(a.state.promote(1, threeVoters));
    requireSuccess(d.state.follow(1, "a", "x:1"));
    replicate(a, d);
    cr_assert_eq(d.state.log().last().index, 1);
    cr_assert_eq(a.state.majorityIndex(), 0);
}

// Guards against a fenced primary that still accepts writes, or whose majority index is advanced by
// a delayed fetch.
Test(replicationState, fencedPrimaryRefusesWritesAndKeepsItsMajority)
{
    Node a{"a"};
    Node b{"b"};
    requireSuccess(a.state.promote(1, threeVoters));
    requireSuccess(b.state.follow(1, "a", "x:1"));
    replicate(a, b);
    requireSuccess(a.state.append(row("unreplicated")));
    const ReplicaFetch late{"b", 1, {1, 2}, 1};
    requireSuccess(a.state.fence(2));
    const auto answer = a.state.handleFetch(late);
    cr_assert(answer.has_value());
    cr_assert_not(answer->accepted);
    cr_assert_eq(a.state.majorityIndex(), 1);
    cr_assert(a.state.append(row("2")).error().kind == ErrorKind::ReadOnlyEndpoint);
    cr_assert(a.state.role() == Role::Fenced);
    cr_assert_eq(a.journal.fencedTerm, 2);
}

// Guards against a fenced replica that accepts entries of the old term after it has reported its
// last position: the old primary could acknowledge a write that the new one does not have.
Test(replicationState, fencedReplicaTakesNothingFromTheOldTerm)
{
    Node a{"a"};
    Node b{"b"};
    requireSuccess(a.state.promote(1, threeVoters));
    requireSuccess(b.state.follow(1, "a", "x:1"));
    const auto fetch = b.state.makeFetch();
    const auto answer = a.state.handleFetch(*fetch);
    cr_assert(b.state.fence(2).value() == LogPosition{});
    cr_assert_not(b.state.handleEntries(*answer).accepted);
    cr_assert(b.state.log().last() == LogPosition{});
    cr_assert_not(b.state.makeFetch().has_value());
}

// Guards against a replica that keeps entries that the new primary does not have.
Test(replicationState, divergentTailIsTruncated)
{
    Node a{"a"};
    Node b{"b"};
    Node c{"c"};
    requireSuccess(a.state.promote(1, threeVoters));
    requireSuccess(b.state.follow(1, "a", "x:1"));
    replicate(a, b);
    for (int i = 0; i < 5; ++i) {
        requireSuccess(a.state.append(row("lost")));
    }
    requireSuccess(b.state.promote(2, threeVoters));
    requireSuccess(b.state.append(row("kept")));
    requireSuccess(c.state.follow(2, "b", "x:2"));
    replicate(b, c);
    requireSuccess(a.state.follow(2, "b", "x:2"));
    replicate(b, a);
    cr_assert(a.state.log().last() == b.state.log().last());
    cr_assert(a.journal.entries == c.journal.entries);
    cr_assert(a.state.log().at(3).changes == row("kept"));
}

// Guards against treating entries of an earlier term as safe because a majority holds them: until a
// majority holds an entry of the new term, an endpoint with a higher last term can still win.
Test(replicationState, earlierTermCountsOnlyWithAnEntryOfThisTerm)
{
    Node a{"a"};
    requireSuccess(a.state.promote(1, threeVoters));
    requireSuccess(a.state.append(row("1")));
    requireSuccess(a.state.promote(2, threeVoters));
    const ReplicaFetch oldEntries{"b", 2, {1, 2}, 0};
    cr_assert(a.state.handleFetch(oldEntries).has_value());
    cr_assert_eq(a.state.majorityIndex(), 0);
    const ReplicaFetch withNewEntry{"b", 2, {2, 3}, 0};
    static_cast<void>(a.state.handleFetch(withNewEntry));
    cr_assert_eq(a.state.majorityIndex(), 3);
}

// Guards against two primaries in one term, a decreasing term, and reuse of a term after a
// restart.
Test(replicationState, termsAreUsedOnce)
{
    Node a{"a"};
    Node b{"b"};
    requireSuccess(a.state.promote(3, threeVoters));
    requireSuccess(a.state.promote(3, threeVoters));
    cr_assert_eq(a.state.log().last().index, 1);
    requireSuccess(b.state.follow(3, "a", "x:1"));
    cr_assert(b.state.promote(3, threeVoters).has_error());
    cr_assert(b.state.promote(2, threeVoters).has_error());
    cr_assert(b.state.follow(2, "a", "x:1").has_error());
    cr_assert(b.state.fence(2).has_error());
    cr_assert(a.state.follow(3, "b", "x:2").has_error());
    cr_assert(a.state.changeVoters(2, threeVoters).has_error());

    RecordingJournal journal;
    ReplicationState restarted{"a", journal};
    restarted.restore(a.journal.fencedTerm, a.journal.entries);
    cr_assert(restarted.promote(3, threeVoters).has_error());
    cr_assert(restarted.promote(4, threeVoters).has_value());
}

// Guards against counting entries that a replica has lost by restarting empty.
Test(replicationState, emptyReplicaNoLongerCounts)
{
    Node a{"a"};
    Node b{"b"};
    requireSuccess(a.state.promote(1, threeVoters));
    requireSuccess(b.state.follow(1, "a", "x:1"));
    replicate(a, b);
    requireSuccess(a.state.append(row("1")));
    Node empty{"b"};
    requireSuccess(empty.state.follow(1, "a", "x:1"));
    static_cast<void>(a.state.handleFetch(*empty.state.makeFetch()));
    cr_assert_eq(a.state.majorityIndex(), 1);
}

// Guards against a voter list that counts one endpoint twice.
Test(replicationState, voterListsAreChecked)
{
    cr_assert(parseVoters("a=x:1,b=x:2").value().size() == 2);
    cr_assert(formatVoters(parseVoters("a=x:1,b=x:2").value()) == "a=x:1,b=x:2");
    cr_assert(parseVoters("a=x:1,a=x:2").has_error());
    cr_assert(parseVoters("a").has_error());
    cr_assert(parseVoters("").has_error());
    cr_assert(parseVoters("=x:1").has_error());
}
