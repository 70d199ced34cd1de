// Sends orders and heartbeat requests to machines, and handles their outcomes.
#include "cluster/cluster_state.hpp"

#include "cluster/gone_proof.hpp"
#include "http_status.hpp"
#include "protocol_limits.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace heronshift::cluster {
namespace {

// Maximum number of orders to a machine in one batch; further orders are sent after its reply.
constexpr std::size_t max_orders = 200;
static_assert(max_orders * codec::max_order_bytes < max_request_body_bytes);

constexpr int no_answer = 0;

// The launch was sent with this token, and its outcome is unknown.
bool outstanding(const Entry& entry, std::uint64_t fencing_token) {
    return launch_open(entry) && entry.fencing_token == fencing_token;
}

} // namespace

Order ClusterState::stop_order(const Entry& entry) {
    return {Verb::stop, entry.job->spec.id, entry.index, entry.attempt, entry.drain_s};
}

void ClusterState::send_due_orders() {
    dispatch_queue_.drain([this](Machine& machine) {
        if (machine.batch == 0)
            dispatch(machine); // otherwise `answered` queues it again when the reply arrives
    });
    request_heartbeats();
}

void ClusterState::dispatch(Machine& machine) {
    std::vector<Order> orders;
    collect_stops(machine, orders);
    collect_launches(machine, orders);
    if (!orders.empty())
        send_orders(machine, machine.agent_epoch, std::move(orders));
}

void ClusterState::collect_stops(Machine& machine, std::vector<Order>& orders) {
    for (auto& entry : machine.entries) {
        if (orders.size() >= max_orders)
            return queue_for_orders(machine);
        if (!entry->stop || entry->phase < Phase::sent || entry->stop_sent_at >= 0)
            continue;
        entry->stop_sent_at = data_.now;
        orders.push_back(stop_order(*entry));
    }
}

void ClusterState::collect_launches(Machine& machine, std::vector<Order>& orders) {
    for (std::size_t i = machine.entries.size(); i-- > 0;) {
        auto& entry = *machine.entries[i];
        if (!never_sent(entry))
            continue;
        const bool useless = entry.stop || entry.agent_epoch != machine.agent_epoch ||
                             machine.status != MachineStatus::up || machine.addr.empty() || entry.job->over();
        if (useless) {
            remove_entry(entry);
            continue;
        }
        if (orders.size() >= max_orders) {
            queue_for_orders(machine);
            continue;
        }
        // Each launch is sent only once; copies that the network makes of it are ruled out by `prepare_reaps`
        // (docs/safety.md, 4 and 31).
        entry.phase = Phase::sent;
        entry.fencing_token = machine.launch_token = machine.fencing_token;
        ++counters_.launched;
        orders.push_back({Verb::launch, entry.job->spec.id, entry.index, entry.attempt, 0});
    }
}

void ClusterState::send_orders(Machine& machine, std::uint64_t agent_epoch, std::vector<Order> orders) {
    machine.batch = ++batch_seq_;
    machine.ordered_token = std::max(machine.ordered_token, machine.fencing_token);
    effects_.emplace_back(SendOrders{machine.id, machine.addr, machine.batch, machine.fencing_token, agent_epoch,
                                     std::move(orders), data_.now < machine.relay_orders_until});
}

// After a failover, agents find the new leader one by one, as their heartbeats to other controllers fail. When asked
// directly, they report their tasks immediately, and since they have then seen the new term, their reports also prove
// which tasks they do not run.
void ClusterState::request_heartbeats() {
    while (const auto id = heartbeat_requests_.next(data_.machines.size())) {
        auto* machine = find_machine(*id);
        if (machine == nullptr)
            continue;
        machine->heartbeat_request_queued = false;
        if (machine->batch != 0 || machine->addr.empty())
            continue;
        if (machine->term_seen && data_.now - machine->last_heartbeat_at < data_.settings.report_s)
            continue;
        heartbeat_requests_.sent(*machine);
        send_orders(*machine, std::max<std::uint64_t>(1, machine->agent_epoch), {});
    }
}

