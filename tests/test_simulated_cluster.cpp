// Runs of the simulated cluster with fixed seeds; every invariant is checked after every step.
#include "simulated_cluster.hpp"

#include <gtest/gtest.h>

namespace heronshift::testing {
namespace {

std::string first_violation(const SimulatedCluster& cluster) {
    return cluster.violations.empty() ? "" : cluster.violations.front();
}

TEST(SimulatedCluster, AQuietDayRunsEverything) {
    SimulatedCluster cluster(1);
    cluster.acquire_leadership();
    cluster.submit(job(1, Shape::array, 20, 2));
    cluster.submit(job(2, Shape::gang, 3, 4));
    auto service = job(3, Shape::service, 3, 1, "blue");
    service.spread = true;
    cluster.submit(service);
    cluster.run(120);
    EXPECT_EQ(first_violation(cluster), "");
    EXPECT_EQ(cluster.final_states["wk-000001"], codec::status_done);
    EXPECT_EQ(cluster.final_states["wk-000002"], codec::status_done);
    EXPECT_EQ(cluster.core->view("wk-000003")->running, 3U);
    // No task is pending any more, so empty machines have been released.
    EXPECT_LE(cluster.workers.size(), 3U);
}

TEST(SimulatedCluster, CancelledWorkIsGoneInTimeAlsoBehindACut) {
    SimulatedCluster cluster(2);
    cluster.acquire_leadership();
    cluster.submit(job(1, Shape::service, 3, 4));
    cluster.run(30);
    ASSERT_EQ(cluster.core->view("wk-000001")->running, 3U);
    cluster.workers.begin()->second.cut = true;
    cluster.cancel("wk-000001");
    cluster.run(cluster.settings.cancel_s + 5);
    EXPECT_EQ(first_violation(cluster), "");
    EXPECT_EQ(cluster.final_states["wk-000001"], codec::status_cancelled);
    cluster.run(20);
    EXPECT_FALSE(cluster.store.contains("j/wk-000001"));
    EXPECT_TRUE(cluster.store.contains("f/wk-000001"));
}

TEST(SimulatedCluster, AFailoverKeepsWhatRunsAndCountsWhatItCannotSee) {
    SimulatedCluster cluster(3);
    cluster.acquire_leadership();
    cluster.submit(job(1, Shape::service, 4, 4));
    cluster.run(30);
    ASSERT_EQ(cluster.core->live_tasks("wk-000001"), 4U);
    cluster.workers.begin()->second.cut = true; // unreachable, but its tasks keep running
    const int before = cluster.started;
    cluster.acquire_leadership();
    cluster.step();
    // A stored intent counts as a live task until the machine reports otherwise or its lease has certainly expired.
    EXPECT_EQ(cluster.core->live_tasks("wk-000001"), 4U);
    cluster.run(5);
    EXPECT_EQ(cluster.started, before);
    cluster.run(40);
    EXPECT_GT(cluster.started, before);
    EXPECT_EQ(first_violation(cluster), "");
}

TEST(SimulatedCluster, ASickMachineIsReplacedAndABadJobTakesNoMachineDown) {
    SimulatedCluster cluster(4);
    cluster.acquire_leadership();
    cluster.submit(job(1, Shape::array, 30, 2));
    cluster.run(14);
    ASSERT_FALSE(cluster.workers.empty());
    cluster.workers.begin()->second.sick = true;
    for (int i = 2; i < 8; ++i)
        cluster.submit(job(i, Shape::array, 12, 2, "blue"));
    cluster.run(200);
    EXPECT_EQ(first_violation(cluster), "");
    for (int i = 1; i < 8; ++i)
        EXPECT_EQ(cluster.final_states[fmt::format("wk-{:06}", i)], codec::status_done) << i;
}

// Returns the number of machines that were taken out of use within 100 s after a job came one of whose tasks, the
// `faulty` one, fails on every machine.
std::size_t machines_out_of_use(unsigned seed, std::uint32_t tasks, std::uint32_t faulty) {
    SimulatedCluster cluster(seed);
    cluster.capacity = 12;
    cluster.acquire_leadership();
    cluster.submit(job(1, Shape::service, 3, 1, "blue"));
    cluster.run(20);
    cluster.faulty_tasks = {fmt::format("wk-000002/{}", faulty)};
    cluster.submit(job(2, Shape::array, tasks, 1));
    cluster.run(10);
    cluster.submit(job(3, Shape::array, 10, 2));
    std::set<std::string> out_of_use;
    for (const double end = cluster.now + 90; cluster.now < end && cluster.violations.empty();) {
        cluster.step();
        for (const auto& [id, machine] : cluster.core->state().machines)
            if (machine->out_of_service)
                out_of_use.insert(id);
    }
    EXPECT_EQ(first_violation(cluster), "") << seed;
    EXPECT_EQ(cluster.final_states["wk-000003"], codec::status_done) << seed;
    EXPECT_EQ(cluster.core->view("wk-000002")->done, tasks - 1) << seed;
    EXPECT_EQ(cluster.core->view("wk-000001")->running, 3U) << seed;
    return out_of_use.size();
}

// Guards against a task that fails everywhere and takes one machine after the other out of use, with all that runs
// there.
TEST(SimulatedCluster, ATaskThatFailsEverywhereLeavesTheMachinesInUse) {
    for (unsigned seed = 1; seed <= 10; ++seed) {
        EXPECT_EQ(machines_out_of_use(seed, 10, 3), 0U) << seed;
        // Begins when others are done, so that its first machine looks faulty.
        EXPECT_LE(machines_out_of_use(seed, 60, 59), 1U) << seed;
    }
}

// Returns how many of ten tasks were restarted, where the first takes `first_s` and the others take 5 s. Guards against
// restarting a long task on other machines forever: neither its job nor the jobs that depend on it would ever end.
int count_restarts(double first_s) {
    SimulatedCluster cluster(5);
    cluster.task_duration = [first_s](std::uint32_t index) { return index == 0 ? first_s : 5.0; };
    cluster.settings.teams[0].cpus_max = 400;
    cluster.capacity = 30;
    cluster.acquire_leadership();
    cluster.submit(job(2, Shape::service, 30, 6)); // keeps enough machines that a few may be considered slow
    cluster.run(40);
    const int before = cluster.started;
    cluster.submit(job(1, Shape::array, 10, 2));
    cluster.run(60);
    EXPECT_EQ(cluster.final_states["wk-000001"], codec::status_done);
    EXPECT_EQ(first_violation(cluster), "");
    return cluster.started - before - 10;
}
TEST(SimulatedCluster, ATaskThatIsLongEverywhereEnds) {
    EXPECT_EQ(count_restarts(15), 1); // one restart on another machine is justified
}
// Guards against restarting the slowest of similar tasks when it is almost done, which delays its job.
TEST(SimulatedCluster, ATaskThatIsALittleLongerIsLeftToRun) {
    EXPECT_EQ(count_restarts(13), 0);
}

// Leader crashes, unreachable, hung, dead and faulty machines, lost and late messages, and store
// outages, during which transactions are refused.
class Fault : public ::testing::TestWithParam<unsigned> {};

TEST_P(Fault, BreaksNoRule) {
    SimulatedCluster cluster(GetParam());
    cluster.heartbeat_loss = 0.05;
    cluster.order_loss = 0.1;
    cluster.delayed_share = 0.05;
    cluster.acquire_leadership();
    int job_count = 0;
    double next_job = 0, next_fault = 10;
    while (cluster.now < 400 && cluster.violations.empty()) {
        if (cluster.now >= next_job && job_count < 60) {
            next_job = cluster.now + cluster.between(1, 8);
            const auto shape = cluster.chance() < 0.5   ? Shape::array
                               : cluster.chance() < 0.5 ? Shape::gang
                                                        : Shape::service;
            auto j = job(++job_count, shape, 1 + static_cast<std::uint32_t>(cluster.between(0, 7)),
                         1 + std::floor(cluster.between(0, 3)), cluster.chance() < 0.5 ? "red" : "blue");
            if (shape == Shape::service)
                j.tasks = 1 + j.tasks % 3;
            j.spread = shape == Shape::service && cluster.chance() < 0.5;
            j.one_zone = shape == Shape::gang && cluster.chance() < 0.5;
            cluster.submit(j);
        }
        if (job_count > 0 && cluster.chance() < 0.01)
            cluster.cancel(fmt::format("wk-{:06}", 1 + static_cast<int>(cluster.between(0, job_count))));
        if (cluster.now >= next_fault) {
            next_fault = cluster.now + cluster.between(3, 20);
            auto pick = [&]() -> SimulatedCluster::Worker* {
                if (cluster.workers.empty())
                    return nullptr;
                auto it = cluster.workers.begin();
                std::advance(it,
                             static_cast<long>(cluster.between(0, static_cast<double>(cluster.workers.size()) - 0.01)));
                return &it->second;
            };
            auto* worker = pick();
            const double fault_draw = cluster.chance();
            if (fault_draw < 0.3 || !cluster.core) {
                cluster.core.reset();
                cluster.send(cluster.between(0.5, 8), [&cluster] { cluster.acquire_leadership(); });
            } else if (fault_draw < 0.5 && worker != nullptr) {
                worker->cut = true;
                cluster.send(cluster.between(1, 25), [&cluster, id = worker->id] {
                    if (cluster.workers.contains(id))
                        cluster.workers[id].cut = false;
                });
            } else if (fault_draw < 0.65 && worker != nullptr) {
                worker->hung = true;
                cluster.send(cluster.between(1, 25), [&cluster, id = worker->id] {
                    if (cluster.workers.contains(id))
                        cluster.workers[id].hung = false;
                });
            } else if (fault_draw < 0.75 && worker != nullptr) {
                worker->dead = true;
            } else if (fault_draw < 0.85) {
                cluster.store_down = true;
                cluster.send(cluster.between(1, 12), [&cluster] { cluster.store_down = false; });
            } else if (worker != nullptr) {
                worker->sick = true;
            }
        }
        cluster.step();
    }
    EXPECT_EQ(first_violation(cluster), "") << "at " << cluster.now;
    EXPECT_GT(cluster.started, 20);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Fault,
                         ::testing::Values(214U, 318U, 444U, 100U, 101U, 102U, 103U, 104U, 105U, 106U, 107U, 108U));

} // namespace
} // namespace heronshift::testing
