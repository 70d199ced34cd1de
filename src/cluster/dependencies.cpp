// Jobs that wait for other jobs: when they become ready, how a cancellation cascades to dependents, and how the urgency
// of a job propagates to the jobs that it needs.
#include "cluster/cluster_state.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace heronshift::cluster {
namespace {

constexpr double estimate_slack = 1.3; // owners' run time estimates of dependent jobs are off by up to a third

// Raises the urgency of `needed` for a dependent that has this priority and has to start by `latest_start` (negative:
// at any time). Returns whether `needed` became more urgent.
bool raise_urgency(Job& needed, Priority priority, double latest_start) {
    bool changed = false;
    if (priority < needed.priority) {
        needed.priority = priority;
        changed = true;
    }
    if (latest_start >= 0 && (needed.needed_by < 0 || latest_start < needed.needed_by)) {
        needed.needed_by = latest_start;
        changed = true;
    }
    return changed;
}

} // namespace

// Makes the job eligible for scheduling: from now on its tasks wait for resources, count for its team and may cause
// machines to be rented.
void ClusterState::join(Job& job) {
    job.tasks.resize(job.spec.tasks); // allocated only now, so that jobs waiting for others use no memory for tasks
    if (job.team >= 0)
        data_.teams[static_cast<std::size_t>(job.team)].add(job);
    log(LogLine::Level::debug,
        fmt::format("job {} of class {} and team {}: {} tasks of {:.1f} CPUs, {:.0f} s expected, {:.1f} s after its "
                    "submission",
                    job.spec.id, job.spec.job_class, job.spec.team, job.spec.tasks, job.spec.each.cpus,
                    job.spec.estimate_s, data_.now - job.submitted));
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i)
        job.queue_task(i);
    count_offered_work(job);
    needs_scheduling_ = true;
}

// A dependency counts as met only once the store holds that the needed job is done. If only this leader's memory held
// that, the next leader might run the needed job again, and the dependent would have started too early (docs/safety.md,
// 14; `NothingIsReadyBeforeTheStoreHasTheFinalState`).
void ClusterState::wait_for_dependencies(Job& job) {
    job.waits = true;
    job.ready_recorded = false;
    bool dependency_cancelled = false;
    for (const auto& id : job.spec.dependencies) {
        if (const auto* final_state = recent_final_states_.find(id); final_state != nullptr) {
            dependency_cancelled = dependency_cancelled || *final_state == FinalState::cancelled;
            continue;
        }
        const auto* needed = find_job(id);
        if (needed != nullptr && needed->final_stored) {
            dependency_cancelled = dependency_cancelled || needed->final == FinalState::cancelled;
            continue;
        }
        job.unmet_dependencies.push_back(id);
        dependencies_.add(id, job.spec.id);
        if (needed == nullptr)
            dependencies_.schedule_lookup(id, data_.now);
    }
    if (job.spec.dependencies_damaged) {
        job.unmet_dependencies.emplace_back(); // an empty id is never settled, so the job waits until it is cancelled
        log(LogLine::Level::warning, fmt::format("job {} waits: its record does not say for which jobs", job.spec.id));
    }
    log(LogLine::Level::debug, fmt::format("job {} of class {} waits for {}", job.spec.id, job.spec.job_class,
                                           fmt::join(job.unmet_dependencies, " ")));
    propagate_urgency(job);
    if (dependency_cancelled)
        finalize(job, FinalState::cancelled, true);
    else if (job.unmet_dependencies.empty())
        become_ready(job);
}

void ClusterState::become_ready(Job& job) {
    job.waits = false;
    job.ready = data_.now;
    persistence_->became_ready(job);
    log(LogLine::Level::debug,
        fmt::format("job {} is ready, {:.1f} s after it was submitted", job.spec.id, data_.now - job.submitted));
    join(job);
}

void ClusterState::dependency_settled(const std::string& id, FinalState final_state) {
    std::vector<std::string> settled{id};
    while (!settled.empty()) {
        const auto needed = std::move(settled.back());
        settled.pop_back();
        for (const auto& dependent : dependencies_.take_dependents_of(needed)) {
            auto* job = find_job(dependent);
            if (job == nullptr || job->over() || !job->waits)
                continue;
            if (final_state == FinalState::done) {
                dependency_done(*job, needed);
                continue;
            }
            log(LogLine::Level::info, fmt::format("job {} is cancelled, as {} is, which it needs", dependent, needed));
            finalize(*job, FinalState::cancelled, true);
            settled.push_back(dependent);
        }
    }
}

void ClusterState::dependency_done(Job& job, const std::string& needed) {
    std::erase(job.unmet_dependencies, needed);
    if (job.unmet_dependencies.empty())
        become_ready(job);
}

// Propagates urgency from dependents to the jobs that they need (a backward pass over the dependency graph): a job is
// as urgent as its most urgent dependent, and has to be done before the latest start of each dependent. Stops at jobs
// whose urgency does not change.
void ClusterState::propagate_urgency(Job& from) {
    std::vector<Job*> stack{&from};
    while (!stack.empty()) {
        auto& job = *stack.back();
        stack.pop_back();
        if (job.over())
            continue;
        const double latest_start = latest_start_of(job);
        for (const auto& id : job.unmet_dependencies) {
            auto* needed = find_job(id);
            if (needed != nullptr && !needed->over() && raise_urgency(*needed, job.priority, latest_start))
                stack.push_back(needed);
        }
    }
}

// The latest time at which the job can start and still be done in time; negative: no limit.
double ClusterState::latest_start_of(const Job& job) const {
    const double due = data_.due_at(job);
    return due < 0 ? -1 : due - estimate_slack * std::max(1.0, job.spec.estimate_s) - data_.settings.report_s;
}

void ClusterState::find_dependencies() {
    while (auto id = dependencies_.next_due_lookup(data_.now)) {
        if (const auto* needed = find_job(*id); needed != nullptr) {
            if (needed->final_stored)
                dependency_settled(*id, needed->final);
            continue;
        }
        if (const auto* final_state = recent_final_states_.find(*id); final_state != nullptr) {
            dependency_settled(*id, *final_state);
            continue;
        }
        dependencies_.lookup_started();
        effects_.emplace_back(FindJob{std::move(*id)});
    }
}

void ClusterState::found(JobFound& command) {
    dependencies_.lookup_ended();
    const auto& settings = data_.settings;
    switch (command.state) {
    case Known::done:
        dependency_settled(command.id, FinalState::done);
        break;
    case Known::cancelled:
        dependency_settled(command.id, FinalState::cancelled);
        break;
    case Known::open:
        if (command.job)
            add_job(*command.job);
        // The end of the needed job normally settles the dependency. It is looked up again in case that does not
        // happen.
        dependencies_.schedule_lookup(command.id, data_.now + settings.lease_s);
        break;
    case Known::no_answer:
        dependencies_.schedule_lookup(command.id, data_.now + settings.report_s / 10);
        break;
    case Known::never:
        if (const auto* dependents = dependencies_.dependents_of(command.id); dependents != nullptr)
            log(LogLine::Level::warning,
                fmt::format("job {} and {} others wait for {}, of which the store knows nothing", *dependents->begin(),
                            dependents->size() - 1, command.id));
    }
}

} // namespace heronshift::cluster
