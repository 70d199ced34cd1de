#include "heronshift/scheduling/placement_cost.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace heronshift::scheduling {
namespace {

constexpr double tight_loss_s = 100; // what the loss of a task weighs if its job would be late by it
constexpr double patience_of_aim = 0.5, patience_of_slack = 0.25;
constexpr double aged_begins = 2; // times in which a job should begin: who still waits then goes by age
constexpr double late_start = 15; // cost of a place where the start is too late for the aim of its class

} // namespace

bool usable(const ClusterData& cluster, const Machine& machine, const Job& job, bool also_retiring) {
    const auto& settings = cluster.settings;
    if (machine.status != Status::up || machine.draining || machine.bad || machine.releasing ||
        (machine.retiring && !also_retiring) || machine.type < 0 || machine.zone < 0 || !machine.proven ||
        machine.inbound_unreachable())
        return false;
    if (cluster.now < machine.avoid_until || cluster.now > machine.last_heartbeat_at + 1.5 * settings.report_s)
        return false;
    if (cluster.now < machine.slow_until && job.spec.shape != Shape::service)
        return false; // replicas have no speed
    if (machine.reserved_for != nullptr && machine.reserved_for != &job && cluster.now < machine.reserved_until &&
        job.priority >= machine.reserved_priority)
        return false;
    const auto& spec = job.spec;
    // On the pool, room for the next replica stays free: making it would cost that replica's aim.
    if (machine.pool && spec.shape != Shape::service &&
        !(spec.each + cluster.service_shape * 2).fits(machine.whole - machine.used))
        return false;
    return cluster.allowed_there(job, machine);
}

// What a loss costs: a lease until it is known, and the run once more. A job that would be late by that keeps off
// spot machines on days when many are taken; so does one that others wait for, since each of its tasks may hold
// them all up.
double PlacementCost::spot_risk() const {
    if (spot_risk_ >= 0)
        return spot_risk_;
    const auto& settings = cluster_.settings;
    const double run = std::max(1.0, j_.spec.estimate_s) * cluster_.learned.bias();
    const double due = cluster_.due_at(j_);
    const bool tight = j_.latest >= 0 || (due >= 0 && due - cluster_.now < 2 * run + settings.lease_s);
    spot_risk_ = spot_loss_rate(cluster_) * run * (tight ? tight_loss_s : settings.lease_s);
    return spot_risk_;
}

double PlacementCost::operator()(const Machine& machine) const {
    const auto& cluster = cluster_;
    const auto& job = j_;
    const auto& type = cluster.types[static_cast<std::size_t>(machine.type)];
    double cost = 0;
    bool coming = false, ready = false;
    double others = 0; // being fetched at the same time, which share the rate
    for (const auto& cached : machine.images) {
        const double gb = cluster.image_gb[static_cast<std::size_t>(cached.image)];
        const bool under_way = !cached.ready && cluster.now - cached.used < 2 * gb / type.fetch_gb_per_s;
        if (cached.image == job.image) {
            ready = cached.ready;
            coming = under_way;
        } else if (under_way) {
            others += gb / type.fetch_gb_per_s;
        }
    }
    if (!ready) {
        const double fetch = job.spec.image_gb / type.fetch_gb_per_s * (coming ? 0.5 : 1);
        cost += fetch + others;
        if (job.start_within_s >= 0 && fetch > job.start_within_s)
            cost += late_start;
    }
    if (job.spec.spot && !machine.spot)
        cost += 2;
    if (machine.spot)
        cost += spot_risk();
    const bool lasting = job.spec.shape == Shape::service;
    if (lasting != machine.pool)
        cost += lasting ? 15 : 4;
    if (job.spec.each.gpus <= 0 && type.room.gpus > 0)
        cost += 20; // accelerators are for those who need them
    // Full machines first, so that others become empty and can be returned; but replicas evenly over
    // the pool, which stays: the loss of a machine or a zone then takes fewer of them, and what
    // remains has room for them and their images.
    if (lasting && machine.pool)
        cost += 2 * machine.firm.cpus / std::max(1.0, machine.whole.cpus);
    else
        cost += 2 * (machine.whole.cpus - machine.used.cpus) / std::max(1.0, machine.whole.cpus);
    return cost;
}

double patience_s(const ClusterData& cluster, const Job& job) {
    double s = 1e18;
    for (const auto& objective : cluster.settings.objectives)
        if (objective.kind == "wait" && objective.job_class == job.spec.job_class)
            s = std::min(s, objective.within_s * patience_of_aim);
    const double due = cluster.due_at(job);
    if (due >= 0)
        s = std::min(s, (due - job.ready - std::max(1.0, job.spec.estimate_s) * cluster.learned.bias()) *
                            patience_of_slack);
    return s < 1e18 ? std::max(s, 0.0) : cluster.settings.report_s;
}

std::vector<const Job*> waiting_jobs(const ClusterData& cluster, Resources& shape) {
    // Among equals the job with the least work left goes first, since that brings the most jobs home in time.
    // Large ones begin in time all the same (Placement::begin_waiting), and whoever has waited twice as long as
    // that goes first, the oldest before all.
    struct Waiting {
        const Job* job;
        double key;
    };
    std::vector<Waiting> list;
    double most = 0;
    for (const auto& [id, j] : cluster.jobs) {
        if (j->final != Final::none || j->pending.empty() || cluster.now < j->not_before)
            continue;
        const double waited = cluster.now - j->ready;
        const bool aged = waited > aged_begins * cluster.settings.ops.begin_s;
        list.push_back({j.get(), aged ? -waited : cluster.work_left(*j)});
        const double weight = static_cast<double>(j->pending.size());
        if (weight > most) {
            most = weight;
            shape = j->spec.each;
        }
    }
    std::sort(list.begin(), list.end(), [](const Waiting& x, const Waiting& y) {
        const auto &a = *x.job, &b = *y.job;
        // What may take the place of others goes first, or it would stop them and lose the room.
        if (a.priority != b.priority)
            return a.priority < b.priority;
        if (a.guaranteed != b.guaranteed)
            return a.guaranteed;
        if (x.key != y.key)
            return x.key < y.key;
        if (a.ready != b.ready)
            return a.ready < b.ready;
        return a.spec.id < b.spec.id;
    });
    std::vector<const Job*> out;
    out.reserve(list.size());
    for (const auto& w : list)
        out.push_back(w.job);
    return out;
}

bool serves(const ClusterData& cluster, const Machine& machine) {
    return machine.status == Status::up && !machine.draining && !machine.bad && !machine.releasing &&
           machine.type >= 0 && !machine.inbound_unreachable() &&
           cluster.now <= machine.last_heartbeat_at + 2 * cluster.settings.report_s;
}

double spot_loss_rate(const ClusterData& cluster) {
    if (cluster.spot_machines == 0)
        return 0;
    const double over = cluster.average_s();
    return cluster.learned.spot_losses * std::exp(-(cluster.now - cluster.learned.spot_losses_at) / over) / over /
           static_cast<double>(cluster.spot_machines);
}

} // namespace heronshift::scheduling
