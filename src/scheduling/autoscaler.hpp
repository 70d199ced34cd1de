/// @file
/// Decides which machines to rent, keep, empty and release. The decisions are made on a const view of the cluster and
/// only proposed: the cluster state checks each proposal, and nothing else changes the state.
#pragma once

#include "cluster/proposals.hpp"
#include "scheduling/placement_cost.hpp"

namespace heronshift::scheduling {

/// Keeps the number of machines close to what the jobs need. Each public function is one policy, which the core calls
/// on the thread that owns the state. Their definitions are in separate files under src/scheduling: rental_plan
/// (renting), shrinking, returning, silent_machines and fleet_log. array_demand estimates the CPUs that arrays need.
class Autoscaler {
public:
    Autoscaler(const ClusterData& view, cluster::Proposals& out)
        : cluster_(view), settings_(view.settings), proposals_(out) {}
    /// Rents machines for waiting tasks that fit on no machine that is up, booting or already requested, and cancels
    /// the retirement of machines that are needed after all. Sends at most one rental request per round for each
    /// combination of machine type, zone and kind (spot or not).
    void scale_up();
    /// Selects surplus machines, the most expensive per CPU first, and retires them: a retiring machine gets no new
    /// tasks, its array tasks run to their end, and its replicas are moved to other machines.
    void scale_down();
    /// Releases machines to the cloud: machines that are empty and no longer needed, that never came up, that failed,
    /// or that certainly cannot be used. A machine with tasks is released only if it is presumed dead, and its tasks
    /// count as running until the cluster state knows that they are gone (docs/safety.md, 7).
    void release_machines();
    /// Requests a heartbeat from silent machines, and presumes silent spot machines dead so that they are released.
    void check_silent_machines();
    /// Logs the fleet for operators: one line for each machine type, the number of tasks in each phase, and the waiting
    /// tasks by priority.
    void log_fleet();

private:
    // The capacity of all machines that count as capacity, and how much of it is needed.
    struct FleetTotals;
    // A machine that may be retired.
    struct RetirementCandidate;

    [[nodiscard]] bool may_retire(const Machine& machine, double gang_cpus) const;
    void count_machine(const Machine& machine, FleetTotals& totals, std::vector<RetirementCandidate>& candidates) const;
    void count_waiting(FleetTotals& totals) const;
    [[nodiscard]] FleetTotals compute_totals(std::vector<RetirementCandidate>& candidates) const;
    void retire_surplus(FleetTotals totals, const std::vector<RetirementCandidate>& candidates);

    // The number of machines of a zone that are up, and the number of machines that do not receive the leader's
    // answers.
    struct Reachability {
        int unreachable = 0, up = 0;
    };
    using ReachabilityByZone = std::map<int, Reachability>;
    [[nodiscard]] ReachabilityByZone reachability_by_zone() const;
    [[nodiscard]] bool inbound_unreachable_for_long(const Machine& machine, const ReachabilityByZone& by_zone) const;
    [[nodiscard]] bool never_came_up(const Machine& machine) const;
    [[nodiscard]] bool is_permanently_lost(const Machine& machine) const;
    [[nodiscard]] bool is_empty_and_unneeded(const Machine& machine) const;
    [[nodiscard]] bool should_release(const Machine& machine, const ReachabilityByZone& by_zone) const;
    void stop_tasks_on(const Machine& machine);

    // The number of machines of one kind (spot or not) in one zone that are up, and how many of these are silent.
    struct SilentCount {
        double up = 0, silent = 0;
    };
    struct ZoneCount {
        SilentCount on_demand, spot;
    };
    using SilentByZone = std::map<int, ZoneCount>;
    [[nodiscard]] double silent_for_s(const Machine& machine) const;
    [[nodiscard]] std::vector<const Machine*> probe_silent(SilentByZone& by_zone);
    [[nodiscard]] bool is_presumed_reclaimed(const Machine& machine, const ZoneCount& zone) const;

    void log_machine_types();
    void log_phases();
    void log_waiting();

    const ClusterData& cluster_;
    const Settings& settings_;
    cluster::Proposals& proposals_;
    double gang_ready_target_ = 0;  // machines with accelerators to keep free of gangs, set by scale_down()
    double next_silence_check_ = 0; // when check_silent_machines() checks again
};

} // namespace heronshift::scheduling
