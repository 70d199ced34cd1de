// The part of Autoscaler that logs the state of the fleet.
#include "scheduling/autoscaler.hpp"

#include <fmt/format.h>

namespace heronshift::scheduling {
namespace {

// The machines of one type; spot machines are counted separately.
struct TypeCount {
    int up = 0, booting = 0, pool = 0, empty = 0;
    double cpus = 0;                                        // of the machines that are up
    double service_cpus = 0, gang_cpus = 0, array_cpus = 0; // in use on these machines
};

void count_tasks(const Machine& machine, TypeCount& count) {
    for (const auto& entry : machine.entries) {
        const auto& spec = entry->job->spec;
        if (spec.shape == Shape::service)
            count.service_cpus += spec.each.cpus;
        else if (spec.shape == Shape::gang)
            count.gang_cpus += spec.each.cpus;
        else
            count.array_cpus += spec.each.cpus;
    }
}

void add_machine(const Machine& machine, TypeCount& count) {
    count.booting += machine.status == MachineStatus::booting;
    if (machine.status != MachineStatus::up)
        return;
    ++count.up;
    count.pool += machine.pool;
    count.empty += machine.entries.empty();
    count.cpus += machine.total.cpus;
    count_tasks(machine, count);
}

} // namespace

void Autoscaler::log_fleet() {
    log_machine_types();
    log_phases();
    log_waiting();
}

void Autoscaler::log_machine_types() {
    std::map<std::string, TypeCount> counts_by_type;
    for (const auto& [id, machine] : cluster_.machines)
        add_machine(*machine, counts_by_type[machine->type_name + (machine->spot ? " (spot)" : "")]);
    for (const auto& [name, count] : counts_by_type)
        proposals_.log(
            LogLine::Level::debug,
            fmt::format("fleet: {}: {} up ({} pool, {} empty), {} booting, of {:.0f} CPUs {:.0f} in services, {:.0f} "
                        "in gangs, {:.0f} in arrays",
                        name, count.up, count.pool, count.empty, count.booting, count.cpus, count.service_cpus,
                        count.gang_cpus, count.array_cpus));
}

void Autoscaler::log_phases() {
    std::map<Phase, std::size_t> phases;
    for (const auto& [id, machine] : cluster_.machines)
        for (const auto& entry : machine->entries)
            ++phases[entry->phase];
    proposals_.log(
        LogLine::Level::debug,
        fmt::format("tasks: {} placed, {} being stored, {} to be sent, {} sent, {} fetching, {} waiting, {} running",
                    phases[Phase::intent], phases[Phase::storing], phases[Phase::stored], phases[Phase::sent],
                    phases[Phase::fetching], phases[Phase::waiting], phases[Phase::running]));
}

void Autoscaler::log_waiting() {
    std::map<Priority, std::size_t> waiting;
    for (const auto& [id, job] : cluster_.jobs)
        if (job->final == FinalState::none)
            waiting[job->priority] += job->pending.size();
    for (const auto& [priority, tasks] : waiting)
        proposals_.log(LogLine::Level::debug,
                       fmt::format("waiting: {} tasks of rank {}", tasks, static_cast<int>(priority)));
}

} // namespace heronshift::scheduling
