#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/pgwire/backend_encoder.hpp>
#include <hyssoprock/request/session_events.hpp>

/// @file
/// @brief Encodes the answers of a session machine for one caller connection.

namespace hyssoprock {

/// @brief Encodes the answer to one simple query, which may be sent in several parts.
class AnswerWriter
{
public:
    /// @brief Encodes rows of a statement before the answer is complete.
    /// @param part Action of the session machine.
    void writeRows(const ForwardRows &part);

    /// @brief Encodes the rest of the answer including ReadyForQuery and resets the writer.
    /// @param answer Action of the session machine.
    void writeAnswer(const AnswerCaller &answer);

    /// @brief Encodes a ParameterStatus message.
    void writeParameter(std::string_view name, std::string_view value);

    /// @brief Encodes an error and ReadyForQuery for a message that is not passed to a session
    /// machine.
    void writeError(const Error &error, TransactionState status);

    /// @brief Returns and removes the encoded bytes.
    [[nodiscard]] std::string take() { return encoder_.take(); }

    /// @brief Whether nothing was encoded since the last take().
    [[nodiscard]] bool empty() const { return encoder_.bytes().empty(); }

private:
    void writeColumns(const StatementResult &result);
    void writeDataRows(const StatementResult &result);

    pgwire::BackendEncoder encoder_{};
    std::size_t completedStatementCount_ = 0; ///< Statements of the query that are already encoded.
    bool columnsWritten_ = false;             ///< Columns of the next statement are encoded.
};

/// @brief Converts a transaction status to its representation in ReadyForQuery.
[[nodiscard]] pgwire::TransactionStatus toWire(TransactionState status) noexcept;

} // namespace hyssoprock
