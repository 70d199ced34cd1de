// Jobs and their tasks: what comes, goes, is done or lost, and the entries that tie tasks to machines.
#include "heronshift/cluster/cluster_state.hpp"

#include "heronshift/memory_share.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace heronshift::cluster {
namespace {

constexpr double max_gaps = 50; // between arrays that come, averaged

// A job takes three changes of the store (its record, its final state, the end of its record), so no more than
// a third of write_rps finish in a second. What a watch tells is no older than any other message; besides, a store
// that keeps its last 10,000 changes for watchers (store/engine.hpp) has those of some 3,300 jobs. Where memory
// bounds the table instead, at 14,745 jobs with 72 MB, an event older than all of these would bring a finished job
// back: that takes more than 70 changes a second for all of max_message_age_s with a lease of 20 s.
constexpr double changes_per_job = 3;
constexpr double finals_memory_share = 1.0 / 32;
constexpr std::size_t final_bytes = 160;

std::size_t max_recent_finals(const Settings& settings) {
    const double in_time = settings.state_write_rps / changes_per_job * max_message_age_s(settings);
    const auto in_memory = entries_in_share(settings.memory_mb, finals_memory_share, final_bytes);
    return std::clamp(static_cast<std::size_t>(in_time), min_table_entries, in_memory);
}

} // namespace

