#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/settings/address.hpp>

/// @file
/// @brief Prometheus metrics of the process.

namespace hyssoprock {

/// @brief Counters, gauges and histograms, and the HTTP port that serves them.
class Metrics
{
public:
    Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;
    ~Metrics();

    /// @brief Serves /metrics over HTTP.
    /// @param address Where; port 0 picks a free one.
    /// @return The address with the real port, or Unreachable.
    [[nodiscard]] Result<SocketAddress> serve(const SocketAddress &address);

    /// @brief A read was answered. hyssoprock_reads_total{served_by}.
    /// @param servedBy "replica" or "primary".
    void countRead(std::string_view servedBy);

    /// @brief A write was answered. hyssoprock_writes_total{outcome}.
    /// @param outcome Name of the error kind, or "done".
    void countWrite(std::string_view outcome);

    /// @brief A request was answered with an error. hyssoprock_request_errors_total{kind}.
    /// @param kind Name of the error kind; "endpoint" for an endpoint's own error.
    void countError(std::string_view kind);

    /// @brief Time from a request to its answer. hyssoprock_request_duration_seconds{class}.
    /// @param requestClass "read" or "write".
    /// @param duration The time.
    void observeRequest(std::string_view requestClass, Duration duration);

    /// @brief Time in an admission queue. hyssoprock_queue_wait_seconds.
    /// @param duration The time.
    void observeQueueWait(Duration duration);

    /// @brief Caller connections. hyssoprock_caller_connections.
    /// @param count Their number.
    void setCallers(std::size_t count);

    /// @brief Connections to an endpoint. hyssoprock_endpoint_connections{endpoint}.
    /// @param endpoint Name of the endpoint.
    /// @param count Their number.
    void setEndpointConnections(const std::string &endpoint, std::size_t count);

    /// @brief A lease renewal. hyssoprock_lease_renewals_total{result}.
    /// @param result "granted", "not_leader" or "failed".
    void countRenewal(std::string_view result);

    /// @brief Configuration revision in force. hyssoprock_config_revision.
    /// @param revision The revision.
    void setConfigRevision(std::uint64_t revision);

    /// @brief Role in the control group. hyssoprock_raft_term, hyssoprock_raft_leader.
    /// @param term Present term.
    /// @param leader Whether this host leads.
    void setRaft(std::uint64_t term, bool leader);

    /// @brief A share of a change of primary. hyssoprock_failover_seconds{phase}.
    /// @param phase Name of the share.
    /// @param duration Its length.
    void observeFailover(std::string_view phase, Duration duration);

    /// @brief Bad input that was refused. hyssoprock_refused_messages_total{source}.
    /// @param source "caller", "peer" or "datagram".
    void countRefusedMessage(std::string_view source);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace hyssoprock
