#include <hyssoprock/request/session_machine.hpp>

#include <algorithm>
#include <utility>

#include <hyssoprock/core/earlier.hpp>
#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/request/session_request.hpp>

namespace hyssoprock {

namespace {

/// Returns the statement kind, taking into account the request class declared by the caller.
StatementKind applyRequestClass(StatementKind kind, RequestClass requestClass)
{
    if (requestClass != RequestClass::Read) {
        return kind;
    }
    if (kind == StatementKind::Write) {
        return StatementKind::Read;
    }
    return kind == StatementKind::Begin ? StatementKind::BeginReadOnly : kind;
}

} // namespace

SessionMachine::SessionMachine(SessionMachineSettings settings, std::uint64_t session,
                               std::string group, HostTables &tables, const TokenCodec &tokens,
                               std::uint64_t seed)
    : settings_{settings}
    , session_{session}
    , group_{std::move(group)}
    , tables_{tables}
    , tokens_{tokens}
    , random_{seed}
{}

SessionMachine::~SessionMachine() = default;

SessionActions SessionMachine::handle(const SessionEvent &event, Instant now)
{
    now_ = now;
    actions_.clear();
    std::visit([this](const auto &concrete) { handle(concrete); }, event);
    return std::move(actions_);
}

TransactionState SessionMachine::transactionStatus() const noexcept
{
    if (!transaction_) {
        return TransactionState::Idle;
    }
    const bool failed =
        transaction_->failedByEndpoint || (transaction_->lost && transaction_->lossReported);
    return failed ? TransactionState::Failed : TransactionState::Open;
}

Result<bool> SessionMachine::applyStartupOption(std::string_view name, std::string_view value)
{
    return setOption(name, value);
}

Result<bool> SessionMachine::setOption(std::string_view name, std::string_view value)
{
    if (name != "session") {
        return setAttribute(defaults_, name, value);
    }
    if (value == "new") {
        floor_.establish(group_, LogPosition{});
        return true;
    }
    const auto floor = tokens_.decode(value);
    if (!floor.has_value()) {
        return floor.error();
    }
    floor_.merge(floor.value());
    return true;
}

void SessionMachine::runSessionCommand(const SessionCommand &command)
{
    StatementResult result;
    if (command.isAssignment) {
        if (const auto set = setOption(command.name, command.value); !set.has_value()) {
            answerNotRun(set.error().kind, set.error().detail, true);
            return;
        }
        result.kind = ResultKind::SetOption;
    } else {
        const auto value = command.name == "session" ? std::optional{tokens_.encode(floor_)}
                                                     : formatAttribute(defaults_, command.name);
        result.columns = {ResultColumn{"hyssoprock." + command.name}};
        result.rows = {ResultRow{value.value_or("")}};
        result.kind = ResultKind::ShowOption;
    }
    reportToken();
    actions_.emplace_back(AnswerCaller{{std::move(result)}, std::nullopt, transactionStatus()});
}

void SessionMachine::handle(const CallerStatement &event)
{
    check(request_ == nullptr, "a session has one request at a time");
    if (closed_) {
        return;
    }
    if (event.command) {
        runSessionCommand(*event.command);
        return;
    }
    if (leaving_ && !transaction_) {
        answerNotRun(ErrorKind::HostLeaving, {}, true);
        return;
    }
    if (transaction_ && transaction_->lost) {
        answerLostTransaction(event.statement.kind);
        return;
    }
    if (const auto error = prepareRequest(event); error.kind != ErrorKind::None) {
        // A rejected statement aborts the transaction, so that the caller cannot commit the others
        // without noticing.
        loseTransaction(error.kind, true);
        answerNotRun(error.kind, error.detail, true);
        return;
    }
    dispatch();
}

/// Answers a statement after the transaction was rolled back by closing its connection. A commit is
/// answered as a rollback only after the caller received an error, because it may not check the
/// tag.
void SessionMachine::answerLostTransaction(StatementKind statement)
{
    const bool ends = endsTransaction(statement);
    const bool answeredAsRollback =
        statement == StatementKind::Rollback || (ends && transaction_->lossReported);
    const auto kind = transaction_->lossKind;
    transaction_->lossReported = true;
    if (ends) {
        transaction_.reset();
    }
    if (answeredAsRollback) {
        StatementResult result;
        result.kind = ResultKind::Rollback;
        finish({std::move(result)}, std::nullopt);
    } else {
        answerNotRun(kind, "the transaction was rolled back", true);
    }
}

Error SessionMachine::prepareRequest(const CallerStatement &event)
{
    const auto attributes = applyAttributes(defaults_, event.attributes);
    if (!attributes.has_value()) {
        return attributes.error();
    }
    defaults_.requestId.clear(); // A request id applies to one request or transaction only.
    if (!transaction_ && event.properties.errorOutsideTransaction) {
        return *event.properties.errorOutsideTransaction;
    }
    auto statement = event.statement;
    statement.kind = applyRequestClass(statement.kind, attributes.value().requestClass);
    const auto kind = statement.kind;
    RequestTraits traits;
    const bool readRequest = kind == StatementKind::Read || kind == StatementKind::BeginReadOnly;
    traits.inTransaction = transaction_.has_value();
    traits.readOnly = traits.inTransaction ? !link_->primary : readRequest;
    traits.repeatable = traits.readOnly || attributes.value().repeatable
                        || (!traits.inTransaction && !accessesData(kind));
    traits.mayCommit = event.properties.mayCommit;
    request_.reset(new Request{nextRequest_++, std::move(statement), event.properties,
                               attributes.value(), RequestMachine{traits}});
    request_->arrivedAt = now_;
    auto error = prepareRequestId();
    if (error.kind == ErrorKind::None) {
        prepareRequirements();
        const auto *rule = request_->requirements.rule;
        const auto &given = request_->attributes;
        const bool writes =
            kind == StatementKind::Write && (rule != nullptr || given.writesVersion);
        if (writes
            && (rule == nullptr || checkWritable(*rule, given.writesVersion) != ErrorKind::None)) {
            error = {ErrorKind::VersionNotWritable, "record kind " + given.kind};
        }
    }
    if (error.kind != ErrorKind::None) {
        request_.reset();
    }
    return error;
}

Error SessionMachine::prepareRequestId()
{
    auto &request = *request_;
    auto traits = request.machine.traits();
    const auto &id = request.attributes.requestId;
    if (!traits.readOnly && !id.empty()) {
        const bool written = transaction_ && transaction_->requestId == id;
        if (request.properties.mixesTransactionControl
            || (transaction_ && !transaction_->requestId.empty() && !written)) {
            return {ErrorKind::InvalidAttribute,
                    "request_id needs one transaction, and a transaction has one request_id"};
        }
        request.insertRequestId =
            !written && request.statement.kind != StatementKind::Rollback
            && (transaction_ || request.statement.kind != StatementKind::Commit);
        request.wrapInTransaction =
            request.insertRequestId && !transaction_ && accessesData(request.statement.kind);
    }
    const bool idInTransaction =
        transaction_ && (!transaction_->requestId.empty() || request.insertRequestId);
    traits.hasRequestId = request.wrapInTransaction
                          || (idInTransaction && request.statement.kind == StatementKind::Commit);
    request.machine = RequestMachine{traits};
    return {};
}

void SessionMachine::prepareRequirements()
{
    auto &request = *request_;
    request.configuration =
        transaction_ ? transaction_->configuration : tables_.views.configuration();
    auto &needs = request.requirements;
    const auto &kind = request.attributes.kind.empty() && transaction_ ? transaction_->attributes
                                                                       : request.attributes;
    needs.group = group_;
    needs.rule = kind.kind.empty() ? nullptr : findRule(*request.configuration, group_, kind.kind);
    needs.understands = kind.understands;
    needs.floor = floor_.establishedPosition(group_);
    needs.receivedAt = now_;
    if (needs.rule != nullptr && needs.rule->replicasAllowed) {
        const Duration allowance = std::chrono::milliseconds{needs.rule->maxAgeMs};
        needs.maxAge = std::min(allowance, kind.maxAge.value_or(allowance));
        if (request.machine.traits().readOnly) {
            tables_.ages.requestSamples(group_, *needs.maxAge, now_);
        }
    }
}

void SessionMachine::handle(const CallerDisconnected & /*event*/)
{
    if (closed_) {
        return;
    }
    cancelAcquire();
    cancelMajorityWait();
    if (link_) {
        releaseLink(!transaction_ && !link_->outstandingSend);
    }
    request_.reset();
    transaction_.reset();
    closed_ = true;
    actions_.emplace_back(CloseCaller{});
}

void SessionMachine::handle(const CallerCancelled & /*event*/)
{
    if (request_ == nullptr) {
        return;
    }
    if (request_->machine.state() == RequestState::Queued) {
        cancelAcquire();
        loseTransaction(ErrorKind::DeadlineExceeded, true);
        answerNotRun(ErrorKind::DeadlineExceeded, "cancelled by the caller", false);
    } else if (request_->machine.state() == RequestState::Sent) {
        fail(ErrorKind::DeadlineExceeded, "cancelled by the caller", false);
    }
}

void SessionMachine::handle(const ViewChanged & /*event*/)
{
    if (request_ == nullptr) {
        // Releases the connection of an idle transaction that can no longer be committed.
        if (link_ && link_->primary && tables_.views.isTermSuperseded(group_, link_->term)) {
            loseTransaction(ErrorKind::EndpointLost, false);
        }
        return;
    }
    const auto *view = tables_.views.view(group_);
    const bool refused = request_->decision.target == RoutingDecision::Target::Refuse;
    if (refused || transaction_ || (view != nullptr && view->term != request_->decision.term)) {
        request_->retryAt.reset();
    }
    advance();
}

void SessionMachine::handle(const AckResolved &event)
{
    if (request_ != nullptr && request_->id == event.request) {
        request_->awaitingMajority = false;
        advance();
    }
}

void SessionMachine::handle(const Tick & /*event*/)
{
    if (request_ != nullptr && request_->machine.state() == RequestState::Sent
        && request_->statementDeadline && now_ >= *request_->statementDeadline) {
        fail(ErrorKind::DeadlineExceeded, "statement timeout", false);
    }
    advance();
}

void SessionMachine::handle(const HostLeaving & /*event*/)
{
    leaving_ = true;
    if (request_ == nullptr && !transaction_ && !closed_) {
        closed_ = true;
        actions_.emplace_back(CloseCaller{ErrorKind::HostLeaving});
    }
}

void SessionMachine::advance()
{
    if (request_ == nullptr) {
        return;
    }
    switch (request_->machine.state()) {
    case RequestState::Queued:
        dispatch();
        break;
    case RequestState::Sent:
        if (request_->part) {
            forwardRows();
        }
        break;
    case RequestState::AwaitingMajority:
        evaluateAnswer();
        break;
    case RequestState::Settling:
        settle();
        break;
    case RequestState::Unknown:
    case RequestState::Answered:
        break;
    }
}

std::optional<Instant> SessionMachine::nextDeadline() const noexcept
{
    std::optional<Instant> next;
    if (request_ == nullptr) {
        return next;
    }
    switch (request_->machine.state()) {
    case RequestState::Queued:
        if (!request_->acquire) {
            next = earlier(queueLimit(), request_->retryAt);
        }
        break;
    case RequestState::Sent:
        next = earlier(request_->statementDeadline,
                       request_->part ? request_->ackDeadline : std::nullopt);
        break;
    case RequestState::AwaitingMajority:
        next = request_->ackDeadline;
        break;
    case RequestState::Settling:
        next = request_->settlement->deadline;
        if (link_) {
            next = earlier(next, request_->statementDeadline);
        } else if (!request_->acquire && !request_->settlement->position) {
            next = earlier(next, request_->retryAt);
        }
        break;
    case RequestState::Unknown:
    case RequestState::Answered:
        break;
    }
    return next;
}

} // namespace hyssoprock
