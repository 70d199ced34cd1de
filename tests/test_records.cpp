// What a leader stores and the next one restores: the ring of placement intents, the progress, cached images, learned
// rates, and the earlier layout of records.
#include "simulated_cluster.hpp"

#include "persistence/intents.hpp"

#include <gtest/gtest.h>

namespace heronshift::testing {
namespace {

TEST(ClusterRecords, PlacementsComeBackAsTheyWereWritten) {
    const std::vector<intents::Intent> in{{"n-1", "a", 1, "wk-000001", 3, 70}, {"n-1", "a", 1, "wk-000001", 4, 70},
                                          {"n-1", "a", 1, "wk-000001", 5, 71}, {"n-1", "a", 2, "wk-000002", 0, 71},
                                          {"n-2", "", 1, "wk-000002", 1, 71},  {"n-2", "", 1, "wk-000002", 3, 71}};
    intents::Writer w;
    for (const auto& i : in)
        w.add(i.machine, i.zone, i.agent_epoch, i.job, i.index, i.attempt);
    const auto text = w.take();
    EXPECT_EQ(text, "n-1 a 1 wk-000001/3-4:70 wk-000001/5:71\nn-1 a 2 wk-000002/0:71\n"
                    "n-2 - 1 wk-000002/1:71 wk-000002/3:71");
    const auto r = intents::read(text);
    EXPECT_EQ(r.intents, in);
    EXPECT_TRUE(r.unproven.empty());
}

// Every prefix of a record, and every single wrong byte, is read without a crash. A machine whose part of the record
// cannot be read is reported as `unproven`.
TEST(ClusterRecords, DamagedTextIsReadAsFarAsItCanBeProven) {
    const std::string text = "n-1 a 1 wk-000001/3-4:70\nn-2 b 1 wk-000002/0:71";
    for (std::size_t n = 0; n < text.size(); ++n) {
        (void)intents::read(text.substr(0, n));
        for (const char c : {' ', '\n', ':', '-', '/', '9', 'x', '\0'}) {
            auto wrong = text;
            wrong[n] = c;
            (void)intents::read(wrong);
        }
    }
    const auto r = intents::read("n-1 a 1 wk-000001/3:70\nn-2 b 1 wk-0000\n n 1");
    EXPECT_EQ(r.intents.size(), 1U);
    EXPECT_EQ(r.unproven, std::vector<std::string>{"n-2"});
    EXPECT_TRUE(r.damaged);
    EXPECT_EQ(intents::read("n-1 a 1 wk-1/5-999999999:1").unproven.size(), 1U);
    std::uint32_t seen = 0;
    intents::for_each_in_ranges("0-2,5,9-", [&](std::uint32_t) { ++seen; });
    EXPECT_EQ(seen, 4U);
}

Snapshot snapshot_with_job(const JobSpec& spec) {
    Snapshot s;
    s.jobs.push_back({"j/" + spec.id, {{"spec", codec::to_json(spec)}, {"at", 0.0}}, 1, false});
    return s;
}

std::vector<Effect> step(Core& core, double now, std::vector<Command> commands) {
    return core.step(commands, now, now);
}

Heartbeat heartbeat(const std::string& id, std::uint64_t counter, std::uint64_t fencing_token) {
    return {id, "10.1.0.1:9000", "m8", "a", false, 1, counter, fencing_token, -1, {}};
}

// Drives a core whose transactions are always committed, and counts the launches that it sends.
struct LaunchCountingDriver {
    Core& core;
    double now = 0.1;
    bool stored = false;

