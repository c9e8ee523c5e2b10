#include <hyssoprock/daemon/shared/metrics.hpp>

#include <exception>

#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace hyssoprock {

namespace {

const prometheus::Histogram::BucketBoundaries requestBucketsSeconds{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0};
const prometheus::Histogram::BucketBoundaries failoverBucketsSeconds{
    0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 12.0};

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

class Metrics::Impl
{
public:
    std::shared_ptr<prometheus::Registry> registry = std::make_shared<prometheus::Registry>();
    std::unique_ptr<prometheus::Exposer> exposer{};

    prometheus::Family<prometheus::Counter> &reads =
        counter("hyssoprock_reads_total", "Reads answered, by the role of the endpoint");
    prometheus::Family<prometheus::Counter> &writes =
        counter("hyssoprock_writes_total", "Writes answered, by outcome");
    prometheus::Family<prometheus::Counter> &errors =
        counter("hyssoprock_request_errors_total", "Requests answered with an error, by kind");
    prometheus::Family<prometheus::Counter> &renewals =
        counter("hyssoprock_lease_renewals_total", "Lease renewals, by result");
    prometheus::Family<prometheus::Counter> &refused =
        counter("hyssoprock_refused_messages_total", "Messages refused as malformed, by source");
    prometheus::Family<prometheus::Histogram> &duration =
        histogram("hyssoprock_request_duration_seconds", "Time from a request to its answer");
    prometheus::Family<prometheus::Histogram> &queueWait =
        histogram("hyssoprock_queue_wait_seconds", "Wait for a connection to an endpoint");
    prometheus::Family<prometheus::Histogram> &failover =
        histogram("hyssoprock_failover_seconds", "Shares of changes of primary, by phase");
    prometheus::Family<prometheus::Gauge> &callers =
        gauge("hyssoprock_caller_connections", "Connections of callers");
    prometheus::Family<prometheus::Gauge> &endpointConnections =
        gauge("hyssoprock_endpoint_connections", "Open connections to an endpoint");
    prometheus::Family<prometheus::Gauge> &revision =
        gauge("hyssoprock_config_revision", "Configuration revision in force");
    prometheus::Family<prometheus::Gauge> &raftTerm =
        gauge("hyssoprock_raft_term", "Term of the control group");
    prometheus::Family<prometheus::Gauge> &raftLeader =
        gauge("hyssoprock_raft_leader", "1 if this host leads the control group");

private:
    prometheus::Family<prometheus::Counter> &counter(const std::string &name,
                                                     const std::string &help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(*registry);
    }
    prometheus::Family<prometheus::Gauge> &gauge(const std::string &name, const std::string &help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(*registry);
    }
    prometheus::Family<prometheus::Histogram> &histogram(const std::string &name,
                                                         const std::string &help)
    {
        return prometheus::BuildHistogram().Name(name).Help(help).Register(*registry);
    }
};

Metrics::Metrics()
    : impl_{std::make_unique<Impl>()}
{}

Metrics::~Metrics() = default;

Result<SocketAddress> Metrics::serve(const SocketAddress &address)
{
    try {
        impl_->exposer = std::make_unique<prometheus::Exposer>(toString(address), 1);
        impl_->exposer->RegisterCollectable(impl_->registry);
        const auto ports = impl_->exposer->GetListeningPorts();
        return SocketAddress{address.ip, static_cast<std::uint16_t>(ports.at(0))};
    } catch (const std::exception &error) {
        return failure(ErrorKind::Unreachable,
                       "cannot serve metrics on " + toString(address) + ": " + error.what());
    }
}

void Metrics::countRead(std::string_view servedBy)
{
    impl_->reads.Add({{"served_by", std::string{servedBy}}}).Increment();
}

void Metrics::countWrite(std::string_view outcome)
{
    impl_->writes.Add({{"outcome", std::string{outcome}}}).Increment();
}

void Metrics::countError(std::string_view kind)
{
    impl_->errors.Add({{"kind", std::string{kind}}}).Increment();
}

void Metrics::observeRequest(std::string_view requestClass, Duration duration)
{
    impl_->duration.Add({{"class", std::string{requestClass}}}, requestBucketsSeconds)
        .Observe(seconds(duration));
}

void Metrics::observeQueueWait(Duration duration)
{
    impl_->queueWait.Add({}, requestBucketsSeconds).Observe(seconds(duration));
}

void Metrics::setCallers(std::size_t count)
{
    impl_->callers.Add({}).Set(static_cast<double>(count));
}

void Metrics::setEndpointConnections(const std::string &endpoint, std::size_t count)
{
    impl_->endpointConnections.Add({{"endpoint", endpoint}}).Set(static_cast<double>(count));
}

void Metrics::countRenewal(std::string_view result)
{
    impl_->renewals.Add({{"result", std::string{result}}}).Increment();
}

void Metrics::setConfigRevision(std::uint64_t revision)
{
    impl_->revision.Add({}).Set(static_cast<double>(revision));
}

void Metrics::setRaft(std::uint64_t term, bool leader)
{
    impl_->raftTerm.Add({}).Set(static_cast<double>(term));
    impl_->raftLeader.Add({}).Set(leader ? 1.0 : 0.0);
}

void Metrics::observeFailover(std::string_view phase, Duration duration)
{
    impl_->failover.Add({{"phase", std::string{phase}}}, failoverBucketsSeconds)
        .Observe(seconds(duration));
}

void Metrics::countRefusedMessage(std::string_view source)
{
    impl_->refused.Add({{"source", std::string{source}}}).Increment();
}

} // namespace hyssoprock
