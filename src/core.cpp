#include "heronshift/core.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace heronshift {
namespace {

// Steady clocks drift apart by up to 0.05%; four times that, and some for timer steps.
constexpr double drift = 1.002;
constexpr double lapse_margin_reports = 0.2; // of report_s

std::string ranges_of(const std::vector<bool>& bits, std::size_t most_bytes) {
    std::string out;
    for (std::size_t i = 0; i < bits.size();) {
        if (!bits[i]) {
            ++i;
            continue;
        }
        std::size_t j = i;
        while (j + 1 < bits.size() && bits[j + 1]) ++j;
        if (out.size() + 14 > most_bytes) break; // what is left out is only run again
        if (!out.empty()) out += ',';
        out += i == j ? std::to_string(i) : fmt::format("{}-{}", i, j);
        i = j + 1;
    }
    return out;
}

template <class F> void each_in_ranges(const std::string& text, F f) {
    std::size_t at = 0;
    while (at < text.size()) {
        char* end = nullptr;
        const auto a = std::strtoul(text.c_str() + at, &end, 10);
        auto b = a;
        if (end == text.c_str() + at) return;
        if (*end == '-') {
            const char* from = end + 1;
            b = std::strtoul(from, &end, 10);
        }
        for (auto i = a; i <= b && i < 1'000'000; ++i) f(static_cast<std::uint32_t>(i));
        at = static_cast<std::size_t>(end - text.c_str()) + 1;
    }
}

} // namespace

Core::Core(const Settings& settings, std::uint64_t term, const Snapshot& stored, double now, double wall)
    : s_(settings), term_(term), now_(now), wall_(wall), started_(now), tokens_at_(now) {
    for (const auto& t : s_.teams) teams_.push_back({t, {}, {}});
    write_tokens_ = s_.txn_ops;
    load(stored, wall);
    next_round_ = now + s_.ops.round_s;
}

void Core::load(const Snapshot& stored, double wall) {
    for (const auto& i : stored.jobs) {
        if (!i.value.is_object() || !i.value.contains("spec")) continue;
        auto spec = codec::spec_from_store(i.value["spec"]);
        if (!spec) continue;
        const double at = i.value.value("at", wall);
        JobStored c{std::move(*spec), std::max(0.0, wall - at)};
        handle(c);
    }
    for (const auto& i : stored.progress) {
        auto* j = find_job(i.key.substr(2));
        if (j == nullptr || !i.value.is_object()) continue;
        j->has_record = true;
        each_in_ranges(i.value.value("done", std::string()), [&](std::uint32_t k) {
            if (k >= j->tasks.size() || j->tasks[k].done) return;
            j->tasks[k].done = j->tasks[k].stored = true;
            ++j->done;
            j->had_success = true; // else a faulty machine is told from a bad job too late
        });
        const auto f = i.value.value("final", std::string());
        if (!f.empty()) {
            j->final = f == codec::status_done ? Final::done : Final::cancelled;
            j->final_stored = true;
            if (j->final == Final::done) j->done = j->spec.tasks;
        } else if (j->done == j->spec.tasks) {
            finalize(*j, Final::done);
        }
    }
    for (const auto& i : stored.machines) {
        const auto id = i.key.substr(2);
        const auto& v = i.value;
        if (!v.is_object()) continue;
        auto& m = learn_machine(id, v.value("addr", ""), v.value("flavor", ""), v.value("yard", ""),
                                v.value("standby", false));
        m.recorded = true;
        m.tenure = v.value("tenure", std::uint64_t{0});
        // Whoever was entitled before us may have answered this machine until the moment we took
        // office, so its lease counts from there.
        m.last_seen = now_;
        m.status = Status::up;
        m.up_since = now_ - v.value("age", 0.0);
        if (v.contains("img") && v["img"].is_array())
            for (const auto& e : v["img"])
                if (e.is_string()) m.images[e.get<std::string>()] = now_;
        if (!v.contains("tasks") || !v["tasks"].is_array()) continue;
        for (const auto& e : v["tasks"]) {
            if (!e.is_string()) continue;
            const auto text = e.get<std::string>();
            const auto colon = text.rfind(':');
            std::string job;
            std::uint32_t index = 0;
            if (colon == std::string::npos || !codec::split_task(text.substr(0, colon), job, index)) continue;
            auto* j = find_job(job);
            // The record of a job goes only when none of its tasks is left anywhere.
            if (j == nullptr || index >= j->tasks.size()) continue;
            auto& entry = add_entry(m, *j, index, std::strtoull(text.c_str() + colon + 1, nullptr, 10));
            entry.phase = Phase::sent;
            // Only a report that has seen our own term proves anything: one from before the launch
            // may arrive late, and we have no count of this machine's to tell.
            entry.fence = (term_ << fence_bits) - 1;
            entry.tenure = m.tenure;
            if (j->final != Final::none) stop_entry(m, entry, 0);
        }
    }
    for (auto& [id, j] : jobs_) {
        if (j->spec.shape == Shape::gang && j->live > 0) {
            for (auto& [mid, m] : machines_)
                for (auto& e : m->entries)
                    if (e.job == j.get()) j->gang_try = std::max(j->gang_try, e.try_no);
            if (j->live < j->spec.tasks - j->done) break_gang(*j);
        }
        if (j->final != Final::none && j->live == 0 && !j->final_queued) {
            j->final_queued = true;
            finals_.push_back(j.get());
        }
    }
    dirty_ = true;
}

