#include "core/core.hpp"

#include "http_status.hpp"
#include "overloaded.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace heronshift {
namespace {

// How often each part of a step runs per report_s, the heartbeat interval.
constexpr double ticks_per_heartbeat = 20;
constexpr double passes_per_heartbeat = 60;
constexpr double fleet_plans_per_heartbeat = 3;
constexpr double retries_per_heartbeat = 10; // of a step while this node may not act as leader

// Number of waiting jobs up to which passes follow each other at report_s / passes_per_heartbeat; with more, passes are
// rarer.
constexpr double jobs_per_pass = 2000;
// The store is late once a transaction has had no answer for report_s / 3.
constexpr double late_store_report_divisor = 3;

struct MachineTotals {
    std::size_t up = 0, live_tasks = 0, inbound_unreachable = 0;
    double max_heartbeat_bytes = 0; // the longest list of tasks that a machine may report
};

MachineTotals machine_totals(const cluster::ClusterData& cluster) {
    MachineTotals totals;
    for (const auto& [id, machine] : cluster.machines) {
        totals.up += machine->status == cluster::MachineStatus::up;
        totals.live_tasks += machine->entries.size();
        totals.inbound_unreachable += machine->inbound_unreachable();
        totals.max_heartbeat_bytes = std::max(totals.max_heartbeat_bytes, machine->used.heartbeat_bytes);
    }
    return totals;
}

// For each class and each team, the seconds for which the oldest ready job without entries has waited.
struct OldestWaits {
    std::map<std::string, double> by_class, by_team;
};

OldestWaits oldest_waits(const cluster::ClusterData& cluster) {
    OldestWaits waits;
    for (const auto& [id, job] : cluster.jobs) {
        if (job->over() || job->waits || job->live > 0)
            continue;
        for (auto* wait : {&waits.by_class[job->spec.job_class], &waits.by_team[job->spec.team]})
            *wait = std::max(*wait, cluster.now - job->ready);
    }
    return waits;
}

// Of the effects of reading the stored records, only warnings, such as those about damaged records, are kept; the first
// step returns them (`ClusterRecords.ADamagedRecordIsNamedInTheLog`). All other effects are determined again in that
// step.
bool is_warning(const Effect& effect) {
    const auto* line = std::get_if<LogLine>(&effect);
    return line != nullptr && line->level == LogLine::Level::warning;
}

} // namespace

Core::Core(const Settings& settings, std::uint64_t term, const Snapshot& stored, double now, double wall)
    : settings_(settings), cluster_(settings, term, now, wall, effects_),
      records_(cluster_, settings, stored, wall, effects_), placement_(cluster_.view(), cluster_),
      rebalancer_(cluster_.view(), cluster_), autoscaler_(cluster_.view(), cluster_),
      next_round_(now + settings.ops.round_s) {
    std::erase_if(effects_, [](const Effect& effect) { return !is_warning(effect); });
}

void Core::apply(Command& command) {
    std::visit(Overloaded{
                   [this](JobStored& c) { cluster_.add_job(c); },
                   [this](JobFound& c) { cluster_.found(c); },
                   [this](CancellationRequested& c) { cluster_.cancel(c); },
                   [this](HeartbeatReceived& c) { cluster_.receive_heartbeat(c); },
                   [this](OrdersAnswered& c) { cluster_.answered(c); },
                   [this](Committed& c) { records_.committed(c); },
                   [this](Rented& c) { cluster_.rented(c); },
                   [this](Released& c) { cluster_.released(c); },
                   [this](MachinesListed& c) { cluster_.listed(c); },
                   [this](MachineTypesKnown& c) { cluster_.types_known(std::move(c.types)); },
               },
               command);
}

std::vector<Effect> Core::step(std::vector<Command>& commands, double now, double wall, bool may_act) {
    cluster_.set_time(now, wall);
    if (!may_act) {
        refuse_heartbeats(commands);
        wake_at_ = now + settings_.report_s / retries_per_heartbeat;
        return std::exchange(effects_, {});
    }
    for (auto& command : commands)
        apply(command);
    commands.clear();
    if (now >= next_tick_)
        tick(now);
    if (cluster_.needs_scheduling() && now >= next_schedule_)
        schedule(now);
    if (now >= next_fleet_plan_)
        adjust_fleet(now);
    if (now >= next_round_)
        rebalance(now);
    cluster_.find_dependencies();
    records_.emit_commit();
    if (records_.commit_overdue(settings_.report_s / late_store_report_divisor))
        cluster_.note_store_late();
    cluster_.send_due_orders();
    wake_at_ = next_wake(now);
    return std::exchange(effects_, {});
}

// Refuses heartbeats and leaves all other commands waiting until the leader may act again. A leader that is cut off
// from the network must not act: it would consider the machines that it receives no heartbeats from as lost and release
// them, together with the tasks that run there under its successor (docs/safety.md, 1;
// `Core.ALeaderThatMayNotActCommandsNobody`).
void Core::refuse_heartbeats(std::vector<Command>& commands) {
    std::erase_if(commands, [this](const Command& command) {
        const auto* heartbeat = std::get_if<HeartbeatReceived>(&command);
        if (heartbeat != nullptr)
            effects_.emplace_back(AnswerHeartbeat{heartbeat->handle, http_status::service_unavailable, 0, {}});
        return heartbeat != nullptr;
    });
}

