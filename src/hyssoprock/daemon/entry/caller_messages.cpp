#include <hyssoprock/daemon/entry/caller_connection.hpp>

#include <utility>

#include <hyssoprock/daemon/log.hpp>
#include <hyssoprock/daemon/overloaded.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

constexpr std::string_view attributePrefix = "hyssoprock.";
// Clients derive the supported features from this version.
constexpr std::string_view serverVersion = "15.0 (hyssoprock)";

/// Splits PostgreSQL's "options" parameter: "-c name=value" or "--name=value", spaces escaped.
std::vector<std::string> splitOptions(std::string_view text)
{
    std::vector<std::string> words(1);
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '\\' && i + 1 < text.size()) {
            words.back() += text[++i];
        } else if (text[i] == ' ') {
            words.emplace_back();
        } else {
            words.back() += text[i];
        }
    }
    std::vector<std::string> settings;
    for (std::size_t i = 0; i < words.size(); ++i) {
        auto &word = words[i];
        if (word == "-c" && i + 1 < words.size()) {
            settings.push_back(words[++i]);
        } else if (word.starts_with("-c") || word.starts_with("--")) {
            settings.push_back(word.substr(2));
        }
    }
    return settings;
}

} // namespace

void CallerConnection::handleMessage(pgwire::FrontendMessage message)
{
    restartIdleTimer();
    std::visit(Overloaded{
                   [&](const pgwire::StartupMessage &start) { handleStartup(start); },
                   [&](const pgwire::SslRequest & /*request*/) {
                       stream_->send(std::string{pgwire::encryptionRefused});
                       stream_->requestMessage();
                   },
                   [&](const pgwire::GssEncRequest & /*request*/) {
                       stream_->send(std::string{pgwire::encryptionRefused});
                       stream_->requestMessage();
                   },
                   [&](const pgwire::CancelRequest &cancel) {
                       host_.cancel(cancel.processId, cancel.secretKey);
                       close();
                   },
                   [&](pgwire::Query &text) { handleQuery(std::move(text.text)); },
                   [&](const pgwire::Terminate & /*end*/) { close(); },
                   [&](const pgwire::Sync & /*sync*/) {
                       skipUntilSync_ = false;
                       pgwire::BackendEncoder ready;
                       ready.readyForQuery(toWire(machine_->transactionStatus()));
                       stream_->send(ready.take());
                       stream_->requestMessage();
                   },
                   [&](const pgwire::Flush & /*flush*/) { stream_->requestMessage(); },
                   [&](const auto & /*unsupported*/) { refuseExtendedQuery(); },
               },
               message);
}

void CallerConnection::handleStartup(const pgwire::StartupMessage &message)
{
    user_ = std::string{message.find("user")};
    group_ = std::string{message.find("database")};
    if (group_.empty()) {
        group_ = user_;
    }
    if (user_.empty()) {
        refuse(Error{ErrorKind::ProtocolViolation, "the startup message contains no user"});
        return;
    }
    if (host_.isLeaving()) {
        refuse(Error{ErrorKind::HostLeaving, ""});
        return;
    }
    const auto &settings = host_.settings();
    SessionMachineSettings machine;
    machine.queueDeadline = settings.limits.queueDeadline;
    machine.electionDeadline = settings.limits.electionDeadline;
    machine.majorityTimeout = settings.request.majorityTimeout;
    machine.statementTimeout = settings.request.statementTimeout;
    machine.logDecisions = settings.log.decisions;
    machine_ = std::make_unique<SessionMachine>(machine, session_, group_, host_.tables(),
                                                host_.tokens(), host_.random().next());
    if (const auto applied = applyOptions(message); applied.has_error()) {
        refuse(applied.error());
        return;
    }
    sendStartupResponse();
    writeLog(LogLevel::Debug, LogComponent::Session,
             "session " + std::to_string(session_) + " of " + user_ + " on group " + group_
                 + " from " + stream_->peer());
    stream_->requestMessage();
}

Result<void> CallerConnection::applyOptions(const pgwire::StartupMessage &message)
{
    for (const auto &parameter : message.parameters) {
        if (parameter.name == "options") {
            for (const auto &setting : splitOptions(parameter.value)) {
                const auto equals = setting.find('=');
                if (equals == std::string::npos) {
                    return failure(ErrorKind::InvalidAttribute,
                                   "the option \"" + setting + "\" has no value");
                }
                auto applied = applyOption(std::string_view{setting}.substr(0, equals),
                                           std::string_view{setting}.substr(equals + 1));
                if (applied.has_error()) {
                    return applied;
                }
            }
        } else if (auto applied = applyOption(parameter.name, parameter.value);
                   applied.has_error()) {
            return applied;
        }
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> CallerConnection::applyOption(std::string_view name, std::string_view value)
{
    if (name.starts_with(attributePrefix)) {
        const auto applied =
            machine_->applyStartupOption(name.substr(attributePrefix.size()), value);
        if (applied.has_error()) {
            return applied.as_failure();
        }
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void CallerConnection::sendStartupResponse()
{
    pgwire::BackendEncoder encoder;
    encoder.authenticationOk();
    encoder.parameterStatus("server_version", serverVersion);
    encoder.parameterStatus("server_encoding", "UTF8");
    encoder.parameterStatus("client_encoding", "UTF8");
    encoder.parameterStatus("DateStyle", "ISO, YMD");
    encoder.parameterStatus("integer_datetimes", "on");
    encoder.parameterStatus("standard_conforming_strings", "on");
    encoder.parameterStatus("hyssoprock.host", host_.settings().host.name);
    encoder.backendKeyData(static_cast<std::uint32_t>(session_), secretKey_);
    encoder.readyForQuery(pgwire::TransactionStatus::Idle);
    stream_->send(encoder.take());
}

void CallerConnection::handleQuery(std::string sql)
{
    if (skipUntilSync_) {
        stream_->requestMessage();
        return;
    }
    requestStartedAt_ = monotonicNow();
    lastWasRead_ = false;
    servedBy_.clear();
    idleTimer_.set(std::nullopt);
    handle(host_.callerDialect().translate(std::move(sql)));
}

void CallerConnection::refuseExtendedQuery()
{
    if (!skipUntilSync_) {
        skipUntilSync_ = true;
        pgwire::BackendEncoder encoder;
        encoder.errorResponse(
            pgwire::toNotice(Error{ErrorKind::NotSupported, "only simple queries are supported"}));
        stream_->send(encoder.take());
    }
    stream_->requestMessage();
}

void CallerConnection::refuse(const Error &error)
{
    host_.metrics().countRefusedMessage("caller");
    writeLog(LogLevel::Info, LogComponent::Session,
             "refused a connection from " + stream_->peer() + ": "
                 + std::string{toString(error.kind)} + " " + error.detail);
    endSession(error);
}

void CallerConnection::endSession(const Error &error)
{
    pgwire::BackendEncoder encoder;
    encoder.errorResponse(pgwire::toNotice(error, "FATAL"));
    stream_->send(encoder.take());
    stream_->finish();
    close();
}

} // namespace hyssoprock
