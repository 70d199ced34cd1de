// Handling of heartbeats: which tasks are on the machine, which are proven gone, and what the machine is answered.
#include "cluster/cluster_state.hpp"

#include "cluster/gone_proof.hpp"
#include "http_status.hpp"
#include "protocol_limits.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <tuple>
#include <utility>

namespace heronshift::cluster {
namespace {

// The most orders in the answer to a heartbeat, which is one line. The rest of the line is for the fencing token.
constexpr std::size_t max_answered_orders = max_response_line_bytes / codec::max_order_bytes - 1;

Order reap_order(const ReportedTask& task) {
    return {Verb::reap, task.job, task.index, task.attempt, 0};
}

// Whether the heartbeat is a duplicate of one received before or was overtaken by a later one. Heartbeats in replies to
// orders are not considered.
bool is_stale(const Heartbeat& heartbeat, const Machine& machine) {
    return std::tie(heartbeat.agent_epoch, heartbeat.counter) <=
           std::tie(machine.agent_epoch, machine.heartbeat_counter);
}

// The bytes that the task may take in the machine's heartbeats until it is reaped.
double listed_bytes(const ReportedTask& task) {
    return static_cast<double>(codec::max_listed_task_bytes(task.job, task.index, task.attempt, task.saved));
}

} // namespace

// Whether the agent has seen the token of a later leader. That ends this leader's term, however old the heartbeat is
// (docs/safety.md, 4; `Core.AHigherTermInAHeartbeatEndsTheTerm`).
bool ClusterState::resign_if_superseded(const Heartbeat& heartbeat) {
    if (heartbeat.fencing_token >> token_counter_bits <= data_.term)
        return false;
    resigned_ = true;
    effects_.emplace_back(
        Resign{fmt::format("{} has seen fence {} above ours", heartbeat.machine, heartbeat.fencing_token)});
    return true;
}

// Whether the heartbeat is from a lost machine that is no longer tracked, and is not newer than the last one received
// from that machine. It does not show that the machine is alive (docs/safety.md, 28; `LargeFleet`).
bool ClusterState::is_stale_from_departed(const Heartbeat& heartbeat) {
    const auto* last = departed_.find(heartbeat.machine);
    return last != nullptr &&
           std::tie(heartbeat.agent_epoch, heartbeat.counter) <= std::tie(last->agent_epoch, last->counter);
}

void ClusterState::log_stale_heartbeats() {
    const bool first = data_.now - stale_heartbeats_logged_at_ > data_.settings.lease_s;
    stale_heartbeats_logged_at_ = data_.now;
    if (first)
        log(LogLine::Level::info, "old reports come late, they count for nothing");
}

// Duplicates of heartbeats may arrive in any order and with delays from seconds to well over a lease. They are ignored,
// and do not even show that the machine is alive. Otherwise a machine that no longer exists would keep its tasks for as
// long as duplicates arrive (`Core.ACopyOfAHeartbeatIsNoHeartbeat`).
void ClusterState::receive_heartbeat(const HeartbeatReceived& command) {
    const auto& heartbeat = command.heartbeat;
    const auto refuse = [&] {
        effects_.emplace_back(AnswerHeartbeat{command.handle, http_status::service_unavailable, 0, {}});
    };
    const auto refuse_stale = [&](std::uint64_t& counter) {
        ++counter;
        log_stale_heartbeats();
        refuse();
    };
    if (departed_.released(heartbeat.machine))
        return refuse_stale(counters_.heartbeats_of_gone_machines);
    if (resign_if_superseded(heartbeat))
        return refuse();
    if (is_stale_from_departed(heartbeat))
        return refuse_stale(counters_.stale_heartbeats);
    auto& machine =
        find_or_add_machine(heartbeat.machine, heartbeat.addr, heartbeat.type, heartbeat.zone, heartbeat.spot);
    if (is_stale(heartbeat, machine))
        return refuse_stale(counters_.stale_heartbeats);
    // A reply to orders that was sent after this heartbeat has arrived before it.
    const bool overtaken = heartbeat.agent_epoch == machine.agent_epoch && heartbeat.counter <= machine.counter;
    note_route(machine, command);
    std::vector<Order> orders;
    apply_heartbeat(machine, heartbeat, orders);
    update_inbound_reachability(machine, heartbeat);
    request_inbound_proof(machine, heartbeat);
    prepare_reaps(machine, orders);
    acknowledge(machine, heartbeat, overtaken);
    // The reply to an empty batch of orders proves that the machine has seen this term.
    if (!machine.term_seen)
        heartbeat_requests_.add(machine);
    add_repeated_stops(machine, orders);
    effects_.emplace_back(AnswerHeartbeat{command.handle, http_status::ok, machine.fencing_token, std::move(orders)});
}

// Records that the heartbeat is about to be answered. The answer renews the lease and contains the fencing token.
void ClusterState::acknowledge(Machine& machine, const Heartbeat& heartbeat, bool overtaken) {
    machine.heartbeat_counter = heartbeat.counter;
    machine.extend_lease_to(overtaken ? machine.last_heartbeat_at : data_.now);
    machine.last_answered_at = data_.now;
    if (machine.fencing_token > machine.acknowledged_token) {
        machine.acknowledged_token = machine.fencing_token;
        machine.token_acknowledged_at = data_.now;
    }
}

// Applies a heartbeat or the one in a reply to orders. Appends to `orders` the orders for reported tasks that are not
// tracked or have ended.
void ClusterState::apply_heartbeat(Machine& machine, const Heartbeat& heartbeat, std::vector<Order>& orders) {
    const bool seen_term = has_seen_term(heartbeat, data_.term);
    if (seen_term)
        machine.fencing_token = std::max(machine.fencing_token, heartbeat.fencing_token);
    if (!is_newest(heartbeat, machine))
        return; // its list of tasks is outdated
    if (seen_term) {
        data_.unproven_machines.erase(machine.id);
        needs_scheduling_ = needs_scheduling_ || !machine.term_seen;
        machine.term_seen = true;
    }
    if (heartbeat.agent_epoch > machine.agent_epoch)
        begin_agent_epoch(machine, heartbeat);
    machine.counter = heartbeat.counter;
    machine.last_heartbeat_at = data_.now;
    machine.presumed_dead = false;
    if (machine.status != MachineStatus::up)
        mark_up(machine);
    const auto heartbeat_seq = ++heartbeat_seq_;
    const auto ended = match_listed_tasks(machine, heartbeat, heartbeat_seq, orders);
    remove_gone(machine, heartbeat, heartbeat_seq, ended);
    for (const auto& task : ended)
        if (may_reap(*task.report))
            orders.push_back(reap_order(*task.report));
    if (heartbeat.notice_s >= 0 && !machine.draining)
        handle_reclaim_notice(machine, heartbeat.notice_s);
}

// All tasks of earlier epochs are gone, and the agent refuses orders for those epochs.
void ClusterState::begin_agent_epoch(Machine& machine, const Heartbeat& heartbeat) {
    for (std::size_t i = machine.entries.size(); i-- > 0;)
        if (ended_by_epoch(*machine.entries[i], heartbeat)) {
            ++counters_.lost;
            remove_entry(*machine.entries[i]);
        }
    if (machine.agent_epoch > 0)
        lease_restarted(machine);
    machine.agent_epoch = heartbeat.agent_epoch;
    machine.failed_jobs.clear();
    // The lease of a new agent epoch starts with the epoch, that is, now at the latest. It is valid even if this leader
    // has not answered any heartbeat of the epoch (docs/safety.md, 6).
    machine.extend_lease_to(data_.now);
}

void ClusterState::mark_up(Machine& machine) {
    machine.extend_lease_to(data_.now); // its lease has begun even if no leader has answered it yet
    machine.status = MachineStatus::up;
    if (machine.up_since < 0) {
        machine.up_since = data_.now;
        log(LogLine::Level::debug, fmt::format("machine {} is up, {:.0f} s after it was asked for", machine.id,
                                               data_.now - machine.known_since));
    }
    if (machine.entries.empty())
        machine.empty_since = data_.now;
    needs_scheduling_ = true;
}

// Updates the entries of the tasks that the heartbeat lists and sets their `last_listed_seq` to `heartbeat_seq`;
// returns the tasks that have ended. For a listed task without an entry, adds an entry or an order. Tasks that have
// ended take room in the heartbeats until they are reaped (docs/safety.md, 32; `HeartbeatLength`).
std::vector<ClusterState::EndedTask> ClusterState::match_listed_tasks(Machine& machine, const Heartbeat& heartbeat,
                                                                      std::uint64_t heartbeat_seq,
                                                                      std::vector<Order>& orders) {
    std::vector<EndedTask> ended;
    double untracked_bytes = 0;
    for (const auto& task : heartbeat.tasks) {
        auto* entry = machine.find_entry(task);
        const bool has_ended = task.state == TaskState::ended;
        bool tracked = !has_ended;
        if (entry != nullptr)
            entry->last_listed_seq = heartbeat_seq;
        if (entry != nullptr && has_ended)
            ended.push_back({entry, &task});
        else if (entry != nullptr)
            update_entry(*entry, task);
        else if (has_ended)
            handle_untracked_ended_task(task, orders);
        else
            tracked = adopt_untracked_task(machine, task, heartbeat_seq, orders);
        if (!tracked)
            untracked_bytes += listed_bytes(task);
    }
    machine.set_untracked_bytes(untracked_bytes);
    return ended;
}

void ClusterState::handle_untracked_ended_task(const ReportedTask& task, std::vector<Order>& orders) {
    auto* job = find_job(task.job);
    if (job != nullptr && task.cause == ExitCause::done && task.index < job->tasks.size() && !job->over())
        mark_done(*job, task.index);
    if (may_reap(task))
        orders.push_back(reap_order(task));
}

// Handles a live task that was not known to be on the machine. It uses the machine's resources, so it gets an entry
// even if it is to be stopped. Returns false if there is no such job, and so no entry.
bool ClusterState::adopt_untracked_task(Machine& machine, const ReportedTask& task, std::uint64_t heartbeat_seq,
                                        std::vector<Order>& orders) {
    if (task.attempt >> attempt_counter_bits == data_.term)
        report_reappeared_task(machine, task);
    auto* job = find_job(task.job);
    if (job == nullptr || task.index >= job->tasks.size()) {
        orders.push_back({Verb::stop, task.job, task.index, task.attempt, 0});
        return false;
    }
    const bool wanted = job->wants_attempt(task.index, task.attempt);
    auto& entry = add_entry(machine, *job, task.index, task.attempt);
    entry.last_listed_seq = heartbeat_seq;
    update_entry(entry, task);
    if (!wanted)
        stop_entry(entry, 0);
    return true;
}

// An attempt of this term is without an entry only if it was proven gone, so it must not be alive any more.
void ClusterState::report_reappeared_task(const Machine& machine, const ReportedTask& task) {
    ++counters_.tasks_reappeared;
    log(LogLine::Level::warning, fmt::format("task {}/{} attempt {} is on {} again, though it was proven gone",
                                             task.job, task.index, task.attempt, machine.id));
}

// Removes the entries that the newest heartbeat does not list and that are proven gone, then those of the ended tasks.
void ClusterState::remove_gone(Machine& machine, const Heartbeat& heartbeat, std::uint64_t heartbeat_seq,
                               const std::vector<EndedTask>& ended) {
    std::vector<Entry*> gone;
    for (auto& entry : machine.entries)
        if (entry->last_listed_seq != heartbeat_seq && proves_gone(*entry, heartbeat))
            gone.push_back(entry.get());
    for (const auto& task : ended) {
        task_exited(*task.entry, *task.report);
        gone.push_back(task.entry);
    }
    for (auto* entry : gone)
        remove_entry(*entry);
}

// Whether the machine may discard its record of the ended task. For a task that is done, the store has to hold that
// first (docs/safety.md, 6; `Core.DoneIsReapedOnlyOnceTheStoreHoldsIt`).
bool ClusterState::may_reap(const ReportedTask& task) {
    if (task.cause != ExitCause::done)
        return true;
    const auto* job = find_job(task.job);
    if (job == nullptr || job->over())
        return true;
    return task.index >= job->tasks.size() || job->tasks[task.index].stored;
}

void ClusterState::handle_reclaim_notice(Machine& machine, double notice_s) {
    record_spot_loss();
    machine.draining = true;
    machine.reclaim_at = data_.now + notice_s;
    log(LogLine::Level::info, fmt::format("machine {} is taken back in {:.0f} s", machine.id, notice_s));
    needs_scheduling_ = true;
}

// Sends reaps only with a token that rules out all launches sent so far. An incremented token would make the agent
// refuse a batch of orders that is still on its way, so the reaps wait for a later heartbeat while there is one.
void ClusterState::prepare_reaps(Machine& machine, std::vector<Order>& orders) {
    const auto is_reap = [](const Order& order) { return order.verb == Verb::reap; };
    if (rules_out_earlier_launches(machine) || std::none_of(orders.begin(), orders.end(), is_reap))
        return;
    if (machine.batch != 0 && !machine.heartbeat_request_in_flight) {
        counters_.reaps_deferred += std::erase_if(orders, is_reap);
        return;
    }
    ++machine.fencing_token;
    ++counters_.reap_tokens;
}

// Appends the stop orders for the machine's tasks, which are repeated with each answer to a heartbeat until the tasks
// have ended. They take precedence over the orders that are there already, mostly reaps, if the answer has no room for
// all: the others are determined again for the next answer.
void ClusterState::add_repeated_stops(Machine& machine, std::vector<Order>& orders) {
    std::vector<Order> stops;
    for (auto& entry : machine.entries) {
        if (stops.size() == max_answered_orders)
            break;
        // A repeated stop without a grace period would end a saving task before its progress is saved.
        const bool saves = entry->phase == Phase::saving && entry->drain_s > 0;
        if (!entry->stop || entry->phase < Phase::sent || saves)
            continue;
        entry->stop_sent_at = data_.now;
        stops.push_back(stop_order(*entry));
    }
    orders.resize(std::min(orders.size(), max_answered_orders - stops.size()));
    orders.insert(orders.end(), stops.begin(), stops.end());
}

} // namespace heronshift::cluster
