// The rules of where a task may run, and other questions about the state.
#include "heronshift/cluster/cluster_data.hpp"

#include <cmath>

namespace heronshift::cluster {
namespace {

constexpr double offered_leases = 3; // lengths of a lease over which offered work is averaged

} // namespace

double ClusterData::average_s() const {
    return offered_leases * settings.lease_s;
}

double ClusterData::work_left(const Job& j) const {
    return j.spec.each.cpus * (j.spec.tasks - j.done) * std::max(1.0, j.spec.estimate_s);
}

double ClusterData::due_at(const Job& j) const {
    double due = j.spec.deadline_s >= 0 ? j.submitted + j.spec.deadline_s : 1e18;
    if (j.latest >= 0)
        due = std::min(due, j.latest);
    if (j.spec.deadline_s < 0 && !j.waits)
        for (const auto& o : settings.objectives)
            if (o.kind == "finished" && o.job_class == j.spec.job_class)
                due = std::min(due, j.ready + o.within_s);
    return due < 1e18 ? due : -1;
}

int ClusterData::quota_room(const Job& j) const {
    if (j.team < 0)
        return 0;
    const auto& t = teams[static_cast<std::size_t>(j.team)];
    double n = 1e6;
    if (t.limits.cpus_max > 0)
        n = std::min(n, (t.limits.cpus_max - t.used.cpus + 1e-6) / j.spec.each.cpus);
    if (t.limits.gpus_max > 0 && j.spec.each.gpus > 0)
        n = std::min(n, (t.limits.gpus_max - t.used.gpus + 1e-6) / j.spec.each.gpus);
    return static_cast<int>(std::floor(std::max(0.0, n)));
}

bool ClusterData::allowed_there(const Job& j, const Machine& m) const {
    const auto& spec = j.spec;
    if (m.zone < 0 || m.type < 0 || (m.spot && !spec.spot))
        return false;
    if (!spec.types.empty() && std::find(spec.types.begin(), spec.types.end(), m.type_name) == spec.types.end())
        return false;
    if (!spec.zone.empty() && spec.zone != m.zone_name)
        return false;
    const auto zone = static_cast<std::size_t>(m.zone);
    if (spec.one_zone && j.live > 0 && j.zone_live[zone] != j.live)
        return false;
    // What is in an unknown zone may be in any.
    return !spec.spread || j.zone_live[zone] + j.zone_live.back() < (spec.tasks + 1) / 2;
}

const char* ClusterData::refusal(const Job& j, const Machine& m) const {
    if (j.waits)
        return "the jobs that it needs are not done";
    if (j.final != Final::none)
        return "the job is over";
    if (unproven())
        return "a damaged record leaves open what runs";
    if (m.status != Status::up || m.draining || m.releasing)
        return "the machine takes no work";
    if (!allowed_there(j, m))
        return "a type, zone or kind that the job does not allow";
    if (!j.spec.each.fits(m.whole - m.used))
        return "no room";
    if (quota_room(j) < 1)
        return "the team's limit";
    return nullptr;
}

} // namespace heronshift::cluster
