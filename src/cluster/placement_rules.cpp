// The placement rules, and other values derived from the cluster's state.
#include "cluster/cluster_data.hpp"

#include <cmath>

namespace heronshift::cluster {
namespace {

constexpr double offered_leases = 3; // averaging period for offered work, in units of lease_s
constexpr double never = 1e18;

} // namespace

double ClusterData::averaging_period_s() const {
    return offered_leases * settings.lease_s;
}

double ClusterData::cpu_demand(const Job& job) const {
    return std::max(job.spec.each.cpus, job.spec.each.heartbeat_bytes * cpus_per_heartbeat_byte);
}

double ClusterData::remaining_work_cpu_s(const Job& job) const {
    return cpu_demand(job) * (job.spec.tasks - job.done) * std::max(1.0, job.spec.estimate_s);
}

double ClusterData::due_at(const Job& job) const {
    double due = job.spec.deadline_s >= 0 ? job.submitted + job.spec.deadline_s : never;
    if (job.needed_by >= 0)
        due = std::min(due, job.needed_by);
    if (job.spec.deadline_s < 0 && !job.waits)
        for (const auto& objective : settings.objectives)
            if (objective.kind == "finished" && objective.job_class == job.spec.job_class)
                due = std::min(due, job.ready + objective.within_s);
    return due < never ? due : -1;
}

int ClusterData::quota_room(const Job& job) const {
    return job.team < 0 ? 0 : teams[static_cast<std::size_t>(job.team)].quota_room(job.spec.each);
}

bool ClusterData::satisfies_constraints(const Job& job, const Machine& machine) const {
    const auto& spec = job.spec;
    if (machine.zone < 0 || machine.type < 0 || (machine.spot && !spec.spot))
        return false;
    if (!spec.types.empty() && std::find(spec.types.begin(), spec.types.end(), machine.type_name) == spec.types.end())
        return false;
    if (!spec.zone.empty() && spec.zone != machine.zone_name)
        return false;
    const auto zone = static_cast<std::size_t>(machine.zone);
    if (spec.one_zone && job.live > 0 && job.zone_live[zone] != job.live)
        return false;
    // Entries in an unknown zone may be in any zone, so they count for this one.
    return !spec.spread || job.zone_live[zone] + job.zone_live.back() < (spec.tasks + 1) / 2;
}

const char* ClusterData::refusal(const Job& job, const Machine& machine) const {
    if (job.waits)
        return "the jobs that it needs are not done";
    if (job.over())
        return "the job is over";
    if (has_unproven_machines())
        return "a damaged record leaves open what runs";
    if (machine.status != MachineStatus::up || machine.draining || machine.releasing)
        return "the machine takes no work";
    if (!satisfies_constraints(job, machine))
        return "a type, zone or kind that the job does not allow";
    if (!job.spec.each.fits(machine.total - machine.used))
        return "no room";
    if (quota_room(job) < 1)
        return "the team's limit";
    return nullptr;
}

} // namespace heronshift::cluster
