/// @file
/// What all parts of scheduling share: which machine may serve which job, and what a place on a machine costs. All of
/// it is computed from a const view of the cluster, and nothing is proposed here. To be called on the thread that owns
/// the state.
#pragma once

#include "cluster/cluster_data.hpp"

namespace heronshift::scheduling {

using cluster::ClusterData;
using cluster::Entry;
using cluster::Final;
using cluster::Job;
using cluster::Machine;
using cluster::Pending;
using cluster::Phase;
using cluster::Status;

/// The number of ended tasks of a job from which on their times say how long its others take.
inline constexpr std::uint32_t min_known_runs = 3;
/// A limit that any cost is below, in seconds of delay: a place is taken whatever it costs.
inline constexpr double no_cost_limit = 1e18;
/// A time in seconds that nothing lasts as long as: of what does not come to an end by itself, or has no limit.
inline constexpr double never_s = 1e18;

/// For so many replicas of the largest service, room on each machine of the pool is left by all other work.
inline constexpr double kept_replicas = 2;

/// The part of usable() that is the same for all jobs: whether a machine takes any work now. `also_retiring`: a machine
/// that is to become empty may do so too.
[[nodiscard]] bool takes_work(const ClusterData& cluster, const Machine& machine, bool also_retiring = false);

/// Whether it is wise to place a task of the job on the machine now. Besides the rules of the place
/// (ClusterData::allowed_there) it looks at silence, a machine on its way out, a slow one, and room kept for others.
/// Free room is not looked at. `also_retiring` is as for takes_work().
[[nodiscard]] bool usable(const ClusterData& cluster, const Machine& machine, const Job& job,
                          bool also_retiring = false);

/// What a place on a machine costs a task of one job, in seconds of delay or what weighs as much. Costs of machines are
/// to be compared; fragmentation, which is below 1, comes on top and decides between equals. An object serves one
/// decision: what is the same for all machines is computed once.
class PlacementCost {
public:
    PlacementCost(const ClusterData& cluster, const Job& job) : cluster_(cluster), job_(job) {}
    /// The cost on a machine whose type is known.
    [[nodiscard]] double operator()(const Machine& machine) const;

private:
    [[nodiscard]] double image_delay_s(const Machine& machine, const MachineType& type) const;
    [[nodiscard]] double spot_risk_s() const;
    [[nodiscard]] double balance_s(const Machine& machine) const;

    const ClusterData& cluster_;
    const Job& job_;
    mutable double spot_risk_s_ = -1; // below zero: not known yet
};

/// The cost of one place. Where several are compared, PlacementCost itself is cheaper.
[[nodiscard]] inline double placement_cost(const ClusterData& cluster, const Machine& machine, const Job& job) {
    return PlacementCost(cluster, job)(machine);
}

/// Whether a machine counts as capacity: it is up, heard of, and not on its way out.
[[nodiscard]] bool serves(const ClusterData& cluster, const Machine& machine);

/// How often a spot machine is taken away: losses per machine and second, averaged over ClusterData::average_s().
[[nodiscard]] double spot_loss_rate(const ClusterData& cluster);

/// How long a task of the job is expected to run, in seconds: its owner's estimate, corrected by how wrong estimates
/// were lately.
[[nodiscard]] inline double estimated_run_s(const ClusterData& cluster, const Job& job) {
    return std::max(1.0, job.spec.estimate_s) * cluster.learned.bias();
}

/// The time that a task gets before it is stopped, in seconds: enough to save its progress `saves` times, none if it
/// saves nothing.
[[nodiscard]] inline double drain_time_s(const JobSpec& spec, double saves = 1) {
    return spec.checkpoint_s > 0 ? saves * spec.save_s + 1 : 0;
}

/// Whether a machine is ordinary, not spot, and without accelerators: it serves what may use neither, besides others.
[[nodiscard]] inline bool plain(const Machine& machine) {
    return !machine.spot && machine.whole.gpus <= 0;
}

/// Whether room on the machine is kept now for a job other than this one.
[[nodiscard]] inline bool is_kept_for_another(const ClusterData& cluster, const Machine& machine, const Job& job) {
    return machine.reserved_for != nullptr && machine.reserved_for != &job && cluster.now < machine.reserved_until;
}

/// Half of a number, rounded up: what one zone may hold of the tasks of a job that is spread.
[[nodiscard]] inline std::uint32_t half_up(std::uint32_t count) {
    return (count + 1) / 2;
}

/// Whether a list of names that a job gave allows this one: an empty list allows all.
template <class Name> [[nodiscard]] bool allows(const std::vector<std::string>& list, const Name& name) {
    return list.empty() || std::find(list.begin(), list.end(), name) != list.end();
}

} // namespace heronshift::scheduling
