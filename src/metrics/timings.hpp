// What the parts of one controller count and time, in one place, for /metrics.
#pragma once

#include "metrics/metrics.hpp"

namespace heronshift::metrics {

struct Timings {
    Latency submit, heartbeat, commit, step, launch;
    FirstLaunches first_launches;
    std::uint64_t requests = 0, refused = 0;
    /// Questions about jobs answered from the leader's memory, from a final state heard before, from the record of a
    /// final state, from a cascade record and from the record of the job.
    std::uint64_t answers_from_memory = 0, answers_from_cache = 0, answers_from_finals = 0, answers_from_cascades = 0,
                  answers_from_jobs = 0;
    std::uint64_t relayed = 0, relayed_by_others = 0; // for another controller; by another controller
};

} // namespace heronshift::metrics
