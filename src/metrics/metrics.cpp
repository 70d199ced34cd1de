#include "metrics/metrics.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <prometheus/text_serializer.h>

namespace heronshift::metrics {
namespace {

constexpr double min_s = 0.001, max_s = 65.536;
constexpr unsigned bins = 16; // each is twice as wide as the one before

} // namespace

Latency::Latency() : bins_(boost::histogram::make_histogram(Axis(bins, min_s, max_s))) {}

void Latency::add(double seconds) {
    if (!std::isfinite(seconds))
        return;
    seconds = std::max(0.0, seconds);
    bins_(std::max(seconds, min_s / 2)); // zero has no logarithm, so it counts as a value below the first bin
    ++count_;
    sum_ += seconds;
}

std::vector<Latency::Bucket> Latency::buckets() const {
    std::vector<Bucket> out;
    std::uint64_t below = 0;
    for (int i = -1; i < static_cast<int>(bins_.axis().size()); ++i) { // -1: values below the first bin
        below += static_cast<std::uint64_t>(bins_.at(i));
        out.push_back({bins_.axis().value(i + 1), below});
    }
    out.push_back({std::numeric_limits<double>::infinity(), count_});
    return out;
}

void FirstLaunches::known(const std::string& job, double now) {
    if (!since_.emplace(job, now).second)
        return;
    order_.push_back(job);
    limit(max_jobs_);
}

void FirstLaunches::limit(std::size_t max_jobs) {
    max_jobs_ = max_jobs;
    while (order_.size() > max_jobs_) {
        since_.erase(order_.front());
        order_.pop_front();
    }
}

void FirstLaunches::launched(const std::string& job, double now, Latency& into) {
    const auto it = since_.find(job);
    if (it == since_.end() || it->second < 0)
        return;
    into.add(now - it->second);
    it->second = -1; // the entry stays, so that a second launch is not taken for the first
}

std::string text(const std::vector<Value>& values, const std::vector<Timed>& timed) {
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
    for (const auto& t : timed) {
        ClientMetric m;
        m.histogram.sample_count = t.latency->count();
        m.histogram.sample_sum = t.latency->sum();
        for (const auto& b : t.latency->buckets())
            m.histogram.bucket.push_back({b.count, b.upto});
        all.push_back({t.name, t.help, MetricType::Histogram, {m}});
    }
    return prometheus::TextSerializer().Serialize(all);
}

} // namespace heronshift::metrics
