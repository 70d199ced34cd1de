#include "scheduling/placement_cost.hpp"

#include <algorithm>
#include <cmath>

namespace heronshift::scheduling {
namespace {

// Costs of a placement, in seconds of delay or an equivalent.
constexpr double late_job_loss_cost_s = 100;     // losing a task whose job would then be late
constexpr double late_start_cost_s = 15;         // starting too late for the objective of the job's class
constexpr double on_demand_cost_s = 2;           // on-demand machines cost more, and some jobs can use nothing else
constexpr double service_off_pool_cost_s = 15;   // the replica has to move once its machine is released
constexpr double task_on_pool_cost_s = 4;        // the room on the pool is meant for replicas
constexpr double unused_accelerator_cost_s = 20; // accelerators are meant for jobs that need them
// Cost of a machine that is entirely free, or for replicas on the pool of one that is entirely in use.
constexpr double max_balance_cost_s = 2;

constexpr double remaining_fetch_share = 0.5; // average for an image that is being fetched
// An image that is not ready after this many times its fetch time is no longer considered as being fetched.
constexpr double max_fetch_times = 2;
// Heartbeat intervals without a heartbeat after which a machine gets no new tasks, and after which it no longer counts
// as capacity.
constexpr double max_silent_heartbeats = 1.5, max_capacity_heartbeats = 2;

// Whether the pool machine keeps enough free room for the next replicas. Making that room only when they arrive would
// violate the objective for their start.
bool keeps_replica_headroom(const ClusterData& cluster, const Machine& machine, const Job& job) {
    return (job.spec.each + cluster.service_shape * replica_headroom).fits(machine.total - machine.used);
}

} // namespace

bool takes_work(const ClusterData& cluster, const Machine& machine, bool also_retiring) {
    if (machine.status != MachineStatus::up || machine.draining || machine.out_of_service || machine.releasing ||
        (machine.retiring && !also_retiring) || machine.type < 0 || machine.zone < 0 || !machine.term_seen ||
        machine.inbound_unreachable())
        return false;
    return cluster.now >= machine.avoid_until &&
           cluster.now <= machine.last_heartbeat_at + max_silent_heartbeats * cluster.settings.report_s;
}

bool usable(const ClusterData& cluster, const Machine& machine, const Job& job, bool also_retiring) {
    if (!takes_work(cluster, machine, also_retiring))
        return false;
    const bool service = job.spec.shape == Shape::service;
    if (cluster.now < machine.slow_until && !service)
        return false; // the speed of the machine does not matter for replicas
    if (is_reserved_for_another(cluster, machine, job) && job.priority >= machine.reserved_priority)
        return false;
    if (machine.pool && !service && !keeps_replica_headroom(cluster, machine, job))
        return false;
    return cluster.satisfies_constraints(job, machine);
}

// The expected cost of losing a spot machine. A loss delays the task by the lease, until the loss is certain, and by
// another run. If the job would then be late, the cost is higher, so that it avoids spot machines while many are
// reclaimed. The same applies to a job that others depend on, since each of its tasks may delay them all.
double PlacementCost::spot_risk_s() const {
    if (spot_risk_s_ >= 0)
        return spot_risk_s_;
    const auto& settings = cluster_.settings;
    const double run = estimated_run_s(cluster_, job_);
    const double due = cluster_.due_at(job_);
    const bool late_if_lost = job_.needed_by >= 0 || (due >= 0 && due - cluster_.now < 2 * run + settings.lease_s);
    spot_risk_s_ = spot_loss_rate(cluster_) * run * (late_if_lost ? late_job_loss_cost_s : settings.lease_s);
    return spot_risk_s_;
}

// The delay until the image is on the machine: the time for the fetch itself, and for other fetches in progress, which
// share the bandwidth.
double PlacementCost::image_delay_s(const Machine& machine, const MachineType& type) const {
    bool fetching = false, ready = false;
    double others = 0;
    for (const auto& cached : machine.images) {
        const double fetch = cluster_.image_gb[static_cast<std::size_t>(cached.image)] / type.fetch_gb_per_s;
        const bool under_way = !cached.ready && cluster_.now - cached.used < max_fetch_times * fetch;
        if (cached.image == job_.image) {
            ready = cached.ready;
            fetching = under_way;
        } else if (under_way) {
            others += fetch;
        }
    }
    if (ready)
        return 0;
    const double fetch = job_.spec.image_gb / type.fetch_gb_per_s * (fetching ? remaining_fetch_share : 1);
    const bool too_late = job_.start_within_s >= 0 && fetch > job_.start_within_s;
    return fetch + others + (too_late ? late_start_cost_s : 0);
}

// Fuller machines are preferred, so that others become empty and can be released. Replicas are instead spread evenly
// over the pool, whose machines stay: then losing a machine or a zone affects fewer of them, and the remaining machines
// have the room and images to replace them.
double PlacementCost::balance_s(const Machine& machine) const {
    const double total = std::max(1.0, machine.total.cpus);
    if (machine.pool && job_.spec.shape == Shape::service)
        return max_balance_cost_s * machine.non_preemptible.cpus / total;
    return max_balance_cost_s * (machine.total.cpus - machine.used.cpus) / total;
}

// The order in which the terms are added matters: another order rounds differently and may decide differently between
// equal costs.
double PlacementCost::operator()(const Machine& machine) const {
    const auto& type = cluster_.types[static_cast<std::size_t>(machine.type)];
    const bool service = job_.spec.shape == Shape::service;
    double cost = image_delay_s(machine, type);
    if (job_.spec.spot && !machine.spot)
        cost += on_demand_cost_s;
    if (machine.spot)
        cost += spot_risk_s();
    if (service && !machine.pool)
        cost += service_off_pool_cost_s;
    if (!service && machine.pool)
        cost += task_on_pool_cost_s;
    if (job_.spec.each.gpus <= 0 && type.room.gpus > 0)
        cost += unused_accelerator_cost_s;
    return cost + balance_s(machine);
}

bool counts_as_capacity(const ClusterData& cluster, const Machine& machine) {
    return machine.status == MachineStatus::up && !machine.draining && !machine.out_of_service && !machine.releasing &&
           machine.type >= 0 && !machine.inbound_unreachable() &&
           cluster.now <= machine.last_heartbeat_at + max_capacity_heartbeats * cluster.settings.report_s;
}

double spot_loss_rate(const ClusterData& cluster) {
    if (cluster.spot_machines == 0)
        return 0;
    const double over = cluster.averaging_period_s();
    const double decay = std::exp(-(cluster.now - cluster.learned.spot_losses_at) / over);
    return cluster.learned.spot_losses * decay / over / static_cast<double>(cluster.spot_machines);
}

} // namespace heronshift::scheduling
