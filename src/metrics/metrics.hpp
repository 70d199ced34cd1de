// What a controller counts and times, and its text for monitoring systems (the Prometheus format, written
// by prometheus-cpp). Times in seconds, in Boost.Histogram, from a millisecond to a minute and beyond.
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

class Latency {
public:
    Latency();
    void add(double seconds);
    [[nodiscard]] std::uint64_t count() const {
        return count_;
    }
    [[nodiscard]] double sum() const {
        return sum_;
    }
    struct Bucket {
        double upto = 0;         // infinite for the last
        std::uint64_t count = 0; // of all up to there
    };
    [[nodiscard]] std::vector<Bucket> buckets() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Bins = decltype(boost::histogram::make_histogram(std::declval<Axis>()));
    Bins bins_;
    std::uint64_t count_ = 0;
    double sum_ = 0;
};

// From the moment the leader knows a job to its first launch. Bounded: of too many, the oldest is forgotten.
class FirstLaunches {
public:
    void known(const std::string& job, double now);
    void launched(const std::string& job, double now, Latency& into);
    void limit(std::size_t max_jobs);

private:
    std::size_t max_jobs_ = min_table_entries;
    std::unordered_map<std::string, double> since_;
    std::deque<std::string> order_;
};

struct Value { // a name that ends in _total is a counter's, all others are gauges'
    std::string name, help;
    double value = 0;
    std::vector<std::pair<std::string, std::string>> labels = {}; // values of one name follow each other
};
struct Timed {
    std::string name, help;
    const Latency* latency = nullptr;
};
std::string text(const std::vector<Value>& values, const std::vector<Timed>& timed);

} // namespace heronshift::metrics
