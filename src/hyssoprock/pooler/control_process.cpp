#include <hyssoprock/pooler/control_process.hpp>

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

#include <hyssoprock/daemon/log.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

namespace hyssoprock {

namespace {

/// The promotion controller waits 150 to 300 ms for a status, so a connection is not kept longer.
constexpr Duration statusTimeout = std::chrono::milliseconds{300};
/// The promotion controller waits this long for a pause or a step-down.
constexpr Duration pauseTimeout = std::chrono::milliseconds{400};

/// Interval at which the leader checks for changed entry hosts and documents, for which the control
/// node has no callback.
constexpr Duration entryHostCheckInterval = std::chrono::milliseconds{100};

/// Batches the writes of several changes, for example after a start.
constexpr Duration storeDelay = std::chrono::milliseconds{300};

} // namespace

ControlProcess::ControlProcess(boost::asio::io_context &context,
                               const ControlNodeSettings &settings, ControlTiming timing,
                               const CodecFactory &codecs, StatusRowParser parseRow,
                               PromotionClient &promotionClient, std::uint64_t seed,
                               const std::shared_ptr<FileSystem> &files)
    : promotionClient_{promotionClient}
    , registry_{timing.heartbeat}
    , leases_{timing.hostLease}
    , controller_{registry_, leases_, {timing.stableWindow, timing.fencedPromotions}}
    , node_{context, settings,
            [&codecs](std::string_view bytes) { return codecs.parseDocument(bytes); }, seed, files}
    , statusClient_{context, codecs, std::move(parseRow), settings.hostName}
    , statusCollector_{registry_, statusClient_}
    , sampler_{timing.positionInterval,
               [this](const std::string &service) { return findSampleTarget(service); }}
    , positionClient_{context, codecs, settings.hostName,
                      [this](const SampleTarget &target, std::optional<LogPosition> position,
                             Instant sentAt) {
                          if (position) {
                              sampler_.handlePosition(target, *position, sentAt);
                          } else {
                              sampler_.handleFailure(target, monotonicNow());
                          }
                          sampleTimer_.set(sampler_.nextDeadline());
                      }}
    , sampleTimer_{context, [this]() { samplePrimaries(); }}
    , cache_{settings.dataFolder, files}
    , timer_{context, [this]() { handleDeadline(); }}
    , cacheTimer_{context, [this]() { storeEndpoints(); }}
    , alive_{std::make_shared<ControlProcess *>(this)}
{
    node_.onLeadershipChanged([this](bool leading) {
        leading_ = leading;
        if (!leading) {
            post(promotion::LeadershipLost{});
            return;
        }
        notifyEntryHosts();
        notifyDocument();
        leases_.beginLeadership(monotonicNow());
        promotion::LeadershipGained gained;
        for (const auto &[service, record] : node_.state().promotions()) {
            gained.promotions.push_back(record);
            if (const auto since = node_.unsettledSince(service)) {
                gained.unsettledSince.emplace(service, *since);
            }
        }
        for (const auto &[service, endpoints] : node_.state().unfinishedResumes()) {
            gained.resumes.push_back({service, {endpoints.begin(), endpoints.end()}});
        }
        gained.members = node_.state().members();
        gained.termStarts = node_.state().termStarts();
        post(std::move(gained));
    });
    node_.onEvidenceReceived([this](const EvidenceReport &report) {
        notifyEntryHosts();
        post(promotion::EvidenceReceived{report});
    });
    node_.onLeaseRequested([this](const std::string &host, const HostLeaseRequest &request) {
        return grantLease(host, request);
    });
    node_.setEndedEndpoints([this]() { return registry_.ended(); });
    if (timing.positionInterval > Duration::zero()) {
        node_.onPositionsRequested([this](const PositionRequest &request) {
            auto report = sampler_.handleRequest(request, monotonicNow());
            samplePrimaries();
            return report;
        });
    }
    node_.onStatusRequested(
        [this](PooledStatusResponse status, PooledControlNode::StatusReplyCallback reply) {
            statusCollector_.collect(
                [status = std::move(status), reply = std::move(reply)](const auto &endpoints) {
                    auto complete = status;
                    complete.endpoints = endpoints;
                    reply(complete);
                });
        });
    node_.onEndpointsShared([this](const std::vector<EndpointRecord> &endpoints,
                                   const std::vector<EndpointGone> &gone) {
        for (const auto &record : endpoints) {
            (void)recordHeartbeat(record);
        }
        for (const auto &incarnation : gone) {
            apply(registry_.handleLeave(incarnation, monotonicNow()));
        }
    });
}

ControlProcess::~ControlProcess() = default;

Result<SocketAddress> ControlProcess::start()
{
    const auto cached = cache_.load();
    node_.restoreCommittedVersion(cached.documentVersion);
    auto address = node_.start();
    if (address.has_value()) {
        node_.restoreEntryHostCount(cached.entryHosts);
        storedHosts_ = cached;
        storedHosts_.endpoints.clear();
        for (const auto &record : cached.endpoints) {
            (void)recordHeartbeat(record);
        }
    }
    return address;
}

std::optional<HostLeaseGrant> ControlProcess::grantLease(const std::string &host,
                                                         const HostLeaseRequest &request)
{
    if (!leading_ || !node_.isLeader()) {
        return std::nullopt;
    }
    const auto grant = leases_.renew(host, request, monotonicNow());
    for (const auto &release : request.released) {
        post(promotion::PrimaryReleased{release.service});
    }
    return grant;
}

std::optional<SampleTarget> ControlProcess::findSampleTarget(const std::string &service) const
{
    const KnownEndpoint *chosen = nullptr;
    if (const auto announced = node_.primaryOf(service)) {
        chosen = registry_.find(*announced);
    }
    if (chosen == nullptr) {
        for (const auto *member : registry_.members(service)) {
            if (!member->expired && member->record.role == EndpointRole::Primary
                && (chosen == nullptr || member->roleSince > chosen->roleSince)) {
                chosen = member;
            }
        }
    }
    if (chosen == nullptr) {
        return std::nullopt;
    }
    return SampleTarget{service, chosen->record.id, chosen->record.address};
}

void ControlProcess::samplePrimaries()
{
    const auto now = monotonicNow();
    for (const auto &service : sampler_.takeUnused(now)) {
        positionClient_.close(service);
    }
    for (const auto &target : sampler_.takeDue(now)) {
        positionClient_.request(target);
    }
    sampleTimer_.set(sampler_.nextDeadline());
}

void ControlProcess::scheduleStore()
{
    if (!std::exchange(cacheOutdated_, true)) {
        cacheTimer_.set(monotonicNow() + storeDelay);
    }
}

void ControlProcess::storeEndpoints()
{
    cacheOutdated_ = false;
    storedHosts_.entryHosts = node_.entryHostCount();
    // After a restart the applied version may be older than the stored one.
    storedHosts_.documentVersion = std::max(storedHosts_.documentVersion, node_.state().version());
    const auto stored =
        cache_.store({registry_.snapshot(), storedHosts_.entryHosts, storedHosts_.documentVersion});
    if (stored.has_error()) {
        writeLog(LogLevel::Warning, LogComponent::Member,
                 "cannot store the endpoints: " + stored.error().detail);
    }
}

void ControlProcess::stop(std::function<void()> done)
{
    node_.stop(std::move(done));
}

void ControlProcess::heartbeat(const EndpointRecord &record, ResultCallback done)
{
    const auto accept = [this, record]() {
        // Every heartbeat is shared, so that other control hosts know that the endpoint is alive.
        if (recordHeartbeat(record)) {
            node_.shareEndpoints({record}, {});
        }
    };
    if (knowsService(record.service)) {
        accept();
        done(BOOST_OUTCOME_V2_NAMESPACE::success());
        return;
    }
    node_.readDocument([this, accept, service = record.service,
                        done = std::move(done)](const Result<VersionedDocument> &read) {
        if (read.has_error()) {
            done(read.as_failure());
            return;
        }
        const auto &[version, bytes] = read.value();
        const auto document = node_.documents().parse(bytes);
        if (version != 0 && (document.has_error() || !findService(*document.value(), service))) {
            done(failure(ErrorKind::InvalidValue, "unknown service " + service));
            return;
        }
        accept();
        done(BOOST_OUTCOME_V2_NAMESPACE::success());
    });
}

void ControlProcess::leave(std::string_view id)
{
    const auto changes = registry_.handleLeave(id, monotonicNow());
    if (changes.gone.empty() && registry_.find(id) != nullptr) {
        writeLog(LogLevel::Info, LogComponent::Member,
                 "the leave of " + std::string{id}
                     + " is ignored: the newest heartbeat is recent and not draining");
    }
    if (!changes.gone.empty()) {
        node_.shareEndpoints({}, changes.gone);
    }
    apply(changes);
}

void ControlProcess::putDocument(const std::string &bytes, ResultCallback done)
{
    const auto document = node_.documents().parse(bytes);
    if (document.has_error()) {
        done(document.as_failure());
        return;
    }
    node_.putDocument(document.value()->version, bytes,
                      [this, done = std::move(done)](Result<void> stored) {
                          documentsStored_ += stored.has_value() ? 1 : 0;
                          done(std::move(stored));
                      });
}

void ControlProcess::readDocument(ReadDocumentCallback done)
{
    node_.readDocument(std::move(done));
}

bool ControlProcess::recordHeartbeat(const EndpointRecord &record)
{
    const auto changes = registry_.handleHeartbeat(record, monotonicNow());
    apply(changes);
    if (node_.entryHostCount() != storedHosts_.entryHosts
        || node_.state().version() > storedHosts_.documentVersion) {
        scheduleStore();
    }
    return changes.newer;
}

void ControlProcess::apply(const RegistryChanges &changes)
{
    if (!changes.empty()) {
        node_.pushEndpoints(changes.changed, changes.gone);
        scheduleStore();
        // The services of removed endpoints are no longer known, so all services are checked.
        std::set<std::string> services;
        for (const auto &record : changes.changed) {
            services.insert(record.service);
        }
        if (!changes.gone.empty()) {
            post(promotion::EndpointsRemoved{});
        }
        for (const auto &service : services) {
            post(promotion::RegistryChanged{service});
        }
    }
    armTimer();
}

bool ControlProcess::knowsService(const std::string &service)
{
    if (node_.state().version() == 0) {
        return true;
    }
    const auto *document = appliedDocument();
    return document != nullptr && findService(*document, service) != nullptr;
}

const DeploymentDocument *ControlProcess::appliedDocument()
{
    const auto &state = node_.state();
    if (state.version() != appliedVersion_) {
        appliedVersion_ = state.version();
        const auto read = node_.documents().parse(state.document());
        appliedDocument_ = read.has_value() ? read.value() : nullptr;
    }
    return appliedDocument_.get();
}

void ControlProcess::post(PromotionEvent event)
{
    pendingEvents_.push_back(std::move(event));
    if (processing_) {
        return;
    }
    processing_ = true;
    while (!pendingEvents_.empty()) {
        const auto next = std::move(pendingEvents_.front());
        pendingEvents_.pop_front();
        const auto now = monotonicNow();
        promotionMetrics_.record(next, now);
        for (const auto &action : controller_.handle(next, now)) {
            promotionMetrics_.record(action, now);
            std::visit([this](const auto &body) { execute(body); }, action);
        }
    }
    processing_ = false;
    armTimer();
}

void ControlProcess::notifyDocument()
{
    if (node_.state().version() == notifiedVersion_) {
        return;
    }
    notifiedVersion_ = node_.state().version();
    if (const auto *document = appliedDocument()) {
        promotion::DocumentChanged changed;
        for (const auto &service : document->services) {
            if (service.synchronousReplicas != 0) {
                changed.synchronousReplicas[service.name] = service.synchronousReplicas;
            }
        }
        post(std::move(changed));
    }
}

void ControlProcess::notifyEntryHosts()
{
    entryHostsCheckedAt_ = monotonicNow();
    if (auto hosts = node_.connectedEntryHosts(); hosts != entryHosts_) {
        entryHosts_ = std::move(hosts);
        post(promotion::EntryHostsChanged{entryHosts_});
    }
}

void ControlProcess::execute(const promotion::RequestEvidence &action)
{
    node_.requestEvidence(action.service, action.endpoint, action.hosts);
}

void ControlProcess::execute(const promotion::SendOperation &action)
{
    // A new leader computes how long a delayed operation may still take effect from the start of
    // its own lease. Therefore no operation that changes an endpoint is sent after this host's
    // lease has ended.
    if (action.operation != EndpointOperation::Status && !node_.isLeader()) {
        post(promotion::OperationCompleted{action.operationId, action.endpoint, {}, false, false});
        return;
    }
    const bool waits = action.operation == EndpointOperation::Pause
                       || action.operation == EndpointOperation::StepDown;
    statusClient_.query(
        action.service, action.endpoint, action.address, action.operation, action.term,
        waits ? pauseTimeout : statusTimeout,
        [this, action](const Result<EndpointStatusRow> &result, bool mayTakeEffect) {
            promotion::OperationCompleted event{
                action.operationId, action.endpoint, {}, true, mayTakeEffect};
            if (result) {
                event.row = result.value();
            } else {
                event.responded = result.error().kind == ErrorKind::Refused;
            }
            post(std::move(event));
        });
}

void ControlProcess::execute(const promotion::Propose &action)
{
    node_.propose(action.command, [this, action](const Result<ControlResult> &result) {
        if (const auto *const order = orderOf(action.command)) {
            std::optional<std::uint64_t> token;
            if (result) {
                token = result.value().token;
            }
            post(promotion::OrderProposalCompleted{order->service, action.proposalId, token});
        } else if (const auto *const settled = std::get_if<SettlePromotion>(&action.command.body)) {
            post(promotion::SettlementProposalCompleted{settled->service, settled->token,
                                                        result.has_value()});
        } else if (const auto *const intended = std::get_if<IntendResume>(&action.command.body)) {
            post(promotion::ResumeProposalCompleted{intended->service, action.proposalId,
                                                    result.has_value()});
        } else if (const auto *const finished = std::get_if<FinishResume>(&action.command.body)) {
            post(promotion::ResumeProposalCompleted{finished->service, action.proposalId,
                                                    result.has_value()});
        } else if (const auto *const recorded = std::get_if<RecordMembers>(&action.command.body)) {
            post(promotion::MembersProposalCompleted{recorded->service, action.proposalId,
                                                     result.has_value()});
        } else if (const auto *const forgotten = std::get_if<ForgetMembers>(&action.command.body)) {
            post(promotion::MembersProposalCompleted{forgotten->service, action.proposalId,
                                                     result.has_value()});
        }
    });
}

void ControlProcess::execute(const promotion::SendPromotionCall &action)
{
    const auto end = [this, action](PromotionOutcome outcome) {
        post(promotion::CallCompleted{action.service, action.endpoint, action.token, outcome});
    };
    // The lease may have ended while the process was suspended, and another leader may be calling.
    if (!node_.isLeader()) {
        end(PromotionOutcome::Limited);
        return;
    }
    promotionClient_.call(action.service, action.endpoint, action.token,
                          [weak = std::weak_ptr{alive_}, end](PromotionOutcome outcome) {
                              if (!weak.expired()) {
                                  end(outcome);
                              }
                          });
}

void ControlProcess::execute(const promotion::AnnouncePrimary &action)
{
    node_.pushPrimary(action.primary);
}

void ControlProcess::execute(const promotion::LogDecision &action)
{
    writeLog(action.text);
}

void ControlProcess::armTimer()
{
    auto next = registry_.nextExpiry();
    const auto consider = [&](std::optional<Instant> at) {
        if (at && (!next || *at < *next)) {
            next = at;
        }
    };
    consider(controller_.nextDeadline());
    if (leading_) {
        consider(entryHostsCheckedAt_ + entryHostCheckInterval);
    }
    timer_.set(next);
}

void ControlProcess::handleDeadline()
{
    const auto now = monotonicNow();
    if (leading_ && now >= entryHostsCheckedAt_ + entryHostCheckInterval) {
        notifyEntryHosts();
        notifyDocument();
    }
    apply(registry_.expire(now));
    post(promotion::Tick{});
}

} // namespace hyssoprock
