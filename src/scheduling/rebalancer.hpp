/// @file
/// Moves running tasks in rounds: first pulls replicas back from overflow machines to the pool, then moves tasks so
/// that machines become empty or less fragmented (algorithm 2 of the paper, docs/design.md). The decisions are made on
/// a const view of the cluster. Moves are only proposed, and the number of moves in a round is limited.
#pragma once

#include "cluster/proposals.hpp"
#include "scheduling/placement_cost.hpp"

#include <unordered_map>
#include <vector>

namespace heronshift::scheduling {

/// Moves a few running tasks in each round to machines that suit them better. A move stops the task, which starts again
/// once a heartbeat of its machine shows that it is gone, since two copies of a task must never run. The core calls it
/// on the thread that owns the state.
class Rebalancer {
public:
    Rebalancer(const ClusterData& view, cluster::Proposals& out)
        : cluster_(view), settings_(view.settings), proposals_(out) {}
    /// Runs one round. Does nothing while urgent tasks are waiting, which have precedence for free room.
    void rebalance();

private:
    using Machines = std::vector<const Machine*>;
    // The machines that take part in a round.
    struct Fleet {
        Machines pool;              // the fullest first
        Machines others;            // on-demand machines without accelerators outside the pool, the fullest first
        Machines retiring_machines; // being retired
        Resources pool_size;        // the resources of all pool machines together
    };
    using AssignedRoom = std::unordered_map<const Machine*, Resources>; // room already assigned in this round
    // The moves that a round may still make, and the room assigned so far.
    struct Round {
        int moves_left = 0;
        AssignedRoom assigned;
    };

    [[nodiscard]] bool is_urgent_work_waiting() const;
    [[nodiscard]] int extra_moves() const;
    [[nodiscard]] Fleet sort_fleet() const;
    [[nodiscard]] bool is_movable(const Entry& entry) const;
    [[nodiscard]] bool is_movable_replica(const Entry& entry) const;
    void move_away(const Entry& entry);
    [[nodiscard]] bool may_move_to(const Machine& machine, const Entry& entry) const;
    bool assign_room(const Entry& entry, const Machines& machines, AssignedRoom& assigned) const;
    [[nodiscard]] double pull_back_rank(const Entry& entry, const Resources& pool_size) const;
    void pull_back(const Fleet& fleet, Round& round);
    void empty_retiring(const Machines& retiring_machines, const Machines& targets, Round& round);
    [[nodiscard]] double fragmentation_with(const Machine& machine, const Resources& freed) const;
    [[nodiscard]] bool lowers_fragmentation(const Entry& entry, const Machine& from, const Machine& to) const;
    void defragment(Machines pool, Round& round);

    const ClusterData& cluster_;
    const Settings& settings_;
    cluster::Proposals& proposals_;
};

} // namespace heronshift::scheduling
