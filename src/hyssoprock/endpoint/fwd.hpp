#pragma once

#include <cstdint>

/// @file
/// @brief Forward declarations of the endpoint module.

namespace hyssoprock::endpoint {

enum class Role : std::uint8_t;
enum class TokenKind : std::uint8_t;
class Connection;
class Database;
class FileJournal;
class Journal;
class NullJournal;
class ReplicaLink;
class ReplicationState;
class Server;
class SlotQueue;
class SqlSession;
class Table;
class TableStore;
class Transaction;
class TransactionLog;
class WireSession;
struct AdministrativeRow;
struct Assignment;
struct BeginStatement;
struct CallStatement;
struct CommitStatement;
struct Condition;
struct Counters;
struct DeleteStatement;
struct Faults;
struct InsertStatement;
struct Instance;
struct JournalContent;
struct Match;
struct NullLiteral;
struct ParameterReference;
struct RollbackStatement;
struct SelectStatement;
struct SelectValueStatement;
struct ServerSettings;
struct SetStatement;
struct ShowStatement;
struct StatementResult;
struct Token;
struct UpdateStatement;
struct Voter;

} // namespace hyssoprock::endpoint
