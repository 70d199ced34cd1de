// Metric types of a controller, and their output in the Prometheus text format, written by prometheus-cpp. Latencies
// are in seconds, in histograms of Boost.Histogram from a millisecond to about a minute, with a last bucket for longer
// ones.
#pragma once

#include "memory_share.hpp"

#include <boost/histogram.hpp>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace heronshift::metrics {

class LatencyHistogram {
public:
    LatencyHistogram();
    void add(double seconds);
    [[nodiscard]] std::uint64_t count() const {
        return count_;
    }
    [[nodiscard]] double sum() const {
        return sum_;
    }
    struct Bucket {
        double upper_bound = 0;  // in seconds; infinite for the last bucket
        std::uint64_t count = 0; // cumulative: all values up to this bound
    };
    [[nodiscard]] std::vector<Bucket> buckets() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Bins = decltype(boost::histogram::make_histogram(std::declval<Axis>()));
    Bins bins_;
    std::uint64_t count_ = 0;
    double sum_ = 0;
};

// Measures the time from when the leader knows a job to the job's first launch. Remembers a limited number of jobs;
// beyond it, the job that was added first is removed.
class FirstLaunchTracker {
public:
    void record_known(const std::string& job, double now);
    void record_launch(const std::string& job, double now, LatencyHistogram& latency);
    void limit(std::size_t max_jobs);

private:
    std::size_t max_jobs_ = min_table_entries;
    std::unordered_map<std::string, double> known_at_;
    std::deque<std::string> order_;
};

struct Value { // a counter if its name ends in _total, else a gauge
    std::string name, help;
    double value = 0;
    std::vector<std::pair<std::string, std::string>> labels = {}; // values with the same name have to be adjacent
};
struct NamedLatency {
    std::string name, help;
    const LatencyHistogram* latency = nullptr;
};
std::string text(const std::vector<Value>& values, const std::vector<NamedLatency>& latencies);

} // namespace heronshift::metrics
