// Jobs from their submission until they are removed: cancellation, completion, and the averages that are derived from
// them.
#include "cluster/cluster_state.hpp"
#include "cluster/gone_proof.hpp"

#include "memory_share.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace heronshift::cluster {
namespace {

// Maximum number of intervals between array jobs that their running mean is based on.
constexpr double max_gap_count = 50;
// Factor by which the sums of run times decay with each task that is done.
constexpr double run_time_retention = 0.995;
// Limit for the run time of one task in the sums, as a multiple of its estimate.
constexpr double max_run_estimates = 5;

// The cache of final states must hold all jobs that can finish within max_message_age_s, the maximum age of a watch
// event; an older event for a job that is no longer cached would restore the finished job. Each job takes three changes
// of the store (adding its record, its final state, removing its record), so at most a third of write_rps jobs finish
// per second. Besides, a store that keeps its last 10,000 changes for watchers (store/engine.hpp) covers about 3,300
// jobs. Where memory limits the cache instead, to 14,745 jobs with 72 MB, an event older than all cached jobs would
// require more than 70 changes per second during all of max_message_age_s with a lease of 20 s.
constexpr double changes_per_job = 3;
constexpr double finals_memory_share = 1.0 / 32;
constexpr std::size_t final_bytes = 160;

std::size_t max_recent_final_states(const Settings& settings) {
    const double in_time = settings.state_write_rps / changes_per_job * max_message_age_s(settings);
    const auto in_memory = entries_in_share(settings.memory_mb, finals_memory_share, final_bytes);
    return std::clamp(static_cast<std::size_t>(in_time), min_table_entries, in_memory);
}

std::string_view status_of(FinalState final_state) {
    return final_state == FinalState::done ? codec::status_done : codec::status_cancelled;
}

} // namespace

ClusterState::ClusterState(const Settings& settings, std::uint64_t term, double now, double wall,
                           std::vector<Effect>& out)
    : data_(settings), effects_(out), recent_final_states_(max_recent_final_states(settings)), departed_(settings),
      heartbeat_requests_(settings) {
    data_.term = term;
    data_.now = data_.started = now;
    data_.wall = wall;
    for (const auto& limits : settings.teams)
        data_.teams.push_back({limits, {}, {}});
}

Job* ClusterState::find_job(const std::string& id) {
    const auto it = data_.jobs.find(id);
    return it == data_.jobs.end() ? nullptr : it->second.get();
}

int ClusterState::team_index(const std::string& name) const {
    int index = -1;
    for (std::size_t i = 0; i < data_.teams.size(); ++i)
        if (data_.teams[i].limits.name == name)
            index = static_cast<int>(i);
    return index;
}

// The objective for the time until the first start, in seconds. Only services have one; negative: none.
double ClusterState::start_objective_s(const JobSpec& spec) const {
    double within_s = -1;
    if (spec.shape == Shape::service)
        for (const auto& objective : data_.settings.objectives)
            if (objective.kind == "wait" && objective.job_class == spec.job_class)
                within_s = objective.within_s;
    return within_s;
}

// The bytes that a task of the job may take in a heartbeat until it is reaped, with any attempt of this term.
double ClusterState::heartbeat_bytes_of_task(const JobSpec& spec) const {
    const auto last_attempt = ((data_.term + 1) << attempt_counter_bits) - 1;
    return static_cast<double>(
        codec::max_listed_task_bytes(spec.id, spec.tasks - 1, last_attempt, spec.checkpoint_s > 0));
}

void ClusterState::add_job(JobStored& command) {
    if (data_.jobs.contains(command.spec.id) || recent_final_states_.contains(command.spec.id))
        return;
    auto job = std::make_unique<Job>();
    job->spec = std::move(command.spec);
    job->spec.each.heartbeat_bytes = heartbeat_bytes_of_task(job->spec);
    job->submitted = data_.now - command.age_s;
    job->ready = data_.now - (command.ready_age_s >= 0 ? command.ready_age_s : command.age_s);
    job->priority = job->spec.priority;
    job->zone_live.resize(data_.settings.zones.size() + 1);
    job->start_within_s = start_objective_s(job->spec);
    job->image = image_id(job->spec.image, job->spec.image_gb);
    job->team = team_index(job->spec.team);
    auto& stored = *job;
    persistence_->added(stored);
    data_.jobs.emplace(job->spec.id, std::move(job));
    if (const auto* dependents = dependencies_.dependents_of(stored.spec.id); dependents != nullptr)
        for (const auto& id : *dependents)
            if (auto* dependent = find_job(id); dependent != nullptr)
                propagate_urgency(*dependent);
    if (command.waits)
        wait_for_dependencies(stored);
    else
        join(stored);
}

void ClusterState::cancel(const CancellationRequested& command) {
    auto* known = find_job(command.id);
    if (known == nullptr) {
        const auto view = job(command.id);
        effects_.emplace_back(AnswerCancellation{command.handle, view ? std::string(view->status) : std::string()});
        return;
    }
    if (known->over_in_store()) {
        effects_.emplace_back(AnswerCancellation{command.handle, std::string(status_of(known->final))});
        return;
    }
    known->cancel_handles.push_back(command.handle);
    if (!known->over())
        finalize(*known, FinalState::cancelled);
}

