// Entries of tasks on machines, from the placement until the task is proven gone: accounting, stops and task results.
#include "cluster/cluster_state.hpp"
#include "cluster/gone_proof.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace heronshift::cluster {
namespace {

constexpr std::uint8_t max_failures_counted = 200;
// A job none of whose tasks ever succeeded is considered faulty itself after failures on this many machines.
constexpr std::size_t job_fault_machines = 3;
// A machine on which tasks of this many jobs failed is considered faulty.
constexpr std::size_t machine_fault_jobs = 2;
constexpr double max_retry_pause_leases = 3;
constexpr int max_retry_doublings = 6;

// The phase that corresponds to a reported state. For an ended task, its current phase.
Phase phase_of(TaskState state, Phase current) {
    switch (state) {
    case TaskState::fetching:
        return Phase::fetching;
    case TaskState::waiting:
        return Phase::waiting;
    case TaskState::running:
        return Phase::running;
    case TaskState::saving:
        return Phase::saving;
    case TaskState::ended:
        return current;
    }
    return current;
}

} // namespace

Entry& ClusterState::add_entry(Machine& machine, Job& job, std::uint32_t index, std::uint64_t attempt) {
    auto& entry = *machine.entries.emplace_back(std::make_unique<Entry>());
    entry.machine = &machine;
    entry.job = &job;
    entry.index = index;
    entry.attempt = attempt;
    entry.agent_epoch = machine.agent_epoch;
    entry.fencing_token = machine.fencing_token;
    entry.placed_at = data_.now;
    entry.machine_position = machine.entries.size() - 1;
    entry.job_position = job.entries.size();
    job.entries.emplace_back(&entry);
    persistence_->added(entry);
    machine.occupy(job.spec);
    job.count_entry(index, machine.zone_index(data_.settings.zones.size()), machine.pool);
    if (job.team >= 0)
        data_.teams[static_cast<std::size_t>(job.team)].used += job.spec.each;
    use_image(machine, job.image, false);
    return entry;
}

// Removes the entry from the lists of its job and its machine. The last element of each list takes the entry's
// position.
PropagateConst<std::unique_ptr<Entry>> ClusterState::unlink_entry(Entry& entry) {
    auto& machine = *entry.machine;
    auto& job = *entry.job;
    if (entry.job_position + 1 < job.entries.size())
        job.entries[entry.job_position] = std::move(job.entries.back());
    job.entries[entry.job_position]->job_position = entry.job_position;
    job.entries.pop_back();
    auto owned = std::move(machine.entries[entry.machine_position]);
    if (entry.machine_position + 1 < machine.entries.size()) {
        machine.entries[entry.machine_position] = std::move(machine.entries.back());
        machine.entries[entry.machine_position]->machine_position = entry.machine_position;
    }
    machine.entries.pop_back();
    return owned;
}

void ClusterState::remove_entry(Entry& gone) {
    auto& machine = *gone.machine;
    auto& job = *gone.job;
    persistence_->removed(gone);
    const auto owned = unlink_entry(gone);
    const Entry& entry = *owned;
    if (launch_open(entry))
        launch_settled(job);
    machine.vacate(job.spec, data_.now);
    job.discount_entry(entry.index, machine.zone_index(data_.settings.zones.size()), machine.pool, entry.phase);
    if (job.team >= 0)
        data_.teams[static_cast<std::size_t>(job.team)].used -= job.spec.each;
    if (!job.over() && !job.tasks[entry.index].done)
        restart_after_loss(job, entry);
    if (job.live == 0) {
        job.gang_breaking = false;
        if (job.over_in_store())
            persistence_->final_due(job, PersistenceListener::Urgency::done);
    }
    needs_scheduling_ = true;
}

void ClusterState::restart_after_loss(Job& job, const Entry& gone) {
    job.queue_task(gone.index);
    // An old record may contain an entry of an earlier attempt, whose loss does not affect the current attempt.
    if (job.spec.shape == Shape::gang && gone.attempt == job.gang_attempt)
        break_gang(job);
}

// Stops all tasks of a gang that has lost one. The gang starts again once every old task is proven gone
// (docs/safety.md, 8).
void ClusterState::break_gang(Job& job) {
    if (job.gang_breaking || job.live == 0)
        return;
    job.gang_breaking = true;
    for (auto& entry : job.entries)
        stop_entry(*entry, 0);
}

void ClusterState::stop_entry(Entry& entry, double drain_s) {
    if (entry.stop && entry.drain_s <= drain_s)
        return;
    entry.stop = true;
    entry.drain_s = drain_s;
    entry.stop_sent_at = -1;
    queue_for_orders(*entry.machine);
}

void ClusterState::mark_seen(Entry& entry) {
    const bool was_open = launch_open(entry);
    entry.seen = true;
    if (was_open)
        launch_settled(*entry.job);
}

void ClusterState::update_entry(Entry& entry, const ReportedTask& task) {
    mark_seen(entry);
    const auto previous = entry.phase;
    entry.phase = phase_of(task.state, previous);
    count_running(entry, previous);
    if (entry.phase == Phase::running || entry.phase == Phase::waiting)
        use_image(*entry.machine, entry.job->image, true);
}

