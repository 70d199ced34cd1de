/// @file
/// Rounds of moves: replicas are pulled back from overflow to the pool, then tasks are reordered so that machines
/// become empty or less fragmented (the paper's algorithm 2, docs/design.md). Decided from a const view of the cluster;
/// moves are only proposed, and each one is capped.
#pragma once

#include "cluster/proposals.hpp"
#include "scheduling/placement_cost.hpp"

#include <unordered_map>
#include <vector>

namespace heronshift::scheduling {

/// Moves tasks that run well enough where they are to better machines, a few a round. A move stops the task; it starts
/// again once its machine's heartbeat shows it gone, since two copies of it may never run. Called by the core on the
/// thread that owns the state.
class Rebalancer {
public:
    Rebalancer(const ClusterData& view, cluster::Proposals& out)
        : cluster_(view), settings_(view.settings), proposals_(out) {}
    /// One round. Does nothing while urgent work waits, whose room comes first.
    void rebalance();

private:
    using Machines = std::vector<const Machine*>;
    // The machines that take part in a round.
    struct Fleet {
        Machines pool;       // the fullest first
        Machines others;     // ordinary ones without accelerators that are not pool, the fullest first
        Machines leaving;    // to become empty
        Resources pool_size; // of all machines of the pool together
    };
    using PlannedRoom = std::unordered_map<const Machine*, Resources>; // room a round has given away
    // What a round may still do.
    struct Round {
        int moves_left = 0;
        PlannedRoom planned;
    };

    [[nodiscard]] bool is_urgent_work_waiting() const;
    [[nodiscard]] int extra_moves() const;
    [[nodiscard]] Fleet sort_fleet() const;
    [[nodiscard]] bool movable(const Entry& entry) const;
    [[nodiscard]] bool is_movable_replica(const Entry& entry) const;
    void move_away(const Entry& entry);
    [[nodiscard]] bool may_move_to(const Machine& machine, const Entry& entry) const;
    bool reserve_place(const Entry& entry, const Machines& machines, PlannedRoom& planned) const;
    [[nodiscard]] double pull_back_rank(const Entry& entry, const Resources& pool_size) const;
    void pull_back(const Fleet& fleet, Round& round);
    void empty_leaving(const Machines& leaving, const Machines& targets, Round& round);
    [[nodiscard]] double fragmentation_with(const Machine& machine, const Resources& freed) const;
    [[nodiscard]] bool lowers_fragmentation(const Entry& entry, const Machine& from, const Machine& to) const;
    void defragment(Machines pool, Round& round);

    const ClusterData& cluster_;
    const Settings& settings_;
    cluster::Proposals& proposals_;
};

} // namespace heronshift::scheduling
