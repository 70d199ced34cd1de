/// @file
/// What all parts of scheduling share: which machine may run which job, and what a placement on a machine costs. All
/// functions read a const view of the cluster and propose nothing. Call them on the thread that owns the state.
#pragma once

#include "cluster/cluster_data.hpp"

namespace heronshift::scheduling {

using cluster::ClusterData;
using cluster::Entry;
using cluster::FinalState;
using cluster::Job;
using cluster::Machine;
using cluster::MachineStatus;
using cluster::PendingRental;
using cluster::Phase;

/// Number of finished tasks of a job from which on their run times are used to estimate the run time of its other
/// tasks.
inline constexpr std::uint32_t min_runs_for_estimate = 3;
/// A cost limit in seconds of delay that is above any cost, so that a placement is accepted whatever it costs.
inline constexpr double no_cost_limit = 1e18;
/// A time in seconds that is longer than anything lasts: for tasks that do not end by themselves and for times without
/// a limit.
inline constexpr double never_s = 1e18;

/// How many replicas of the largest size the free room on each pool machine must still hold after any other task is
/// placed there.
inline constexpr double replica_headroom = 2;

/// Whether a machine accepts any new tasks now: the part of usable() that is the same for all jobs. With
/// `also_retiring`, a machine that is being retired accepts them too.
[[nodiscard]] bool takes_work(const ClusterData& cluster, const Machine& machine, bool also_retiring = false);

/// Whether it makes sense to place a task of the job on the machine now. In addition to the rules for the machine's
/// type, zone and kind (ClusterData::satisfies_constraints), the machine must send heartbeats and not be about to be
/// released, must not be marked as slow unless the job is a service, and must not have room reserved for another job,
/// unless this job has a higher priority than the reservation excludes. Free room is checked only as far as a pool
/// machine keeps room for replicas. `also_retiring` has the same meaning as in takes_work().
[[nodiscard]] bool usable(const ClusterData& cluster, const Machine& machine, const Job& job,
                          bool also_retiring = false);

/// The cost of placing a task of one job on a machine, in seconds of delay or an equivalent. Costs are meant to be
/// compared between machines; the caller adds fragmentation, which is below 1, to decide between equal ones. Use one
/// object for each decision: it computes only once what is the same for all machines.
class PlacementCost {
public:
    PlacementCost(const ClusterData& cluster, const Job& job) : cluster_(cluster), job_(job) {}
    /// The cost on a machine. The type of the machine must be known.
    [[nodiscard]] double operator()(const Machine& machine) const;

private:
    [[nodiscard]] double image_delay_s(const Machine& machine, const MachineType& type) const;
    [[nodiscard]] double spot_risk_s() const;
    [[nodiscard]] double balance_s(const Machine& machine) const;

    const ClusterData& cluster_;
    const Job& job_;
    mutable double spot_risk_s_ = -1; // cached; below zero: not computed yet
};

/// The cost of a single placement. To compare several machines, use one PlacementCost object, which is faster.
[[nodiscard]] inline double placement_cost(const ClusterData& cluster, const Machine& machine, const Job& job) {
    return PlacementCost(cluster, job)(machine);
}

/// Whether a machine counts as capacity: it is up, sends heartbeats, receives answers and is not about to be released.
[[nodiscard]] bool counts_as_capacity(const ClusterData& cluster, const Machine& machine);

/// The rate at which spot machines are lost: losses per machine and second, averaged over
/// ClusterData::averaging_period_s().
[[nodiscard]] double spot_loss_rate(const ClusterData& cluster);

/// The expected run time of a task of the job, in seconds: the owner's estimate, corrected by the recent ratio of
/// actual to estimated run times.
[[nodiscard]] inline double estimated_run_s(const ClusterData& cluster, const Job& job) {
    return std::max(1.0, job.spec.estimate_s) * cluster.learned.bias();
}

/// The time that a task gets to save its progress before it is stopped, in seconds: enough for `saves` times the usual
/// saving time. Zero for tasks that save nothing.
[[nodiscard]] inline double drain_time_s(const JobSpec& spec, double saves = 1) {
    return spec.checkpoint_s > 0 ? saves * spec.save_s + 1 : 0;
}

/// Whether a machine is on-demand (not spot) and has no accelerators. Such machines can run jobs that may use neither
/// spot machines nor accelerators, as well as other jobs.
[[nodiscard]] inline bool is_cpu_only_on_demand(const Machine& machine) {
    return !machine.spot && machine.total.gpus <= 0;
}

/// Whether room on the machine is currently reserved for a job other than this one.
[[nodiscard]] inline bool is_reserved_for_another(const ClusterData& cluster, const Machine& machine, const Job& job) {
    return machine.reserved_for != nullptr && machine.reserved_for != &job && cluster.now < machine.reserved_until;
}

/// Half of `count`, rounded up: the number of tasks of a job with `spread` that one zone may have.
[[nodiscard]] inline std::uint32_t half_rounded_up(std::uint32_t count) {
    return (count + 1) / 2;
}

/// Whether `list`, the names that a job allows, contains `name`. An empty list allows all names.
template <class Name> [[nodiscard]] bool allows(const std::vector<std::string>& list, const Name& name) {
    return list.empty() || std::find(list.begin(), list.end(), name) != list.end();
}

} // namespace heronshift::scheduling
