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
double Placement::loss_of(const Entry& e) const {
    const auto& s = e.job->spec;
    double run = e.running_at >= 0 ? cluster_.now - e.running_at : 0;
    if (s.checkpoint_s > 0)
        run = std::min(run, s.save_s);
    return (run + 1) * s.each.cpus;
}

// Room for some tasks on one machine: what is free, else what stopping work of lower rank would make,
// lowest loss first. Each CPU second lost counts as so many seconds of delay.
Placement::Room Placement::room_on(const Machine& m, const Job& j, int most, double loss_weight) const {
    Room r;
    r.machine = &m;
    if (!j.spec.each.fits(m.whole - m.firm) || !usable(cluster_, m, j) || left_to_others(m, j))
        return r;
    if (m.reserved_for != nullptr && m.reserved_for != &j && cluster_.now < m.reserved_until)
        return r;
    const auto fits = [&](Resources left) {
        int n = 0;
        for (; n < most && j.spec.each.fits(left); ++n)
            left -= j.spec.each;
        return n;
    };
    auto free = m.whole - m.used;
    double loss = 0;
    r.tasks = fits(free);
    r.ready = r.tasks > 0;
    if (!r.ready) {
        std::vector<std::pair<double, const Entry*>> order;
        for (const auto& e : m.entries) {
            const auto& v = e->job->spec;
            if (e->stop)
                free += v.each;
            else if (e->job->priority > j.priority && v.shape == Shape::array)
                order.emplace_back(loss_of(*e), e.get());
        }
        std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
        r.tasks = fits(free);
        for (const auto& [l, e] : order) {
            if (r.tasks >= most)
                break;
            free += e->job->spec.each;
            loss += l;
            r.victims.push_back(e);
            r.tasks = fits(free);
        }
    }
    if (r.tasks > 0)
        r.cost = placement_cost(cluster_, m, j) + loss_weight * loss / r.tasks +
                 placement::fragmentation(free - j.spec.each, m.whole, cluster_.common_shape);
    // Room that is being made stays the choice, or work would be stopped on ever more machines.
    if (m.reserved_for == &j && cluster_.now < m.reserved_until)
        r.cost -= chosen_already;
    return r;
}

void Placement::take_room(const Room& r, const Job& j) {
    for (const auto* e : r.victims)
        proposals_.preempt(*e);
    if (!r.victims.empty())
        proposals_.log(
            0, fmt::format("job {} takes the place of {} tasks on {}", j.spec.id, r.victims.size(), r.machine->id));
    proposals_.reserve(*r.machine, j, r.tasks, cluster_.now + settings_.report_s, j.priority);
    room_changed(*r.machine);
}

// How long a task will go on, as far as its siblings tell.
double Placement::rest_of(const Entry& e) const {
    const auto& j = *e.job;
    if (e.stop)
        return 0;
    if (j.spec.shape != Shape::array)
        return 1e18;
    const double whole =
        j.runs >= few_runs ? j.run_sum / j.runs : std::max(1.0, j.spec.estimate_s) * cluster_.learned.bias();
    const double ran = e.running_at >= 0 ? cluster_.now - e.running_at : 0;
    return std::max(whole - ran, whole * min_rest);
}

