#include "waiting_jobs.hpp"

#include <algorithm>

namespace heronshift::scheduling {
namespace {

// Share of the objective for the first start for which a task may wait.
constexpr double patience_of_aim = 0.5;
// Share of the job's slack for which a task may wait. The slack is the time until the job is due minus its run time.
constexpr double patience_of_slack = 0.25;
// A job that has waited for more than this multiple of the time within which each job should begin (`ops.begin_s`) is
// ordered by its age.
constexpr double aged_begins = 2;

// A waiting job and its rank among jobs of the same priority; lower values go first. The job with the least work left
// goes first, which completes the most jobs in time. Large jobs still begin in time (Placement::begin_waiting),
// and jobs that have waited for twice that time go before the others, the oldest first.
struct WaitingJob {
    const Job* job;
    double urgency;
};

double urgency_of(const ClusterData& cluster, const Job& job) {
    const double waited = cluster.now - job.ready;
    const bool aged = waited > aged_begins * cluster.settings.ops.begin_s;
    return aged ? -waited : cluster.work_left(job);
}

bool goes_before(const WaitingJob& one, const WaitingJob& other) {
    const auto &a = *one.job, &b = *other.job;
    // Jobs that can preempt others go first. Otherwise they would preempt the jobs placed before them and lose the room
    // that these took.
    if (a.priority != b.priority)
        return a.priority < b.priority;
    if (a.guaranteed != b.guaranteed)
        return a.guaranteed;
    if (one.urgency != other.urgency)
        return one.urgency < other.urgency;
    if (a.ready != b.ready)
        return a.ready < b.ready;
    return a.spec.id < b.spec.id;
}

} // namespace

std::vector<const Job*> waiting_jobs(const ClusterData& cluster, Resources& shape) {
    std::vector<WaitingJob> waiting;
    std::size_t max_tasks = 0;
    for (const auto& [id, job] : cluster.jobs) {
        if (job->final != Final::none || job->pending.empty() || cluster.now < job->not_before)
            continue;
        waiting.push_back({job.get(), urgency_of(cluster, *job)});
        if (job->pending.size() > max_tasks) {
            max_tasks = job->pending.size();
            shape = job->spec.each;
        }
    }
    std::sort(waiting.begin(), waiting.end(), goes_before);
    std::vector<const Job*> jobs;
    jobs.reserve(waiting.size());
    for (const auto& entry : waiting)
        jobs.push_back(entry.job);
    return jobs;
}

double patience_s(const ClusterData& cluster, const Job& job) {
    double patience = never_s;
    for (const auto& objective : cluster.settings.objectives)
        if (objective.kind == "wait" && objective.job_class == job.spec.job_class)
            patience = std::min(patience, objective.within_s * patience_of_aim);
    const double due = cluster.due_at(job);
    if (due >= 0)
        patience = std::min(patience, (due - job.ready - estimated_run_s(cluster, job)) * patience_of_slack);
    return patience < never_s ? std::max(patience, 0.0) : cluster.settings.report_s;
}

} // namespace heronshift::scheduling
