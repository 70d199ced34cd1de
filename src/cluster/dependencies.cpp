// Jobs that wait for others: when they are ready, what a cancellation takes along, and what those
// that need a job make of its order.
#include "heronshift/cluster/cluster_state.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace heronshift::cluster {
namespace {

constexpr std::size_t max_concurrent_lookups = 8;
constexpr double estimate_slack = 1.3; // owners' estimates of chained work are wrong by a third

} // namespace

// From now on it is work like any other: it waits for room, counts to its team and may be rented for.
void ClusterState::join(Job& job) {
    job.tasks.resize(job.spec.tasks); // a flood of waiting jobs costs no memory for tasks
    if (job.team >= 0) {
        auto& list = data_.teams[static_cast<std::size_t>(job.team)].jobs; // in the order they became ready
        const auto at = std::find_if(list.rbegin(), list.rend(), [&](const auto& o) { return o->ready <= job.ready; });
        list.emplace(at.base(), &job);
    }
    log(LogLine::Level::debug,
        fmt::format("job {} of class {} and team {}: {} tasks of {:.1f} CPUs, {:.0f} s expected, {:.1f} s after its "
                    "submission",
                    job.spec.id, job.spec.job_class, job.spec.team, job.spec.tasks, job.spec.each.cpus,
                    job.spec.estimate_s, data_.now - job.submitted));
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i)
        queue_task(job, i);
    offer(job);
    needs_scheduling_ = true;
}

// A need counts as met only once the store holds that it is done: what only this memory knows might
// be run again by the next leader, and then a start would have been too early.
void ClusterState::wait_for_dependencies(Job& job) {
    job.waits = true;
    job.ready_recorded = false;
    bool doomed = false;
    for (const auto& id : job.spec.dependencies) {
        if (const auto* final_state = recent_finals_.find(id); final_state != nullptr) {
            doomed = doomed || *final_state == Final::cancelled;
            continue;
        }
        const auto* n = find_job(id);
        if (n != nullptr && n->final_stored) {
            doomed = doomed || n->final == Final::cancelled;
            continue;
        }
        job.unmet.push_back(id);
        dependents_[id].insert(job.spec.id);
        if (n == nullptr)
            look_for(id, data_.now);
    }
    if (job.spec.dependencies_damaged) {
        job.unmet.emplace_back(); // never settled
        log(LogLine::Level::warning, fmt::format("job {} waits: its record does not say for which jobs", job.spec.id));
    }
    log(LogLine::Level::debug,
        fmt::format("job {} of class {} waits for {}", job.spec.id, job.spec.job_class, fmt::join(job.unmet, " ")));
    propagate_urgency(job);
    if (doomed)
        finalize(job, Final::cancelled, true);
    else if (job.unmet.empty())
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

// Called once the final state of a job is in the store. A cancellation takes along all that need it,
// directly or not: as the first one is stored, every later leader finds the same.
void ClusterState::dependency_settled(const std::string& id, Final final_state) {
    std::vector<std::string> settled{id};
    while (!settled.empty()) {
        const auto it = dependents_.find(settled.back());
        const auto need = std::move(settled.back());
        settled.pop_back();
        if (it == dependents_.end())
            continue;
        const auto list = std::move(it->second);
        dependents_.erase(it);
        for (const auto& by : list) {
            auto* job = find_job(by);
            if (job == nullptr || job->final != Final::none || !job->waits)
                continue;
            if (final_state == Final::done) {
                std::erase(job->unmet, need);
                if (job->unmet.empty())
                    become_ready(*job);
                continue;
            }
            log(LogLine::Level::info, fmt::format("job {} is cancelled, as {} is, which it needs", by, need));
            finalize(*job, Final::cancelled, true);
            settled.push_back(by);
        }
    }
}

// The backward pass: a job is as urgent as the most urgent that needs it, and is to be done before
// the latest start of those. It goes on only where it changes something.
void ClusterState::propagate_urgency(Job& from) {
    std::vector<Job*> stack{&from};
    while (!stack.empty()) {
        auto& job = *stack.back();
        stack.pop_back();
        if (job.final != Final::none)
            continue;
        const double due = data_.due_at(job);
        const double start =
            due < 0 ? -1 : due - estimate_slack * std::max(1.0, job.spec.estimate_s) - data_.settings.report_s;
        for (const auto& id : job.unmet) {
            auto* n = find_job(id);
            if (n == nullptr || n->final != Final::none)
                continue;
            bool changed = false;
            if (job.priority < n->priority) {
                n->priority = job.priority;
                changed = true;
            }
            if (start >= 0 && (n->latest < 0 || start < n->latest)) {
                n->latest = start;
                changed = true;
            }
            if (changed)
                stack.push_back(n);
        }
    }
}

void ClusterState::look_for(const std::string& id, double at) {
    to_find_.emplace(at, id);
}

// Jobs that others need and that are not known here: finished before this term, or accepted by
// another node a moment ago.
void ClusterState::find_dependencies() {
    while (finding_ < max_concurrent_lookups && !to_find_.empty() && to_find_.begin()->first <= data_.now) {
        auto id = std::move(to_find_.begin()->second);
        to_find_.erase(to_find_.begin());
        if (!dependents_.contains(id))
            continue;
        if (const auto* n = find_job(id); n != nullptr) {
            if (n->final_stored)
                dependency_settled(id, n->final);
            continue;
        }
        if (const auto* final_state = recent_finals_.find(id); final_state != nullptr) {
            dependency_settled(id, *final_state);
            continue;
        }
        ++finding_;
        effects_.push_back(FindJob{std::move(id)});
    }
}

void ClusterState::found(JobFound& command) {
    if (finding_ > 0)
        --finding_;
    switch (command.state) {
    case Known::done:
    case Known::cancelled:
        dependency_settled(command.id, command.state == Known::done ? Final::done : Final::cancelled);
        break;
    case Known::open:
        if (command.job)
            add_job(*command.job);
        look_for(command.id, data_.now + data_.settings.lease_s); // met by its own end, or else asked for again
        break;
    case Known::no_answer:
        look_for(command.id, data_.now + data_.settings.report_s / 10);
        break;
    case Known::never:
        if (const auto it = dependents_.find(command.id); it != dependents_.end())
            log(LogLine::Level::warning,
                fmt::format("job {} and {} others wait for {}, of which the store knows nothing", *it->second.begin(),
                            it->second.size() - 1, command.id));
    }
}

void ClusterState::forget_dependencies(Job& job) {
    for (const auto& id : job.unmet) {
        const auto it = dependents_.find(id);
        if (it == dependents_.end())
            continue;
        it->second.erase(job.spec.id);
        if (it->second.empty())
            dependents_.erase(it);
    }
}

} // namespace heronshift::cluster
