// The part of Placement that waits for running tasks to end. Where tasks end frequently, enough room becomes free
// without preemption, which would lose the work already done. The machines where room becomes free first are reserved
// for a job; otherwise smaller tasks would fill each gap before it is large enough.
#include "scheduling/placement.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace heronshift::scheduling {
namespace {

// Lower bound of the time that a running task has left, as a share of its expected run time. A task may run for longer
// than expected.
constexpr double min_remaining_share = 0.1;

// A task on a machine, and the time until it is expected to end.
struct EndingTask {
    double remaining_s;
    const Entry* entry;
};

// Orders by remaining time. Ties are broken by job and task: pointer values and the order in which heartbeats arrived
// differ between processes and must not affect decisions.
bool ends_before(const EndingTask& one, const EndingTask& other) {
    return std::tie(one.remaining_s, one.entry->job->spec.id, one.entry->index) <
           std::tie(other.remaining_s, other.entry->job->spec.id, other.entry->index);
}

} // namespace

// The remaining run time of a task in seconds, estimated from finished tasks of its job or else from the owner's
// estimate.
double Placement::remaining_run_s(const Entry& entry) const {
    const auto& job = *entry.job;
    if (entry.stop)
        return 0;
    if (job.spec.shape != Shape::array)
        return never_s;
    const double total = job.runs >= min_runs_for_estimate ? job.run_sum / job.runs : estimated_run_s(cluster_, job);
    const double ran = entry.running_at >= 0 ? cluster_.now - entry.running_at : 0;
    return std::max(total - ran, total * min_remaining_share);
}

// When the tasks on the machine at this position of the index are expected to end, the earliest first. Computed once
// per pass and again after each change of the machine.
const std::vector<Placement::FreedRoom>& Placement::freed_rooms_on(std::size_t position) {
    auto& freed_rooms = freed_rooms_[position];
    if (freed_rooms_valid_[position] != 0)
        return freed_rooms;
    freed_rooms_valid_[position] = 1;
    std::vector<EndingTask> tasks;
    for (const auto& entry : index_.machines()[position]->entries)
        tasks.push_back({remaining_run_s(*entry), entry.get()});
    std::sort(tasks.begin(), tasks.end(), ends_before);
    freed_rooms.clear();
    for (const auto& task : tasks)
        freed_rooms.push_back({task.remaining_s, task.entry->job->spec.each});
    return freed_rooms;
}

// Reserves room on a machine for tasks of a job until the machine's next heartbeat.
void Placement::reserve_room(const Machine& machine, const Job& job, int tasks, Priority against) {
    proposals_.reserve(machine, job, tasks, cluster_.now + settings_.report_s, against);
    room_changed(machine);
}

// All places for one task of the job that become free within `within_s` seconds, in ascending order of waiting time
// plus placement cost.
std::vector<Placement::UpcomingRoom> Placement::upcoming_rooms(const Job& job, double within_s) {
    std::vector<UpcomingRoom> rooms;
    const PlacementCost cost_of(cluster_, job);
    for (std::size_t position = 0; position < index_.machines().size(); ++position) {
        const auto* machine = index_.machines()[position];
        if (!may_have_room(*machine, job))
            continue;
        auto free = machine->total - machine->used;
        const double cost = cost_of(*machine);
        for (const auto& freed_room : freed_rooms_on(position)) {
            if (freed_room.remaining_s > within_s)
                break;
            free += freed_room.each;
            for (; job.spec.each.fits(free); free -= job.spec.each)
                rooms.push_back({freed_room.remaining_s + cost, machine});
        }
    }
    std::stable_sort(rooms.begin(), rooms.end(),
                     [](const UpcomingRoom& one, const UpcomingRoom& other) { return one.at < other.at; });
    return rooms;
}

// Reserves the machines where room for up to `max_tasks` tasks of the job becomes free first, within `within_s`
// seconds. The reservation holds against jobs of priority `against` and below.
void Placement::await_room(const Job& job, int max_tasks, double within_s, Priority against) {
    const auto wanted =
        static_cast<std::size_t>(std::min({max_tasks, static_cast<int>(job.pending.size()), quota_left(job)}));
    if (wanted == 0)
        return;
    if (wanted == 1)
        return await_one_room(job, within_s, against);
    auto rooms = upcoming_rooms(job, within_s);
    if (rooms.size() > wanted)
        rooms.resize(wanted);
    std::map<const Machine*, int> tasks;
    for (const auto& room : rooms)
        ++tasks[room.machine];
    for (const auto& [machine, count] : tasks)
        reserve_room(*machine, job, count, against);
}

// The number of seconds until there is room for one task of the job on the machine at this position of the index. Empty
// if there is none within `within_s` or before `before_s`, the time already found on another machine.
std::optional<double> Placement::room_after_s(const Job& job, std::size_t position, double within_s, double before_s) {
    const auto& machine = *index_.machines()[position];
    auto free = machine.total - machine.used;
    for (const auto& freed_room : freed_rooms_on(position)) {
        if (freed_room.remaining_s > within_s || freed_room.remaining_s >= before_s)
            break;
        free += freed_room.each;
        if (job.spec.each.fits(free))
            return freed_room.remaining_s;
    }
    return std::nullopt;
}

// The equivalent of await_room() for one task. It skips a machine at once if none of its tasks ends before `best_at`.
void Placement::await_one_room(const Job& job, double within_s, Priority against) {
    const Machine* best = nullptr;
    double best_at = std::numeric_limits<double>::infinity(); // also above never_s
    const PlacementCost cost_of(cluster_, job);
    for (std::size_t position = 0; position < index_.machines().size(); ++position) {
        const auto& freed_rooms = freed_rooms_on(position);
        if (freed_rooms.empty() || freed_rooms.front().remaining_s >= best_at)
            continue;
        const auto* machine = index_.machines()[position];
        if (!may_have_room(*machine, job))
            continue;
        const auto after_s = room_after_s(job, position, within_s, best_at);
        if (!after_s)
            continue;
        const double at = *after_s + cost_of(*machine);
        if (at < best_at) {
            best_at = at;
            best = machine;
        }
    }
    if (best != nullptr)
        reserve_room(*best, job, 1, against);
}

} // namespace heronshift::scheduling
