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

/// @brief Counters, gauges and histograms, served over HTTP.
class Metrics
{
public:
    Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;
    ~Metrics();

    /// @brief Serves /metrics over HTTP.
    /// @param address Listening address; port 0 selects a free port.
    /// @return The address with the actual port, or Unreachable.
    [[nodiscard]] Result<SocketAddress> serve(const SocketAddress &address);

    /// @brief Counts an answered read. hyssoprock_reads_total{served_by}.
    /// @param servedBy "replica" or "primary".
    void countRead(std::string_view servedBy);

    /// @brief Counts an answered write. hyssoprock_writes_total{outcome}.
    /// @param outcome Name of the error kind, or "done".
    void countWrite(std::string_view outcome);

    /// @brief Counts a request answered with an error. hyssoprock_request_errors_total{kind}.
    /// @param kind Name of the error kind; "endpoint" for an error of the endpoint.
    void countError(std::string_view kind);

    /// @brief Records the time from a request to its answer.
    /// hyssoprock_request_duration_seconds{class}.
    /// @param requestClass "read" or "write".
    void observeRequest(std::string_view requestClass, Duration duration);

    /// @brief Records the time spent in an admission queue. hyssoprock_queue_wait_seconds.
    void observeQueueWait(Duration duration);

    /// @brief Sets the number of caller connections. hyssoprock_caller_connections.
    void setCallers(std::size_t count);

    /// @brief Sets the number of connections to an endpoint.
    /// hyssoprock_endpoint_connections{endpoint}.
    void setEndpointConnections(const std::string &endpoint, std::size_t count);

    /// @brief Counts a lease renewal. hyssoprock_lease_renewals_total{result}.
    /// @param result "granted", "not_leader" or "failed".
    void countRenewal(std::string_view result);

    /// @brief Sets the configuration revision in force. hyssoprock_config_revision.
    void setConfigRevision(std::uint64_t revision);

    /// @brief Sets the state in the control group. hyssoprock_raft_term, hyssoprock_raft_leader.
    /// @param term Current term.
    /// @param leader Whether this host is the leader.
    void setRaft(std::uint64_t term, bool leader);

    /// @brief Records the duration of a phase of a change of primary.
    /// hyssoprock_failover_seconds{phase}.
    /// @param phase Name of the phase.
    /// @param duration Duration of the phase.
    void observeFailover(std::string_view phase, Duration duration);

    /// @brief Counts a refused malformed message. hyssoprock_refused_messages_total{source}.
    /// @param source "caller", "peer" or "datagram".
    void countRefusedMessage(std::string_view source);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace hyssoprock
