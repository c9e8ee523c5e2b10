#include <hyssoprock/endpoint/wire_session.hpp>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace hyssoprock::endpoint {

namespace {

struct ServerParameter
{
    std::string_view name;
    std::string_view value;
};

/// Parameters that client libraries expect at startup.
constexpr std::array<ServerParameter, 7> serverParameters{{
    {"server_version", "15.0"},
    {"server_encoding", "UTF8"},
    {"client_encoding", "UTF8"},
    {"DateStyle", "ISO, MDY"},
    {"TimeZone", "UTC"},
    {"integer_datetimes", "on"},
    {"standard_conforming_strings", "on"},
}};

constexpr std::string_view settingPrefix = "hyssoprock.";

bool areAllText(const std::vector<std::uint16_t> &formats) noexcept
{
    return std::all_of(formats.begin(), formats.end(), [](std::uint16_t f) { return f == 0; });
}

} // namespace

WireSession::WireSession(Instance &instance, std::uint32_t processId, std::uint32_t secretKey)
    : instance_{instance}
    , processId_{processId}
    , secretKey_{secretKey}
    , sql_{instance, processId}
{}

bool WireSession::runsStatements(const pgwire::FrontendMessage &message) noexcept
{
    return std::holds_alternative<pgwire::Query>(message)
           || std::holds_alternative<pgwire::Execute>(message);
}

bool WireSession::isAdministrative(const pgwire::StartupMessage &message) noexcept
{
    const auto name = message.find("application_name");
    return name.starts_with("hyssoprock-control") || name.starts_with("hyssoprock-observer");
}

WireSession::Step WireSession::handle(const pgwire::FrontendMessage &message, Instant now)
{
    if (skipToSync_ && !std::holds_alternative<pgwire::Sync>(message)
        && !std::holds_alternative<pgwire::Terminate>(message)) {
        return Step::Done;
    }
    return std::visit([this, now](const auto &m) { return on(m, now); }, message);
}

WireSession::Step WireSession::resume(Instant now)
{
    return executing_ ? runPortal(now) : runBatch(now);
}

WireSession::Step WireSession::cancel(const pgwire::Notice &reason)
{
    if (executing_) {
        executing_.reset();
        return failExtended(reason);
    }
    sql_.fail();
    sendPositions();
    encoder_.errorResponse(reason);
    return finishQuery();
}

void WireSession::applyStartup(const pgwire::StartupMessage &message)
{
    for (const auto &[name, value] : message.parameters) {
        if (std::string_view{name}.starts_with(settingPrefix)) {
            sql_.set(name, value);
        }
    }
    // The options parameter holds command line arguments such as "-c name=value".
    auto options = message.find("options");
    while (!options.empty()) {
        const auto word = options.substr(0, options.find(' '));
        options.remove_prefix(std::min(word.size() + 1, options.size()));
        const auto start = word.starts_with("-c") ? 2U : 0U;
        const auto setting = word.substr(start);
        const auto equals = setting.find('=');
        if (equals != std::string_view::npos) {
            sql_.set(std::string{setting.substr(0, equals)},
                     std::string{setting.substr(equals + 1)});
        }
    }
}

WireSession::Step WireSession::on(const pgwire::StartupMessage &message, Instant /*now*/)
{
    applyStartup(message);
    if (message.version != pgwire::protocolVersion3) {
        encoder_.negotiateProtocolVersion(0, {});
    }
    encoder_.authenticationOk();
    for (const auto &[name, value] : serverParameters) {
        encoder_.parameterStatus(name, value);
    }
    sendPositions();
    encoder_.backendKeyData(processId_, secretKey_);
    encoder_.readyForQuery(sql_.status());
    return Step::Done;
}

WireSession::Step WireSession::on(const pgwire::SslRequest & /*message*/, Instant /*now*/)
{
    encoder_.refuseEncryption();
    return Step::Done;
}

WireSession::Step WireSession::on(const pgwire::GssEncRequest & /*message*/, Instant /*now*/)
{
    encoder_.refuseEncryption();
    return Step::Done;
}

