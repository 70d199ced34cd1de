// Placement, see placement.hpp.
#include "heronshift/scheduling/placement.hpp"
#include "heronshift/scheduling/batch_assignment.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <tuple>

namespace heronshift::scheduling {
namespace {

constexpr double begin_share = 0.5; // of the time in which each job should begin
constexpr double good_place_s = 18; // cost of a place that is good enough not to look further

} // namespace

// The paper's edge: what stays. Here, the ordinary machines that have been up longest, in all zones
// alike, as many as the services need with some to spare; all others are overflow, which is to
// become empty and go back.
void Placement::choose_pool() {
    Resources need, largest;
    for (const auto& [id, j] : cluster_.jobs)
        if (j->spec.shape == Shape::service && j->final == Final::none && !j->waits) {
            need += j->spec.each * j->spec.tasks;
            largest.cpus = std::max(largest.cpus, j->spec.each.cpus);
            largest.memory_gb = std::max(largest.memory_gb, j->spec.each.memory_gb);
        }
    need = need * (1 + settings_.ops.headroom) + largest * static_cast<double>(settings_.zones.size());
    std::map<int, std::vector<const Machine*>> by_zone;
    std::vector<const Machine*> pool;
    std::size_t total = 0;
    for (const auto& [id, m] : cluster_.machines) {
        if (m->spot || m->status != Status::up || m->bad || m->releasing || m->type < 0 || m->zone < 0)
            continue;
        if (cluster_.types[static_cast<std::size_t>(m->type)].room.gpus > 0)
            continue;
        by_zone[m->zone].push_back(m.get());
        ++total;
    }
    for (auto& [z, list] : by_zone)
        // By age, which the list tells every leader alike: ids are in the order of creation, and here those of
        // one length are sorted already.
        std::stable_sort(list.begin(), list.end(),
                         [](const Machine* x, const Machine* y) { return x->id.size() < y->id.size(); });
    for (std::size_t k = 0; k < total; ++k)
        for (auto& [z, list] : by_zone) {
            if (k >= list.size())
                continue;
            if (need.cpus <= 0 || need.memory_gb <= 0)
                break;
            pool.push_back(list[k]);
            need -= list[k]->whole;
        }
    proposals_.set_pool(pool, largest);
}

// On ordinary machines what may use nothing else goes first, whatever its rank, until the others' aims are in
// danger: with most room on spot machines, those would fill the few ordinary ones as well.
bool Placement::left_to_others(const Machine& m, const Job& j) const {
    return ordinary_waits_ && j.spec.spot && plain(m);
}

// The machines with room for a task where it is wise to place it now.
std::vector<std::uint32_t> Placement::find_room(const Job& j) const {
    const bool leave_plain = ordinary_waits_ && j.spec.spot;
    return index_.find(j, leave_plain ? RoomIndex::PlainMachines::left_out : RoomIndex::PlainMachines::included);
}

void Placement::place(const Job& j, const Machine& m) {
    proposals_.place(j, m);
    room_changed(m);
}

// A task came, one was stopped or a reservation made: what this pass knows of the machine is outdated.
void Placement::room_changed(const Machine& m) {
    index_.update(m);
    if (const auto at = index_.position(m); at != RoomIndex::none)
        releases_known_[at] = 0;
}

// How many more tasks the team's limit allows, unless it is kept for another of its jobs.
int Placement::quota_left(const Job& j) const {
    if (j.team < 0)
        return 0;
    const auto* first = first_of_team_[static_cast<std::size_t>(j.team)];
    return first != nullptr && first != &j ? 0 : cluster_.quota_room(j);
}

// Small work goes first, so that most jobs are home in time; a large one might wait for ever. From a day on which
// the largest array, as big as its team's whole limit, began after 396 s. One task of each that has waited for half
// the time goes before all others; where there is no room or the team's limit is used up, both are kept for it.
void Placement::begin_waiting(const std::vector<const Job*>& jobs) {
    first_of_team_.assign(cluster_.teams.size(), nullptr);
    std::vector<const Job*> late;
    for (const auto* j : jobs)
        if (j->spec.shape == Shape::array && j->live == 0 && j->done == 0 && j->team >= 0 &&
            cluster_.now - j->ready > begin_share * settings_.ops.begin_s)
            late.push_back(j);
    std::sort(late.begin(), late.end(), [](const Job* a, const Job* b) {
        return std::tie(a->ready, a->spec.id) < std::tie(b->ready, b->spec.id);
    });
    for (const auto* j : late) {
        auto& first = first_of_team_[static_cast<std::size_t>(j->team)];
        if (first != nullptr)
            continue;
        if (cluster_.quota_room(*j) < 1) {
            first = j;
            continue;
        }
        if (place_batch({j}, 1, 1e18) > 0 || cluster_.now < j->room_until)
            continue;
        proposals_.room_asked(*j, cluster_.now + settings_.report_s / 2);
        await_room(*j, 1, 1e18, Priority::critical);
    }
}

// The payoff of one more task on the pool counts before everything but the number.
double Placement::batch_cost(const PlacementCost& cost_of, const Machine& m, const Job& j) const {
    const double cost = cost_of(m);
    if (!m.pool || j.spec.shape != Shape::service)
        return cost;
    const placement::Payoff f{settings_.ops.alpha, settings_.ops.beta, settings_.ops.gamma};
    const double gain = placement::pool_gain(f, j.on_pool, j.spec.tasks, settings_.ops.target_share);
    return std::max(0.0, cost + 1 - gain / settings_.ops.gamma);
}

// New tasks go in batches of at most eight, without moves, placing the most, none above the cap.
int Placement::place_batch(const std::vector<const Job*>& batch, int most, double cap) {
    std::vector<placement::Group> groups;
    std::map<int, int> team_left;
    int left = most;
    std::vector<const Job*> jobs;
    for (auto* j : batch) {
        proposals_.drop_settled(*j, true);
        // Of one team only the first may use up its limit.
        if (team_left.contains(j->team))
            continue;
        const int n = std::min({left, static_cast<int>(j->pending.size()), quota_left(*j)});
        if (n <= 0)
            continue;
        const auto& l = cluster_.teams[static_cast<std::size_t>(j->team)].limits;
        if (l.cpus_max > 0 || l.gpus_max > 0)
            team_left[j->team] = 0;
        groups.push_back({j->spec.each, n, {}});
        jobs.push_back(j);
        left -= n;
        if (left == 0)
            break;
    }
    if (groups.empty())
        return 0;
    std::vector<std::vector<std::uint32_t>> rooms;
    std::vector<std::uint32_t> positions; // of all of them
    for (const auto* j : jobs) {
        rooms.push_back(find_room(*j));
        positions.insert(positions.end(), rooms.back().begin(), rooms.back().end());
    }
    if (positions.empty())
        return 0;
    std::sort(positions.begin(), positions.end());
    positions.erase(std::unique(positions.begin(), positions.end()), positions.end());
    std::vector<placement::Bin> bins;
    std::vector<const Machine*> machines;
    for (const auto p : positions) {
        const auto* m = index_.machines()[p];
        machines.push_back(m);
        bins.push_back({m->whole - m->used, m->whole});
    }
    for (std::size_t g = 0; g < groups.size(); ++g) {
        groups[g].cost.assign(bins.size(), -1);
        auto allowed = rooms[g].begin();
        const PlacementCost cost_of(cluster_, *jobs[g]);
        for (std::size_t b = 0; b < bins.size() && allowed != rooms[g].end(); ++b) {
            if (positions[b] != *allowed)
                continue;
            ++allowed;
            const double cost = batch_cost(cost_of, *machines[b], *jobs[g]);
            if (cost < cap)
                groups[g].cost[b] = cost;
        }
    }
    const auto plan = placement::match_batch(groups, bins, cluster_.common_shape);
    int placed = 0;
    for (std::size_t g = 0; g < groups.size(); ++g)
        for (std::size_t b = 0; b < bins.size(); ++b)
            for (int k = 0; k < plan[g][b]; ++k, ++placed)
                place(*jobs[g], *machines[b]);
    return placed;
}

// Jobs with zone rules: task by task, since each placement changes where the next may go.
int Placement::place_single(const Job& j, double cap) {
    int placed = 0;
    while (!j.pending.empty() && quota_left(j) > 0) {
        proposals_.drop_settled(j, false);
        if (j.pending.empty())
            break;
        const Machine* best = nullptr;
        double best_cost = cap;
        const PlacementCost cost_of(cluster_, j);
        for (const auto p : find_room(j)) {
            const auto* m = index_.machines()[p];
            const auto free = m->whole - m->used;
            double cost = cost_of(*m);
            if (j.spec.spread)
                cost += j.zone_live[static_cast<std::size_t>(m->zone)];
            cost += placement::fragmentation(free - j.spec.each, m->whole, cluster_.common_shape);
            if (cost < best_cost) {
                best_cost = cost;
                best = m;
            }
        }
        if (best == nullptr)
            break;
        place(j, *best);
        ++placed;
    }
    return placed;
}

// Replicas last: a good place, on the pool and with the image at hand, is worth stopping a little
// work of lower rank for, where what is free would make them wait longer.
int Placement::place_service(const Job& j) {
    auto place = [&](double cap) {
        if (j.spec.spread || j.spec.one_zone)
            return place_single(j, cap);
        int placed = 0, n = 0;
        while ((n = place_batch({&j}, settings_.ops.batch, cap)) > 0)
            placed += n;
        return placed;
    };
    int placed = place(good_place_s);
    if (j.pending.empty() || quota_left(j) <= 0)
        return placed;
    if (cluster_.now < j.room_until && j.good_room)
        return placed; // being made
    double free_cost = 1e18;
    const PlacementCost cost_of(cluster_, j);
    for (const auto p : index_.find(j, RoomIndex::PlainMachines::included))
        free_cost = std::min(free_cost, cost_of(*index_.machines()[p]));
    proposals_.good_room(j, cluster_.now >= j.room_until && make_room(j, free_cost) > 0);
    if (j.good_room)
        proposals_.room_asked(j, cluster_.now + settings_.report_s / 6);
    else
        placed += place(1e18);
    return placed;
}

void Placement::begin_pass() {
    index_.rebuild();
    releases_.resize(std::max(releases_.size(), index_.machines().size()));
    releases_known_.assign(releases_.size(), 0);
}

void Placement::schedule() {
    if (cluster_.types.empty() || cluster_.unproven())
        return;
    proposals_.mark_guarantees();
    choose_pool();
    begin_pass();
    auto shape = cluster_.common_shape;
    const auto jobs = waiting_jobs(cluster_, shape);
    waiting_ = jobs.size();
    begin_waiting(jobs);
    ordinary_waits_ = std::any_of(jobs.begin(), jobs.end(), [this](const Job* j) {
        return j->spec.shape == Shape::array && !j->spec.spot && quota_left(*j) > 0;
    });
    proposals_.set_common_shape(shape);
    std::vector<NoRoom> failed;
    int budget = 64; // placements a pass, so that beats and users are not kept waiting
    for (std::size_t k = 0; k < jobs.size() && budget > 0; ++k) {
        const auto& j = *jobs[k];
        const bool hopeless = j.priority > Priority::high && // room may have been made for those
                              std::any_of(failed.begin(), failed.end(), [&](const NoRoom& f) { return covers(f, j); });
        if (!hopeless)
            budget -= place_waiting(jobs, k, budget);
        if (j.pending.empty() || j.live == j.spec.tasks)
            continue;
        if (budget <= 0)
            break;
        note_no_room(failed, j);
        ask_for_room(j);
    }
    if (budget <= 0)
        proposals_.request_pass();
}

// If a smaller task found no place, a larger one won't.
bool Placement::covers(const NoRoom& f, const Job& j) const {
    const bool no_less = f.spot ? j.spec.spot || !ordinary_waits_ : !j.spec.spot;
    return f.each.fits(j.spec.each) && no_less;
}

// What is covered already adds nothing: only the smallest are kept.
void Placement::note_no_room(std::vector<NoRoom>& list, const Job& j) const {
    const auto& spec = j.spec;
    const bool anywhere = spec.types.empty() && spec.zone.empty() && !spec.spread && !spec.one_zone;
    if (!anywhere || spec.shape == Shape::gang || quota_left(j) <= 0)
        return;
    const auto known = [&](const NoRoom& f) {
        return f.spot == spec.spot && f.each.cpus <= spec.each.cpus && f.each.gpus <= spec.each.gpus &&
               f.each.memory_gb <= spec.each.memory_gb;
    };
    if (std::none_of(list.begin(), list.end(), known))
        list.push_back({spec.each, spec.spot});
}

// Places what it can of the job at that place of the list, and of those that share a batch with it.
int Placement::place_waiting(const std::vector<const Job*>& jobs, std::size_t at, int budget) {
    const auto& j = *jobs[at];
    if (j.spec.shape == Shape::gang)
        return place_gang(j) ? static_cast<int>(j.spec.tasks) : 0;
    if (j.spec.shape == Shape::service)
        return place_service(j);
    if (j.spec.spread || j.spec.one_zone)
        return place_single(j, 1e18);
    std::vector<const Job*> batch{&j};
    std::size_t total = j.pending.size();
    for (std::size_t i = at + 1; i < jobs.size() && total < static_cast<std::size_t>(settings_.ops.batch); ++i) {
        const auto& o = jobs[i]->spec;
        if (o.shape == Shape::gang || o.spread || o.one_zone || jobs[i]->priority != j.priority)
            break;
        batch.push_back(jobs[i]);
        total += jobs[i]->pending.size();
    }
    int placed = 0, n = 0;
    while (placed < budget && (n = place_batch(batch, settings_.ops.batch, 1e18)) > 0)
        placed += n;
    return placed;
}

// Urgent work keeps the machines where room comes first, or once it has waited for too long takes it.
void Placement::ask_for_room(const Job& j) {
    if (j.spec.shape == Shape::gang || j.priority > Priority::high || cluster_.now < j.room_until)
        return;
    proposals_.room_asked(j, cluster_.now + settings_.report_s / 2);
    const double left = j.ready + patience_s(cluster_, j) - cluster_.now;
    if (left > 0)
        await_room(j, static_cast<int>(j.spec.tasks), left, j.priority);
    else
        make_room(j, 1e18);
}

} // namespace heronshift::scheduling
