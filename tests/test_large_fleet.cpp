// Safety rules in a fleet of 6,000 machines: a leader must remember departed machines for longer than any message about
// them can be in flight, however many machines depart at once.
#include "cluster/cluster_state.hpp"
#include "core/core.hpp"
#include "machines.hpp"
#include "no_persistence.hpp"

#include <gtest/gtest.h>

namespace heronshift::testing {
namespace {

using cluster::ClusterState;
using cluster::MachineStatus;

constexpr int fleet_size = 6300;           // 4,000 machines, half as many more, and a margin
constexpr int lost_count = fleet_size / 3; // machines that are lost within one lease

// The cluster state of a leader. Every machine of its fleet runs one task of the same job. The tests remove the first
// third of the machines.
struct LargeFleet {
    Settings settings = small_settings();
    std::vector<Effect> out;
    NoPersistence persistence;
    ClusterState cluster;
    double now = 0;

    explicit LargeFleet(std::uint64_t term = 1, const Settings& s = small_settings())
        : settings(s), cluster(settings, term, 0, 0, out) {
        cluster.set_persistence(persistence);
        cluster.types_known(small_types());
        JobStored stored{job(1, Shape::array, fleet_size, 1), 0, -1, false};
        cluster.add_job(stored);
    }
    static std::string name(int machine) {
        return fmt::format("n-{:06}", machine);
    }
    static Heartbeat make_heartbeat(int machine, std::uint64_t counter) {
        const auto id = name(machine);
        const ReportedTask task{
            "wk-000001", static_cast<std::uint32_t>(machine), 7, TaskState::running, ExitCause::none, false};
        return {id, id, "m8", "a", false, 1, counter, 0, -1, {task}};
    }
    // Returns the status of the answer, 0 without an answer.
    int send_heartbeat(int machine, std::uint64_t counter) {
        out.clear();
        cluster.receive_heartbeat(HeartbeatReceived{make_heartbeat(machine, counter), counter});
        for (const auto& effect : out)
            if (const auto* answer = std::get_if<AnswerHeartbeat>(&effect))
                return answer->status;
        return 0;
    }
    void send_heartbeats(int from, std::uint64_t counter) {
        for (int i = from; i < fleet_size; ++i)
            EXPECT_EQ(send_heartbeat(i, counter), 200) << i;
    }
    void advance_time(double seconds) {
        now += seconds;
        cluster.set_time(now, now);
        cluster.expire_leases();
    }
    void begin_release(const std::string& id) {
        cluster.begin_release(*cluster.view().machines.at(id));
        cluster.released(Released{{id}, true});
    }
    void send_machine_list(int from, int to) {
        MachinesListed all;
        for (int i = from; i < to; ++i)
            all.machines.push_back({name(i), name(i), "m8", "a", "running", false, 1});
        cluster.listed(all);
    }
    const cluster::Job& job_state() {
        return *cluster.view().find_job("wk-000001");
    }
    std::size_t known_count() {
        return cluster.view().machines.size();
    }
    std::size_t up() {
        const auto& all = cluster.view().machines;
        return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(), [](const auto& m) { return m.second->status == MachineStatus::up; }));
    }
};

// A third of the fleet is released within one lease. Heartbeats of those machines and the list of the cloud arrive
// late.
TEST(LargeFleet, AThirdReleasedWithinALeaseStaysGoneDespiteLateHeartbeatsAndLists) {
    LargeFleet fleet;
    fleet.send_heartbeats(0, 10);
    ASSERT_EQ(fleet.up(), fleet_size);
    for (int i = 0; i < lost_count; ++i)
        fleet.begin_release(LargeFleet::name(i));
    ASSERT_EQ(fleet.known_count(), fleet_size - lost_count);
    ASSERT_EQ(fleet.job_state().live, fleet_size - lost_count);

    fleet.advance_time(fleet.settings.lease_s);
    int refused = 0;
    for (int i = 0; i < lost_count; ++i)
        refused += fleet.send_heartbeat(i, 11) == 503; // newer than the last one received, sent before the release
    fleet.send_machine_list(0, fleet_size);
    EXPECT_EQ(refused, lost_count);
    EXPECT_EQ(fleet.cluster.counters().heartbeats_of_gone_machines, lost_count);
    EXPECT_EQ(fleet.known_count(), fleet_size - lost_count);
    EXPECT_EQ(fleet.job_state().live, fleet_size - lost_count);
}

