// The part of Autoscaler that retires machines that the cluster does not need.
#include "array_demand.hpp"
#include "rental_plan.hpp"
#include "scheduling/autoscaler.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace heronshift::scheduling {
namespace {

constexpr double min_charged_s = 60; // shortest time that is billed for a machine, so it is not released sooner
// Machines to keep free of gangs, as a share of the machines that gangs are using.
constexpr double spare_gangs = 0.25;

// Tasks on a machine that do not end by themselves soon.
struct LastingWork {
    double service_cpus = 0, gang_cpus = 0;
    double max_gang_tasks = 0; // size of the largest gang that has a task on the machine
};

LastingWork lasting_work(const Machine& machine) {
    LastingWork work;
    for (const auto& entry : machine.entries) {
        const auto& spec = entry->job->spec;
        if (spec.shape == Shape::service)
            work.service_cpus += spec.each.cpus;
        if (spec.shape == Shape::gang) {
            work.gang_cpus += spec.each.cpus;
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

struct Autoscaler::Holdings {
    CpuAmount capacity, need;
    double gang_machines = 0;   // machines that run a gang
    double max_gang_tasks = 0;  // size of the largest gang that runs or waits
    double ready_for_gangs = 0; // machines that a new gang could use
};

struct Autoscaler::ShrinkCandidate {
    const Machine* machine;
    double service_cpus; // in use by replicas, which would have to be moved
    double price;        // per CPU
};

bool Autoscaler::may_be_emptied(const Machine& machine, double gang_cpus) const {
    const bool paid_for = cluster_.now - machine.known_since < min_charged_s;
    const bool kept = machine.reserved_for != nullptr && cluster_.now < machine.reserved_until;
    return !machine.pool && gang_cpus <= 0 && !paid_for && !kept;
}

void Autoscaler::count_machine(const Machine& machine, Holdings& holdings,
                               std::vector<ShrinkCandidate>& candidates) const {
    const auto work = lasting_work(machine);
    const double kept_cpus = machine.pool ? cluster_.service_shape.cpus * kept_replicas : 0;
    const double needed = work.service_cpus + work.gang_cpus + kept_cpus;
    holdings.capacity.all += machine.whole.cpus;
    holdings.need.all += needed;
    if (plain(machine)) {
        holdings.capacity.ordinary += machine.whole.cpus;
        holdings.need.ordinary += needed;
    }
    holdings.gang_machines += work.gang_cpus > 0;
    holdings.max_gang_tasks = std::max(holdings.max_gang_tasks, work.max_gang_tasks);
    holdings.ready_for_gangs += is_ready_for_gang(machine);
    if (may_be_emptied(machine, work.gang_cpus))
        candidates.push_back({&machine, work.service_cpus, price_per_cpu(cluster_, machine)});
}

// Adds the need of waiting replicas and gangs. The need of arrays is estimated separately.
void Autoscaler::count_waiting(Holdings& holdings) const {
    for (const auto& [id, job] : cluster_.jobs) {
        if (job->final != Final::none || job->pending.empty())
            continue;
        const auto& spec = job->spec;
        if (spec.shape != Shape::array)
            holdings.need.all += spec.each.cpus * static_cast<double>(job->pending.size());
        if (spec.shape == Shape::gang)
            holdings.max_gang_tasks = std::max(holdings.max_gang_tasks, static_cast<double>(spec.tasks));
    }
}

Autoscaler::Holdings Autoscaler::count_holdings(std::vector<ShrinkCandidate>& candidates) const {
    Holdings holdings;
    for (const auto& [id, machine] : cluster_.machines)
        if (serves(cluster_, *machine) && !machine->retiring)
            count_machine(*machine, holdings, candidates);
    count_waiting(holdings);
    return holdings;
}

void Autoscaler::plan_shrink() {
    // After a change of leader, wait for one lease until the new leader knows which tasks run where and what load
    // arrives.
    if (cluster_.term > 1 && cluster_.now - cluster_.started < settings_.lease_s)
        return;
    std::vector<ShrinkCandidate> candidates;
    auto holdings = count_holdings(candidates);
    const auto due = array_need(cluster_), brought = offered_load(cluster_);
    proposals_.log(
        LogLine::Level::debug,
        fmt::format("capacity: {:.0f} CPUs ({:.0f} ordinary), {:.0f} for services and gangs, arrays need {:.0f} "
                    "({:.0f}) and bring {:.0f} ({:.0f})",
                    holdings.capacity.all, holdings.capacity.ordinary, holdings.need.all, due.all, due.ordinary,
                    brought.all, brought.ordinary));
    holdings.need.all += std::max(due.all, brought.all) * array_reserve;
    holdings.need.ordinary += std::max(due.ordinary, brought.ordinary) * array_reserve;
    kept_for_gangs_ = holdings.gang_machines * spare_gangs + holdings.max_gang_tasks;
    // The machine with the highest price per CPU comes first, and among equal ones the machine that can be emptied
    // soonest.
    std::sort(candidates.begin(), candidates.end(), [](const ShrinkCandidate& one, const ShrinkCandidate& other) {
        if (one.price != other.price)
            return one.price > other.price;
        if (one.service_cpus != other.service_cpus)
            return one.service_cpus < other.service_cpus;
        if (one.machine->used.cpus != other.machine->used.cpus)
            return one.machine->used.cpus < other.machine->used.cpus;
        return one.machine->id > other.machine->id;
    });
    empty_surplus(holdings, candidates);
}

// Retires machines in the given order as long as the rest suffices for the needs of all jobs, of those that need
// machines for which `plain()` holds, and of gangs.
void Autoscaler::empty_surplus(Holdings holdings, const std::vector<ShrinkCandidate>& candidates) {
    auto& capacity = holdings.capacity;
    const auto& need = holdings.need;
    for (const auto& candidate : candidates) {
        const auto& machine = *candidate.machine;
        if (capacity.all - machine.whole.cpus < need.all)
            return;
        if (plain(machine)) {
            if (capacity.ordinary - machine.whole.cpus < need.ordinary)
                continue;
            capacity.ordinary -= machine.whole.cpus;
        }
        if (machine.whole.gpus > 0 && !machine.spot) {
            if (holdings.ready_for_gangs - 1 < kept_for_gangs_)
                continue;
            --holdings.ready_for_gangs;
        }
        capacity.all -= machine.whole.cpus;
        proposals_.retire(machine, true);
        proposals_.log(LogLine::Level::debug, fmt::format("machine {} is to become empty, {:.0f} of its CPUs in use",
                                                          machine.id, machine.used.cpus));
    }
}

} // namespace heronshift::scheduling
