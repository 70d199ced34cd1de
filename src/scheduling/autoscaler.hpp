/// @file
/// Which machines the cluster has: what to rent, to keep, to empty and to give back. It decides from a const view of
/// the cluster and only proposes; the cluster state checks each proposal and is alone in changing anything.
#pragma once

#include "cluster/proposals.hpp"
#include "scheduling/placement_cost.hpp"

namespace heronshift::scheduling {

/// Keeps the number of machines near what the work needs. Each public function is one policy, called in turn by the
/// core on the thread that owns the state. The policies are in files of their own under src/scheduling: rental_plan
/// (renting), shrinking, returning, silent_machines, fleet_log; array_demand estimates what arrays need.
class Autoscaler {
public:
    Autoscaler(const ClusterData& view, cluster::Proposals& out)
        : cluster_(view), settings_(view.settings), proposals_(out) {}
    /// Rents machines for what waits and finds no place on those that are up, booting or asked for, and keeps machines
    /// that were to become empty where they are wanted after all. One request a round for each type, zone and kind.
    void plan_capacity();
    /// Chooses the machines that the cluster has beyond its need and has them become empty, the dearest first: such a
    /// machine takes no new work, its arrays end by themselves and its replicas are moved.
    void plan_shrink();
    /// Gives machines back: empty ones that are not wanted, those that never came up, failed, or surely cannot be used.
    /// A machine with tasks is given back only if it is presumed dead: while the cluster state does not know that its
    /// tasks are gone they count as running (docs/safety.md, 7).
    void return_machines();
    /// Asks silent machines for a heartbeat, and presumes silent spot machines dead, which are then given back.
    void watch_silent();
    /// Logs the fleet for operators: a line for each type of machine, the tasks by phase, and what waits by priority.
    void log_fleet();

private:
    // What the cluster has and what of it lasts, counted over the machines that serve.
    struct Holdings;
    // A machine that may be emptied.
    struct ShrinkCandidate;

    [[nodiscard]] bool may_be_emptied(const Machine& machine, double gang_cpus) const;
    void count_machine(const Machine& machine, Holdings& holdings, std::vector<ShrinkCandidate>& candidates) const;
    void count_waiting(Holdings& holdings) const;
    [[nodiscard]] Holdings count_holdings(std::vector<ShrinkCandidate>& candidates) const;
    void empty_surplus(Holdings holdings, const std::vector<ShrinkCandidate>& candidates);

    // How many machines of a zone are up, and how many of these do not hear the leader.
    struct Reachability {
        int unreachable = 0, up = 0;
    };
    using ReachabilityByZone = std::map<int, Reachability>;
    [[nodiscard]] ReachabilityByZone reachability_by_zone() const;
    [[nodiscard]] bool inbound_unreachable_for_long(const Machine& machine, const ReachabilityByZone& by_zone) const;
    [[nodiscard]] bool never_came_up(const Machine& machine) const;
    [[nodiscard]] bool is_lost_for_good(const Machine& machine) const;
    [[nodiscard]] bool is_empty_and_unwanted(const Machine& machine) const;
    [[nodiscard]] bool should_go_back(const Machine& machine, const ReachabilityByZone& by_zone) const;
    void stop_all_on(const Machine& machine);

    // The machines of one kind in one zone: those up, and those of them that are silent.
    struct SilentCount {
        double up = 0, silent = 0;
    };
    struct ZoneCount {
        SilentCount ordinary, spot;
    };
    using SilentByZone = std::map<int, ZoneCount>;
    [[nodiscard]] double silent_for_s(const Machine& machine) const;
    [[nodiscard]] std::vector<const Machine*> ask_silent(SilentByZone& by_zone);
    [[nodiscard]] bool is_taken(const Machine& machine, const ZoneCount& zone) const;

    void log_kinds();
    void log_phases();
    void log_waiting();

    const ClusterData& cluster_;
    const Settings& settings_;
    cluster::Proposals& proposals_;
    double kept_for_gangs_ = 0; // machines with accelerators to be free of gangs, from the last plan_shrink()
    double next_silent_ = 0;    // when watch_silent() looks again
};

} // namespace heronshift::scheduling
