// The payoff function, fragmentation and the assignment of a batch of tasks to machines.
#include "scheduling/batch_assignment.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <utility>
#include <vector>

namespace heronshift::placement {
namespace {

TEST(Payoff, JumpsAtTheTarget) {
    const Payoff f{1, 0.1, 10};
    EXPECT_DOUBLE_EQ(f(-0.5), -0.5);
    EXPECT_DOUBLE_EQ(f(0), 10);
    EXPECT_DOUBLE_EQ(f(1), 10.1);
    // The task that reaches the target is worth far more than any task before it.
    EXPECT_GT(pool_gain(f, 3, 4, 1), 10);
    EXPECT_LT(pool_gain(f, 1, 4, 1), 1);
}

TEST(TaskSize, IsTheRootOfBothShares) {
    EXPECT_NEAR(task_size({4, 0, 16}, {64, 0, 64}), 0.125, 1e-9);
}

TEST(FitCount, IsTheScarcestResource) {
    EXPECT_EQ(fit_count({4, 0, 4}, {32, 0, 100}), 8);
    EXPECT_EQ(fit_count({4, 0, 4}, {32, 0, 11}), 2);
    EXPECT_EQ(fit_count({4, 1, 4}, {32, 1, 100}), 1);
    EXPECT_EQ(fit_count({0.1, 0, 0}, {0.3, 0, 0}), 3); // although the floating-point quotient is 2.9999...
    EXPECT_LT(fit_count({4, 0, 4}, {-1, 0, 100}), 0);
}

TEST(Fragmentation, IsTheRoomThatTheShapeCannotUse) {
    EXPECT_DOUBLE_EQ(fragmentation({8, 0, 100}, {32, 0, 100}, {4, 0, 4}), 0);
    EXPECT_DOUBLE_EQ(fragmentation({6, 0, 100}, {32, 0, 100}, {4, 0, 4}), 2.0 / 32);
    EXPECT_DOUBLE_EQ(fragmentation({8, 0, 2}, {32, 0, 100}, {4, 0, 4}), 8.0 / 32);
}

TEST(Batch, PlacesTheMostEvenIfThatCostsMore) {
    // The cheap bin has room for one large or two small tasks.
    const std::vector<Bin> bins{{{4, 0, 8}, {4, 0, 8}}, {{2, 0, 8}, {4, 0, 8}}};
    const std::vector<Group> groups{{{4, 0, 1}, 1, {0, 0}}, {{2, 0, 1}, 2, {0, 9}}};
    const auto plan = match_batch(groups, bins, {2, 0, 1});
    EXPECT_EQ(plan[0][0] + plan[0][1] + plan[1][0] + plan[1][1], 2);
}

TEST(Batch, BreaksTiesByTheFragmentationLeft) {
    const std::vector<Bin> bins{{{8, 0, 64}, {8, 0, 64}}, {{3, 0, 64}, {8, 0, 64}}};
    const std::vector<Group> groups{{{3, 0, 1}, 1, {0, 0}}};
    const auto plan = match_batch(groups, bins, {4, 0, 1});
    EXPECT_EQ(plan[0][1], 1); // the empty machine stays empty
}

// The largest number of tasks that can be placed, by exhaustive search, as a reference for the dynamic program.
int max_placed_by_search(const std::vector<Group>& g, std::vector<Bin> bins, std::size_t group, int left) {
    if (group == g.size())
        return 0;
    if (left == 0)
        return max_placed_by_search(g, bins, group + 1, group + 1 < g.size() ? g[group + 1].count : 0);
    int best = max_placed_by_search(g, bins, group, left - 1);
    for (std::size_t b = 0; b < bins.size(); ++b) {
        if (g[group].cost[b] < 0 || !g[group].each.fits(bins[b].free))
            continue;
        auto next = bins;
        next[b].free -= g[group].each;
        best = std::max(best, 1 + max_placed_by_search(g, next, group, left - 1));
    }
    return best;
}

TEST(Batch, IsExactOnRandomCases) {
    std::mt19937 rng(7);
    auto pick = [&](int a, int b) { return std::uniform_int_distribution<int>(a, b)(rng); };
    for (int round = 0; round < 60; ++round) {
        std::vector<Bin> bins;
        for (int b = 0; b < 3; ++b) {
            const Resources r{double(pick(1, 8)), double(pick(0, 1)), double(pick(1, 8))};
            bins.push_back({r, r});
        }
        std::vector<Group> groups;
        for (int g = 0; g < 3; ++g) {
            Group x{{double(pick(1, 4)), double(pick(0, 3) == 0), double(pick(1, 4))}, pick(1, 2), {}};
            for (int b = 0; b < 3; ++b)
                x.cost.push_back(pick(0, 5) == 0 ? -1 : pick(0, 9));
            groups.push_back(x);
        }
        const auto plan = match_batch(groups, bins, {2, 0, 2});
        int placed = 0;
        for (std::size_t b = 0; b < bins.size(); ++b) {
            Resources used;
            for (std::size_t g = 0; g < groups.size(); ++g) {
                used += groups[g].each * plan[g][b];
                placed += plan[g][b];
                EXPECT_TRUE(plan[g][b] == 0 || groups[g].cost[b] >= 0);
            }
            EXPECT_TRUE(used.fits(bins[b].free));
        }
        EXPECT_EQ(placed, max_placed_by_search(groups, bins, 0, groups[0].count));
    }
}

// Reference for match_batch(): the dynamic program over every bin, without skipping identical bins that cannot change
// the result. A state encodes in mixed radix how many tasks of each group are placed; a code encodes in the same way
// how many tasks of each group go to one bin.
class EveryBinMatcher {
public:
    EveryBinMatcher(const std::vector<Group>& groups, const std::vector<Bin>& bins, const Resources& shape)
        : groups_(groups), bins_(bins), shape_(shape) {
        for (const auto& group : groups) {
            place_values_.push_back(states_);
            states_ *= static_cast<std::size_t>(group.count) + 1;
        }
        best_.assign(states_, unreachable);
        best_[0] = 0;
    }
    Assignment run() {
        for (std::size_t bin = 0; bin < bins_.size(); ++bin)
            extend_by_bin(bin);
        return trace_back();
    }

private:
    static constexpr double unreachable = -1e300;
    static constexpr double placed_task_value = 1e9;