WireSession::Step WireSession::on(const pgwire::CancelRequest & /*message*/, Instant /*now*/)
{
    return Step::Close;
}

WireSession::Step WireSession::on(const pgwire::Terminate & /*message*/, Instant /*now*/)
{
    return Step::Close;
}

WireSession::Step WireSession::on(const pgwire::UnsupportedMessage & /*message*/, Instant /*now*/)
{
    encoder_.errorResponse(
        pgwire::toNotice({ErrorKind::NotSupported, "COPY, passwords and function calls"}, "FATAL"));
    return Step::Close;
}

void WireSession::sendPositions()
{
    const auto &database = instance_.database;
    const auto visible = database.visiblePosition();
    encoder_.parameterStatus("hyssoprock.term", std::to_string(visible.term));
    encoder_.parameterStatus("hyssoprock.index", std::to_string(visible.index));
    encoder_.parameterStatus("hyssoprock.majority_index",
                             std::to_string(database.replication().majorityIndex()));
    encoder_.parameterStatus("hyssoprock.role", toString(database.replication().role()));
}

void WireSession::sendResult(const StatementResult &result)
{
    if (result.returnsRows) {
        encoder_.rowDescription(result.columns);
        for (const auto &row : result.rows) {
            encoder_.dataRow(std::span<const Value>{row});
        }
    }
    encoder_.commandComplete(result.tag);
}

WireSession::Step WireSession::on(const pgwire::Query &message, Instant now)
{
    portals_.erase("");
    batch_.clear();
    nextInBatch_ = 0;
    auto statements = parseStatements(message.text);
    if (statements.has_error()) {
        sql_.fail();
        sendPositions();
        encoder_.errorResponse({"ERROR", "42601", statements.error().detail, {}, {}});
        return finishQuery();
    }
    batch_ = std::move(statements.value());
    if (batch_.empty()) {
        sendPositions();
        encoder_.emptyQueryResponse();
    }
    return runBatch(now);
}

WireSession::Step WireSession::runBatch(Instant now)
{
    while (nextInBatch_ < batch_.size()) {
        auto result = sql_.execute(batch_[nextInBatch_], {}, now);
        if (result.blocked) {
            return Step::Blocked;
        }
        ++nextInBatch_;
        if (!result.error && nextInBatch_ == batch_.size()) {
            result.error = sql_.commitImplicit();
        }
        // Sent before each result, so that the position is never newer than the snapshot of the
        // rows.
        sendPositions();
        if (result.error) {
            encoder_.errorResponse(*result.error);
            break;
        }
        sendResult(result);
    }
    return finishQuery();
}

WireSession::Step WireSession::finishQuery()
{
    batch_.clear();
    nextInBatch_ = 0;
    encoder_.readyForQuery(sql_.status());
    return Step::Done;
}

WireSession::Step WireSession::failExtended(const pgwire::Notice &error)
{
    sql_.fail();
    sendPositions();
    encoder_.errorResponse(error);
    skipToSync_ = true;
    return Step::Done;
}

WireSession::Step WireSession::failExtended(std::string state, std::string text)
{
    return failExtended(pgwire::Notice{"ERROR", std::move(state), std::move(text), {}, {}});
}

WireSession::Step WireSession::on(const pgwire::Parse &message, Instant /*now*/)
{
    auto statements = parseStatements(message.text);
    if (statements.has_error()) {
        return failExtended("42601", statements.error().detail);
    }
    if (statements.value().size() > 1) {
        return failExtended("42601", "a prepared statement holds one statement");
    }
    auto &prepared = prepared_[message.statement];
    prepared.reset();
    if (!statements.value().empty()) {
        prepared = std::move(statements.value().front());
    }
    encoder_.parseComplete();
    return Step::Done;
}

