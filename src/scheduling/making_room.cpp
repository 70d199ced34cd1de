// Placement's part that makes room: for gangs, for urgent work, and by keeping machines for work that waits.
#include "heronshift/scheduling/batch_assignment.hpp"
#include "heronshift/scheduling/placement.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <map>
#include <tuple>

namespace heronshift::scheduling {
namespace {

// Seconds that a task may wait for each CPU second of other work not lost.
constexpr double chosen_already = 1000;
constexpr double replica_loss_weight = 0.05, gang_loss_weight = 0.01;
constexpr double min_rest = 0.1; // of a task's time: it may be longer than others

} // namespace

// What is lost when a task is stopped now, in CPU seconds.
double Placement::loss_of(const Entry& entry) const {
    const auto& spec = entry.job->spec;
    double run = entry.running_at >= 0 ? cluster_.now - entry.running_at : 0;
    if (spec.checkpoint_s > 0)
        run = std::min(run, spec.save_s);
    return (run + 1) * spec.each.cpus;
}

// Room for some tasks on one machine: what is free, else what stopping work of lower rank would make,
// lowest loss first. Each CPU second lost counts as so many seconds of delay.
Placement::Room Placement::room_on(const Machine& machine, const Job& job, int most, double loss_weight) const {
    Room room;
    room.machine = &machine;
    if (!job.spec.each.fits(machine.whole - machine.firm) || !usable(cluster_, machine, job) ||
        left_to_others(machine, job))
        return room;
    if (machine.reserved_for != nullptr && machine.reserved_for != &job && cluster_.now < machine.reserved_until)
        return room;
    const auto fits = [&](Resources left) {
        int n = 0;
        for (; n < most && job.spec.each.fits(left); ++n)
            left -= job.spec.each;
        return n;
    };
    auto free = machine.whole - machine.used;
    double loss = 0;
    room.tasks = fits(free);
    room.ready = room.tasks > 0;
    if (!room.ready) {
        std::vector<std::pair<double, const Entry*>> order;
        for (const auto& entry : machine.entries) {
            const auto& spec = entry->job->spec;
            if (entry->stop)
                free += spec.each;
            else if (entry->job->priority > job.priority && spec.shape == Shape::array)
                order.emplace_back(loss_of(*entry), entry.get());
        }
        std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
        room.tasks = fits(free);
        for (const auto& [l, e] : order) {
            if (room.tasks >= most)
                break;
            free += e->job->spec.each;
            loss += l;
            room.victims.push_back(e);
            room.tasks = fits(free);
        }
    }
    if (room.tasks > 0)
        room.cost = placement_cost(cluster_, machine, job) + loss_weight * loss / room.tasks +
                    placement::fragmentation(free - job.spec.each, machine.whole, cluster_.common_shape);
    // Room that is being made stays the choice, or work would be stopped on ever more machines.
    if (machine.reserved_for == &job && cluster_.now < machine.reserved_until)
        room.cost -= chosen_already;
    return room;
}

void Placement::take_room(const Room& room, const Job& job) {
    for (const auto* entry : room.victims)
        proposals_.preempt(*entry);
    if (!room.victims.empty())
        proposals_.log(LogLine::Level::debug, fmt::format("job {} takes the place of {} tasks on {}", job.spec.id,
                                                          room.victims.size(), room.machine->id));
    proposals_.reserve(*room.machine, job, room.tasks, cluster_.now + settings_.report_s, job.priority);
    room_changed(*room.machine);
}

// How long a task will go on, as far as its siblings tell.
double Placement::rest_of(const Entry& entry) const {
    const auto& job = *entry.job;
    if (entry.stop)
        return 0;
    if (job.spec.shape != Shape::array)
        return 1e18;
    const double whole =
        job.runs >= few_runs ? job.run_sum / job.runs : std::max(1.0, job.spec.estimate_s) * cluster_.learned.bias();
    const double ran = entry.running_at >= 0 ? cluster_.now - entry.running_at : 0;
    return std::max(whole - ran, whole * min_rest);
}

// When the tasks of a machine end, the soonest first.
const std::vector<Placement::Release>& Placement::releases_on(std::size_t position) {
    auto& list = releases_[position];
    if (releases_known_[position] != 0)
        return list;
    releases_known_[position] = 1;
    std::vector<std::pair<double, const Entry*>> order;
    for (const auto& entry : index_.machines()[position]->entries)
        order.emplace_back(rest_of(*entry), entry.get());
    // Neither addresses nor the order in which reports came may decide: processes differ in both.
    std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
        const auto key = [](const auto& x) { return std::tie(x.first, x.second->job->spec.id, x.second->index); };
        return key(a) < key(b);
    });
    list.clear();
    for (const auto& [rest, e] : order)
        list.push_back({rest, e->job->spec.each});
    return list;
}

