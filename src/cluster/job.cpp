#include "cluster/job.hpp"

#include <algorithm>

namespace heronshift::cluster {

bool Job::wants_attempt(std::uint32_t index, std::uint64_t attempt) const {
    return final == FinalState::none && !tasks[index].done && tasks[index].live == 0 &&
           (spec.shape != Shape::gang || gang_attempt == attempt);
}

void Job::queue_task(std::uint32_t index) {
    auto& task = tasks[index];
    if (task.queued || task.done || task.live > 0 || task.awaits_retry)
        return;
    task.queued = true;
    // A task that is queued again was placed early, so its position is near the front.
    const bool last = pending.empty() || pending.back() < index;
    pending.insert(last ? pending.end() : std::lower_bound(pending.begin(), pending.end(), index), index);
}

void Job::count_entry(std::uint32_t index, std::size_t zone_index, bool on_pool_machine) {
    ++live;
    ++tasks[index].live;
    if (on_pool_machine)
        ++entries_on_pool;
    ++zone_live[zone_index];
}

void Job::discount_entry(std::uint32_t index, std::size_t zone_index, bool on_pool_machine, Phase phase) {
    --live;
    --tasks[index].live;
    if (entries_on_pool > 0 && on_pool_machine)
        --entries_on_pool;
    if (phase == Phase::running && running > 0)
        --running;
    --zone_live[zone_index];
}

bool Job::mark_done(std::uint32_t index) {
    if (tasks[index].done)
        return false;
    tasks[index].done = true;
    ++done;
    had_success = true;
    error_streak = 0;
    if (tasks[index].faulty())
        --faulty_tasks;
    unstored.push_back(index);
    if (spec.shape == Shape::gang && done < spec.tasks) {
        for (auto& task : tasks)
            task.done = true;
        done = spec.tasks;
    }
    return true;
}

} // namespace heronshift::cluster
