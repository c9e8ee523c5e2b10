#include "fake_group.hpp"

#include <algorithm>
#include <set>

#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock::random_runs {

namespace {

std::string_view trimmed(std::string_view text)
{
    for (;;) {
        const auto first = text.find_first_not_of(" \n\t");
        if (first == std::string_view::npos) {
            return {};
        }
        text.remove_prefix(first);
        if (text.substr(0, 2) != "/*") {
            break;
        }
        text.remove_prefix(text.find("*/") + 2);
    }
    return text.substr(0, text.find_last_not_of(" \n\t") + 1);
}

std::vector<std::string_view> statements(std::string_view sql)
{
    std::vector<std::string_view> list;
    while (!sql.empty()) {
        const auto end = sql.find(';');
        if (const auto statement = trimmed(sql.substr(0, end)); !statement.empty()) {
            list.push_back(statement);
        }
        sql = end == std::string_view::npos ? std::string_view{} : sql.substr(end + 1);
    }
    return list;
}

/// The n-th quoted literal.
std::string literal(std::string_view statement, int number)
{
    for (int i = 0;; ++i) {
        const auto start = statement.find('\'');
        if (start == std::string_view::npos) {
            return {};
        }
        const auto end = statement.find('\'', start + 1);
        if (i == number) {
            return std::string{statement.substr(start + 1, end - start - 1)};
        }
        statement.remove_prefix(end + 1);
    }
}

StatementResult tagged(std::string tag)
{
    StatementResult result;
    result.tag = std::move(tag);
    return result;
}

} // namespace

FakeGroup::FakeGroup(Scheduler &scheduler, RandomSource &random, std::size_t nodes)
    : scheduler_{scheduler}
    , random_{random}
    , nodes_(nodes)
{
    for (std::size_t i = 0; i < nodes; ++i) {
        nodes_[i].name = "ep-" + std::to_string(i + 1);
        nodes_[i].dataCentre = "dc-" + std::string(1, static_cast<char>('a' + i));
        scheduler_.after(1, [this, i] { replicateOnce(i); });
    }
}

FakeNode &FakeGroup::node(std::string_view name)
{
    const auto found = std::find_if(nodes_.begin(), nodes_.end(),
                                    [name](const FakeNode &node) { return node.name == name; });
    check(found != nodes_.end(), "the endpoint exists");
    return *found;
}

void FakeGroup::fence(FakeNode &node, std::uint64_t term)
{
    node.fence = std::max(node.fence, term);
}

void FakeGroup::promote(FakeNode &node, std::uint64_t term)
{
    node.role = EndpointRole::Primary;
    node.term = term;
    node.fence = std::max(node.fence, term);
    node.held.clear();
    commit(node, {});
}

void FakeGroup::follow(FakeNode &node, std::uint64_t term)
{
    if (node.term < term) {
        node.role = EndpointRole::Replica;
        node.term = term;
        node.fence = std::max(node.fence, term);
    }
}

void FakeGroup::commit(FakeNode &node, std::vector<FakeRow> rows)
{
    node.log.push_back({node.term, std::move(rows), scheduler_.now()});
    countMajority(node);
}

void FakeGroup::countMajority(FakeNode &primary)
{
    std::vector<std::uint64_t> held{primary.log.size()};
    for (const auto &[name, index] : primary.held) {
        held.push_back(index);
    }
    held.resize(nodes_.size(), 0);
    std::sort(held.rbegin(), held.rend());
    const auto index = held[nodes_.size() / 2];
    // Entries of earlier terms count only together with one of this term, as in Raft.
    if (index > 0 && primary.log[index - 1].term == primary.term) {
        primary.majority = std::max(primary.majority, index);
    }
}

void FakeGroup::replicateOnce(std::size_t index)
{
    auto &replica = nodes_[index];
    const auto again = [this, index](Scheduler::Time delay) {
        scheduler_.after(delay, [this, index] { replicateOnce(index); });
    };
    const auto primary =
        std::find_if(nodes_.begin(), nodes_.end(), [&replica](const FakeNode &candidate) {
            return candidate.role == EndpointRole::Primary && candidate.term == replica.term;
        });
    if (replica.role != EndpointRole::Replica || primary == nodes_.end() || primary->cut
        || replica.cut || replica.fence > replica.term) {
        again(2000);
        return;
    }
    const auto term = primary->term;
    const auto delay =
        replica.lag / 2 + random_.between(Duration{0}, Duration{replica.lag}).count();
    // Logs whose entries at one index have the same term are equal up to there.
    const auto &log = primary->log;
    const auto size = replica.log.size();
    const bool matches =
        size <= log.size() && size > 0 && log[size - 1].term == replica.log.back().term;
    const auto base = matches ? size : 0;
    const std::vector<FakeEntry> news(log.begin() + static_cast<std::ptrdiff_t>(base), log.end());
    scheduler_.after(
        delay, [this, &replica, primary, term, base, news, majority = primary->majority] {
            if (replica.role != EndpointRole::Replica || replica.term != term || replica.cut
                || replica.fence > term) {
                return;
            }
            replica.log.resize(base);
            replica.log.insert(replica.log.end(), news.begin(), news.end());
            replica.majority = std::min<std::uint64_t>(majority, replica.log.size());
            scheduler_.after(
                500, [this, primary, term, name = replica.name, size = replica.log.size()] {
                    if (primary->role == EndpointRole::Primary && primary->term == term
                        && primary->fence <= term && !primary->cut) {
                        primary->held[name] = std::max<std::uint64_t>(primary->held[name], size);
                        countMajority(*primary);
                    }
                });
        });
    again(std::max<Scheduler::Time>(1500, delay + 1));
}