void ClusterState::count_running(Entry& entry, Phase previous) {
    auto& job = *entry.job;
    if (previous == Phase::running && entry.phase != Phase::running && job.running > 0)
        --job.running;
    if (entry.phase != Phase::running || previous == Phase::running)
        return;
    ++job.running;
    if (entry.running_at < 0) {
        entry.running_at = data_.now;
        log(LogLine::Level::debug,
            fmt::format("task {}/{} runs on {}, {:.1f} s after it was placed, {:.1f} s after its job was ready",
                        job.spec.id, entry.index, entry.machine->id, data_.now - entry.placed_at,
                        data_.now - job.ready));
    }
    if (job.first_start < 0)
        job.first_start = data_.now;
}

void ClusterState::task_exited(Entry& entry, const ReportedTask& task) {
    switch (task.cause) {
    case ExitCause::done:
        task_done(entry);
        break;
    case ExitCause::stopped:
        if (task.saved && entry.running_at >= 0)
            entry.job->tasks[entry.index].saved_s += static_cast<float>(data_.now - entry.running_at);
        break;
    case ExitCause::error:
        task_failed(entry);
        break;
    case ExitCause::no_room:
    case ExitCause::busy:
    case ExitCause::unknown:
        task_refused(entry);
        break;
    case ExitCause::none:
    case ExitCause::peers:
    case ExitCause::alone:
        break;
    }
}

void ClusterState::task_done(Entry& entry) {
    auto& machine = *entry.machine;
    auto& job = *entry.job;
    machine.failed_jobs.clear();
    // The run time of a task that an earlier leader started is not known.
    const bool started_by_us = entry.attempt >> attempt_counter_bits == data_.term;
    if (entry.running_at >= 0 && job.tasks[entry.index].saved_s <= 0 && started_by_us)
        record_run_time(job, machine, data_.now - entry.running_at);
    mark_done(job, entry.index);
}

void ClusterState::task_failed(Entry& entry) {
    auto& machine = *entry.machine;
    auto& job = *entry.job;
    auto& task = job.tasks[entry.index];
    log(LogLine::Level::info, fmt::format("task {}/{} failed on {}", job.spec.id, entry.index, machine.id));
    job.error_machines.insert(machine.id);
    ++job.error_streak;
    if (task.failures < max_failures_counted)
        ++task.failures;
    if (task.failures == Task::min_failures_of_faulty_task)
        ++job.faulty_tasks;
    const bool job_is_faulty = !job.had_success && job.error_machines.size() >= job_fault_machines;
    if (job_is_faulty || (task.faulty() && job.spec.shape == Shape::gang))
        back_off_job(job);
    else if (task.faulty())
        back_off_task(job, entry.index);
    else
        record_machine_failure(machine, job);
}

// Delays the next attempt of a faulty job with exponential backoff. Its failures do not count against any machine
// (docs/safety.md, 13).
void ClusterState::back_off_job(Job& job) {
    job.not_before = data_.now + retry_pause_s(job.error_streak);
    exonerate_machines(job);
}

// The same for a single faulty task, so that the other tasks of its job do not wait.
void ClusterState::back_off_task(Job& job, std::uint32_t index) {
    auto& task = job.tasks[index];
    task.awaits_retry = true;
    const int doublings = task.failures - Task::min_failures_of_faulty_task;
    retries_.add(job.spec.id, index, data_.now + retry_pause_s(doublings));
    exonerate_machines(job);
}

void ClusterState::queue_due_retries() {
    while (const auto retry = retries_.take_due(data_.now)) {
        auto* job = find_job(retry->job);
        if (job == nullptr || job->over())
            continue;
        job->tasks[retry->index].awaits_retry = false;
        job->queue_task(retry->index);
        needs_scheduling_ = true;
    }
}

double ClusterState::retry_pause_s(int doublings) const {
    const double pause_s = data_.settings.report_s * (1 << std::min(doublings, max_retry_doublings));
    return std::min(data_.settings.lease_s * max_retry_pause_leases, pause_s);
}

void ClusterState::exonerate_machines(const Job& job) {
    for (const auto& id : job.error_machines)
        if (auto* machine = find_machine(id); machine != nullptr)
            machine->failed_jobs.erase(job.spec.id);
}

void ClusterState::record_machine_failure(Machine& machine, const Job& job) {
    machine.failed_jobs.insert(job.spec.id);
    machine.avoid_at_least_until(data_.now + data_.settings.lease_s);
    const bool job_is_reliable = job.had_success && job.faulty_tasks == 0;
    if (machine.out_of_service || (machine.failed_jobs.size() < machine_fault_jobs && !job_is_reliable))
        return;
    machine.out_of_service = true;
    log(LogLine::Level::warning, fmt::format("machine {} fails its tasks, taken out of use", machine.id));
}

void ClusterState::task_refused(Entry& entry) {
    auto& machine = *entry.machine;
    auto& job = *entry.job;
    log(LogLine::Level::info, fmt::format("task {}/{} refused by {}", job.spec.id, entry.index, machine.id));
    machine.avoid_at_least_until(data_.now + data_.settings.report_s);
    job.not_before = std::max(job.not_before, data_.now + data_.settings.report_s / 3);
}

} // namespace heronshift::cluster
