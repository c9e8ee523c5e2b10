#include <hyssoprock/pooler/forwarded_calls.hpp>

#include <algorithm>
#include <vector>

#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

using std::chrono::milliseconds;

// Operators wait for one second; the difference leaves time for the response.
constexpr Duration callTimeout = milliseconds{800};
constexpr Duration attemptTimeout = milliseconds{300};
constexpr Duration retryDelay = milliseconds{20};
// Marks the request number of a version read that searches for the leader before a document is
// sent.
constexpr std::uint64_t probeFlag = std::uint64_t{1} << 63U;

} // namespace

ForwardedCalls::ForwardedCalls(boost::asio::io_context &context, ControlGroup &group,
                               ControlPeers &peers)
    : group_{group}
    , peers_{peers}
    , timer_{context, [this]() { processDueCalls(); }}
{}

void ForwardedCalls::putDocument(std::uint64_t version, const std::string &document,
                                 PutDocumentCallback stored)
{
    begin(ForwardedCall{nextId_, true, version, document, false},
          [stored = std::move(stored)](const Result<VersionedDocument> &result) {
              if (result.has_error()) {
                  stored(result.as_failure());
              } else {
                  stored(BOOST_OUTCOME_V2_NAMESPACE::success());
              }
          });
}

void ForwardedCalls::readDocument(ReadDocumentCallback read)
{
    begin(ForwardedCall{nextId_, false, 0, {}, false}, std::move(read));
}

void ForwardedCalls::readVersion(ReadVersionCallback read)
{
    begin(ForwardedCall{nextId_, false, 0, {}, true},
          [read = std::move(read)](const Result<VersionedDocument> &result) {
              if (result.has_error()) {
                  read(result.as_failure());
              } else {
                  read(result.value().first);
              }
          });
}

void ForwardedCalls::serve(const ForwardedCall &call, ReadDocumentCallback served)
{
    if (!group_.isLeader()) {
        served(failure(ErrorKind::NotLeader, {}));
        return;
    }
    const auto &current = group_.replica().state();
    if (!call.put) {
        served(VersionedDocument{current.version(),
                                 call.versionOnly ? std::string{} : current.document()});
        return;
    }
    if (call.version <= current.version()) {
        served(VersionedDocument{});
        return;
    }
    // A retried call must not propose the document again while it is being replicated.
    auto &waiting = pendingStores_[call.version];
    waiting.push_back(std::move(served));
    if (waiting.size() > 1) {
        return;
    }
    group_.propose(ControlCommand{PutDocument{call.version, call.document}},
                   [this, version = call.version](const Result<ControlResult> &result) {
                       auto finished = pendingStores_.extract(version);
                       for (const auto &done : finished.mapped()) {
                           if (result.has_error()) {
                               done(result.as_failure());
                           } else {
                               done(VersionedDocument{});
                           }
                       }
                   });
}

void ForwardedCalls::handleAnswer(const std::string &host, const ForwardedAnswer &answer)
{
    if ((answer.request & probeFlag) != 0) {
        handleProbeAnswer(answer.request & ~probeFlag, host, answer);
        return;
    }
    const auto found = calls_.find(answer.request);
    if (found != calls_.end() && answer.error != ErrorKind::None) {
        auto &call = found->second;
        if (call.sent && call.sent->host != host) {
            return; // The refusal of a former leader does not apply to the document sent to its
                    // successor.
        }
        call.refused = call.refused || call.request.put;
        call.sent.reset();
    }
    if (answer.error == ErrorKind::None) {
        complete(answer.request, VersionedDocument{answer.version, answer.document});
    } else {
        complete(answer.request, failure(answer.error, {}));
    }
}

void ForwardedCalls::handleProbeAnswer(std::uint64_t id, const std::string &host,
                                       const ForwardedAnswer &answer)
{
    const auto found = calls_.find(id);
    if (found == calls_.end() || found->second.sent) {
        return;
    }
    auto &call = found->second;
    if (answer.error != ErrorKind::None) {
        complete(id, failure(answer.error, {}));
    } else if (answer.version >= call.request.version) {
        complete(id, VersionedDocument{});
    } else {
        sendDocument(call, host);
        armTimer();
    }
}

