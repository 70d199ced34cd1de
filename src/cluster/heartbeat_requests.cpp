// Machines that are asked for a heartbeat: after a failover, and those that have not shown the leader's term yet.
#include "heronshift/cluster/cluster_state.hpp"

#include <algorithm>

namespace heronshift::cluster {
namespace {

constexpr std::size_t min_asked_at_once = 40; // machines asked for a heartbeat
constexpr int sockets_per_asked = 16;         // of fd_limit; a fifth of it is free for outgoing requests

} // namespace

// Once in the queue, however often it reports before its turn: machines that do not hear us stay unproven, and
// 2,000 of them would queue up faster than they can be asked.
void ClusterState::want_heartbeat(Machine& machine) {
    if (machine.to_be_asked)
        return;
    machine.to_be_asked = true;
    to_ask_.push_back(machine.id);
}

// All machines within a lease, if each takes its whole time to answer, as far as there are sockets: 64 at once with
// fd_limit 1024, for which 2,000 machines that do not answer take two leases and a half. Machines that can reach
// us need no question: they report by themselves within report_s.
std::size_t ClusterState::max_asked_at_once() const {
    const auto& settings = data_.settings;
    const double answer_s = settings.report_s / 2;
    const auto within_lease =
        static_cast<std::size_t>(static_cast<double>(data_.machines.size()) * answer_s / settings.lease_s);
    const auto sockets = static_cast<std::size_t>(settings.fd_limit / sockets_per_asked);
    return std::max(min_asked_at_once, std::min(within_lease, sockets));
}

// After a failover workers find us one by one as their reports to others fail. Asked directly they
// tell at once what they run, and having seen our term they prove what they do not run.
void ClusterState::ask_machines() {
    const auto max_asked = max_asked_at_once();
    while (!to_ask_.empty() && asking_ < max_asked) {
        auto* machine = find_machine(to_ask_.front());
        to_ask_.pop_front();
        if (machine == nullptr)
            continue;
        machine->to_be_asked = false;
        if (machine->batch != 0 || machine->addr.empty())
            continue;
        if (machine->proven && data_.now - machine->last_heartbeat_at < data_.settings.report_s)
            continue;
        ++asking_;
        machine->asked = true;
        machine->batch = ++batch_seq_;
        effects_.push_back(SendOrders{machine->id,
                                      machine->addr,
                                      machine->batch,
                                      machine->fencing_token,
                                      std::max<std::uint64_t>(1, machine->agent_epoch),
                                      {},
                                      data_.now < machine->relay_orders_until});
    }
}

} // namespace heronshift::cluster
