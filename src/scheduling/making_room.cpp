// The part of Placement that makes room by preempting tasks of lower priority.
#include "scheduling/placement.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace heronshift::scheduling {
namespace {

// Seconds of delay for a task that are considered as costly as losing one CPU second of other jobs' work.
constexpr double task_lost_work_weight = 0.05;
// Cost reduction for a machine where room is already being made for the job. It exceeds the differences between all
// other cost terms.
constexpr double reserved_machine_bonus_s = 1000;
// Time lost by stopping and restarting a task that has only just started.
constexpr double restart_overhead_s = 1;

// The work that is lost if a task is stopped now.
struct Loss {
    double cpu_s;
    const Entry* entry;
};

// How many tasks of the job fit in the room, up to `max_tasks`.
int count_fitting(const Job& job, Resources room, int max_tasks) {
    int count = 0;
    for (; count < max_tasks && job.spec.each.fits(room); ++count)
        room -= job.spec.each;
    return count;
}

} // namespace

// The work lost by stopping a task now, in CPU seconds: its run time, which for a task that saves its progress counts
// up to the time that saving takes, and the time to stop and restart it.
double Placement::preemption_loss(const Entry& entry) const {
    const auto& spec = entry.job->spec;
    double run = entry.running_at >= 0 ? cluster_.now - entry.running_at : 0;
    if (spec.checkpoint_s > 0)
        run = std::min(run, spec.save_s);
    return (run + restart_overhead_s) * spec.each.cpus;
}

// Selects array tasks of lower priority to preempt until `max_tasks` tasks of the job fit, the least loss first. The
// room of tasks that are already being stopped is counted as free. Adds the selected room to `free`, and returns the
// work that would be lost, in CPU seconds.
double Placement::select_victims(MachineRoom& room, const Job& job, int max_tasks, Resources& free) const {
    std::vector<Loss> losses;
    for (const auto& entry : room.machine->entries) {
        const auto& spec = entry->job->spec;
        if (entry->stop)
            free += spec.each;
        else if (entry->job->priority > job.priority && spec.shape == Shape::array)
            losses.push_back({preemption_loss(*entry), entry.get()});
    }
    std::sort(losses.begin(), losses.end(), [](const Loss& one, const Loss& other) { return one.cpu_s < other.cpu_s; });
    double lost = 0;
    room.tasks = count_fitting(job, free, max_tasks);
    for (const auto& loss : losses) {
        if (room.tasks >= max_tasks)
            break;
        free += loss.entry->job->spec.each;
        lost += loss.cpu_s;
        room.victims.push_back(loss.entry);
        room.tasks = count_fitting(job, free, max_tasks);
    }
    return lost;
}

// The room for up to `max_tasks` tasks of the job on one machine: the free room, or if not even one task fits in it,
// the room after preempting lower-priority tasks. Each CPU second of work lost counts as `loss_weight` seconds of
// delay.
Placement::MachineRoom Placement::room_on(const Machine& machine, const Job& job, int max_tasks,
                                          double loss_weight) const {
    MachineRoom room;
    room.machine = &machine;
    if (!may_have_room(machine, job))
        return room;
    auto free = machine.total - machine.used;
    double lost = 0;
    room.tasks = count_fitting(job, free, max_tasks);
    room.ready = room.tasks > 0;
    if (!room.ready)
        lost = select_victims(room, job, max_tasks, free);
    if (room.tasks > 0)
        room.cost = placement_cost(cluster_, machine, job) + loss_weight * lost / room.tasks +
                    placement::fragmentation(free - job.spec.each, machine.total, cluster_.common_shape);
    // A machine that is reserved for the job stays preferred, or tasks would be preempted on more and more machines.
    if (machine.reserved_for == &job && cluster_.now < machine.reserved_until)
        room.cost -= reserved_machine_bonus_s;
    return room;
}

// Preempts the selected tasks and reserves the room for the job until it is placed there.
void Placement::preempt_and_reserve(const MachineRoom& room, const Job& job) {
    for (const auto* entry : room.victims)
        proposals_.preempt(*entry);
    if (!room.victims.empty())
        proposals_.log(LogLine::Level::debug, fmt::format("job {} takes the place of {} tasks on {}", job.spec.id,
                                                          room.victims.size(), room.machine->id));
    reserve_room(*room.machine, job, room.tasks, job.priority);
}

// The machines where preemption would make room for the job at a cost below `cost_limit`, in ascending order of cost.
std::vector<Placement::MachineRoom> Placement::preemption_rooms(const Job& job, int max_tasks,
                                                                double cost_limit) const {
    std::vector<MachineRoom> rooms;
    const PlacementCost cost_of(cluster_, job);
    for (const auto* machine : index_.machines()) {
        if (job.spec.each.fits(machine->total - machine->used))
            continue; // no preemption needed there
        if (machine->reserved_for != &job && cost_of(*machine) >= cost_limit)
            continue; // too costly even without preemption
        auto room = room_on(*machine, job, max_tasks, task_lost_work_weight);
        if (room.tasks > 0 && !room.victims.empty() && room.cost < cost_limit)
            rooms.push_back(std::move(room));
    }
    std::sort(rooms.begin(), rooms.end(),
              [](const MachineRoom& one, const MachineRoom& other) { return one.cost < other.cost; });
    return rooms;
}

// Preempts lower-priority tasks on the cheapest machines, as long as the cost for each task is below `cost_limit`.
// Returns the number of tasks that will have room.
int Placement::make_room(const Job& job, double cost_limit) {
    int left = std::min(static_cast<int>(job.pending.size()), quota_left(job)), made = 0;
    for (const auto& room : preemption_rooms(job, left, cost_limit)) {
        if (left <= 0)
            break;
        // A job with `spread` may have only half of its tasks in one zone. Which zone gets which tasks is decided when
        // they are placed.
        if (job.spec.spread && made >= static_cast<int>(half_rounded_up(job.spec.tasks)))
            break;
        preempt_and_reserve(room, job);
        left -= room.tasks;
        made += room.tasks;
    }
    return made;
}

} // namespace heronshift::scheduling