Core::Job* Core::find_job(const std::string& id) {
    const auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : it->second.get();
}

Core::Machine* Core::find_machine(const std::string& id) {
    const auto it = machines_.find(id);
    return it == machines_.end() ? nullptr : it->second.get();
}

void Core::bind_type(Machine& m) {
    for (std::size_t i = 0; i < types_.size(); ++i)
        if (types_[i].name == m.type_name) {
            m.type = static_cast<int>(i);
            m.whole = types_[i].room;
        }
    for (std::size_t i = 0; i < s_.zones.size(); ++i)
        if (s_.zones[i] == m.zone_name) m.zone = static_cast<int>(i);
}

Core::Machine& Core::learn_machine(const std::string& id, const std::string& addr, const std::string& type,
                                   const std::string& zone, bool spot) {
    auto& slot = machines_[id];
    if (!slot) {
        slot = std::make_unique<Machine>();
        slot->id = id;
        slot->known_since = now_;
        slot->fence = term_ << fence_bits;
        slot->type_name = type;
        slot->zone_name = zone;
        slot->spot = spot;
    }
    if (!addr.empty()) slot->addr = addr;
    if (slot->type_name.empty()) slot->type_name = type;
    if (slot->zone_name.empty()) slot->zone_name = zone;
    if (slot->type < 0 || slot->zone < 0) bind_type(*slot);
    return *slot;
}

std::vector<Effect> Core::step(std::vector<Command>& commands, double now, double wall) {
    now_ = now;
    wall_ = wall;
    effects_.clear();
    for (auto& c : commands) std::visit([this](auto& x) { handle(x); }, c);
    commands.clear();
    if (now_ >= next_tick_) {
        next_tick_ = now_ + s_.report_s / 10;
        lapse_machines();
        drain_noticed();
        dirty_ = true;
    }
    // A pass over what waits costs time: events gather for a moment first.
    if (dirty_ && now_ >= next_schedule_) {
        dirty_ = false;
        next_schedule_ = now_ + s_.report_s / 60;
        schedule();
    }
    if (now_ >= next_rent_) {
        next_rent_ = now_ + s_.report_s / 3;
        plan_capacity();
        return_machines();
    }
    if (now_ >= next_round_) {
        next_round_ = now_ + s_.ops.round_s;
        plan_round();
    }
    collect_commit();
    for (auto& [id, m] : machines_)
        if (m->wants_orders && m->batch == 0) dispatch(*m);
    wake_at_ = next_tick_;
    if (!txn_open_ && (!finals_.empty() || !record_queue_.empty()))
        wake_at_ = std::min(wake_at_, now_ + 2 / s_.state_write_rps); // as soon as the budget allows
    if (dirty_) wake_at_ = std::min(wake_at_, next_schedule_);
    return std::move(effects_);
}

void Core::handle(JobStored& c) {
    if (jobs_.contains(c.spec.id) || recent_.contains(c.spec.id)) return;
    auto j = std::make_unique<Job>();
    j->spec = std::move(c.spec);
    j->submitted = now_ - c.age_s;
    j->tasks.resize(j->spec.tasks);
    j->zone_live.resize(s_.zones.size() + 1);
    for (std::size_t i = 0; i < teams_.size(); ++i)
        if (teams_[i].limits.name == j->spec.team) j->team = static_cast<int>(i);
    if (j->team >= 0) teams_[static_cast<std::size_t>(j->team)].jobs.push_back(j.get());
    for (std::uint32_t i = 0; i < j->spec.tasks; ++i) queue_task(*j, i, false);
    jobs_.emplace(j->spec.id, std::move(j));
    dirty_ = true;
}

void Core::queue_task(Job& j, std::uint32_t index, bool front) {
    auto& t = j.tasks[index];
    if (t.queued || t.done || t.live > 0) return;
    t.queued = true;
    if (front)
        j.pending.push_front(index);
    else
        j.pending.push_back(index);
}

void Core::handle(CancelAsked& c) {
    auto* j = find_job(c.id);
    if (j == nullptr) {
        const auto v = view(c.id);
        effects_.push_back(CancelAnswer{c.handle, v ? std::string(v->status) : std::string()});
        return;
    }
    if (j->final != Final::none && j->final_stored) {
        effects_.push_back(CancelAnswer{
            c.handle, std::string(j->final == Final::done ? codec::status_done : codec::status_cancelled)});
        return;
    }
    j->cancels.push_back(c.handle);
    if (j->final == Final::none) finalize(*j, Final::cancelled);
}