ClusterState::ClusterState(const Settings& settings, std::uint64_t term, double now, double wall,
                           std::vector<Effect>& out)
    : data_(settings), effects_(out), recent_finals_(max_recent_finals(settings)), departed_(settings) {
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

void ClusterState::add_job(JobStored& command) {
    if (data_.jobs.contains(command.spec.id) || recent_finals_.contains(command.spec.id))
        return;
    auto job = std::make_unique<Job>();
    job->spec = std::move(command.spec);
    job->submitted = data_.now - command.age_s;
    job->ready = data_.now - (command.ready_age_s >= 0 ? command.ready_age_s : command.age_s);
    job->priority = job->spec.priority;
    job->zone_live.resize(data_.settings.zones.size() + 1);
    if (job->spec.shape == Shape::service)
        for (const auto& objective : data_.settings.objectives)
            if (objective.kind == "wait" && objective.job_class == job->spec.job_class)
                job->start_within_s = objective.within_s;
    job->image = image_id(job->spec.image, job->spec.image_gb);
    for (std::size_t i = 0; i < data_.teams.size(); ++i)
        if (data_.teams[i].limits.name == job->spec.team)
            job->team = static_cast<int>(i);
    auto& stored = *job;
    persistence_->added(stored);
    data_.jobs.emplace(job->spec.id, std::move(job));
    if (const auto it = dependents_.find(stored.spec.id); it != dependents_.end())
        for (const auto& by : it->second)
            if (auto* n = find_job(by); n != nullptr)
                propagate_urgency(*n);
    if (command.waits)
        wait_for_dependencies(stored);
    else
        join(stored);
}

// In the order of their indices: in which order reports came must not decide which is next. What comes back was
// placed early, so its place is near the front.
void ClusterState::queue_task(Job& job, std::uint32_t index) {
    auto& task = job.tasks[index];
    if (task.queued || task.done || task.live > 0)
        return;
    task.queued = true;
    auto& p = job.pending;
    p.insert(p.empty() || p.back() < index ? p.end() : std::lower_bound(p.begin(), p.end(), index), index);
}

void ClusterState::cancel(const CancellationRequested& command) {
    auto* j = find_job(command.id);
    if (j == nullptr) {
        const auto v = job(command.id);
        effects_.push_back(AnswerCancellation{command.handle, v ? std::string(v->status) : std::string()});
        return;
    }
    if (j->final != Final::none && j->final_stored) {
        effects_.push_back(AnswerCancellation{
            command.handle, std::string(j->final == Final::done ? codec::status_done : codec::status_cancelled)});
        return;
    }
    j->cancels.push_back(command.handle);
    if (j->final == Final::none)
        finalize(*j, Final::cancelled);
}

void ClusterState::finalize(Job& job, Final final_state, bool cancelled_with_dependency) {
    job.final = final_state;
    // Nobody has any use for what runs after a cancellation was asked for; the answer still
    // waits for the store.
    log(LogLine::Level::debug,
        fmt::format("job {} of class {}, {} tasks, {} {:.1f} s after it was submitted{}", job.spec.id,
                    job.spec.job_class, job.spec.tasks, final_state == Final::done ? "done" : "cancelled",
                    data_.now - job.submitted,
                    job.spec.deadline_s >= 0 ? fmt::format(", due after {:.1f} s", job.spec.deadline_s) : ""));
    for (auto& entry : job.entries)
        stop_entry(*entry, 0);
    needs_scheduling_ = true;
    if (final_state != Final::cancelled)
        persistence_->final_due(job, PersistenceListener::Urgency::done);
    else if (cancelled_with_dependency)
        persistence_->final_due(job, PersistenceListener::Urgency::cancelled_with_dependency);
    else
        store_cancellation(job);
}

// A launch was sent and its outcome is not known: the machine may still carry it out.
bool ClusterState::launch_open(const Entry& entry) {
    return entry.phase == Phase::sent && !entry.seen;
}

// Whoever reads the final state may tell the user that the job is cancelled, and from then on none of its tasks may
// start. So it is stored only once no launch is open, of this leader or an earlier one: seen in a heartbeat, refused,
// ruled out by a raised fencing token, or its machine's lease has run out.
// (LateCommands: launches that came seconds late were carried out after the confirmation.)
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

Entry& ClusterState::add_entry(Machine& machine, Job& job, std::uint32_t index, std::uint64_t attempt) {
    auto& entry = *machine.entries.emplace_back(std::make_unique<Entry>());
    entry.machine = &machine;
    entry.job = &job;
    entry.index = index;
    entry.attempt = attempt;
    entry.agent_epoch = machine.agent_epoch;
    entry.fencing_token = machine.fencing_token;
    entry.placed_at = data_.now;
    entry.at_machine = machine.entries.size() - 1;
    entry.at_job = job.entries.size();
    job.entries.emplace_back(&entry);
    persistence_->added(entry);
    machine.used += job.spec.each;
    if (job.spec.shape != Shape::array)
        machine.firm += job.spec.each;
    machine.empty_since = -1;
    ++job.live;
    ++job.tasks[index].live;
    if (machine.pool)
        ++job.on_pool;
    ++job.zone_live[machine.zone < 0 ? data_.settings.zones.size() : static_cast<std::size_t>(machine.zone)];
    if (job.team >= 0)
        data_.teams[static_cast<std::size_t>(job.team)].used += job.spec.each;
    use_image(machine, job.image, false);
    return entry;
}

void ClusterState::remove_entry(Entry& gone) {
    auto& machine = *gone.machine;
    auto& job = *gone.job;
    persistence_->removed(gone);
    if (gone.at_job + 1 < job.entries.size())
        job.entries[gone.at_job] = std::move(job.entries.back());
    job.entries[gone.at_job]->at_job = gone.at_job;
    job.entries.pop_back();
    const auto owned = std::move(machine.entries[gone.at_machine]);
    if (gone.at_machine + 1 < machine.entries.size()) {
        machine.entries[gone.at_machine] = std::move(machine.entries.back());
        machine.entries[gone.at_machine]->at_machine = gone.at_machine;
    }
    machine.entries.pop_back();
    const Entry& entry = *owned;
    if (launch_open(entry))
        launch_settled(job);
    machine.used -= job.spec.each;
    if (job.spec.shape != Shape::array)
        machine.firm -= job.spec.each;
    if (machine.entries.empty()) {
        machine.used = machine.firm = {};
        machine.empty_since = data_.now;
    }
    --job.live;
    --job.tasks[entry.index].live;
    if (job.on_pool > 0 && machine.pool)
        --job.on_pool;
    if (entry.phase == Phase::running && job.running > 0)
        --job.running;
    --job.zone_live[machine.zone < 0 ? data_.settings.zones.size() : static_cast<std::size_t>(machine.zone)];
    if (job.team >= 0)
        data_.teams[static_cast<std::size_t>(job.team)].used -= job.spec.each;
    const bool open = job.final == Final::none && !job.tasks[entry.index].done;
    if (open)
        queue_task(job, entry.index);
    // What a stale record named of an earlier attempt says nothing about this one.
    if (job.spec.shape == Shape::gang && open && entry.attempt == job.gang_attempt)
        break_gang(job);
    if (job.live == 0) {
        job.gang_breaking = false;
        if (job.final != Final::none && job.final_stored)
            persistence_->final_due(job, PersistenceListener::Urgency::done);
    }
    needs_scheduling_ = true;
}

// A gang that lost a task is stopped whole; it starts again once every old task is proven gone.
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
    entry.stop_at = -1;
    want_orders(*entry.machine);
}

