// Reads what the store holds of the cluster, whole at a failover, and from then on the jobs that other
// nodes store.
//
// Owns: the pages read so far and the revision followed to. May call the store only. Says nothing of
// who may act: it reads on until it is stopped.
#pragma once

#include "heronshift/persistence/cluster_records.hpp"
#include "heronshift/store/store.hpp"
#include "heronshift/timer_queue.hpp"

#include <functional>

namespace heronshift::leadership {

class StateLoader {
public:
    StateLoader(const Settings& settings, TimerQueue& timers, store::StateStore& store)
        : settings_(settings), timers_(timers), store_(store) {}

    void read_all(const std::function<void(Snapshot&&)>& done);
    void follow_jobs(std::function<void(std::vector<codec::StoredJob>&&)> handle_leader_read); // after read_all
    void stop() {
        ++generation_;
        stored_ = {};
    }

private:
    void load(const std::string& prefix, const std::string& since, std::vector<codec::Item>* into,
              const std::function<void()>& next);
    void follow();
    void tell(const std::vector<codec::Item>& items);

    const Settings& settings_;
    TimerQueue& timers_;
    store::StateStore& store_;
    std::uint64_t generation_ = 0, revision_ = 0;
    Snapshot stored_;
    int left_ = 0;
    std::function<void(std::vector<codec::StoredJob>&&)> seen_;
};

} // namespace heronshift::leadership
