#include <vector>

#include <criterion/criterion.h>

#include <hyssoprock/endpoint/replication_state.hpp>

#include "recording_journal.hpp"

using namespace hyssoprock;
using namespace hyssoprock::endpoint;

// Guards against a delayed call that restores an older set of voters, whose majorities need not
// overlap with those of the current set.
Test(replicationState, olderVotersOfTheSameTermAreRefused)
{
    const std::vector<Voter> three{{"a", "x:1"}, {"b", "x:2"}, {"c", "x:3"}};
    const std::vector<Voter> two{{"a", "x:1"}, {"b", "x:2"}};
    RecordingJournal journal;
    ReplicationState state{"a", journal};
    cr_assert(state.promote(2, three).has_value());
    cr_assert(state.changeVoters(2, two, 7).has_value());
    cr_assert(state.changeVoters(2, three, 6).error().kind == ErrorKind::Refused);
    cr_assert(state.voters() == two);
    cr_assert(state.changeVoters(2, two, 7).has_value(), "a repeated call is accepted");
    // Versions start again in each term.
    cr_assert(state.promote(3, three).has_value());
    cr_assert(state.changeVoters(3, two, 1).has_value());
}
