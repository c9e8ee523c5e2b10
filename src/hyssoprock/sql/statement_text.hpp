#pragma once

#include <optional>
#include <string_view>

#include <hyssoprock/statement/caller_statement.hpp>

/// @file
/// @brief What the text of a statement says, by comparison of keywords.

namespace hyssoprock::sql {

/// @brief Recognises `SET hyssoprock.name = 'value'` and `SHOW hyssoprock.name`.
/// @param sql Statement of the caller.
/// @return The command, or nothing if the statement is for an endpoint.
[[nodiscard]] std::optional<SessionCommand> parseSessionCommand(std::string_view sql);

/// @brief Recognises a transaction command. This is a comparison of keywords: SQL is not parsed.
/// @param sql Statement of the caller.
/// @return Begin, Commit or Rollback if the statement is one transaction command and nothing else.
[[nodiscard]] std::optional<StatementKind> parseTransactionCommand(std::string_view sql);

/// @brief Whether a text has something after its first semicolon.
/// @return True on the safe side, for a semicolon in a literal.
[[nodiscard]] bool hasSeveralStatements(std::string_view sql);

/// @brief Whether a text has several statements of which one controls transactions.
/// @return True on the safe side, for example for such words in a literal.
[[nodiscard]] bool mixesTransactionControl(std::string_view sql);

/// @brief Whether a statement could commit an open transaction.
/// @return True if it begins with COMMIT, END, PREPARE, CALL or DO, or mixesTransactionControl().
[[nodiscard]] bool mayCommit(std::string_view sql);

/// @brief Whether a statement could undo a part of its transaction, such as a request id.
/// @return True if the word SAVEPOINT or ROLLBACK appears anywhere.
[[nodiscard]] bool usesSavepoints(std::string_view sql);

/// @brief Whether a statement could change the state of the endpoint connection beyond its
/// transaction, so that the connection must not serve another caller afterwards.
/// @param sql Statement of the caller.
/// @return True if a part of it begins with SET, RESET, PREPARE or the like.
[[nodiscard]] bool altersConnection(std::string_view sql);

} // namespace hyssoprock::sql
