// Machines from their rental until they are removed: types, zones, images, lease expiry, releases and the cloud's list.
#include "cluster/cluster_state.hpp"
#include "cluster/gone_proof.hpp"
#include "protocol_limits.hpp"

#include <cmath>
#include <fmt/format.h>

namespace heronshift::cluster {
namespace {

// A machine that is absent from the cloud's list for longer than this no longer exists, or never existed. The time is
// the sum of multiples of list_lag_s and lease_s.
constexpr double unlisted_list_lags = 4;
constexpr double unlisted_leases = 2;
// Time until a kind of machine is requested again after the cloud had no capacity for it, in units of report_s.
constexpr double no_capacity_heartbeats = 2;

} // namespace

Machine* ClusterState::find_machine(const std::string& id) {
    const auto it = data_.machines.find(id);
    return it == data_.machines.end() ? nullptr : it->second.get();
}

void ClusterState::bind_type(Machine& machine) {
    for (std::size_t i = 0; i < data_.types.size(); ++i)
        if (data_.types[i].name == machine.type_name) {
            machine.type = static_cast<int>(i);
            machine.total = data_.types[i].room;
        }
    if (machine.zone < 0)
        bind_zone(machine);
}

void ClusterState::bind_zone(Machine& machine) {
    const auto& zones = data_.settings.zones;
    for (std::size_t i = 0; i < zones.size(); ++i)
        if (zones[i] == machine.zone_name)
            machine.zone = static_cast<int>(i);
    if (machine.zone < 0)
        return;
    for (auto& entry : machine.entries) { // were counted in the unknown zone
        --entry->job->zone_live[zones.size()];
        ++entry->job->zone_live[static_cast<std::size_t>(machine.zone)];
    }
}

std::unique_ptr<Machine> ClusterState::new_machine(const std::string& id) {
    auto machine = std::make_unique<Machine>();
    machine->id = id;
    machine->known_since = data_.now;
    machine->fencing_token = data_.term << token_counter_bits;
    if (const auto* last = departed_.find(id); last != nullptr) {
        machine->agent_epoch = last->agent_epoch;
        machine->counter = machine->heartbeat_counter = last->counter;
        if (!last->released)
            departed_.erase(id);
    }
    if (const auto hint = image_hints_.find(id); hint != image_hints_.end()) {
        for (const auto image : hint->second)
            machine->images.push_back({image, true, data_.now});
        image_hints_.erase(hint);
    }
    return machine;
}

// Returns the machine with this id. Adds it if it is not tracked yet, and fills in properties that were not known.
Machine& ClusterState::find_or_add_machine(const std::string& id, const std::string& addr, const std::string& type,
                                           const std::string& zone, bool spot) {
    auto& slot = data_.machines[id];
    if (!slot)
        slot = new_machine(id);
    auto& machine = *slot;
    if (!addr.empty())
        machine.addr = addr;
    if (machine.type_name.empty() && !type.empty()) {
        machine.type_name = type;
        machine.spot = spot;
    }
    if (machine.zone_name.empty())
        machine.zone_name = zone;
    if (machine.type < 0 || machine.zone < 0)
        bind_type(machine);
    return machine;
}

double ClusterState::lease_expiry_s() const {
    return lease_surely_expires_after_s(data_.settings);
}

int ClusterState::image_id(const std::string& name, double gb) {
    const auto [it, fresh] = image_ids_.emplace(name, static_cast<int>(data_.image_gb.size()));
    if (fresh)
        data_.image_gb.push_back(gb);
    return it->second;
}

void ClusterState::use_image(Machine& machine, int image, bool ready) {
    std::optional<double> cache_gb;
    if (machine.type >= 0)
        cache_gb = data_.types[static_cast<std::size_t>(machine.type)].cache_gb;
    machine.use_image(image, ready, data_.now, cache_gb, data_.image_gb);
}

void ClusterState::forget_machine(const std::string& id, bool released) {
    const auto it = data_.machines.find(id);
    if (it == data_.machines.end())
        return;
    auto& machine = *it->second;
    heartbeat_requests_.forget(machine);
    dispatch_queue_.forget(machine);
    if (released || machine.agent_epoch > 0)
        departed_.add(id, {machine.agent_epoch, machine.counter, released, data_.now});
    data_.machines.erase(it);
}

// Removes the entries of a machine whose tasks are all proven gone (gone_proof.hpp). Entries in a transaction with an
// unknown outcome are kept until the outcome is known.
void ClusterState::remove_lost_entries(Machine& machine) {
    for (std::size_t i = machine.entries.size(); i-- > 0;)
        if (machine.entries[i]->phase != Phase::storing)
            remove_entry(*machine.entries[i]);
}

void ClusterState::expire_leases() {
    std::vector<std::string> remove;
    for (auto& [id, machine] : data_.machines) {
        if (machine->status == MachineStatus::up && lease_surely_expired(*machine, data_.now, data_.settings))
            mark_lost(*machine);
        if (may_be_forgotten(*machine))
            remove.push_back(id);
    }
    // A machine stays tracked as lost until `departed_` has capacity for its record.
    remove.resize(departed_.make_room_for(remove.size(), data_.now));
    for (const auto& id : remove)
        forget_machine(id, false);
}

// Marks a machine whose lease has certainly expired as lost.
void ClusterState::mark_lost(Machine& machine) {
    if (!machine.entries.empty())
        log(LogLine::Level::warning,
            fmt::format("lease of {} has lapsed, {} tasks lost", machine.id, machine.entries.size()));
    for (const auto& entry : machine.entries)
        counters_.lost += entry->phase >= Phase::sent;
    if (machine.spot)
        record_spot_loss();
    remove_lost_entries(machine);
    machine.status = MachineStatus::lost;
    machine.empty_since = data_.now;
    data_.unproven_machines.erase(machine.id);
}

// Whether the machine no longer exists or never existed according to the cloud's list, and has no entries or unanswered
// orders.
bool ClusterState::may_be_forgotten(const Machine& machine) const {
    const auto& settings = data_.settings;
    const bool unlisted = data_.now - std::max(machine.listed_at, machine.known_since) >
                          unlisted_list_lags * settings.list_lag_s + unlisted_leases * settings.lease_s;
    return machine.status != MachineStatus::up && machine.entries.empty() && unlisted && machine.batch == 0;
}

void ClusterState::rented(const Rented& command) {
    const auto it = data_.rentals.find(command.claim);
    if (it == data_.rentals.end())
        return;
    auto& rental = it->second;
    rental.in_flight = false;
    switch (command.outcome) {
    case RentOutcome::rented:
        for (const auto& id : command.machines)
            find_or_add_machine(id, "", rental.type, rental.zone, rental.spot).known_since = rental.requested_at;
        log(LogLine::Level::info, fmt::format("rented {} of {} {} in {}{}", command.machines.size(), rental.count,
                                              rental.type, rental.zone, rental.spot ? " (spot)" : ""));
        if (static_cast<int>(command.machines.size()) < rental.count)
            note_no_capacity(rental);
        data_.rentals.erase(it);
        break;
    case RentOutcome::no_capacity:
        note_no_capacity(rental);
        data_.rentals.erase(it);
        break;
    case RentOutcome::failed: // certainly not executed
        data_.rentals.erase(it);
        break;
    case RentOutcome::unknown:
        // The answer was lost. Repeats the request with the same claim, so that nothing is rented twice
        // (docs/safety.md, 12).
        rental.in_flight = true;
        effects_.emplace_back(Rent{command.claim, rental.type, rental.zone, rental.spot, rental.count});
        break;
    }
}

void ClusterState::note_no_capacity(const PendingRental& rental) {
    data_.no_capacity[fmt::format("{}/{}/{}", rental.type, rental.zone, rental.spot)] =
        data_.now + no_capacity_heartbeats * data_.settings.report_s;
}

void ClusterState::released(const Released& command) {
    releases_in_flight_ -= std::min(releases_in_flight_, command.machines.size());
    for (const auto& id : command.machines) {
        auto* machine = find_machine(id);
        if (machine == nullptr)
            continue;
        machine->release_requested = false;
        if (!command.ok) {
            machine->release_retry_at = data_.now + data_.settings.report_s;
            continue;
        }
        // The cloud has confirmed the release, so the machine and all its tasks are gone.
        remove_lost_entries(*machine);
        if (!machine->entries.empty())
            continue; // the release is requested again once the store has answered
        forget_machine(id, true);
    }
    needs_scheduling_ = true;
}

void ClusterState::listed(const MachinesListed& command) {
    for (const auto& listed_machine : command.machines) {
        // The list may be outdated and still contain a machine that was released.
        if (departed_.released(listed_machine.id))
            continue;
        auto& machine = find_or_add_machine(listed_machine.id, listed_machine.addr, listed_machine.type,
                                            listed_machine.zone, listed_machine.spot);
        machine.listed_at = data_.now;
        // After a failover, a machine may first become known from records or a heartbeat, although it is older. If it
        // counted as new, it could not be emptied for some time after each change of leadership.
        machine.known_since = std::min(machine.known_since, data_.now - listed_machine.age_s);
        if (listed_machine.status == "failed" && !machine.releasing) {
            log(LogLine::Level::info, fmt::format("machine {} has failed", machine.id));
            remove_lost_entries(machine);
            machine.status = MachineStatus::lost;
            machine.out_of_service = true;
        }
        if (!data_.listed_heartbeats_requested && listed_machine.status == "running")
            heartbeat_requests_.add(machine);
    }
    data_.listed_heartbeats_requested = true;
    needs_scheduling_ = true;
}

void ClusterState::types_known(std::vector<MachineType>&& types) {
    data_.types = std::move(types);
    data_.cpus_per_heartbeat_byte = 0;
    for (auto& type : data_.types) {
        type.room.heartbeat_bytes = max_task_list_bytes;
        data_.cpus_per_heartbeat_byte = std::max(data_.cpus_per_heartbeat_byte, type.room.cpus / max_task_list_bytes);
    }
    for (auto& [id, machine] : data_.machines)
        bind_type(*machine);
    needs_scheduling_ = true;
}

void ClusterState::record_spot_loss() {
    auto& learned = data_.learned;
    const double kept = std::exp(-(data_.now - learned.spot_losses_at) / data_.averaging_period_s());
    learned.spot_losses = learned.spot_losses * kept + 1;
    learned.spot_losses_at = data_.now;
}

} // namespace heronshift::cluster