bool Placement::may_await(const Machine& machine, const Job& job) const {
    if (!job.spec.each.fits(machine.whole - machine.firm) || !usable(cluster_, machine, job) ||
        left_to_others(machine, job))
        return false;
    return machine.reserved_for == nullptr || machine.reserved_for == &job || cluster_.now >= machine.reserved_until;
}

// Where tasks end all the time, room comes by itself: the machines where it comes first are kept for the job,
// or smaller tasks would fill each hole before it is large enough. Stopping work costs what it has done: on
// the ferries' days half of the largest arrays' tasks were begun twice, a fifth of all.
void Placement::await_room(const Job& job, int most, double within_s, Priority against) {
    const auto wanted =
        static_cast<std::size_t>(std::min({most, static_cast<int>(job.pending.size()), quota_left(job)}));
    if (wanted == 0)
        return;
    if (wanted == 1)
        return await_first(job, within_s, against);
    struct Slot {
        double at;
        const Machine* machine;
    };
    std::vector<Slot> slots;
    const PlacementCost cost_of(cluster_, job);
    for (std::size_t p = 0; p < index_.machines().size(); ++p) {
        const auto* m = index_.machines()[p];
        if (!may_await(*m, job))
            continue;
        auto free = m->whole - m->used;
        const double cost = cost_of(*m);
        for (const auto& effect : releases_on(p)) {
            if (effect.rest_s > within_s)
                break;
            free += effect.each;
            for (; job.spec.each.fits(free); free -= job.spec.each)
                slots.push_back({effect.rest_s + cost, m});
        }
    }
    std::stable_sort(slots.begin(), slots.end(), [](const Slot& slot, const Slot& b) { return slot.at < b.at; });
    if (slots.size() > wanted)
        slots.resize(wanted);
    std::map<const Machine*, int> tasks;
    for (const auto& s : slots)
        ++tasks[s.machine];
    for (const auto& [m, n] : tasks) {
        proposals_.reserve(*m, job, n, cluster_.now + settings_.report_s, against);
        room_changed(*m);
    }
}

// The same for one task: machines where nothing ends before the best so far are passed over at once.
void Placement::await_first(const Job& job, double within_s, Priority against) {
    const Machine* best = nullptr;
    double best_at = std::numeric_limits<double>::infinity();
    const PlacementCost cost_of(cluster_, job);
    for (std::size_t p = 0; p < index_.machines().size(); ++p) {
        const auto& releases = releases_on(p);
        if (releases.empty() || releases.front().rest_s >= best_at)
            continue;
        const auto* machine = index_.machines()[p];
        if (!may_await(*machine, job))
            continue;
        auto free = machine->whole - machine->used;
        for (const auto& effect : releases) {
            if (effect.rest_s > within_s || effect.rest_s >= best_at)
                break;
            free += effect.each;
            if (!job.spec.each.fits(free))
                continue;
            const double at = effect.rest_s + cost_of(*machine);
            if (at < best_at) {
                best_at = at;
                best = machine;
            }
            break;
        }
    }
    if (best == nullptr)
        return;
    proposals_.reserve(*best, job, 1, cluster_.now + settings_.report_s, against);
    room_changed(*best);
}

