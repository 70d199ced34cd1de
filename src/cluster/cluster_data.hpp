// The state of the cluster as the leader sees it: jobs, tasks, machines, teams. Plain data, which policies get const
// (const reaches through every pointer in it) and only ClusterState and, at a failover, ClusterRecords change. Times
// are seconds of the steady clock unless they are called wall.
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

/// fencing token = term << token_counter_bits | increments within the term. Each machine's are its own, whatever their
/// number: one for each launch whose outcome is open or lease that ran out, so one in report_s / 2 at most. 2^24 of
/// them take nine months of one term with report_s 3; terms have 40 bits.
inline constexpr int token_counter_bits = 24;
/// attempt = term << try_bits | passes within the term, one in report_s / 60 at most: seven years of a term.
inline constexpr int attempt_counter_bits = 32;

/// Machines that were asked for with one claim; kept until the cloud has answered.
struct Pending {
    std::string type, zone;
    bool spot = false;
    int count = 0;
    double asked = 0;
    /// The request is under way.
    bool in_flight = true;
};

/// Averages over the recent past. They go from leader to leader through the store.
struct Learned {
    /// Work that array jobs bring, in CPUs, averaged over `ClusterData::average_s`, and when it was last updated.
    double offered = 0, offered_at = 0;
    /// The part of it that may not use spot machines.
    double offered_ordinary = 0;
    /// Seconds between array jobs, averaged over so many of them; only those of this leader.
    double gap_s = 0, gaps = 0;
    /// Spot machines that were reclaimed or lost, averaged likewise.
    double spot_losses = 0, spot_losses_at = 0;
    /// How long tasks have run lately, and how long their owners expected.
    double ran_s = 1, estimated_s = 1;
    /// By which factor tasks take longer than expected.
    [[nodiscard]] double bias() const {
        return std::clamp(ran_s / estimated_s, 0.3, 3.0);
    }
};

/// All state of one leader's term.
struct ClusterData {
    explicit ClusterData(const Settings& s) : settings(s) {}
    const Settings& settings;
    std::uint64_t term = 0;
    double now = 0, wall = 0, started = 0;
    /// When the store last was late or refused: then jobs may come and not be stored.
    double unserved_at = -1e18;
    std::vector<MachineType> types;
    std::vector<Team> teams;
    std::unordered_map<std::string, PropagateConst<std::unique_ptr<Job>>> jobs;
    std::map<std::string, PropagateConst<std::unique_ptr<Machine>>> machines;
    /// The sizes of the images, by their numbers.
    std::vector<double> image_gb;
    /// Rentals without an answer, by claim.
    std::map<std::string, Pending> rentals;
    /// "type/zone/spot": not to be asked for before this time.
    std::map<std::string, double> no_capacity;
    /// What a task uses of the work that waits most; the largest replica of a service.
    Resources common_shape, service_shape;
    Learned learned;
    /// Spot machines that were up when last counted.
    std::size_t spot_machines = 0;
    /// The list has told once which machines there are, and these were asked for a heartbeat.
    bool asked_all = false;
    /// Machines whose records were damaged: until they have reported to us or their leases have surely expired, any
    /// task read at the failover may be on them (docs/safety.md, 5).
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
    /// A damaged record still leaves open what runs.
    [[nodiscard]] bool unproven() const {
        return !unproven_machines.empty() && now < unproven_until;
    }
    /// The time over which offered work and losses are averaged, in seconds.
    [[nodiscard]] double average_s() const;
    /// CPU seconds that the tasks not done yet take by their owner's estimate.
    [[nodiscard]] double work_left(const Job& job) const;
    /// When a job should be complete, by its owner's deadline, by those that need it or by the objective of its
    /// class; below zero: no such time.
    [[nodiscard]] double due_at(const Job& job) const;
    /// How many more tasks the team's limit allows.
    [[nodiscard]] int quota_room(const Job& job) const;
    /// The rule that forbids a task of this job on this machine, given all that may be on machines now: the jobs that
    /// it needs, type, zone, kind, room, quota. Null: none does. Every placement is checked by it
    /// (docs/safety.md, 9 and 14; `ClusterState.RefusesAPlaceThatTheJobDoesNotAllow` and those after it).
    [[nodiscard]] const char* refusal(const Job& job, const Machine& machine) const;
    /// The part of it that is about the place: type, zone and kind.
    [[nodiscard]] bool allowed_there(const Job& job, const Machine& machine) const;
};

} // namespace heronshift::cluster
