// What the parts of one controller count and time, in one place, for /metrics.
#pragma once

#include "metrics/metrics.hpp"

namespace heronshift::metrics {

struct Timings {
    Latency submit, heartbeat, commit, step, launch;
    FirstLaunches first_launches;
    std::uint64_t requests = 0, refused = 0;
    std::uint64_t relayed = 0, relayed_by_others = 0; // for another controller; by another controller
};

} // namespace heronshift::metrics
