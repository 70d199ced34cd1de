// `ClusterState::place`, through which every placement goes, refuses each proposal that breaks a rule, whichever policy
// makes it.
#include "cluster/cluster_state.hpp"
#include "no_persistence.hpp"
#include "simulated_cluster.hpp"

#include <gtest/gtest.h>

namespace heronshift::testing {
namespace {

using cluster::ClusterState;

// Machines in both zones, ordinary and spot, and direct calls of `place` in the role of a policy.
struct ClusterFixture {
    Settings settings = small_settings();
    std::vector<Effect> out;
    NoPersistence persistence;
    ClusterState cluster{settings, 1, 0, 0, out};
    std::uint64_t counter = 0;

    ClusterFixture() {
        cluster.set_persistence(persistence);
        cluster.types_known(small_types());
        for (const auto* id : {"a1", "a2", "b1", "s1"})
            add_machine(id);
    }
    void add_machine(const std::string& id, std::vector<ReportedTask> tasks = {}) {
        Heartbeat r{id, id, "m8", id[0] == 'b' ? "b" : "a", id[0] == 's', 1, ++counter, 0, -1, std::move(tasks)};
        cluster.receive_heartbeat(HeartbeatReceived{r, counter});
    }
    const cluster::Job& add(const JobSpec& s, bool waiting = false) {
        JobStored c{s, 0, -1, waiting};
        cluster.add_job(c);
        return *cluster.view().find_job(s.id);
    }
    const cluster::Machine& machine(const std::string& id) {
        return *cluster.view().machines.at(id);
    }
    std::string refusal(const cluster::Job& j, const std::string& on) {
        const auto* why = cluster.view().refusal(j, machine(on));
        // `refusal` must predict what `place` does.
        EXPECT_EQ(cluster.place(j, machine(on)), why == nullptr);
        return why == nullptr ? "" : why;
    }
};

TEST(ClusterState, RefusesAPlaceThatTheJobDoesNotAllow) {
    ClusterFixture d;
    auto s = job(1, Shape::service, 4, 1);
    EXPECT_EQ(d.refusal(d.add(s), "s1"), "a type, zone or kind that the job does not allow"); // a spot machine
    s = job(2, Shape::array, 4, 1);
    s.zone = "b";
    const auto& zone_b_job = d.add(s);
    EXPECT_NE(d.refusal(zone_b_job, "a1"), "");
    EXPECT_EQ(d.refusal(zone_b_job, "b1"), "");
    s = job(3, Shape::array, 4, 1);
    s.types = {"m64"};
    EXPECT_NE(d.refusal(d.add(s), "a1"), "");
}

TEST(ClusterState, RefusesToSplitOrCrowdAJob) {
    ClusterFixture d;
    auto s = job(1, Shape::gang, 3, 1);
    s.one_zone = true;
    const auto& one_zone_job = d.add(s);
    EXPECT_EQ(d.refusal(one_zone_job, "a1"), "");
    EXPECT_NE(d.refusal(one_zone_job, "b1"), "");
    EXPECT_EQ(d.refusal(one_zone_job, "a2"), "");
    s = job(2, Shape::service, 3, 1);
    s.spread = true;
    const auto& spread_job = d.add(s); // at most two of its three tasks may be in one zone
    EXPECT_EQ(d.refusal(spread_job, "a1"), "");
    EXPECT_EQ(d.refusal(spread_job, "a2"), "");
    EXPECT_NE(d.refusal(spread_job, "a1"), "");
    EXPECT_EQ(d.refusal(spread_job, "b1"), "");
}

TEST(ClusterState, RefusesWhatExceedsRoomOrLimit) {
    ClusterFixture d;
    const auto& big = d.add(job(1, Shape::array, 9, 5)); // machines of 8 CPUs
    EXPECT_EQ(d.refusal(big, "a1"), "");
    EXPECT_EQ(d.refusal(big, "a1"), "no room");
    // The team's limit is 40 CPUs. Every task that may be on a machine counts towards it, reported or not.
    d.settings.teams[0].cpus_max = 40;
    for (int i = 0; i < 8; ++i)
        d.add_machine(fmt::format("a{}", 10 + i));
    for (int i = 0; i < 7; ++i)
        EXPECT_EQ(d.refusal(big, fmt::format("a{}", 10 + i)), "") << i;
    EXPECT_EQ(d.refusal(big, "a17"), "the team's limit");
    EXPECT_EQ(d.cluster.view().teams[0].used.cpus, 40);
}

// An ended task takes room until a heartbeat no longer lists it, even though its CPUs and memory are free.
TEST(ClusterState, RoomInTheHeartbeatIsFreedByTheReapNotByTheExit) {
    ClusterFixture d;
    auto spec = job(1, Shape::array, 3000, 0.006);
    spec.each.memory_gb = 0.02;
    const auto& small = d.add(spec);
    const auto& machine = d.machine("a1");
    const auto fill = [&] { // returns how many tasks were placed
        int placed = 0;
        while (d.refusal(small, "a1").empty())
            ++placed;
        EXPECT_STREQ(d.cluster.view().refusal(small, machine), "no room");
        return placed;
    };
    const int room = fill();
    EXPECT_GT(machine.total.cpus - machine.used.cpus, 1);
    std::vector<ReportedTask> ended;
    for (const auto& entry : machine.entries)
        ended.push_back({spec.id, entry->index, entry->attempt, TaskState::ended, ExitCause::done, false});
    d.add_machine("a1", ended);
    EXPECT_TRUE(machine.entries.empty());
    EXPECT_LT(fill(), room / 50); // short indices take less room than was assumed for the longest
    d.add_machine("a1");
    EXPECT_GT(fill(), room * 9 / 10);
}

TEST(ClusterState, RefusesWaitingAndFinishedJobsAndMachinesInRelease) {
    ClusterFixture d;
    auto s = job(2, Shape::array, 2, 1);
    s.dependencies = {"wk-000001"};
    const auto& waiting = d.add(s, true);
    EXPECT_EQ(d.refusal(waiting, "a1"), "the jobs that it needs are not done");
    const auto& finished = d.add(job(3, Shape::array, 2, 1));
    EXPECT_EQ(d.refusal(finished, "a1"), "");
    d.cluster.cancel({"wk-000003", 1});
    EXPECT_EQ(d.refusal(finished, "a1"), "the job is over");
    const auto& other = d.add(job(4, Shape::array, 2, 1));
    d.cluster.begin_release(d.machine("a1"));
    EXPECT_EQ(d.refusal(other, "a1"), "the machine takes no work");
}

// A refused proposal changes nothing and is logged as a warning.
TEST(ClusterState, ARefusedProposalLeavesTheStateAsItWas) {
    ClusterFixture d;
    const auto& j = d.add(job(1, Shape::service, 2, 1));
    d.out.clear();
    EXPECT_FALSE(d.cluster.place(j, d.machine("s1")));
    EXPECT_EQ(j.pending.size(), 2U);
    EXPECT_EQ(j.live, 0U);
    ASSERT_EQ(d.out.size(), 1U);
    EXPECT_EQ(std::get<LogLine>(d.out[0]).level, LogLine::Level::warning);
}

} // namespace
} // namespace heronshift::testing
