#include <criterion/criterion.h>

#include <set>
#include <string>

#include <hyssoprock/deployment/control_state.hpp>

using namespace hyssoprock;

// Guards against replacing the stored document by an older one, or by another one of the same
// version.
Test(controlState, keepsTheHighestVersion)
{
    ControlState state;
    cr_assert(state.apply({PutDocument{7, "seven"}}).changed);
    cr_assert(!state.apply({PutDocument{6, "six"}}).changed);
    cr_assert(!state.apply({PutDocument{7, "other"}}).changed);
    cr_assert(state.version() == 7 && state.document() == "seven");
    cr_assert(state.apply({PutDocument{8, "eight"}}).changed);
    cr_assert(state.document() == "eight");
}

// Guards against two orders with the same token, also across services.
Test(controlState, eachOrderGetsAHigherToken)
{
    ControlState state;
    cr_assert(state.apply({OrderPromotion{"a", "e1"}}) == (ControlResult{true, 1}));
    cr_assert(state.apply({OrderPromotion{"b", "e2"}}) == (ControlResult{true, 2}));
    cr_assert(state.apply({OrderPromotion{"a", "e3", "e1", 7}}) == (ControlResult{true, 3}));
    cr_assert(state.promotions().at("a") == (PromotionRecord{"a", "e3", 3, false, false, "e1", 7}));
    cr_assert(state.lastToken() == 3);
}

// Guards against a late answer to an earlier call that settles the newest order.
Test(controlState, onlyTheNewestOrderIsSettled)
{
    ControlState state;
    state.apply({OrderPromotion{"a", "e1"}});
    state.apply({OrderPromotion{"a", "e2"}});
    cr_assert(!state.apply({SettlePromotion{"a", 1, true}}).changed);
    cr_assert(!state.apply({SettlePromotion{"other", 2, true}}).changed);
    cr_assert(!state.promotions().at("a").settled);
    cr_assert(state.apply({SettlePromotion{"a", 2, true}}).changed);
    cr_assert(!state.apply({SettlePromotion{"a", 2, false}}).changed);
    cr_assert(state.promotions().at("a").settled && state.promotions().at("a").promoted);
}

// Guards against removing a resume before it is finished, and against keeping it forever.
Test(controlState, keepsUnfinishedResumes)
{
    ControlState state;
    cr_assert(state.apply({IntendResume{"a", {"e1", "e2"}}}).changed);
    cr_assert(state.apply({IntendResume{"b", {"e1"}}}).changed);
    cr_assert(!state.apply({IntendResume{"a", {"e2"}}}).changed);
    cr_assert(state.apply({FinishResume{"a", {"e1"}}}).changed);
    cr_assert(!state.apply({FinishResume{"a", {"e1"}}}).changed);
    cr_assert(state.unfinishedResumes().at("a") == std::set<std::string>{"e2"});
    cr_assert(state.apply({FinishResume{"a", {"e2"}}}).changed);
    cr_assert(!state.unfinishedResumes().contains("a"));
    cr_assert(state.unfinishedResumes().at("b") == std::set<std::string>{"e1"});
}

// Guards against losing the start of a term with the leader that promoted its primary, and against
// the start of a term that a refused promotion did not open.
Test(controlState, startsOfTermsAreThoseOfAcceptedPromotions)
{
    const TermStart first{4, {3, 10}};
    const TermStart second{5, {4, 30}};
    ControlState state;
    state.apply({OrderPromotionAt{{"a", "e1"}, first}});
    cr_assert(state.termStarts().at("a").proposed == first);
    state.apply({SettlePromotion{"a", 1, false}});
    cr_assert(state.termStarts().at("a").known.empty());
    state.apply({OrderPromotionAt{{"a", "e1"}, first}});
    state.apply({SettlePromotion{"a", 2, true}});
    state.apply({OrderPromotionAt{{"a", "e2"}, second}});
    cr_assert(state.termStarts().at("a").known == (std::vector<TermStart>{first}));
    // The outcome of this call is unknown.
    state.apply({OrderPromotion{"a", "e3"}});
    cr_assert(state.termStarts().at("a").known == (std::vector<TermStart>{first, second}));
    ControlState copy;
    cr_assert(copy.restoreSnapshot(state.encodeSnapshot()).has_value());
    cr_assert(copy.termStarts() == state.termStarts());
}

// Guards against a snapshot without some field, and against restoring a damaged one.
Test(controlState, snapshotContainsTheWholeState)
{
    ControlState state;
    state.apply({PutDocument{7, "seven"}});
    state.apply({OrderPromotion{"a", "e1"}});
    state.apply({SettlePromotion{"a", 1, true}});
    state.apply({OrderPromotion{"b", "e2", "e1", 5}});
    state.apply({IntendResume{"a", {"e1", "e2"}}});
    ControlState copy;
    cr_assert(copy.restoreSnapshot(state.encodeSnapshot()).has_value());
    cr_assert(copy.encodeSnapshot() == state.encodeSnapshot());
    cr_assert(copy.document() == "seven" && copy.lastToken() == 2);
    cr_assert(copy.promotions() == state.promotions());
    cr_assert(copy.unfinishedResumes() == state.unfinishedResumes());
    cr_assert(copy.unfinishedResumes().at("a").size() == 2);
    const auto bytes = state.encodeSnapshot();
    cr_assert(copy.restoreSnapshot(bytes.substr(0, bytes.size() - 1)).has_error());
    cr_assert(copy.encodeSnapshot() == bytes);
}
