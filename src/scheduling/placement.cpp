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
    for (const auto& [id, job] : cluster_.jobs)
        if (job->spec.shape == Shape::service && job->final == Final::none && !job->waits) {
            need += job->spec.each * job->spec.tasks;
            largest.cpus = std::max(largest.cpus, job->spec.each.cpus);
            largest.memory_gb = std::max(largest.memory_gb, job->spec.each.memory_gb);
        }
    need = need * (1 + settings_.ops.headroom) + largest * static_cast<double>(settings_.zones.size());
    std::map<int, std::vector<const Machine*>> by_zone;
    std::vector<const Machine*> pool;
    std::size_t total = 0;
    for (const auto& [id, machine] : cluster_.machines) {
        if (machine->spot || machine->status != Status::up || machine->bad || machine->releasing || machine->type < 0 ||
            machine->zone < 0)
            continue;
        if (cluster_.types[static_cast<std::size_t>(machine->type)].room.gpus > 0)
            continue;
        by_zone[machine->zone].push_back(machine.get());
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
bool Placement::left_to_others(const Machine& machine, const Job& job) const {
    return ordinary_waits_ && job.spec.spot && plain(machine);
}

// The machines with room for a task where it is wise to place it now.
std::vector<std::uint32_t> Placement::find_room(const Job& job) const {
    const bool leave_plain = ordinary_waits_ && job.spec.spot;
    return index_.find(job, leave_plain ? RoomIndex::PlainMachines::left_out : RoomIndex::PlainMachines::included);
}

void Placement::place(const Job& job, const Machine& machine) {
    proposals_.place(job, machine);
    room_changed(machine);
}

// A task came, one was stopped or a reservation made: what this pass knows of the machine is outdated.
void Placement::room_changed(const Machine& machine) {
    index_.update(machine);
    if (const auto at = index_.position(machine); at != RoomIndex::none)
        releases_known_[at] = 0;
}

// How many more tasks the team's limit allows, unless it is kept for another of its jobs.
int Placement::quota_left(const Job& job) const {
    if (job.team < 0)
        return 0;
    const auto* first = first_of_team_[static_cast<std::size_t>(job.team)];
    return first != nullptr && first != &job ? 0 : cluster_.quota_room(job);
}

// Small work goes first, so that most jobs are home in time; a large one might wait for ever. From a day on which
// the largest array, as big as its team's whole limit, began after 396 s. One task of each that has waited for half
// the time goes before all others; where there is no room or the team's limit is used up, both are kept for it.
void Placement::begin_waiting(const std::vector<const Job*>& jobs) {
    first_of_team_.assign(cluster_.teams.size(), nullptr);
    std::vector<const Job*> late;
    for (const auto* job : jobs)
        if (job->spec.shape == Shape::array && job->live == 0 && job->done == 0 && job->team >= 0 &&
            cluster_.now - job->ready > begin_share * settings_.ops.begin_s)
            late.push_back(job);
    std::sort(late.begin(), late.end(), [](const Job* a, const Job* b) {
        return std::tie(a->ready, a->spec.id) < std::tie(b->ready, b->spec.id);
    });
    for (const auto* job : late) {
        auto& first = first_of_team_[static_cast<std::size_t>(job->team)];
        if (first != nullptr)
            continue;
        if (cluster_.quota_room(*job) < 1) {
            first = job;
            continue;
        }
        if (place_batch({job}, 1, 1e18) > 0 || cluster_.now < job->room_until)
            continue;
        proposals_.room_asked(*job, cluster_.now + settings_.report_s / 2);
        await_room(*job, 1, 1e18, Priority::critical);
    }
}

// The payoff of one more task on the pool counts before everything but the number.
double Placement::batch_cost(const PlacementCost& cost_of, const Machine& machine, const Job& job) const {
    const double cost = cost_of(machine);
    if (!machine.pool || job.spec.shape != Shape::service)
        return cost;
    const placement::Payoff payoff{settings_.ops.alpha, settings_.ops.beta, settings_.ops.gamma};
    const double gain = placement::pool_gain(payoff, job.on_pool, job.spec.tasks, settings_.ops.target_share);
    return std::max(0.0, cost + 1 - gain / settings_.ops.gamma);
}

// New tasks go in batches of at most eight, without moves, placing the most, none above the cap.
int Placement::place_batch(const std::vector<const Job*>& batch, int most, double cap) {
    std::vector<placement::Group> groups;
    std::map<int, int> team_left;
    int left = most;
    std::vector<const Job*> jobs;
    for (auto* job : batch) {
        proposals_.drop_settled(*job, true);
        // Of one team only the first may use up its limit.
        if (team_left.contains(job->team))
            continue;
        const int n = std::min({left, static_cast<int>(job->pending.size()), quota_left(*job)});
        if (n <= 0)
            continue;
        const auto& limits = cluster_.teams[static_cast<std::size_t>(job->team)].limits;
        if (limits.cpus_max > 0 || limits.gpus_max > 0)
            team_left[job->team] = 0;
        groups.push_back({job->spec.each, n, {}});
        jobs.push_back(job);
        left -= n;
        if (left == 0)
            break;
    }
    if (groups.empty())
        return 0;
    std::vector<std::vector<std::uint32_t>> rooms;
    std::vector<std::uint32_t> positions; // of all of them
    for (const auto* job : jobs) {
        rooms.push_back(find_room(*job));
        positions.insert(positions.end(), rooms.back().begin(), rooms.back().end());
    }
    if (positions.empty())
        return 0;
    std::sort(positions.begin(), positions.end());
    positions.erase(std::unique(positions.begin(), positions.end()), positions.end());
    std::vector<placement::Bin> bins;
    std::vector<const Machine*> machines;
    for (const auto p : positions) {
        const auto* machine = index_.machines()[p];
        machines.push_back(machine);
        bins.push_back({machine->whole - machine->used, machine->whole});
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
int Placement::place_single(const Job& job, double cap) {
    int placed = 0;
    while (!job.pending.empty() && quota_left(job) > 0) {
        proposals_.drop_settled(job, false);
        if (job.pending.empty())
            break;
        const Machine* best = nullptr;
        double best_cost = cap;
        const PlacementCost cost_of(cluster_, job);
        for (const auto p : find_room(job)) {
            const auto* machine = index_.machines()[p];
            const auto free = machine->whole - machine->used;
            double cost = cost_of(*machine);
            if (job.spec.spread)
                cost += job.zone_live[static_cast<std::size_t>(machine->zone)];
            cost += placement::fragmentation(free - job.spec.each, machine->whole, cluster_.common_shape);
            if (cost < best_cost) {
                best_cost = cost;
                best = machine;
            }
        }
        if (best == nullptr)
            break;
        place(job, *best);
        ++placed;
    }
    return placed;
}

// Replicas last: a good place, on the pool and with the image at hand, is worth stopping a little
// work of lower rank for, where what is free would make them wait longer.
int Placement::place_service(const Job& job) {
    auto place = [&](double cap) {
        if (job.spec.spread || job.spec.one_zone)
            return place_single(job, cap);
        int placed = 0, n = 0;
        while ((n = place_batch({&job}, settings_.ops.batch, cap)) > 0)
            placed += n;
        return placed;
    };
    int placed = place(good_place_s);
    if (job.pending.empty() || quota_left(job) <= 0)
        return placed;
    if (cluster_.now < job.room_until && job.good_room)
        return placed; // being made
    double free_cost = 1e18;
    const PlacementCost cost_of(cluster_, job);
    for (const auto p : index_.find(job, RoomIndex::PlainMachines::included))
        free_cost = std::min(free_cost, cost_of(*index_.machines()[p]));
    proposals_.good_room(job, cluster_.now >= job.room_until && make_room(job, free_cost) > 0);
    if (job.good_room)
        proposals_.room_asked(job, cluster_.now + settings_.report_s / 6);
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
    ordinary_waits_ = std::any_of(jobs.begin(), jobs.end(), [this](const Job* job) {
        return job->spec.shape == Shape::array && !job->spec.spot && quota_left(*job) > 0;
    });
    proposals_.set_common_shape(shape);
    std::vector<NoRoom> failed;
    int budget = 64; // placements a pass, so that beats and users are not kept waiting
    for (std::size_t k = 0; k < jobs.size() && budget > 0; ++k) {
        const auto& job = *jobs[k];
        const bool hopeless =
            job.priority > Priority::high && // room may have been made for those
            std::any_of(failed.begin(), failed.end(), [&](const NoRoom& f) { return covers(f, job); });
        if (!hopeless)
            budget -= place_waiting(jobs, k, budget);
        if (job.pending.empty() || job.live == job.spec.tasks)
            continue;
        if (budget <= 0)
            break;
        note_no_room(failed, job);
        ask_for_room(job);
    }
    if (budget <= 0)
        proposals_.request_pass();
}

// If a smaller task found no place, a larger one won't.
bool Placement::covers(const NoRoom& f, const Job& job) const {
    const bool no_less = f.spot ? job.spec.spot || !ordinary_waits_ : !job.spec.spot;
    return f.each.fits(job.spec.each) && no_less;
}

// What is covered already adds nothing: only the smallest are kept.
void Placement::note_no_room(std::vector<NoRoom>& list, const Job& job) const {
    const auto& spec = job.spec;
    const bool anywhere = spec.types.empty() && spec.zone.empty() && !spec.spread && !spec.one_zone;
    if (!anywhere || spec.shape == Shape::gang || quota_left(job) <= 0)
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
    const auto& job = *jobs[at];
    if (job.spec.shape == Shape::gang)
        return place_gang(job) ? static_cast<int>(job.spec.tasks) : 0;
    if (job.spec.shape == Shape::service)
        return place_service(job);
    if (job.spec.spread || job.spec.one_zone)
        return place_single(job, 1e18);
    std::vector<const Job*> batch{&job};
    std::size_t total = job.pending.size();
    for (std::size_t i = at + 1; i < jobs.size() && total < static_cast<std::size_t>(settings_.ops.batch); ++i) {
        const auto& spec = jobs[i]->spec;
        if (spec.shape == Shape::gang || spec.spread || spec.one_zone || jobs[i]->priority != job.priority)
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
void Placement::ask_for_room(const Job& job) {
    if (job.spec.shape == Shape::gang || job.priority > Priority::high || cluster_.now < job.room_until)
        return;
    proposals_.room_asked(job, cluster_.now + settings_.report_s / 2);
    const double left = job.ready + patience_s(cluster_, job) - cluster_.now;
    if (left > 0)
        await_room(job, static_cast<int>(job.spec.tasks), left, job.priority);
    else
        make_room(job, 1e18);
}

} // namespace heronshift::scheduling