// A third of the fleet stops sending heartbeats within one lease, and is forgotten once the list of the cloud no longer
// names it. After that, duplicates of its earlier heartbeats arrive.
TEST(LargeFleet, AThirdLostAndForgottenIsNotBroughtBackByCopiesOfItsOldHeartbeats) {
    LargeFleet fleet;
    const auto& s = fleet.settings;
    fleet.send_heartbeats(0, 10);
    for (double silent = 0; silent <= 5 * s.list_lag_s + 3 * s.lease_s; silent += s.report_s) {
        fleet.advance_time(s.report_s);
        fleet.send_heartbeats(lost_count, 11 + static_cast<std::uint64_t>(silent));
    }
    ASSERT_EQ(fleet.known_count(), fleet_size - lost_count); // the leases expired and the machines were forgotten
    ASSERT_EQ(fleet.cluster.counters().lost, lost_count);
    ASSERT_EQ(fleet.job_state().live, fleet_size - lost_count);

    int refused = 0;
    for (int i = 0; i < lost_count; ++i)
        refused += fleet.send_heartbeat(i, 10 - static_cast<std::uint64_t>(i % 3)) == 503;
    fleet.send_machine_list(0, fleet_size);
    EXPECT_EQ(refused, lost_count);
    EXPECT_EQ(fleet.cluster.counters().stale_heartbeats, lost_count);
    EXPECT_EQ(fleet.up(), fleet_size - lost_count);
    EXPECT_EQ(fleet.job_state().live, fleet_size - lost_count);
    // A machine that is back is accepted again with its next new heartbeat.
    EXPECT_EQ(fleet.send_heartbeat(5, 11), 200);
}

// The next leader does not know which machines were lost. A task that an old heartbeat names counts as live until the
// lease of its machine has surely expired.
TEST(LargeFleet, AfterAFailoverAThirdKnownByOldHeartbeatsOnlyIsOccupiedUntilItsLeaseHasSurelyExpired) {
    LargeFleet successor(2);
    successor.send_heartbeats(lost_count, 12);
    successor.send_machine_list(0, fleet_size);
    ASSERT_EQ(successor.up(), fleet_size - lost_count);
    ASSERT_EQ(successor.job_state().live, fleet_size - lost_count);
    for (int i = 0; i < lost_count; ++i)
        EXPECT_EQ(successor.send_heartbeat(i, 10), 200);
    EXPECT_EQ(successor.job_state().live, fleet_size);
    // Duplicates of that heartbeat and older ones don't extend the lease.
    successor.advance_time(successor.settings.lease_s * 0.9);
    successor.send_heartbeats(lost_count, 13);
    for (int i = 0; i < lost_count; ++i)
        EXPECT_EQ(successor.send_heartbeat(i, 9 + static_cast<std::uint64_t>(i % 2)), 503);
    EXPECT_EQ(successor.job_state().live, fleet_size);
    successor.advance_time(successor.cluster.lease_expiry_s() - successor.settings.lease_s * 0.9 + 0.01);
    EXPECT_EQ(successor.job_state().live, fleet_size - lost_count);
    EXPECT_EQ(successor.up(), fleet_size - lost_count);
}

// The table of departed machines is full of records that are still needed to refuse late messages. One more machine
// stays rented and one more lost machine stays known until the oldest records are older than any message can be.
TEST(LargeFleet, WithoutRoomForDepartedMachinesNoneIsReleasedOrForgottenUntilTheOldestRecordsHaveExpired) {
    auto small = small_settings();
    small.memory_mb = 16;
    LargeFleet fleet(1, small);
    const auto table_capacity = static_cast<int>(cluster::DepartedMachines(small).capacity());
    ASSERT_GE(table_capacity, 6000);
    const auto lost = LargeFleet::name(table_capacity), last = LargeFleet::name(table_capacity + 1);
    for (int i = 0; i < table_capacity + 2; ++i)
        ASSERT_EQ(fleet.send_heartbeat(i, 10), 200);
    const auto release = [&](const std::vector<std::string>& machines) {
        fleet.out.clear();
        for (const auto& id : machines)
            fleet.cluster.begin_release(*fleet.cluster.view().machines.at(id));
        fleet.cluster.release(machines);
        std::vector<std::string> released_ids;
        for (const auto& effect : fleet.out)
            if (const auto* r = std::get_if<Release>(&effect))
                released_ids = r->machines;
        return released_ids;
    };
    std::vector<std::string> first;
    for (int i = 0; i < table_capacity; ++i)
        first.push_back(LargeFleet::name(i));
    ASSERT_EQ(release(first).size(), first.size());
    EXPECT_TRUE(release({last}).empty()); // the releases in progress have reserved the whole table
    fleet.cluster.released(Released{first, true});
    ASSERT_EQ(fleet.known_count(), 2U);

    // The situation under test: the table is full and its oldest record has not expired.
    fleet.advance_time(5 * small.list_lag_s + 3 * small.lease_s);
    ASSERT_EQ(fleet.cluster.view().machines.at(lost)->status, MachineStatus::lost);
    EXPECT_TRUE(release({last}).empty());
    EXPECT_TRUE(fleet.cluster.view().machines.contains(last));
    EXPECT_FALSE(fleet.cluster.view().machines.at(last)->release_requested); // so that the release is requested again
    EXPECT_TRUE(fleet.cluster.view().machines.at(last)->releasing);
    EXPECT_EQ(fleet.send_heartbeat(table_capacity, 10), 503); // a duplicate that is still recognised
    EXPECT_EQ(fleet.send_heartbeat(0, 11), 503);
    EXPECT_EQ(fleet.send_heartbeat(table_capacity - 1, 11), 503);
    EXPECT_EQ(fleet.up(), 0U);

    fleet.advance_time(cluster::max_message_age_s(small));
    EXPECT_EQ(fleet.known_count(), 0U); // both leases had expired before
    EXPECT_EQ(fleet.send_heartbeat(table_capacity, 10), 503);
    EXPECT_EQ(fleet.send_heartbeat(table_capacity - 1, 11), 503);
    // A machine whose record has expired counts as new, and the task that its heartbeat names counts as live.
    ASSERT_EQ(fleet.job_state().live, 0U);
    EXPECT_EQ(fleet.send_heartbeat(0, 11), 200);
    EXPECT_EQ(fleet.job_state().live, 1U);
}

