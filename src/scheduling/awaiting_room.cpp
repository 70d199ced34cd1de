// Placement's part that waits for room. Where tasks end all the time, room comes by itself: the machines where it comes
// first are kept for a job, or smaller tasks would fill each hole before it is large enough. Stopping work instead
// would lose what it has done.
#include "scheduling/placement.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace heronshift::scheduling {
namespace {

constexpr double min_rest = 0.1; // of a task's time, as long as it runs: it may be longer than others

// A task, and how long it will go on.
struct EndingTask {
    double rest_s;
    const Entry* entry;
};

// The soonest first. Neither addresses nor the order in which reports came may decide: processes differ in both.
bool ends_before(const EndingTask& one, const EndingTask& other) {
    return std::tie(one.rest_s, one.entry->job->spec.id, one.entry->index) <
           std::tie(other.rest_s, other.entry->job->spec.id, other.entry->index);
}

} // namespace

// How many seconds a task will go on, as far as its siblings or its owner tell.
double Placement::rest_of(const Entry& entry) const {
    const auto& job = *entry.job;
    if (entry.stop)
        return 0;
    if (job.spec.shape != Shape::array)
        return never_s;
    const double whole = job.runs >= min_known_runs ? job.run_sum / job.runs : estimated_run_s(cluster_, job);
    const double ran = entry.running_at >= 0 ? cluster_.now - entry.running_at : 0;
    return std::max(whole - ran, whole * min_rest);
}

// When the tasks of the machine at that position of the index end, the soonest first. Computed once a pass and after
// each change of the machine.
const std::vector<Placement::Release>& Placement::releases_on(std::size_t position) {
    auto& releases = releases_[position];
    if (releases_known_[position] != 0)
        return releases;
    releases_known_[position] = 1;
    std::vector<EndingTask> tasks;
    for (const auto& entry : index_.machines()[position]->entries)
        tasks.push_back({rest_of(*entry), entry.get()});
    std::sort(tasks.begin(), tasks.end(), ends_before);
    releases.clear();
    for (const auto& task : tasks)
        releases.push_back({task.rest_s, task.entry->job->spec.each});
    return releases;
}

// Keeps room on a machine for a job until the machine has reported again.
void Placement::keep_room(const Machine& machine, const Job& job, int tasks, Priority against) {
    proposals_.reserve(machine, job, tasks, cluster_.now + settings_.report_s, against);
    room_changed(machine);
}

// All rooms for a task of the job that come within some time, the best first.
std::vector<Placement::UpcomingRoom> Placement::upcoming_rooms(const Job& job, double within_s) {
    std::vector<UpcomingRoom> rooms;
    const PlacementCost cost_of(cluster_, job);
    for (std::size_t position = 0; position < index_.machines().size(); ++position) {
        const auto* machine = index_.machines()[position];
        if (!may_have_room(*machine, job))
            continue;
        auto free = machine->whole - machine->used;
        const double cost = cost_of(*machine);
        for (const auto& release : releases_on(position)) {
            if (release.rest_s > within_s)
                break;
            free += release.each;
            for (; job.spec.each.fits(free); free -= job.spec.each)
                rooms.push_back({release.rest_s + cost, machine});
        }
    }
    std::stable_sort(rooms.begin(), rooms.end(),
                     [](const UpcomingRoom& one, const UpcomingRoom& other) { return one.at < other.at; });
    return rooms;
}

// Keeps the machines where room comes first, within some seconds, for at most so many tasks of the job, against work of
// the given priority and below.
void Placement::await_room(const Job& job, int max_tasks, double within_s, Priority against) {
    const auto wanted =
        static_cast<std::size_t>(std::min({max_tasks, static_cast<int>(job.pending.size()), quota_left(job)}));
    if (wanted == 0)
        return;
    if (wanted == 1)
        return await_first(job, within_s, against);
    auto rooms = upcoming_rooms(job, within_s);
    if (rooms.size() > wanted)
        rooms.resize(wanted);
    std::map<const Machine*, int> tasks;
    for (const auto& room : rooms)
        ++tasks[room.machine];
    for (const auto& [machine, count] : tasks)
        keep_room(*machine, job, count, against);
}

// In how many seconds there is room for one task of the job on the machine at that position; none if not within the
// time or not before a moment that is known already.
std::optional<double> Placement::room_after_s(const Job& job, std::size_t position, double within_s, double before_s) {
    const auto& machine = *index_.machines()[position];
    auto free = machine.whole - machine.used;
    for (const auto& release : releases_on(position)) {
        if (release.rest_s > within_s || release.rest_s >= before_s)
            break;
        free += release.each;
        if (job.spec.each.fits(free))
            return release.rest_s;
    }
    return std::nullopt;
}

// await_room() for one task: machines where nothing ends before the best so far are passed over at once.
void Placement::await_first(const Job& job, double within_s, Priority against) {
    const Machine* best = nullptr;
    double best_at = std::numeric_limits<double>::infinity(); // beyond never_s as well
    const PlacementCost cost_of(cluster_, job);
    for (std::size_t position = 0; position < index_.machines().size(); ++position) {
        const auto& releases = releases_on(position);
        if (releases.empty() || releases.front().rest_s >= best_at)
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
        keep_room(*best, job, 1, against);
}

} // namespace heronshift::scheduling
