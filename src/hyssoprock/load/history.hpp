#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Record of each request, as input to the history checker.

namespace hyssoprock::load {

/// @brief Kind of a request.

enum class RequestKind : std::uint8_t {
    Read,        ///< Reads all rows of one writer.
    Write,       ///< Inserts one row.
    Transaction, ///< Inserts several rows in one transaction.
};

/// @brief Outcome of a request as reported to the caller.
enum class Outcome : std::uint8_t {
    Done,    ///< Acknowledged, or rows were received.
    NotRun,  ///< The error states that nothing was executed.
    Unknown, ///< Reported as unknown, or the connection was lost.
    Failed,  ///< Another error.
};

/// @brief Name of an outcome in JSON lines.
[[nodiscard]] constexpr const char *toString(Outcome outcome) noexcept
{
    switch (outcome) {
    case Outcome::Done:
        return "done";
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Unknown:
        return "unknown";
    case Outcome::Failed:
        return "failed";
    }
    return "invalid";
}

/// @brief A row as written or read. Rows are never updated.
struct StoredRow
{
    std::string id;          ///< Unique among all rows of the run.
    std::string writer;      ///< Session that wrote it.
    std::string transaction; ///< Shared by the rows of one transaction; the id for a single row.
    std::uint32_t transactionRowCount = 1; ///< Number of rows in the transaction.
    std::string body;                      ///< rowBody(id).

    [[nodiscard]] bool operator==(const StoredRow &) const = default;
};

/// @brief Body derived from a row id (FNV-1a hash), to detect a row that mixes two others.
[[nodiscard]] std::string rowBody(const std::string &id);

/// @brief One request. Times are from the steady clock of the load generator.
struct RequestRecord
{
    std::string group;
    std::string session;
    RequestKind kind = RequestKind::Read;
    Instant sentAt{};      ///< Before the request was sent.
    Instant respondedAt{}; ///< After the response was received.
    Outcome outcome = Outcome::Unknown;
    Duration maxAge{0};          ///< Read: maximum staleness allowed by the caller; 0 for none.
    std::string targetWriter;    ///< Read: writer whose rows were requested.
    std::vector<StoredRow> rows; ///< Rows written, or rows received if the outcome is Done.
};

/// @brief A violated consistency guarantee.
struct Violation
{
    std::string guarantee; ///< For example "read-your-writes".
    std::string detail;    ///< Session, row and request involved.

    [[nodiscard]] bool operator==(const Violation &) const = default;
};

} // namespace hyssoprock::load
