#pragma once

#include <cstdint>
#include <string_view>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief State machine of one request and the possible consequences of a failure.

namespace hyssoprock {

/// @brief State of a request, see section 4.8 of the design document.
enum class RequestState : std::uint8_t {
    Queued,           ///< Nothing that could still take effect has been sent.
    Sent,             ///< Sent on a connection; no complete answer yet.
    AwaitingMajority, ///< Answered by the endpoint; a majority does not hold the position yet.
    Settling,         ///< The outcome is unknown and is looked up by request id.
    Unknown,          ///< The caller received the error that the outcome is unknown.
    Answered,         ///< The caller received its answer.
};

/// @brief Name of a state for logs.
[[nodiscard]] std::string_view toString(RequestState state) noexcept;

/// @brief Consequence of a failure.
enum class FailureConsequence : std::uint8_t {
    Retry,   ///< The request may be sent again.
    NotRun,  ///< The request certainly had no effect.
    Settle,  ///< The outcome must be looked up by request id.
    Unknown, ///< The request may or may not have run.
};

/// @brief Properties of a request that determine the consequence of a failure.
struct RequestTraits
{
    bool readOnly = false;      ///< The request changes no data.
    bool repeatable = false;    ///< A read, or declared idempotent by the caller.
    bool hasRequestId = false;  ///< Its request id is recorded in the same transaction.
    bool inTransaction = false; ///< The caller has an open transaction on the connection.
    bool mayCommit = true;      ///< The statement could commit that transaction.

    [[nodiscard]] bool operator==(const RequestTraits &) const = default;
};

/// @brief State machine of one request.
///
/// It asserts that a request is answered exactly once, that it is reported as "not run" only if
/// nothing was sent or the work is proven to be rolled back, and that a request that is not
/// repeatable is sent again only if it is proven that nothing was run.
class RequestMachine
{
public:
    explicit RequestMachine(RequestTraits traits) noexcept
        : traits_{traits}
    {}

    /// @brief Current state.
    [[nodiscard]] RequestState state() const noexcept { return state_; }

    [[nodiscard]] const RequestTraits &traits() const noexcept { return traits_; }

    /// @brief Number of times that the request was sent.
    [[nodiscard]] std::uint32_t sendCount() const noexcept { return sendCount_; }

    /// @brief The request was sent on a connection. Allowed in Queued.
    void markSent();

    /// @brief A complete answer was received. Allowed in Sent.
    void markEndpointAnswered();

    /// @brief Rows were forwarded to the caller, so the request cannot be sent again.
    void markStreaming() noexcept { streaming_ = true; }

    /// @brief The endpoint reports that the transaction of the caller ended with this request.
    void markTransactionEnded() noexcept { traits_.mayCommit = true; }

    /// @brief Whether it was sent and is not proven to have had no effect.
    [[nodiscard]] bool mayHaveRun() const noexcept { return mayHaveRun_; }

    /// @brief Whether rows were forwarded to the caller.
    [[nodiscard]] bool isStreaming() const noexcept { return streaming_; }

    /// @brief The connection was lost or closed, or the answer cannot be delivered: from Sent or
    /// AwaitingMajority.
    [[nodiscard]] FailureConsequence failureConsequence() const;

    /// @brief Consequence of an error by which the endpoint proves that nothing was run. Allowed in
    /// Sent.
    /// @return Retry, or NotRun within a transaction or after rows were forwarded.
    [[nodiscard]] FailureConsequence rejectionConsequence() const;

    /// @brief The request returns to Queued, after FailureConsequence::Retry.
    /// @param provenNotRun Whether the endpoint proved that nothing was run.
    void markRequeued(bool provenNotRun);

    /// @brief The look-up of the request id begins, after FailureConsequence::Settle.
    void markSettling();

    /// @brief The caller receives its answer.
    /// @param guaranteesNotRun Whether the answer is an error that reports "not run".
    /// @param provenNotRun Whether this is proven: by the endpoint, by closing the connection
    /// before a commit was sent, or by a look-up of the request id.
    void markAnswered(bool guaranteesNotRun, bool provenNotRun);

    /// @brief The caller receives the error that the outcome is unknown.
    void markOutcomeUnknown();

private:
    RequestTraits traits_;
    RequestState state_ = RequestState::Queued;
    std::uint32_t sendCount_ = 0;
    bool streaming_ = false;
    bool mayHaveRun_ = false;
};

} // namespace hyssoprock
