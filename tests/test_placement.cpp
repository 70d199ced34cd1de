#include "heronshift/policies/matching.hpp"

#include <gtest/gtest.h>
#include <random>

namespace heronshift::placement {
namespace {

TEST(Payoff, JumpsAtTheTarget) {
    const Payoff f{1, 0.1, 10};
    EXPECT_DOUBLE_EQ(f(-0.5), -0.5);
    EXPECT_DOUBLE_EQ(f(0), 10);
    EXPECT_DOUBLE_EQ(f(1), 10.1);
    // The last task that reaches the target is worth far more than one before it.
    EXPECT_GT(pool_gain(f, 3, 4, 1), 10);
    EXPECT_LT(pool_gain(f, 1, 4, 1), 1);
}

TEST(TaskSize, IsTheRootOfBothShares) {
    EXPECT_NEAR(task_size({4, 0, 16}, {64, 0, 64}), 0.125, 1e-9);
}

TEST(Fragmentation, IsTheRoomThatTheShapeCannotUse) {
    EXPECT_DOUBLE_EQ(fragmentation({8, 0, 100}, {32, 0, 100}, {4, 0, 4}), 0);
    EXPECT_DOUBLE_EQ(fragmentation({6, 0, 100}, {32, 0, 100}, {4, 0, 4}), 2.0 / 32);
    EXPECT_DOUBLE_EQ(fragmentation({8, 0, 2}, {32, 0, 100}, {4, 0, 4}), 8.0 / 32);
}

TEST(Batch, PlacesTheMostEvenIfThatCostsMore) {
    // The cheap bin holds one large or two small tasks.
    const std::vector<Bin> bins{{{4, 0, 8}, {4, 0, 8}}, {{2, 0, 8}, {4, 0, 8}}};
    const std::vector<Group> groups{{{4, 0, 1}, 1, {0, 0}}, {{2, 0, 1}, 2, {0, 9}}};
    const auto plan = match_batch(groups, bins, {2, 0, 1});
    EXPECT_EQ(plan[0][0] + plan[0][1] + plan[1][0] + plan[1][1], 2);
}

TEST(Batch, BreaksTiesByTheFragmentationLeft) {
    const std::vector<Bin> bins{{{8, 0, 64}, {8, 0, 64}}, {{3, 0, 64}, {8, 0, 64}}};
    const std::vector<Group> groups{{{3, 0, 1}, 1, {0, 0}}};
    const auto plan = match_batch(groups, bins, {4, 0, 1});
    EXPECT_EQ(plan[0][1], 1); // the whole machine stays whole
}

// All ways to place few tasks, counted by hand, against the dynamic program.
int most_by_trying(const std::vector<Group>& g, std::vector<Bin> bins, std::size_t group, int left) {
    if (group == g.size())
        return 0;
    if (left == 0)
        return most_by_trying(g, bins, group + 1, group + 1 < g.size() ? g[group + 1].count : 0);
    int best = most_by_trying(g, bins, group, left - 1);
    for (std::size_t b = 0; b < bins.size(); ++b) {
        if (g[group].cost[b] < 0 || !g[group].each.fits(bins[b].free))
            continue;
        auto next = bins;
        next[b].free -= g[group].each;
        best = std::max(best, 1 + most_by_trying(g, next, group, left - 1));
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
        EXPECT_EQ(placed, most_by_trying(groups, bins, 0, groups[0].count));
    }
}

} // namespace
} // namespace heronshift::placement
