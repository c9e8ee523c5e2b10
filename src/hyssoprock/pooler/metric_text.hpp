#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <hyssoprock/core/duration_counts.hpp>
#include <hyssoprock/transport/http_server.hpp>

/// @file
/// @brief Metrics in the Prometheus text format.

namespace hyssoprock {

/// @brief Label names and values of a series.
using MetricLabels = std::vector<std::pair<std::string_view, std::string>>;

/// @brief Collects metrics of one scrape. Series of a metric are added one after the other.
class MetricText
{
public:
    MetricText();
    MetricText(const MetricText &) = delete;
    MetricText &operator=(const MetricText &) = delete;
    ~MetricText();

    /// @brief Adds a series of a counter; one that is 0 is left out.
    void counter(std::string_view name, std::string_view help, std::uint64_t value,
                 const MetricLabels &labels = {});
    /// @brief Adds a series of a gauge.
    void gauge(std::string_view name, std::string_view help, double value,
               const MetricLabels &labels = {});
    /// @brief Adds a series of a histogram, in seconds; one without values is left out.
    void histogram(std::string_view name, std::string_view help, const DurationCounts &counts,
                   const MetricLabels &labels = {});

    /// @brief The text of all metrics.
    [[nodiscard]] std::string str() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

/// @brief Answers a request to the metrics address.
/// @param request The request.
/// @param text Called for GET /metrics.
/// @return 200 with the text, or 404, or 405.
[[nodiscard]] HttpResponse handleMetricsRequest(const HttpRequest &request,
                                                const std::function<std::string()> &text);

} // namespace hyssoprock
