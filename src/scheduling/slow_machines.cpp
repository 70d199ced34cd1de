// Placement's part that takes work off machines: those that are taken back and those that are slow.
#include "scheduling/placement.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace heronshift::scheduling {
namespace {

constexpr double unknown_rest_s = 1e9;        // of a task of which nothing says when it ends: it ends in time nowhere
constexpr double sure_to_end = 0.5;           // of the time until the machine goes: a task that ends within it may stay
constexpr double looks_an_interval = 3;       // how often slow machines are looked for in one interval of heartbeats
constexpr double too_long = 1.5;              // times the longest run of its siblings
constexpr double too_long_if_most_done = 1.2; // the same once most tasks of the job are done, which says more
constexpr double most_done = 4;               // times as many have ended as still run
constexpr double sure_of_one = 1.3;           // times too long: then one task is enough to tell
constexpr int enough_tasks = 2;               // that are too long tell that it is the machine
constexpr double max_slow = 0.15;             // of all machines: if more seem slow, the reason is another
constexpr double slow_leases = 2;             // for which a machine is taken for slow, doubled each time
constexpr int max_doublings = 4;
constexpr double nearly_done = 2; // times the longest run of its siblings: the task is left to end
constexpr double slow_saves = 4;  // times what saving takes elsewhere

bool is_placed_there(const Entry& entry) {
    return !entry.stop && entry.phase >= Phase::sent;
}

// Whether the task surely ends by itself within the time, and saves nothing on the way.
bool ends_in_time(const ClusterData& cluster, const Entry& entry, double left_s) {
    const auto& spec = entry.job->spec;
    const bool known = spec.estimate_s > 0 && entry.running_at >= 0;
    const double rest = known ? spec.estimate_s - (cluster.now - entry.running_at) : unknown_rest_s;
    return spec.checkpoint_s <= 0 && rest > 0 && rest < left_s * sure_to_end;
}

} // namespace

// On a machine that is taken back, what saves its progress is told to, and what cannot end in time is stopped so that
// it starts elsewhere at once.
void Placement::drain_noticed() {
    for (const auto& [id, machine] : cluster_.machines) {
        if (!machine->draining)
            continue;
        const double left = machine->notice_until - cluster_.now;
        for (const auto& entry : machine->entries)
            if (is_placed_there(*entry) && !ends_in_time(cluster_, *entry, left))
                proposals_.stop(*entry, drain_time_s(entry->job->spec));
    }
}

void Placement::find_slow() {
    if (cluster_.now < next_slow_)
        return;
    next_slow_ = cluster_.now + settings_.report_s / looks_an_interval;
    for (const auto& [id, machine] : cluster_.machines) {
        if (!serves(cluster_, *machine) || cluster_.now < machine->slow_until)
            continue;
        const auto* task = proof_of_slowness(*machine);
        if (task == nullptr)
            continue;
        proposals_.blame(*task);
        mark_slow(*machine);
    }
}

// Whether the time that a task has run can be compared: siblings enough have ended. The more of those that have started
// are through, the more the longest of them says.
bool Placement::tells_speed(const Entry& entry) const {
    const auto& job = *entry.job;
    return entry.phase == Phase::running && !entry.stop && job.spec.shape == Shape::array &&
           job.runs >= min_known_runs && job.runs >= job.running;
}

// A task that was too long on other machines too is long by itself. Each time a machine was blamed for it the limit
// grows fourfold, or the last long task of a job would be restarted for ever.
double Placement::longest_plausible_run_s(const Entry& entry) const {
    const auto& job = *entry.job;
    const double factor = job.runs < most_done * job.running ? too_long : too_long_if_most_done;
    const int blamed = job.tasks[entry.index].blamed;
    return factor * job.longest_run * (1 << (2 * blamed)) + settings_.report_s / 3;
}

// The task that proves a machine slow, or none. One task may be longer than its siblings by itself, even than the
// longest of thousands: two are the machine's doing, or one that goes on and on.
const Entry* Placement::proof_of_slowness(const Machine& machine) const {
    int too_long_tasks = 0;
    for (const auto& entry : machine.entries) {
        if (!tells_speed(*entry))
            continue;
        const double limit = longest_plausible_run_s(*entry);
        const double ran = cluster_.now - entry->running_at;
        if (ran < limit)
            continue;
        ++too_long_tasks;
        if (too_long_tasks >= enough_tasks || ran >= sure_of_one * limit)
            return entry.get();
    }
    return nullptr;
}

bool Placement::are_too_many_slow() const {
    const auto slow = std::count_if(cluster_.machines.begin(), cluster_.machines.end(),
                                    [this](const auto& entry) { return cluster_.now < entry.second->slow_until; });
    return static_cast<double>(slow) > max_slow * static_cast<double>(cluster_.machines.size());
}

bool Placement::is_nearly_done(const Entry& entry) const {
    const auto& job = *entry.job;
    const double whole = job.runs >= min_known_runs ? job.longest_run : estimated_run_s(cluster_, job);
    const double ran = entry.phase == Phase::running ? cluster_.now - entry.running_at : 0;
    return ran > nearly_done * whole;
}

// A machine that is slow takes no work that has a speed for a while, longer each time; what has not run for long there
// starts again elsewhere.
void Placement::mark_slow(const Machine& machine) {
    if (cluster_.now < machine.slow_until || are_too_many_slow())
        return;
    const int times = 1 << std::min(machine.slow_seen, max_doublings);
    proposals_.slow(machine, cluster_.now + slow_leases * settings_.lease_s * times);
    proposals_.log(LogLine::Level::info, fmt::format("machine {} is slow", machine.id));
    for (const auto& entry : machine.entries)
        if (is_placed_there(*entry) && entry->job->spec.shape == Shape::array && !is_nearly_done(*entry))
            proposals_.stop(*entry, drain_time_s(entry->job->spec, slow_saves));
}

} // namespace heronshift::scheduling
