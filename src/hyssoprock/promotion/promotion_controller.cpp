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
    Impl(const EndpointRegistry &registry, Duration stableWindow)
        : context_{registry, stableWindow, {}, {}, {}, 0, 0, {}}
    {}

    PromotionActions handle(const PromotionEvent &event, Instant now)
    {
        std::visit([&](const auto &body) { take(body, now); }, event);
        return std::exchange(context_.actions, {});
    }

    [[nodiscard]] std::optional<Instant> nextDeadline() const
    {
        std::optional<Instant> next;
        for (const auto &[name, service] : services_) {
            if (const auto deadline = service.deadline();
                deadline && (!next || *deadline < *next)) {
                next = deadline;
            }
        }
        return next;
    }

private:
    using ServicePromotion = internal::ServicePromotion;

    void take(const promotion::LeadershipGained &event, Instant now)
    {
        services_.clear();
        leads_ = true;
        context_.leaderSince = now;
        for (const auto &record : event.promotions) {
            service(record.service).restore(record, now);
        }
        for (const auto &record : event.resumes) {
            service(record.service).restore(record, now);
        }
        for (const auto &name : context_.registry.services()) {
            service(name);
        }
        evaluateAll(now);
    }

    void take(const promotion::LeadershipLost & /*event*/, Instant /*now*/)
    {
        leads_ = false;
        services_.clear();
    }

    void take(const promotion::RegistryChanged &event, Instant now)
    {
        if (leads_) {
            service(event.service).evaluate(now);
        }
    }

    void take(const promotion::EndpointsRemoved & /*event*/, Instant now) { evaluateAll(now); }

    void take(const promotion::EvidenceReceived &event, Instant now)
    {
        takeFor(event.report.service, event.report, now);
    }

    void take(const promotion::EntryHostsChanged &event, Instant now)
    {
        context_.entryHosts = {event.hosts.begin(), event.hosts.end()};
        evaluateAll(now);
    }

    void take(const promotion::OperationCompleted &event, Instant now)
    {
        // Query numbers are unique over all services.
        for (auto &[name, service] : services_) {
            service.take(event, now);
        }
        evaluateAll(now);
    }

    void take(const promotion::OrderProposalCompleted &event, Instant now)
    {
        takeFor(event.service, event, now);
    }

    void take(const promotion::SettlementProposalCompleted &event, Instant now)
    {
        takeFor(event.service, event, now);
    }

    void take(const promotion::ResumeProposalCompleted &event, Instant now)
    {
        takeFor(event.service, event, now);
    }

    void take(const promotion::CallCompleted &event, Instant now)
    {
        takeFor(event.service, event, now);
    }

    void take(const promotion::DocumentChanged &event, Instant now)
    {
        context_.synchronousReplicas = {event.synchronousReplicas.begin(),
                                        event.synchronousReplicas.end()};
        evaluateAll(now);
    }

    void take(const promotion::Tick & /*event*/, Instant now)
    {
        for (auto &[name, service] : services_) {
            if (const auto deadline = service.deadline(); deadline && *deadline <= now) {
                service.evaluate(now);
            }
        }
    }

    template <class Event>
    void takeFor(const std::string &name, const Event &event, Instant now)
    {
        if (const auto found = services_.find(name); found != services_.end()) {
            found->second.take(event, now);
            found->second.evaluate(now);
        }
    }

    ServicePromotion &service(const std::string &name)
    {
        return services_.try_emplace(name, context_, name).first->second;
    }

    void evaluateAll(Instant now)
    {
        for (auto &[name, service] : services_) {
            service.evaluate(now);
        }
    }

    internal::PromotionContext context_;
    std::map<std::string, ServicePromotion, std::less<>> services_;
    bool leads_ = false;
};

PromotionController::PromotionController(const EndpointRegistry &registry, Duration stableWindow)
    : impl_{std::make_unique<Impl>(registry, stableWindow)}
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
