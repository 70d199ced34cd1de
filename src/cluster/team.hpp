// Teams and their quota.
#pragma once

#include "cluster/job.hpp"
#include "heronshift/types.hpp"

#include <vector>

namespace heronshift::cluster {

/// A team, its limits, and what its jobs use.
///
/// Invariant: `used` is the sum over the entries of all its jobs, those included that may only possibly be on a
/// machine (docs/safety.md, 9). `jobs` has those that wait for no others, in the order in which they became ready.
struct Team {
    TeamLimits limits;
    Resources used;
    std::vector<PropagateConst<Job*>> jobs;

    /// How many more tasks that use so much each the upper limits allow.
    [[nodiscard]] int quota_room(const Resources& each) const;
    /// Adds a job that has become ready.
    void add(Job& job);
    void remove(const Job& job);
    /// Determines for each job whether it is within the guarantee: it is, if it fits in with the earlier ones.
    void mark_guarantees();
};

} // namespace heronshift::cluster