WireSession::Step WireSession::on(const pgwire::Bind &message, Instant /*now*/)
{
    const auto found = prepared_.find(message.statement);
    if (found == prepared_.end()) {
        return failExtended("26000", "no prepared statement \"" + message.statement + "\"");
    }
    if (!areAllText(message.parameterFormats) || !areAllText(message.resultFormats)) {
        return failExtended("0A000", "only the text format is served");
    }
    if (found->second && parameterCount(*found->second) > message.values.size()) {
        return failExtended("08P01", "the statement has more parameters than values");
    }
    portals_[message.portal] = Portal{found->second, message.values, std::nullopt, 0};
    encoder_.bindComplete();
    return Step::Done;
}

void WireSession::describeStatement(const std::optional<Statement> &statement)
{
    const auto columns = statement ? sql_.describe(*statement) : std::nullopt;
    if (columns) {
        encoder_.rowDescription(*columns);
    } else {
        encoder_.noData();
    }
}

WireSession::Step WireSession::on(const pgwire::Describe &message, Instant /*now*/)
{
    if (message.kind == pgwire::ObjectKind::Portal) {
        const auto portal = portals_.find(message.name);
        if (portal == portals_.end()) {
            return failExtended("34000", "no portal \"" + message.name + "\"");
        }
        describeStatement(portal->second.statement);
        return Step::Done;
    }
    const auto prepared = prepared_.find(message.name);
    if (prepared == prepared_.end()) {
        return failExtended("26000", "no prepared statement \"" + message.name + "\"");
    }
    const auto count = prepared->second ? parameterCount(*prepared->second) : 0;
    const std::vector<std::uint32_t> types(count,
                                           static_cast<std::uint32_t>(pgwire::TypeOid::Text));
    encoder_.parameterDescription(types);
    describeStatement(prepared->second);
    return Step::Done;
}

WireSession::Step WireSession::on(const pgwire::Execute &message, Instant now)
{
    if (!portals_.contains(message.portal)) {
        return failExtended("34000", "no portal \"" + message.portal + "\"");
    }
    executing_ = message;
    return runPortal(now);
}

WireSession::Step WireSession::runPortal(Instant now)
{
    const auto execute = *executing_;
    auto &portal = portals_.at(execute.portal);
    if (!portal.statement) {
        executing_.reset();
        encoder_.emptyQueryResponse();
        return Step::Done;
    }
    if (!portal.result) {
        auto result = sql_.execute(*portal.statement, portal.values, now);
        if (result.blocked) {
            return Step::Blocked;
        }
        if (result.error) {
            executing_.reset();
            return failExtended(*result.error);
        }
        sendPositions();
        portal.result = std::move(result);
    }
    executing_.reset();
    sendPortalRows(portal, execute.maxRows);
    return Step::Done;
}

void WireSession::sendPortalRows(Portal &portal, std::uint32_t maxRows)
{
    const auto &result = *portal.result;
    const auto remaining = result.rows.size() - portal.sentRowCount;
    const auto count = maxRows == 0 ? remaining : std::min<std::size_t>(remaining, maxRows);
    for (std::size_t i = 0; i < count; ++i) {
        encoder_.dataRow(std::span<const Value>{result.rows[portal.sentRowCount + i]});
    }
    portal.sentRowCount += count;
    if (count < remaining) {
        encoder_.portalSuspended();
    } else {
        encoder_.commandComplete(result.tag);
    }
}

WireSession::Step WireSession::on(const pgwire::Close &message, Instant /*now*/)
{
    if (message.kind == pgwire::ObjectKind::Portal) {
        portals_.erase(message.name);
    } else {
        prepared_.erase(message.name);
    }
    encoder_.closeComplete();
    return Step::Done;
}

WireSession::Step WireSession::on(const pgwire::Sync & /*message*/, Instant /*now*/)
{
    skipToSync_ = false;
    if (const auto error = sql_.commitImplicit()) {
        encoder_.errorResponse(*error);
    }
    // The position of a write is known only after its implicit transaction has ended with Sync.
    sendPositions();
    if (!inTransaction()) {
        portals_.clear();
    }
    encoder_.readyForQuery(sql_.status());
    return Step::Done;
}

WireSession::Step WireSession::on(const pgwire::Flush & /*message*/, Instant /*now*/)
{
    return Step::Done;
}

} // namespace hyssoprock::endpoint