// Stops work of lower rank where that costs least, below the given cost a task. Returns for how
// many tasks there will be room.
int Placement::make_room(const Job& job, double cap) {
    int left = std::min(static_cast<int>(job.pending.size()), quota_left(job)), made = 0;
    std::vector<Room> rooms;
    const PlacementCost cost_of(cluster_, job);
    for (const auto* machine : index_.machines()) {
        if (job.spec.each.fits(machine->whole - machine->used) ||
            (machine->reserved_for != &job && cost_of(*machine) >= cap))
            continue; // nothing has to be stopped there, or it costs too much as it is
        if (auto room = room_on(*machine, job, left, replica_loss_weight);
            room.tasks > 0 && !room.victims.empty() && room.cost < cap)
            rooms.push_back(std::move(room));
    }
    std::sort(rooms.begin(), rooms.end(), [](const Room& a, const Room& b) { return a.cost < b.cost; });
    for (const auto& room : rooms) {
        if (left <= 0)
            break;
        if (job.spec.spread) {
            // Each zone takes a part only; which, the placement decides.
            if (made >= static_cast<int>(half_up(job.spec.tasks)))
                break;
        }
        take_room(room, job);
        left -= room.tasks;
        made += room.tasks;
    }
    return made;
}

// A gang goes whole or waits; with one_zone, into the zone that takes all of it at least cost. Where
// work of lower rank is in the way, all its room is made or none: half of it would help nobody and
// keep it from others.
bool Placement::place_gang(const Job& job) {
    const int tasks = static_cast<int>(job.spec.tasks);
    if (job.live > 0 || cluster_.now < job.room_until || quota_left(job) < tasks)
        return false;
    proposals_.room_asked(job, cluster_.now + settings_.report_s / 10); // looking at all machines takes time
    std::vector<Room> best;
    double best_cost = 1e18;
    const bool may_stop = job.priority <= Priority::high;
    const int tries = job.spec.one_zone ? static_cast<int>(settings_.zones.size()) : 1;
    for (int z = 0; z < tries; ++z) {
        std::vector<Room> rooms;
        for (const auto* machine : index_.machines())
            if (!job.spec.one_zone || machine->zone == z)
                if (auto room = room_on(*machine, job, tasks, gang_loss_weight);
                    room.tasks > 0 && (room.ready || may_stop))
                    rooms.push_back(std::move(room));
        std::sort(rooms.begin(), rooms.end(), [](const Room& a, const Room& b) { return a.cost < b.cost; });
        std::vector<std::uint32_t> zone(settings_.zones.size());
        std::vector<Room> chosen;
        int left = tasks;
        double cost = 0;
        for (auto& room : rooms) {
            auto& in_zone = zone[static_cast<std::size_t>(room.machine->zone)];
            const int most = job.spec.spread ? static_cast<int>(half_up(job.spec.tasks) - in_zone) : left;
            room.tasks = std::min({room.tasks, left, most});
            if (room.tasks <= 0)
                continue;
            in_zone += static_cast<std::uint32_t>(room.tasks);
            left -= room.tasks;
            cost += room.cost * room.tasks;
            chosen.push_back(std::move(room));
            if (left == 0)
                break;
        }
        if (left > 0 || cost >= best_cost)
            continue;
        best = std::move(chosen);
        best_cost = cost;
    }
    if (best.empty())
        return false;
    const bool ready = std::all_of(best.begin(), best.end(), [](const Room& room) { return room.ready; });
    if (!ready) {
        for (const auto& room : best)
            take_room(room, job);
        return false;
    }
    proposals_.gang_whole(job);
    for (const auto& room : best)
        for (int n = 0; n < room.tasks; ++n)
            place(job, *room.machine);
    return true;
}

} // namespace heronshift::scheduling
