#include <hyssoprock/pooler/metric_text.hpp>

#include <chrono>

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace hyssoprock {

namespace {

constexpr unsigned statusNotFound = 404;
constexpr unsigned statusMethodNotAllowed = 405;
constexpr const char *textFormat = "text/plain; version=0.0.4; charset=utf-8";

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

class MetricText::Impl
{
public:
    prometheus::ClientMetric &add(std::string_view name, std::string_view help,
                                  prometheus::MetricType type, const MetricLabels &labels)
    {
        if (families.empty() || families.back().name != name) {
            families.push_back({std::string{name}, std::string{help}, type, {}});
        }
        auto &metric = families.back().metric.emplace_back();
        for (const auto &[label, value] : labels) {
            metric.label.push_back({std::string{label}, value});
        }
        return metric;
    }

    std::vector<prometheus::MetricFamily> families{};
};

MetricText::MetricText()
    : impl_{std::make_unique<Impl>()}
{}

MetricText::~MetricText() = default;

void MetricText::counter(std::string_view name, std::string_view help, std::uint64_t value,
                         const MetricLabels &labels)
{
    if (value != 0) {
        impl_->add(name, help, prometheus::MetricType::Counter, labels).counter.value =
            static_cast<double>(value);
    }
}

void MetricText::gauge(std::string_view name, std::string_view help, double value,
                       const MetricLabels &labels)
{
    impl_->add(name, help, prometheus::MetricType::Gauge, labels).gauge.value = value;
}

void MetricText::histogram(std::string_view name, std::string_view help,
                           const DurationHistogram &counts, const MetricLabels &labels)
{
    std::uint64_t total = 0;
    for (const auto count : counts.counts) {
        total += count;
    }
    if (total == 0) {
        return;
    }
    auto &histogram = impl_->add(name, help, prometheus::MetricType::Histogram, labels).histogram;
    histogram.sample_count = total;
    histogram.sample_sum = seconds(counts.sum);
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < DurationHistogram::bounds.size(); ++i) {
        cumulative += counts.counts[i];
        histogram.bucket.push_back({cumulative, seconds(DurationHistogram::bounds[i])});
    }
}

std::string MetricText::str() const
{
    return prometheus::TextSerializer{}.Serialize(impl_->families);
}

HttpResponse handleMetricsRequest(const HttpRequest &request,
                                  const std::function<std::string()> &text)
{
    HttpResponse response;
    const std::string_view target{request.target};
    if (target.substr(0, target.find('?')) != "/metrics") {
        response.status = statusNotFound;
    } else if (request.method != "GET") {
        response.status = statusMethodNotAllowed;
    } else {
        response.contentType = textFormat;
        response.body = text();
    }
    return response;
}

} // namespace hyssoprock