LogPosition FakeGroup::backfill(FakeNode &primary)
{
    std::set<std::string> inVersion2;
    for (const auto &entry : primary.log) {
        for (const auto &row : entry.rows) {
            if (row.version == 2) {
                inVersion2.insert(row.key);
            }
        }
    }
    std::vector<FakeRow> added;
    for (const auto &entry : primary.log) {
        for (const auto &row : entry.rows) {
            if (row.version == 1 && inVersion2.insert(row.key).second) {
                added.push_back({row.table, row.key, 2});
            }
        }
    }
    commit(primary, std::move(added));
    return primary.position();
}

EndpointAnswer FakeGroup::execute(FakeNode &node, std::uint64_t id, std::string_view sql)
{
    auto &connection = node.connections[id];
    EndpointAnswer answer;
    for (const auto statement : statements(sql)) {
        auto result = run(node, connection, statement);
        if (!result) {
            connection.pending.clear();
            connection.failed = connection.explicitTransaction;
            answer.error = SqlError{node.writable() ? "25P02" : "25006", "refused"};
            break;
        }
        answer.results.push_back(std::move(*result));
    }
    if (!connection.explicitTransaction && !connection.pending.empty()) {
        commit(node, std::move(connection.pending));
        connection.pending.clear();
    }
    answer.status = connection.failed ? TransactionState::Failed
                                      : (connection.explicitTransaction ? TransactionState::Open
                                                                        : TransactionState::Idle);
    answer.report = node.report();
    return answer;
}

std::optional<StatementResult> FakeGroup::run(FakeNode &node, FakeConnection &connection,
                                              std::string_view statement)
{
    const auto starts = [statement](std::string_view word) {
        return statement.substr(0, word.size()) == word;
    };
    if (starts("ROLLBACK") || (starts("COMMIT") && connection.failed)) {
        connection.explicitTransaction = false;
        connection.failed = false;
        connection.pending.clear();
        return tagged("ROLLBACK");
    }
    if (connection.failed) {
        return std::nullopt;
    }
    if (starts("BEGIN")) {
        connection.explicitTransaction = true;
        return tagged("BEGIN");
    }
    if (starts("COMMIT")) {
        connection.explicitTransaction = false;
        if (!connection.pending.empty()) {
            if (!node.writable()) {
                return std::nullopt;
            }
            commit(node, std::move(connection.pending));
            connection.pending.clear();
        }
        return tagged("COMMIT");
    }
    if (starts("SET")) {
        connection.schemaVersions = literal(statement, 0);
        return tagged("SET");
    }
    if (starts("INSERT")) {
        if (!node.writable()) {
            return std::nullopt;
        }
        const bool record = statement.find("record") != std::string_view::npos;
        const auto key = literal(statement, 0);
        connection.pending.push_back({record ? "record" : "request", key, record ? 1U : 0U});
        if (record && dualWrites) {
            connection.pending.push_back({"record", key, 2});
        }
        return tagged("INSERT 0 1");
    }
    return select(node, connection, statement);
}

StatementResult FakeGroup::select(const FakeNode &node, const FakeConnection &connection,
                                  std::string_view statement) const
{
    StatementResult result;
    result.tag = "SELECT";
    const bool record = statement.find("record") != std::string_view::npos;
    result.columns = {{"key"}, {"nonce"}};
    if (record) {
        result.columns.push_back({"schema_version"});
        result.columns.push_back({"role"});
    }
    const std::string role = node.statedRole() == EndpointRole::Primary ? "primary" : "other";
    const auto argument = literal(statement, 0);
    const auto &filter = connection.schemaVersions;
    for (const auto &entry : node.log) {
        for (const auto &row : entry.rows) {
            const auto version = std::to_string(row.version);
            const bool wanted = record ? row.table == "record"
                                             && (filter.empty() || ignoresFilter
                                                 || ("," + filter + ",").find("," + version + ",")
                                                        != std::string::npos)
                                       : row.table == "request" && row.key == argument;
            if (wanted) {
                result.rows.push_back({row.key, argument});
                if (record) {
                    result.rows.back().emplace_back(version);
                    result.rows.back().emplace_back(role);
                }
            }
        }
    }
    return result;
}

} // namespace hyssoprock::random_runs