    int launches_in_step(std::vector<Command> commands) {
        if (stored)
            commands.insert(commands.begin(), Committed{});
        stored = false;
        int n = 0;
        for (const auto& e : step(core, now, std::move(commands))) {
            stored = stored || std::holds_alternative<Commit>(e);
            if (const auto* o = std::get_if<SendOrders>(&e))
                for (const auto& x : o->orders)
                    n += x.verb == Verb::launch;
        }
        now += 0.05;
        return n;
    }
    int launches_within(double seconds) {
        int n = 0;
        for (const double end = now + seconds; now < end;)
            n += launches_in_step({});
        return n;
    }
};

// Any task may run on the machine that a damaged record names: nothing is placed anywhere until that machine has sent a
// heartbeat with the current token or its lease has certainly expired.
TEST(ClusterRecords, ADamagedRecordKeepsItsMachineOccupiedUntilItIsProven) {
    const auto settings = small_settings();
    auto stored = snapshot_with_job(job(1, Shape::array, 2, 1));
    stored.intents.push_back({"i/0", {{"t", "n-9 a 1 wk-00"}}, 1, false});
    Core core(settings, 7, stored, 0, 0);
    LaunchCountingDriver driver{core};
    driver.launches_in_step({MachineTypesKnown{small_types()},
                             HeartbeatReceived{heartbeat("n-1", 1, std::uint64_t{7} << token_counter_bits), 1}});
    EXPECT_EQ(driver.launches_within(2), 0);
    driver.launches_in_step(
        {HeartbeatReceived{heartbeat("n-9", 1, 0), 2}}); // its token is not of the current term: proves nothing
    EXPECT_EQ(driver.launches_within(0.5), 0);
    driver.launches_in_step({HeartbeatReceived{heartbeat("n-9", 2, std::uint64_t{7} << token_counter_bits), 3},
                             HeartbeatReceived{heartbeat("n-1", 2, std::uint64_t{7} << token_counter_bits), 4}});
    EXPECT_EQ(driver.launches_within(2), 2);
}

// A record that cannot be read keeps machines occupied, so the log has to say so. Guards against losing the log lines
// that the core emits while it restores its records: its first step used to clear the list of effects.
TEST(ClusterRecords, ADamagedRecordIsNamedInTheLog) {
    Snapshot stored;
    stored.intents.push_back({"i/0", {{"t", "n-9 a 1 wk-00"}}, 1, false});
    const auto settings = small_settings();
    Core core(settings, 7, stored, 0, 0);
    std::vector<std::string> lines;
    for (const auto& effect : step(core, 0.1, {}))
        if (const auto* line = std::get_if<LogLine>(&effect); line != nullptr)
            lines.push_back(line->text);
    EXPECT_EQ(lines, std::vector<std::string>{"a damaged record of machine n-9"});
    for (const auto& effect : step(core, 0.2, {}))
        EXPECT_FALSE(std::holds_alternative<LogLine>(effect));
}

// Otherwise each new leader would have images of 15 GB fetched again although machines have them cached.
TEST(ClusterRecords, ANewLeaderKnowsCachedImages) {
    const auto settings = small_settings();
    auto stored = snapshot_with_job(job(1, Shape::array, 1, 1));
    stored.images.push_back(
        {"c/0", codec::parse(R"({"names":[["other",1],["img",0.5]],"held":{"n-2":[1],"n-1":[0,7]}})"), 1, false});
    Core core(settings, 7, stored, 0, 0);
    std::vector<Command> commands{MachineTypesKnown{small_types()}};
    for (const auto* id : {"n-1", "n-2", "n-3"})
        commands.emplace_back(HeartbeatReceived{heartbeat(id, 1, std::uint64_t{7} << token_counter_bits), 1});
    std::string ordered_machines;
    bool commit_pending = false;
    for (double t = 0.1; t < 2; t += 0.05) {
        if (commit_pending)
            commands.emplace_back(Committed{});
        commit_pending = false;
        for (const auto& e : step(core, t, std::move(commands))) {
            commit_pending = commit_pending || std::holds_alternative<Commit>(e);
            if (const auto* o = std::get_if<SendOrders>(&e))
                ordered_machines += o->machine;
        }
        commands.clear();
    }
    EXPECT_EQ(ordered_machines, "n-2");
}

// Guards against renting machines after a failover for tasks that run already (seen in the faults of
// vagonplan-ops-grown).
TEST(ClusterRecords, NothingIsRentedForWhatRunsAlready) {
    const auto settings = small_settings();
    auto stored = snapshot_with_job(job(1, Shape::gang, 4, 8));
    stored.intents.push_back({"i/0",
                              {{"t", "n-1 a 1 wk-000001/0:5\nn-2 a 1 wk-000001/1:5\nn-3 a 1 wk-000001/2:5\n"
                                     "n-4 a 1 wk-000001/3:5"}},
                              1,
                              false});
    Core core(settings, 7, stored, 0, 0);
    for (double t = 0.1; t < settings.lease_s; t += 0.2)
        for (const auto& e : step(core, t, {MachineTypesKnown{small_types()}}))
            EXPECT_FALSE(std::holds_alternative<Rent>(e)) << "at " << t;
}

TEST(ClusterRecords, TheEarlierLayoutIsReadAndRemoved) {
    const auto settings = small_settings();
    auto stored = snapshot_with_job(job(1, Shape::array, 4, 1));
    stored.legacy.push_back({"m/n-1",
                             {{"addr", "10.1.0.1:9000"},
                              {"flavor", "m8"},
                              {"yard", "a"},
                              {"standby", false},
                              {"tenure", 1},
                              {"tasks", {"wk-000001/2:5"}}},
                             1,
                             false});
    stored.legacy.push_back({"d/wk-000001", {{"done", "0-1"}}, 1, false});
    Core core(settings, 7, stored, 0, 0);
    EXPECT_EQ(core.live_tasks("wk-000001"), 1U);
    EXPECT_EQ(core.view("wk-000001")->done, 2U);
    std::set<std::string> deleted;
    for (const auto& e : step(core, 0.5, {}))
        if (const auto* c = std::get_if<Commit>(&e))
            for (const auto& w : c->writes) {
                if (!w.value) {
                    deleted.insert(w.key);
                } else if (w.key.starts_with("i/")) {
                    EXPECT_EQ((*w.value)["t"], "n-1 - 1 wk-000001/2:5");
                }
            }
    EXPECT_EQ(deleted, (std::set<std::string>{"m/n-1", "d/wk-000001"}));
}

// Two thousand launches: each record stays below the maximum size of a value, each transaction below its limits, and
// the next leader restores all of the tasks.
TEST(ClusterRecords, ABurstOfPlacementsCostsAFewWrites) {
    SimulatedCluster w(11);
    w.settings.teams = {{"red", 1e5, 1e6, 0, 0}};
    w.settings.state_write_rps = 35;
    w.settings.txn_ops = 16;
    w.settings.fd_limit = 4000;
    w.capacity = 300;
    w.acquire_leadership();
    for (int i = 1; i <= 20; ++i)
        w.submit(job(i, Shape::service, 100, 1));
    std::size_t writes = 0;
    w.on_commit = [&](const std::vector<codec::Write>& list) {
        std::size_t bytes = 0;
        EXPECT_LE(list.size(), 15U);
        for (const auto& x : list) {
            const auto size = x.value ? x.value->dump().size() : 0;
            EXPECT_LE(size, 16U * 1024);
            bytes += size + 120;
            writes += x.key.starts_with("i/");
        }
        EXPECT_LE(bytes, 62U * 1024);
    };
    w.run(60);
    EXPECT_TRUE(w.violations.empty());
    std::size_t live = 0;
    for (int i = 1; i <= 20; ++i)
        live += w.core->live_tasks(fmt::format("wk-{:06}", i));
    EXPECT_EQ(live, 2000U);
    EXPECT_LT(writes, 500U);
    w.acquire_leadership();
    std::size_t known = 0;
    for (int i = 1; i <= 20; ++i)
        known += w.core->live_tasks(fmt::format("wk-{:06}", i));
    EXPECT_EQ(known, 2000U);
}

// A new leader that knows neither the age of the machines nor the usual load releases machines that are needed a moment
// later, or releases none for a minute.
TEST(ClusterRecords, LearnedRatesPassToTheNextLeader) {
    const auto settings = small_settings();
    auto released_at = [&](const codec::Json& learned) {
        Snapshot s;
        s.learned.push_back({"l/0", learned, 1, false});
        Core core(settings, 7, s, 0, 100);
        std::vector<Command> commands{MachineTypesKnown{small_types()},
                                      MachinesListed{{{"n-1", "10.1.0.1:9000", "m8", "a", "running", false, 100}}, 0}};
        std::uint64_t counter = 0;
        for (double now = 0.05; now < 15; now += 0.5) {
            commands.emplace_back(
                HeartbeatReceived{heartbeat("n-1", ++counter, std::uint64_t{7} << token_counter_bits), counter});
            for (const auto& e : core.step(commands, now, 100 + now)) {
                if (std::holds_alternative<Release>(e))
                    return now;
                if (std::holds_alternative<Commit>(e))
                    commands.emplace_back(Committed{});
            }
        }
        return -1.0;
    };
    const codec::Json learned{{"at", 99.0}, {"offered", 50.0}, {"ran", 10.0}, {"estimated", 12.0}, {"spotLosses", 0.5}};
    EXPECT_LT(released_at(learned), 0);
    auto damaged = learned;
    damaged["offered"] = "much";
    for (const auto& none : {codec::Json(), codec::Json::array(), damaged})
        EXPECT_GT(released_at(none), settings.lease_s);
}

} // namespace
} // namespace heronshift::testing
