#pragma once

#include <cstdint>
#include <string_view>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief States of one request, and what may be said of it when something fails.

namespace hyssoprock {

/// @brief States of a request, section 4.8 of the design.
enum class RequestState : std::uint8_t {
    Queued,           ///< Nothing has been sent that could still take effect.
    Sent,             ///< On a connection; no complete answer yet.
    AwaitingMajority, ///< Answered by the endpoint; not yet deliverable.
    Settling,         ///< The outcome is unknown and is being looked up by request id.
    Unknown,          ///< The caller was told that the outcome is unknown.
    Answered,         ///< The caller has its answer.
};

/// @brief Text of a state for logs.
[[nodiscard]] std::string_view toString(RequestState state) noexcept;

/// @brief What follows from a failure.
enum class FailureConsequence : std::uint8_t {
    Retry,   ///< The request may be sent again.
    NotRun,  ///< It has had no effect, for certain.
    Settle,  ///< Look the request id up.
    Unknown, ///< It may or may not have run.
};

/// @brief What the consequence depends on.
struct RequestTraits
{
    bool readOnly = false;      ///< Changes nothing.
    bool repeatable = false;    ///< A read, or declared repeatable: running twice does no harm.
    bool hasRequestId = false;  ///< Its id is written in the same transaction.
    bool inTransaction = false; ///< Sent on a connection with an open transaction of the caller.
    bool mayCommit = true;      ///< Its text could commit that transaction.

    [[nodiscard]] bool operator==(const RequestTraits &) const = default;
};

/// @brief State machine of one request.
///
/// It asserts that a request is answered once, that "not run" is said only if nothing was sent or
/// the work is proven to be rolled back, and that a request that is not repeatable is sent again
/// only on such proof.
class RequestMachine
{
public:
    /// @brief A new request, in the state Queued.
    explicit RequestMachine(RequestTraits traits) noexcept
        : traits_{traits}
    {}

    /// @brief Present state.
    [[nodiscard]] RequestState state() const noexcept { return state_; }

    /// @brief Its traits.
    [[nodiscard]] const RequestTraits &traits() const noexcept { return traits_; }

    /// @brief Number of times that it was sent.
    [[nodiscard]] std::uint32_t sends() const noexcept { return sends_; }

    /// @brief It goes out on a connection: from Queued.
    void sent();

    /// @brief A complete answer without an error has come: from Sent.
    void answeredByEndpoint();

    /// @brief Rows have been passed on to the caller: it cannot be sent again.
    void streamingStarted() noexcept { streaming_ = true; }

    /// @brief The caller's transaction has ended with this request, whatever its text says.
    void transactionEnded() noexcept { traits_.mayCommit = true; }

    /// @brief Whether it was sent without proof that nothing was run.
    [[nodiscard]] bool mayHaveRun() const noexcept { return mayHaveRun_; }

    /// @brief Whether rows have been passed on.
    [[nodiscard]] bool streaming() const noexcept { return streaming_; }

    /// @brief The connection was lost or closed, or the answer cannot be delivered: from Sent or
    /// AwaitingMajority.
    [[nodiscard]] FailureConsequence failed() const;

    /// @brief The endpoint has proven that nothing was run: from Sent.
    /// @return Retry, or NotRun within a transaction.
    [[nodiscard]] FailureConsequence provenNotRun() const;

    /// @brief Back to Queued, after Retry.
    /// @param proof Whether the endpoint has proven that nothing was run.
    void requeued(bool proof);

    /// @brief To Settling, after Settle.
    void settling();

    /// @brief The caller gets its answer.
    /// @param saysNotRun The answer is an error that says "not run".
    /// @param proof Whether that is proven: by the endpoint, by closing a connection before a
    /// commit was sent, or by settling.
    void answered(bool saysNotRun, bool proof);

    /// @brief The caller is told that the outcome is unknown.
    void outcomeUnknown();

private:
    RequestTraits traits_;
    RequestState state_ = RequestState::Queued;
    std::uint32_t sends_ = 0;
    bool streaming_ = false;
    bool mayHaveRun_ = false;
};

} // namespace hyssoprock
