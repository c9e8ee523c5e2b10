#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief What is recorded of each request.

namespace hyssoprock::load {

/// @brief What a request does.
enum class RequestKind : std::uint8_t {
    Read,        ///< Reads all rows of one writer.
    Write,       ///< Inserts one row.
    Transaction, ///< Inserts several rows in one transaction.
};

/// @brief What the caller was told.
enum class Outcome : std::uint8_t {
    Done,    ///< Acknowledged, or rows were received.
    NotRun,  ///< The answer says that nothing was done.
    Unknown, ///< The answer says so, or the connection broke.
    Failed,  ///< Another error.
};

/// @brief Name of an outcome for tables and JSON.
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

/// @brief A row as it was written or read. Rows are never changed.
struct StoredRow
{
    std::string id;          ///< Unique among all rows of the run.
    std::string writer;      ///< Session that wrote it.
    std::string transaction; ///< Common to the rows of one transaction; the id for a single row.
    std::uint32_t size = 1;  ///< Rows in the transaction.
    std::string body;        ///< bodyOf(id).

    [[nodiscard]] bool operator==(const StoredRow &) const = default;
};

/// @brief Content that belongs to an id, so that a row put together of two is noticed.
[[nodiscard]] std::string bodyOf(const std::string &id);

/// @brief One request from its first byte to its answer, on the clock of the load program.
struct RequestRecord
{
    std::string group;                    ///< Database group.
    std::string session;                  ///< Session that sent it.
    RequestKind kind = RequestKind::Read; ///< Kind.
    Instant sentAt{};                     ///< Before the request was sent.
    Instant answeredAt{};                 ///< After the answer was received.
    Outcome outcome = Outcome::Unknown;   ///< What the caller was told.
    Duration maxAge{0};                   ///< Read: age that the caller allowed; 0 for none.
    std::string readOf;                   ///< Read: writer whose rows were asked for.
    std::vector<StoredRow> rows;          ///< Rows written, or received with Done.
};

/// @brief A promise that was broken.
struct Violation
{
    std::string promise; ///< For example "read-your-writes".
    std::string detail;  ///< Session, row and request.

    [[nodiscard]] bool operator==(const Violation &) const = default;
};

} // namespace hyssoprock::load
