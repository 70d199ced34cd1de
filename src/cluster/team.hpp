// Teams and their quotas.
#pragma once

#include "cluster/job.hpp"
#include "heronshift/types.hpp"

#include <vector>

namespace heronshift::cluster {

/// A team, its limits, and the resources that its jobs use.
///
/// Invariant: `used` is the sum over all entries of the team's jobs, including entries of tasks that may or may not be
/// on a machine (docs/safety.md, 9). `jobs` holds the jobs that do not wait for other jobs, in the order in which they
/// became ready.
struct Team {
    TeamLimits limits;
    Resources used;
    std::vector<PropagateConst<Job*>> jobs;

    /// How many more tasks with these resources each the upper limits allow.
    [[nodiscard]] int quota_room(const Resources& each) const;
    /// Adds a job that has become ready.
    void add(Job& job);
    void remove(const Job& job);
    /// Determines for each job whether it is within the team's guaranteed resources: it is if they cover the job
    /// together with all jobs before it.
    void mark_guarantees();
};

} // namespace heronshift::cluster