void Core::finalize(Job& j, Final f) {
    j.final = f;
    if (!j.final_queued) {
        j.final_queued = true;
        if (f == Final::cancelled)
            finals_.push_front(&j);
        else
            finals_.push_back(&j);
    }
    // Nobody has any use for what runs after a cancellation was asked for; the answer still
    // waits for the store.
    for (auto& [id, m] : machines_)
        for (auto& e : m->entries)
            if (e.job == &j) stop_entry(*m, e, 0);
    dirty_ = true;
}

Core::Entry& Core::add_entry(Machine& m, Job& j, std::uint32_t index, std::uint64_t try_no) {
    Entry e;
    e.job = &j;
    e.index = index;
    e.try_no = try_no;
    e.tenure = m.tenure;
    e.fence = m.fence;
    e.placed_at = now_;
    m.entries.push_back(e);
    m.used += j.spec.each;
    m.empty_since = -1;
    ++j.live;
    ++j.tasks[index].live;
    if (is_pool(m)) ++j.on_pool;
    ++j.zone_live[m.zone < 0 ? s_.zones.size() : static_cast<std::size_t>(m.zone)];
    if (j.team >= 0) teams_[static_cast<std::size_t>(j.team)].used += j.spec.each;
    return m.entries.back();
}

void Core::remove_entry(Machine& m, std::size_t at) {
    const Entry e = m.entries[at];
    m.entries.erase(m.entries.begin() + static_cast<std::ptrdiff_t>(at));
    auto& j = *e.job;
    m.used -= j.spec.each;
    if (m.entries.empty()) {
        m.used = {};
        m.empty_since = now_;
    }
    m.record_stale = true;
    --j.live;
    --j.tasks[e.index].live;
    if (j.on_pool > 0 && is_pool(m)) --j.on_pool;
    if (e.phase == Phase::running && j.running > 0) --j.running;
    --j.zone_live[m.zone < 0 ? s_.zones.size() : static_cast<std::size_t>(m.zone)];
    if (j.team >= 0) teams_[static_cast<std::size_t>(j.team)].used -= j.spec.each;
    if (j.final == Final::none && !j.tasks[e.index].done) queue_task(j, e.index, true);
    if (j.spec.shape == Shape::gang && j.final == Final::none && !j.tasks[e.index].done) break_gang(j);
    if (j.live == 0) {
        j.gang_breaking = false;
        j.gang_started = false;
        if (j.final != Final::none && j.final_stored && !j.final_queued) {
            j.final_queued = true;
            finals_.push_back(&j);
        }
    }
    dirty_ = true;
}

// A gang that lost a task is stopped whole; it starts again once every old task is proven gone.
void Core::break_gang(Job& j) {
    if (j.gang_breaking || j.live == 0) return;
    j.gang_breaking = true;
    for (auto& [id, m] : machines_)
        for (auto& e : m->entries)
            if (e.job == &j) stop_entry(*m, e, 0);
}

void Core::stop_entry(Machine& m, Entry& e, double drain_s) {
    if (e.stop && e.drain_s <= drain_s) return;
    e.stop = true;
    e.drain_s = drain_s;
    e.stop_at = -1;
    m.wants_orders = true;
}

bool Core::may_reap(const ReportedTask& t) {
    if (t.cause != ExitCause::done) return true;
    const auto* j = find_job(t.job);
    if (j == nullptr || j->final != Final::none) return true;
    return t.index >= j->tasks.size() || j->tasks[t.index].stored;
}

void Core::mark_done(Job& j, std::uint32_t index) {
    auto& t = j.tasks[index];
    if (t.done) return;
    t.done = true;
    ++j.done;
    j.had_success = true;
    j.error_streak = 0;
    j.unstored.push_back(index);
    if (j.spec.shape == Shape::gang && j.done < j.spec.tasks) {
        // A gang completes together: if one task is done, all are.
        for (auto& x : j.tasks) x.done = true;
        j.done = j.spec.tasks;
    }
    if (j.done == j.spec.tasks) {
        if (j.final == Final::none) finalize(j, Final::done);
    } else if (!j.progress_queued) {
        j.progress_queued = true;
        j.progress_since = now_;
        progress_.push_back(&j);
    }
}

