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
    for (const auto& t : settings.teams)
        data_.teams.push_back({t, {}, {}});
}

Job* ClusterState::find_job(const std::string& id) {
    const auto it = data_.jobs.find(id);
    return it == data_.jobs.end() ? nullptr : it->second.get();
}

void ClusterState::add_job(JobStored& c) {
    if (data_.jobs.contains(c.spec.id) || recent_finals_.contains(c.spec.id))
        return;
    auto j = std::make_unique<Job>();
    j->spec = std::move(c.spec);
    j->submitted = data_.now - c.age_s;
    j->ready = data_.now - (c.ready_age_s >= 0 ? c.ready_age_s : c.age_s);
    j->priority = j->spec.priority;
    j->zone_live.resize(data_.settings.zones.size() + 1);
    if (j->spec.shape == Shape::service)
        for (const auto& o : data_.settings.objectives)
            if (o.kind == "wait" && o.job_class == j->spec.job_class)
                j->start_within_s = o.within_s;
    j->image = image_id(j->spec.image, j->spec.image_gb);
    for (std::size_t i = 0; i < data_.teams.size(); ++i)
        if (data_.teams[i].limits.name == j->spec.team)
            j->team = static_cast<int>(i);
    auto& stored = *j;
    persistence_->added(stored);
    data_.jobs.emplace(j->spec.id, std::move(j));
    if (const auto it = dependents_.find(stored.spec.id); it != dependents_.end())
        for (const auto& by : it->second)
            if (auto* n = find_job(by); n != nullptr)
                propagate_urgency(*n);
    if (c.waits)
        wait_for_dependencies(stored);
    else
        join(stored);
}

// In the order of their indices: in which order reports came must not decide which is next. What comes back was
// placed early, so its place is near the front.
void ClusterState::queue_task(Job& j, std::uint32_t index) {
    auto& t = j.tasks[index];
    if (t.queued || t.done || t.live > 0)
        return;
    t.queued = true;
    auto& p = j.pending;
    p.insert(p.empty() || p.back() < index ? p.end() : std::lower_bound(p.begin(), p.end(), index), index);
}

void ClusterState::cancel(const CancellationRequested& c) {
    auto* j = find_job(c.id);
    if (j == nullptr) {
        const auto v = job(c.id);
        effects_.push_back(AnswerCancellation{c.handle, v ? std::string(v->status) : std::string()});
        return;
    }
    if (j->final != Final::none && j->final_stored) {
        effects_.push_back(AnswerCancellation{
            c.handle, std::string(j->final == Final::done ? codec::status_done : codec::status_cancelled)});
        return;
    }
    j->cancels.push_back(c.handle);
    if (j->final == Final::none)
        finalize(*j, Final::cancelled);
}

void ClusterState::finalize(Job& j, Final f, bool cancelled_with_dependency) {
    j.final = f;
    // Nobody has any use for what runs after a cancellation was asked for; the answer still
    // waits for the store.
    log(0, fmt::format("job {} of class {}, {} tasks, {} {:.1f} s after it was submitted{}", j.spec.id,
                       j.spec.job_class, j.spec.tasks, f == Final::done ? "done" : "cancelled", data_.now - j.submitted,
                       j.spec.deadline_s >= 0 ? fmt::format(", due after {:.1f} s", j.spec.deadline_s) : ""));
    for (auto& e : j.entries)
        stop_entry(*e, 0);
    needs_scheduling_ = true;
    if (f != Final::cancelled)
        persistence_->final_due(j, PersistenceListener::Urgency::done);
    else if (cancelled_with_dependency)
        persistence_->final_due(j, PersistenceListener::Urgency::cancelled_with_dependency);
    else
        store_cancellation(j);
}

// A launch was sent and its outcome is not known: the machine may still carry it out.
bool ClusterState::launch_open(const Entry& e) {
    return e.phase == Phase::sent && !e.seen;
}

// Whoever reads the final state may tell the user that the job is cancelled, and from then on none of its tasks may
// start. So it is stored only once no launch is open, of this leader or an earlier one: seen in a heartbeat, refused,
// ruled out by a raised fencing token, or its machine's lease has run out.
// (LateCommands: launches that came seconds late were carried out after the confirmation.)
void ClusterState::store_cancellation(Job& j) {
    const auto open = std::count_if(j.entries.begin(), j.entries.end(), [](const auto& e) { return launch_open(*e); });
    j.open_launches = static_cast<std::uint32_t>(open);
    if (open == 0)
        persistence_->final_due(j, PersistenceListener::Urgency::cancelled);
}

void ClusterState::launch_settled(Job& j) {
    if (j.open_launches == 0)
        return;
    --j.open_launches;
    if (j.open_launches == 0)
        persistence_->final_due(j, PersistenceListener::Urgency::cancelled);
}

