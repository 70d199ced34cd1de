// Combinations of two faults: one scenario for each that docs/combined-faults.md lists, each run with several seeds.
#include "fault_scenario.hpp"

#include <gtest/gtest.h>

namespace heronshift::testing {
namespace {

// --- the checker of answers ---

TEST(AnswerChecker, StaleAnswersAreCaught) {
    const auto violations_of = [](std::initializer_list<std::tuple<double, double, int, std::string_view>> list) {
        Answers h;
        h.submitted("j");
        for (const auto& [asked, now, status, state] : list)
            h.answered("j", "x", asked, now, status, state);
        return fmt::format("{}", fmt::join(h.violations(), "; "));
    };
    EXPECT_EQ(violations_of({{0, 1, 201, "pending"}, {2, 3, 200, "running"}, {4, 5, 200, "done"}, {6, 7, 200, "done"}}),
              "");
    EXPECT_EQ(violations_of({{0, 1, 201, "pending"}, {2, 3, 404, ""}}), "forgotten j: x says 404");
    EXPECT_EQ(violations_of({{0, 1, 201, "pending"}, {2, 3, 422, ""}}), "forgotten j: x says 422");
    EXPECT_EQ(violations_of({{0, 1, 200, "done"}, {2, 3, 200, "running"}}), "went_back j: x says running");
    EXPECT_EQ(violations_of({{0, 1, 200, "done"}, {2, 3, 404, ""}}), "forgotten j: x says 404");
    EXPECT_EQ(violations_of({{0, 1, 200, "withdrawn"}}), "went_back j: x says cancelled by nobody");
    // A request sent before the newer answer arrived may get an older one, but two answers must not give two different
    // final states.
    EXPECT_EQ(violations_of({{0, 3, 200, "done"}, {2, 4, 200, "running"}, {2, 4, 503, ""}}), "");
    Answers h;
    h.submitted("j");
    h.cancellation_requested("j");
    h.answered("j", "x", 0, 3, 200, "done");
    h.answered("j", "x", 2, 4, 200, "withdrawn");
    EXPECT_EQ(h.violations(), std::vector<std::string>{"went_back j: x says withdrawn after done"});
    h.answered("k", "x", 0, 1, 200, "pending");
    EXPECT_EQ(h.violations().back(), "invented k: x says 200");
}

constexpr unsigned seeds = sanitized ? 1 : 4;

// Guards against a leader that answers with an older state than other controllers: they had read from the store what
// a transaction wrote, while the store's reply to the leader was lost.
TEST(CombinedFaults, NoStaleAnswerWhileRepliesToTransactionsAreLost) {
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        FaultyFleet f(500 + seed);
        f.poll_after_changes = true;
        f.poll_cancel_share = 0.15;
        ASSERT_TRUE(f.settle(40)) << seed;
        f.lost_answer_share = 0.4;
        f.on_step = [&f] { // every controller answers a repeated submission from the store
            for (auto& [id, u] : f.users_by_job)
                if (u.accepted() && u.observed.done_at < 0 && f.chance() < 0.05)
                    u.resubmit_at = u.next_at = f.now;
        };
        f.run_under_load(60);
        EXPECT_EQ(f.violation(), "") << seed;
        EXPECT_GT(f.polls, 1000) << seed;
        EXPECT_EQ(f.run_final_checks(), "") << seed;
    }
}

// Every controller answers a submission with a known id with the state of that job, even if other fields are invalid.
// With an unknown id, it answers with the error that the protocol defines.
TEST(CombinedFaults, OddRequestsGetTheSameAnswerEverywhere) {
    FaultyFleet f(510);
    ASSERT_TRUE(f.settle(40));
    std::string done, open_job;
    for (const auto& [id, u] : f.users_by_job) {
        if (const auto t = f.final_states.find(id); t != f.final_states.end() && t->second == codec::status_done)
            done = id;
        if (f.jobs[id].shape == Shape::service && u.accepted())
            open_job = id;
    }
    ASSERT_FALSE(done.empty() || open_job.empty());
    const std::string runs(codec::path_jobs);
    const auto body = [](JobSpec spec, const std::string& id, const char* without) {
        spec.id = id;
        auto j = codec::parse(codec::to_body(spec));
        if (without != nullptr)
            j.erase(without);
        return j.dump();
    };
    auto oversized_job = job(1, Shape::array, 1, 99);
    auto over_limit_gang = job(1, Shape::gang, 500, 4); // the whole gang exceeds its team's limit
    auto unknown_owner_job = job(1, Shape::array, 1, 1, "nobody");
    const auto valid_job = job(1, Shape::array, 1, 1);
    struct OddRequest {
        HttpRequest r;
        int status;
        std::string expected_text;
    };
    std::vector<OddRequest> odd{{{"POST", runs, "", "[1"}, 400, "error"},
                                {{"POST", runs, "", "{\"id\":7}"}, 400, "id"},
                                {{"POST", runs + "/" + done + "/cancel", "", "{}"}, 200, "done"},
                                {{"POST", runs + "/wk-999999/cancel", "", "{}"}, 404, "no such job"},
                                {{"GET", runs + "/wk-999999", "", ""}, 404, "no such job"}};
    for (const auto& [spec, status, why] : std::vector<std::tuple<JobSpec, int, const char*>>{
             {oversized_job, 422, "machine type"}, {over_limit_gang, 422, "cpus"}, {unknown_owner_job, 422, "owner"}}) {
        odd.push_back({{"POST", runs, "", body(spec, "wk-999998", nullptr)}, status, why});
        odd.push_back({{"POST", runs, "", body(spec, done, nullptr)}, 200, "done"});
    }
    for (const char* field : {"owner", "shards", "cpus", "bundle", "shape"}) {
        odd.push_back({{"POST", runs, "", body(valid_job, "wk-999997", field)}, 400, field});
        odd.push_back({{"POST", runs, "", body(valid_job, done, field)}, 200, "done"});
        odd.push_back({{"POST", runs, "", body(valid_job, open_job, field)}, 200, open_job});
    }
    int answered = 0;
    for (std::size_t to = 0; to < f.nodes.size(); ++to)
        for (const auto& o : odd)
            f.send(f.between(0, 8), [&f, &answered, to, o] {
                f.http(Fleet::users, to, o.r, false, 5, [&answered, to, o](const std::optional<HttpReply>& a, bool) {
                    ASSERT_TRUE(a);
                    ++answered;
                    EXPECT_EQ(a->status, o.status) << to << ' ' << o.r.path << ' ' << o.r.body << ' ' << a->body;
                    EXPECT_NE(a->body.find(o.expected_text), std::string::npos)
                        << to << ' ' << o.r.body << ' ' << a->body;
                });
            });
    f.run_under_load(15);
    EXPECT_EQ(answered, static_cast<int>(odd.size() * f.nodes.size()));
    EXPECT_EQ(f.violation(), "");
}

void small_jobs(FaultyFleet& f) {
    f.job_interval_s = 1e9;
    f.on_step = [&f, n = 0]() mutable {
        if (!f.due_every(0.25))
            return;
        const auto id = add(f, job(0, Shape::array, 1, 1), n);
        if (n % 4 == 0)
            f.send(f.between(0.5, 8), [&f, id] {
                if (f.users_by_job[id].accepted() && f.users_by_job[id].observed.done_at < 0)
                    f.request_cancellation(id);
            });
    };
}

std::vector<Scenario> scenarios() {
    return {
        {"TenLeadersInTwoMinutesAlsoInAnOutage",
         [](FaultyFleet& f) {
             f.on_step = [&f] {
                 if (f.due_every(12))
                     crash_leader(f, f.between(0.2, 4));
                 if (f.due_every(50))
                     begin_store_outage(f, 14);
                 if (f.due_every(5))
                     cancel_random_jobs(f, 0.1);
             };
         },
         120},
        {"ZoneBoundJobsLoseMachines",
         [](FaultyFleet& f) {
             f.on_step = [&f, n = 0]() mutable {
                 if (f.due_every(4)) {
                     auto array = job(0, Shape::array, 6, 2);
                     array.zone = f.settings.zones[f.random_index(3)];
                     add(f, array, n);
                     auto gang = job(0, Shape::gang, 3, 2, "blue");
                     gang.one_zone = gang.spot = true;
                     add(f, gang, n);
                     array.zone = "";
                     array.one_zone = true;
                     add(f, array, n);
                 }
                 if (f.due_every(15))
                     for (auto& [id, w] : f.workers)
                         w.dead = w.dead || f.chance() < 0.2;
                 if (f.due_every(31))
                     crash_leader(f);
             };
         }},
        {"TeamsAtTheirLimitWithCancelledJobsOnMachinesThatCannotBeAsked",
         [](FaultyFleet& f) {
             f.task_duration = [&f](std::uint32_t) { return f.between(20, 60); };
             f.on_step = [&f, n = 0, last_job = f.now + 65]() mutable {
                 if (f.now > last_job) // jobs that wait at the limit by then finish before the run ends
                     f.next_job = 1e9;
                 if (f.due_every(4) && f.now < last_job)
                     add(f, job(0, Shape::array, 8, 2, n % 2 == 0 ? "red" : "blue"), n);
                 if (f.due_every(30)) {
                     make_machines_unreachable(f, 0.5, f.between(5, 35));
                     cancel_random_jobs(f, 0.4);
                     f.send(f.between(0, 2), [&f] { crash_leader(f, f.between(1, 5)); });
                     f.send(3, [&f] { cancel_random_jobs(f, 0.3); });
                 }
             };
         },
         90, 0, [](const FaultyFleet& f) { return f.starts_at_limit > 0 && f.leader_changes.size() > 1; }, 48},
        {"CommandsAndAnswersHeldForSeconds",
         [](FaultyFleet& f) {
             f.delayed_share = 0.15;
             f.on_step = [&f] {
                 if (f.due_every(9)) {
                     const auto zone = Fleet::zone(f.settings.zones[f.random_index(3)]);
                     const auto& name = f.nodes[f.leader_or(f.random_index(f.nodes.size()))].name;
                     f.cut(name, zone, Mode::hold, f.chance() < 0.5, f.between(3, 9));
                 }
                 if (f.due_every(5))
                     cancel_random_jobs(f, 0.1);
                 if (f.due_every(40))
                     crash_leader(f);
             };
         }},
        {"MoreWorkThanRoomOverSlowLinks",
         [](FaultyFleet& f) {
             f.on_step = [&f, n = 0]() mutable {
                 if (f.due_every(1) && f.now < 100) {
                     auto urgent = job(0, Shape::array, 2, 4, "blue");
                     urgent.priority = Priority::high;
                     add(f, urgent, n);
                     auto other = job(0, Shape::array, 12, 2);
                     other.priority = Priority::low;
                     add(f, other, n);
                 }
                 if (f.due_every(10))
                     f.cut(f.nodes[f.leader_or(f.random_index(f.nodes.size()))].name,
                           Fleet::zone(f.settings.zones[f.random_index(3)]), Mode::slow, false, 6);
                 if (f.due_every(5))
                     cancel_random_jobs(f, 0.1);
             };
         }},
        {"TasksOfAJobEndFarApartAcrossLeaders",
         [](FaultyFleet& f) {
             f.task_duration = [](std::uint32_t index) { return 3.0 + 14 * index; };
             f.poll_after_changes = true;
             f.on_step = [&f] {
                 if (f.due_every(11))
                     crash_leader(f, f.between(0.1, 3));
             };
         }},
        {"OneTaskJobsFourASecondAQuarterCancelledAt35ChangesASecond", small_jobs, 150, 35},
        {"OneTaskJobsFourASecondAQuarterCancelledAt20ChangesASecond", small_jobs, 150, 20},
        {"AllControllersEndAndOneReturns",
         [](FaultyFleet& f) {
             f.on_step = [&f] {
                 if (!f.due_every(17))
                     return;
                 const auto first = f.random_index(f.nodes.size());
                 for (std::size_t i = 0; i < f.nodes.size(); ++i)
                     f.crash(i, i == first ? f.short_downtime_s() : f.between(1, 12));
                 cancel_random_jobs(f, 0.1);
             };
         }},
        {"OldReportsReachEveryControllerAsALeaderBegins",
         [](FaultyFleet& f) {
             f.replay_share = 0.3;
             f.late_copy_share = 0.2;
             f.on_step = [&f] {
                 if (f.due_every(13))
                     crash_leader(f, f.between(0.1, 3));
                 if (f.due_every(13, 6))
                     for (auto& [id, w] : f.workers)
                         w.dead = w.dead || f.chance() < 0.1;
                 if (f.due_every(5))
                     cancel_random_jobs(f, 0.1);
             };
         }},
        {"CancellationsMeetTheEndOfTheLastTask",
         [](FaultyFleet& f) {
             f.poll_after_changes = true;
             f.poll_cancel_share = 0.1;
             f.on_step = [&f] { // act on jobs with at most one unfinished task
                 for (auto& [id, u] : f.users_by_job) {
                     if (!u.accepted() || u.cancels || u.observed.done_at >= 0 || f.jobs[id].shape == Shape::service)
                         continue;
                     std::uint32_t done = 0;
                     for (std::uint32_t i = 0; i < f.jobs[id].tasks; ++i)
                         done += f.done_tasks.contains(fmt::format("{}/{}", id, i));
                     if (done + 1 < f.jobs[id].tasks || f.chance() < 0.7)
                         continue;
                     f.chance() < 0.5 ? f.request_cancellation(id) : (void)(u.resubmit_at = u.next_at = f.now);
                     u.next_at = f.now;
                 }
             };
         }},
        {"TheLeaderEndsWhileMachinesWithLongTasksCannotBeReached",
         [](FaultyFleet& f) {
             f.task_duration = [&f](std::uint32_t) { return f.between(30, 70); };
             f.on_step = [&f] {
                 if (!f.due_every(35))
                     return;
                 make_machines_unreachable(f, 0.5, f.between(10, 40));
                 crash_leader(f, f.between(0.5, 10));
                 f.send(3, [&f] { cancel_random_jobs(f, 0.3); });
             };
         }},
        {"AllControllersAwayForLongerThanALease",
         [](FaultyFleet& f) {
             f.on_step = [&f] {
                 if (!f.due_every(45))
                     return;
                 cancel_random_jobs(f, 0.2);
                 f.send(1, [&f] {
                     for (std::size_t i = 0; i < f.nodes.size(); ++i)
                         f.crash(i, f.leases(f.between(1.05, 1.3)));
                 });
             };
         }},
        {"CancellationsWhileTheLeaderChanges",
         [](FaultyFleet& f) {
             f.task_duration = [&f](std::uint32_t) { return f.between(20, 60); };
             f.on_step = [&f] {
                 if (f.due_every(12, 0.5))
                     cancel_random_jobs(f, 0.2);
                 if (f.due_every(12)) { // by a crash, a handover or a network cut
                     const auto h = f.leader().value_or(0);
                     const auto k = f.random_index(3);
                     if (k == 0)
                         f.crash(h, f.short_downtime_s());
                     if (k == 1)
                         f.nodes[h].refused_by_store = true;
                     if (k == 2)
                         f.isolate(h, Mode::hold, 8);
                     f.send(8, [&f, h] { f.nodes[h].refused_by_store = false; });
                 }
                 if (f.due_every(12, -0.5) || f.due_every(12, -2))
                     cancel_random_jobs(f, 0.2);
             };
         }},
        {"AZoneWithAControllerIsCutOffForLongerThanALease",
         [](FaultyFleet& f) {
             f.on_step = [&f] {
                 if (!f.due_every(50))
                     return;
                 const auto in = f.leader_or(f.random_index(f.nodes.size()));
                 const auto zone = f.settings.zones[in % 3];
                 const double for_s = f.leases(1.3);
                 for (std::size_t o = 0; o < f.nodes.size(); ++o) {
                     if (o % 3 == in % 3) {
                         f.cut(f.nodes[o].name, Fleet::state, Mode::drop, false, for_s);
                         f.cut(f.nodes[o].name, Fleet::cloud, Mode::drop, false, for_s);
                         for (const auto& z : f.settings.zones)
                             if (z != zone)
                                 f.cut(f.nodes[o].name, Fleet::zone(z), Mode::drop, false, for_s);
                     } else {
                         f.cut(f.nodes[o].name, Fleet::zone(zone), Mode::drop, false, for_s);
                     }
                     for (std::size_t p = 0; p < f.nodes.size(); ++p)
                         if (o % 3 == in % 3 && p % 3 != in % 3)
                             f.cut(f.nodes[o].name, f.nodes[p].name, Mode::drop, false, for_s);
                 }
                 f.send(2, [&f] { cancel_random_jobs(f, 0.2); });
             };
         },
         110},
        {"NewMachinesGetWorkWhileWritesLagAndTheLeaderEnds",
         [](FaultyFleet& f) {
             f.late_write_share = 0.2;
             f.on_step = [&f, n = 0]() mutable {
                 if (f.due_every(15))
                     for (int k = 0; k < 2; ++k)
                         add(f, job(0, Shape::array, 12, 4, "blue"), n);
                 if (f.due_every(15, -2.5))
                     crash_leader(f);
                 if (f.due_every(15, -8))
                     for (auto& [id, w] : f.workers)
                         w.dead = w.dead || f.chance() < 0.3;
             };
         }},
        {"ALeaderCutFromStoreAndControllersWhileOthersCancel",
         [](FaultyFleet& f) {
             f.task_duration = [&f](std::uint32_t) { return f.between(20, 90); };
             f.on_step = [&f] {
                 // `Mode::slow` is left out: renewals that take 8 s to arrive keep the other controllers from taking
                 // over for so long that worker leases expire, whenever the leader resigns.
                 const auto mode = std::array{Mode::drop, Mode::hold, Mode::refuse}[f.random_index(3)];
                 if (f.due_every(30))
                     f.isolate(f.leader().value_or(0), mode, f.between(8, 26));
                 if (f.due_every(4))
                     cancel_random_jobs(f, 0.15);
             };
         }},
        {"TheStoreIsSlowThenRefusesTheLeaderThenEverybody",
         [](FaultyFleet& f) {
             f.task_duration = [&f](std::uint32_t) { return f.between(20, 90); };
             f.poll_after_changes = true;
             f.on_step = [&f, t0 = f.now] {
                 const double t = f.now - t0;
                 if (t < 0.1)
                     for (const auto& n : f.nodes)
                         f.cut(n.name, Fleet::state, Mode::slow, false, 10);
                 if (std::abs(t - 25) < 0.05)
                     f.nodes[f.leader().value_or(0)].refused_by_store = true;
                 if (std::abs(t - 25.9) < 0.05)
                     begin_store_outage(f, f.settings.cancel_s + 5);
                 if (f.due_every(3))
                     cancel_random_jobs(f, 0.1);
             };
         },
         90},
        {"TransactionsAreCarriedOutAfterNewerOnes",
         [](FaultyFleet& f) {
             f.late_write_share = 0.3;
             f.poll_after_changes = true;
             f.poll_cancel_share = 0.1;
             f.on_step = [&f] {
                 if (f.due_every(14))
                     crash_leader(f, f.between(0.1, 3));
             };
         }},
        {"TransactionsAreCarriedOutLateAndTheLeaderEndsWhileMachinesCannotBeAsked",
         [](FaultyFleet& f) {
             f.late_write_share = 0.3;
             f.task_duration = [&f](std::uint32_t) { return f.between(15, 40); };
             f.on_step = [&f] {
                 if (f.due_every(16)) {
                     make_machines_unreachable(f, 0.5, f.between(8, 18));
                     f.send(f.between(1, 6), [&f] { crash_leader(f, f.between(0.1, 3)); });
                 }
             };
         }},
        {"WorkersReachNoControllerWhileCommandsReachThem",
         [](FaultyFleet& f) {
             f.task_duration = [&f](std::uint32_t) { return f.between(20, 60); };
             f.on_step = [&f] {
                 if (f.due_every(40)) {
                     std::vector<std::string> list;
                     for (const auto& [id, w] : f.workers)
                         if (f.chance() < 0.4)
                             list.push_back(id);
                     f.outbound_unreachable.insert(list.begin(), list.end());
                     f.send(f.leases(f.between(0.4, 1.4)), [&f, list] {
                         for (const auto& id : list)
                             f.outbound_unreachable.erase(id);
                     });
                     f.send(2, [&f] { cancel_random_jobs(f, 0.3); });
                 }
                 if (f.due_every(40, -5))
                     crash_leader(f);
             };
         }},
    };
}

class FaultScenarios : public ::testing::TestWithParam<Scenario> {};

TEST_P(FaultScenarios, BreakNoRule) {
    for (unsigned seed = 1; seed <= (sanitized ? 1 : 2); ++seed)
        run_scenario(GetParam(), 600 + seed);
}

INSTANTIATE_TEST_SUITE_P(All, FaultScenarios, ::testing::ValuesIn(scenarios()),
                         [](const auto& p) { return std::string(p.param.name); });

// Two scenarios at once, drawn by seed. They may leave no controller that can answer a machine in time, so expired
// leases are not checked here. The rules, the answers and the knowledge of accepted jobs are.
TEST(CombinedFaults, TwoAtOnceBreakNoRule) {
    std::mt19937 rng(90 + seed_offset());
    const auto all = scenarios();
    for (unsigned k = 0; k < (sanitized ? 2 : 16); ++k) {
        const auto& a = all[rng() % all.size()];
        const auto& b = all[rng() % all.size()];
        FaultyFleet f(700 + k, k % 3 == 0 ? 3 : 5);
        ASSERT_TRUE(f.settle(40)) << k;
        a.begin(f);
        const auto first_step = f.on_step;
        b.begin(f);
        f.on_step = [&f, first_step, second = f.on_step] {
            f.last_severe_fault_at = f.now;
            if (first_step)
                first_step();
            if (second)
                second();
        };
        f.run_under_load(90);
        EXPECT_EQ(f.violation(), "") << k << ' ' << a << ' ' << b;
        f.task_duration = {};
        f.job_interval_s = 1e9;
        f.poll_after_changes = false;
        f.on_step = {};
        f.final_checks(f.leases(5));
        for (const auto& [id, u] : f.users_by_job)
            if (u.accepted() && !u.cancels) {
                EXPECT_LT(u.observed.silent_s, 75) << id << ' ' << k << ' ' << a << ' ' << b;
                EXPECT_TRUE(u.observed.resubmission_ok) << id << ' ' << k << ' ' << a << ' ' << b;
            }
        EXPECT_EQ(f.violation(), "") << k << ' ' << a << ' ' << b;
    }
}

} // namespace
} // namespace heronshift::testing
