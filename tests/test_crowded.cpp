// A cluster with less capacity than the jobs ask for: which jobs start first, and how long the others wait.
#include "simulated_cluster.hpp"

#include <gtest/gtest.h>

namespace heronshift::testing {
namespace {

struct OversubscribedCluster : SimulatedCluster {
    OversubscribedCluster(unsigned seed, int spot_machines, int ordinary_machines) : SimulatedCluster(seed) {
        settings.teams = {{"red", 400, 400, 0, 0}, {"blue", 400, 400, 0, 0}};
        settings.ops.begin_s = 60;
        capacity = spot_machines;
        on_demand_capacity = ordinary_machines;
        task_duration = [](std::uint32_t index) { return 4.0 + index % 5; };
    }
    int n = 0;
    std::string submit_job(Shape shape, std::uint32_t tasks, double cpus,
                           const std::function<void(JobSpec&)>& more = {}) {
        auto j = job(++n, shape, tasks, cpus);
        if (more)
            more(j);
        submit(j);
        return j.id;
    }
    // Submits a small job every `every_s` seconds, which keeps every CPU busy.
    void keep_busy(double seconds, double every_s, double cpus = 2, const std::function<void(JobSpec&)>& more = {}) {
        double next = now;
        for (const double end = now + seconds; now < end && violations.empty(); step()) {
            if (now < next)
                continue;
            next += every_s;
            submit_job(Shape::array, 4, cpus, more);
        }
    }
    // By job: seconds from its submission until its first task ran. Jobs without such a task are not in it.
    std::map<std::string, double> start_delays;
    int run_controllers() override {
        for (const auto& [id, w] : workers)
            for (const auto& t : w.tasks)
                if (t.state == TaskState::running)
                    start_delays.emplace(t.job, now - submitted[t.job]);
        return SimulatedCluster::run_controllers();
    }
    double start_delay_s(const std::string& id) const {
        const auto it = start_delays.find(id);
        return it == start_delays.end() ? -1 : it->second;
    }
    std::uint64_t preemptions() const { // tasks preempted for other jobs
        return metric_value("heronshift_preempted_total");
    }
    std::uint64_t metric_value(const std::string& name) const {
        for (const auto& v : core->metrics())
            if (v.name == name)
                return static_cast<std::uint64_t>(v.value);
        return 0;
    }
};

// Returns the seconds until the first task of a large array runs while its team keeps submitting small jobs.
double large_array_start_delay_s(double limit, int machines, double every_s) {
    OversubscribedCluster c(3, machines, 0);
    c.settings.teams[0].cpus_max = limit;
    c.acquire_leadership();
    const auto one_task = [](JobSpec& j) { j.tasks = 1; };
    c.keep_busy(20, every_s, 2, one_task);
    const auto large = c.submit_job(Shape::array, 3, 8);
    c.keep_busy(40, every_s, 2, one_task);
    c.acquire_leadership(); // a new leader counts the array's age from its submission, too
    c.keep_busy(30, every_s, 2, one_task);
    EXPECT_TRUE(c.violations.empty()) << c.violations.front();
    EXPECT_GT(c.started, 100);
    return c.start_delay_s(large);
}

// Guards against starvation of the largest array, which is as big as its team's whole limit and once started only after
// 396 s: the team kept submitting smaller jobs, so the free part of the limit was never large enough for one of its
// tasks.
TEST(Oversubscribed, TheLargestArrayStartsThoughItsTeamsLimitIsUsedUp) {
    const double s = large_array_start_delay_s(24, 8, 0.45);
    EXPECT_GE(s, 0);
    EXPECT_LT(s, 60);
}

// The same where each task of the array needs a whole machine and small tasks always occupy a part of each.
TEST(Oversubscribed, TheLargestArrayStartsThoughNoMachineIsEverEmpty) {
    const double s = large_array_start_delay_s(400, 3, 0.5);
    EXPECT_GE(s, 0);
    EXPECT_LT(s, 60);
}

// There is free spot capacity, but the few ordinary machines are full of tasks that could run on spot machines.
TEST(Oversubscribed, WorkThatMayNotUseSpotGetsTheOrdinaryMachines) {
    OversubscribedCluster c(5, 10, 2);
    c.acquire_leadership();
    const auto high = [](JobSpec& j) { j.priority = Priority::high; };
    c.keep_busy(40, 0.25, 2, high);
    std::vector<std::string> ids;
    for (int k = 0; k < 8; ++k) {
        ids.push_back(c.submit_job(Shape::array, 4, 2, [](JobSpec& j) { j.spot = false; }));
        c.keep_busy(8, 0.25, 2, high);
    }
    EXPECT_TRUE(c.violations.empty()) << c.violations.front();
    for (const auto& id : ids) {
        EXPECT_GE(c.start_delay_s(id), 0) << id;
        EXPECT_LT(c.start_delay_s(id), 15) << id;
    }
}

// High-priority tasks of 4 CPUs arrive among tasks of 2 CPUs. Tasks end every second, so the scheduler should mostly
// wait for free capacity instead of preempting.
TEST(Oversubscribed, WaitsForFreeCapacityInsteadOfPreemptingWhereTasksEndOften) {
    OversubscribedCluster c(7, 12, 0);
    c.settings.objectives = {{"wait", "urgent", 12, 0.9, 0}};
    c.acquire_leadership();
    const auto small = [&] { c.keep_busy(6, 0.3); };
    for (int k = 0; k < 8; ++k)
        small();
    const auto before = c.preemptions();
    std::vector<std::string> ids;
    for (int k = 0; k < 10; ++k) {
        ids.push_back(c.submit_job(Shape::array, 4, 4, [](JobSpec& j) {
            j.priority = Priority::high;
            j.job_class = "urgent";
        }));
        small();
    }
    EXPECT_TRUE(c.violations.empty()) << c.violations.front();
    for (const auto& id : ids) {
        EXPECT_GE(c.start_delay_s(id), 0) << id;
        EXPECT_LT(c.start_delay_s(id), 12) << id;
    }
    EXPECT_LE(c.preemptions() - before, 4U);
}

} // namespace
} // namespace heronshift::testing
