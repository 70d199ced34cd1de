/// @file
/// Reads what the store holds of the cluster: all of it when a term begins, and from then on the jobs that other nodes
/// accept.
#pragma once

#include "heronshift/config.hpp"
#include "heronshift/store/store.hpp"
#include "persistence/cluster_records.hpp"
#include "timer_queue.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace heronshift::leadership {

/// Runs on the loop's thread. A call that fails is made again until stop(); nothing throws.
class StateLoader {
public:
    using Loaded = std::function<void(Snapshot&&)>;
    using JobsStored = std::function<void(std::vector<codec::StoredJob>&&)>;

    /// Keeps the references.
    StateLoader(const Settings& settings, TimerQueue& timers, store::StateStore& store)
        : settings_(settings), timers_(timers), store_(store) {}

    /// Reads everything; `loaded` is called once, unless stopped before.
    void read_all(const Loaded& loaded);
    /// Reports the jobs stored since read_all(), which must have succeeded.
    void follow_jobs(JobsStored jobs_stored);
    /// No callback is called any more.
    void stop() {
        ++epoch_;
        stored_ = {};
    }

private:
    void load(const std::string& prefix, const std::string& since, std::vector<codec::Item>* into,
              const std::function<void()>& next);
    void follow();
    void follow_after(double delay_s, std::uint64_t epoch);
    void handle_changes(store::Answer&& answer);
    void report_jobs(const std::vector<codec::Item>& items);

    const Settings& settings_;
    TimerQueue& timers_;
    store::StateStore& store_;
    std::uint64_t epoch_ = 0;    // answers to calls of an earlier one are dropped
    std::uint64_t revision_ = 0; // up to which jobs are known
    Snapshot stored_;            // as far as it has been read
    int prefixes_left_ = 0;      // to be read
    JobsStored jobs_stored_;
};

} // namespace heronshift::leadership
