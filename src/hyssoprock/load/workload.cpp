#include <hyssoprock/load/workload.hpp>

#include <charconv>
#include <string_view>

namespace hyssoprock::load {

namespace {

constexpr std::string_view columnNames = "id, writer, txn, size, body";
constexpr std::size_t columnCount = 5;
constexpr std::uint64_t ownReadPercent = 60;
constexpr std::uint64_t allowStalePercent = 90;
constexpr std::uint64_t requestIdPercent = 50;
constexpr std::uint64_t rollbackPercent = 10;
constexpr std::uint64_t tokenPercent = 50;

std::string valueOrEmpty(const std::optional<std::string> &value)
{
    return value.value_or(std::string{});
}

} // namespace

Operation chooseOperation(const LoadSettings &settings, std::uint32_t session, RandomSource &random)
{
    Operation operation;
    operation.switchHost = random.chance(settings.hostSwitchPercent);
    operation.presentToken = random.chance(tokenPercent);
    operation.targetSession = session;
    if (random.chance(settings.readPercent)) {
        operation.allowStale = settings.maxAgeMs > 0 && random.chance(allowStalePercent);
        if (!random.chance(ownReadPercent)) {
            // Sessions are assigned to groups in rotation, so those of one group are groupCount
            // apart.
            const auto groupCount = settings.groups.size();
            const auto peerCount =
                (settings.sessionCount - session % groupCount + groupCount - 1) / groupCount;
            operation.targetSession = static_cast<std::uint32_t>(
                session % groupCount + groupCount * random.below(peerCount));
        }
        return operation;
    }
    const bool transaction = random.chance(settings.transactionPercent);
    operation.kind = transaction ? RequestKind::Transaction : RequestKind::Write;
    operation.withRequestId = random.chance(requestIdPercent);
    operation.rollBack = transaction && random.chance(rollbackPercent);
    return operation;
}

std::string insertStatement(const LoadSettings &settings, const StoredRow &row, bool withRequestId)
{
    std::string attributes = "/*class='write',kind='load',understands='1',repeatable='no'";
    if (withRequestId) {
        attributes += ",request_id='" + row.id + "'";
    }
    return attributes + "*/ INSERT INTO load_rows (run, " + std::string{columnNames} + ") VALUES ('"
           + settings.runId + "', '" + row.id + "', '" + row.writer + "', '" + row.transaction
           + "', " + std::to_string(row.transactionRowCount) + ", '" + row.body + "')";
}

std::string readStatement(const LoadSettings &settings, const std::string &writer, bool allowStale)
{
    std::string attributes = "/*class='read',kind='load',understands='1'";
    if (allowStale) {
        attributes += ",max_age_ms='" + std::to_string(settings.maxAgeMs) + "'";
    } else {
        attributes += ",max_age_ms='0'";
    }
    return attributes + "*/ SELECT " + std::string{columnNames} + " FROM load_rows WHERE writer = '"
           + writer + "' AND run = '" + settings.runId + "'";
}

std::string readAllStatement(const LoadSettings &settings)
{
    return "SELECT " + std::string{columnNames} + " FROM load_rows WHERE run = '" + settings.runId
           + "'";
}

std::vector<StoredRow> parseRows(const QueryResult &result)
{
    std::vector<StoredRow> rows;
    rows.reserve(result.rows.size());
    for (const auto &values : result.rows) {
        StoredRow row;
        if (values.size() == columnCount) {
            row = {valueOrEmpty(values[0]), valueOrEmpty(values[1]), valueOrEmpty(values[2]), 0,
                   valueOrEmpty(values[4])};
            const auto size = valueOrEmpty(values[3]);
            std::from_chars(size.data(), size.data() + size.size(), row.transactionRowCount);
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

Outcome classifyOutcome(const QueryResult &result)
{
    if (result.connectionLost) {
        return Outcome::Unknown;
    }
    if (result.sqlState.empty()) {
        return Outcome::Done;
    }
    if (result.message.starts_with("not run")) {
        return Outcome::NotRun;
    }
    return result.sqlState == "08007" ? Outcome::Unknown : Outcome::Failed;
}

} // namespace hyssoprock::load
