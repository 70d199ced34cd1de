// Several controllers: which of them may act as leader, and runs with up to several hundred machines under faults.
#include "simulated_cluster.hpp"

#include <gtest/gtest.h>

namespace heronshift::testing {
namespace {

std::string first_violation(const SimulatedCluster& w) {
    return w.violations.empty() ? "" : w.violations.front();
}

TEST(Cluster, AnOutageLongerThanStoreLeaseAndWorkerLeaseLosesNothing) {
    SimulatedCluster w(5, 5);
    w.settings.teams[0].cpus_max = 100;
    w.capacity = 20;
    w.run(20);
    w.submit(job(1, Shape::service, 20, 4));
    w.run(30);
    const int started = w.started;
    ASSERT_EQ(started, 20);
    w.store_down = true;
    w.run(3 * w.settings.lease_s);
    EXPECT_GT(w.steps_on_votes_alone, 100);
    w.end_store_outage();
    w.run(20);
    EXPECT_EQ(w.started, started);
    EXPECT_EQ(w.acquisitions, 1);
    EXPECT_EQ(first_violation(w), "");
}

// The store answers everyone but the leader. This is not an outage of the store, so another controller must take over.
TEST(Cluster, ALeaderThatAloneIsCutFromTheStoreIsReplaced) {
    SimulatedCluster w(6, 5);
    w.capacity = 20;
    w.run(20);
    ASSERT_TRUE(w.leader_record);
    const auto before = w.leader_record->node;
    w.controllers[before].no_store = true;
    w.run(15);
    ASSERT_TRUE(w.leader_record);
    EXPECT_NE(w.leader_record->node, before);
    EXPECT_EQ(first_violation(w), "");
}

struct ClusterSize {
    std::size_t controllers;
    int machines;
    unsigned seed;
};

// Controllers crash, some or all at once, or lose their links to the store, the workers or the other controllers. The
// store has outages. Machines hang, lose their links, die, fail or fall silent. Messages are lost or late.
class ManyFaults : public ::testing::TestWithParam<ClusterSize> {};

TEST_P(ManyFaults, BreakNoRule) {
    const auto size = GetParam();
    SimulatedCluster w(size.seed, size.controllers);
    w.settings.teams = {{"red", 400, 800, 0, 0}, {"blue", 400, 1200, 0, 0}};
    w.settings.state_write_rps = 40;
    w.settings.txn_ops = 16;
    w.capacity = size.machines;
    w.heartbeat_loss = 0.02;
    w.order_loss = 0.03;
    w.delayed_share = 0.02;
    int n = 0;
    double next_job = 2, next_fault = 25;
    auto random_count = [&](double most) { return 1 + static_cast<int>(w.between(0, most)); };
    auto after_random_delay = [&](double most, std::function<void()> f) { w.send(w.between(1, most), std::move(f)); };
    while (w.now < 150 && w.violations.empty()) {
        if (w.now >= next_job && !w.store_down) {
            next_job = w.now + w.between(0.2, 2);
            const double c = w.chance();
            const auto shape = c < 0.6 ? Shape::array : c < 0.8 ? Shape::gang : Shape::service;
            auto j =
                job(++n, shape, static_cast<std::uint32_t>(shape == Shape::array ? random_count(80) : random_count(9)),
                    1 + std::floor(w.between(0, 3)), w.chance() < 0.5 ? "red" : "blue");
            j.spread = shape == Shape::service && w.chance() < 0.5;
            j.one_zone = shape == Shape::gang && w.chance() < 0.5;
            if (shape == Shape::array)
                j.priority = w.chance() < 0.5 ? Priority::normal : Priority::low;
            if (shape == Shape::gang)
                j.priority = Priority::high;
            w.submit(j);
        }
        if (n > 0 && w.chance() < 0.005)
            w.cancel(fmt::format("wk-{:06}", random_count(n - 0.01)));
        if (w.now >= next_fault) {
            next_fault = w.now + w.between(2, 10);
            const double c = w.chance();
            auto& node =
                w.controllers[static_cast<std::size_t>(w.between(0, static_cast<double>(size.controllers) - 0.01))];
            if (c < 0.15) {
                for (auto& x : w.controllers)
                    if (w.chance() < 0.4)
                        w.crash(x, 3);
            } else if (c < 0.25) {
                if (w.leader_record)
                    w.crash(w.controllers[w.leader_record->node], 3);
            } else if (c < 0.35) {
                w.store_down = true;
                after_random_delay(20, [&w] { w.end_store_outage(); });
            } else if (c < 0.55) {
                bool SimulatedCluster::Controller::*broken_link = c < 0.42   ? &SimulatedCluster::Controller::no_store
                                                                  : c < 0.49 ? &SimulatedCluster::Controller::no_workers
                                                                             : &SimulatedCluster::Controller::no_peers;
                node.*broken_link = true;
                after_random_delay(25, [&node, broken_link] { node.*broken_link = false; });
            } else {
                for (auto& [id, x] : w.workers) {
                    if (w.chance() > 0.05)
                        continue;
                    if (c < 0.7) {
                        x.cut = true;
                        after_random_delay(25, [&w, k = id] {
                            if (w.workers.contains(k))
                                w.workers[k].cut = false;
                        });
                    } else if (c < 0.85) {
                        x.hung = true;
                        after_random_delay(25, [&w, k = id] {
                            if (w.workers.contains(k))
                                w.workers[k].hung = false;
                        });
                    } else {
                        (c < 0.93 ? x.dead : x.sick) = true;
                    }
                }
            }
        }
        w.step();
    }
    EXPECT_EQ(first_violation(w), "") << "at " << w.now;
    EXPECT_GT(w.started, 3 * size.machines);
    EXPECT_GE(w.acquisitions, 2);
}

INSTANTIATE_TEST_SUITE_P(Sizes, ManyFaults,
                         ::testing::Values(ClusterSize{5, 300, 1}, ClusterSize{7, 300, 2}, ClusterSize{3, 40, 8},
                                           ClusterSize{5, 40, 4}, ClusterSize{7, 40, 5}, ClusterSize{5, 40, 6},
                                           ClusterSize{7, 40, 7}));

} // namespace
} // namespace heronshift::testing
