// Pure functions of a snapshot: payoff, batch matching, fragmentation.
#pragma once

#include "heronshift/types.hpp"

#include <vector>

namespace heronshift::placement {

// What a job is worth at a gap x between its share of tasks on the pool and its target.
struct Payoff {
    double alpha = 1, beta = 0.1, gamma = 10;
    [[nodiscard]] double operator()(double x) const {
        return x < 0 ? alpha * x : beta * x + gamma;
    }
};

// Gain of moving one more of `tasks` tasks to the pool, of which `on_pool` are there.
double pool_gain(const Payoff& payoff, double on_pool, double tasks, double target);

// Square root of the pool's CPU share times its memory share.
double task_size(const Resources& each, const Resources& pool);

// Free room that the commonest waiting shape cannot use, as a share of the whole machine.
double fragmentation(const Resources& free, const Resources& whole, const Resources& shape);

struct Bin {
    Resources free, whole;
};

// Tasks of one shape; what one of them costs on each bin, below zero: not allowed there.
struct Group {
    Resources each;
    int count = 0;
    std::vector<double> cost;
};

// How many tasks of each group go to each bin: [group][bin]. Exact: places the most, then the
// lowest cost, fragmentation left being part of it. At most 8 tasks in all.
std::vector<std::vector<int>> match_batch(const std::vector<Group>& groups, const std::vector<Bin>& bins,
                                          const Resources& shape);

} // namespace heronshift::placement
