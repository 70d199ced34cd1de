// The part of Placement that chooses the pool: the machines that are kept permanently, which the paper calls the edge.
#include "scheduling/placement.hpp"

#include <algorithm>
#include <map>

namespace heronshift::scheduling {
namespace {

using MachinesByZone = std::map<int, std::vector<const Machine*>>;

// The resources that all replicas need together, and the largest need of a single replica.
struct ReplicaNeed {
    Resources total, largest;
};

ReplicaNeed replica_need(const ClusterData& cluster) {
    ReplicaNeed need;
    for (const auto& [id, job] : cluster.jobs) {
        const auto& spec = job->spec;
        if (spec.shape != Shape::service || job->final != FinalState::none || job->waits)
            continue;
        need.total += spec.each * spec.tasks;
        need.largest.cpus = std::max(need.largest.cpus, spec.each.cpus);
        need.largest.memory_gb = std::max(need.largest.memory_gb, spec.each.memory_gb);
        need.largest.heartbeat_bytes = std::max(need.largest.heartbeat_bytes, spec.each.heartbeat_bytes);
    }
    return need;
}

bool may_be_pool(const ClusterData& cluster, const Machine& machine) {
    return !machine.spot && machine.status == MachineStatus::up && !machine.out_of_service && !machine.releasing &&
           machine.type >= 0 && machine.zone >= 0 &&
           cluster.types[static_cast<std::size_t>(machine.type)].room.gpus <= 0;
}

// The machines that may be in the pool, by zone, the oldest first. Ids are assigned in the order of creation and are
// the same for every leader, so the age is read from them. Ids of the same length are already in order.
MachinesByZone pool_candidates(const ClusterData& cluster) {
    MachinesByZone by_zone;
    for (const auto& [id, machine] : cluster.machines)
        if (may_be_pool(cluster, *machine))
            by_zone[machine->zone].push_back(machine.get());
    for (auto& [zone, machines] : by_zone)
        std::stable_sort(machines.begin(), machines.end(),
                         [](const Machine* one, const Machine* other) { return one->id.size() < other->id.size(); });
    return by_zone;
}

// Takes machines from all zones in turn until they meet the need.
std::vector<const Machine*> take_round_robin(const MachinesByZone& by_zone, Resources need) {
    std::vector<const Machine*> taken;
    std::size_t max_in_zone = 0;
    for (const auto& [zone, machines] : by_zone)
        max_in_zone = std::max(max_in_zone, machines.size());
    for (std::size_t turn = 0; turn < max_in_zone; ++turn)
        for (const auto& [zone, machines] : by_zone) {
            if ((need.cpus <= 0 || need.memory_gb <= 0) && need.heartbeat_bytes <= 0)
                return taken;
            if (turn >= machines.size())
                continue;
            taken.push_back(machines[turn]);
            need -= machines[turn]->total;
        }
    return taken;
}

} // namespace

// Makes the oldest on-demand machines the pool, evenly over all zones: as many as the services need, plus the
// configured headroom and one extra replica for each zone. All other machines are overflow, to be emptied and released.
void Placement::choose_pool() {
    const auto [total, largest] = replica_need(cluster_);
    const auto need = total * (1 + settings_.ops.headroom) + largest * static_cast<double>(settings_.zones.size());
    proposals_.set_pool(take_round_robin(pool_candidates(cluster_), need), largest);
}

} // namespace heronshift::scheduling
