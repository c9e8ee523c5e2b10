#include <hyssoprock/pooler/forwarded_calls.hpp>

#include <algorithm>
#include <optional>
#include <vector>

#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

using std::chrono::milliseconds;

// Operators wait for one second; this leaves time for the answer.
constexpr Duration callLimit = milliseconds{800};
constexpr Duration attemptLimit = milliseconds{300};
constexpr Duration retryPause = milliseconds{20};

} // namespace

ForwardedCalls::ForwardedCalls(boost::asio::io_context &context, ControlGroup &group,
                               ControlPeers &peers)
    : group_{group}
    , peers_{peers}
    , timer_{context, [this]() { advance(); }}
{}

void ForwardedCalls::putDocument(std::uint64_t version, const std::string &document,
                                 DocumentStored stored)
{
    begin(ForwardedCall{next_, true, version, document, false},
          [stored = std::move(stored)](const Result<VersionedDocument> &result) {
              if (result.has_error()) {
                  stored(result.as_failure());
              } else {
                  stored(BOOST_OUTCOME_V2_NAMESPACE::success());
              }
          });
}

void ForwardedCalls::readDocument(DocumentRead read)
{
    begin(ForwardedCall{next_, false, 0, {}, false}, std::move(read));
}

void ForwardedCalls::readVersion(VersionRead read)
{
    begin(ForwardedCall{next_, false, 0, {}, true},
          [read = std::move(read)](const Result<VersionedDocument> &result) {
              if (result.has_error()) {
                  read(result.as_failure());
              } else {
                  read(result.value().first);
              }
          });
}

void ForwardedCalls::serve(const ForwardedCall &call, DocumentRead served)
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
    // A call that is repeated while its document is being replicated must not append it again.
    auto &waiting = storing_[call.version];
    waiting.push_back(std::move(served));
    if (waiting.size() > 1) {
        return;
    }
    group_.propose(ControlCommand{PutDocument{call.version, call.document}},
                   [this, version = call.version](const Result<ControlResult> &result) {
                       auto finished = storing_.extract(version);
                       for (const auto &done : finished.mapped()) {
                           if (result.has_error()) {
                               done(result.as_failure());
                           } else {
                               done(VersionedDocument{});
                           }
                       }
                   });
}

void ForwardedCalls::receive(const ForwardedAnswer &answer)
{
    if (answer.error == ErrorKind::None) {
        settle(answer.request, VersionedDocument{answer.version, answer.document});
    } else {
        settle(answer.request, failure(answer.error, {}));
    }
}

void ForwardedCalls::begin(ForwardedCall request, DocumentRead called)
{
    const auto id = next_++;
    const auto now = monotonicNow();
    calls_.emplace(id, Call{std::move(request), now + callLimit, now, {}, std::move(called)});
    attempt(id);
    arm();
}

void ForwardedCalls::attempt(std::uint64_t id)
{
    auto &call = calls_.at(id);
    const auto now = monotonicNow();
    call.retryAt = now + attemptLimit;
    if (group_.isLeader()) {
        const auto request = call.request;
        serve(request, [this, id](const Result<VersionedDocument> &result) { settle(id, result); });
        return;
    }
    call.target = chooseTarget(call.target);
    if (call.target.empty() || !peers_.send(call.target, call.request)) {
        call.retryAt = now + retryPause;
    }
}

std::string ForwardedCalls::chooseTarget(const std::string &last) const
{
    auto leader = group_.leader();
    if (leader != last && peers_.isUp(leader)) {
        return leader;
    }
    // A spare is told of no leader; it asks one host after the other.
    const auto hosts = peers_.connected();
    const auto next = std::upper_bound(hosts.begin(), hosts.end(), last);
    if (next != hosts.end()) {
        return *next;
    }
    return hosts.empty() ? std::string{} : hosts.front();
}

void ForwardedCalls::settle(std::uint64_t id, Result<VersionedDocument> result)
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    // Both calls can be repeated: a version that is stored already is acknowledged.
    const auto now = monotonicNow();
    if (result.has_error() && now < found->second.deadline) {
        found->second.retryAt = now + retryPause;
        arm();
        return;
    }
    const auto finished = std::move(found->second.done);
    calls_.erase(found);
    if (result.has_error()) {
        finished(failure(ErrorKind::Unreachable, "no control leader has answered"));
    } else {
        finished(std::move(result));
    }
}

void ForwardedCalls::advance()
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
            settle(id, failure(ErrorKind::Unreachable, {}));
        } else {
            attempt(id);
        }
    }
    arm();
}

void ForwardedCalls::arm()
{
    std::optional<Instant> next;
    for (const auto &[id, call] : calls_) {
        const auto at = std::min(call.retryAt, call.deadline);
        next = next ? std::min(*next, at) : at;
    }
    timer_.set(next);
}

} // namespace hyssoprock
