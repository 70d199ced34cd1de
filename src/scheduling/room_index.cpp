// The index of free room, see room_index.hpp.
#include "heronshift/scheduling/room_index.hpp"

#include <algorithm>
#include <bit>

namespace heronshift::scheduling {
namespace {

constexpr double rounding = 1e-9; // sums in another order than usable() has them; find() asks that again
const Resources no_room{-1e18, -1e18, -1e18};

Resources larger_of_each(const Resources& a, const Resources& b) {
    return {std::max(a.cpus, b.cpus), std::max(a.gpus, b.gpus), std::max(a.memory_gb, b.memory_gb)};
}

} // namespace

void RoomTree::assign(const std::vector<Resources>& rooms) {
    leaves_ = std::bit_ceil(std::max<std::size_t>(rooms.size(), 1));
    nodes_.assign(2 * leaves_, no_room);
    std::copy(rooms.begin(), rooms.end(), nodes_.begin() + static_cast<std::ptrdiff_t>(leaves_));
    for (std::size_t n = leaves_; n-- > 1;)
        nodes_[n] = larger_of_each(nodes_[2 * n], nodes_[2 * n + 1]);
}

void RoomTree::set(std::size_t at, const Resources& room) {
    std::size_t n = leaves_ + at;
    nodes_[n] = room;
    for (n /= 2; n >= 1; n /= 2)
        nodes_[n] = larger_of_each(nodes_[2 * n], nodes_[2 * n + 1]);
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

// The part of usable() that is the same for all jobs.
bool RoomIndex::takes_work(const Machine& m) const {
    if (m.status != Status::up || m.draining || m.bad || m.releasing || m.retiring || m.type < 0 || m.zone < 0 ||
        !m.proven || m.inbound_unreachable())
        return false;
    return cluster_.now >= m.avoid_until && cluster_.now <= m.last_heartbeat_at + 1.5 * cluster_.settings.report_s;
}

bool RoomIndex::is_reserved(const Machine& m) const {
    return m.reserved_for != nullptr && cluster_.now < m.reserved_until;
}

Resources RoomIndex::service_room(const Machine& m) const {
    return is_reserved(m) ? no_room : m.whole - m.used;
}

Resources RoomIndex::task_room(const Machine& m) const {
    if (is_reserved(m) || cluster_.now < m.slow_until)
        return no_room;
    const auto free = m.whole - m.used;
    return m.pool ? free - cluster_.service_shape * 2 + Resources{rounding, rounding, rounding} : free;
}

void RoomIndex::rebuild() {
    machines_.clear();
    places_.clear();
    reserved_.clear();
    for (auto& [key, g] : groups_) {
        g.members.clear();
        g.service_rooms.clear();
        g.task_rooms.clear();
    }
    for (const auto& [id, m] : cluster_.machines) {
        if (!takes_work(*m))
            continue;
        const auto at = static_cast<std::uint32_t>(machines_.size());
        machines_.push_back(m.get());
        auto& g = groups_[{m->type, m->zone, m->spot}];
        places_.push_back({&g, static_cast<std::uint32_t>(g.members.size())});
        g.members.push_back(at);
        g.service_rooms.push_back(service_room(*m));
        g.task_rooms.push_back(task_room(*m));
        note_reservation(*m, at);
    }
    for (auto& [key, g] : groups_) {
        g.for_services.assign(g.service_rooms);
        g.for_tasks.assign(g.task_rooms);
    }
}

void RoomIndex::note_reservation(const Machine& m, std::uint32_t at) {
    if (is_reserved(m))
        reserved_.push_back({at, m.reserved_for, m.reserved_priority});
}

std::size_t RoomIndex::position(const Machine& m) const {
    const auto it = std::lower_bound(machines_.begin(), machines_.end(), &m,
                                     [](const Machine* a, const Machine* b) { return a->id < b->id; });
    return it != machines_.end() && *it == &m ? static_cast<std::size_t>(it - machines_.begin()) : none;
}

void RoomIndex::update(const Machine& m) {
    const auto found = position(m);
    if (found == none)
        return;
    const auto at = static_cast<std::uint32_t>(found);
    std::erase_if(reserved_, [at](const Reservation& r) { return r.machine == at; });
    note_reservation(m, at);
    const auto& place = places_[found];
    place.group->for_services.set(place.member, service_room(m));
    place.group->for_tasks.set(place.member, task_room(m));
}

bool RoomIndex::may_hold(const Group& g, const Job& j, PlainMachines which) const {
    if (g.members.empty())
        return false;
    const auto& any = *machines_[g.members.front()];
    if (which == PlainMachines::left_out && plain(any))
        return false;
    return cluster_.allowed_there(j, any);
}

void RoomIndex::find_reserved(const Job& j, PlainMachines which, std::vector<std::uint32_t>& found) const {
    for (const auto& r : reserved_) {
        if (r.job != &j && j.priority >= r.priority)
            continue;
        const auto& m = *machines_[r.machine];
        if (which == PlainMachines::left_out && plain(m))
            continue;
        if (j.spec.each.fits(m.whole - m.used))
            found.push_back(r.machine);
    }
}

std::vector<std::uint32_t> RoomIndex::find(const Job& j, PlainMachines which) const {
    std::vector<std::uint32_t> positions, members;
    for (const auto& [key, g] : groups_) {
        if (!may_hold(g, j, which))
            continue;
        members.clear();
        (j.spec.shape == Shape::service ? g.for_services : g.for_tasks).find(j.spec.each, members);
        for (const auto i : members)
            positions.push_back(g.members[i]);
    }
    find_reserved(j, which, positions);
    std::sort(positions.begin(), positions.end());
    std::erase_if(positions, [&](std::uint32_t p) { return !usable(cluster_, *machines_[p], j); });
    return positions;
}

} // namespace heronshift::scheduling