void ClusterState::answered(const OrdersAnswered& command) {
    auto* machine = find_machine(command.machine);
    if (machine == nullptr || machine->batch != command.batch)
        return;
    machine->batch = 0;
    const auto& heartbeat = command.heartbeat;
    if (heartbeat && resign_if_superseded(*heartbeat))
        return;
    // Switches between direct and relayed orders, since this route may be interrupted although heartbeats arrive.
    if (command.status == no_answer)
        machine->relay_orders_until = data_.now < machine->relay_orders_until ? -1 : data_.now + data_.settings.lease_s;
    if (machine->heartbeat_request_in_flight)
        return request_answered(*machine, command);
    queue_for_orders(*machine);
    if (command.status == http_status::ok && heartbeat && heartbeat->agent_epoch == machine->agent_epoch) {
        ++counters_.batches_executed;
        orders_executed(*machine, *heartbeat);
    } else if (proves_not_executed(command)) {
        ++(command.sent ? counters_.batches_refused : counters_.batches_not_sent);
        orders_not_executed(*machine, command);
    } else {
        ++counters_.batches_unknown;
        orders_outcome_unknown(*machine);
    }
}

void ClusterState::request_answered(Machine& machine, const OrdersAnswered& command) {
    heartbeat_requests_.answered(machine);
    std::vector<Order> orders; // discarded; determined again and sent with the answer to the next heartbeat
    if (command.heartbeat)
        apply_heartbeat(machine, *command.heartbeat, orders);
    queue_for_orders(machine);
}

// The reply contains a heartbeat that the agent created after executing the orders: a launched task that it does not
// list did not start.
void ClusterState::orders_executed(Machine& machine, const Heartbeat& heartbeat) {
    const auto fencing_token = machine.fencing_token;
    for (auto& entry : machine.entries)
        if (outstanding(*entry, fencing_token) && heartbeat.counter > machine.counter)
            mark_seen(*entry);
    std::vector<Order> orders; // discarded; determined again and sent with the answer to the next heartbeat
    apply_heartbeat(machine, heartbeat, orders);
    // If a newer heartbeat overtook this reply, the outcome of a launch may still be unknown. Raises the fencing token.
    if (std::any_of(machine.entries.begin(), machine.entries.end(),
                    [&](const auto& entry) { return outstanding(*entry, fencing_token); }))
        ++machine.fencing_token;
}

void ClusterState::orders_not_executed(Machine& machine, const OrdersAnswered& command) {
    const auto fencing_token = machine.fencing_token;
    for (std::size_t i = machine.entries.size(); i-- > 0;)
        if (outstanding(*machine.entries[i], fencing_token))
            remove_entry(*machine.entries[i]);
    for (auto& entry : machine.entries)
        entry->stop_sent_at =
            entry->stop ? data_.now : entry->stop_sent_at; // answers to heartbeats repeat the stop orders
    if (!command.sent)
        machine.avoid_at_least_until(data_.now + data_.settings.report_s / 2);
    std::vector<Order> orders; // discarded; determined again and sent with the answer to the next heartbeat
    if (command.heartbeat)
        apply_heartbeat(machine, *command.heartbeat, orders);
}

// The orders may still be executed, even minutes later. Raises the fencing token: once a heartbeat shows the raised
// token, the orders can no longer be executed (docs/safety.md, 4;
// `Core.AnIncrementedTokenSeenInAHeartbeatSettlesALostLaunch`).
void ClusterState::orders_outcome_unknown(Machine& machine) {
    ++machine.fencing_token;
    machine.avoid_at_least_until(data_.now + data_.settings.report_s / 2);
    log(LogLine::Level::debug,
        fmt::format("no answer of {} to commands, fence raised to {}", machine.id, machine.fencing_token));
}

} // namespace heronshift::cluster
