#include "array_demand.hpp"

#include <algorithm>
#include <cmath>

namespace heronshift::scheduling {
namespace {

// Share of the time left until an array is due that its work may take. Run time estimates are often wrong by half.
constexpr double usable_window_share = 0.4;
// Time that an array without any due time may take, as a multiple of the run time of its tasks.
constexpr double default_window_runs = 10;
// The window of an array that is already late. It is above zero because the work is divided by it.
constexpr double min_window_s = 1e-3;
// Share of its run time that a running task has left on average.
constexpr double mean_remaining_share = 0.5;
// No more arrays are expected after none has arrived for this many times the average gap between two arrays.
constexpr double max_idle_gaps = 8;
// Number of observed gaps between arrays from which on the average gap is relied on.
constexpr double min_observed_gaps = 20;

// The work that one array has left, and the time in which it has to be done.
struct ArrayWork {
    double window_s; // time in which the work has to be done
    double cpu_s;    // remaining work, in CPU seconds
    double max_cpus; // CPUs in use if all remaining tasks run at once
    bool may_use_spot;
};

// The time in seconds that is available for the work of an array whose tasks run for `run_s` each.
double window_s(const ClusterData& cluster, const Job& job, double run_s) {
    const double due = cluster.due_at(job);
    double window = due < 0 ? default_window_runs * run_s : (due - cluster.now - run_s) * usable_window_share;
    if (job.guaranteed)
        for (const auto& objective : cluster.settings.objectives)
            if (objective.kind == "guarantee")
                window = std::min(window, job.ready + objective.within_s - cluster.now);
    return std::max(window, min_window_s);
}

ArrayWork array_work(const ClusterData& cluster, const Job& job) {
    const double cpus = cluster.cpu_demand(job), run = estimated_run_s(cluster, job);
    const double waiting = static_cast<double>(job.pending.size());
    return {window_s(cluster, job, run), cpus * run * (waiting + mean_remaining_share * job.live),
            cpus * (waiting + job.live), job.spec.spot};
}

// The remaining work of all arrays that are ready to run, in ascending order of `window_s`.
std::vector<ArrayWork> work_by_window(const ClusterData& cluster) {
    std::vector<ArrayWork> list;
    for (const auto& [id, job] : cluster.jobs)
        if (job->spec.shape == Shape::array && job->final == FinalState::none && !job->waits)
            list.push_back(array_work(cluster, *job));
    std::sort(list.begin(), list.end(),
              [](const ArrayWork& one, const ArrayWork& other) { return one.window_s < other.window_s; });
    return list;
}

double needed_cpus(const std::vector<ArrayWork>& list, bool on_demand_only) {
    double needed = 0, cpu_s = 0, max_cpus = 0;
    for (const auto& work : list) {
        if (on_demand_only && work.may_use_spot)
            continue;
        cpu_s += work.cpu_s;
        max_cpus += work.max_cpus;
        needed = std::max(needed, std::min(max_cpus, cpu_s / work.window_s));
    }
    return needed;
}

// Whether arrays arrived regularly and none has arrived for much longer than the average gap between them. Without this
// check the fleet would stay idle for minutes at the end of a day.
bool arrays_have_stopped(const ClusterData& cluster) {
    const auto& learned = cluster.learned;
    const double last = std::max(learned.offered_at, cluster.store_late_at);
    return learned.gap_count >= min_observed_gaps &&
           cluster.now - last > max_idle_gaps * learned.mean_gap_s + cluster.settings.report_s;
}

} // namespace

CpuAmount array_cpu_demand(const ClusterData& cluster) {
    const auto list = work_by_window(cluster);
    return {needed_cpus(list, false), needed_cpus(list, true)};
}

CpuAmount offered_load(const ClusterData& cluster) {
    if (arrays_have_stopped(cluster))
        return {};
    const auto& learned = cluster.learned;
    const double decay = std::exp(-(cluster.now - learned.offered_at) / cluster.averaging_period_s());
    const double left = learned.bias() * decay;
    return {learned.offered * left, learned.offered_on_demand * left};
}

} // namespace heronshift::scheduling
