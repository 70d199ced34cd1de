/// @file
/// The arithmetic of the method of docs/design.md (KubeDSM's paper): the payoff of tasks on the pool, the size of a
/// task, fragmentation, and the exact assignment of a batch of tasks to machines. Pure functions of their arguments:
/// they know no cluster, keep nothing, throw nothing and may be called from any thread.
#pragma once

#include "heronshift/types.hpp"

#include <vector>

namespace heronshift::placement {

/// What a job gains from the share of its tasks that is on the pool (the paper's equations 2 to 5): alpha * x while the
/// gap x to its target is below zero, beta * x + gamma from there on. The jump by gamma makes the task that reaches the
/// target worth more than all others.
struct Payoff {
    /// The slope below the target.
    double alpha = 1;
    /// The slope from the target on.
    double beta = 0.1;
    /// The value at the target.
    double gamma = 10;

    /// The payoff at a gap, which is the share of tasks on the pool less the target share.
    [[nodiscard]] double operator()(double gap) const {
        return gap < 0 ? alpha * gap : beta * gap + gamma;
    }
};

/// The gain in payoff when one more of a job's `tasks` tasks goes to the pool, where `on_pool` of them are already.
/// `target` is the share of its tasks that should be there. The paper's equations 10 and 11 rank the tasks to pull back
/// by this gain over task_size().
[[nodiscard]] double pool_gain(const Payoff& payoff, double on_pool, double tasks, double target);

/// The size of a task in relation to the pool, the divisor of that rank: the geometric mean of its share of the CPUs
/// and its share of the memory. Above zero; 1 where there is no pool.
[[nodiscard]] double task_size(const Resources& each, const Resources& pool);

/// How many tasks of one shape fit in a room, a whole number, below zero if the room is. `each.cpus` is above zero.
[[nodiscard]] double fit_count(const Resources& each, const Resources& room);

/// The free CPUs that the most frequent waiting shape cannot use, as a share of all CPUs of the machine, 0 to 1. Zero
/// while no shape is known.
[[nodiscard]] double fragmentation(const Resources& free, const Resources& whole, const Resources& shape);

/// A machine that tasks can be assigned to.
struct Bin {
    /// What is free on it.
    Resources free;
    /// All that it has.
    Resources whole;
};

/// The cost of a task on a bin where it may not go.
inline constexpr double not_allowed = -1;

/// Tasks of one shape.
struct Group {
    /// What each of them needs.
    Resources each;
    /// How many they are.
    int count = 0;
    /// What one of them costs on each bin, in seconds of delay; below zero: see `not_allowed`.
    std::vector<double> cost;
};

/// The number of tasks of each group that go to each bin: [group][bin].
using Assignment = std::vector<std::vector<int>>;

/// Assigns a batch, the new tasks of the paper's algorithm 1. Exact: it places as many tasks as can be placed, and of
/// the ways to do so takes the one of the lowest cost, to which the fragmentation that it leaves is added. Each group
/// has a cost for each bin. Time and memory grow with the product of all (count + 1), so batches are to be small: at
/// most 8 tasks in all by default (`ops.batch`).
[[nodiscard]] Assignment match_batch(const std::vector<Group>& groups, const std::vector<Bin>& bins,
                                     const Resources& shape);

} // namespace heronshift::placement
