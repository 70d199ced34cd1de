// The part of Autoscaler that watches for machines that send no heartbeats.
#include "scheduling/autoscaler.hpp"

#include <algorithm>

namespace heronshift::scheduling {
namespace {

constexpr double checks_per_interval = 6; // searches within a heartbeat interval
// Heartbeat intervals without a heartbeat after which a machine is silent, and after which it may be presumed dead.
constexpr double silent_heartbeats = 1.5, dead_heartbeats = 2.5;
// Share of a zone's on-demand machines that are silent above which the zone is considered cut off from the leader.
constexpr double max_silent_share = 0.05;
constexpr double max_silent_spot_share = 0.5; // the same for the zone's spot machines
constexpr double tolerated_silent = 1;        // machines that may be silent by chance, also in the smallest zone

// Whether the machine is known only from stored records, because the cloud has not listed it. In most cases such a
// machine was already gone before this term.
bool is_unlisted(const Machine& machine) {
    return machine.type < 0;
}

} // namespace

double Autoscaler::silent_for_s(const Machine& machine) const {
    return cluster_.now - std::max({machine.last_heartbeat_at, cluster_.started, machine.known_since});
}

// Counts the silent machines of each zone, and requests a heartbeat from each unless one was requested recently or
// orders to it are in flight. Returns the silent machines.
std::vector<const Machine*> Autoscaler::probe_silent(SilentByZone& by_zone) {
    std::vector<const Machine*> silent;
    std::size_t spot_machines = 0;
    for (const auto& [id, machine] : cluster_.machines) {
        if (machine->status != MachineStatus::up || machine->releasing)
            continue;
        spot_machines += machine->spot;
        auto& zone = by_zone[machine->zone];
        auto& count = machine->spot ? zone.spot : zone.on_demand;
        const int counted = is_unlisted(*machine) ? 0 : 1;
        count.up += counted;
        if (silent_for_s(*machine) < silent_heartbeats * settings_.report_s)
            continue;
        count.silent += counted;
        silent.push_back(machine.get());
        if (cluster_.now - machine->heartbeat_requested_at >= settings_.report_s && machine->batch == 0)
            proposals_.request_heartbeat(*machine);
    }
    proposals_.set_spot_count(spot_machines);
    return silent;
}

// Whether a silent machine has certainly or most likely been reclaimed by the cloud. If many machines of its zone are
// silent, it has not: the zone is cut off from the leader, and its machines keep running their tasks.
bool Autoscaler::is_presumed_reclaimed(const Machine& machine, const ZoneCount& zone) const {
    if (is_unlisted(machine) && !cluster_.listed_heartbeats_requested)
        return false;
    if (!machine.spot && !is_unlisted(machine))
        return false;
    if (silent_for_s(machine) < dead_heartbeats * settings_.report_s)
        return false;
    if (machine.draining && cluster_.now > machine.reclaim_at)
        return true; // the time announced in its reclaim notice has passed
    return zone.on_demand.silent <= tolerated_silent + max_silent_share * zone.on_demand.up &&
           zone.spot.silent <= tolerated_silent + zone.spot.up * max_silent_spot_share;
}

// Presumes silent spot machines dead, since most of them were reclaimed without notice. A machine presumed dead is
// released, and the answer to the release proves that it is gone (docs/safety.md, 7: an answered release), so its tasks
// start elsewhere long before its lease would have expired.
void Autoscaler::check_silent_machines() {
    if (cluster_.now < next_silence_check_)
        return;
    next_silence_check_ = cluster_.now + settings_.report_s / checks_per_interval;
    SilentByZone by_zone;
    const auto silent = probe_silent(by_zone);
    for (const auto* machine : silent)
        if (is_presumed_reclaimed(*machine, by_zone[machine->zone]))
            proposals_.presume_dead(*machine);
}

} // namespace heronshift::scheduling
