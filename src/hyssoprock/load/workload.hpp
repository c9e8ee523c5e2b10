#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/load/history.hpp>
#include <hyssoprock/load/pg_connection.hpp>

/// @file
/// @brief What the load consists of.

namespace hyssoprock::load {

/// @brief Settings of a run.
struct LoadSettings
{
    std::vector<std::string> entries;      ///< IP:port of entry hosts.
    std::vector<std::string> groups;       ///< Groups, each a database name.
    std::uint32_t rate = 100;              ///< Requests per second in all.
    std::uint32_t seconds = 10;            ///< Length of the run.
    std::uint32_t sessions = 50;           ///< Sessions, spread over the groups.
    std::uint64_t seed = 1;                ///< Of the random choices.
    std::uint32_t readPercent = 70;        ///< Share of reads.
    std::uint32_t maxAgeMs = 2000;         ///< Age that reads allow; 0 leaves it out.
    std::uint32_t transactionPercent = 20; ///< Share of writes that are transactions.
    std::uint32_t roamPercent = 2;      ///< Chance per request that the session changes its host.
    std::uint32_t probeIntervalMs = 50; ///< Interval of the probe writes of each group.
    std::string user;                   ///< User name of all sessions; empty for five in turn.
    std::string run;                    ///< Name that tells the rows of this run from others.
};

/// @brief What a session does next.
struct Step
{
    RequestKind kind = RequestKind::Read; ///< Kind.
    bool roam = false;                    ///< Connect to another entry host first.
    bool withToken = false;               ///< With roam: present the session's token there.
    bool withRequestId = false;           ///< Write: state a request id.
    bool aged = false;                    ///< Read: state class, kind and maximum age.
    bool rollBack = false;                ///< Transaction: end it with ROLLBACK.
    std::uint32_t otherSession = 0;       ///< Read: session whose rows are read.
};

/// @brief Chooses what a session does next.
/// @param settings Settings of the run.
/// @param session Number of the session.
/// @param random Source of the choices.
[[nodiscard]] Step chooseStep(const LoadSettings &settings, std::uint32_t session,
                              RandomSource &random);

/// @brief Statement that inserts a row.
[[nodiscard]] std::string insertStatement(const LoadSettings &settings, const StoredRow &row,
                                          bool withRequestId);

/// @brief Statement that reads the rows of one writer.
/// @param aged Whether the read may be as old as the settings say.
[[nodiscard]] std::string readStatement(const LoadSettings &settings, const std::string &writer,
                                        bool aged);

/// @brief Statement that reads all rows of the run, from the primary.
[[nodiscard]] std::string readAllStatement(const LoadSettings &settings);

/// @brief Rows of an answer to one of the read statements.
/// @return A row with other columns than expected becomes one that was never written.
[[nodiscard]] std::vector<StoredRow> rowsOf(const Answer &answer);

/// @brief What an answer tells the caller.
[[nodiscard]] Outcome outcomeOf(const Answer &answer);

} // namespace hyssoprock::load
