/// @file
/// Reads the cluster state from the store: all of it when a term begins, and after that the jobs that other nodes
/// accept and store.
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

/// Must be used on the event loop's thread only. Store calls that fail are retried until stop(). No function throws.
class StateLoader {
public:
    using LoadedCallback = std::function<void(Snapshot&&)>;
    using JobsStoredCallback = std::function<void(std::vector<codec::StoredJob>&&)>;

    /// Keeps all references.
    StateLoader(const Settings& settings, TimerQueue& timers, store::StateStore& store)
        : settings_(settings), timers_(timers), store_(store) {}

    /// Reads the whole cluster state, then calls `loaded` once, unless stop() is called before.
    void read_all(const LoadedCallback& loaded);
    /// From now on calls `jobs_stored` with jobs that were stored after read_all() read the jobs. Must be called after
    /// read_all() has completed.
    void follow_jobs(JobsStoredCallback jobs_stored);
    /// Stops reading and following; no callback is called after this.
    void stop() {
        ++epoch_;
        snapshot_ = {};
    }

private:
    void load(const std::string& prefix, const std::string& after_key, std::vector<codec::Item>* destination,
              const std::function<void()>& on_complete);
    void follow();
    void follow_after(double delay_s, std::uint64_t epoch);
    void handle_changes(store::Answer&& answer);
    void report_jobs(const std::vector<codec::Item>& items);

    const Settings& settings_;
    TimerQueue& timers_;
    store::StateStore& store_;
    std::uint64_t epoch_ = 0;    // results of calls made in an earlier epoch are ignored
    std::uint64_t revision_ = 0; // the store's revision up to which the jobs have been read
    Snapshot snapshot_;          // what has been read so far
    int pending_prefixes_ = 0;   // prefixes that are not read completely yet
    JobsStoredCallback jobs_stored_;
};

} // namespace heronshift::leadership