    [[nodiscard]] int digit(std::size_t state, std::size_t group) const {
        return static_cast<int>(state / place_values_[group] % (static_cast<std::size_t>(groups_[group].count) + 1));
    }
    [[nodiscard]] bool is_allowed(std::size_t state, std::size_t code, std::size_t bin) const {
        Resources need;
        for (std::size_t group = 0; group < groups_.size(); ++group) {
            const int count = digit(code, group);
            if (digit(state, group) + count > groups_[group].count || (count > 0 && groups_[group].cost[bin] < 0))
                return false;
            need += groups_[group].each * count;
        }
        return need.fits(bins_[bin].free);
    }
    [[nodiscard]] double value_of(std::size_t code, std::size_t bin) const {
        const auto& [free, whole] = bins_[bin];
        double value = 0;
        Resources need;
        for (std::size_t group = 0; group < groups_.size(); ++group) {
            const int count = digit(code, group);
            need += groups_[group].each * count;
            if (count > 0)
                value += count * (placed_task_value - groups_[group].cost[bin]);
        }
        return value - (fragmentation(free - need, whole, shape_) - fragmentation(free, whole, shape_));
    }
    void extend_by_bin(std::size_t bin) {
        auto next = best_;
        auto& taken = taken_.emplace_back(states_);
        for (std::size_t state = 0; state < states_; ++state) {
            if (best_[state] == unreachable)
                continue;
            for (std::size_t code = 1; code < states_; ++code) {
                if (!is_allowed(state, code, bin))
                    continue;
                const double value = best_[state] + value_of(code, bin);
                if (value > next[state + code]) {
                    next[state + code] = value;
                    taken[state + code] = code;
                }
            }
        }
        best_ = std::move(next);
    }
    [[nodiscard]] Assignment trace_back() const {
        Assignment assignment(groups_.size(), std::vector<int>(bins_.size()));
        auto state = static_cast<std::size_t>(std::max_element(best_.begin(), best_.end()) - best_.begin());
        for (std::size_t bin = bins_.size(); bin-- > 0;) {
            const auto code = taken_[bin][state];
            for (std::size_t group = 0; group < groups_.size(); ++group)
                assignment[group][bin] = digit(code, group);
            state -= code;
        }
        return assignment;
    }

    const std::vector<Group>& groups_;
    const std::vector<Bin>& bins_;
    const Resources& shape_;
    std::vector<std::size_t> place_values_; // place value of each group's digit
    std::size_t states_ = 1;
    std::vector<double> best_;
    std::vector<std::vector<std::size_t>> taken_; // the code chosen, by bin and state
};

TEST(Batch, SkipsIdenticalBinsWithTheSameResult) {
    std::mt19937 rng(11);
    auto pick = [&](int a, int b) { return std::uniform_int_distribution<int>(a, b)(rng); };
    for (int round = 0; round < 200; ++round) {
        std::vector<Bin> kinds;
        for (int k = 0; k < 4; ++k) {
            const Resources whole{double(pick(4, 16)), double(pick(0, 1)), double(pick(4, 32))};
            kinds.push_back({whole * (0.1 * pick(1, 10)), whole});
        }
        std::vector<Group> groups(static_cast<std::size_t>(pick(1, 3)));
        std::vector<std::vector<double>> costs; // by group and kind of bin
        for (auto& g : groups) {
            g.each = {0.7 * pick(1, 4), 0, 0.9 * pick(1, 4)};
            g.count = pick(1, groups.size() == 1 ? 8 : 2);
            std::vector<double> of_kinds;
            for (std::size_t k = 0; k < kinds.size(); ++k)
                of_kinds.push_back(pick(0, 5) == 0 ? -1 : 0.37 * pick(0, 9));
            costs.push_back(of_kinds);
        }
        std::vector<Bin> bins;
        for (int b = pick(1, 60); b > 0; --b) {
            const auto kind = static_cast<std::size_t>(pick(0, 3));
            bins.push_back(kinds[kind]);
            for (std::size_t g = 0; g < groups.size(); ++g)
                groups[g].cost.push_back(costs[g][kind]);
        }
        const Resources shape{1.5, 0, 2};
        EXPECT_EQ(match_batch(groups, bins, shape), EveryBinMatcher(groups, bins, shape).run());
    }
}

} // namespace
} // namespace heronshift::placement