void ForwardedCalls::begin(ForwardedCall request, ReadDocumentCallback called)
{
    const auto id = nextId_++;
    const auto now = monotonicNow();
    calls_.emplace(
        id, Call{std::move(request), now + callTimeout, now, {}, {}, false, std::move(called)});
    attempt(id);
    armTimer();
}

void ForwardedCalls::attempt(std::uint64_t id)
{
    auto &call = calls_.at(id);
    const auto now = monotonicNow();
    call.retryAt = now + attemptTimeout;
    if (group_.isLeader()) {
        const auto request = call.request;
        serve(request,
              [this, id](const Result<VersionedDocument> &result) { complete(id, result); });
        return;
    }
    if (call.sent) {
        if (isAwaitingAnswer(*call.sent)) {
            call.retryAt = now + retryDelay;
            return;
        }
        call.sent.reset();
        call.target.clear();
    }
    forward(id, call);
}

void ForwardedCalls::forward(std::uint64_t id, Call &call)
{
    call.target = chooseTarget(call.target);
    if (call.request.put && !call.refused && call.target == group_.leader()) {
        sendDocument(call, call.target);
        return;
    }
    const auto sent =
        call.request.put
            ? peers_.send(call.target, ForwardedCall{id | probeFlag, false, 0, {}, true})
            : peers_.send(call.target, call.request);
    if (!sent) {
        call.retryAt = monotonicNow() + retryDelay;
    }
}

void ForwardedCalls::sendDocument(Call &call, const std::string &host)
{
    if (peers_.send(host, call.request)) {
        call.target = host;
        call.sent = SentDocument{host, peers_.connectionNumber(host), term()};
    }
    call.retryAt = monotonicNow() + retryDelay;
}

bool ForwardedCalls::isAwaitingAnswer(const SentDocument &sent) const
{
    const auto leader = group_.leader();
    const auto sameLeader = leader.empty() || (leader == sent.host && term() == sent.term);
    return sameLeader && peers_.isUp(sent.host)
           && peers_.connectionNumber(sent.host) == sent.connection;
}

std::uint64_t ForwardedCalls::term() const
{
    const auto *node = group_.node();
    return node != nullptr ? node->term() : 0;
}

std::string ForwardedCalls::chooseTarget(const std::string &last) const
{
    auto leader = group_.leader();
    if (leader != last && peers_.isUp(leader)) {
        return leader;
    }
    // A host that is not a voter does not know the leader, so it tries all hosts in turn.
    const auto hosts = peers_.connected();
    const auto next = std::upper_bound(hosts.begin(), hosts.end(), last);
    if (next != hosts.end()) {
        return *next;
    }
    return hosts.empty() ? std::string{} : hosts.front();
}

void ForwardedCalls::complete(std::uint64_t id, Result<VersionedDocument> result)
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    // Retries are safe: reads are idempotent and a stored version is acknowledged again.
    const auto now = monotonicNow();
    if (result.has_error() && now < found->second.deadline) {
        found->second.retryAt = now + retryDelay;
        armTimer();
        return;
    }
    const auto finished = std::move(found->second.done);
    calls_.erase(found);
    if (result.has_error()) {
        finished(failure(ErrorKind::Unreachable, "no control leader answered in time"));
    } else {
        finished(std::move(result));
    }
}

void ForwardedCalls::processDueCalls()
{
    const auto now = monotonicNow();
    std::vector<std::uint64_t> due;
    for (const auto &[id, call] : calls_) {
        if (now >= std::min(call.retryAt, call.deadline)) {
            due.push_back(id);
        }
    }
    for (const auto id : due) {
        const auto found = calls_.find(id);
        if (found == calls_.end()) {
            continue;
        }
        if (now >= found->second.deadline) {
            complete(id, failure(ErrorKind::Unreachable, {}));
        } else {
            attempt(id);
        }
    }
    armTimer();
}

void ForwardedCalls::armTimer()
{
    std::optional<Instant> next;
    for (const auto &[id, call] : calls_) {
        const auto at = std::min(call.retryAt, call.deadline);
        next = next ? std::min(*next, at) : at;
    }
    timer_.set(next);
}

} // namespace hyssoprock
