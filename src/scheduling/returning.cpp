// The part of Autoscaler that releases machines.
#include "scheduling/autoscaler.hpp"

#include <fmt/format.h>

namespace heronshift::scheduling {
namespace {

// A machine that is not up after this many times its boot time and one lease is not expected to come up any more.
constexpr double max_boot_times = 5;
// Number of leases after which a lost machine is not expected to come back.
constexpr double lost_release_leases = 2;
// Number of leases after which a machine that does not receive the leader's answers is released, and after which it is
// released if its zone is cut off from the leader. The second is longer because the connection may come back.
constexpr double unreachable_release_leases = 1.5;
constexpr double cut_off_release_leases = 3;
// Share of a zone's machines that do not receive the leader's answers above which the zone itself is considered cut off
// from the leader.
constexpr double max_unreachable_share = 0.05;
constexpr double tolerated_unreachable = 1; // machines that may be unreachable by chance, also in the smallest zone

} // namespace

Autoscaler::ReachabilityByZone Autoscaler::reachability_by_zone() const {
    ReachabilityByZone by_zone;
    for (const auto& [id, machine] : cluster_.machines) {
        auto& zone = by_zone[machine->zone];
        zone.unreachable += machine->inbound_unreachable();
        zone.up += machine->status == MachineStatus::up;
    }
    return by_zone;
}

// A machine that does not receive the leader's answers stops its tasks within one lease and cannot get new ones.
bool Autoscaler::inbound_unreachable_for_long(const Machine& machine, const ReachabilityByZone& by_zone) const {
    if (!machine.inbound_unreachable())
        return false;
    const auto& zone = by_zone.at(machine.zone);
    const bool cut_off = zone.unreachable > tolerated_unreachable + max_unreachable_share * zone.up;
    const double leases = cut_off ? cut_off_release_leases : unreachable_release_leases;
    return cluster_.now - machine.inbound_unreachable_since > leases * settings_.lease_s;
}

bool Autoscaler::never_came_up(const Machine& machine) const {
    if (machine.status != MachineStatus::booting)
        return false;
    const double boot_s =
        machine.type >= 0 ? cluster_.types[static_cast<std::size_t>(machine.type)].boot_s : settings_.lease_s;
    return cluster_.now - machine.known_since > max_boot_times * boot_s + settings_.lease_s;
}

bool Autoscaler::is_permanently_lost(const Machine& machine) const {
    return machine.status == MachineStatus::lost && machine.entries.empty() &&
           (machine.out_of_service ||
            cluster_.now - machine.lease_started_at > lost_release_leases * settings_.lease_s);
}

bool Autoscaler::is_empty_and_unneeded(const Machine& machine) const {
    if (machine.status != MachineStatus::up || !machine.entries.empty())
        return false;
    if (machine.out_of_service)
        return true;
    const bool empty_for_long = settings_.ops.empty_s > 0 && cluster_.now - machine.empty_since > settings_.ops.empty_s;
    // Wait for a heartbeat interval after a change of leader, until the new leader knows which tasks run where. A batch
    // of orders without an answer may still start a task.
    const bool surely_empty = !machine.draining && machine.empty_since >= 0 && machine.batch == 0 &&
                              cluster_.now - cluster_.started > settings_.report_s;
    return surely_empty && (machine.retiring || empty_for_long);
}

bool Autoscaler::should_release(const Machine& machine, const ReachabilityByZone& by_zone) const {
    if (!machine.entries.empty() && !machine.presumed_dead)
        return false;
    return machine.releasing || machine.presumed_dead || never_came_up(machine) || is_permanently_lost(machine) ||
           is_empty_and_unneeded(machine) || inbound_unreachable_for_long(machine, by_zone);
}

void Autoscaler::stop_tasks_on(const Machine& machine) {
    for (const auto& entry : machine.entries)
        proposals_.stop(*entry, drain_time_s(entry->job->spec));
}

void Autoscaler::release_machines() {
    std::vector<std::string> released;
    const auto by_zone = reachability_by_zone();
    for (const auto& [id, machine] : cluster_.machines) {
        if (released.size() >= max_returned)
            break;
        if (machine->release_requested || cluster_.now < machine->release_retry_at)
            continue;
        if (machine->out_of_service && machine->status == MachineStatus::up)
            stop_tasks_on(*machine);
        if (!should_release(*machine, by_zone))
            continue;
        proposals_.begin_release(*machine);
        released.push_back(id);
    }
    if (released.empty())
        return;
    proposals_.log(LogLine::Level::info,
                   fmt::format("returning {} machines, {} first", released.size(), released.front()));
    proposals_.release(std::move(released));
}

} // namespace heronshift::scheduling
