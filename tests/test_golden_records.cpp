// Compares every kind of stored record with its golden file, and checks the state that a core restores from records of
// this version and from records that the version in production wrote.
#include "golden.hpp"
#include "machines.hpp"

#include "core/core.hpp"
#include "persistence/intents.hpp"
#include "persistence/stored_records.hpp"
#include "store/file_data.hpp"

#include <cmath>
#include <cstdio>
#include <set>
#include <sqlite3.h>
#include <unistd.h>
#include <utility>

namespace heronshift::testing {
namespace {

constexpr double started_wall = 1'700'000'000; // seconds since 1970
constexpr std::uint64_t term = 7;

codec::StoredJob stored(Shape shape, double ready, bool waits) {
    auto spec = job(412, shape, 4, 1);
    if (waits)
        spec.dependencies = {"wk-000398"};
    return {spec, started_wall, ready, waits, {}};
}

// --- single records ---

TEST_F(Golden, JobRecords) {
    auto final = stored(Shape::array, -1, false);
    final.spec = codec::remains_of(final.spec);
    final.final = codec::status_cancelled;
    const std::pair<const char*, codec::StoredJob> records[] = {
        {"records/job.json", stored(Shape::array, -1, false)},
        {"records/job_service.json", stored(Shape::service, -1, false)},
        {"records/job_waits.json", stored(Shape::gang, -1, true)},
        {"records/job_ready.json", stored(Shape::gang, started_wall + 60.5, false)},
        {"records/job_final.json", final},
    };
    for (const auto& [name, record] : records) {
        expect_golden(name, codec::to_record(record).dump());
        const auto read = codec::stored_job(golden_json(name), 0);
        ASSERT_TRUE(read) << name;
        EXPECT_EQ(read->waits, record.waits) << name;
        EXPECT_EQ(codec::to_record(*read).dump(), golden(name));
    }
}

TEST_F(Golden, FinalRecords) {
    expect_golden("records/final.json", codec::final_record(codec::status_done, Shape::array).dump());
    expect_golden("records/final_service.json", codec::final_record(codec::status_cancelled, Shape::service).dump());
    const auto read = codec::stored_final(golden_json("records/final.json"));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->status, codec::status_done);
    EXPECT_FALSE(read->service);
    const auto service = codec::stored_final(golden_json("records/final_service.json"));
    ASSERT_TRUE(service);
    EXPECT_EQ(service->status, codec::status_cancelled);
    EXPECT_TRUE(service->service);
}

TEST_F(Golden, CascadeRecord) {
    const std::vector<std::string> jobs{"wk-000412", "wk-000398"};
    expect_golden("records/cascade.json", persistence::encode_cascade(jobs).dump());
    EXPECT_EQ(persistence::decode_cascade(golden_json("records/cascade.json")), jobs);
}

TEST_F(Golden, PlacementRecord) {
    const std::vector<intents::Intent> list{{"n-1", "a", 1, "wk-000001", 3, 70}, {"n-1", "a", 1, "wk-000001", 4, 70},
                                            {"n-1", "a", 1, "wk-000001", 5, 71}, {"n-1", "", 1, "wk-000002", 0, 71},
                                            {"n-1", "", 2, "wk-000002", 1, 71},  {"n-2", "", 1, "wk-000002", 2, 71}};
    const auto text_of = [](const std::vector<intents::Intent>& all) {
        intents::Writer writer;
        for (const auto& i : all)
            writer.add(i.machine, i.zone, i.agent_epoch, i.job, i.index, i.attempt);
        return writer.take();
    };
    expect_golden("records/placements.txt", text_of(list));
    const auto read = intents::read(golden("records/placements.txt"));
    EXPECT_EQ(read.intents, list);
    EXPECT_EQ(text_of(read.intents), golden("records/placements.txt"));
}

TEST_F(Golden, ProgressRanges) {
    expect_golden("records/progress.txt",
                  intents::encode_ranges({true, true, true, false, true, false, false, true, true}, 1000));
    std::vector<bool> done(9);
    intents::for_each_in_ranges(golden("records/progress.txt"), [&](std::uint32_t i) { done[i] = true; });
    EXPECT_EQ(intents::encode_ranges(done, 1000), golden("records/progress.txt"));
}

// --- the store as a whole ---

using Store = std::map<std::string, codec::Json>;

// The snapshot that a new leader would read from the store.
Snapshot snapshot_of(const codec::Json& store) {
    Snapshot s;
    const std::pair<const char*, std::vector<codec::Item>*> prefixes[] = {
        {"j/", &s.jobs},    {"i/", &s.intents}, {"p/", &s.progress}, {"q/", &s.progress}, {"c/", &s.images},
        {"l/", &s.learned}, {"m/", &s.legacy},  {"d/", &s.legacy},   {"x/", &s.cascades}};
    for (const auto& [key, value] : store.items())
        for (const auto& [prefix, into] : prefixes)
            if (key.starts_with(prefix))
                into->push_back({key, value, 1, false, 0});
    return s;
}

// A core with one machine and a store that accepts every transaction.
struct OneMachineCluster {
    Settings settings = small_settings();
    Store store;
    std::unique_ptr<Core> core;
    double now = 0;
    std::uint64_t heartbeat_counter = 0;
    std::vector<Command> next_commands{MachineTypesKnown{small_types()}};
    std::map<std::pair<std::string, std::uint32_t>, ReportedTask> tasks; // on the machine