void Core::task_exited(Machine& m, const Entry& e, const ReportedTask& t) {
    auto& j = *e.job;
    auto& task = j.tasks[e.index];
    switch (t.cause) {
    case ExitCause::done:
        m.failed_jobs.clear();
        if (e.running_at >= 0 && j.spec.estimate_s > 0 && !j.spec.checkpoint_s)
            m.slow = 0.8 * m.slow + 0.2 * std::clamp((now_ - e.running_at) / j.spec.estimate_s, 0.2, 5.0);
        mark_done(j, e.index);
        break;
    case ExitCause::stopped:
        if (t.saved && e.running_at >= 0) task.saved_s += static_cast<float>(now_ - e.running_at);
        break;
    case ExitCause::error:
        note(1, fmt::format("task {}/{} failed on {}", j.spec.id, e.index, m.id));
        j.error_machines.insert(m.id);
        ++j.error_streak;
        if (task.failures < 200) ++task.failures;
        if (!j.had_success && j.error_machines.size() >= 3) {
            // The same job failing on several machines: the job is at fault. It is tried again
            // with a growing pause and takes no machine down with it.
            j.not_before = now_ + std::min(s_.lease_s * 3, s_.report_s * (1 << std::min(j.error_streak, 6)));
            for (const auto& id : j.error_machines)
                if (auto* x = find_machine(id); x != nullptr) x->failed_jobs.erase(j.spec.id);
        } else {
            m.failed_jobs.insert(j.spec.id);
            m.avoid_until = std::max(m.avoid_until, now_ + s_.lease_s);
            if ((m.failed_jobs.size() >= 2 || j.had_success) && !m.bad) {
                m.bad = true;
                note(2, fmt::format("machine {} fails its tasks, taken out of use", m.id));
            }
        }
        break;
    case ExitCause::no_room:
    case ExitCause::busy:
    case ExitCause::unknown:
        note(1, fmt::format("task {}/{} refused by {}", j.spec.id, e.index, m.id));
        m.avoid_until = std::max(m.avoid_until, now_ + s_.report_s);
        j.not_before = std::max(j.not_before, now_ + s_.report_s / 3);
        break;
    default: break;
    }
}

void Core::update_entry(Machine& m, Entry& e, const ReportedTask& t) {
    e.seen = true;
    const auto was = e.phase;
    switch (t.state) {
    case TaskState::fetching: e.phase = Phase::fetching; break;
    case TaskState::waiting: e.phase = Phase::waiting; break;
    case TaskState::running: e.phase = Phase::running; break;
    case TaskState::saving: e.phase = Phase::saving; break;
    case TaskState::ended: break;
    }
    auto& j = *e.job;
    if (e.phase == Phase::running && was != Phase::running) {
        ++j.running;
        if (e.running_at < 0) e.running_at = now_;
        if (j.first_start < 0) j.first_start = now_;
    } else if (was == Phase::running && e.phase != Phase::running && j.running > 0) {
        --j.running;
    }
    if (e.phase == Phase::running || e.phase == Phase::waiting) m.images[j.spec.image] = now_;
}

// Returns false when the report shows that we are out of date.
bool Core::apply_report(Machine& m, const Report& r, std::vector<Order>& reaps) {
    if (r.fence > m.fence) {
        if (r.fence >> fence_bits > term_) {
            stepped_down_ = true;
            effects_.push_back(StepDown{fmt::format("{} has seen fence {} above ours", m.id, r.fence)});
            return false;
        }
        if (r.fence >> fence_bits == term_) m.fence = r.fence;
    }
    const bool newer = r.tenure > m.tenure || (r.tenure == m.tenure && r.counter > m.counter);
    if (!newer) return true; // late: its task list is as old as the report
    if (r.tenure > m.tenure) {
        // A new tenure: all tasks of the earlier ones are gone, and commands for those are void.
        for (std::size_t i = m.entries.size(); i-- > 0;)
            if (m.entries[i].tenure < r.tenure) {
                ++lost_;
                remove_entry(m, i);
            }
        m.tenure = r.tenure;
        m.failed_jobs.clear();
    }
    m.counter = r.counter;
    if (m.status != Status::up) {
        m.status = Status::up;
        if (m.up_since < 0) m.up_since = now_;
        if (m.entries.empty()) m.empty_since = now_;
        dirty_ = true;
    }
    std::vector<bool> listed(m.entries.size(), false);
    std::vector<std::size_t> ended;
    std::vector<const ReportedTask*> ended_as;
    for (const auto& t : r.tasks) {
        std::size_t at = m.entries.size();
        for (std::size_t i = 0; i < m.entries.size(); ++i) {
            const auto& e = m.entries[i];
            if (e.index == t.index && e.try_no == t.try_no && e.job->spec.id == t.job) at = i;
        }
        if (t.state == TaskState::ended) {
            if (at < m.entries.size()) {
                ended.push_back(at);
                ended_as.push_back(&t);
                if (at < listed.size()) listed[at] = true;
            } else if (auto* j = find_job(t.job); j != nullptr && t.cause == ExitCause::done &&
                                                  t.index < j->tasks.size() && j->final == Final::none) {
                mark_done(*j, t.index);
            }
            if (at == m.entries.size() && may_reap(t)) reaps.push_back({Verb::reap, t.job, t.index, t.try_no, 0});
            continue;
        }
        if (at < m.entries.size()) {
            update_entry(m, m.entries[at], t);
            if (at < listed.size()) listed[at] = true;
            continue;
        }
        // A task that we do not know to be here. It occupies its place all the same.
        auto* j = find_job(t.job);
        if (j == nullptr || t.index >= j->tasks.size()) {
            reaps.push_back({Verb::stop, t.job, t.index, t.try_no, 0});
            continue;
        }
        const bool wanted = j->final == Final::none && !j->tasks[t.index].done && j->tasks[t.index].live == 0 &&
                            (j->spec.shape != Shape::gang || j->gang_try == t.try_no);
        auto& e = add_entry(m, *j, t.index, t.try_no);
        update_entry(m, e, t);
        if (!wanted) stop_entry(m, e, 0);
        listed.push_back(true);
    }
    // What is not listed is gone if it had been seen here before, or if the machine had by then
    // seen a fence above that of its launch, which can therefore no longer be executed.
    std::vector<std::size_t> gone;
    for (std::size_t i = 0; i < m.entries.size(); ++i) {
        const auto& e = m.entries[i];
        const bool was_sent = e.phase >= Phase::sent;
        if (i < listed.size() && listed[i]) continue;
        if (was_sent && (e.seen || r.fence > e.fence)) gone.push_back(i);
    }
    for (std::size_t k = 0; k < ended.size(); ++k) task_exited(m, m.entries[ended[k]], *ended_as[k]);
    for (const auto i : ended) gone.push_back(i);
    std::sort(gone.begin(), gone.end());
    gone.erase(std::unique(gone.begin(), gone.end()), gone.end());
    for (std::size_t k = gone.size(); k-- > 0;) remove_entry(m, gone[k]);
    for (const auto* t : ended_as)
        if (may_reap(*t)) reaps.push_back({Verb::reap, t->job, t->index, t->try_no, 0});
    if (r.notice_s >= 0 && !m.draining) {
        m.draining = true;
        m.notice_until = now_ + r.notice_s;
        note(1, fmt::format("machine {} is taken back in {:.0f} s", m.id, r.notice_s));
        dirty_ = true;
    }
    return true;
}

