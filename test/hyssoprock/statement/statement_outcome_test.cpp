#include <criterion/criterion.h>

#include <hyssoprock/statement/statement_outcome.hpp>

using namespace hyssoprock;

// Guards against repeating a statement that ran. Only a refusal before its execution proves that it
// did not.
Test(statement_outcome, onlyRefusalsBeforeExecutionProveThatNothingRan)
{
    for (const auto kind :
         {AnswerKind::Busy, AnswerKind::UnknownPrepared, AnswerKind::Lagging, AnswerKind::ReadOnly,
          AnswerKind::Misrouted, AnswerKind::TooManyConnections}) {
        cr_assert(provesNotRun(kind));
    }
    for (const auto kind : {AnswerKind::Success, AnswerKind::Aborted, AnswerKind::Failed,
                            AnswerKind::TimedOut, AnswerKind::Unknown, AnswerKind::NoDatabase,
                            AnswerKind::Malformed, AnswerKind::TooLarge, AnswerKind::Other}) {
        cr_assert_not(provesNotRun(kind));
    }
}

// Guards against treating a statement of unknown outcome as completed.
Test(statement_outcome, timeoutsAndUnlistedErrorsAreUnknown)
{
    cr_assert(outcomeOf(AnswerKind::TimedOut) == StatementOutcome::Unknown);
    cr_assert(outcomeOf(AnswerKind::Other) == StatementOutcome::Unknown);
    cr_assert(outcomeOf(AnswerKind::Failed) == StatementOutcome::Ran);
    cr_assert(guaranteesNotRun(ErrorKind::QueueFull));
    cr_assert_not(guaranteesNotRun(ErrorKind::OutcomeUnknown));
}
