#include <hyssoprock/promotion/promotion_controller.hpp>

#include <map>
#include <string>
#include <utility>
#include <variant>

#include <hyssoprock/promotion/service_promotion.hpp>

namespace hyssoprock {

class PromotionController::Impl
{
public:
    Impl(const EndpointRegistry &registry, const HostLeaseGrantor &leases,
         PromotionSettings settings)
        : context_{registry, leases, settings, {}, {}, {}, 0, 0, {}}
    {}

    PromotionActions handle(const PromotionEvent &event, Instant now)
    {
        std::visit([&](const auto &body) { on(body, now); }, event);
        return std::exchange(context_.actions, {});
    }

    [[nodiscard]] std::optional<Instant> nextDeadline() const
    {
        std::optional<Instant> next;
        for (const auto &[name, service] : services_) {
            if (const auto deadline = service.nextDeadline();
                deadline && (!next || *deadline < *next)) {
                next = deadline;
            }
        }
        return next;
    }

private:
    using ServicePromotion = internal::ServicePromotion;

    void on(const promotion::LeadershipGained &event, Instant now)
    {
        services_.clear();
        isLeader_ = true;
        context_.leaderSince = now;
        for (const auto &[name, record] : event.termStarts) {
            serviceFor(name).restore(record);
        }
        for (const auto &record : event.promotions) {
            const auto since = event.unsettledSince.find(record.service);
            serviceFor(record.service)
                .restore(record, since == event.unsettledSince.end() ? now : since->second, now);
        }
        for (const auto &record : event.resumes) {
            serviceFor(record.service).restore(record, now);
        }
        for (const auto &[name, members] : event.members) {
            serviceFor(name).restore(members);
        }
        for (const auto &name : context_.registry.services()) {
            serviceFor(name);
        }
        evaluateAll(now);
    }

    void on(const promotion::LeadershipLost & /*event*/, Instant /*now*/)
    {
        isLeader_ = false;
        services_.clear();
    }

    void on(const promotion::RegistryChanged &event, Instant now)
    {
        if (isLeader_) {
            serviceFor(event.service).evaluate(now);
        }
    }

    void on(const promotion::EndpointsRemoved & /*event*/, Instant now) { evaluateAll(now); }

    void on(const promotion::EvidenceReceived &event, Instant now)
    {
        dispatchTo(event.report.service, event.report, now);
    }

    void on(const promotion::EntryHostsChanged &event, Instant now)
    {
        context_.entryHosts = {event.hosts.begin(), event.hosts.end()};
        evaluateAll(now);
    }

    void on(const promotion::PrimaryReleased &event, Instant now)
    {
        if (const auto found = services_.find(event.service); found != services_.end()) {
            found->second.evaluate(now);
        }
    }

    void on(const promotion::OperationCompleted &event, Instant now)
    {
        // Operation identifiers are unique across services.
        for (auto &[name, service] : services_) {
            service.handle(event, now);
        }
        evaluateAll(now);
    }

    void on(const promotion::OrderProposalCompleted &event, Instant now)
    {
        dispatchTo(event.service, event, now);
    }

    void on(const promotion::SettlementProposalCompleted &event, Instant now)
    {
        dispatchTo(event.service, event, now);
    }

    void on(const promotion::ResumeProposalCompleted &event, Instant now)
    {
        dispatchTo(event.service, event, now);
    }

    void on(const promotion::MembersProposalCompleted &event, Instant now)
    {
        dispatchTo(event.service, event, now);
    }

    void on(const promotion::CallCompleted &event, Instant now)
    {
        dispatchTo(event.service, event, now);
    }

    void on(const promotion::DocumentChanged &event, Instant now)
    {
        context_.synchronousReplicas = {event.synchronousReplicas.begin(),
                                        event.synchronousReplicas.end()};
        evaluateAll(now);
    }

    void on(const promotion::Tick & /*event*/, Instant now)
    {
        for (auto &[name, service] : services_) {
            if (const auto deadline = service.nextDeadline(); deadline && *deadline <= now) {
                service.evaluate(now);
            }
        }
    }

    template <class Event>
    void dispatchTo(const std::string &name, const Event &event, Instant now)
    {
        if (const auto found = services_.find(name); found != services_.end()) {
            found->second.handle(event, now);
            found->second.evaluate(now);
        }
    }

    ServicePromotion &serviceFor(const std::string &name)
    {
        return services_.try_emplace(name, context_, name).first->second;
    }

    void evaluateAll(Instant now)
    {
        for (auto &[name, service] : services_) {
            service.evaluate(now);
        }
    }

    internal::ControllerContext context_;
    std::map<std::string, ServicePromotion, std::less<>> services_;
    bool isLeader_ = false;
};

PromotionController::PromotionController(const EndpointRegistry &registry,
                                         const HostLeaseGrantor &leases, PromotionSettings settings)
    : impl_{std::make_unique<Impl>(registry, leases, settings)}
{}

PromotionController::~PromotionController() = default;

PromotionActions PromotionController::handle(const PromotionEvent &event, Instant now)
{
    return impl_->handle(event, now);
}

std::optional<Instant> PromotionController::nextDeadline() const
{
    return impl_->nextDeadline();
}

} // namespace hyssoprock