Entry& ClusterState::add_entry(Machine& m, Job& j, std::uint32_t index, std::uint64_t attempt) {
    auto& e = *m.entries.emplace_back(std::make_unique<Entry>());
    e.machine = &m;
    e.job = &j;
    e.index = index;
    e.attempt = attempt;
    e.agent_epoch = m.agent_epoch;
    e.fencing_token = m.fencing_token;
    e.placed_at = data_.now;
    e.at_machine = m.entries.size() - 1;
    e.at_job = j.entries.size();
    j.entries.emplace_back(&e);
    persistence_->added(e);
    m.used += j.spec.each;
    if (j.spec.shape != Shape::array)
        m.firm += j.spec.each;
    m.empty_since = -1;
    ++j.live;
    ++j.tasks[index].live;
    if (m.pool)
        ++j.on_pool;
    ++j.zone_live[m.zone < 0 ? data_.settings.zones.size() : static_cast<std::size_t>(m.zone)];
    if (j.team >= 0)
        data_.teams[static_cast<std::size_t>(j.team)].used += j.spec.each;
    use_image(m, j.image, false);
    return e;
}

void ClusterState::remove_entry(Entry& gone) {
    auto& m = *gone.machine;
    auto& j = *gone.job;
    persistence_->removed(gone);
    if (gone.at_job + 1 < j.entries.size())
        j.entries[gone.at_job] = std::move(j.entries.back());
    j.entries[gone.at_job]->at_job = gone.at_job;
    j.entries.pop_back();
    const auto owned = std::move(m.entries[gone.at_machine]);
    if (gone.at_machine + 1 < m.entries.size()) {
        m.entries[gone.at_machine] = std::move(m.entries.back());
        m.entries[gone.at_machine]->at_machine = gone.at_machine;
    }
    m.entries.pop_back();
    const Entry& e = *owned;
    if (launch_open(e))
        launch_settled(j);
    m.used -= j.spec.each;
    if (j.spec.shape != Shape::array)
        m.firm -= j.spec.each;
    if (m.entries.empty()) {
        m.used = m.firm = {};
        m.empty_since = data_.now;
    }
    --j.live;
    --j.tasks[e.index].live;
    if (j.on_pool > 0 && m.pool)
        --j.on_pool;
    if (e.phase == Phase::running && j.running > 0)
        --j.running;
    --j.zone_live[m.zone < 0 ? data_.settings.zones.size() : static_cast<std::size_t>(m.zone)];
    if (j.team >= 0)
        data_.teams[static_cast<std::size_t>(j.team)].used -= j.spec.each;
    const bool open = j.final == Final::none && !j.tasks[e.index].done;
    if (open)
        queue_task(j, e.index);
    // What a stale record named of an earlier attempt says nothing about this one.
    if (j.spec.shape == Shape::gang && open && e.attempt == j.gang_attempt)
        break_gang(j);
    if (j.live == 0) {
        j.gang_breaking = false;
        if (j.final != Final::none && j.final_stored)
            persistence_->final_due(j, PersistenceListener::Urgency::done);
    }
    needs_scheduling_ = true;
}

// A gang that lost a task is stopped whole; it starts again once every old task is proven gone.
void ClusterState::break_gang(Job& j) {
    if (j.gang_breaking || j.live == 0)
        return;
    j.gang_breaking = true;
    for (auto& e : j.entries)
        stop_entry(*e, 0);
}

void ClusterState::stop_entry(Entry& e, double drain_s) {
    if (e.stop && e.drain_s <= drain_s)
        return;
    e.stop = true;
    e.drain_s = drain_s;
    e.stop_at = -1;
    want_orders(*e.machine);
}

void ClusterState::mark_done(Job& j, std::uint32_t index) {
    auto& t = j.tasks[index];
    if (t.done)
        return;
    t.done = true;
    ++j.done;
    j.had_success = true;
    j.error_streak = 0;
    j.unstored.push_back(index);
    if (j.spec.shape == Shape::gang && j.done < j.spec.tasks) {
        // A gang completes together: if one task is done, all are.
        for (auto& x : j.tasks)
            x.done = true;
        j.done = j.spec.tasks;
    }
    if (j.done == j.spec.tasks) {
        if (j.final == Final::none)
            finalize(j, Final::done);
    } else {
        persistence_->progressed(j);
    }
}

