// The part of Placement that stops tasks on machines that the cloud reclaims or that are slow.
#include "scheduling/placement.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace heronshift::scheduling {
namespace {

// Remaining run time of a task for which no estimate is known: too long for it to end before the machine is reclaimed.
constexpr double unknown_remaining_s = 1e9;
// A task that should end within this share of the time until the machine is reclaimed is left running.
constexpr double safe_end_share = 0.5;
constexpr double checks_per_interval = 3; // searches within a heartbeat interval
// A run time of more than this multiple of the longest run of the same job's tasks is too long.
constexpr double too_long_factor = 1.5;
// The same if most tasks of the job are done, which makes the longest run more reliable.
constexpr double too_long_factor_if_most_done = 1.2;
// Most tasks are done once this many times as many have ended as are still running.
constexpr double most_done_ratio = 4;
// A single task proves that a machine is slow if its run time exceeds the limit by this factor.
constexpr double single_task_factor = 1.3;
constexpr int min_slow_tasks = 2; // this many tasks with run times that are too long prove that the machine is slow
// If more than this share of all machines seem slow, the cause is not the individual machine, and no more are marked.
constexpr double max_slow_share = 0.15;
constexpr double slow_leases = 2; // for how many leases a machine is marked as slow; doubled each time
constexpr int max_doublings = 4;
// A task on a slow machine is left running if it has run for more than this multiple of the longest run of the same
// job's tasks, or of its estimate if too few have ended.
constexpr double long_run_factor = 2;
constexpr double slow_save_factor = 4; // on a slow machine, saving progress may take this many times as long as usual

bool may_be_on_machine(const Entry& entry) {
    return !entry.stop && entry.phase >= Phase::sent;
}

// Whether the task will end by itself well within `left_s` seconds. False for tasks that save their progress, since
// they are stopped in order to save it.
bool ends_in_time(const ClusterData& cluster, const Entry& entry, double left_s) {
    const auto& spec = entry.job->spec;
    const bool known = spec.estimate_s > 0 && entry.running_at >= 0;
    const double remaining = known ? spec.estimate_s - (cluster.now - entry.running_at) : unknown_remaining_s;
    return spec.checkpoint_s <= 0 && remaining > 0 && remaining < left_s * safe_end_share;
}

} // namespace

// On machines that the cloud reclaims, tasks that save their progress are told to do so, and tasks that cannot end in
// time are stopped so that they start elsewhere at once.
void Placement::stop_on_reclaimed_machines() {
    for (const auto& [id, machine] : cluster_.machines) {
        if (!machine->draining)
            continue;
        const double left = machine->reclaim_at - cluster_.now;
        for (const auto& entry : machine->entries)
            if (may_be_on_machine(*entry) && !ends_in_time(cluster_, *entry, left))
                proposals_.stop(*entry, drain_time_s(entry->job->spec));
    }
}

void Placement::check_slow_machines() {
    if (cluster_.now < next_slow_check_)
        return;
    next_slow_check_ = cluster_.now + settings_.report_s / checks_per_interval;
    for (const auto& [id, machine] : cluster_.machines) {
        if (!counts_as_capacity(cluster_, *machine) || cluster_.now < machine->slow_until)
            continue;
        const auto* task = find_slow_task(*machine);
        if (task == nullptr)
            continue;
        proposals_.count_slow_detection(*task);
        mark_slow(*machine);
    }
}

// Whether the task's run time can be compared with that of other tasks of its job. Enough of them must have ended, and
// at least as many as are still running: the larger their share, the more reliable the longest run is.
bool Placement::is_comparable(const Entry& entry) const {
    const auto& job = *entry.job;
    return entry.phase == Phase::running && !entry.stop && job.spec.shape == Shape::array &&
           job.runs >= min_runs_for_estimate && job.runs >= job.running;
}

// The run time above which the task counts as too long. A task that took too long on other machines as well is long by
// itself: each time a machine was marked as slow because of it, the limit grows fourfold. Otherwise the last long task
// of a job would be restarted forever.
double Placement::run_limit_s(const Entry& entry) const {
    const auto& job = *entry.job;
    const double factor = job.runs < most_done_ratio * job.running ? too_long_factor : too_long_factor_if_most_done;
    const int slow_detections = job.tasks[entry.index].slow_detections;
    return factor * job.longest_run * (1 << (2 * slow_detections)) + settings_.report_s / 3;
}

// The task that proves that the machine is slow, or null. A single task may take longer than even the longest of
// thousands of others without the machine being the cause. So two such tasks are needed, or one that exceeds the limit
// by far.
const Entry* Placement::find_slow_task(const Machine& machine) const {
    int too_long_tasks = 0;
    for (const auto& entry : machine.entries) {
        if (!is_comparable(*entry))
            continue;
        const double limit = run_limit_s(*entry);
        const double ran = cluster_.now - entry->running_at;
        if (ran < limit)
            continue;
        ++too_long_tasks;
        if (too_long_tasks >= min_slow_tasks || ran >= single_task_factor * limit)
            return entry.get();
    }
    return nullptr;
}

bool Placement::are_too_many_slow() const {
    const auto slow = std::count_if(cluster_.machines.begin(), cluster_.machines.end(),
                                    [this](const auto& entry) { return cluster_.now < entry.second->slow_until; });
    return static_cast<double>(slow) > max_slow_share * static_cast<double>(cluster_.machines.size());
}

bool Placement::has_run_long(const Entry& entry) const {
    const auto& job = *entry.job;
    const double whole = job.runs >= min_runs_for_estimate ? job.longest_run : estimated_run_s(cluster_, job);
    const double ran = entry.phase == Phase::running ? cluster_.now - entry.running_at : 0;
    return ran > long_run_factor * whole;
}

// Marks a machine as slow. For some time, which doubles with each mark, it gets only replicas. Array tasks on it start
// again elsewhere unless they have already run for long.
void Placement::mark_slow(const Machine& machine) {
    if (cluster_.now < machine.slow_until || are_too_many_slow())
        return;
    const int times = 1 << std::min(machine.slow_count, max_doublings);
    proposals_.slow(machine, cluster_.now + slow_leases * settings_.lease_s * times);
    proposals_.log(LogLine::Level::info, fmt::format("machine {} is slow", machine.id));
    for (const auto& entry : machine.entries)
        if (may_be_on_machine(*entry) && entry->job->spec.shape == Shape::array && !has_run_long(*entry))
            proposals_.stop(*entry, drain_time_s(entry->job->spec, slow_save_factor));
}

} // namespace heronshift::scheduling