// The tasks are stopped immediately, as their results are no longer needed. The answer to a cancellation request is
// sent only after the final state is stored.
void ClusterState::finalize(Job& job, FinalState final_state, bool cancelled_with_dependency) {
    job.final = final_state;
    log(LogLine::Level::debug,
        fmt::format("job {} of class {}, {} tasks, {} {:.1f} s after it was submitted{}", job.spec.id,
                    job.spec.job_class, job.spec.tasks, final_state == FinalState::done ? "done" : "cancelled",
                    data_.now - job.submitted,
                    job.spec.deadline_s >= 0 ? fmt::format(", due after {:.1f} s", job.spec.deadline_s) : ""));
    for (auto& entry : job.entries)
        stop_entry(*entry, 0);
    needs_scheduling_ = true;
    if (final_state != FinalState::cancelled)
        persistence_->final_due(job, PersistenceListener::Urgency::done);
    else if (cancelled_with_dependency)
        persistence_->final_due(job, PersistenceListener::Urgency::cancelled_with_dependency);
    else
        store_cancellation(job);
}

// Any node that reads the final state may report the job as cancelled to the user, and from then on none of its tasks
// may start. A launch that arrives seconds late is still executed, so the final state is stored only once no launch of
// this leader or an earlier one has an unknown outcome: each was seen in a heartbeat, refused, or ruled out by a raised
// fencing token, or its machine's lease has expired (docs/safety.md, 27; `LateCommands`).
void ClusterState::store_cancellation(Job& job) {
    const auto open =
        std::count_if(job.entries.begin(), job.entries.end(), [](const auto& e) { return launch_open(*e); });
    job.open_launches = static_cast<std::uint32_t>(open);
    if (open == 0)
        persistence_->final_due(job, PersistenceListener::Urgency::cancelled);
}

void ClusterState::launch_settled(Job& job) {
    if (job.open_launches == 0)
        return;
    --job.open_launches;
    if (job.open_launches == 0)
        persistence_->final_due(job, PersistenceListener::Urgency::cancelled);
}

void ClusterState::mark_done(Job& job, std::uint32_t index) {
    if (!job.mark_done(index))
        return;
    if (job.done < job.spec.tasks)
        persistence_->progressed(job);
    else if (!job.over())
        finalize(job, FinalState::done);
}

std::optional<JobView> ClusterState::job(const std::string& id) const {
    if (resigned_)
        return {};
    const auto* known = data_.find_job(id);
    if (known == nullptr) {
        const auto* final_state = recent_final_states_.find(id);
        if (final_state == nullptr)
            return {};
        return JobView{status_of(*final_state), 0, 0};
    }
    JobView view;
    view.done = known->done;
    view.running = known->running;
    if (known->over_in_store())
        view.status = status_of(known->final);
    else
        view.status = known->running > 0 ? codec::status_running : codec::status_pending;
    view.settling = known->final_sent && !known->final_stored;
    return view;
}

void ClusterState::cache_final_state(const Job& job) {
    recent_final_states_.add(job.spec.id, job.final);
}

void ClusterState::forget_job(Job& job) {
    if (job.team >= 0)
        data_.teams[static_cast<std::size_t>(job.team)].remove(job);
    dependencies_.remove(job.unmet_dependencies, job.spec.id);
    data_.jobs.erase(std::string(job.spec.id));
}

// Updates the average offered load of array jobs, which determines how much capacity is kept for future jobs.
void ClusterState::count_offered_work(const Job& job) {
    if (job.spec.shape != Shape::array)
        return;
    auto& learned = data_.learned;
    const double over = data_.averaging_period_s();
    const double left = std::exp(-(data_.now - learned.offered_at) / over);
    const double more = data_.remaining_work_cpu_s(job) / over * std::exp(-std::max(0.0, data_.now - job.ready) / over);
    if (data_.now - job.ready < data_.settings.report_s) { // excludes jobs read from the store at a failover
        learned.gap_count = std::min(learned.gap_count + 1, max_gap_count);
        learned.mean_gap_s += (data_.now - learned.offered_at - learned.mean_gap_s) / learned.gap_count;
    }
    learned.offered = learned.offered * left + more;
    learned.offered_on_demand = learned.offered_on_demand * left + (job.spec.spot ? 0 : more);
    learned.offered_at = data_.now;
}

// Tasks of one array job have similar run times, so the longest completed run shows which running tasks take too long,
// much earlier than the owner's estimate would.
void ClusterState::record_run_time(Job& job, const Machine& machine, double ran) {
    if (job.spec.shape != Shape::array)
        return;
    if (job.spec.estimate_s > 0) {
        // Corrects for a period in which most estimates are too low. Uses sums, because individual estimates are often
        // wrong by half.
        auto& learned = data_.learned;
        learned.ran_s = run_time_retention * learned.ran_s + std::min(ran, max_run_estimates * job.spec.estimate_s);
        learned.estimated_s = run_time_retention * learned.estimated_s + job.spec.estimate_s;
    }
    ++job.runs;
    job.run_sum += ran;
    if (data_.now >= machine.slow_until)
        job.longest_run = std::max(job.longest_run, ran);
}

} // namespace heronshift::cluster
