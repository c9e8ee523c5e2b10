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
/// @brief Writer for the Prometheus text format.

namespace hyssoprock {

/// @brief Names and values of a series' labels.
using MetricLabels = std::vector<std::pair<std::string_view, std::string>>;

/// @brief Collects the metrics of one scrape. All series of a metric must be added consecutively.
class MetricText
{
public:
    MetricText();
    MetricText(const MetricText &) = delete;
    MetricText &operator=(const MetricText &) = delete;
    ~MetricText();

    /// @brief Adds a series of a counter; omitted if the value is 0.
    void counter(std::string_view name, std::string_view help, std::uint64_t value,
                 const MetricLabels &labels = {});
    /// @brief Adds a series of a gauge.
    void gauge(std::string_view name, std::string_view help, double value,
               const MetricLabels &labels = {});
    /// @brief Adds a series of a histogram in seconds; omitted if it has no values.
    void histogram(std::string_view name, std::string_view help, const DurationHistogram &counts,
                   const MetricLabels &labels = {});

    /// @brief Returns all metrics in the text format.
    [[nodiscard]] std::string str() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

/// @brief Handles a request to the metrics address.
/// @param text Returns the metrics; called for GET /metrics only.
/// @return 200 with the text, 404 for another path or 405 for another method.
[[nodiscard]] HttpResponse handleMetricsRequest(const HttpRequest &request,
                                                const std::function<std::string()> &text);

} // namespace hyssoprock
