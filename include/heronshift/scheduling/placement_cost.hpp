// What the policies share: which machine may serve which job, and what a place costs. Functions of
// a const view.
#pragma once

#include "heronshift/cluster/cluster_data.hpp"

namespace heronshift::scheduling {

using cluster::ClusterData;
using cluster::Entry;
using cluster::Final;
using cluster::Job;
using cluster::Machine;
using cluster::Pending;
using cluster::Phase;
using cluster::Status;

inline constexpr std::uint32_t few_runs = 3; // of a job, before they say how long its tasks take

// May a task of the job be placed there now? Besides the rules, what makes it unwise: silence, a
// machine on its way out, slow or kept for others. Room is not looked at.
bool usable(const ClusterData& cluster, const Machine& machine, const Job& job, bool also_retiring = false);
// What a place on a machine costs a task of one job, in seconds of delay or their like; fragmentation (below 1) is
// the tie-break on top. For one decision: what all machines share is computed once.
class PlacementCost {
public:
    PlacementCost(const ClusterData& cluster, const Job& job) : cluster_(cluster), j_(job) {}
    [[nodiscard]] double operator()(const Machine& machine) const;

private:
    [[nodiscard]] double spot_risk() const;

    const ClusterData& cluster_;
    const Job& j_;
    mutable double spot_risk_ = -1; // below zero: not known yet
};
inline double placement_cost(const ClusterData& cluster, const Machine& machine, const Job& job) {
    return PlacementCost(cluster, job)(machine);
}
// What counts as capacity: a machine that is up, heard of and not on its way out.
bool serves(const ClusterData& cluster, const Machine& machine);
double spot_loss_rate(const ClusterData& cluster); // of one machine, a second
// For how long a job's tasks may wait for a place before its aims are in danger.
double patience_s(const ClusterData& cluster, const Job& job);
// Serves what may use neither spot machines nor accelerators, besides others.
inline bool plain(const Machine& machine) {
    return !machine.spot && machine.whole.gpus <= 0;
}
// What waits for room, most urgent first. shape: of what waits most, unchanged if nothing does.
std::vector<const Job*> waiting_jobs(const ClusterData& cluster, Resources& shape);

inline std::uint32_t half_up(std::uint32_t n) {
    return (n + 1) / 2;
}
template <class V> bool allows(const std::vector<std::string>& list, const V& name) {
    return list.empty() || std::find(list.begin(), list.end(), name) != list.end();
}

} // namespace heronshift::scheduling
