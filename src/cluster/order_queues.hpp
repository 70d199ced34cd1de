// Which machines are to be sent orders, and which are to be asked for a heartbeat.
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

/// Machines for which there may be orders, each once, in the order in which they were added.
class DispatchQueue {
public:
    void add(Machine& machine);
    /// The machine is about to be destroyed.
    void forget(const Machine& machine);
    /// Empties the queue and calls dispatch(Machine&) for each. A machine that is added meanwhile waits for the next
    /// call, unless its turn is still to come in this one.
    template <class Dispatch> void drain(Dispatch&& dispatch) {
        for (auto* machine : std::exchange(queue_, {})) {
            machine->wants_orders = false;
            dispatch(*machine);
        }
    }

private:
    std::vector<Machine*> queue_;
};

/// Machines that are to be asked for a heartbeat: after a failover, and those that have not shown a fencing token of
/// the leader's term. Only some are asked at a time, since those that do not answer hold a socket each.
class HeartbeatRequests {
public:
    explicit HeartbeatRequests(const Settings& settings) : settings_(settings) {}

    /// Queues the machine unless it is queued, however often it reports before its turn: machines that cannot be
    /// reached stay unproven, and 2,000 of them would queue up faster than they can be asked.
    void add(Machine& machine);
    /// Queues the machine in any case.
    void add_again(const Machine& machine) {
        queue_.push_back(machine.id);
    }
    /// The id of the machine whose turn it is, as long as not too many are being asked; `machines`: how many there are.
    /// It may be gone.
    [[nodiscard]] std::optional<std::string> next(std::size_t machines);
    void sent(Machine& machine);
    void answered(Machine& machine);
    /// The machine is about to be destroyed.
    void forget(const Machine& machine);

private:
    [[nodiscard]] std::size_t max_at_once(std::size_t machines) const;

    const Settings& settings_;
    std::deque<std::string> queue_;
    std::size_t under_way_ = 0;
};

} // namespace heronshift::cluster
