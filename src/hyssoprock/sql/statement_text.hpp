#pragma once

#include <optional>
#include <string_view>

#include <hyssoprock/statement/caller_statement.hpp>

/// @file
/// @brief Classification of statements by keywords.

namespace hyssoprock::sql {

/// @brief Parses `SET hyssoprock.name = 'value'` and `SHOW hyssoprock.name`.
/// @param sql Statement of the caller.
/// @return The command, or std::nullopt if the statement is for an endpoint.
[[nodiscard]] std::optional<SessionCommand> parseSessionCommand(std::string_view sql);

/// @brief Recognises a transaction command by its keywords. SQL is not parsed.
/// @param sql Statement of the caller.
/// @return Begin, Commit or Rollback if the text consists of a single transaction command.
[[nodiscard]] std::optional<StatementKind> parseTransactionCommand(std::string_view sql);

/// @brief Whether a text contains anything after its first semicolon.
/// @return Also true for a semicolon in a literal, which errs on the safe side.
[[nodiscard]] bool hasSeveralStatements(std::string_view sql);

/// @brief Whether a text has several statements, at least one of which controls transactions.
/// @return Also true for such keywords in a literal, which errs on the safe side.
[[nodiscard]] bool mixesTransactionControl(std::string_view sql);

/// @brief Whether a statement can commit an open transaction.
/// @return True if it begins with COMMIT, END, PREPARE, CALL or DO, or if
/// mixesTransactionControl().
[[nodiscard]] bool mayCommit(std::string_view sql);

/// @brief Whether a statement can undo a part of its transaction, such as the request id record.
/// @return True if the word SAVEPOINT or ROLLBACK appears anywhere.
[[nodiscard]] bool usesSavepoints(std::string_view sql);

/// @brief Whether a statement can change the state of the endpoint connection beyond its
/// transaction, so that the connection must not be reused for another caller.
/// @param sql Statement of the caller.
/// @return True if one of its statements begins with SET, RESET, PREPARE or a similar keyword.
[[nodiscard]] bool altersConnection(std::string_view sql);

} // namespace hyssoprock::sql
