// Placement's part that takes work off machines: those that are taken back and those that are slow.
#include "heronshift/scheduling/placement.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace heronshift::scheduling {
namespace {

constexpr double too_long = 1.5;                               // of its longest run
constexpr double long_if_most_through = 1.2, most_through = 4; // times as many as still run
constexpr double sure_of_one = 1.3;
constexpr double max_slow = 0.15; // of all machines: beyond, it is something else

} // namespace

// A machine that is taken back: what saves is told to save, what cannot end in time is stopped
// so that it starts elsewhere at once.
void Placement::drain_noticed() {
    for (const auto& [id, machine] : cluster_.machines) {
        if (!machine->draining || machine->entries.empty())
            continue;
        for (auto& owned : machine->entries) {
            auto& entry = *owned;
            const auto& spec = entry.job->spec;
            if (entry.stop || entry.phase < Phase::sent)
                continue;
            const double left = machine->notice_until - cluster_.now;
            const double rest = spec.estimate_s > 0 && entry.running_at >= 0
                                    ? spec.estimate_s - (cluster_.now - entry.running_at)
                                    : 1e9;
            if (spec.checkpoint_s <= 0 && rest > 0 && rest < left / 2)
                continue;
            proposals_.stop(entry, spec.checkpoint_s > 0 ? spec.save_s + 1 : 0);
        }
    }
}

void Placement::find_slow() {
    if (cluster_.now < next_slow_)
        return;
    next_slow_ = cluster_.now + settings_.report_s / 3;
    for (const auto& [id, machine] : cluster_.machines) {
        if (!serves(cluster_, *machine) || cluster_.now < machine->slow_until)
            continue;
        int over = 0;
        for (const auto& entry : machine->entries) {
            const auto& job = *entry->job;
            if (entry->phase != Phase::running || entry->stop || job.spec.shape != Shape::array)
                continue;
            // The more of those that have started are through, the more the longest of them says.
            if (job.runs < few_runs || job.runs < job.running)
                continue;
            const double much = job.runs < most_through * job.running ? too_long : long_if_most_through;
            // Where it is as slow elsewhere, the task is long, not the machine: from a day on which the last
            // task of an import was restarted every 35 s for ever, and its pipeline with it.
            const int blamed = entry->job->tasks[entry->index].blamed;
            const double limit = much * job.longest_run * (1 << (2 * blamed)) + settings_.report_s / 3;
            const double ran = cluster_.now - entry->running_at;
            // One task may be longer than its siblings by itself, even the longest of thousands: two are the
            // machine's doing, or one that goes on and on. From quiet days on which each hour 70 machines were
            // taken for slow and the last task of a job, nearly through, began anew.
            if (ran < limit || (++over < 2 && ran < sure_of_one * limit))
                continue;
            proposals_.blame(*entry);
            mark_slow(*machine);
            break;
        }
    }
}

// A machine that is slow takes no work that has a speed for a while, longer each time; what has not
// run for long there starts again elsewhere.
void Placement::mark_slow(const Machine& machine) {
    if (cluster_.now < machine.slow_until)
        return;
    const auto slow = std::count_if(cluster_.machines.begin(), cluster_.machines.end(),
                                    [this](const auto& x) { return cluster_.now < x.second->slow_until; });
    if (static_cast<double>(slow) > max_slow * static_cast<double>(cluster_.machines.size()))
        return; // it is not them
    proposals_.slow(machine, cluster_.now + 2 * settings_.lease_s * (1 << std::min(machine.slow_seen, 4)));
    proposals_.log(LogLine::Level::info, fmt::format("machine {} is slow", machine.id));
    for (const auto& entry : machine.entries) {
        const auto& job = *entry->job;
        if (entry->stop || job.spec.shape != Shape::array || entry->phase < Phase::sent)
            continue;
        const double whole =
            job.runs >= few_runs ? job.longest_run : std::max(1.0, job.spec.estimate_s) * cluster_.learned.bias();
        const double ran = entry->phase == Phase::running ? cluster_.now - entry->running_at : 0;
        if (ran > 2 * whole)
            continue; // nearly through all the same
        proposals_.stop(*entry, job.spec.checkpoint_s > 0 ? 4 * job.spec.save_s + 1 : 0);
    }
}

} // namespace heronshift::scheduling
