#include "scheduling/placement_cost.hpp"

#include <algorithm>
#include <cmath>

namespace heronshift::scheduling {
namespace {

// Costs of a place, in seconds of delay or what weighs as much.
constexpr double tight_loss_s = 100;             // the loss of a task whose job would be late by it
constexpr double late_start_s = 15;              // a start that comes too late for the aim of the job's class
constexpr double ordinary_instead_of_spot_s = 2; // ordinary machines are dearer, and others can use nothing else
constexpr double service_off_pool_s = 15;        // a replica has to move once its machine goes back
constexpr double task_on_pool_s = 4;             // the room there is for replicas
constexpr double unused_accelerator_s = 20;      // accelerators are for those who need them
constexpr double balance_weight_s = 2;           // a machine that is wholly free, or wholly used

constexpr double shared_fetch = 0.5;    // of the whole time: an image that is being fetched is halfway on average
constexpr double forgotten_fetches = 2; // after so many times its duration a fetch is no longer believed to go on
constexpr double max_silent_heartbeats = 1.5, max_serving_heartbeats = 2; // intervals without a heartbeat

// On the pool, room for the next replicas stays free: making it then would cost the aim for their start.
bool leaves_replica_room(const ClusterData& cluster, const Machine& machine, const Job& job) {
    return (job.spec.each + cluster.service_shape * kept_replicas).fits(machine.whole - machine.used);
}

} // namespace

bool takes_work(const ClusterData& cluster, const Machine& machine, bool also_retiring) {
    if (machine.status != Status::up || machine.draining || machine.bad || machine.releasing ||
        (machine.retiring && !also_retiring) || machine.type < 0 || machine.zone < 0 || !machine.proven ||
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
        return false; // replicas have no speed
    if (is_kept_for_another(cluster, machine, job) && job.priority >= machine.reserved_priority)
        return false;
    if (machine.pool && !service && !leaves_replica_room(cluster, machine, job))
        return false;
    return cluster.allowed_there(job, machine);
}

// What a loss costs: a lease until it is known, and the run once more. A job that would be late by that keeps off
// spot machines on days when many are taken; so does one that others wait for, since each of its tasks may hold
// them all up.
double PlacementCost::spot_risk_s() const {
    if (spot_risk_s_ >= 0)
        return spot_risk_s_;
    const auto& settings = cluster_.settings;
    const double run = estimated_run_s(cluster_, job_);
    const double due = cluster_.due_at(job_);
    const bool tight = job_.latest >= 0 || (due >= 0 && due - cluster_.now < 2 * run + settings.lease_s);
    spot_risk_s_ = spot_loss_rate(cluster_) * run * (tight ? tight_loss_s : settings.lease_s);
    return spot_risk_s_;
}

// Until the image is there: the fetch itself, and others under way at the same time, which share the rate.
double PlacementCost::image_delay_s(const Machine& machine, const MachineType& type) const {
    bool coming = false, ready = false;
    double others = 0;
    for (const auto& cached : machine.images) {
        const double fetch = cluster_.image_gb[static_cast<std::size_t>(cached.image)] / type.fetch_gb_per_s;
        const bool under_way = !cached.ready && cluster_.now - cached.used < forgotten_fetches * fetch;
        if (cached.image == job_.image) {
            ready = cached.ready;
            coming = under_way;
        } else if (under_way) {
            others += fetch;
        }
    }
    if (ready)
        return 0;
    const double fetch = job_.spec.image_gb / type.fetch_gb_per_s * (coming ? shared_fetch : 1);
    const bool too_late = job_.start_within_s >= 0 && fetch > job_.start_within_s;
    return fetch + others + (too_late ? late_start_s : 0);
}

// Full machines first, so that others become empty and can be returned. But replicas evenly over the pool, which
// stays: the loss of a machine or a zone then takes fewer of them, and what remains has room for them and their images.
double PlacementCost::balance_s(const Machine& machine) const {
    const double whole = std::max(1.0, machine.whole.cpus);
    if (machine.pool && job_.spec.shape == Shape::service)
        return balance_weight_s * machine.firm.cpus / whole;
    return balance_weight_s * (machine.whole.cpus - machine.used.cpus) / whole;
}

// The terms are added in this order: another one rounds differently, and may decide otherwise between equals.
double PlacementCost::operator()(const Machine& machine) const {
    const auto& type = cluster_.types[static_cast<std::size_t>(machine.type)];
    const bool service = job_.spec.shape == Shape::service;
    double cost = image_delay_s(machine, type);
    if (job_.spec.spot && !machine.spot)
        cost += ordinary_instead_of_spot_s;
    if (machine.spot)
        cost += spot_risk_s();
    if (service && !machine.pool)
        cost += service_off_pool_s;
    if (!service && machine.pool)
        cost += task_on_pool_s;
    if (job_.spec.each.gpus <= 0 && type.room.gpus > 0)
        cost += unused_accelerator_s;
    return cost + balance_s(machine);
}

bool serves(const ClusterData& cluster, const Machine& machine) {
    return machine.status == Status::up && !machine.draining && !machine.bad && !machine.releasing &&
           machine.type >= 0 && !machine.inbound_unreachable() &&
           cluster.now <= machine.last_heartbeat_at + max_serving_heartbeats * cluster.settings.report_s;
}

double spot_loss_rate(const ClusterData& cluster) {
    if (cluster.spot_machines == 0)
        return 0;
    const double over = cluster.average_s();
    const double decay = std::exp(-(cluster.now - cluster.learned.spot_losses_at) / over);
    return cluster.learned.spot_losses * decay / over / static_cast<double>(cluster.spot_machines);
}

} // namespace heronshift::scheduling