std::vector<Order> Core::standing_orders(Machine& m) {
    std::vector<Order> out;
    for (auto& e : m.entries)
        if (e.stop && e.phase >= Phase::sent) {
            // A second stop of a saving task with no grace would end it before it has saved.
            if (e.phase == Phase::saving && e.drain_s > 0) continue;
            e.stop_at = now_;
            out.push_back({Verb::stop, e.job->spec.id, e.index, e.try_no, e.drain_s});
        }
    return out;
}

void Core::handle(Beat& c) {
    const auto& r = c.report;
    if (released_.contains(r.machine)) { // a report that was held on the way
        effects_.push_back(BeatAnswer{c.handle, 503, 0, {}});
        return;
    }
    auto& m = learn_machine(r.machine, r.addr, r.type, r.zone, r.spot);
    std::vector<Order> orders;
    if (!apply_report(m, r, orders)) {
        effects_.push_back(BeatAnswer{c.handle, 503, 0, {}});
        return;
    }
    m.last_seen = std::max(m.last_seen, now_);
    auto stops = standing_orders(m);
    orders.insert(orders.end(), stops.begin(), stops.end());
    effects_.push_back(BeatAnswer{c.handle, 200, m.fence, std::move(orders)});
}

void Core::dispatch(Machine& m) {
    m.wants_orders = false;
    SendOrders o;
    std::vector<std::pair<std::uint32_t, const Job*>> launches;
    for (auto& e : m.entries) {
        if (o.orders.size() >= 200) {
            m.wants_orders = true;
            break;
        }
        if (e.stop && e.phase >= Phase::sent && e.stop_at < 0) {
            e.stop_at = now_;
            o.orders.push_back({Verb::stop, e.job->spec.id, e.index, e.try_no, e.drain_s});
        }
    }
    for (std::size_t i = m.entries.size(); i-- > 0;) {
        auto& e = m.entries[i];
        if (e.phase != Phase::stored) continue;
        // Never sent, so it is surely not there.
        if (e.stop || e.tenure != m.tenure || m.status != Status::up || e.job->final != Final::none) {
            remove_entry(m, i);
            continue;
        }
        if (o.orders.size() >= 200) {
            m.wants_orders = true;
            continue;
        }
        // Each launch is sent once: repeated after a reap it would start the task again.
        e.phase = Phase::sent;
        e.fence = m.fence;
        ++launched_;
        o.orders.push_back({Verb::launch, e.job->spec.id, e.index, e.try_no, 0});
    }
    if (o.orders.empty()) return;
    o.machine = m.id;
    o.addr = m.addr;
    o.batch = m.batch = ++batch_seq_;
    o.fence = m.fence;
    o.tenure = m.tenure;
    effects_.push_back(std::move(o));
}

