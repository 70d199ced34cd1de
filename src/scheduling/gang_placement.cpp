// The part of Placement for gangs, whose tasks must all start together.
#include "scheduling/placement.hpp"

#include <algorithm>

namespace heronshift::scheduling {
namespace {

// Seconds of delay for a gang task that are considered as costly as losing one CPU second of other jobs' work.
constexpr double gang_lost_work_weight = 0.01;
// How often the placement of a gang may be tried within one heartbeat interval.
constexpr double attempts_per_interval = 10;

} // namespace

// The machines that have or could get room for tasks of the gang, in one zone or in all, in ascending order of cost.
// Machines where other tasks would have to be preempted are included only for gangs of priority high or critical.
std::vector<Placement::MachineRoom> Placement::rooms_for_gang(const Job& job, std::optional<int> zone) const {
    const bool may_stop = job.priority <= Priority::high;
    std::vector<MachineRoom> rooms;
    for (const auto* machine : index_.machines()) {
        if (zone && machine->zone != *zone)
            continue;
        auto room = room_on(*machine, job, static_cast<int>(job.spec.tasks), gang_lost_work_weight);
        if (room.tasks > 0 && (room.ready || may_stop))
            rooms.push_back(std::move(room));
    }
    std::sort(rooms.begin(), rooms.end(),
              [](const MachineRoom& one, const MachineRoom& other) { return one.cost < other.cost; });
    return rooms;
}

// Takes rooms in the given order until they are enough for all tasks of the gang. Returns nothing if they are too few.
// If the job has `spread`, no zone gets more than half of the tasks.
std::optional<Placement::GangRooms> Placement::choose_gang_rooms(const Job& job, std::vector<MachineRoom> rooms) const {
    std::vector<std::uint32_t> tasks_in_zone(settings_.zones.size());
    GangRooms chosen{{}, 0};
    int left = static_cast<int>(job.spec.tasks);
    for (auto& room : rooms) {
        auto& in_zone = tasks_in_zone[static_cast<std::size_t>(room.machine->zone)];
        const int max_in_zone = job.spec.spread ? static_cast<int>(half_rounded_up(job.spec.tasks) - in_zone) : left;
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

// The cheapest set of rooms for the whole gang, within a single zone if the job has `one_zone`. Returns no rooms if the
// gang does not fit.
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

// Places all tasks of the gang, or none. If lower-priority tasks are in the way, either all the room that the gang
// needs is made or none, since part of it would not let the gang start and would be lost to other jobs. Returns whether
// the gang was placed.
bool Placement::place_gang(const Job& job) {
    if (job.live > 0 || cluster_.now < job.resource_wait_until || quota_left(job) < static_cast<int>(job.spec.tasks))
        return false;
    // Examining all machines is slow, so the next attempt waits for a part of the heartbeat interval.
    proposals_.wait_for_resources(job, cluster_.now + settings_.report_s / attempts_per_interval);
    const auto chosen = cheapest_gang_rooms(job);
    if (chosen.rooms.empty())
        return false;
    const bool ready =
        std::all_of(chosen.rooms.begin(), chosen.rooms.end(), [](const MachineRoom& room) { return room.ready; });
    if (!ready) {
        for (const auto& room : chosen.rooms)
            preempt_and_reserve(room, job);
        return false;
    }
    proposals_.gang_restarted(job);
    for (const auto& room : chosen.rooms)
        for (int count = 0; count < room.tasks; ++count)
            place(job, *room.machine);
    return true;
}

} // namespace heronshift::scheduling
