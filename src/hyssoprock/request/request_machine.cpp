#include <hyssoprock/request/request_machine.hpp>

#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock {

std::string_view toString(RequestState state) noexcept
{
    switch (state) {
    case RequestState::Queued:
        return "queued";
    case RequestState::Sent:
        return "sent";
    case RequestState::AwaitingMajority:
        return "awaiting majority";
    case RequestState::Settling:
        return "settling";
    case RequestState::Unknown:
        return "unknown";
    case RequestState::Answered:
        return "answered";
    }
    return "invalid";
}

void RequestMachine::markSent()
{
    check(state_ == RequestState::Queued, "a request is sent from the queue");
    check(!mayHaveRun_ || traits_.repeatable, "a request that is not repeatable is sent once");
    state_ = RequestState::Sent;
    mayHaveRun_ = true;
    ++sendCount_;
}

void RequestMachine::markEndpointAnswered()
{
    check(state_ == RequestState::Sent, "an endpoint answers what was sent");
    state_ = RequestState::AwaitingMajority;
}

FailureConsequence RequestMachine::failureConsequence() const
{
    check(state_ == RequestState::Sent || state_ == RequestState::AwaitingMajority,
          "only a request that was sent can fail");
    if (traits_.readOnly) {
        return traits_.inTransaction || streaming_ ? FailureConsequence::NotRun
                                                   : FailureConsequence::Retry;
    }
    if (traits_.inTransaction && !traits_.mayCommit) {
        return FailureConsequence::NotRun;
    }
    if (traits_.repeatable && !traits_.inTransaction && !streaming_) {
        return FailureConsequence::Retry;
    }
    return traits_.hasRequestId ? FailureConsequence::Settle : FailureConsequence::Unknown;
}

FailureConsequence RequestMachine::rejectionConsequence() const
{
    check(state_ == RequestState::Sent, "only a request that was sent can be proven not run");
    return traits_.inTransaction || streaming_ ? FailureConsequence::NotRun
                                               : FailureConsequence::Retry;
}

void RequestMachine::markRequeued(bool provenNotRun)
{
    check(state_ == RequestState::Sent || state_ == RequestState::AwaitingMajority,
          "only a request that was sent is queued again");
    check(!streaming_, "a request is not repeated after rows were passed on");
    mayHaveRun_ = mayHaveRun_ && !provenNotRun;
    check(!mayHaveRun_ || traits_.repeatable, "a request that is not repeatable is sent once");
    state_ = RequestState::Queued;
}

void RequestMachine::markSettling()
{
    check(traits_.hasRequestId, "only a request with an id can be settled");
    check(state_ == RequestState::Sent || state_ == RequestState::AwaitingMajority,
          "only a request that was sent is settled");
    state_ = RequestState::Settling;
}

void RequestMachine::markAnswered(bool guaranteesNotRun, bool provenNotRun)
{
    check(state_ != RequestState::Answered && state_ != RequestState::Unknown,
          "a request is answered once");
    if (guaranteesNotRun) {
        check(!mayHaveRun_ || provenNotRun || traits_.readOnly,
              "\"not run\" is said only of work that was not sent or is proven to be undone");
    } else {
        check(state_ != RequestState::Queued, "a request that was not sent has no result");
    }
    state_ = RequestState::Answered;
}

void RequestMachine::markOutcomeUnknown()
{
    check(state_ != RequestState::Answered && state_ != RequestState::Unknown,
          "a request is answered once");
    check(mayHaveRun_, "the outcome of a request that was not sent is known");
    state_ = RequestState::Unknown;
}

} // namespace hyssoprock