void Core::handle(OrdersAnswered& c) {
    auto* m = find_machine(c.machine);
    if (m == nullptr || m->batch != c.batch) return;
    m->batch = 0;
    m->wants_orders = true;
    const auto fence = m->fence;
    auto outstanding = [&](const Entry& e) { return e.phase == Phase::sent && !e.seen && e.fence == fence; };
    std::vector<Order> reaps;
    if (c.status == 200 && c.report && c.report->tenure == m->tenure) {
        // The body is the report after the commands: what it does not list did not start.
        for (auto& e : m->entries)
            if (outstanding(e) && c.report->counter > m->counter) e.seen = true;
        apply_report(*m, *c.report, reaps);
        // A newer report overtook this answer without settling a launch: raise the fence.
        if (std::any_of(m->entries.begin(), m->entries.end(), outstanding)) ++m->fence;
        return;
    }
    if (c.status == 409 || !c.sent) {
        for (std::size_t i = m->entries.size(); i-- > 0;)
            if (outstanding(m->entries[i])) remove_entry(*m, i);
        for (auto& e : m->entries) e.stop_at = e.stop ? now_ : e.stop_at; // beats repeat the stops
        if (!c.sent) m->avoid_until = std::max(m->avoid_until, now_ + s_.report_s / 2);
        if (c.report) apply_report(*m, *c.report, reaps);
        return;
    }
    // The outcome is open: the commands may still be executed, minutes later. Raising the fence
    // and seeing the raised value in a report proves that they no longer can be.
    ++m->fence;
    m->avoid_until = std::max(m->avoid_until, now_ + s_.report_s / 2);
    note(0, fmt::format("no answer of {} to commands, fence raised to {}", m->id, m->fence));
}

void Core::lapse_machines() {
    const double lease = s_.lease_s * drift + s_.report_s * lapse_margin_reports;
    std::vector<std::string> remove;
    for (auto& [id, mp] : machines_) {
        auto& m = *mp;
        if (m.status == Status::up && now_ > m.last_seen + lease) {
            if (!m.entries.empty()) note(2, fmt::format("lease of {} has lapsed, {} tasks lost", id, m.entries.size()));
            for (std::size_t i = m.entries.size(); i-- > 0;) {
                auto& e = m.entries[i];
                if (e.phase < Phase::sent) continue;
                ++lost_;
                remove_entry(m, i);
            }
            for (std::size_t i = m.entries.size(); i-- > 0;)
                if (m.entries[i].phase == Phase::intent || m.entries[i].phase == Phase::stored) remove_entry(m, i);
            m.status = Status::lost;
            m.empty_since = now_;
            // Else the next holder would count these tasks for a whole lease again.
            if (m.recorded) request_record(m, false);
        }
        // Gone from the list for good, or never there: nothing of it is left to keep.
        const bool unlisted = now_ - std::max(m.listed_at, m.known_since) > 4 * s_.list_lag_s + 2 * s_.lease_s;
        if (m.status != Status::up && m.entries.empty() && unlisted && m.batch == 0) remove.push_back(id);
    }
    for (const auto& id : remove) {
        if (machines_[id]->recorded) gone_records_.push_back(id);
        machines_.erase(id);
    }
}

codec::Write Core::machine_record(const Machine& m) const {
    auto tasks = codec::Json::array();
    for (const auto& e : m.entries) tasks.push_back(fmt::format("{}/{}:{}", e.job->spec.id, e.index, e.try_no));
    auto images = codec::Json::array();
    for (const auto& [image, used] : m.images)
        if (images.size() < 40) images.push_back(image);
    return {"m/" + m.id,
            codec::Json{{"addr", m.addr},
                        {"flavor", m.type_name},
                        {"yard", m.zone_name},
                        {"standby", m.spot},
                        {"tenure", m.tenure},
                        {"age", std::max(0.0, now_ - m.up_since)},
                        {"img", std::move(images)},
                        {"tasks", std::move(tasks)}},
            0};
}

// Progress and a final state that still has tasks on machines. The job's own record is written
// once by whoever accepted it and deleted when nothing of the job is left.
codec::Write Core::job_record(Job& j) const {
    j.has_record = true;
    codec::Json v = codec::Json::object();
    if (j.done > 0 && j.final != Final::done) {
        std::vector<bool> bits(j.tasks.size());
        for (std::size_t i = 0; i < bits.size(); ++i) bits[i] = j.tasks[i].done;
        v["done"] = ranges_of(bits, static_cast<std::size_t>(s_.value_kb * 1024 * 0.75));
    }
    if (j.final != Final::none) v["final"] = j.final == Final::done ? codec::status_done : codec::status_cancelled;
    return {"d/" + j.spec.id, std::move(v), 0};
}

