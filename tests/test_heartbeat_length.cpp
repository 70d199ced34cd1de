// A heartbeat lists all tasks on a machine and is a request, whose length is limited. A machine with more tasks than
// fit into one cannot report: its lease ends, all its tasks are lost, and they would be placed there again.
#include "simulated_cluster.hpp"

#include <gtest/gtest.h>

namespace heronshift::testing {
namespace {

// Machines whose CPUs and memory have room for more than 1,300 of the tasks that are submitted here.
struct SmallTasks : SimulatedCluster {
    static constexpr double cpus = 0.006, memory_gb = 0.02;
    int lease_expirations = 0; // of machines with tasks

    SmallTasks(unsigned seed, int machine_count) : SimulatedCluster(seed) {
        settings.teams = {{"red", 400, 400, 0, 0}};
        settings.state_write_rps = 400;
        enforce_store_limits = true;
        capacity = machine_count;
    }
    std::string submit_job(int n, Shape shape, std::uint32_t tasks, const std::function<void(JobSpec&)>& more = {}) {
        auto spec = job(n, shape, tasks, cpus);
        spec.each.memory_gb = memory_gb;
        spec.spot = true;
        if (more)
            more(spec);
        submit(spec);
        return spec.id;
    }
    void expired(Worker& w) override {
        lease_expirations += !w.tasks.empty();
    }
    bool all_done() const {
        return std::all_of(jobs.begin(), jobs.end(), [this](const auto& job) {
            const auto status = final_states.find(job.first);
            return status != final_states.end() && status->second == codec::status_done;
        });
    }
    // Returns the time that it took until all jobs were done; `limit_s` if they were not. Then runs for the time after
    // which the lease of a machine that cannot report has ended.
    double run_until_done(double limit_s) {
        const double start = now;
        while (!all_done() && now < start + limit_s && violations.empty())
            step();
        const double took_s = now - start;
        run(1.5 * settings.lease_s);
        EXPECT_TRUE(violations.empty()) << violations.front();
        return took_s;
    }
    std::size_t live_on(const std::string& machine) const {
        return core->state().machines.at(machine)->entries.size();
    }
};

// Three jobs of 400 small tasks each are submitted at once; CPUs and memory of the only machine have room for all.
TEST(HeartbeatLength, SmallTasksAreNotPlacedBeyondWhatTheMachineCanReport) {
    SmallTasks c(1, 1);
    c.task_duration = [&c](std::uint32_t) { return 1.2 * c.settings.lease_s; };
    c.acquire_leadership();
    for (int n = 1; n <= 3; ++n)
        c.submit_job(n, Shape::array, 400);
    EXPECT_LT(c.run_until_done(150), 150);
    EXPECT_EQ(c.lease_expirations, 0);
    EXPECT_GT(c.longest_heartbeat, max_request_body_bytes / 2); // the room is used
}

// Tasks that end quickly while reaps are late: what has ended is still reported.
TEST(HeartbeatLength, EndedTasksCountUntilTheyAreReaped) {
    SmallTasks c(2, 1);
    c.task_duration = [](std::uint32_t index) { return 0.2 + index % 3; };
    c.acquire_leadership();
    for (int n = 1; n <= 8; ++n)
        c.submit_job(n, Shape::array, 600);
    EXPECT_LT(c.run_until_done(300), 300);
    EXPECT_EQ(c.lease_expirations, 0);
}

// Each new leader reads which tasks are on the machine, and learns from heartbeats which have ended there.
TEST(HeartbeatLength, ANewLeaderPlacesNoMoreThanTheMachineCanReport) {
    SmallTasks c(3, 1);
    c.acquire_leadership();
    for (int n = 1; n <= 6; ++n)
        c.submit_job(n, Shape::array, 400);
    for (int failover = 0; failover < 8; ++failover) {
        c.run(c.between(2, 9));
        c.acquire_leadership();
    }
    EXPECT_LT(c.run_until_done(300), 300);
    EXPECT_EQ(c.lease_expirations, 0);
}

// The only spot machine cannot list all tasks at once, and its CPUs would hardly be used. Without the more expensive
// machines the job would be late.
TEST(HeartbeatLength, ExpensiveMachinesAreRentedForTasksThatWouldBeLateOtherwise) {
    SmallTasks c(6, 1);
    c.on_demand_capacity = 3;
    c.task_duration = [](std::uint32_t) { return 20; };
    c.acquire_leadership();
    constexpr double deadline_s = 60;
    c.submit_job(1, Shape::array, 2000, [](JobSpec& spec) {
        spec.each.cpus = 0.001;
        spec.each.memory_gb = 0.001;
        spec.estimate_s = 20;
        spec.deadline_s = deadline_s;
    });
    EXPECT_LT(c.run_until_done(200), deadline_s);
    EXPECT_EQ(c.lease_expirations, 0);
}

// The tasks of a gang end together, and are then listed at their longest. All fit on one machine by CPUs and memory.
TEST(HeartbeatLength, AGangIsSpreadOverAsManyMachinesAsItsHeartbeatsNeed) {
    SmallTasks c(4, 3);
    c.acquire_leadership();
    c.submit_job(1, Shape::gang, 1000);
    EXPECT_LT(c.run_until_done(120), 120);
    EXPECT_EQ(c.lease_expirations, 0);
}

// The leader before this one, of an earlier version, placed more on a machine than it can report.
TEST(HeartbeatLength, AMachineThatIsTooFullAtAFailoverIsFilledNoFurther) {
    SmallTasks c(5, 1);
    c.task_duration = [&c](std::uint32_t) { return 1.2 * c.settings.lease_s; };
    const auto id = c.submit_job(1, Shape::array, 1200);
    c.submit_job(2, Shape::array, 100);
    --c.capacity;
    SmallTasks::Worker worker;
    worker.id = worker.addr = "n-0000";
    worker.zone = "a";
    worker.fencing_token = std::uint64_t{1} << token_counter_bits;
    for (std::uint32_t index = 0; index < 1200; ++index)
        worker.tasks.push_back({id, index, (1ULL << 32) + 5, TaskState::running, ExitCause::none, 12, -1});
    c.workers[worker.id] = worker;
    c.store["i/0"] = {{"t", "n-0000 a 1 " + id + "/0-1199:4294967301"}};
    c.term = 1;
    c.acquire_leadership();
    c.run(2);
    EXPECT_EQ(c.live_on("n-0000"), 1200U);
    EXPECT_LT(c.run_until_done(150), 150);
    EXPECT_EQ(c.lease_expirations, 1); // that of the machine that was too full
}

} // namespace
} // namespace heronshift::testing