// When the tasks of a machine end, the soonest first.
const std::vector<Placement::Release>& Placement::releases_on(std::size_t position) {
    auto& list = releases_[position];
    if (releases_known_[position] != 0)
        return list;
    releases_known_[position] = 1;
    std::vector<std::pair<double, const Entry*>> order;
    for (const auto& e : index_.machines()[position]->entries)
        order.emplace_back(rest_of(*e), e.get());
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

bool Placement::may_await(const Machine& m, const Job& j) const {
    if (!j.spec.each.fits(m.whole - m.firm) || !usable(cluster_, m, j) || left_to_others(m, j))
        return false;
    return m.reserved_for == nullptr || m.reserved_for == &j || cluster_.now >= m.reserved_until;
}

// Where tasks end all the time, room comes by itself: the machines where it comes first are kept for the job,
// or smaller tasks would fill each hole before it is large enough. Stopping work costs what it has done: on
// the ferries' days half of the largest arrays' tasks were begun twice, a fifth of all.
void Placement::await_room(const Job& j, int most, double within_s, Priority against) {
    const auto wanted = static_cast<std::size_t>(std::min({most, static_cast<int>(j.pending.size()), quota_left(j)}));
    if (wanted == 0)
        return;
    if (wanted == 1)
        return await_first(j, within_s, against);
    struct Slot {
        double at;
        const Machine* machine;
    };
    std::vector<Slot> slots;
    const PlacementCost cost_of(cluster_, j);
    for (std::size_t p = 0; p < index_.machines().size(); ++p) {
        const auto* m = index_.machines()[p];
        if (!may_await(*m, j))
            continue;
        auto free = m->whole - m->used;
        const double cost = cost_of(*m);
        for (const auto& r : releases_on(p)) {
            if (r.rest_s > within_s)
                break;
            free += r.each;
            for (; j.spec.each.fits(free); free -= j.spec.each)
                slots.push_back({r.rest_s + cost, m});
        }
    }
    std::stable_sort(slots.begin(), slots.end(), [](const Slot& a, const Slot& b) { return a.at < b.at; });
    if (slots.size() > wanted)
        slots.resize(wanted);
    std::map<const Machine*, int> tasks;
    for (const auto& s : slots)
        ++tasks[s.machine];
    for (const auto& [m, n] : tasks) {
        proposals_.reserve(*m, j, n, cluster_.now + settings_.report_s, against);
        room_changed(*m);
    }
}

// The same for one task: machines where nothing ends before the best so far are passed over at once.
void Placement::await_first(const Job& j, double within_s, Priority against) {
    const Machine* best = nullptr;
    double best_at = std::numeric_limits<double>::infinity();
    const PlacementCost cost_of(cluster_, j);
    for (std::size_t p = 0; p < index_.machines().size(); ++p) {
        const auto& releases = releases_on(p);
        if (releases.empty() || releases.front().rest_s >= best_at)
            continue;
        const auto* m = index_.machines()[p];
        if (!may_await(*m, j))
            continue;
        auto free = m->whole - m->used;
        for (const auto& r : releases) {
            if (r.rest_s > within_s || r.rest_s >= best_at)
                break;
            free += r.each;
            if (!j.spec.each.fits(free))
                continue;
            const double at = r.rest_s + cost_of(*m);
            if (at < best_at) {
                best_at = at;
                best = m;
            }
            break;
        }
    }
    if (best == nullptr)
        return;
    proposals_.reserve(*best, j, 1, cluster_.now + settings_.report_s, against);
    room_changed(*best);
}

// Stops work of lower rank where that costs least, below the given cost a task. Returns for how
// many tasks there will be room.
int Placement::make_room(const Job& j, double cap) {
    int left = std::min(static_cast<int>(j.pending.size()), quota_left(j)), made = 0;
    std::vector<Room> rooms;
    const PlacementCost cost_of(cluster_, j);
    for (const auto* m : index_.machines()) {
        if (j.spec.each.fits(m->whole - m->used) || (m->reserved_for != &j && cost_of(*m) >= cap))
            continue; // nothing has to be stopped there, or it costs too much as it is
        if (auto r = room_on(*m, j, left, replica_loss_weight); r.tasks > 0 && !r.victims.empty() && r.cost < cap)
            rooms.push_back(std::move(r));
    }
    std::sort(rooms.begin(), rooms.end(), [](const Room& a, const Room& b) { return a.cost < b.cost; });
    for (const auto& r : rooms) {
        if (left <= 0)
            break;
        if (j.spec.spread) {
            // Each zone takes a part only; which, the placement decides.
            if (made >= static_cast<int>(half_up(j.spec.tasks)))
                break;
        }
        take_room(r, j);
        left -= r.tasks;
        made += r.tasks;
    }
    return made;
}

// A gang goes whole or waits; with one_zone, into the zone that takes all of it at least cost. Where
// work of lower rank is in the way, all its room is made or none: half of it would help nobody and
// keep it from others.
bool Placement::place_gang(const Job& j) {
    const int tasks = static_cast<int>(j.spec.tasks);
    if (j.live > 0 || cluster_.now < j.room_until || quota_left(j) < tasks)
        return false;
    proposals_.room_asked(j, cluster_.now + settings_.report_s / 10); // looking at all machines takes time
    std::vector<Room> best;
    double best_cost = 1e18;
    const bool may_stop = j.priority <= Priority::high;
    const int tries = j.spec.one_zone ? static_cast<int>(settings_.zones.size()) : 1;
    for (int z = 0; z < tries; ++z) {
        std::vector<Room> rooms;
        for (const auto* m : index_.machines())
            if (!j.spec.one_zone || m->zone == z)
                if (auto r = room_on(*m, j, tasks, gang_loss_weight); r.tasks > 0 && (r.ready || may_stop))
                    rooms.push_back(std::move(r));
        std::sort(rooms.begin(), rooms.end(), [](const Room& a, const Room& b) { return a.cost < b.cost; });
        std::vector<std::uint32_t> zone(settings_.zones.size());
        std::vector<Room> chosen;
        int left = tasks;
        double cost = 0;
        for (auto& r : rooms) {
            auto& in_zone = zone[static_cast<std::size_t>(r.machine->zone)];
            const int most = j.spec.spread ? static_cast<int>(half_up(j.spec.tasks) - in_zone) : left;
            r.tasks = std::min({r.tasks, left, most});
            if (r.tasks <= 0)
                continue;
            in_zone += static_cast<std::uint32_t>(r.tasks);
            left -= r.tasks;
            cost += r.cost * r.tasks;
            chosen.push_back(std::move(r));
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
    const bool ready = std::all_of(best.begin(), best.end(), [](const Room& r) { return r.ready; });
    if (!ready) {
        for (const auto& r : best)
            take_room(r, j);
        return false;
    }
    proposals_.gang_whole(j);
    for (const auto& r : best)
        for (int n = 0; n < r.tasks; ++n)
            place(j, *r.machine);
    return true;
}

} // namespace heronshift::scheduling
