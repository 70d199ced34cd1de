#include "scheduling/rebalancer.hpp"
#include "scheduling/batch_assignment.hpp"

#include <algorithm>

namespace heronshift::scheduling {
namespace {

// Share of all replicas that may be moved in a round in addition to the paper's caps, which are meant for a dozen
// machines.
constexpr double moved_share = 0.004;
// Minimum run time before a move. A task that is stopped by an order sooner than this does not count as started for its
// user.
constexpr double start_counts_s = 31;
// Array tasks are moved only within this time after their placement, while little work would be lost.
constexpr double young_task_s = 60;
// Factor on the rank of tasks on retiring machines, since these machines cost money until they are empty.
constexpr double leaving_factor = 2;
constexpr std::size_t fragmented_machines = 3; // in a round, as in the paper
constexpr int max_looked_at = 30;              // in a round, as in the paper
// Minimum reduction of fragmentation that is worth a move, as a multiple of the task's share of the machine.
constexpr double clear_fall = 2;

// A task that could be pulled back to the pool, and its rank: the gain in payoff relative to its size.
struct RankedTask {
    double rank;
    const Entry* entry;
};

bool is_fuller(const Machine* one, const Machine* other) {
    return one->used.cpus > other->used.cpus;
}

bool is_emptier(const Machine* one, const Machine* other) {
    return one->used.cpus < other->used.cpus;
}

} // namespace

// The target machine must already have the image, so that the task is down only briefly.
bool Rebalancer::may_move_to(const Machine& machine, const Entry& entry) const {
    return &machine != &*entry.machine && usable(cluster_, machine, *entry.job) && machine.has_image(entry.job->image);
}

// Assigns room for the task on the first machine that has enough beyond what this round has already assigned there.
// Returns false if there is none.
bool Rebalancer::reserve_place(const Entry& entry, const Machines& machines, PlannedRoom& planned) const {
    const auto& each = entry.job->spec.each;
    for (const auto* machine : machines) {
        if (!may_move_to(*machine, entry))
            continue;
        auto& taken = planned[machine];
        if (!(each + taken).fits(machine->whole - machine->used))
            continue;
        taken += each;
        return true;
    }
    return false;
}

void Rebalancer::move_away(const Entry& entry) {
    proposals_.move_away(entry, drain_time_s(entry.job->spec));
}

// Only replicas of services and array tasks placed less than a minute ago are moved, and none before its start counts
// for its user.
bool Rebalancer::movable(const Entry& entry) const {
    if (entry.stop || entry.phase != Phase::running || cluster_.now - entry.running_at <= start_counts_s ||
        entry.job->final != Final::none)
        return false;
    const auto shape = entry.job->spec.shape;
    return shape == Shape::service || (shape == Shape::array && cluster_.now - entry.placed_at < young_task_s);
}

bool Rebalancer::is_movable_replica(const Entry& entry) const {
    return movable(entry) && entry.job->spec.shape == Shape::service;
}

bool Rebalancer::is_urgent_work_waiting() const {
    return std::any_of(cluster_.jobs.begin(), cluster_.jobs.end(), [](const auto& entry) {
        const Job& job = *entry.second;
        return job.final == Final::none && !job.pending.empty() && job.priority <= Priority::high;
    });
}

// How many moves the number of replicas allows in addition to the configured caps.
int Rebalancer::extra_moves() const {
    double replicas = 0;
    for (const auto& [id, job] : cluster_.jobs)
        if (job->final == Final::none && job->spec.shape == Shape::service)
            replicas += job->live;
    return static_cast<int>(replicas * moved_share);
}

Rebalancer::Fleet Rebalancer::sort_fleet() const {
    Fleet fleet;
    for (const auto& [id, machine] : cluster_.machines) {
        if (!serves(cluster_, *machine))
            continue;
        if (machine->retiring)
            fleet.leaving.push_back(machine.get());
        else if (machine->pool)
            fleet.pool.push_back(machine.get());
        else if (plain(*machine))
            fleet.others.push_back(machine.get());
        if (machine->pool)
            fleet.pool_size += machine->whole;
    }
    std::stable_sort(fleet.pool.begin(), fleet.pool.end(), is_fuller);
    std::stable_sort(fleet.others.begin(), fleet.others.end(), is_fuller);
    return fleet;
}

void Rebalancer::rebalance() {
    if (cluster_.types.empty() || is_urgent_work_waiting())
        return;
    const auto& caps = settings_.ops;
    const int extra = extra_moves();
    auto fleet = sort_fleet();
    Round round;
    if (caps.pull_back_cap > 0) {
        round.moves_left = caps.pull_back_cap + extra;
        pull_back(fleet, round);
    }
    if (caps.reorder_cap > 0) {
        round.moves_left = caps.reorder_cap + extra;
        auto targets = fleet.pool;
        targets.insert(targets.end(), fleet.others.begin(), fleet.others.end());
        std::stable_sort(fleet.leaving.begin(), fleet.leaving.end(), is_emptier);
        empty_leaving(fleet.leaving, targets, round);
        defragment(std::move(fleet.pool), round);
    }
}

// The gain in payoff divided by the size of the task (docs/design.md, equations 10 and 11).
double Rebalancer::pull_back_rank(const Entry& entry, const Resources& pool_size) const {
    const placement::Payoff payoff{settings_.ops.alpha, settings_.ops.beta, settings_.ops.gamma};
    const auto& job = *entry.job;
    const double gain = placement::pool_gain(payoff, job.on_pool, job.spec.tasks, settings_.ops.target_share);
    return gain / placement::task_size(job.spec.each, pool_size) * (entry.machine->retiring ? leaving_factor : 1);
}

// Moves replicas from overflow machines to the pool, the highest rank first.
void Rebalancer::pull_back(const Fleet& fleet, Round& round) {
    std::vector<RankedTask> tasks;
    for (const auto& [id, machine] : cluster_.machines) {
        if (machine->status != Status::up || machine->pool)
            continue;
        for (const auto& entry : machine->entries)
            if (is_movable_replica(*entry))
                tasks.push_back({pull_back_rank(*entry, fleet.pool_size), entry.get()});
    }
    std::stable_sort(tasks.begin(), tasks.end(),
                     [](const RankedTask& one, const RankedTask& other) { return one.rank > other.rank; });
    for (const auto& task : tasks) {
        if (round.moves_left <= 0)
            return;
        if (!reserve_place(*task.entry, fleet.pool, round.planned))
            continue;
        move_away(*task.entry);
        --round.moves_left;
    }
}

// Moves replicas away from retiring machines. These count as the most fragmented of all, because their whole cost is
// wasted until the last replica has left.
void Rebalancer::empty_leaving(const Machines& leaving, const Machines& targets, Round& round) {
    for (const auto* machine : leaving)
        for (const auto& entry : machine->entries) {
            if (round.moves_left <= 0)
                return;
            if (!is_movable_replica(*entry) || !reserve_place(*entry, targets, round.planned))
                continue;
            move_away(*entry);
            --round.moves_left;
        }
}

// The fragmentation of a machine if `freed` more of its resources were free.
double Rebalancer::fragmentation_with(const Machine& machine, const Resources& freed) const {
    return placement::fragmentation(machine.whole - machine.used + freed, machine.whole, cluster_.common_shape);
}

// Whether a move clearly reduces the total fragmentation of both machines.
bool Rebalancer::lowers_fragmentation(const Entry& entry, const Machine& from, const Machine& to) const {
    const auto& each = entry.job->spec.each;
    const double before = fragmentation_with(from, {}) + fragmentation_with(to, {});
    const double after = fragmentation_with(from, each) + fragmentation_with(to, each * -1);
    return before - after >= clear_fall * each.cpus / from.whole.cpus;
}

// Moves tasks away from the most fragmented machines of the pool, as in the paper.
void Rebalancer::defragment(Machines pool, Round& round) {
    std::sort(pool.begin(), pool.end(), [this](const Machine* one, const Machine* other) {
        return fragmentation_with(*one, {}) > fragmentation_with(*other, {});
    });
    int looked_at = 0;
    for (std::size_t at = 0; at < std::min(pool.size(), fragmented_machines); ++at) {
        const auto& from = *pool[at];
        for (const auto& entry : from.entries) {
            if (round.moves_left <= 0 || looked_at >= max_looked_at)
                return;
            if (!movable(*entry))
                continue;
            ++looked_at;
            const bool better_elsewhere = std::any_of(pool.begin(), pool.end(), [&](const Machine* to) {
                return may_move_to(*to, *entry) && entry->job->spec.each.fits(to->whole - to->used) &&
                       lowers_fragmentation(*entry, from, *to);
            });
            if (!better_elsewhere)
                continue;
            move_away(*entry);
            --round.moves_left;
        }
    }
}

} // namespace heronshift::scheduling
