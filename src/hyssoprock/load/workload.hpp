#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/load/history.hpp>
#include <hyssoprock/load/pg_connection.hpp>

/// @file
/// @brief Operations of the load and their SQL statements.

namespace hyssoprock::load {

/// @brief Settings of a run.
struct LoadSettings
{
    std::vector<std::string> entryAddresses; ///< IP:port of each entry host.
    std::vector<std::string> groups;         ///< Database names of the groups.
    std::uint32_t requestsPerSecond = 100;   ///< Total over all sessions, without probe writes.
    std::uint32_t durationSeconds = 10;      ///< Length of the run.
    std::uint32_t sessionCount = 50;         ///< Number of sessions, distributed over the groups.
    std::uint64_t seed = 1;                  ///< Seed of the random choices.
    std::uint32_t readPercent = 70;          ///< Share of reads among the requests.
    std::uint32_t maxAgeMs = 2000; ///< Maximum age of reads that allow stale data; 0 for none.
    std::uint32_t transactionPercent = 20; ///< Share of transactions among the writes.
    std::uint32_t hostSwitchPercent = 2;   ///< Probability per request of switching the entry host.
    std::uint32_t probeIntervalMs = 50;    ///< Interval between probe writes of a group.
    std::string user;  ///< User name of all sessions; empty for five in rotation.
    std::string runId; ///< Distinguishes the rows of this run from others.
};

/// @brief An operation of a session.
struct Operation
{
    RequestKind kind = RequestKind::Read;
    bool switchHost = false;         ///< Connect to another entry host first.
    bool presentToken = false;       ///< With switchHost: send the session token to the new host.
    bool withRequestId = false;      ///< Write: send a request id.
    bool allowStale = false;         ///< Read: send a maximum age above 0.
    bool rollBack = false;           ///< Transaction: end with ROLLBACK instead of COMMIT.
    std::uint32_t targetSession = 0; ///< Read: number of the session whose rows are read.
};

/// @brief Chooses the next operation of a session.
/// @param settings Settings of the run.
/// @param session Number of the session.
/// @param random Source of the random choices.
[[nodiscard]] Operation chooseOperation(const LoadSettings &settings, std::uint32_t session,
                                        RandomSource &random);

/// @brief Builds the statement that inserts a row.
[[nodiscard]] std::string insertStatement(const LoadSettings &settings, const StoredRow &row,
                                          bool withRequestId);

/// @brief Builds the statement that reads the rows of one writer.
/// @param settings Settings of the run.
/// @param writer Name of the session that wrote the rows.
/// @param allowStale Whether to allow data up to LoadSettings::maxAgeMs old.
[[nodiscard]] std::string readStatement(const LoadSettings &settings, const std::string &writer,
                                        bool allowStale);

/// @brief Builds the statement that reads all rows of the run from the primary.
[[nodiscard]] std::string readAllStatement(const LoadSettings &settings);

/// @brief Converts the result of a read statement into rows.
/// @return A result row with an unexpected number of columns becomes a row with an empty id, which
/// the history checker reports as never written.
[[nodiscard]] std::vector<StoredRow> parseRows(const QueryResult &result);

/// @brief Classifies a query result. Errors count as not run only if their message says so.
[[nodiscard]] Outcome classifyOutcome(const QueryResult &result);

} // namespace hyssoprock::load