// One transaction is in flight at a time; this builds the next of what is due, most urgent first.
void Core::collect_commit() {
    if (txn_open_ || stepped_down_) return;
    // The holder's part of the write budget; the rest is left to submissions on all nodes.
    const double rate = s_.state_write_rps * 0.7;
    write_tokens_ = std::min(write_tokens_ + (now_ - tokens_at_) * rate, s_.state_write_rps * 0.5);
    tokens_at_ = now_;
    const auto most = std::min<std::size_t>(static_cast<std::size_t>(s_.txn_ops) - 1,
                                            write_tokens_ < 2 ? 0 : static_cast<std::size_t>(write_tokens_) - 1);
    constexpr std::size_t most_bytes = 48 * 1024;
    if (most == 0) return;
    Commit c;
    std::size_t bytes = 0;
    auto full = [&](std::size_t more) { return c.writes.size() + more > most || bytes > most_bytes; };
    auto add = [&](codec::Write w) {
        bytes += w.value ? w.value->dump().size() + 100 : 100;
        c.writes.push_back(std::move(w));
    };
    auto& f = in_flight_;
    f = {};
    while (!finals_.empty() && !full(3)) {
        auto* j = finals_.front();
        finals_.pop_front();
        j->final_queued = false;
        const auto status = j->final == Final::done ? codec::status_done : codec::status_cancelled;
        if (!j->final_stored) add({"f/" + j->spec.id, codec::Json{{"s", status}}, 0});
        if (j->live == 0) {
            add({"j/" + j->spec.id, std::nullopt, 0});
            if (j->has_record) add({"d/" + j->spec.id, std::nullopt, 0});
            f.moves.emplace_back(j, j->final);
        } else if (!j->final_stored) {
            add(job_record(*j));
            f.finals.emplace_back(j, j->final);
        }
    }
    auto add_machine = [&](Machine& m) {
        m.record_due = m.record_stale = false;
        add(machine_record(m));
        f.machines.push_back(m.id);
        for (auto& e : m.entries)
            if (e.phase == Phase::intent) e.phase = Phase::storing;
    };
    while (!record_queue_.empty() && !full(1)) {
        auto* m = find_machine(record_queue_.front());
        record_queue_.pop_front();
        if (m != nullptr && m->record_due) add_machine(*m);
    }
    while (!gone_records_.empty() && !full(1)) {
        const auto id = gone_records_.front();
        gone_records_.pop_front();
        if (machines_.contains(id)) continue;
        add({"m/" + id, std::nullopt, 0});
        f.gone.push_back(id);
    }
    // Progress gathers for a while: it costs a write a job, and losing it only an image fetch.
    while (!progress_.empty() && !full(1) && now_ - progress_.front()->progress_since > s_.report_s / 3) {
        auto* j = progress_.front();
        progress_.pop_front();
        j->progress_queued = false;
        if (j->final != Final::none || j->unstored.empty()) continue;
        add(job_record(*j));
        f.progress.emplace_back(j, std::move(j->unstored));
        j->unstored.clear();
    }
    if (write_tokens_ > s_.state_write_rps * 0.25)
        for (auto& [id, m] : machines_) {
            if (full(static_cast<std::size_t>(s_.txn_ops) / 2)) break;
            // A record that names tasks long gone would keep their places after a takeover.
            if (!m->record_stale || !m->recorded) continue;
            add_machine(*m);
        }
    if (c.writes.empty()) return;
    txn_open_ = true;
    write_tokens_ -= static_cast<double>(c.writes.size()) + 1;
    effects_.push_back(std::move(c));
}

void Core::handle(Committed& c) {
    txn_open_ = false;
    auto f = std::move(in_flight_);
    in_flight_ = {};
    if (c.outcome == TxnOutcome::office_lost) {
        stepped_down_ = true;
        return;
    }
    const bool ok = c.outcome == TxnOutcome::applied;
    if (ok) ++committed_;
    auto answer = [&](Job& j) {
        for (const auto h : j.cancels)
            effects_.push_back(
                CancelAnswer{h, std::string(j.final == Final::done ? codec::status_done : codec::status_cancelled)});
        j.cancels.clear();
    };
    auto again = [&](Job& j) {
        if (j.final_queued) return;
        j.final_queued = true;
        finals_.push_back(&j);
    };
    for (auto& [j, final] : f.finals) {
        if (!ok) {
            again(*j);
            continue;
        }
        j->final_stored = true;
        answer(*j);
        if (j->live == 0) again(*j);
    }
    for (auto& [j, final] : f.moves) {
        if (!ok) {
            again(*j);
            continue;
        }
        j->final_stored = true;
        answer(*j);
        drop_job(*j);
    }
    for (auto& [j, list] : f.progress) {
        if (ok) {
            for (const auto i : list) j->tasks[i].stored = true;
        } else {
            j->unstored.insert(j->unstored.end(), list.begin(), list.end());
            if (!j->progress_queued) {
                j->progress_queued = true;
                progress_.push_back(j);
            }
        }
    }
    for (const auto& id : f.machines) {
        auto* m = find_machine(id);
        if (m == nullptr) continue;
        if (ok)
            m->recorded = true;
        else
            request_record(*m, true);
        for (auto& e : m->entries)
            if (e.phase == Phase::storing) e.phase = ok ? Phase::stored : Phase::intent;
        m->wants_orders = true;
    }
    if (!ok)
        for (const auto& id : f.gone) gone_records_.push_back(id);
}

void Core::request_record(Machine& m, bool urgent) {
    if (m.record_due && !urgent) return;
    m.record_due = true;
    if (urgent)
        record_queue_.push_front(m.id);
    else
        record_queue_.push_back(m.id);
}