void ClusterState::mark_done(Job& job, std::uint32_t index) {
    auto& task = job.tasks[index];
    if (task.done)
        return;
    task.done = true;
    ++job.done;
    job.had_success = true;
    job.error_streak = 0;
    job.unstored.push_back(index);
    if (job.spec.shape == Shape::gang && job.done < job.spec.tasks) {
        // A gang completes together: if one task is done, all are.
        for (auto& x : job.tasks)
            x.done = true;
        job.done = job.spec.tasks;
    }
    if (job.done == job.spec.tasks) {
        if (job.final == Final::none)
            finalize(job, Final::done);
    } else {
        persistence_->progressed(job);
    }
}

void ClusterState::task_exited(Entry& entry, const ReportedTask& t) {
    auto& machine = *entry.machine;
    auto& job = *entry.job;
    auto& task = job.tasks[entry.index];
    switch (t.cause) {
    case ExitCause::done:
        machine.failed_jobs.clear();
        // Of what an earlier leader started nobody knows how long it ran.
        if (entry.running_at >= 0 && task.saved_s <= 0 && entry.attempt >> attempt_counter_bits == data_.term)
            record_run_time(job, machine, data_.now - entry.running_at);
        mark_done(job, entry.index);
        break;
    case ExitCause::stopped:
        if (t.saved && entry.running_at >= 0)
            task.saved_s += static_cast<float>(data_.now - entry.running_at);
        break;
    case ExitCause::error:
        log(LogLine::Level::info, fmt::format("task {}/{} failed on {}", job.spec.id, entry.index, machine.id));
        job.error_machines.insert(machine.id);
        ++job.error_streak;
        if (task.failures < 200)
            ++task.failures;
        if (!job.had_success && job.error_machines.size() >= 3) {
            // The same job failing on several machines: the job is at fault. It is tried again
            // with a growing pause and takes no machine down with it.
            job.not_before = data_.now + std::min(data_.settings.lease_s * 3,
                                                  data_.settings.report_s * (1 << std::min(job.error_streak, 6)));
            for (const auto& id : job.error_machines)
                if (auto* x = find_machine(id); x != nullptr)
                    x->failed_jobs.erase(job.spec.id);
        } else {
            machine.failed_jobs.insert(job.spec.id);
            machine.avoid_until = std::max(machine.avoid_until, data_.now + data_.settings.lease_s);
            if ((machine.failed_jobs.size() >= 2 || job.had_success) && !machine.bad) {
                machine.bad = true;
                log(LogLine::Level::warning, fmt::format("machine {} fails its tasks, taken out of use", machine.id));
            }
        }
        break;
    case ExitCause::no_room:
    case ExitCause::busy:
    case ExitCause::unknown:
        log(LogLine::Level::info, fmt::format("task {}/{} refused by {}", job.spec.id, entry.index, machine.id));
        machine.avoid_until = std::max(machine.avoid_until, data_.now + data_.settings.report_s);
        job.not_before = std::max(job.not_before, data_.now + data_.settings.report_s / 3);
        break;
    default:
        break;
    }
}

