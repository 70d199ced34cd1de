// Queues of the machines to which orders, or requests for a heartbeat, are to be sent.
#pragma once

#include "cluster/machine.hpp"
#include "heronshift/config.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace heronshift::cluster {

/// Machines for which there may be orders. Contains each machine once, in the order of insertion.
class DispatchQueue {
public:
    void add(Machine& machine);
    /// Must be called before the machine is destroyed.
    void forget(const Machine& machine);
    /// Empties the queue and calls dispatch(Machine&) for each machine. A machine that is added during this call waits
    /// for the next call, unless dispatch has yet to be called for it in this one.
    template <class Dispatch> void drain(Dispatch&& dispatch) {
        for (auto* machine : std::exchange(queue_, {})) {
            machine->queued_for_orders = false;
            dispatch(*machine);
        }
    }

private:
    std::vector<Machine*> queue_;
};

/// Machines that are to be asked for a heartbeat: all machines after a failover, and those that have not shown a
/// fencing token of the leader's term. The number of concurrent requests is limited, since each unanswered request
/// occupies a socket.
class HeartbeatRequests {
public:
    explicit HeartbeatRequests(const Settings& settings) : settings_(settings) {}

    /// Queues the machine unless it is queued already. Machines that cannot be reached stay unproven and call for this
    /// with each heartbeat; with 2,000 of them, the queue would otherwise grow faster than it is processed.
    void add(Machine& machine);
    /// Queues the machine even if it is queued already.
    void add_unconditionally(const Machine& machine) {
        queue_.push_back(machine.id);
    }
    /// Takes the id of the next machine to be asked; none if the maximum number of requests is in flight. The machine
    /// may no longer exist. `machines` is the number of all machines.
    [[nodiscard]] std::optional<std::string> next(std::size_t machines);
    void sent(Machine& machine);
    void answered(Machine& machine);
    /// Must be called before the machine is destroyed.
    void forget(const Machine& machine);

private:
    [[nodiscard]] std::size_t max_concurrent_requests(std::size_t machines) const;

    const Settings& settings_;
    std::deque<std::string> queue_;
    std::size_t requests_in_flight_ = 0;
};

} // namespace heronshift::cluster
