#pragma once

/// @file
/// @brief Forward declarations of the endpoint module.

namespace hyssoprock::endpoint {

class TransactionLog;
class ReplicationState;
class TableStore;
class Database;
class SqlSession;
class WireSession;
class Journal;
struct Instance;
struct Voter;

} // namespace hyssoprock::endpoint
