/// @file
/// Estimates how many CPUs array jobs need now and are expected to need. The functions read a const view of the cluster
/// and propose no changes.
#pragma once

#include "scheduling/placement_cost.hpp"

namespace heronshift::scheduling {

/// A number of CPUs, in total and the part of it that spot machines cannot serve.
struct CpuAmount {
    /// CPUs on machines of any kind.
    double total = 0;
    /// The part of `total` that is on machines for which `is_cpu_only_on_demand()` holds. Only this part can serve jobs
    /// that may not use spot machines.
    double on_demand = 0;
};

/// Factor by which the CPU capacity kept for arrays exceeds their estimated need, because the estimates are rough.
inline constexpr double array_capacity_margin = 1.15;

/// The CPUs needed to complete all current array jobs in time. For each due time it divides the work of the jobs due by
/// then by the time left, capped at the CPUs that all tasks of these jobs can use at once; the result is the largest of
/// these values. The need of jobs that may not use spot machines is also given separately, since free spot capacity
/// cannot serve them.
[[nodiscard]] CpuAmount array_cpu_demand(const ClusterData& cluster);

/// The CPUs that newly submitted array jobs keep busy on average; zero once no more arrays are expected to arrive.
[[nodiscard]] CpuAmount offered_load(const ClusterData& cluster);

} // namespace heronshift::scheduling
