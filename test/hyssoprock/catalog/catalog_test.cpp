#include <string>
#include <utility>

#include <criterion/criterion.h>

#include <hyssoprock/catalog/catalog.hpp>

using namespace hyssoprock;

namespace {

/// Catalogue with the group "orders" of three endpoints. Assigns consecutive log indexes.
struct Fixture
{
    Catalog catalog;
    std::uint64_t index = 0;

    CatalogResult apply(decltype(CatalogCommand::body) body)
    {
        return catalog.apply(CatalogCommand{std::move(body)}, ++index);
    }

    CatalogResult change(const std::string &id, std::uint64_t base,
                         decltype(OperatorChange::change) body,
                         const std::string &operatorName = "anna")
    {
        return apply(OperatorChange{id, base, operatorName, std::move(body)});
    }

    CatalogResult changeCurrentRevision(const std::string &id,
                                        decltype(OperatorChange::change) body)
    {
        return change(id, catalog.configuration().revision, std::move(body));
    }

    void formGroup()
    {
        changeCurrentRevision("declare", DeclareGroup{"orders", 3});
        for (const std::string name : {"orders-1", "orders-2", "orders-3"}) {
            apply(RecordEndpoint{{name, "orders", "dc-a", "127.0.0.1:5001", 1, 40, 5}});
        }
    }

    void activate(std::uint64_t term, const std::string &primary)
    {
        apply(BeginTerm{"orders", term});
        apply(SetPrimary{"orders", term, primary});
        apply(ActivatePrimary{"orders", term});
    }
};

RecordKindRule rule(std::vector<VersionRule> versions)
{
    return {"orders", "order", 2000, true, std::move(versions), 0};
}

ErrorKind kindOf(const CatalogResult &result)
{
    return result.answer.kind;
}

} // namespace

// Guards against accepting two changes with the same base revision, and against a conflict that
// does not name the accepted change.
Test(catalog, concurrentChangesOfOneRevisionHaveOneWinner)
{
    Fixture fixture;
    const auto first = fixture.change("anna-1", 0, DeclareGroup{"orders", 3});
    const auto second = fixture.change("bert-1", 0, DeclareGroup{"bills", 3}, "bert");
    cr_assert_eq(kindOf(first), ErrorKind::None);
    cr_assert_eq(first.answer.revision, 1u);
    cr_assert_eq(kindOf(second), ErrorKind::RevisionConflict);
    cr_assert(second.answer.winner == "anna-1");
    cr_assert(fixture.catalog.findGroup("bills") == nullptr);

    fixture.change("anna-2", 1, DeclareGroup{"stock", 3});
    const auto late = fixture.change("carl-1", 0, DeclareGroup{"bills", 3}, "carl");
    cr_assert(late.answer.winner == "anna-1", "the winner is the change on the same base");
}

// Guards against a repeated change that is applied twice or gets another response, also after a
// restart from a snapshot.
Test(catalog, aRepeatedChangeGetsItsFirstResponseAlsoAfterASnapshot)
{
    Fixture fixture;
    const auto accepted = fixture.change("anna-1", 0, DeclareGroup{"orders", 3});
    const auto refused = fixture.change("bert-1", 0, DeclareGroup{"bills", 3}, "bert");
    fixture.change("anna-2", 1, DeclareGroup{"stock", 3});

    Catalog restored;
    cr_assert(restored.restoreSnapshot(fixture.catalog.encodeSnapshot()).has_value());
    cr_assert(restored.encodeSnapshot() == fixture.catalog.encodeSnapshot());
    for (Catalog *catalog : {&fixture.catalog, &restored}) {
        const OperatorChange first{"anna-1", 0, "anna", DeclareGroup{"orders", 3}};
        const OperatorChange second{"bert-1", 0, "bert", DeclareGroup{"bills", 3}};
        const auto again = catalog->apply(CatalogCommand{first}, 100);
        cr_assert(again.answer == accepted.answer);
        cr_assert(!again.configurationChanged);
        cr_assert(catalog->apply(CatalogCommand{second}, 101).answer == refused.answer);
        cr_assert_eq(catalog->configuration().revision, 2u);
    }
}

// Guards against reporting success to an operator whose change ID was used for another change.
Test(catalog, aChangeIdOfAnotherChangeIsAConflict)
{
    Fixture fixture;
    fixture.change("change-7", 0, DeclareGroup{"orders", 3});
    const auto other = fixture.change("change-7", 0, DeclareGroup{"bills", 3}, "bert");
    cr_assert_eq(kindOf(other), ErrorKind::RevisionConflict);
    cr_assert(other.answer.winner == "change-7");
    cr_assert(fixture.catalog.findGroup("bills") == nullptr);
}