// Entries that are added and erased repeatedly must not evict others while the cache is below its capacity.
TEST(LargeFleet, EntriesAddedAndErasedRepeatedlyEvictNoOthers) {
    BoundedCache<int> names(4);
    names.add("stays", 1);
    for (int i = 0; i < 100; ++i) {
        names.add("goes", i);
        names.erase("goes");
    }
    EXPECT_TRUE(names.contains("stays"));
    for (const auto* name : {"b", "c", "d", "e"})
        names.add(name, 0);
    EXPECT_FALSE(names.contains("stays")); // the oldest of five entries in a cache for four
    EXPECT_EQ(names.size(), 4U);
}

// The store accepts values of at most 1 KiB, so the placements of the whole fleet need hundreds of records.
TEST(LargeFleet, WithTheShortestRecordsEveryPlacementIsLaunchedAndFoundByTheNextLeader) {
    constexpr int machines = 6000;
    auto s = small_settings();
    s.value_kb = 1;
    s.teams[0].cpus_max = 0;
    auto whole_machine_job = job(1, Shape::array, machines, 8); // each task needs a whole machine
    whole_machine_job.estimate_s = 1000;
    const codec::Item stored_job{"j/wk-000001", codec::Json{{"spec", codec::to_json(whole_machine_job)}, {"at", 0.0}},
                                 1, false};
    Snapshot empty;
    empty.jobs.push_back(stored_job);
    Core leader(s, 1, empty, 0, 0);
    std::vector<Command> commands{MachineTypesKnown{small_types()}};
    std::map<std::string, Heartbeat> reports;
    for (int i = 0; i < machines; ++i) {
        const auto id = LargeFleet::name(i);
        reports[id] = {id, id, "m8", i % 2 == 0 ? "a" : "b", false, 1, 0, std::uint64_t{1} << token_counter_bits,
                       -1, {}};
    }
    std::map<std::string, codec::Json> records; // the stored placement records
    std::size_t launched = 0, longest = 0;
    double now = 0, next_heartbeat = 0;
    for (; now < 60 && launched < machines; now += 0.05) {
        if (now >= next_heartbeat) {
            next_heartbeat += s.report_s;
            for (auto& [id, heartbeat] : reports) {
                ++heartbeat.counter;
                commands.emplace_back(HeartbeatReceived{heartbeat, 1});
            }
        }
        bool stored = false;
        for (const auto& effect : leader.step(commands, now, now)) {
            if (const auto* commit = std::get_if<Commit>(&effect)) {
                stored = true;
                for (const auto& w : commit->writes)
                    if (w.key.starts_with("i/") && w.value) {
                        records[w.key] = *w.value;
                        longest = std::max(longest, w.value->dump().size());
                    }
            }
            if (const auto* to = std::get_if<SendOrders>(&effect))
                for (const auto& order : to->orders) {
                    ASSERT_EQ(order.verb, Verb::launch);
                    ++launched;
                    reports[to->machine].tasks.push_back(
                        {order.job, order.index, order.attempt, TaskState::running, ExitCause::none, false});
                }
        }
        commands.clear();
        if (stored)
            commands.emplace_back(Committed{});
    }
    EXPECT_EQ(launched, machines) << "after " << now << " s";
    EXPECT_LE(longest, 1024U);
    ASSERT_GT(records.size(), 200U); // the situation under test: many more records than at the start

    Snapshot successor_snapshot = empty;
    for (const auto& [key, value] : records)
        successor_snapshot.intents.push_back({key, value, 1, false});
    const Core successor(s, 2, successor_snapshot, now, now);
    EXPECT_EQ(successor.live_tasks("wk-000001"), machines);
}

} // namespace
} // namespace heronshift::testing
