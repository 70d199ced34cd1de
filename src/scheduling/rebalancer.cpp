#include "scheduling/rebalancer.hpp"
#include "scheduling/batch_assignment.hpp"

#include <algorithm>

namespace heronshift::scheduling {
namespace {

// Share of all replicas that may be moved in a round in addition to the paper's caps, which are meant for a dozen
// machines.
constexpr double extra_move_share = 0.004;
// Minimum run time before a move. A task that is stopped by an order sooner than this does not count as started for its
// user.
constexpr double min_run_before_move_s = 31;
// Array tasks are moved only within this time after their placement, while little work would be lost.
constexpr double max_array_age_s = 60;
// Factor on the rank of tasks on retiring machines, since these machines cost money until they are empty.
constexpr double retiring_rank_factor = 2;
constexpr std::size_t max_fragmented_machines = 3; // in a round, as in the paper
constexpr int max_tasks_examined = 30;             // in a round, as in the paper
// Minimum reduction of fragmentation that is worth a move, as a multiple of the task's share of the machine.
constexpr double min_fragmentation_gain = 2;

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
bool Rebalancer::assign_room(const Entry& entry, const Machines& machines, AssignedRoom& assigned) const {
    const auto& each = entry.job->spec.each;
    for (const auto* machine : machines) {
        if (!may_move_to(*machine, entry))
            continue;
        auto& taken = assigned[machine];
        if (!(each + taken).fits(machine->total - machine->used))
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
bool Rebalancer::is_movable(const Entry& entry) const {
    if (entry.stop || entry.phase != Phase::running || cluster_.now - entry.running_at <= min_run_before_move_s ||
        entry.job->final != FinalState::none)
        return false;
    const auto shape = entry.job->spec.shape;
    return shape == Shape::service || (shape == Shape::array && cluster_.now - entry.placed_at < max_array_age_s);
}

bool Rebalancer::is_movable_replica(const Entry& entry) const {
    return is_movable(entry) && entry.job->spec.shape == Shape::service;
}

bool Rebalancer::is_urgent_work_waiting() const {
    return std::any_of(cluster_.jobs.begin(), cluster_.jobs.end(), [](const auto& entry) {
        const Job& job = *entry.second;
        return job.final == FinalState::none && !job.pending.empty() && job.priority <= Priority::high;
    });
}

// How many moves the number of replicas allows in addition to the configured caps.
int Rebalancer::extra_moves() const {
    double replicas = 0;
    for (const auto& [id, job] : cluster_.jobs)
        if (job->final == FinalState::none && job->spec.shape == Shape::service)
            replicas += job->live;
    return static_cast<int>(replicas * extra_move_share);
}

Rebalancer::Fleet Rebalancer::sort_fleet() const {
    Fleet fleet;
    for (const auto& [id, machine] : cluster_.machines) {
        if (!counts_as_capacity(cluster_, *machine))
            continue;
        if (machine->retiring)
            fleet.retiring_machines.push_back(machine.get());
        else if (machine->pool)
            fleet.pool.push_back(machine.get());
        else if (is_cpu_only_on_demand(*machine))
            fleet.others.push_back(machine.get());
        if (machine->pool)
            fleet.pool_size += machine->total;
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
        std::stable_sort(fleet.retiring_machines.begin(), fleet.retiring_machines.end(), is_emptier);
        empty_retiring(fleet.retiring_machines, targets, round);
        defragment(std::move(fleet.pool), round);
    }
}

// The gain in payoff divided by the size of the task (docs/design.md, equations 10 and 11).
double Rebalancer::pull_back_rank(const Entry& entry, const Resources& pool_size) const {
    const placement::Payoff payoff{settings_.ops.alpha, settings_.ops.beta, settings_.ops.gamma};
    const auto& job = *entry.job;
    const double gain = placement::pool_gain(payoff, job.entries_on_pool, job.spec.tasks, settings_.ops.target_share);
    return gain / placement::task_size(job.spec.each, pool_size) * (entry.machine->retiring ? retiring_rank_factor : 1);
}

// Moves replicas from overflow machines to the pool, the highest rank first.
void Rebalancer::pull_back(const Fleet& fleet, Round& round) {
    std::vector<RankedTask> tasks;
    for (const auto& [id, machine] : cluster_.machines) {
        if (machine->status != MachineStatus::up || machine->pool)
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
        if (!assign_room(*task.entry, fleet.pool, round.assigned))
            continue;
        move_away(*task.entry);
        --round.moves_left;
    }
}

// Moves replicas away from retiring machines. These count as the most fragmented of all, because their whole cost is
// wasted until the last replica has left.
void Rebalancer::empty_retiring(const Machines& retiring_machines, const Machines& targets, Round& round) {
    for (const auto* machine : retiring_machines)
        for (const auto& entry : machine->entries) {
            if (round.moves_left <= 0)
                return;
            if (!is_movable_replica(*entry) || !assign_room(*entry, targets, round.assigned))
                continue;
            move_away(*entry);
            --round.moves_left;
        }
}

// The fragmentation of a machine if `freed` more of its resources were free.
double Rebalancer::fragmentation_with(const Machine& machine, const Resources& freed) const {
    return placement::fragmentation(machine.total - machine.used + freed, machine.total, cluster_.common_shape);
}

// Whether a move clearly reduces the total fragmentation of both machines.
bool Rebalancer::lowers_fragmentation(const Entry& entry, const Machine& from, const Machine& to) const {
    const auto& each = entry.job->spec.each;
    const double before = fragmentation_with(from, {}) + fragmentation_with(to, {});
    const double after = fragmentation_with(from, each) + fragmentation_with(to, each * -1);
    return before - after >= min_fragmentation_gain * each.cpus / from.total.cpus;
}

// Moves tasks away from the most fragmented machines of the pool, as in the paper.
void Rebalancer::defragment(Machines pool, Round& round) {
    std::sort(pool.begin(), pool.end(), [this](const Machine* one, const Machine* other) {
        return fragmentation_with(*one, {}) > fragmentation_with(*other, {});
    });
    int tasks_examined = 0;
    for (std::size_t at = 0; at < std::min(pool.size(), max_fragmented_machines); ++at) {
        const auto& from = *pool[at];
        for (const auto& entry : from.entries) {
            if (round.moves_left <= 0 || tasks_examined >= max_tasks_examined)
                return;
            if (!is_movable(*entry))
                continue;
            ++tasks_examined;
            const bool better_elsewhere = std::any_of(pool.begin(), pool.end(), [&](const Machine* to) {
                return may_move_to(*to, *entry) && entry->job->spec.each.fits(to->total - to->used) &&
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
