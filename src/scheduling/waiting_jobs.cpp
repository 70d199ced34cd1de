#include "waiting_jobs.hpp"

#include <algorithm>

namespace heronshift::scheduling {
namespace {

// Share of the objective for the first start for which a task may wait.
constexpr double objective_wait_share = 0.5;
// Share of the job's slack for which a task may wait. The slack is the time until the job is due minus its run time.
constexpr double slack_wait_share = 0.25;
// A job that has waited for more than this multiple of the time within which each job should begin (`ops.begin_s`) is
// ordered by its age.
constexpr double overdue_factor = 2;

// A waiting job and its rank among jobs of the same priority; lower values go first. The job with the least work left
// goes first, which completes the most jobs in time. Large jobs still begin in time (Placement::start_late_jobs),
// and jobs that have waited for twice that time go before the others, the oldest first.
struct WaitingJob {
    const Job* job;
    double sort_key;
};

double sort_key_of(const ClusterData& cluster, const Job& job) {
    const double waited = cluster.now - job.ready;
    const bool overdue = waited > overdue_factor * cluster.settings.ops.begin_s;
    return overdue ? -waited : cluster.remaining_work_cpu_s(job);
}

bool is_more_urgent(const WaitingJob& one, const WaitingJob& other) {
    const auto &a = *one.job, &b = *other.job;
    // Jobs that can preempt others go first. Otherwise they would preempt the jobs placed before them and lose the room
    // that these took.
    if (a.priority != b.priority)
        return a.priority < b.priority;
    if (a.guaranteed != b.guaranteed)
        return a.guaranteed;
    if (one.sort_key != other.sort_key)
        return one.sort_key < other.sort_key;
    if (a.ready != b.ready)
        return a.ready < b.ready;
    return a.spec.id < b.spec.id;
}

} // namespace

std::vector<const Job*> waiting_jobs(const ClusterData& cluster, Resources& shape) {
    std::vector<WaitingJob> waiting;
    std::size_t max_tasks = 0;
    for (const auto& [id, job] : cluster.jobs) {
        if (job->final != FinalState::none || job->pending.empty() || cluster.now < job->not_before)
            continue;
        waiting.push_back({job.get(), sort_key_of(cluster, *job)});
        if (job->pending.size() > max_tasks) {
            max_tasks = job->pending.size();
            shape = job->spec.each;
        }
    }
    std::sort(waiting.begin(), waiting.end(), is_more_urgent);
    std::vector<const Job*> jobs;
    jobs.reserve(waiting.size());
    for (const auto& entry : waiting)
        jobs.push_back(entry.job);
    return jobs;
}

double max_wait_s(const ClusterData& cluster, const Job& job) {
    double max_wait = never_s;
    for (const auto& objective : cluster.settings.objectives)
        if (objective.kind == "wait" && objective.job_class == job.spec.job_class)
            max_wait = std::min(max_wait, objective.within_s * objective_wait_share);
    const double due = cluster.due_at(job);
    if (due >= 0)
        max_wait = std::min(max_wait, (due - job.ready - estimated_run_s(cluster, job)) * slack_wait_share);
    return max_wait < never_s ? std::max(max_wait, 0.0) : cluster.settings.report_s;
}

} // namespace heronshift::scheduling