void Core::tick(double now) {
    next_tick_ = now + settings_.report_s / ticks_per_heartbeat;
    cluster_.expire_leases();
    cluster_.queue_due_retries();
    placement_.stop_on_reclaimed_machines();
    placement_.check_slow_machines();
    autoscaler_.check_silent_machines();
    records_.log_overdue_records();
    cluster_.request_pass();
}

// A pass considers all waiting jobs, so several events are collected before each pass. With many waiting jobs, passes
// are rarer: without pauses between them they would occupy the event loop completely, the leader could not renew its
// lease, and it would lose the leadership (`Core.ManyWaitingJobsMakePassesRarer`).
void Core::schedule(double now) {
    cluster_.clear_scheduling_request();
    cluster_.begin_pass();
    placement_.schedule();
    const double load = static_cast<double>(placement_.waiting()) / jobs_per_pass;
    next_schedule_ = now + settings_.report_s / passes_per_heartbeat * std::max(1.0, load);
}

void Core::adjust_fleet(double now) {
    next_fleet_plan_ = now + settings_.report_s / fleet_plans_per_heartbeat;
    autoscaler_.scale_up();
    autoscaler_.scale_down();
    autoscaler_.release_machines();
}

void Core::rebalance(double now) {
    next_round_ = now + settings_.ops.round_s;
    if (!cluster_.view().types.empty())
        autoscaler_.log_fleet();
    rebalancer_.rebalance();
}

double Core::next_wake(double now) const {
    double next = next_tick_;
    if (records_.waiting())
        next = std::min(next, now + 1 / settings_.state_write_rps); // as the budget for writes allows
    if (cluster_.needs_scheduling())
        next = std::min(next, next_schedule_);
    return next;
}

std::optional<Shape> Core::shape_of(const std::string& id) const {
    const auto* job = cluster_.view().find_job(id);
    if (job == nullptr || cluster_.resigned())
        return {};
    return job->spec.shape;
}

std::size_t Core::machines_up() const {
    const auto& all = cluster_.view().machines;
    return static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(), [](const auto& m) { return m.second->status == cluster::MachineStatus::up; }));
}

std::size_t Core::live_tasks(const std::string& job) const {
    const auto* known = cluster_.view().find_job(job);
    return known == nullptr ? 0 : known->live;
}

std::vector<metrics::Value> Core::metrics() const {
    const auto& cluster = cluster_.view();
    const auto& counters = cluster_.counters();
    const auto machines = machine_totals(cluster);
    const auto waits = oldest_waits(cluster);
    const auto as_double = [](auto number) { return static_cast<double>(number); };
    std::vector<metrics::Value> out{
        {"heronshift_term", "of office", as_double(cluster.term)},
        {"heronshift_jobs", "known to the holder", as_double(cluster.jobs.size())},
        {"heronshift_machines", "rented, as far as known", as_double(cluster.machines.size())},
        {"heronshift_machines_up", "that report", as_double(machines.up)},
        {"heronshift_tasks_live", "on machines, or not surely off them", as_double(machines.live_tasks)},
        {"heronshift_launches_total", "tasks sent to machines in this term", as_double(counters.launched)},
        {"heronshift_lost_total", "tasks lost with their machine in this term", as_double(counters.lost)},
        {"heronshift_preempted_total", "tasks stopped for others in this term", as_double(counters.preempted)},
        {"heronshift_moved_total", "tasks moved in this term", as_double(counters.moved)},
        {"heronshift_reaps_deferred_total", "until a batch of orders was answered, in this term",
         as_double(counters.reaps_deferred)},
        {"heronshift_reap_tokens_total", "fencing tokens incremented for reaps in this term",
         as_double(counters.reap_tokens)},
        {"heronshift_tasks_reappeared_total", "that had been proven gone, in this term",
         as_double(counters.tasks_reappeared)},
        {"heronshift_passes_total", "of placement over all that waits, in this term", as_double(cluster_.passes())},
        {"heronshift_commits_total", "transactions in this term", as_double(records_.committed_count())},
        {"heronshift_heartbeat_bytes_max", "longest list of tasks that a machine may report",
         machines.max_heartbeat_bytes},
        {"heronshift_machines_deaf", "that report and do not hear", as_double(machines.inbound_unreachable)},
        {"heronshift_reports_dropped_total",
         "copies, in this term",
         as_double(counters.stale_heartbeats),
         {{"why", "old"}}},
        {"heronshift_reports_dropped_total",
         "copies, in this term",
         as_double(counters.heartbeats_of_gone_machines),
         {{"why", "machine gone"}}}};
    const std::pair<const char*, std::uint64_t> batches[] = {{"executed", counters.batches_executed},
                                                             {"refused", counters.batches_refused},
                                                             {"not sent", counters.batches_not_sent},
                                                             {"unknown", counters.batches_unknown}};
    for (const auto& [outcome, count] : batches)
        out.push_back({"heronshift_order_batches_total",
                       "of orders sent to machines in this term",
                       as_double(count),
                       {{"outcome", outcome}}});
    constexpr const char* help = "seconds since the oldest job of which nothing runs was ready";
    for (const auto& [name, wait_s] : waits.by_class)
        out.push_back({"heronshift_oldest_wait_seconds", help, wait_s, {{"class", name}}});
    for (const auto& [name, wait_s] : waits.by_team)
        out.push_back({"heronshift_oldest_wait_seconds", help, wait_s, {{"team", name}}});
    for (auto& value : records_.metrics())
        out.push_back(std::move(value));
    return out;
}

} // namespace heronshift
