#include <criterion/criterion.h>

#include <hyssoprock/pooling/session_limits.hpp>

using namespace hyssoprock;

namespace {

Statement set(std::string name, std::size_t bytes)
{
    Statement statement;
    statement.kind = StatementKind::SetVariable;
    statement.name = std::move(name);
    statement.argument = std::string(bytes, 'v');
    return statement;
}

} // namespace

// Guards against sessions that fill the host's memory with variables, and against limits that keep
// a session from replacing a value that it has.
Test(sessionLimits, boundsTheNumberAndTheSizeOfVariables)
{
    SessionLimits limits;
    limits.variables = 1;
    limits.valueBytes = 1000;
    SessionValues values;
    const auto allowed = [&](const Statement &statement) {
        const auto bytes = valueBytesAfter(values, values.variables.empty() ? 0 : 300, statement);
        return !exceededLimit(limits, values, bytes, statement);
    };
    cr_assert(allowed(set("a", 500)));
    cr_assert(!allowed(set("a", 1000)));
    values.variables["a"] = std::string(139, 'v');
    cr_assert(!allowed(set("b", 1)));
    cr_assert(allowed(set("a", 700)));
    cr_assert(!allowed(set("a", 900)));
}

// Guards against an account that grows although values are replaced or removed.
Test(sessionLimits, accountsForReplacedAndDeallocatedValues)
{
    SessionValues values;
    Statement prepare;
    prepare.kind = StatementKind::Prepare;
    prepare.name = "n";
    prepare.shape = "shape";
    const auto bytes = valueBytesAfter(values, 0, prepare);
    cr_assert_gt(bytes, 6);
    values.prepared["n"] = {"shape", false};
    cr_assert_eq(valueBytesAfter(values, bytes, prepare), bytes);
    prepare.kind = StatementKind::Deallocate;
    cr_assert_eq(valueBytesAfter(values, bytes, prepare), 0);
}

// Guards against a table of names that grows with each new shape, and against a name that stands
// for two shapes on one connection.
Test(sessionLimits, namesOfShapesAreBoundedAndNeverReused)
{
    PreparedNames names;
    const auto first = names.nameOf({"first", false});
    for (auto i = 0; i < 5; ++i) {
        (void)names.nameOf({std::string(1 << 20, static_cast<char>('a' + i)), false});
    }
    cr_assert_neq(names.nameOf({"first", false}), first);
}
