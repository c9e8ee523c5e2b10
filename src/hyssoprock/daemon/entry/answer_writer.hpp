#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/pgwire/backend_encoder.hpp>
#include <hyssoprock/request/session_events.hpp>

/// @file
/// @brief Encodes what a session machine answers for one caller connection.

namespace hyssoprock {

/// @brief Keeps track of the statements of one simple query that were sent in parts.
class AnswerWriter
{
public:
    /// @brief Encodes rows of a statement before the whole answer is known.
    /// @param part Action of the session machine.
    void part(const ForwardRows &part);

    /// @brief Encodes the rest of the answer up to ReadyForQuery, and starts anew.
    /// @param answer Action of the session machine.
    void finish(const AnswerCaller &answer);

    /// @brief Encodes a parameter's value.
    /// @param name Name.
    /// @param value Value.
    void parameter(std::string_view name, std::string_view value);

    /// @brief Encodes an error and ReadyForQuery, for a message that no session machine sees.
    /// @param error Error.
    /// @param status Transaction status.
    void refuse(const Error &error, TransactionState status);

    /// @brief Takes the encoded bytes.
    [[nodiscard]] std::string take() { return encoder_.take(); }

    /// @brief Whether nothing was encoded since the last take().
    [[nodiscard]] bool empty() const { return encoder_.bytes().empty(); }

private:
    void describe(const StatementResult &result);
    void rows(const StatementResult &result);

    pgwire::BackendEncoder encoder_{};
    std::size_t completed_ = 0; ///< Statements of this query that were sent completely.
    bool described_ = false;    ///< The columns of the next one were sent.
};

/// @brief Transaction status as in ReadyForQuery.
/// @param status Status of the session machine.
/// @return Its letter.
[[nodiscard]] pgwire::TransactionStatus toWire(TransactionState status) noexcept;

} // namespace hyssoprock