void ClusterState::mark_seen(Entry& entry) {
    const bool was_open = launch_open(entry);
    entry.seen = true;
    if (was_open)
        launch_settled(*entry.job);
}

void ClusterState::update_entry(Entry& entry, const ReportedTask& task) {
    mark_seen(entry);
    const auto was = entry.phase;
    switch (task.state) {
    case TaskState::fetching:
        entry.phase = Phase::fetching;
        break;
    case TaskState::waiting:
        entry.phase = Phase::waiting;
        break;
    case TaskState::running:
        entry.phase = Phase::running;
        break;
    case TaskState::saving:
        entry.phase = Phase::saving;
        break;
    case TaskState::ended:
        break;
    }
    auto& job = *entry.job;
    if (entry.phase == Phase::running && was != Phase::running) {
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
    } else if (was == Phase::running && entry.phase != Phase::running && job.running > 0) {
        --job.running;
    }
    if (entry.phase == Phase::running || entry.phase == Phase::waiting)
        use_image(*entry.machine, job.image, true);
}

std::optional<JobView> ClusterState::job(const std::string& id) const {
    const auto it = data_.jobs.find(id);
    if (resigned_)
        return {};
    if (it == data_.jobs.end()) {
        const auto* final_state = recent_finals_.find(id);
        if (final_state == nullptr)
            return {};
        return JobView{*final_state == Final::done ? codec::status_done : codec::status_cancelled, 0, 0};
    }
    const auto& j = *it->second;
    JobView v;
    v.done = j.done;
    v.running = j.running;
    if (j.final != Final::none && j.final_stored)
        v.status = j.final == Final::done ? codec::status_done : codec::status_cancelled;
    else
        v.status = j.running > 0 ? codec::status_running : codec::status_pending;
    v.settling = j.final_sent && !j.final_stored;
    return v;
}

void ClusterState::remember_final(const Job& job) {
    recent_finals_.add(job.spec.id, job.final);
}

void ClusterState::forget_job(Job& job) {
    if (job.team >= 0)
        std::erase_if(data_.teams[static_cast<std::size_t>(job.team)].jobs, [&](const auto& x) { return x == &job; });
    forget_dependencies(job);
    data_.jobs.erase(std::string(job.spec.id));
}

// Work that arrays bring, averaged over a while: what is kept for those to come.
void ClusterState::offer(const Job& job) {
    if (job.spec.shape != Shape::array)
        return;
    auto& l = data_.learned;
    const double over = data_.average_s();
    const double left = std::exp(-(data_.now - l.offered_at) / over);
    const double more = data_.work_left(job) / over * std::exp(-std::max(0.0, data_.now - job.ready) / over);
    if (data_.now - job.ready < data_.settings.report_s) { // not one read at a failover
        l.gaps = std::min(l.gaps + 1, max_gaps);
        l.gap_s += (data_.now - l.offered_at - l.gap_s) / l.gaps;
    }
    l.offered = l.offered * left + more;
    l.offered_ordinary = l.offered_ordinary * left + (job.spec.spot ? 0 : more);
    l.offered_at = data_.now;
}

// Tasks of one job take much the same time, so the longest of those that are through tells what is
// too long, long before any estimate would.
void ClusterState::record_run_time(Job& job, const Machine& machine, double ran) {
    if (job.spec.shape != Shape::array)
        return;
    if (job.spec.estimate_s > 0) {
        // On some days most estimates are too low: sums, since single ones are often wrong by half.
        auto& l = data_.learned;
        l.ran_s = 0.995 * l.ran_s + std::min(ran, 5 * job.spec.estimate_s);
        l.estimated_s = 0.995 * l.estimated_s + job.spec.estimate_s;
    }
    ++job.runs;
    job.run_sum += ran;
    if (data_.now >= machine.slow_until)
        job.longest_run = std::max(job.longest_run, ran);
}

} // namespace heronshift::cluster
