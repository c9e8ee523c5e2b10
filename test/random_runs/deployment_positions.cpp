#include "deployment_world.hpp"

namespace hyssoprock::random_runs {

using namespace std::chrono_literals;

namespace {

constexpr Duration requestTimeout = 300ms;

} // namespace

/// Finds primaries like ControlProcess: the announced one, or else an endpoint that claims the
/// role.
void DeploymentWorld::startSampler(ControlHost &host)
{
    const auto find = [this, &host](const std::string &service) -> std::optional<SampleTarget> {
        const auto announced = host.primaries.find(service);
        if (announced != host.primaries.end() && !announced->second.endpoint.empty()) {
            const auto &id = announced->second.endpoint;
            return SampleTarget{service, id, endpoints_.at(id).address};
        }
        for (const auto *member : host.registry->members(service)) {
            if (!member->expired && member->record.role == EndpointRole::Primary) {
                return SampleTarget{service, member->record.id, member->record.address};
            }
        }
        return std::nullopt;
    };
    host.sampler = std::make_unique<PrimarySampler>(positionInterval, find);
}

/// An endpoint that believes to be primary answers, also a former one where promotions are not
/// fenced.
void DeploymentWorld::samplePrimaries(ControlHost &host)
{
    (void)host.sampler->takeUnused(now_);
    for (const auto &target : host.sampler->takeDue(now_)) {
        const auto there = delay();
        const auto back = there + delay();
        const auto sentAt = now_;
        const auto fail = [this, &host, target]() { host.sampler->handleFailure(target, now_); };
        if (!reaches(host.name, target.endpoint) || !reaches(target.endpoint, host.name)) {
            post(host, requestTimeout, fail);
            continue;
        }
        later(there, [this, &host, life = host.life, target, sentAt, fail, back, there]() {
            const auto &endpoint = endpoints_.at(target.endpoint);
            auto &members = group(target.service);
            const auto runs = endpoint.address == target.address && members.isUp(target.endpoint)
                              && endpoint.frozenUntil <= now_;
            std::optional<LogPosition> position;
            if (runs) {
                if (const auto row = members.status(target.endpoint);
                    row.role == EndpointRole::Primary) {
                    position = row.received;
                }
            }
            // The answer may be late, as long as the request has not timed out.
            const auto wait = random_.chance(5) ? Duration{200ms} : back - there;
            events_.emplace(now_ + wait, [this, &host, life, target, sentAt, position, fail]() {
                deliver(host, life, [this, &host, target, sentAt, position, fail]() {
                    if (position) {
                        ++report.events["position sampled"];
                        host.sampler->handlePosition(target, *position, sentAt);
                    } else {
                        fail();
                    }
                });
            });
        });
    }
}

void DeploymentWorld::offerPositions(const std::shared_ptr<Subscription> &link)
{
    const auto proximity =
        link->control->name == "c1" ? Proximity::SameDataCentre : Proximity::SameRegion;
    stream(link, true, [link, proximity]() {
        link->entry->positions->handleOffer(link->control->name, proximity);
    });
}

void DeploymentWorld::requestPositions(EntryHost &host)
{
    if (!host.positions->isDue(now_)) {
        return;
    }
    const auto due = host.positions->nextRequest(host.pooler->servicesWithoutSample(now_), now_);
    const auto found = due ? host.subscriptions.find(due->controlHost) : host.subscriptions.end();
    if (found == host.subscriptions.end()) {
        return;
    }
    stream(found->second, false, [this, link = found->second, request = due->request]() {
        const auto report_ = link->control->sampler->handleRequest(request, now_);
        stream(link, true, [this, link, report_]() {
            auto &entry = *link->entry;
            auto samples = entry.positions->handleReport(link->control->name, report_, now_);
            if (!samples.empty()) {
                report.events["positions received"] += samples.size();
                handle(entry, pooler::PositionsReceived{std::move(samples)});
            }
        });
    });
}

} // namespace hyssoprock::random_runs
