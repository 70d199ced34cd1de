#include "heronshift/core/core.hpp"

#include "heronshift/overloaded.hpp"

#include <algorithm>
#include <map>

namespace heronshift {
namespace {

constexpr double jobs_a_pass = 2000; // waiting ones, that a pass in every sixtieth of report_s is for

} // namespace

Core::Core(const Settings& settings, std::uint64_t term, const Snapshot& stored, double now, double wall)
    : settings_(settings), cluster_(settings, term, now, wall, effects_),
      records_(cluster_, settings, stored, wall, effects_), placement_(cluster_.view(), cluster_),
      rebalancer_(cluster_.view(), cluster_), autoscaler_(cluster_.view(), cluster_),
      next_round_(now + settings.ops.round_s) {}

void Core::take(Command& command) {
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
    effects_.clear();
    if (!may_act) {
        // From a day on which a cut-off leader took the machines outside its zone for lost and gave
        // them back the moment the cut ended, with all that ran there under its successor.
        std::erase_if(commands, [this](const Command& command) {
            const auto* b = std::get_if<HeartbeatReceived>(&command);
            if (b != nullptr)
                effects_.emplace_back(AnswerHeartbeat{b->handle, 503, 0, {}});
            return b != nullptr;
        });
        wake_at_ = now + settings_.report_s / 10;
        return std::move(effects_);
    }
    for (auto& c : commands)
        take(c);
    commands.clear();
    if (now >= next_tick_) {
        next_tick_ = now + settings_.report_s / 20;
        cluster_.expire_leases();
        placement_.drain_noticed();
        placement_.find_slow();
        autoscaler_.watch_silent();
        cluster_.request_pass();
    }
    // A pass over what waits costs time: events gather for a moment first.
    if (cluster_.needs_scheduling() && now >= next_schedule_) {
        cluster_.settled();
        cluster_.begin_pass();
        placement_.schedule();
        // A pass looks at all that waits. With a hundred thousand jobs, passes that followed each other at
        // once took the whole loop, and the leadership was lost for want of renewals.
        const double load = static_cast<double>(placement_.waiting()) / jobs_a_pass;
        next_schedule_ = now + settings_.report_s / 60 * std::max(1.0, load);
    }
    if (now >= next_rent_) {
        next_rent_ = now + settings_.report_s / 3;
        autoscaler_.plan_capacity();
        autoscaler_.plan_shrink();
        autoscaler_.return_machines();
    }
    if (now >= next_round_) {
        next_round_ = now + settings_.ops.round_s;
        if (!cluster_.view().types.empty())
            autoscaler_.log_fleet();
        rebalancer_.rebalance();
    }
    cluster_.find_dependencies();
    records_.collect_commit();
    if (records_.late(settings_.report_s / 3))
        cluster_.store_is_late();
    cluster_.send_due_orders();
    wake_at_ = next_tick_;
    if (records_.waiting())
        wake_at_ = std::min(wake_at_, now + 1 / settings_.state_write_rps); // as the budget allows
    if (cluster_.needs_scheduling())
        wake_at_ = std::min(wake_at_, next_schedule_);
    return std::move(effects_);
}

std::optional<Shape> Core::shape_of(const std::string& id) const {
    const auto* job = cluster_.view().find_job(id);
    if (job == nullptr || cluster_.resigned())
        return {};
    return job->spec.shape;
}

std::size_t Core::machines_up() const {
    const auto& all = cluster_.view().machines;
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [](const auto& m) { return m.second->status == cluster::Status::up; }));
}

std::size_t Core::live_tasks(const std::string& job) const {
    const auto* j = cluster_.view().find_job(job);
    return j == nullptr ? 0 : j->live;
}

std::vector<metrics::Value> Core::metrics() const {
    const auto& cluster = cluster_.view();
    const auto& n = cluster_.counters();
    std::size_t up = 0, live = 0, inbound_unreachable = 0;
    for (const auto& [id, machine] : cluster.machines) {
        up += machine->status == cluster::Status::up;
        live += machine->entries.size();
        inbound_unreachable += machine->inbound_unreachable();
    }
    std::map<std::string, double> by_class, by_team; // the oldest that waits
    for (const auto& [id, job] : cluster.jobs) {
        if (job->final != cluster::Final::none || job->waits || job->live > 0)
            continue;
        for (auto* wait : {&by_class[job->spec.job_class], &by_team[job->spec.team]})
            *wait = std::max(*wait, cluster.now - job->ready);
    }
    const auto of = [](auto x) { return static_cast<double>(x); };
    std::vector<metrics::Value> out{
        {"heronshift_term", "of office", of(cluster.term)},
        {"heronshift_jobs", "known to the holder", of(cluster.jobs.size())},
        {"heronshift_machines", "rented, as far as known", of(cluster.machines.size())},
        {"heronshift_machines_up", "that report", of(up)},
        {"heronshift_tasks_live", "on machines, or not surely off them", of(live)},
        {"heronshift_launches_total", "tasks sent to machines in this term", of(n.launched)},
        {"heronshift_lost_total", "tasks lost with their machine in this term", of(n.lost)},
        {"heronshift_preempted_total", "tasks stopped for others in this term", of(n.preempted)},
        {"heronshift_moved_total", "tasks moved in this term", of(n.moved)},
        {"heronshift_passes_total", "of placement over all that waits, in this term", of(cluster_.passes())},
        {"heronshift_commits_total", "transactions in this term", of(records_.committed_count())},
        {"heronshift_machines_deaf", "that report and do not hear", of(inbound_unreachable)},
        {"heronshift_reports_dropped_total", "copies, in this term", of(n.stale_heartbeats), {{"why", "old"}}},
        {"heronshift_reports_dropped_total",
         "copies, in this term",
         of(n.heartbeats_of_gone_machines),
         {{"why", "machine gone"}}}};
    constexpr const char* help = "seconds since the oldest job of which nothing runs was ready";
    for (const auto& [name, s] : by_class)
        out.push_back({"heronshift_oldest_wait_seconds", help, s, {{"class", name}}});
    for (const auto& [name, s] : by_team)
        out.push_back({"heronshift_oldest_wait_seconds", help, s, {{"team", name}}});
    return out;
}

} // namespace heronshift
