// The part of Autoscaler that retires machines that the cluster does not need.
#include "array_demand.hpp"
#include "rental_plan.hpp"
#include "scheduling/autoscaler.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace heronshift::scheduling {
namespace {

constexpr double min_billed_s = 60; // shortest time that is billed for a machine, so it is not released sooner
// Machines to keep free of gangs, as a share of the machines that gangs are using.
constexpr double gang_spare_share = 0.25;

// Tasks on a machine that do not end by themselves soon.
struct LongRunningWork {
    double service_cpus = 0, gang_cpus = 0;
    double max_gang_tasks = 0; // size of the largest gang that has a task on the machine
};

LongRunningWork long_running_work(const ClusterData& cluster, const Machine& machine) {
    LongRunningWork work;
    for (const auto& entry : machine.entries) {
        const auto& spec = entry->job->spec;
        if (spec.shape == Shape::service)
            work.service_cpus += cluster.cpu_demand(*entry->job);
        if (spec.shape == Shape::gang) {
            work.gang_cpus += cluster.cpu_demand(*entry->job);
            work.max_gang_tasks = std::max(work.max_gang_tasks, static_cast<double>(spec.tasks));
        }
    }
    return work;
}

double price_per_cpu(const ClusterData& cluster, const Machine& machine) {
    const auto& type = cluster.types[static_cast<std::size_t>(machine.type)];
    return (machine.spot ? type.spot_price : type.price) / type.room.cpus;
}

} // namespace

struct Autoscaler::FleetTotals {
    CpuAmount capacity, need;
    double gang_machines = 0;       // machines that run a gang
    double max_gang_tasks = 0;      // size of the largest gang that runs or waits
    double gang_ready_machines = 0; // machines that a new gang could use
};

struct Autoscaler::RetirementCandidate {
    const Machine* machine;
    double service_cpus; // in use by replicas, which would have to be moved
    double price;        // per CPU
};

bool Autoscaler::may_retire(const Machine& machine, double gang_cpus) const {
    const bool paid_for = cluster_.now - machine.known_since < min_billed_s;
    const bool kept = machine.reserved_for != nullptr && cluster_.now < machine.reserved_until;
    return !machine.pool && gang_cpus <= 0 && !paid_for && !kept;
}

void Autoscaler::count_machine(const Machine& machine, FleetTotals& totals,
                               std::vector<RetirementCandidate>& candidates) const {
    const auto work = long_running_work(cluster_, machine);
    const double kept_cpus = machine.pool ? cluster_.service_shape.cpus * replica_headroom : 0;
    const double needed = work.service_cpus + work.gang_cpus + kept_cpus;
    totals.capacity.total += machine.total.cpus;
    totals.need.total += needed;
    if (is_cpu_only_on_demand(machine)) {
        totals.capacity.on_demand += machine.total.cpus;
        totals.need.on_demand += needed;
    }
    totals.gang_machines += work.gang_cpus > 0;
    totals.max_gang_tasks = std::max(totals.max_gang_tasks, work.max_gang_tasks);
    totals.gang_ready_machines += is_gang_ready(machine);
    if (may_retire(machine, work.gang_cpus))
        candidates.push_back({&machine, work.service_cpus, price_per_cpu(cluster_, machine)});
}

// Adds the need of waiting replicas and gangs. The need of arrays is estimated separately.
void Autoscaler::count_waiting(FleetTotals& totals) const {
    for (const auto& [id, job] : cluster_.jobs) {
        if (job->final != FinalState::none || job->pending.empty())
            continue;
        const auto& spec = job->spec;
        if (spec.shape != Shape::array)
            totals.need.total += cluster_.cpu_demand(*job) * static_cast<double>(job->pending.size());
        if (spec.shape == Shape::gang)
            totals.max_gang_tasks = std::max(totals.max_gang_tasks, static_cast<double>(spec.tasks));
    }
}

Autoscaler::FleetTotals Autoscaler::compute_totals(std::vector<RetirementCandidate>& candidates) const {
    FleetTotals totals;
    for (const auto& [id, machine] : cluster_.machines)
        if (counts_as_capacity(cluster_, *machine) && !machine->retiring)
            count_machine(*machine, totals, candidates);
    count_waiting(totals);
    return totals;
}

void Autoscaler::scale_down() {
    // After a change of leader, wait for one lease until the new leader knows which tasks run where and what load
    // arrives.
    if (cluster_.term > 1 && cluster_.now - cluster_.started < settings_.lease_s)
        return;
    std::vector<RetirementCandidate> candidates;
    auto totals = compute_totals(candidates);
    const auto due = array_cpu_demand(cluster_), brought = offered_load(cluster_);
    proposals_.log(
        LogLine::Level::debug,
        fmt::format("capacity: {:.0f} CPUs ({:.0f} ordinary), {:.0f} for services and gangs, arrays need {:.0f} "
                    "({:.0f}) and bring {:.0f} ({:.0f})",
                    totals.capacity.total, totals.capacity.on_demand, totals.need.total, due.total, due.on_demand,
                    brought.total, brought.on_demand));
    totals.need.total += std::max(due.total, brought.total) * array_capacity_margin;
    totals.need.on_demand += std::max(due.on_demand, brought.on_demand) * array_capacity_margin;
    gang_ready_target_ = totals.gang_machines * gang_spare_share + totals.max_gang_tasks;
    // The machine with the highest price per CPU comes first, and among equal ones the machine that can be emptied
    // soonest.
    std::sort(candidates.begin(), candidates.end(),
              [](const RetirementCandidate& one, const RetirementCandidate& other) {
                  if (one.price != other.price)
                      return one.price > other.price;
                  if (one.service_cpus != other.service_cpus)
                      return one.service_cpus < other.service_cpus;
                  if (one.machine->used.cpus != other.machine->used.cpus)
                      return one.machine->used.cpus < other.machine->used.cpus;
                  return one.machine->id > other.machine->id;
              });
    retire_surplus(totals, candidates);
}

// Retires machines in the given order as long as the rest suffices for the needs of all jobs, of those that need
// machines for which `is_cpu_only_on_demand()` holds, and of gangs.
void Autoscaler::retire_surplus(FleetTotals totals, const std::vector<RetirementCandidate>& candidates) {
    auto& capacity = totals.capacity;
    const auto& need = totals.need;
    for (const auto& candidate : candidates) {
        const auto& machine = *candidate.machine;
        if (capacity.total - machine.total.cpus < need.total)
            return;
        if (is_cpu_only_on_demand(machine)) {
            if (capacity.on_demand - machine.total.cpus < need.on_demand)
                continue;
            capacity.on_demand -= machine.total.cpus;
        }
        if (machine.total.gpus > 0 && !machine.spot) {
            if (totals.gang_ready_machines - 1 < gang_ready_target_)
                continue;
            --totals.gang_ready_machines;
        }
        capacity.total -= machine.total.cpus;
        proposals_.set_retiring(machine, true);
        proposals_.log(LogLine::Level::debug, fmt::format("machine {} is to become empty, {:.0f} of its CPUs in use",
                                                          machine.id, machine.used.cpus));
    }
}

} // namespace heronshift::scheduling
