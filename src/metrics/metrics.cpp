#include "metrics/metrics.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <prometheus/text_serializer.h>

namespace heronshift::metrics {
namespace {

constexpr double min_s = 0.001, max_s = 65.536;
constexpr unsigned bin_count = 16; // each is twice as wide as the one before

} // namespace

LatencyHistogram::LatencyHistogram() : bins_(boost::histogram::make_histogram(Axis(bin_count, min_s, max_s))) {}

void LatencyHistogram::add(double seconds) {
    if (!std::isfinite(seconds))
        return;
    seconds = std::max(0.0, seconds);
    bins_(std::max(seconds, min_s / 2)); // zero has no logarithm, so it counts as a value below the first bin
    ++count_;
    sum_ += seconds;
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::buckets() const {
    std::vector<Bucket> out;
    std::uint64_t below = 0;
    for (int i = -1; i < static_cast<int>(bins_.axis().size()); ++i) { // -1: values below the first bin
        below += static_cast<std::uint64_t>(bins_.at(i));
        out.push_back({bins_.axis().value(i + 1), below});
    }
    out.push_back({std::numeric_limits<double>::infinity(), count_});
    return out;
}

void FirstLaunchTracker::record_known(const std::string& job, double now) {
    if (!known_at_.emplace(job, now).second)
        return;
    order_.push_back(job);
    limit(max_jobs_);
}

void FirstLaunchTracker::limit(std::size_t max_jobs) {
    max_jobs_ = max_jobs;
    while (order_.size() > max_jobs_) {
        known_at_.erase(order_.front());
        order_.pop_front();
    }
}

void FirstLaunchTracker::record_launch(const std::string& job, double now, LatencyHistogram& latency) {
    const auto it = known_at_.find(job);
    if (it == known_at_.end() || it->second < 0)
        return;
    latency.add(now - it->second);
    it->second = -1; // the entry stays, so that a second launch is not taken for the first
}

std::string text(const std::vector<Value>& values, const std::vector<NamedLatency>& latencies) {
    using prometheus::ClientMetric;
    using prometheus::MetricFamily;
    using prometheus::MetricType;
    std::vector<MetricFamily> all;
    for (const auto& v : values) {
        ClientMetric m;
        const bool counter = v.name.ends_with("_total");
        (counter ? m.counter.value : m.gauge.value) = v.value;
        for (const auto& [name, value] : v.labels)
            m.label.push_back({name, value});
        if (!all.empty() && all.back().name == v.name)
            all.back().metric.push_back(m);
        else
            all.push_back({v.name, v.help, counter ? MetricType::Counter : MetricType::Gauge, {m}});
    }
    for (const auto& t : latencies) {
        ClientMetric m;
        m.histogram.sample_count = t.latency->count();
        m.histogram.sample_sum = t.latency->sum();
        for (const auto& b : t.latency->buckets())
            m.histogram.bucket.push_back({b.count, b.upper_bound});
        all.push_back({t.name, t.help, MetricType::Histogram, {m}});
    }
    return prometheus::TextSerializer().Serialize(all);
}

} // namespace heronshift::metrics