void ClusterState::task_exited(Entry& e, const ReportedTask& t) {
    auto& m = *e.machine;
    auto& j = *e.job;
    auto& task = j.tasks[e.index];
    switch (t.cause) {
    case ExitCause::done:
        m.failed_jobs.clear();
        // Of what an earlier leader started nobody knows how long it ran.
        if (e.running_at >= 0 && task.saved_s <= 0 && e.attempt >> attempt_counter_bits == data_.term)
            record_run_time(j, m, data_.now - e.running_at);
        mark_done(j, e.index);
        break;
    case ExitCause::stopped:
        if (t.saved && e.running_at >= 0)
            task.saved_s += static_cast<float>(data_.now - e.running_at);
        break;
    case ExitCause::error:
        log(1, fmt::format("task {}/{} failed on {}", j.spec.id, e.index, m.id));
        j.error_machines.insert(m.id);
        ++j.error_streak;
        if (task.failures < 200)
            ++task.failures;
        if (!j.had_success && j.error_machines.size() >= 3) {
            // The same job failing on several machines: the job is at fault. It is tried again
            // with a growing pause and takes no machine down with it.
            j.not_before = data_.now + std::min(data_.settings.lease_s * 3,
                                                data_.settings.report_s * (1 << std::min(j.error_streak, 6)));
            for (const auto& id : j.error_machines)
                if (auto* x = find_machine(id); x != nullptr)
                    x->failed_jobs.erase(j.spec.id);
        } else {
            m.failed_jobs.insert(j.spec.id);
            m.avoid_until = std::max(m.avoid_until, data_.now + data_.settings.lease_s);
            if ((m.failed_jobs.size() >= 2 || j.had_success) && !m.bad) {
                m.bad = true;
                log(2, fmt::format("machine {} fails its tasks, taken out of use", m.id));
            }
        }
        break;
    case ExitCause::no_room:
    case ExitCause::busy:
    case ExitCause::unknown:
        log(1, fmt::format("task {}/{} refused by {}", j.spec.id, e.index, m.id));
        m.avoid_until = std::max(m.avoid_until, data_.now + data_.settings.report_s);
        j.not_before = std::max(j.not_before, data_.now + data_.settings.report_s / 3);
        break;
    default:
        break;
    }
}

void ClusterState::mark_seen(Entry& e) {
    const bool was_open = launch_open(e);
    e.seen = true;
    if (was_open)
        launch_settled(*e.job);
}

void ClusterState::update_entry(Entry& e, const ReportedTask& t) {
    mark_seen(e);
    const auto was = e.phase;
    switch (t.state) {
    case TaskState::fetching:
        e.phase = Phase::fetching;
        break;
    case TaskState::waiting:
        e.phase = Phase::waiting;
        break;
    case TaskState::running:
        e.phase = Phase::running;
        break;
    case TaskState::saving:
        e.phase = Phase::saving;
        break;
    case TaskState::ended:
        break;
    }
    auto& j = *e.job;
    if (e.phase == Phase::running && was != Phase::running) {
        ++j.running;
        if (e.running_at < 0) {
            e.running_at = data_.now;
            log(0, fmt::format("task {}/{} runs on {}, {:.1f} s after it was placed, {:.1f} s after its job was ready",
                               j.spec.id, e.index, e.machine->id, data_.now - e.placed_at, data_.now - j.ready));
        }
        if (j.first_start < 0)
            j.first_start = data_.now;
    } else if (was == Phase::running && e.phase != Phase::running && j.running > 0) {
        --j.running;
    }
    if (e.phase == Phase::running || e.phase == Phase::waiting)
        use_image(*e.machine, j.image, true);
}

std::optional<JobView> ClusterState::job(const std::string& id) const {
    const auto it = data_.jobs.find(id);
    if (resigned_)
        return {};
    if (it == data_.jobs.end()) {
        const auto* r = recent_finals_.find(id);
        if (r == nullptr)
            return {};
        return JobView{*r == Final::done ? codec::status_done : codec::status_cancelled, 0, 0};
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

void ClusterState::remember_final(const Job& j) {
    recent_finals_.add(j.spec.id, j.final);
}

void ClusterState::forget_job(Job& j) {
    if (j.team >= 0)
        std::erase_if(data_.teams[static_cast<std::size_t>(j.team)].jobs, [&](const auto& x) { return x == &j; });
    forget_dependencies(j);
    data_.jobs.erase(std::string(j.spec.id));
}

// Work that arrays bring, averaged over a while: what is kept for those to come.
void ClusterState::offer(const Job& j) {
    if (j.spec.shape != Shape::array)
        return;
    auto& l = data_.learned;
    const double over = data_.average_s();
    const double left = std::exp(-(data_.now - l.offered_at) / over);
    const double more = data_.work_left(j) / over * std::exp(-std::max(0.0, data_.now - j.ready) / over);
    if (data_.now - j.ready < data_.settings.report_s) { // not one read at a failover
        l.gaps = std::min(l.gaps + 1, max_gaps);
        l.gap_s += (data_.now - l.offered_at - l.gap_s) / l.gaps;
    }
    l.offered = l.offered * left + more;
    l.offered_ordinary = l.offered_ordinary * left + (j.spec.spot ? 0 : more);
    l.offered_at = data_.now;
}

// Tasks of one job take much the same time, so the longest of those that are through tells what is
// too long, long before any estimate would.
void ClusterState::record_run_time(Job& j, const Machine& m, double ran) {
    if (j.spec.shape != Shape::array)
        return;
    if (j.spec.estimate_s > 0) {
        // On some days most estimates are too low: sums, since single ones are often wrong by half.
        auto& l = data_.learned;
        l.ran_s = 0.995 * l.ran_s + std::min(ran, 5 * j.spec.estimate_s);
        l.estimated_s = 0.995 * l.estimated_s + j.spec.estimate_s;
    }
    ++j.runs;
    j.run_sum += ran;
    if (data_.now >= m.slow_until)
        j.longest_run = std::max(j.longest_run, ran);
}

} // namespace heronshift::cluster
