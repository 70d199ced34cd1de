// Runs of the simulated cluster with fixed seeds; every invariant is checked after every step.
#include "simulated_cluster.hpp"

#include <gtest/gtest.h>

namespace heronshift::testing {
namespace {

std::string first(const SimulatedCluster& w) {
    return w.broken.empty() ? "" : w.broken.front();
}

TEST(SimulatedCluster, AQuietDayRunsEverything) {
    SimulatedCluster w(1);
    w.acquire_leadership();
    w.submit(job(1, Shape::array, 20, 2));
    w.submit(job(2, Shape::gang, 3, 4));
    auto service = job(3, Shape::service, 3, 1, "blue");
    service.spread = true;
    w.submit(service);
    w.run(120);
    EXPECT_EQ(first(w), "");
    EXPECT_EQ(w.told["wk-000001"], codec::status_done);
    EXPECT_EQ(w.told["wk-000002"], codec::status_done);
    EXPECT_EQ(w.core->view("wk-000003")->running, 3U);
    // No task is pending any more, so empty machines have been released.
    EXPECT_LE(w.workers.size(), 3U);
}

TEST(SimulatedCluster, CancelledWorkIsGoneInTimeAlsoBehindACut) {
    SimulatedCluster w(2);
    w.acquire_leadership();
    w.submit(job(1, Shape::service, 3, 4));
    w.run(30);
    ASSERT_EQ(w.core->view("wk-000001")->running, 3U);
    w.workers.begin()->second.cut = true;
    w.cancel("wk-000001");
    w.run(w.settings.cancel_s + 5);
    EXPECT_EQ(first(w), "");
    EXPECT_EQ(w.told["wk-000001"], codec::status_cancelled);
    w.run(20);
    EXPECT_FALSE(w.store.contains("j/wk-000001"));
    EXPECT_TRUE(w.store.contains("f/wk-000001"));
}

TEST(SimulatedCluster, AFailoverKeepsWhatRunsAndCountsWhatItCannotSee) {
    SimulatedCluster w(3);
    w.acquire_leadership();
    w.submit(job(1, Shape::service, 4, 4));
    w.run(30);
    ASSERT_EQ(w.core->live_tasks("wk-000001"), 4U);
    w.workers.begin()->second.cut = true; // unreachable, but its tasks keep running
    const int before = w.started;
    w.acquire_leadership();
    w.step();
    // A stored intent counts as a live task until the machine reports otherwise or its lease has certainly expired.
    EXPECT_EQ(w.core->live_tasks("wk-000001"), 4U);
    w.run(5);
    EXPECT_EQ(w.started, before);
    w.run(40);
    EXPECT_GT(w.started, before);
    EXPECT_EQ(first(w), "");
}

TEST(SimulatedCluster, ASickMachineIsReplacedAndABadJobTakesNoMachineDown) {
    SimulatedCluster w(4);
    w.acquire_leadership();
    w.submit(job(1, Shape::array, 30, 2));
    w.run(14);
    ASSERT_FALSE(w.workers.empty());
    w.workers.begin()->second.sick = true;
    for (int i = 2; i < 8; ++i)
        w.submit(job(i, Shape::array, 12, 2, "blue"));
    w.run(200);
    EXPECT_EQ(first(w), "");
    for (int i = 1; i < 8; ++i)
        EXPECT_EQ(w.told[fmt::format("wk-{:06}", i)], codec::status_done) << i;
}

// Returns how many of ten tasks were restarted, where the first takes `first_s` and the others take 5 s. Guards against
// restarting a long task on other machines forever: neither its job nor the jobs that depend on it would ever end.
int begun_again(double first_s) {
    SimulatedCluster w(5);
    w.takes = [first_s](std::uint32_t index) { return index == 0 ? first_s : 5.0; };
    w.settings.teams[0].cpus_max = 400;
    w.capacity = 30;
    w.acquire_leadership();
    w.submit(job(2, Shape::service, 30, 6)); // keeps enough machines that a few may be considered slow
    w.run(40);
    const int before = w.started;
    w.submit(job(1, Shape::array, 10, 2));
    w.run(60);
    EXPECT_EQ(w.told["wk-000001"], codec::status_done);
    EXPECT_EQ(first(w), "");
    return w.started - before - 10;
}
TEST(SimulatedCluster, ATaskThatIsLongEverywhereEnds) {
    EXPECT_EQ(begun_again(15), 1); // one restart on another machine is justified
}
// Guards against restarting the slowest of similar tasks when it is almost done, which delays its job.
TEST(SimulatedCluster, ATaskThatIsALittleLongerIsLeftToRun) {
    EXPECT_EQ(begun_again(13), 0);
}

// Leader crashes, unreachable, hung, dead and faulty machines, lost and late messages, and store
// outages, during which transactions are refused.
class Fault : public ::testing::TestWithParam<unsigned> {};

TEST_P(Fault, BreaksNoRule) {
    SimulatedCluster w(GetParam());
    w.heartbeat_loss = 0.05;
    w.order_loss = 0.1;
    w.late = 0.05;
    w.acquire_leadership();
    int n = 0;
    double next_job = 0, next_fault = 10;
    while (w.now < 400 && w.broken.empty()) {
        if (w.now >= next_job && n < 60) {
            next_job = w.now + w.between(1, 8);
            const auto shape = w.chance() < 0.5 ? Shape::array : w.chance() < 0.5 ? Shape::gang : Shape::service;
            auto j = job(++n, shape, 1 + static_cast<std::uint32_t>(w.between(0, 7)), 1 + std::floor(w.between(0, 3)),
                         w.chance() < 0.5 ? "red" : "blue");
            if (shape == Shape::service)
                j.tasks = 1 + j.tasks % 3;
            j.spread = shape == Shape::service && w.chance() < 0.5;
            j.one_zone = shape == Shape::gang && w.chance() < 0.5;
            w.submit(j);
        }
        if (n > 0 && w.chance() < 0.01)
            w.cancel(fmt::format("wk-{:06}", 1 + static_cast<int>(w.between(0, n))));
        if (w.now >= next_fault) {
            next_fault = w.now + w.between(3, 20);
            auto pick = [&]() -> SimulatedCluster::Worker* {
                if (w.workers.empty())
                    return nullptr;
                auto it = w.workers.begin();
                std::advance(it, static_cast<long>(w.between(0, static_cast<double>(w.workers.size()) - 0.01)));
                return &it->second;
            };
            auto* x = pick();
            const double c = w.chance();
            if (c < 0.3 || !w.core) {
                w.core.reset();
                w.send(w.between(0.5, 8), [&w] { w.acquire_leadership(); });
            } else if (c < 0.5 && x != nullptr) {
                x->cut = true;
                w.send(w.between(1, 25), [&w, id = x->id] {
                    if (w.workers.contains(id))
                        w.workers[id].cut = false;
                });
            } else if (c < 0.65 && x != nullptr) {
                x->hung = true;
                w.send(w.between(1, 25), [&w, id = x->id] {
                    if (w.workers.contains(id))
                        w.workers[id].hung = false;
                });
            } else if (c < 0.75 && x != nullptr) {
                x->dead = true;
            } else if (c < 0.85) {
                w.store_down = true;
                w.send(w.between(1, 12), [&w] { w.store_down = false; });
            } else if (x != nullptr) {
                x->sick = true;
            }
        }
        w.step();
    }
    EXPECT_EQ(first(w), "") << "at " << w.now;
    EXPECT_GT(w.started, 20);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Fault,
                         ::testing::Values(214U, 318U, 444U, 100U, 101U, 102U, 103U, 104U, 105U, 106U, 107U, 108U));

} // namespace
} // namespace heronshift::testing