    explicit OneMachineCluster(const Snapshot& stored) {
        core = std::make_unique<Core>(settings, term, stored, now, started_wall);
    }
    void submit(const JobSpec& spec) {
        const bool waits = !spec.dependencies.empty();
        store["j/" + spec.id] = codec::to_record({spec, started_wall + now, -1, waits, {}});
        next_commands.push_back(JobStored{spec, 0, -1, waits});
    }
    Heartbeat heartbeat() {
        Heartbeat r{"n-1", "10.1.0.1:9000", "m8", "a", false, 1, ++heartbeat_counter, term << token_counter_bits, -1,
                    {}};
        for (const auto& [name, t] : tasks)
            r.tasks.push_back(t);
        return r;
    }
    void end(const std::string& id, std::uint32_t index) {
        auto& t = tasks.at({id, index});
        t.state = TaskState::ended;
        t.cause = ExitCause::done;
    }
    void execute(const std::vector<Order>& orders) {
        for (const auto& o : orders) {
            if (o.verb == Verb::launch)
                tasks[{o.job, o.index}] = {o.job, o.index, o.attempt, TaskState::running, ExitCause::none, false};
            if (o.verb == Verb::reap)
                tasks.erase({o.job, o.index});
        }
    }
    void step() {
        auto batch = std::exchange(next_commands, {});
        for (const auto& e : core->step(batch, now, started_wall + now)) {
            if (const auto* c = std::get_if<Commit>(&e)) {
                for (const auto& w : c->writes)
                    if (w.value)
                        store[w.key] = *w.value;
                    else
                        store.erase(w.key);
                next_commands.push_back(Committed{});
            }
            if (const auto* o = std::get_if<SendOrders>(&e)) {
                execute(o->orders);
                next_commands.push_back(OrdersAnswered{o->machine, o->batch, 200, true, heartbeat()});
            }
            if (const auto* a = std::get_if<AnswerHeartbeat>(&e))
                execute(a->orders);
        }
        now += 0.125; // a power of two, so that sums are exact in floating point
    }
    void run(double seconds) {
        for (const double until = now + seconds; now < until;) {
            if (std::fmod(now, 1) == 0)
                next_commands.push_back(HeartbeatReceived{heartbeat(), heartbeat_counter});
            step();
        }
    }
    // Runs the tasks that the placement records name on the machine.
    void run_placed_tasks(const codec::Json& stored) {
        for (const auto& [key, value] : stored.items()) {
            if (!key.starts_with("i/"))
                continue;
            for (const auto& i : intents::read(value["t"].get_ref<const std::string&>()).intents)
                tasks[{i.job, i.index}] = {i.job, i.index, i.attempt, TaskState::running, ExitCause::none, false};
        }
    }
};

// The store after a leader has run for a while. It contains a record of each kind.
Store store_after_run() {
    OneMachineCluster w(Snapshot{});
    w.submit(job(1, Shape::array, 6, 1));
    auto spread = job(2, Shape::service, 1, 0.5);
    spread.spread = true;
    w.submit(spread);
    w.submit(job(3, Shape::array, 1, 0.5));
    auto waits = job(4, Shape::array, 1, 1);
    waits.dependencies = {"wk-000001"};
    w.submit(waits);
    auto ready = job(5, Shape::array, 1, 0.5);
    ready.dependencies = {"wk-000003"};
    w.submit(ready);
    w.submit(job(6, Shape::service, 1, 0.5));
    w.run(4);
    for (const auto index : {0U, 1U, 3U})
        w.end("wk-000001", index);
    w.end("wk-000003", 0);
    w.run(8);
    w.next_commands.push_back(CancellationRequested{"wk-000006", 1});
    w.run(1);
    return w.store;
}

TEST_F(Golden, TheStoreThatALeaderLeaves) {
    const auto store = store_after_run();
    expect_golden("records/store.json", codec::Json(store).dump(1));
    std::set<std::string> kinds;
    for (const auto& [key, value] : store)
        kinds.insert(key.substr(0, 2));
    EXPECT_EQ(kinds, (std::set<std::string>{"c/", "f/", "i/", "j/", "l/", "q/"}));
}

TEST_F(Golden, TheNextLeaderReadsTheStore) {
    const auto store = golden_json("records/store.json");
    OneMachineCluster w(snapshot_of(store));
    EXPECT_EQ(w.core->live_tasks("wk-000001"), 3U);
    EXPECT_EQ(w.core->view("wk-000001")->done, 3U);
    EXPECT_EQ(w.core->live_tasks("wk-000002"), 1U);
    EXPECT_EQ(w.core->view("wk-000004")->status, codec::status_pending);
    EXPECT_EQ(w.core->live_tasks("wk-000005"), 1U);
    EXPECT_EQ(w.core->view("wk-000006")->status, codec::status_cancelled);
    // The leader writes unchanged placements exactly as it read them.
    w.run_placed_tasks(store);
    w.run(5);
    EXPECT_FALSE(w.store.empty());
    for (const auto& [key, value] : w.store) {
        if (key.starts_with("i/") && store.contains(key)) {
            EXPECT_EQ(value, store[key]) << key;
        }
    }
}

// --- the version in production ---

// The golden file was written by the version in production in a simulated cluster. It holds the store at one moment and
// the state that the next leader of that version read from it.
TEST_F(Golden, TheStoreOfTheVersionInProductionIsRead) {
    const auto production = golden_json("production/store.json");
    const auto settings = small_settings();
    const double now = production["now"].get<double>();
    Core core(settings, production["term"].get<std::uint64_t>() + 1, snapshot_of(production["store"]), now, now);
    for (const auto& [id, expected] : production["jobs"].items()) {
        EXPECT_EQ(core.live_tasks(id), expected["live"].get<std::size_t>()) << id;
        const auto view = core.view(id);
        ASSERT_EQ(view.has_value(), expected.contains("done")) << id;
        if (!view)
            continue;
        EXPECT_EQ(view->done, expected["done"].get<std::uint64_t>()) << id;
        EXPECT_EQ(view->status, expected["status"].get<std::string>()) << id;
    }
}

TEST_F(Golden, FinalStatesOfTheVersionInProductionAreRead) {
    int finals = 0;
    const auto production = golden_json("production/store.json");
    for (const auto& [key, value] : production["store"].items()) {
        if (!key.starts_with("f/"))
            continue;
        const auto read = codec::stored_final(value);
        ASSERT_TRUE(read) << key;
        EXPECT_EQ(read->status, value["s"].get<std::string>());
        EXPECT_FALSE(read->service) << "the version in production does not store the shape of a final job";
        ++finals;
    }
    EXPECT_GE(finals, 1);
}

TEST_F(Golden, JobRecordsOfTheVersionInProductionAreWrittenAlike) {
    int jobs = 0;
    const auto production = golden_json("production/store.json");
    for (const auto& [key, value] : production["store"].items()) {
        if (!key.starts_with("j/"))
            continue;
        const auto read = codec::stored_job(value, 0);
        ASSERT_TRUE(read) << key;
        EXPECT_EQ(codec::to_record(*read), value) << key;
        ++jobs;
    }
    EXPECT_GE(jobs, 3);
}

TEST_F(Golden, PlacementsOfTheVersionInProductionAreWrittenAlike) {
    int records = 0;
    const auto production = golden_json("production/store.json");
    for (const auto& [key, value] : production["store"].items()) {
        if (!key.starts_with("i/"))
            continue;
        const auto text = value["t"].get<std::string>();
        const auto read = intents::read(text);
        EXPECT_TRUE(read.unproven.empty() && !read.damaged) << key;
        intents::Writer writer;
        for (const auto& i : read.intents)
            writer.add(i.machine, i.zone, i.agent_epoch, i.job, i.index, i.attempt);
        EXPECT_EQ(writer.take(), text) << key;
        ++records;
    }
    EXPECT_GE(records, 1);
}

// --- the state file ---

std::string schema_of(const std::string& path) {
    sqlite3* db = nullptr;
    EXPECT_EQ(sqlite3_open(path.c_str(), &db), SQLITE_OK);
    std::string out;
    const auto add = [](void* into, int columns, char** values, char**) {
        auto& text = *static_cast<std::string*>(into);
        for (int i = 0; i < columns; ++i)
            text += values[i] == nullptr ? "-\n" : std::string(values[i]) + '\n';
        return 0;
    };
    for (const auto* query : {"PRAGMA application_id", "PRAGMA user_version",
                              "SELECT sql FROM sqlite_master WHERE sql IS NOT NULL AND name NOT LIKE 'sqlite_%' "
                              "ORDER BY type, name",
                              "SELECT k FROM meta ORDER BY k"})
        EXPECT_EQ(sqlite3_exec(db, query, add, &out, nullptr), SQLITE_OK) << sqlite3_errmsg(db);
    sqlite3_close(db);
    out.pop_back();
    return out;
}

TEST_F(Golden, SchemasOfTheStateFile) {
    const auto path = ::testing::TempDir() + "heronshift-golden-" + std::to_string(getpid()) + ".db";
    for (int version = 1; version <= store::file_schema; ++version) {
        store::file_data(path, {true, version, 2}).reset();
        expect_golden("records/state_file_" + std::to_string(version) + ".txt", schema_of(path));
        for (const auto* suffix : {"", "-wal", "-shm"})
            std::remove((path + suffix).c_str());
    }
}

} // namespace
} // namespace heronshift::testing
