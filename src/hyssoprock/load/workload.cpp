#include <hyssoprock/load/workload.hpp>

#include <charconv>
#include <string_view>

namespace hyssoprock::load {

namespace {

constexpr std::string_view columns = "id, writer, txn, size, body";
constexpr std::size_t columnCount = 5;
constexpr std::uint64_t ownReadPercent = 60;
constexpr std::uint64_t agedReadPercent = 90;
constexpr std::uint64_t requestIdPercent = 50;
constexpr std::uint64_t rollBackPercent = 10;
constexpr std::uint64_t tokenPercent = 50;

std::string text(const std::optional<std::string> &value)
{
    return value.value_or(std::string{});
}

} // namespace

Step chooseStep(const LoadSettings &settings, std::uint32_t session, RandomSource &random)
{
    Step step;
    step.roam = random.chance(settings.roamPercent);
    step.withToken = random.chance(tokenPercent);
    step.otherSession = session;
    if (random.chance(settings.readPercent)) {
        step.aged = settings.maxAgeMs > 0 && random.chance(agedReadPercent);
        if (!random.chance(ownReadPercent)) {
            // Sessions of one group are groups.size() apart.
            const auto groups = settings.groups.size();
            const auto peers = (settings.sessions - session % groups + groups - 1) / groups;
            step.otherSession =
                static_cast<std::uint32_t>(session % groups + groups * random.below(peers));
        }
        return step;
    }
    const bool transaction = random.chance(settings.transactionPercent);
    step.kind = transaction ? RequestKind::Transaction : RequestKind::Write;
    step.withRequestId = random.chance(requestIdPercent);
    step.rollBack = transaction && random.chance(rollBackPercent);
    return step;
}

std::string insertStatement(const LoadSettings &settings, const StoredRow &row, bool withRequestId)
{
    std::string attributes = "/*class='write',kind='load',understands='1',repeatable='no'";
    if (withRequestId) {
        attributes += ",request_id='" + row.id + "'";
    }
    return attributes + "*/ INSERT INTO load_rows (run, " + std::string{columns} + ") VALUES ('"
           + settings.run + "', '" + row.id + "', '" + row.writer + "', '" + row.transaction + "', "
           + std::to_string(row.size) + ", '" + row.body + "')";
}

std::string readStatement(const LoadSettings &settings, const std::string &writer, bool aged)
{
    std::string attributes = "/*class='read',kind='load',understands='1'";
    if (aged) {
        attributes += ",max_age_ms='" + std::to_string(settings.maxAgeMs) + "'";
    } else {
        attributes += ",max_age_ms='0'";
    }
    return attributes + "*/ SELECT " + std::string{columns} + " FROM load_rows WHERE writer = '"
           + writer + "' AND run = '" + settings.run + "'";
}

std::string readAllStatement(const LoadSettings &settings)
{
    return "SELECT " + std::string{columns} + " FROM load_rows WHERE run = '" + settings.run + "'";
}

std::vector<StoredRow> rowsOf(const Answer &answer)
{
    std::vector<StoredRow> rows;
    rows.reserve(answer.rows.size());
    for (const auto &values : answer.rows) {
        StoredRow row;
        if (values.size() == columnCount) {
            row = {text(values[0]), text(values[1]), text(values[2]), 0, text(values[4])};
            const auto size = text(values[3]);
            std::from_chars(size.data(), size.data() + size.size(), row.size);
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

Outcome outcomeOf(const Answer &answer)
{
    if (answer.broken) {
        return Outcome::Unknown;
    }
    if (answer.state.empty()) {
        return Outcome::Done;
    }
    if (answer.message.starts_with("not run")) {
        return Outcome::NotRun;
    }
    return answer.state == "08007" ? Outcome::Unknown : Outcome::Failed;
}

} // namespace hyssoprock::load
