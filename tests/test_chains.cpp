// Jobs that depend on other jobs, and controllers of the old and the new version that lead in turn on one store.
#include "simulated_cluster.hpp"

#include "persistence/intents.hpp"

#include <gtest/gtest.h>

namespace heronshift::testing {
namespace {

JobSpec dependent_job(int n, const std::vector<int>& dependencies, std::uint32_t tasks = 2) {
    auto j = job(n, Shape::array, tasks, 1);
    for (const int k : dependencies)
        j.dependencies.push_back(fmt::format("wk-{:06}", k));
    return j;
}
std::string job_id(int n) {
    return fmt::format("wk-{:06}", n);
}
std::string first_violation(const SimulatedCluster& w) {
    return w.violations.empty() ? "" : w.violations.front();
}
codec::Json waiting_record(const JobSpec& s, double at = 0) {
    return codec::to_record({s, at, -1, true, {}});
}

// --- submissions and stored records ---

TEST(JobDependencies, ASubmissionNamesJobsOrSaysWhichFieldIsWrong) {
    auto body = codec::to_json(dependent_job(5, {}));
    auto read = [&](const codec::Json& dependencies) {
        body["waitsOn"] = dependencies;
        return codec::submission(body.dump());
    };
    for (const auto& none : {codec::Json(), codec::Json::array()})
        EXPECT_TRUE(std::get<JobSpec>(read(none)).dependencies.empty());
    const auto twice = std::get<JobSpec>(read({"wk-1", "wk-2", "wk-1"}));
    EXPECT_EQ(twice.dependencies, (std::vector<std::string>{"wk-1", "wk-2"}));
    for (const auto& bad : {codec::Json("wk-1"), codec::Json{7}, codec::Json{"job"}, codec::Json{{"wk-1", 1}},
                            codec::Json{"wk-1", nullptr}, codec::Json{"wk-"}, codec::Json(true)}) {
        const auto r = read(bad);
        ASSERT_TRUE(std::holds_alternative<codec::Invalid>(r)) << bad;
        EXPECT_TRUE(std::get<codec::Invalid>(r).why.starts_with("waitsOn")) << bad;
    }
}

// The records are exactly as the previous version writes them.
TEST(JobDependencies, RecordsOfThePreviousVersionAreRead) {
    Snapshot s;
    auto put = [](std::vector<codec::Item>& to, const char* key, const char* value) {
        to.push_back({key, codec::parse(value), 1, false});
    };
    put(s.jobs, "j/wk-000001",
        R"({"at":-3.5,"spec":{"bundle":"img","cpus":1.0,"expectedS":7.0,"id":"wk-000001","imageGb":0.5,"jobclass":"c",)"
        R"("memGb":1.0,"owner":"red","rank":"normal","shape":"array","shards":4,"standby":true}})");
    put(s.jobs, "j/wk-000002",
        R"({"at":-9.0,"final":"withdrawn","spec":{"bundle":"img","cpus":1.0,"id":"wk-000002","imageGb":0.5,)"
        R"("jobclass":"c","memGb":1.0,"owner":"red","rank":"critical","shape":"daemon","shards":2}})");
    put(s.progress, "p/3", R"({"wk-000001":"0-1"})");
    put(s.intents, "i/0", R"({"t":"n-1 a 1 wk-000001/2:4294967301 wk-000002/0-1:4294967300"})");
    put(s.images, "c/0", R"({"held":{"n-1":[0]},"names":[["img",0.5]]})");
    const auto settings = small_settings();
    Core core(settings, 2, s, 0, 0);
    EXPECT_EQ(core.view("wk-000001")->done, 2U);
    EXPECT_EQ(core.live_tasks("wk-000001"), 1U);
    EXPECT_EQ(core.view("wk-000002")->status, codec::status_cancelled);
    EXPECT_EQ(core.live_tasks("wk-000002"), 2U);
    EXPECT_EQ(codec::stored_final(codec::parse(R"({"s":"done"})"))->status, codec::status_done);
}

// The previous version starts a job only if its record has a `spec` that it can read.
TEST(JobDependencies, ThePreviousVersionDoesNotStartAWaitingJob) {
    const auto record = waiting_record(dependent_job(2, {1}), 5);
    EXPECT_FALSE(record.contains("spec"));
    const auto ready = codec::to_record({dependent_job(2, {}), 5, 8, false, {}});
    EXPECT_TRUE(ready.contains("spec"));
    EXPECT_FALSE(ready["spec"].contains("waitsOn"));
    const auto back = codec::stored_job(ready, 20);
    ASSERT_TRUE(back);
    const auto c = job_stored(codec::StoredJob(*back), 20);
    EXPECT_DOUBLE_EQ(c.age_s, 15);
    EXPECT_DOUBLE_EQ(c.ready_age_s, 12); // the time at which the job became ready survives a failover
    EXPECT_FALSE(c.waits);
}

TEST(JobDependencies, ARecordWithInvalidDependenciesWaitsAndCanBeCancelled) {
    auto record = waiting_record(dependent_job(2, {1}));
    record["chain"]["waitsOn"] = {"wk-000001", 5};
    SimulatedCluster w(1);
    w.jobs["wk-000002"] = dependent_job(2, {});
    w.store["j/wk-000002"] = record;
    w.acquire_leadership();
    w.run(20);
    EXPECT_EQ(w.started, 0);
    w.cancel("wk-000002");
    w.run(2);
    EXPECT_EQ(w.final_states["wk-000002"], codec::status_cancelled);
}

TEST(JobDependencies, AJobWithAnUnknownDependencyWaitsAndCanBeCancelled) {
    SimulatedCluster w(1);
    w.acquire_leadership();
    w.submit(dependent_job(2, {77}));
    w.run(30);
    EXPECT_EQ(w.started, 0);
    w.cancel("wk-000002");
    w.run(2);
    EXPECT_EQ(w.final_states["wk-000002"], codec::status_cancelled);
    EXPECT_EQ(first_violation(w), "");
}

// --- dependencies in a running cluster ---

TEST(JobDependencies, ADiamondRunsInItsOrder) {
    SimulatedCluster w(2);
    w.acquire_leadership();
    w.submit(dependent_job(1, {}));
    w.submit(dependent_job(2, {1}));
    w.submit(dependent_job(3, {1}));
    auto gang = job(4, Shape::gang, 3, 2);
    gang.dependencies = {job_id(2), job_id(3)};
    w.submit(gang);
    w.submit(dependent_job(5, {4, 1}));
    w.run(15);
    EXPECT_EQ(w.core->view(job_id(5))->status, codec::status_pending);
    w.run(200);
    for (int i = 1; i <= 5; ++i)
        EXPECT_EQ(w.final_states[job_id(i)], codec::status_done) << i;
    w.submit(dependent_job(6, {5, 3})); // submitted after its dependencies are done
    w.run(40);
    EXPECT_EQ(w.final_states[job_id(6)], codec::status_done);
    EXPECT_EQ(first_violation(w), "");
}

TEST(JobDependencies, AChainOfAHundredJobsSurvivesFailovers) {
    SimulatedCluster w(3);
    w.acquire_leadership();
    for (int i = 0; i < 100; ++i) {
        auto j = dependent_job(i + 1, i > 0 ? std::vector<int>{i} : std::vector<int>{}, 1);
        j.estimate_s = 1;
        w.submit(j);
    }
    for (int i = 0; i < 60; ++i) {
        w.run(i % 3 == 0 ? 35 : 11);
        if (i % 2 == 0)
            w.acquire_leadership();
    }
    EXPECT_EQ(w.final_states[job_id(100)], codec::status_done);
    EXPECT_EQ(first_violation(w), "");
}

// The final states of 200 jobs take many small transactions, and the leader changes between them.
TEST(JobDependencies, ACancellationCancelsAllDependentsWhoeverIsLeader) {
    for (unsigned seed = 1; seed <= 4; ++seed) {
        SimulatedCluster w(seed);
        w.settings.txn_ops = 5;
        w.settings.value_kb = 2;
        w.settings.state_write_rps = 24;
        w.enforce_store_limits = true;
        w.acquire_leadership();
        auto root = dependent_job(1, {}, 300); // more tasks than its team's limit allows at once
        w.submit(root);
        for (int i = 2; i <= 200; ++i)
            w.submit(dependent_job(i, {i % 7 == 0 ? 1 : i - 1}));
        w.run(10);
        for (int i = 0; i < 6; ++i) {
            if (!w.cancelled.contains(job_id(1)))
                w.cancel(job_id(1)); // the user repeats the request
            w.run(w.between(0.2, 5));
            w.acquire_leadership();
        }
        w.run(w.settings.cancel_s);
        EXPECT_EQ(first_violation(w), "");
        for (int i = 1; i <= 200; ++i)
            ASSERT_EQ(w.final_states[job_id(i)], codec::status_cancelled) << i << " seed " << seed;
        w.submit(dependent_job(201, {150})); // depends on a cancelled job: accepted, then cancelled with it
        w.run(3);
        EXPECT_EQ(w.final_states[job_id(201)], codec::status_cancelled);
        EXPECT_EQ(first_violation(w), "");
    }
}

// Whether the store first holds the job as done or as cancelled decides for all its dependents: either all of them run
// or none does.
TEST(JobDependencies, ACancellationRacesWithTheLastTask) {
    int done = 0, cancelled = 0;
    for (unsigned seed = 1; seed <= 40; ++seed) {
        SimulatedCluster w(seed);
        w.acquire_leadership();
        w.submit(dependent_job(1, {}));
        w.submit(dependent_job(2, {1}));
        while (!w.final_states.contains(job_id(1)) && w.violations.empty() && w.now < 60) {
            w.step();
            if (w.done_tasks.size() == 2 && w.chance() < 0.08)
                w.cancel(job_id(1));
        }
        w.submit(dependent_job(3, {1}));
        if (w.chance() < 0.5)
            w.acquire_leadership();
        w.run(40);
        EXPECT_EQ(first_violation(w), "") << seed;
        EXPECT_EQ(w.final_states[job_id(1)], w.final_states[job_id(2)]) << seed;
        EXPECT_EQ(w.final_states[job_id(1)], w.final_states[job_id(3)]) << seed;
        ++(w.final_states[job_id(1)] == codec::status_done ? done : cancelled);
    }
    EXPECT_GT(done, 3);
    EXPECT_GT(cancelled, 3);
}

// The store holds the final state of job 1, but no longer its record, and job 2, its dependent, is not yet stored as
// ready. The new leader must look job 1 up before it makes job 2 ready.
TEST(JobDependencies, ANewLeaderFindsWhatIsDoneInTheStore) {
    Snapshot s;
    s.jobs.push_back({"j/wk-000002", waiting_record(dependent_job(2, {1})), 1, false});
    const auto settings = small_settings();
    Core core(settings, 2, s, 0, 0);
    std::vector<Command> q{MachineTypesKnown{small_types()}};
    bool asked = false, transaction_open = false; // `transaction_open`: an unrelated transaction is not answered yet
    for (const auto& e : core.step(q, 0.1, 0.1)) {
        asked = asked || std::holds_alternative<FindJob>(e);
        transaction_open = transaction_open || std::holds_alternative<Commit>(e);
    }
    EXPECT_TRUE(asked);
    auto wrote_ready = [&](std::vector<Command> with, double now) {
        bool ready = false;
        for (const auto& e : core.step(with, now, now))
            if (const auto* c = std::get_if<Commit>(&e))
                for (const auto& x : c->writes)
                    ready = ready || (x.key == "j/wk-000002" && x.value->contains("spec"));
        return ready;
    };
    EXPECT_FALSE(wrote_ready({JobFound{"wk-000001", Known::no_answer, std::nullopt}}, 0.2));
    std::vector<Command> found{JobFound{"wk-000001", Known::done, std::nullopt}};
    if (transaction_open)
        found.emplace_back(Committed{});
    EXPECT_TRUE(wrote_ready(std::move(found), 0.3));
}

// A job that is done only in the leader's memory may be run again by the next leader, so its dependents have to wait
// until its final state is stored.
TEST(JobDependencies, NothingIsReadyBeforeTheStoreHasTheFinalState) {
    const auto settings = small_settings();
    Snapshot s;
    auto completed = job(1, Shape::array, 1, 1);
    s.jobs.push_back({"j/wk-000001", codec::to_record({completed, 0, -1, false, {}}), 1, false});
    s.jobs.push_back({"j/wk-000002", waiting_record(dependent_job(2, {1})), 1, false});
    s.progress.push_back({"q/0", {{"wk-000001", "0"}}, 1, false}); // all its tasks are done
    Core core(settings, 2, s, 0, 0);
    bool final_sent = false, ready_sent = false;
    auto run_core = [&](double from, double to, std::vector<Command> q) {
        for (double now = from; now < to; now += 0.05) {
            for (const auto& e : core.step(q, now, now))
                if (const auto* c = std::get_if<Commit>(&e))
                    for (const auto& w : c->writes) {
                        final_sent = final_sent || w.key == "f/wk-000001";
                        ready_sent = ready_sent || (w.key == "j/wk-000002" && w.value->contains("spec"));
                    }
            q.clear();
        }
    };
    run_core(0.1, 2, {MachineTypesKnown{small_types()}}); // the store does not answer
    EXPECT_TRUE(final_sent);
    EXPECT_FALSE(ready_sent);
    final_sent = false;
    run_core(2, 2.5, {Committed{TxnOutcome::refused}});
    EXPECT_TRUE(final_sent); // sent again after the refusal
    EXPECT_FALSE(ready_sent);
    run_core(2.5, 3, {Committed{TxnOutcome::applied}});
    EXPECT_TRUE(ready_sent);
}

TEST(JobDependencies, AWaitingJobUsesNoneOfItsTeamsLimit) {
    SimulatedCluster w(4);
    w.acquire_leadership();
    w.submit(dependent_job(1, {}, 1));
    auto large = job(2, Shape::service, 9, 4); // nearly the team's whole limit
    large.dependencies = {job_id(1)};
    w.submit(large);
    w.submit(job(3, Shape::service, 4, 4));
    w.run(4);
    EXPECT_EQ(w.core->live_tasks(job_id(2)), 0U);
    EXPECT_EQ(w.core->live_tasks(job_id(3)), 4U);
    EXPECT_EQ(first_violation(w), "");
}

// A job has at least the priority of its dependents, and the deadline of the last job of a chain applies to all jobs
// before it.
TEST(JobDependencies, DependenciesInheritThePriorityOfTheLastJob) {
    SimulatedCluster w(5);
    w.capacity = 2;
    w.acquire_leadership();
    for (int i = 1; i <= 6; ++i) {
        auto j = job(i, Shape::array, 30, 2, "blue");
        j.priority = Priority::normal;
        w.submit(j);
    }
    w.run(25);
    auto low = dependent_job(10, {}, 2);
    low.priority = Priority::low;
    auto last = dependent_job(12, {11}, 1);
    last.priority = Priority::high;
    last.deadline_s = 80;
    auto middle = dependent_job(11, {10}, 1);
    middle.priority = Priority::low;
    w.submit(low);
    w.submit(middle);
    w.submit(last);
    w.run(60);
    EXPECT_EQ(w.final_states[job_id(12)], codec::status_done);
    EXPECT_NE(w.final_states[job_id(6)], codec::status_done);
    EXPECT_EQ(first_violation(w), "");
}

// --- lowered limits of the store ---

// A record of 12 KiB, written before the limit was lowered, is too large to be rewritten. Its live intents move to
// other records, and the store must name every live task at any time.
TEST(JobDependencies, OversizedIntentRecordsMoveWithoutAGap) {
    auto settings = small_settings();
    settings.teams[0].cpus_max = 5000;
    settings.value_kb = 2;
    settings.txn_ops = 5;
    settings.state_write_rps = 24;
    Snapshot s;
    std::map<std::string, codec::Json> store;
    auto spec = job(1, Shape::service, 300, 1);
    s.jobs.push_back({"j/" + spec.id, codec::to_record({spec, 0, -1, false, {}}), 1, false});
    for (int slot = 0; slot < 2; ++slot) {
        intents::Writer w;
        for (std::uint32_t i = 0; i < 150; ++i)
            w.add(fmt::format("n-{:06}", slot * 200 + static_cast<int>(i)), "a", 1, spec.id,
                  static_cast<std::uint32_t>(slot) * 150 + i, 4294967296U + i);
        store[fmt::format("i/{}", slot)] = {{"t", w.take()}};
        s.intents.push_back({fmt::format("i/{}", slot), store[fmt::format("i/{}", slot)], 1, false});
        ASSERT_GT(store[fmt::format("i/{}", slot)].dump().size(), 5000U);
    }
    Core core(settings, 2, s, 0, 0);
    std::mt19937 rng(1);
    std::vector<Command> q{MachineTypesKnown{small_types()}};
    auto named_tasks = [&] {
        std::set<std::uint32_t> tasks;
        for (const auto& [k, v] : store)
            for (const auto& i : intents::read(v["t"].get<std::string>()).intents)
                tasks.insert(i.index);
        return tasks.size();
    };
    int writes = 0;
    for (double now = 0.05; now < 9; now += 0.05) {
        for (const auto& e : core.step(q, now, now)) {
            const auto* c = std::get_if<Commit>(&e);
            if (c == nullptr)
                continue;
            EXPECT_LT(c->writes.size(), 5U);
            const bool refused = rng() % 4 == 0; // a refused transaction has no effect
            for (const auto& w : c->writes) {
                if (!w.key.starts_with("i/"))
                    continue;
                ASSERT_LE(w.value->dump().size(), 2048U);
                if (refused)
                    continue;
                store[w.key] = *w.value;
                ++writes;
            }
            q.emplace_back(Committed{refused ? TxnOutcome::refused : TxnOutcome::applied});
        }
        ASSERT_EQ(named_tasks(), 300U) << now;
    }
    EXPECT_GT(writes, 8);
    for (const auto& [k, v] : store)
        EXPECT_LE(v.dump().size(), 2048U) << k;
}

TEST(JobDependencies, ATransactionThatTheStoreCallsTooLargeIsNotSentAgain) {
    const auto settings = small_settings();
    Snapshot s;
    for (int i = 1; i <= 40; ++i) {
        auto spec = job(i, Shape::array, 1, 1);
        s.jobs.push_back({"j/" + spec.id, codec::to_record({spec, 0, -1, false, "withdrawn"}), 1, false});
    }
    Core core(settings, 2, s, 0, 0);
    std::vector<Command> q;
    std::size_t largest = 0, completed = 0;
    for (double now = 0.05; now < 10; now += 0.05)
        for (const auto& e : core.step(q, now, now))
            if (const auto* c = std::get_if<Commit>(&e)) {
                largest = std::max(largest, c->writes.size());
                const bool taken = c->writes.size() + 1 <= 5;
                if (taken)
                    completed += c->writes.size();
                q.emplace_back(Committed{taken ? TxnOutcome::applied : TxnOutcome::too_large});
            }
    EXPECT_GT(largest, 5U);
    EXPECT_GE(completed, 40U);
}

// --- both versions on one store ---

struct MixedVersionCase {
    unsigned seed;
    bool back; // whether nodes may return to the old version after jobs with dependencies were submitted
};
class BothVersions : public ::testing::TestWithParam<MixedVersionCase> {};

// Controllers are upgraded one after the other under load and faults. Jobs with dependencies are submitted once all run
// the new version.
TEST_P(BothVersions, TakeTurnsAndBreakNoRule) {
    const auto p = GetParam();
    SimulatedCluster w(p.seed, 5);
    w.settings.teams = {{"red", 200, 400, 0, 0}, {"blue", 200, 600, 0, 0}};
    w.settings.state_write_rps = 60;
    w.old_settings = w.settings;
    w.settings.txn_ops = 8;
    w.settings.value_kb = 2;
    w.check_orphaned = !p.back; // an old leader does not cancel dependents: see docs/operations.md
    w.capacity = 60;
    w.heartbeat_loss = w.order_loss = w.delayed_share = 0.02;
    for (auto& c : w.controllers)
        c.runs_old_version = true;
    int n = 0;
    std::size_t upgraded_count = 0;
    double next_upgrade = 15, next_job = 1, next_fault = 20;
    std::vector<int> arrays;
    while (w.now < 190 && w.violations.empty()) {
        if (upgraded_count < 5 && w.now >= next_upgrade) {
            next_upgrade = w.now + w.between(4, 9);
            w.controllers[upgraded_count].runs_old_version = false;
            w.crash(w.controllers[upgraded_count++], 3);
        }
        if (w.now >= next_job && !w.store_down) {
            next_job = w.now + w.between(0.3, 1.5);
            const double c = w.chance();
            const auto shape = c < 0.75 ? Shape::array : c < 0.9 ? Shape::gang : Shape::service;
            auto j = job(++n, shape, static_cast<std::uint32_t>(w.between(1, shape == Shape::array ? 30 : 6)), 1);
            if (upgraded_count == 5 && w.now > next_upgrade && !arrays.empty())
                for (int k = 0; k < 3; ++k)
                    if (w.chance() < 0.4) {
                        const auto at = arrays.size() - 1 -
                                        static_cast<std::size_t>(w.between(
                                            0, std::min<double>(8, static_cast<double>(arrays.size()) - 0.01)));
                        j.dependencies.push_back(job_id(arrays[at]));
                    }
            if (shape != Shape::service)
                arrays.push_back(n);
            w.submit(j);
        }
        if (n > 0 && w.chance() < 0.004)
            w.cancel(job_id(1 + static_cast<int>(w.between(std::max(0, n - 15), n - 0.01))));
        if (w.now >= next_fault) {
            next_fault = w.now + w.between(3, 12);
            const double c = w.chance();
            auto& node = w.controllers[static_cast<std::size_t>(w.between(0, 4.99))];
            if (c < 0.5) {
                if (p.back && upgraded_count == 5)
                    node.runs_old_version = !node.runs_old_version;
                w.crash(node, 2);
            } else if (c < 0.65) {
                w.store_down = true;
                w.send(w.between(1, 12), [&w] { w.end_store_outage(); });
            } else {
                for (auto& [id, x] : w.workers)
                    if (w.chance() < 0.05) {
                        (c < 0.85 ? x.cut : x.hung) = true;
                        w.send(w.between(1, 20), [&w, k = id] {
                            if (w.workers.contains(k))
                                w.workers[k].cut = w.workers[k].hung = false;
                        });
                    }
            }
        }
        w.step();
    }
    EXPECT_EQ(first_violation(w), "") << "at " << w.now;
    EXPECT_GT(w.started, 300);
    EXPECT_GE(w.acquisitions, 2);
}

INSTANTIATE_TEST_SUITE_P(Turns, BothVersions,
                         ::testing::Values(MixedVersionCase{1, false}, MixedVersionCase{2, false},
                                           MixedVersionCase{3, false}, MixedVersionCase{4, false},
                                           MixedVersionCase{5, true}, MixedVersionCase{6, true},
                                           MixedVersionCase{7, true}));

} // namespace
} // namespace heronshift::testing