// Guards against unbounded memory for change IDs, and against applying a change again after its ID
// was discarded.
Test(catalog, onlyTheNewestTenThousandChangesAreKeptAndADiscardedOneIsNeverAppliedAgain)
{
    Fixture fixture;
    fixture.change("first", 0, DeclareGroup{"orders", 3});
    fixture.change("second", 1, DeclareGroup{"orders", 4});
    for (std::size_t i = 2; i < Catalog::rememberedChangesMax; ++i) {
        fixture.change("filler-" + std::to_string(i), 0, DeclareGroup{"orders", 5});
    }
    cr_assert_eq(kindOf(fixture.change("first", 0, DeclareGroup{"orders", 3})), ErrorKind::None);
    fixture.change("one-more", 0, DeclareGroup{"orders", 5});
    const auto forgotten = fixture.change("first", 0, DeclareGroup{"orders", 3});
    cr_assert_eq(kindOf(forgotten), ErrorKind::RevisionConflict);
    cr_assert_eq(fixture.catalog.configuration().revision, 2u);
}

// Guards against rules that entry hosts cannot use, and against removing a version that callers may
// still write.
Test(catalog, schemaVersionsAreSortedAndADroppedVersionIsNoLongerWritable)
{
    Fixture fixture;
    fixture.formGroup();
    const auto declare = [&](const std::string &id, std::vector<VersionRule> versions) {
        return kindOf(
            fixture.changeCurrentRevision(id, DeclareRecordKind{rule(std::move(versions))}));
    };
    cr_assert_eq(declare("a", {}), ErrorKind::InvalidValue);
    cr_assert_eq(declare("b", {{2, {}, true}, {1, {}, true}}), ErrorKind::InvalidValue);
    cr_assert_eq(declare("c", {{1, {}, true}, {1, {}, true}}), ErrorKind::InvalidValue);
    cr_assert_eq(declare("d", {{1, {}, true}, {2, {}, true}}), ErrorKind::None);
    cr_assert_eq(declare("e", {{2, {}, true}}), ErrorKind::Refused);
    cr_assert_eq(declare("f", {{1, {}, false}, {2, {}, true}}), ErrorKind::None);
    cr_assert_eq(declare("g", {{2, {}, true}}), ErrorKind::None);
    cr_assert_eq(kindOf(fixture.changeCurrentRevision("h", RemoveRecordKind{"orders", "order"})),
                 ErrorKind::Refused);

    auto foreign = rule({{1, {}, true}});
    foreign.group = "nowhere";
    cr_assert_eq(kindOf(fixture.changeCurrentRevision("i", DeclareRecordKind{foreign})),
                 ErrorKind::UnknownGroup);
    const auto &kept = fixture.catalog.configuration().rules;
    cr_assert_eq(kept.size(), 1u);
    cr_assert_eq(kept.front().revision, fixture.catalog.configuration().revision);
}

// Guards against commands out of order: every step requires the previous one.
Test(catalog, termsPrimariesAndVotersChangeOnlyInOrder)
{
    Fixture fixture;
    fixture.changeCurrentRevision("declare", DeclareGroup{"orders", 3});
    cr_assert_eq(kindOf(fixture.apply(BeginTerm{"orders", 1})), ErrorKind::Refused,
                 "too few endpoints");
    fixture.formGroup();
    cr_assert_eq(kindOf(fixture.apply(BeginTerm{"orders", 2})), ErrorKind::Refused);
    cr_assert_eq(kindOf(fixture.apply(BeginTerm{"orders", 1})), ErrorKind::None);
    cr_assert_eq(kindOf(fixture.apply(ActivatePrimary{"orders", 1})), ErrorKind::Refused);
    fixture.apply(RecordEndpoint{{"orders-4", "orders", "dc-a", "127.0.0.1:5004", 1, 40, 5}});
    cr_assert_eq(kindOf(fixture.apply(SetPrimary{"orders", 1, "orders-4"})), ErrorKind::Refused,
                 "no voter");
    cr_assert_eq(kindOf(fixture.apply(SetPrimary{"orders", 1, "orders-1"})), ErrorKind::None);
    cr_assert_eq(kindOf(fixture.apply(SetPrimary{"orders", 1, "orders-2"})), ErrorKind::Refused);
    cr_assert_eq(kindOf(fixture.apply(SetVoter{"orders", 1, "orders-4", true})), ErrorKind::Refused,
                 "not active yet");
    cr_assert_eq(kindOf(fixture.apply(ActivatePrimary{"orders", 1})), ErrorKind::None);
    cr_assert_eq(kindOf(fixture.apply(SetVoter{"orders", 1, "orders-1", false})),
                 ErrorKind::Refused, "the primary votes");
    cr_assert_eq(kindOf(fixture.apply(SetVoter{"orders", 1, "orders-4", true})), ErrorKind::None);
    cr_assert_eq(kindOf(fixture.apply(BeginTerm{"orders", 1})), ErrorKind::Refused);
}

