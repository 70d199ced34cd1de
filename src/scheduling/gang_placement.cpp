// Placement's part for gangs, whose tasks start together or not at all.
#include "scheduling/placement.hpp"

#include <algorithm>

namespace heronshift::scheduling {
namespace {

constexpr double gang_loss_weight =
    0.01; // seconds that a task of a gang may wait for each CPU second of others not lost
constexpr double looks_an_interval = 10; // how often a gang may be tried in one interval between heartbeats

} // namespace

// The rooms for the gang's tasks on all machines, in one zone or in all, the cheapest first. Other work is stopped
// for gangs of high priority only.
std::vector<Placement::MachineRoom> Placement::rooms_for_gang(const Job& job, std::optional<int> zone) const {
    const bool may_stop = job.priority <= Priority::high;
    std::vector<MachineRoom> rooms;
    for (const auto* machine : index_.machines()) {
        if (zone && machine->zone != *zone)
            continue;
        auto room = room_on(*machine, job, static_cast<int>(job.spec.tasks), gang_loss_weight);
        if (room.tasks > 0 && (room.ready || may_stop))
            rooms.push_back(std::move(room));
    }
    std::sort(rooms.begin(), rooms.end(),
              [](const MachineRoom& one, const MachineRoom& other) { return one.cost < other.cost; });
    return rooms;
}

// Takes rooms in this order until there are enough for all tasks; none if there are too few. With `spread` no zone gets
// more than half of the tasks.
std::optional<Placement::GangRooms> Placement::choose_gang_rooms(const Job& job, std::vector<MachineRoom> rooms) const {
    std::vector<std::uint32_t> tasks_in_zone(settings_.zones.size());
    GangRooms chosen{{}, 0};
    int left = static_cast<int>(job.spec.tasks);
    for (auto& room : rooms) {
        auto& in_zone = tasks_in_zone[static_cast<std::size_t>(room.machine->zone)];
        const int max_in_zone = job.spec.spread ? static_cast<int>(half_up(job.spec.tasks) - in_zone) : left;
        room.tasks = std::min({room.tasks, left, max_in_zone});
        if (room.tasks <= 0)
            continue;
        in_zone += static_cast<std::uint32_t>(room.tasks);
        left -= room.tasks;
        chosen.cost += room.cost * room.tasks;
        chosen.rooms.push_back(std::move(room));
        if (left == 0)
            return chosen;
    }
    return std::nullopt;
}

// With one_zone, in the zone that takes all of the gang at least cost. No rooms if there are not enough anywhere.
Placement::GangRooms Placement::cheapest_gang_rooms(const Job& job) const {
    GangRooms cheapest;
    const auto try_zone = [&](std::optional<int> zone) {
        auto chosen = choose_gang_rooms(job, rooms_for_gang(job, zone));
        if (chosen && chosen->cost < cheapest.cost)
            cheapest = std::move(*chosen);
    };
    if (!job.spec.one_zone)
        try_zone(std::nullopt);
    else
        for (std::size_t zone = 0; zone < settings_.zones.size(); ++zone)
            try_zone(static_cast<int>(zone));
    return cheapest;
}

// A gang goes whole or waits. Where work of lower rank is in the way, all its room is made or none: half of it would
// help nobody and keep it from others. Returns whether the gang was placed.
bool Placement::place_gang(const Job& job) {
    if (job.live > 0 || cluster_.now < job.room_until || quota_left(job) < static_cast<int>(job.spec.tasks))
        return false;
    // A look at all machines takes time, so it is not repeated at once.
    proposals_.room_asked(job, cluster_.now + settings_.report_s / looks_an_interval);
    const auto chosen = cheapest_gang_rooms(job);
    if (chosen.rooms.empty())
        return false;
    const bool ready =
        std::all_of(chosen.rooms.begin(), chosen.rooms.end(), [](const MachineRoom& room) { return room.ready; });
    if (!ready) {
        for (const auto& room : chosen.rooms)
            take_room(room, job);
        return false;
    }
    proposals_.gang_whole(job);
    for (const auto& room : chosen.rooms)
        for (int count = 0; count < room.tasks; ++count)
            place(job, *room.machine);
    return true;
}

} // namespace heronshift::scheduling
