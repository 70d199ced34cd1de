#include "scheduling/room_index.hpp"

#include <algorithm>
#include <bit>

namespace heronshift::scheduling {
namespace {

// Added to the room on pool machines to allow for rounding errors, since the index adds up amounts in another order
// than usable() does. A machine that is found only because of this is removed at the end of find(), which calls
// usable().
constexpr double rounding = 1e-9;
constexpr double nothing_fits = -1e18; // less than any task needs
const Resources no_room{nothing_fits, nothing_fits, nothing_fits, nothing_fits};

Resources larger_of_each(const Resources& one, const Resources& other) {
    return {std::max(one.cpus, other.cpus), std::max(one.gpus, other.gpus), std::max(one.memory_gb, other.memory_gb),
            std::max(one.heartbeat_bytes, other.heartbeat_bytes)};
}

} // namespace

void RoomTree::assign(const std::vector<Resources>& rooms) {
    leaves_ = std::bit_ceil(std::max<std::size_t>(rooms.size(), 1));
    nodes_.assign(2 * leaves_, no_room);
    std::copy(rooms.begin(), rooms.end(), nodes_.begin() + static_cast<std::ptrdiff_t>(leaves_));
    for (std::size_t node = leaves_; node-- > 1;)
        nodes_[node] = larger_of_each(nodes_[2 * node], nodes_[2 * node + 1]);
}

void RoomTree::set(std::size_t at, const Resources& room) {
    std::size_t node = leaves_ + at;
    nodes_[node] = room;
    for (node /= 2; node >= 1; node /= 2)
        nodes_[node] = larger_of_each(nodes_[2 * node], nodes_[2 * node + 1]);
}

void RoomTree::find(const Resources& need, std::vector<std::uint32_t>& found) const {
    if (!nodes_.empty())
        find_below(1, need, found);
}

void RoomTree::find_below(std::size_t node, const Resources& need, std::vector<std::uint32_t>& found) const {
    if (!need.fits(nodes_[node]))
        return;
    if (node >= leaves_) {
        found.push_back(static_cast<std::uint32_t>(node - leaves_));
        return;
    }
    find_below(2 * node, need, found);
    find_below(2 * node + 1, need, found);
}

bool RoomIndex::is_reserved(const Machine& machine) const {
    return machine.reserved_for != nullptr && cluster_.now < machine.reserved_until;
}

Resources RoomIndex::service_room(const Machine& machine) const {
    return is_reserved(machine) ? no_room : machine.total - machine.used;
}

Resources RoomIndex::task_room(const Machine& machine) const {
    if (is_reserved(machine) || cluster_.now < machine.slow_until)
        return no_room;
    const auto free = machine.total - machine.used;
    return machine.pool
               ? free - cluster_.service_shape * replica_headroom + Resources{rounding, rounding, rounding, rounding}
               : free;
}

void RoomIndex::rebuild() {
    machines_.clear();
    slots_.clear();
    reserved_.clear();
    for (auto& [key, group] : groups_) {
        group.members.clear();
        group.service_rooms.clear();
        group.task_rooms.clear();
    }
    for (const auto& [id, machine] : cluster_.machines) {
        if (!takes_work(cluster_, *machine))
            continue;
        const auto at = static_cast<std::uint32_t>(machines_.size());
        machines_.push_back(machine.get());
        auto& group = groups_[{machine->type, machine->zone, machine->spot}];
        slots_.push_back({&group, static_cast<std::uint32_t>(group.members.size())});
        group.members.push_back(at);
        group.service_rooms.push_back(service_room(*machine));
        group.task_rooms.push_back(task_room(*machine));
        index_reservation(*machine, at);
    }
    for (auto& [key, group] : groups_) {
        group.for_services.assign(group.service_rooms);
        group.for_tasks.assign(group.task_rooms);
    }
}

void RoomIndex::index_reservation(const Machine& machine, std::uint32_t at) {
    if (is_reserved(machine))
        reserved_.push_back({at, machine.reserved_for, machine.reserved_priority});
}

std::size_t RoomIndex::position(const Machine& machine) const {
    const auto found = std::lower_bound(machines_.begin(), machines_.end(), &machine,
                                        [](const Machine* one, const Machine* other) { return one->id < other->id; });
    return found != machines_.end() && *found == &machine ? static_cast<std::size_t>(found - machines_.begin()) : none;
}

void RoomIndex::update(const Machine& machine) {
    const auto found = position(machine);
    if (found == none)
        return;
    const auto at = static_cast<std::uint32_t>(found);
    std::erase_if(reserved_, [at](const Reservation& reservation) { return reservation.machine == at; });
    index_reservation(machine, at);
    const auto& slot = slots_[found];
    slot.group->for_services.set(slot.member, service_room(machine));
    slot.group->for_tasks.set(slot.member, task_room(machine));
}

bool RoomIndex::may_hold(const Group& group, const Job& job, CpuOnlyOnDemand which) const {
    if (group.members.empty())
        return false;
    const auto& any = *machines_[group.members.front()];
    if (which == CpuOnlyOnDemand::excluded && is_cpu_only_on_demand(any))
        return false;
    return cluster_.satisfies_constraints(job, any);
}

void RoomIndex::find_reserved(const Job& job, CpuOnlyOnDemand which, std::vector<std::uint32_t>& found) const {
    for (const auto& reservation : reserved_) {
        if (reservation.job != &job && job.priority >= reservation.priority)
            continue;
        const auto& machine = *machines_[reservation.machine];
        if (which == CpuOnlyOnDemand::excluded && is_cpu_only_on_demand(machine))
            continue;
        if (job.spec.each.fits(machine.total - machine.used))
            found.push_back(reservation.machine);
    }
}

std::vector<std::uint32_t> RoomIndex::find(const Job& job, CpuOnlyOnDemand which) const {
    std::vector<std::uint32_t> positions, members;
    for (const auto& [key, group] : groups_) {
        if (!may_hold(group, job, which))
            continue;
        members.clear();
        (job.spec.shape == Shape::service ? group.for_services : group.for_tasks).find(job.spec.each, members);
        for (const auto member : members)
            positions.push_back(group.members[member]);
    }
    find_reserved(job, which, positions);
    std::sort(positions.begin(), positions.end());
    std::erase_if(positions, [&](std::uint32_t position) { return !usable(cluster_, *machines_[position], job); });
    return positions;
}

} // namespace heronshift::scheduling
