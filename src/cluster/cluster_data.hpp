// The state of the cluster as the leader knows it: jobs, tasks, machines and teams, as plain data. Policies read it
// through a const reference, and const propagates through every pointer in it; only ClusterState and, at a failover,
// ClusterRecords modify it. Times are in seconds of the steady clock unless their name contains "wall".
#pragma once

#include "cluster/entry.hpp"
#include "cluster/job.hpp"
#include "cluster/machine.hpp"
#include "cluster/team.hpp"
#include "heronshift/config.hpp"
#include "heronshift/messages.hpp"
#include "heronshift/types.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace heronshift::cluster {

/// fencing token = term << token_counter_bits | increments within the term. Each machine has a counter of its own,
/// which is incremented for each launch with an unknown outcome and each expired lease, at most once per report_s / 2.
/// With report_s 3, 2^24 increments take nine months of a single term; 40 bits remain for the term.
inline constexpr int token_counter_bits = 24;
/// attempt = term << attempt_counter_bits | scheduling passes within the term. There is at most one pass per
/// report_s / 60, so the 32 bits last for seven years of a single term.
inline constexpr int attempt_counter_bits = 32;

/// A request to the cloud to rent machines, kept until the cloud has answered. Its key is the claim, an id that makes
/// the request idempotent.
struct PendingRental {
    std::string type, zone;
    bool spot = false;
    int count = 0;
    double requested_at = 0;
    /// A request with this claim has been sent and not answered.
    bool in_flight = true;
};

/// Averages over the recent past. They are kept in the store, so that the next leader continues with them.
struct LearnedAverages {
    /// Offered load of array jobs in CPUs (CPU seconds per second), averaged over `ClusterData::averaging_period_s`,
    /// and the time of its last update.
    double offered = 0, offered_at = 0;
    /// The part of `offered` from jobs that do not allow spot machines.
    double offered_on_demand = 0;
    /// Mean interval in seconds between the arrivals of array jobs, and the number of intervals it is based on. Counts
    /// only jobs that arrived in this leader's term.
    double mean_gap_s = 0, gap_count = 0;
    /// Number of spot machines that were reclaimed or lost, decaying over `ClusterData::averaging_period_s`, and the
    /// time of its last update.
    double spot_losses = 0, spot_losses_at = 0;
    /// Decaying sums over recently finished tasks: their run time, and the run time that their owners estimated.
    double ran_s = 1, estimated_s = 1;
    /// The factor by which tasks run longer than estimated.
    [[nodiscard]] double bias() const {
        return std::clamp(ran_s / estimated_s, 0.3, 3.0);
    }
};

/// The whole state that a leader keeps during one term.
struct ClusterData {
    explicit ClusterData(const Settings& s) : settings(s) {}
    const Settings& settings;
    std::uint64_t term = 0;
    double now = 0, wall = 0, started = 0;
    /// When the store last was late or refused a transaction; new jobs may then arrive that cannot be stored.
    double store_late_at = -1e18;
    std::vector<MachineType> types;
    std::vector<Team> teams;
    std::unordered_map<std::string, PropagateConst<std::unique_ptr<Job>>> jobs;
    std::map<std::string, PropagateConst<std::unique_ptr<Machine>>> machines;
    /// Image sizes in GB, indexed by image number.
    std::vector<double> image_gb;
    /// Rental requests that the cloud has not answered, by claim.
    std::map<std::string, PendingRental> rentals;
    /// For "type/zone/spot", the time before which no machines of this kind are requested again, because the cloud had
    /// no capacity.
    std::map<std::string, double> no_capacity;
    /// The CPUs of the machine type with the most, for each byte of its heartbeat.
    double cpus_per_heartbeat_byte = 0;
    /// The resources that one task uses in the most common kind of waiting work; those of the largest service replica.
    Resources common_shape, service_shape;
    LearnedAverages learned;
    /// Number of spot machines that were up at the last count.
    std::size_t spot_machines = 0;
    /// The cloud's list of machines has arrived once in this term, and the machines on it were queued for a heartbeat
    /// request.
    bool listed_heartbeats_requested = false;
    /// Machines whose records in the store were damaged. Until each has reported with a fencing token of this term or
    /// its lease has certainly expired, any task read at the failover may be running on it (docs/safety.md, 5).
    std::set<std::string> unproven_machines;
    double unproven_until = 0;

    [[nodiscard]] const Job* find_job(const std::string& id) const {
        const auto it = jobs.find(id);
        return it == jobs.end() ? nullptr : it->second.get();
    }
    [[nodiscard]] const MachineType* type_of(const std::string& name) const {
        for (const auto& type : types)
            if (type.name == name)
                return &type;
        return nullptr;
    }
    /// Because of a damaged record, it is still unknown which tasks are running.
    [[nodiscard]] bool has_unproven_machines() const {
        return !unproven_machines.empty() && now < unproven_until;
    }
    /// The period over which offered work and spot losses are averaged, in seconds.
    [[nodiscard]] double averaging_period_s() const;
    /// The CPUs that one task of the job takes from the fleet: its own, or those of the largest machine type that stay
    /// idle because of its share of the heartbeat, if these are more.
    [[nodiscard]] double cpu_demand(const Job& job) const;
    /// Estimated CPU seconds of the job's tasks that are not done, from its owner's estimate.
    [[nodiscard]] double remaining_work_cpu_s(const Job& job) const;
    /// When the job should be complete: the earliest of its owner's deadline, the time by which dependent jobs need it
    /// and, for a job without a deadline, the objective of its class. Negative: no limit.
    [[nodiscard]] double due_at(const Job& job) const;
    /// How many more tasks of this job the team's quota allows.
    [[nodiscard]] int quota_room(const Job& job) const;
    /// Checks whether a task of this job may be placed on this machine, counting everything that may be on machines
    /// now. Returns the violated rule (dependencies, type, zone, spot or on-demand, free resources, quota), or null if
    /// there is none. Every placement is checked here (docs/safety.md, 9 and 14;
    /// `ClusterState.RefusesAPlaceThatTheJobDoesNotAllow` and the tests after it).
    [[nodiscard]] const char* refusal(const Job& job, const Machine& machine) const;
    /// The part of `refusal` that concerns the machine's properties: its type, its zone, and spot or on-demand.
    [[nodiscard]] bool satisfies_constraints(const Job& job, const Machine& machine) const;
};

} // namespace heronshift::cluster