// Guards against a planned stop that leaves no majority, and against stopping a primary.
Test(catalog, plannedStopsKeepAMajorityInService)
{
    Fixture fixture;
    fixture.formGroup();
    fixture.activate(1, "orders-1");
    cr_assert_eq(kindOf(fixture.changeCurrentRevision("a", PlanStop{"nobody"})),
                 ErrorKind::Refused);
    cr_assert_eq(kindOf(fixture.changeCurrentRevision("b", PlanStop{"orders-1"})), ErrorKind::None);
    cr_assert_eq(kindOf(fixture.changeCurrentRevision("c", PlanStop{"orders-1"})),
                 ErrorKind::Refused);
    cr_assert_eq(kindOf(fixture.changeCurrentRevision("d", PlanStop{"orders-2"})),
                 ErrorKind::Refused);
    cr_assert_eq(kindOf(fixture.apply(MarkStopped{"orders-1"})), ErrorKind::Refused);
    fixture.activate(2, "orders-2");
    cr_assert_eq(kindOf(fixture.apply(MarkStopped{"orders-1"})), ErrorKind::None);
    cr_assert_eq(kindOf(fixture.changeCurrentRevision("e", CancelStop{"orders-1"})),
                 ErrorKind::None);
    cr_assert(fixture.catalog.findMember("orders-1")->state == EndpointState::Active);
    cr_assert(fixture.catalog.configuration().stops.empty());
}

// Guards against an outdated announcement that restores a former address, and against names that
// would break the statements that contain them.
Test(catalog, announcementsAreValidatedAndNeverReverted)
{
    Fixture fixture;
    fixture.formGroup();
    const auto announce = [&](Announcement announcement) {
        return kindOf(fixture.apply(RecordEndpoint{std::move(announcement)}));
    };
    cr_assert_eq(announce({"orders-1", "orders", "dc-a", "127.0.0.1:6001", 2, 40, 5}),
                 ErrorKind::None);
    cr_assert_eq(announce({"orders-1", "orders", "dc-a", "127.0.0.1:5001", 1, 40, 5}),
                 ErrorKind::Refused);
    cr_assert_eq(announce({"o'1,x=y", "orders", "dc-a", "127.0.0.1:1", 1, 1, 1}),
                 ErrorKind::InvalidValue);
    cr_assert_eq(announce({"o-1", "orders", "dc-a", "1,b=2", 1, 1, 1}), ErrorKind::InvalidValue);
    cr_assert_eq(announce({"o-1", "nowhere", "dc-a", "127.0.0.1:1", 1, 1, 1}),
                 ErrorKind::UnknownGroup);
    cr_assert(fixture.catalog.findMember("orders-1")->announcement.address == "127.0.0.1:6001");
}

// Guards against a host that misses a view change: the difference to any version must be complete.
Test(catalog, viewsAfterAVersionAreExactlyTheChangedOnes)
{
    Fixture fixture;
    fixture.formGroup();
    const auto before = fixture.catalog.viewVersion();
    cr_assert(fixture.catalog.viewsAfter(before).empty());
    fixture.changeCurrentRevision("bills", DeclareGroup{"bills", 1});
    fixture.apply(BeginTerm{"orders", 1});
    fixture.apply(SetPrimary{"orders", 1, "orders-2"});
    const auto views = fixture.catalog.viewsAfter(before);
    cr_assert_eq(views.size(), 2u);
    cr_assert(views[0].group == "bills" && views[1].group == "orders");
    cr_assert_eq(views[1].version, fixture.catalog.viewVersion());
    cr_assert_eq(fixture.catalog.viewsAfter(0).size(), 2u);
}

// Guards against a damaged snapshot that replaces a valid state.
Test(catalog, aDamagedSnapshotIsRefusedAndChangesNothing)
{
    Fixture fixture;
    fixture.formGroup();
    const auto good = fixture.catalog.encodeSnapshot();
    cr_assert(fixture.catalog.restoreSnapshot(good.substr(0, good.size() / 2)).has_error());
    cr_assert(fixture.catalog.encodeSnapshot() == good);
}
