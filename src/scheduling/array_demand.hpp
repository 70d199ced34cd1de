/// @file
/// How many CPUs arrays need and bring. Estimates from a const view of the cluster: nothing is proposed here.
#pragma once

#include "scheduling/placement_cost.hpp"

namespace heronshift::scheduling {

/// An amount of CPUs.
struct CpuAmount {
    /// On machines of any kind.
    double all = 0;
    /// The part of it on plain() machines: for work that may not use spot machines.
    double ordinary = 0;
};

/// More CPUs than arrays need are kept, by this factor, since estimates are rough.
inline constexpr double array_reserve = 1.15;

/// The CPUs that the arrays now in the cluster need to be done in time: of all jobs due before some moment, the work
/// that is left over the time that is left, though never more than all their tasks use at once. The part that may not
/// use spot machines is counted on its own, since spot machines to spare do not help it.
[[nodiscard]] CpuAmount array_need(const ClusterData& cluster);

/// The CPUs that arrays keep busy on average by the work they bring, as far as more is expected to come.
[[nodiscard]] CpuAmount offered_load(const ClusterData& cluster);

} // namespace heronshift::scheduling
