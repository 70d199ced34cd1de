// Placement's part that makes room by stopping work of lower rank.
#include "scheduling/placement.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace heronshift::scheduling {
namespace {

constexpr double task_loss_weight = 0.05; // seconds that a task may wait for each CPU second of other work not lost
constexpr double chosen_already_s = 1000; // by so much cheaper is room that is being made: more than other terms differ
constexpr double overhead_s = 1;          // lost with a task that has just started: stopping and starting it

// What is lost when a task is stopped now.
struct Loss {
    double cpu_s;
    const Entry* entry;
};

// How many tasks of the job fit in the room, up to a number.
int count_fitting(const Job& job, Resources room, int max_tasks) {
    int count = 0;
    for (; count < max_tasks && job.spec.each.fits(room); ++count)
        room -= job.spec.each;
    return count;
}

} // namespace

// What stopping a task now loses, in CPU seconds: what it has done since it started or last saved its progress.
double Placement::loss_of(const Entry& entry) const {
    const auto& spec = entry.job->spec;
    double run = entry.running_at >= 0 ? cluster_.now - entry.running_at : 0;
    if (spec.checkpoint_s > 0)
        run = std::min(run, spec.save_s);
    return (run + overhead_s) * spec.each.cpus;
}

// Adds to the room what stopping arrays of lower rank makes, the lowest loss first, and what tasks leave that end
// already. `free` becomes what is free then. Returns what is lost, in CPU seconds.
double Placement::stop_for_room(MachineRoom& room, const Job& job, int max_tasks, Resources& free) const {
    std::vector<Loss> losses;
    for (const auto& entry : room.machine->entries) {
        const auto& spec = entry->job->spec;
        if (entry->stop)
            free += spec.each;
        else if (entry->job->priority > job.priority && spec.shape == Shape::array)
            losses.push_back({loss_of(*entry), entry.get()});
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

// Room for at most so many tasks on one machine: what is free, else what stopping work of lower rank would make. Each
// CPU second lost counts as `loss_weight` seconds of delay.
Placement::MachineRoom Placement::room_on(const Machine& machine, const Job& job, int max_tasks,
                                          double loss_weight) const {
    MachineRoom room;
    room.machine = &machine;
    if (!may_have_room(machine, job))
        return room;
    auto free = machine.whole - machine.used;
    double lost = 0;
    room.tasks = count_fitting(job, free, max_tasks);
    room.ready = room.tasks > 0;
    if (!room.ready)
        lost = stop_for_room(room, job, max_tasks, free);
    if (room.tasks > 0)
        room.cost = placement_cost(cluster_, machine, job) + loss_weight * lost / room.tasks +
                    placement::fragmentation(free - job.spec.each, machine.whole, cluster_.common_shape);
    // Room that is being made stays the choice, or work would be stopped on ever more machines.
    if (machine.reserved_for == &job && cluster_.now < machine.reserved_until)
        room.cost -= chosen_already_s;
    return room;
}

// Stops what is in the way and keeps the room until the job is placed there.
void Placement::take_room(const MachineRoom& room, const Job& job) {
    for (const auto* entry : room.victims)
        proposals_.preempt(*entry);
    if (!room.victims.empty())
        proposals_.log(LogLine::Level::debug, fmt::format("job {} takes the place of {} tasks on {}", job.spec.id,
                                                          room.victims.size(), room.machine->id));
    keep_room(*room.machine, job, room.tasks, job.priority);
}

// Where work would have to be stopped for a task, at a cost below the limit, the cheapest first.
std::vector<Placement::MachineRoom> Placement::rooms_to_make(const Job& job, int max_tasks, double cost_limit) const {
    std::vector<MachineRoom> rooms;
    const PlacementCost cost_of(cluster_, job);
    for (const auto* machine : index_.machines()) {
        if (job.spec.each.fits(machine->whole - machine->used))
            continue; // nothing has to be stopped there
        if (machine->reserved_for != &job && cost_of(*machine) >= cost_limit)
            continue; // the place alone costs too much
        auto room = room_on(*machine, job, max_tasks, task_loss_weight);
        if (room.tasks > 0 && !room.victims.empty() && room.cost < cost_limit)
            rooms.push_back(std::move(room));
    }
    std::sort(rooms.begin(), rooms.end(),
              [](const MachineRoom& one, const MachineRoom& other) { return one.cost < other.cost; });
    return rooms;
}

// Stops work of lower rank where that costs least, below the limit for each task. Returns for how many tasks there
// will be room.
int Placement::make_room(const Job& job, double cost_limit) {
    int left = std::min(static_cast<int>(job.pending.size()), quota_left(job)), made = 0;
    for (const auto& room : rooms_to_make(job, left, cost_limit)) {
        if (left <= 0)
            break;
        // Each zone takes a part only of a job that is spread; which, the placement decides.
        if (job.spec.spread && made >= static_cast<int>(half_up(job.spec.tasks)))
            break;
        take_room(room, job);
        left -= room.tasks;
        made += room.tasks;
    }
    return made;
}

} // namespace heronshift::scheduling