// The store keeps the final state; memory only holds what is alive.
void Core::drop_job(Job& j) {
    if (recent_.emplace(j.spec.id, j.final).second) {
        recent_order_.push_back(j.spec.id);
        if (recent_order_.size() > 5000) {
            recent_.erase(recent_order_.front());
            recent_order_.pop_front();
        }
    }
    if (j.live > 0) return; // something showed up meanwhile: it is stopped first
    if (j.team >= 0) std::erase(teams_[static_cast<std::size_t>(j.team)].jobs, &j);
    std::erase(finals_, &j);
    std::erase(progress_, &j);
    jobs_.erase(std::string(j.spec.id));
}

void Core::handle(Rented& c) {
    const auto it = rentals_.find(c.claim);
    if (it == rentals_.end()) return;
    auto& p = it->second;
    p.in_flight = false;
    if (c.outcome == RentOutcome::rented) {
        for (const auto& id : c.machines) {
            auto& m = learn_machine(id, "", p.type, p.zone, p.spot);
            m.known_since = p.asked;
        }
        note(1, fmt::format("rented {} of {} {} in {}{}", c.machines.size(), p.count, p.type, p.zone,
                            p.spot ? " (spot)" : ""));
        if (static_cast<int>(c.machines.size()) < p.count)
            no_capacity_[fmt::format("{}/{}/{}", p.type, p.zone, p.spot)] = now_ + 2 * s_.report_s;
        rentals_.erase(it);
    } else if (c.outcome == RentOutcome::no_capacity) {
        no_capacity_[fmt::format("{}/{}/{}", p.type, p.zone, p.spot)] = now_ + 2 * s_.report_s;
        rentals_.erase(it);
    } else if (c.outcome == RentOutcome::failed) {
        rentals_.erase(it); // surely not executed
    } else {
        // The answer was lost: the same claim again, so that nothing is rented twice.
        p.in_flight = true;
        effects_.push_back(Rent{c.claim, p.type, p.zone, p.spot, p.count});
    }
}

void Core::handle(Released& c) {
    for (const auto& id : c.machines) {
        auto* m = find_machine(id);
        if (m == nullptr) continue;
        m->release_asked = false;
        if (!c.ok) {
            m->release_retry = now_ + s_.report_s;
            continue;
        }
        // By the time of the answer the machine and everything on it are gone.
        for (std::size_t i = m->entries.size(); i-- > 0;)
            if (m->entries[i].phase != Phase::storing) remove_entry(*m, i);
        if (!m->entries.empty()) continue; // asked again once the store has answered
        if (m->recorded) gone_records_.push_back(id);
        released_[id] = now_;
        machines_.erase(id);
    }
    while (released_.size() > 2000) released_.erase(released_.begin());
    dirty_ = true;
}

void Core::handle(Listed& c) {
    for (const auto& l : c.machines) {
        auto* known = find_machine(l.id);
        // The list lags: what was released may still be in it for a while.
        if (released_.contains(l.id)) continue;
        auto& m = learn_machine(l.id, l.addr, l.type, l.zone, l.spot);
        m.listed_at = now_;
        if (known == nullptr) m.known_since = now_ - l.age_s;
        if (l.status == "failed" && !m.releasing) {
            note(1, fmt::format("machine {} has failed", m.id));
            for (std::size_t i = m.entries.size(); i-- > 0;)
                if (m.entries[i].phase != Phase::storing) remove_entry(m, i);
            m.status = Status::lost;
            m.bad = true;
        }
    }
    dirty_ = true;
}

void Core::handle(TypesKnown& c) {
    types_ = std::move(c.types);
    for (auto& [id, m] : machines_) bind_type(*m);
    dirty_ = true;
}

std::optional<JobView> Core::view(const std::string& id) const {
    const auto it = jobs_.find(id);
    if (stepped_down_) return {};
    if (it == jobs_.end()) {
        const auto r = recent_.find(id);
        if (r == recent_.end()) return {};
        return JobView{r->second == Final::done ? codec::status_done : codec::status_cancelled, 0, 0};
    }
    const auto& j = *it->second;
    JobView v;
    v.done = j.done;
    v.running = j.running;
    if (j.final != Final::none && j.final_stored)
        v.status = j.final == Final::done ? codec::status_done : codec::status_cancelled;
    else
        v.status = j.running > 0 ? codec::status_running : codec::status_pending;
    return v;
}

std::size_t Core::live_tasks(const std::string& job) const {
    const auto it = jobs_.find(job);
    return it == jobs_.end() ? 0 : it->second->live;
}

std::string Core::metrics() const {
    std::size_t up = 0, live = 0;
    for (const auto& [id, m] : machines_) {
        up += m->status == Status::up;
        live += m->entries.size();
    }
    return fmt::format("heronshift_term {}\nheronshift_jobs {}\nheronshift_machines {}\nheronshift_machines_up {}\n"
                       "heronshift_tasks_live {}\nheronshift_launches_total {}\nheronshift_lost_total {}\n"
                       "heronshift_preempted_total {}\nheronshift_moved_total {}\nheronshift_commits_total {}\n",
                       term_, jobs_.size(), machines_.size(), up, live, launched_, lost_, preempted_, moved_,
                       committed_);
}

} // namespace heronshift
