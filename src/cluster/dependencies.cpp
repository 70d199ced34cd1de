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
void ClusterState::join(Job& j) {
    j.tasks.resize(j.spec.tasks); // a flood of waiting jobs costs no memory for tasks
    if (j.team >= 0) {
        auto& list = data_.teams[static_cast<std::size_t>(j.team)].jobs; // in the order they became ready
        const auto at = std::find_if(list.rbegin(), list.rend(), [&](const auto& o) { return o->ready <= j.ready; });
        list.emplace(at.base(), &j);
    }
    log(0, fmt::format("job {} of class {} and team {}: {} tasks of {:.1f} CPUs, {:.0f} s expected, {:.1f} s after its "
                       "submission",
                       j.spec.id, j.spec.job_class, j.spec.team, j.spec.tasks, j.spec.each.cpus, j.spec.estimate_s,
                       data_.now - j.submitted));
    for (std::uint32_t i = 0; i < j.spec.tasks; ++i)
        queue_task(j, i);
    offer(j);
    needs_scheduling_ = true;
}

// A need counts as met only once the store holds that it is done: what only this memory knows might
// be run again by the next leader, and then a start would have been too early.
void ClusterState::wait_for_dependencies(Job& j) {
    j.waits = true;
    j.ready_recorded = false;
    bool doomed = false;
    for (const auto& id : j.spec.dependencies) {
        if (const auto* r = recent_finals_.find(id); r != nullptr) {
            doomed = doomed || *r == Final::cancelled;
            continue;
        }
        const auto* n = find_job(id);
        if (n != nullptr && n->final_stored) {
            doomed = doomed || n->final == Final::cancelled;
            continue;
        }
        j.unmet.push_back(id);
        dependents_[id].insert(j.spec.id);
        if (n == nullptr)
            look_for(id, data_.now);
    }
    if (j.spec.dependencies_damaged) {
        j.unmet.emplace_back(); // never settled
        log(2, fmt::format("job {} waits: its record does not say for which jobs", j.spec.id));
    }
    log(0, fmt::format("job {} of class {} waits for {}", j.spec.id, j.spec.job_class, fmt::join(j.unmet, " ")));
    propagate_urgency(j);
    if (doomed)
        finalize(j, Final::cancelled, true);
    else if (j.unmet.empty())
        become_ready(j);
}

void ClusterState::become_ready(Job& j) {
    j.waits = false;
    j.ready = data_.now;
    persistence_->became_ready(j);
    log(0, fmt::format("job {} is ready, {:.1f} s after it was submitted", j.spec.id, data_.now - j.submitted));
    join(j);
}

// Called once the final state of a job is in the store. A cancellation takes along all that need it,
// directly or not: as the first one is stored, every later leader finds the same.
void ClusterState::dependency_settled(const std::string& id, Final f) {
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
            auto* j = find_job(by);
            if (j == nullptr || j->final != Final::none || !j->waits)
                continue;
            if (f == Final::done) {
                std::erase(j->unmet, need);
                if (j->unmet.empty())
                    become_ready(*j);
                continue;
            }
            log(1, fmt::format("job {} is cancelled, as {} is, which it needs", by, need));
            finalize(*j, Final::cancelled, true);
            settled.push_back(by);
        }
    }
}

// The backward pass: a job is as urgent as the most urgent that needs it, and is to be done before
// the latest start of those. It goes on only where it changes something.
void ClusterState::propagate_urgency(Job& from) {
    std::vector<Job*> stack{&from};
    while (!stack.empty()) {
        auto& j = *stack.back();
        stack.pop_back();
        if (j.final != Final::none)
            continue;
        const double due = data_.due_at(j);
        const double start =
            due < 0 ? -1 : due - estimate_slack * std::max(1.0, j.spec.estimate_s) - data_.settings.report_s;
        for (const auto& id : j.unmet) {
            auto* n = find_job(id);
            if (n == nullptr || n->final != Final::none)
                continue;
            bool changed = false;
            if (j.priority < n->priority) {
                n->priority = j.priority;
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
        if (const auto* r = recent_finals_.find(id); r != nullptr) {
            dependency_settled(id, *r);
            continue;
        }
        ++finding_;
        effects_.push_back(FindJob{std::move(id)});
    }
}

void ClusterState::found(JobFound& c) {
    if (finding_ > 0)
        --finding_;
    switch (c.state) {
    case Known::done:
    case Known::cancelled:
        dependency_settled(c.id, c.state == Known::done ? Final::done : Final::cancelled);
        break;
    case Known::open:
        if (c.job)
            add_job(*c.job);
        look_for(c.id, data_.now + data_.settings.lease_s); // met by its own end, or else asked for again
        break;
    case Known::no_answer:
        look_for(c.id, data_.now + data_.settings.report_s / 10);
        break;
    case Known::never:
        if (const auto it = dependents_.find(c.id); it != dependents_.end())
            log(2, fmt::format("job {} and {} others wait for {}, of which the store knows nothing",
                               *it->second.begin(), it->second.size() - 1, c.id));
    }
}

void ClusterState::forget_dependencies(Job& j) {
    for (const auto& id : j.unmet) {
        const auto it = dependents_.find(id);
        if (it == dependents_.end())
            continue;
        it->second.erase(j.spec.id);
        if (it->second.empty())
            dependents_.erase(it);
    }
}

} // namespace heronshift::cluster
