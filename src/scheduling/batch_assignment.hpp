/// @file
/// The formulas of the scheduling method in docs/design.md, which is taken from the KubeDSM paper: the payoff of tasks
/// on the pool, the size of a task, fragmentation, and the exact assignment of a batch of tasks to machines. All
/// functions are pure, do not throw, and may be called from any thread.
#pragma once

#include "heronshift/types.hpp"

#include <vector>

namespace heronshift::placement {

/// The payoff of a job as a function of the share of its tasks that is on the pool (equations 2 to 5 of the paper).
/// With x the share minus the target share, it is alpha * x below zero and beta * x + gamma from zero on. Because of
/// the jump by gamma, the task with which a job reaches its target gains more than any other.
struct Payoff {
    /// The slope below the target.
    double alpha = 1;
    /// The slope at and above the target.
    double beta = 0.1;
    /// The payoff at the target.
    double gamma = 10;

    /// The payoff for `gap`, the share of the job's tasks that is on the pool minus the target share.
    [[nodiscard]] double operator()(double gap) const {
        return gap < 0 ? alpha * gap : beta * gap + gamma;
    }
};

/// The increase in payoff when one more of a job's `tasks` tasks moves to the pool, which holds `on_pool` of them
/// already. `target` is the share of the tasks that should be there. Equations 10 and 11 of the paper rank the tasks to
/// pull back to the pool by this increase divided by task_size().
[[nodiscard]] double pool_gain(const Payoff& payoff, double on_pool, double tasks, double target);

/// The size of a task relative to the pool: the geometric mean of its share of the pool's CPUs and its share of the
/// pool's memory. Always above zero; 1 if there is no pool.
[[nodiscard]] double task_size(const Resources& each, const Resources& pool);

/// How many tasks that need `each` fit in `room`, as a whole number. Negative if an amount in `room` is negative.
/// `each.cpus` must be above zero.
[[nodiscard]] double fit_count(const Resources& each, const Resources& room);

/// Fragmentation of a machine: the share of its CPUs, 0 to 1, that is free but cannot be used by tasks that need
/// `common_shape`, the resources of the most common waiting task. Zero while `common_shape` is unknown (zero CPUs).
[[nodiscard]] double fragmentation(const Resources& free, const Resources& total, const Resources& common_shape);

/// A machine that tasks can be assigned to.
struct Bin {
    /// The resources that are free.
    Resources free;
    /// All resources of the machine.
    Resources total;
};

/// The cost that marks a bin as forbidden for a task.
inline constexpr double not_allowed = -1;

/// Tasks that need the same resources.
struct Group {
    /// The resources that each task needs.
    Resources each;
    /// The number of tasks.
    int count = 0;
    /// The cost of one task on each bin, in seconds of delay. Below zero means forbidden, see `not_allowed`.
    std::vector<double> cost;
};

/// The number of tasks of each group that are assigned to each bin, indexed as [group][bin].
using Assignment = std::vector<std::vector<int>>;

/// Assigns a batch of new tasks to bins (algorithm 1 of the paper). The result is exact: it places the largest possible
/// number of tasks, and among all ways to do so has the lowest sum of costs and remaining fragmentation. Each group
/// must have a cost for each bin. Time and memory grow with the product of (count + 1) over all groups, so batches must
/// be small: the default (`ops.batch`) is at most 8 tasks in total.
[[nodiscard]] Assignment match_batch(const std::vector<Group>& groups, const std::vector<Bin>& bins,
                                     const Resources& common_shape);

} // namespace heronshift::placement
