#include "array_demand.hpp"

#include <algorithm>
#include <cmath>

namespace heronshift::scheduling {
namespace {

constexpr double usable_window = 0.4;     // of the time an array has left, since estimates are often wrong by half
constexpr double window_without_due = 10; // times its run: what an array without any aim gets
constexpr double min_window_s = 1e-3;     // of what is late already, so that work can be divided by it
constexpr double half_done = 0.5;         // of its run, what a task that runs has left on average
constexpr double quiet_gaps = 8;          // after so many times the usual time between arrays, no more are expected
constexpr double min_known_gaps = 20;     // the usual time between arrays is known from so many

// What one array needs until it is due.
struct DueWork {
    double window_s; // time left for it
    double cpu_s;    // work left
    double max_cpus; // what all its tasks use at once
    bool may_use_spot;
};

// How long the work of an array may take, the work itself being what `run_s` says of each task.
double window_s(const ClusterData& cluster, const Job& job, double run_s) {
    const double due = cluster.due_at(job);
    double window = due < 0 ? window_without_due * run_s : (due - cluster.now - run_s) * usable_window;
    if (job.guaranteed)
        for (const auto& objective : cluster.settings.objectives)
            if (objective.kind == "guarantee")
                window = std::min(window, job.ready + objective.within_s - cluster.now);
    return std::max(window, min_window_s);
}

DueWork due_work(const ClusterData& cluster, const Job& job) {
    const double cpus = job.spec.each.cpus, run = estimated_run_s(cluster, job);
    const double waiting = static_cast<double>(job.pending.size());
    return {window_s(cluster, job, run), cpus * run * (waiting + half_done * job.live), cpus * (waiting + job.live),
            job.spec.spot};
}

// The work of all arrays, what is due first at the front.
std::vector<DueWork> work_by_window(const ClusterData& cluster) {
    std::vector<DueWork> list;
    for (const auto& [id, job] : cluster.jobs)
        if (job->spec.shape == Shape::array && job->final == Final::none && !job->waits)
            list.push_back(due_work(cluster, *job));
    std::sort(list.begin(), list.end(),
              [](const DueWork& one, const DueWork& other) { return one.window_s < other.window_s; });
    return list;
}

double needed_cpus(const std::vector<DueWork>& list, bool ordinary_only) {
    double needed = 0, cpu_s = 0, max_cpus = 0;
    for (const auto& work : list) {
        if (ordinary_only && work.may_use_spot)
            continue;
        cpu_s += work.cpu_s;
        max_cpus += work.max_cpus;
        needed = std::max(needed, std::min(max_cpus, cpu_s / work.window_s));
    }
    return needed;
}

// Where arrays came all the time and none has come for many times as long as between two, no more are expected for a
// while. Without this the fleet would stand idle for minutes at the end of a day.
bool arrays_have_stopped(const ClusterData& cluster) {
    const auto& learned = cluster.learned;
    const double last = std::max(learned.offered_at, cluster.unserved_at);
    return learned.gaps >= min_known_gaps &&
           cluster.now - last > quiet_gaps * learned.gap_s + cluster.settings.report_s;
}

} // namespace

CpuAmount array_need(const ClusterData& cluster) {
    const auto list = work_by_window(cluster);
    return {needed_cpus(list, false), needed_cpus(list, true)};
}

CpuAmount offered_load(const ClusterData& cluster) {
    if (arrays_have_stopped(cluster))
        return {};
    const auto& learned = cluster.learned;
    const double decay = std::exp(-(cluster.now - learned.offered_at) / cluster.average_s());
    const double left = learned.bias() * decay;
    return {learned.offered * left, learned.offered_ordinary * left};
}

} // namespace heronshift::scheduling
