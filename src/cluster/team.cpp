#include "cluster/team.hpp"

#include <algorithm>
#include <cmath>

namespace heronshift::cluster {
namespace {

constexpr double rounding_tolerance = 1e-6; // tolerance for floating-point sums at a limit
constexpr double unlimited_tasks = 1e6;

} // namespace

int Team::quota_room(const Resources& each) const {
    double room = unlimited_tasks;
    if (limits.cpus_max > 0)
        room = std::min(room, (limits.cpus_max - used.cpus + rounding_tolerance) / each.cpus);
    if (limits.gpus_max > 0 && each.gpus > 0)
        room = std::min(room, (limits.gpus_max - used.gpus + rounding_tolerance) / each.gpus);
    return static_cast<int>(std::floor(std::max(0.0, room)));
}

void Team::add(Job& job) {
    const auto before =
        std::find_if(jobs.rbegin(), jobs.rend(), [&](const auto& other) { return other->ready <= job.ready; });
    jobs.emplace(before.base(), &job);
}

void Team::remove(const Job& job) {
    std::erase_if(jobs, [&](const auto& other) { return other == &job; });
}

void Team::mark_guarantees() {
    double cpus = 0, gpus = 0;
    for (auto& job : jobs) {
        if (job->over())
            continue;
        cpus += job->spec.each.cpus * job->spec.tasks;
        gpus += job->spec.each.gpus * job->spec.tasks;
        // A job is only guaranteed if the team has a guarantee for at least one resource that the job uses.
        const bool some = limits.cpus > 0 || (limits.gpus > 0 && job->spec.each.gpus > 0);
        job->guaranteed = some && (limits.cpus <= 0 || cpus <= limits.cpus + rounding_tolerance) &&
                          (limits.gpus <= 0 || gpus <= limits.gpus + rounding_tolerance);
    }
}

} // namespace heronshift::cluster
