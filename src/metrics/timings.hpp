// The counters and latencies that the components of one controller record for /metrics.
#pragma once

#include "metrics/metrics.hpp"

namespace heronshift::metrics {

struct Timings {
    LatencyHistogram submit, heartbeat, commit, step, launch;
    FirstLaunchTracker first_launches;
    std::uint64_t requests = 0, refused = 0, oversized_requests = 0;
    /// Look-ups of jobs, by the source of the answer: the leader's memory, a cached final state, the record of the
    /// final state, a cascade record, and the job's record.
    std::uint64_t answers_from_memory = 0, answers_from_cache = 0, answers_from_finals = 0, answers_from_cascades = 0,
                  answers_from_jobs = 0;
    std::uint64_t relayed = 0, relayed_by_others = 0; // relayed by this controller for others; by others for this one
};

} // namespace heronshift::metrics
