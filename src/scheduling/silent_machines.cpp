// Autoscaler's part that watches for machines without heartbeats.
#include "scheduling/autoscaler.hpp"

#include <algorithm>

namespace heronshift::scheduling {
namespace {

constexpr double looks_an_interval = 6; // how often silence is looked for in one interval between heartbeats
constexpr double silent_heartbeats = 1.5, dead_heartbeats = 2.5; // intervals without a heartbeat
constexpr double max_silent_share = 0.05;     // of a zone's ordinary machines: if more are silent, the zone is cut off
constexpr double max_silent_spot_share = 0.5; // of a zone's spot machines: the same
constexpr double chance_silent = 1;           // machine that may be silent by chance in the smallest zone

// A machine that the cloud has not listed is known from records only: it was mostly gone before this term.
bool is_unlisted(const Machine& machine) {
    return machine.type < 0;
}

} // namespace

double Autoscaler::silent_for_s(const Machine& machine) const {
    return cluster_.now - std::max({machine.last_heartbeat_at, cluster_.started, machine.known_since});
}

// Counts silent machines by zone and asks each for a heartbeat, unless it was asked lately or orders are on their way.
std::vector<const Machine*> Autoscaler::ask_silent(SilentByZone& by_zone) {
    std::vector<const Machine*> silent;
    std::size_t spot_machines = 0;
    for (const auto& [id, machine] : cluster_.machines) {
        if (machine->status != Status::up || machine->releasing)
            continue;
        spot_machines += machine->spot;
        auto& zone = by_zone[machine->zone];
        auto& count = machine->spot ? zone.spot : zone.ordinary;
        const int counted = is_unlisted(*machine) ? 0 : 1;
        count.up += counted;
        if (silent_for_s(*machine) < silent_heartbeats * settings_.report_s)
            continue;
        count.silent += counted;
        silent.push_back(machine.get());
        if (cluster_.now - machine->asked_at >= settings_.report_s && machine->batch == 0)
            proposals_.ask(*machine);
    }
    proposals_.count_spot(spot_machines);
    return silent;
}

// Whether a silent machine has surely or mostly been taken away by the cloud. Not so if many machines of its zone are
// silent: then the zone is cut off, and work goes on behind the cut.
bool Autoscaler::is_taken(const Machine& machine, const ZoneCount& zone) const {
    if (is_unlisted(machine) && !cluster_.asked_all)
        return false;
    if (!machine.spot && !is_unlisted(machine))
        return false;
    if (silent_for_s(machine) < dead_heartbeats * settings_.report_s)
        return false;
    if (machine.draining && cluster_.now > machine.notice_until)
        return true; // by the notice that it gave
    return zone.ordinary.silent <= chance_silent + max_silent_share * zone.ordinary.up &&
           zone.spot.silent <= chance_silent + zone.spot.up * max_silent_spot_share;
}

// A spot machine that falls silent has mostly been taken without notice. Presumed dead it is given back, so it is
// surely gone (docs/safety.md, 7: an answered release) and its tasks start elsewhere long before its lease would have
// expired.
void Autoscaler::watch_silent() {
    if (cluster_.now < next_silent_)
        return;
    next_silent_ = cluster_.now + settings_.report_s / looks_an_interval;
    SilentByZone by_zone;
    const auto silent = ask_silent(by_zone);
    for (const auto* machine : silent)
        if (is_taken(*machine, by_zone[machine->zone]))
            proposals_.presume_dead(*machine);
}

} // namespace heronshift::scheduling
