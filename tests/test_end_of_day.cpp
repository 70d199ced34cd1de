// Checks at the end of a simulated day: every accepted job is known and runs, and every job class, every team and the
// largest jobs are served. The faults before that are machines that receive no messages, late duplicates of heartbeats,
// controllers that reach only workers, and processes that restart within moments.
#include "fault_injection.hpp"

#include "gateway/fair_token_bucket.hpp"

#include <gtest/gtest.h>

namespace heronshift::testing {
namespace {

// --- `FinalChecks` itself ---

std::vector<ObservedJob> fault_free_day() {
    std::vector<ObservedJob> out;
    for (int i = 0; i < 40; ++i) {
        ObservedJob j{fmt::format("wk-{:06}", i), i % 4 == 0 ? "wide" : "small", i % 2 == 0 ? "red" : "blue"};
        j.size = i;
        j.asked_at = i;
        j.accepted_at = i + 0.1;
        j.started_at = i + 10;
        j.done_at = i + 60;
        out.push_back(j);
    }
    return out;
}

std::string failed_checks(const std::vector<ObservedJob>& all) {
    FinalChecks end;
    end.now = 500;
    return fmt::format("{}", fmt::join(end.failed_checks(all), "; "));
}

TEST(FinalChecks, AFaultFreeDayHasNoViolations) {
    EXPECT_EQ(failed_checks(fault_free_day()), "");
}

TEST(FinalChecks, AJobThatNobodyAnswersForIsForgottenHoweverOthersFare) {
    auto day = fault_free_day();
    day[7].silent_s = 76;
    EXPECT_EQ(failed_checks(day), "forgotten: wk-000007 had no answer for 76 s");
    day[7].cancelled = true;
    EXPECT_EQ(failed_checks(day), "");
    day[8].resubmission_ok = false;
    EXPECT_EQ(failed_checks(day), "forgotten: wk-000008, submitted again");
}

TEST(FinalChecks, AStarvedTeamIsSeenAmongManyServed) {
    auto day = fault_free_day();
    int n = 0;
    for (auto& j : day)
        if (j.team == "blue" && j.size < 30 && ++n > 3)
            j.done_at = -1, j.running = true;
    EXPECT_EQ(failed_checks(day), "team blue: 8 of 20 served");
}

TEST(FinalChecks, ALargestJobThatBeginsLateIsSeen) {
    auto day = fault_free_day();
    day[36].started_at = day[36].asked_at + 241; // the largest of "wide"
    EXPECT_EQ(failed_checks(day), "wk-000036, one of the largest of class wide, begins after 241 s");
    day[36].excused_s = 5;
    EXPECT_EQ(failed_checks(day), "");
    day[36].started_at = day[36].done_at = -1;
    EXPECT_EQ(failed_checks(day),
              "wk-000036 of wide red does not run, 464 s old; wk-000036, one of the largest of class wide, "
              "begins after 464 s; the largest of class wide: 0 of 1 served");
}

// --- rate limit ---

// Six times as many callers ask as the budget allows, and all of them are served in turn. If requests were served in
// order of arrival, unlucky callers would be refused for minutes.
TEST(FairTokenBucket, NobodyWhoRetriesIsRefusedForLong) {
    std::mt19937 rng(5);
    gateway::FairTokenBucket bucket(10, 16, 40);
    std::vector<double> next(300), served(300);
    for (auto& t : next)
        t = std::uniform_real_distribution<double>(0, 5)(rng);
    double longest = 0;
    for (double now = 0; now < 400; now += 0.05)
        for (std::size_t i = 0; i < next.size(); ++i) {
            if (now < next[i])
                continue;
            next[i] = now + std::uniform_real_distribution<double>(4, 6)(rng);
            if (!bucket.take(std::to_string(i), now))
                continue;
            longest = std::max(longest, now - served[i]);
            served[i] = now;
        }
    EXPECT_LT(longest, 75);
}

// --- scenarios ---

// A workload of services, small and wide arrays, and gangs of two teams.
struct Day : FaultInjection {
    Day(unsigned seed, std::size_t controllers, int machines)
        : FaultInjection(seed + seed_offset(), controllers, machines) {
        for (auto& [id, u] : users_by_job)
            u.observed.job_class = jobs[id].job_class = "serve";
        before_step = [this] {
            if (std::fmod(now, 12) < 0.1)
                submit_extra_job(job(900'000 + ++extra_jobs, Shape::array, 30, 2), "wide");
            if (std::fmod(now + 6, 12) < 0.1) {
                auto gang = job(900'000 + ++extra_jobs, Shape::gang, 4, 4);
                gang.one_zone = extra_jobs % 4 == 0;
                gang.spot = true;
                submit_extra_job(gang, "gang");
            }
            if (on_step)
                on_step();
        };
    }
    void submit_extra_job(JobSpec spec, const std::string& job_class) {
        spec.job_class = job_class;
        spec.team = extra_jobs % 4 < 2 ? "red" : "blue";
        submit_as_user(spec);
    }
    int extra_jobs = 0;
    std::function<void()> on_step;
    // Ends the faults and runs the final checks; returns their violations, empty if there are none.
    std::string end() {
        on_step = {};
        return final_checks(std::max(leases(5), 90.0));
    }
    const cluster::Machine* known_machine(const std::string& id) {
        const auto& c = nodes[leader().value_or(0)].controller;
        const auto* term = c ? c->core() : nullptr;
        if (term == nullptr)
            return nullptr;
        const auto it = term->state().machines.find(id);
        return it == term->state().machines.end() ? nullptr : it->second.get();
    }
    std::vector<std::string> busy() const {
        std::vector<std::string> out;
        for (const auto& [id, w] : workers)
            if (!w.tasks.empty())
                out.push_back(id);
        return out;
    }
};

// The heartbeats of a machine arrive, but it receives no answers to them. Such a machine lost all tasks placed on it,
// once per lease. Commands, and with them the newest fencing token, may still reach it.
//
// With 48 of 200 seeds the leader recognised it only after 66 to 84 s, or released it before that. The machine tries
// all controllers in turn, and those that had redirected it to the leader once did so again, without effect. The leader
// therefore saw one heartbeat in 26 s and needed three (log of seed 0: "route=taken" at 87.9 and next at 114,
// "route=redirected to the leader" between them). One of the later failures had another cause, see `ReleasedMachines`.
void expect_no_more_placements(bool orders_reach, double recognised_within_leases, double run_leases) {
    Day f(11, 5, 40);
    ASSERT_TRUE(f.settle(60));
    std::string id; // a machine with service replicas, which is not released for being idle
    for (const auto& [name, w] : f.workers)
        for (const auto& t : w.tasks)
            if (f.jobs[t.job].shape == Shape::service)
                id = name;
    if (orders_reach)
        f.heartbeat_answers_lost.insert(id);
    else
        f.make_inbound_unreachable(id, f.names());
    const double since = f.now;
    double recognised_at = -1, recognised_at_node_time = -1, released_at = -1;
    int placed = 0;
    f.on_step = [&] {
        const auto* m = f.known_machine(id);
        if (recognised_at < 0 && m != nullptr && m->inbound_unreachable()) {
            recognised_at = f.now;
            recognised_at_node_time = f.nodes[*f.leader()].clock->now();
        }
        if (released_at < 0 && !f.workers.contains(id))
            released_at = f.now;
        if (recognised_at < 0 || m == nullptr)
            return;
        for (const auto& e : m->entries)
            placed += e->placed_at > recognised_at_node_time;
    };
    f.run_under_load(f.leases(run_leases));
    EXPECT_EQ(first(f), "");
    EXPECT_GT(recognised_at, 0);
    EXPECT_LT(recognised_at - since, f.leases(recognised_within_leases));
    EXPECT_EQ(placed, 0);
    EXPECT_GT(released_at, 0);
    EXPECT_EQ(f.end(), "");
}
TEST(InboundUnreachable, OneMachineGetsNoMoreTasksAndIsReleased) {
    expect_no_more_placements(false, 3, 6);
}
TEST(InboundUnreachable, OneThatCommandsReachGetsNoMoreTasksAndIsReleased) {
    expect_no_more_placements(true, 3, 6);
}

// The leader does not reach some machines, but another controller forwards their heartbeats: they keep their leases and
// their tasks.
TEST(InboundUnreachable, AMachineThatOneControllerDoesNotReachIsReachedByAnother) {
    for (unsigned seed = 1; seed <= 6; ++seed) {
        Day f(20 + seed, 5, 40);
        ASSERT_TRUE(f.settle(60)) << seed;
        std::vector<std::string> unreachable_machines = f.busy();
        unreachable_machines.resize(5);
        const int before = f.expirations;
        for (const auto& id : unreachable_machines)
            f.make_inbound_unreachable(id, {f.nodes[*f.leader()].name});
        f.run_under_load(f.leases(4));
        EXPECT_EQ(first(f), "") << seed;
        EXPECT_EQ(f.expirations, before) << seed;
        EXPECT_LE(f.leader_changes.size(), 2U) << seed; // at most one handover, to a controller that reaches them all
        EXPECT_EQ(f.end(), "") << seed;
    }
}

struct InboundFault {
    double share;
    std::string zone;
    friend std::ostream& operator<<(std::ostream& o, const InboundFault& s) {
        return o << s.share << s.zone;
    }
};
class InboundUnreachableMachines : public ::testing::TestWithParam<InboundFault> {};

// Some gangs run partly on machines that receive no messages, and some jobs that run there are cancelled.
TEST_P(InboundUnreachableMachines, OfManyStartsTheirWorkElsewhereOnlyOnceItIsGone) {
    Day f(31, 5, 60);
    ASSERT_TRUE(f.settle(60));
    f.make_some_inbound_unreachable(GetParam().share, GetParam().zone, f.all_nodes(), f.leases(3));
    for (const auto& [id, u] : f.users_by_job)
        if (f.chance() < 0.1 && u.observed.done_at < 0)
            f.request_cancellation(id);
    f.run_under_load(f.leases(4));
    EXPECT_EQ(first(f), "");
    f.run_under_load(f.leases(2)); // the machines receive messages again and get tasks again
    EXPECT_EQ(f.end(), "");
    EXPECT_EQ(f.unfinished(f.leases(3)), 0);
}

INSTANTIATE_TEST_SUITE_P(Day, InboundUnreachableMachines,
                         ::testing::Values(InboundFault{0.33, ""}, InboundFault{1, "b"}));

// A leader probes four machines of each zone, and hands the leadership to a controller that reaches more zones. It kept
// probing machines that it had released itself, which could not answer. If all probed machines of a zone were such, it
// took the zone for unreachable and resigned without any fault. The log showed "returning 2 machines", for the same
// machines "probe ... answered=false" twice within six seconds, then "link changed target="workers c"
// state=unreachable" and "resigned ... reason=better_candidate".
TEST(ReleasedMachines, DoNotMakeTheLeaderResign) {
    for (unsigned seed = 1; seed <= (sanitized ? 4 : 24); ++seed) {
        Day f(900 + seed, 5, 40);
        ASSERT_TRUE(f.settle(60)) << seed;
        f.run_under_load(130);
        EXPECT_EQ(first(f), "") << seed;
        EXPECT_EQ(f.leader_changes.size(), 1U) << seed;
    }
}

// Late duplicates of heartbeats have no effect before, during and after a change of leader, even if their machine is
// gone by then.
TEST(Copies, OfHeartbeatsChangeNothing) {
    for (unsigned seed = 1; seed <= 4; ++seed) {
        Day f(40 + seed, 5, 60);
        f.late_copy_share = 0.5;
        ASSERT_TRUE(f.settle(60)) << seed;
        for (int k = 0; k < 3; ++k) {
            for (auto& [id, w] : f.workers)
                if (f.chance() < 0.2)
                    w.dead = true; // reclaimed without notice, while duplicates keep arriving
            f.crash(*f.leader(), k == 0 ? 0.2 : 3);
            f.run_under_load(f.leases(1.5));
            ASSERT_TRUE(f.leader()) << seed;
        }
        EXPECT_EQ(first(f), "") << seed;
        EXPECT_EQ(f.end(), "") << seed;
    }
}

// Guards against a machine that was gone but kept its tasks for as long as duplicates of its heartbeats arrived.
TEST(Copies, DoNotKeepTheTasksOfAMachineThatIsGone) {
    Day f(51, 3, 24);
    ASSERT_TRUE(f.settle(40));
    const auto id = f.busy().at(0);
    auto& w = f.workers[id];
    const auto body = codec::to_body(f.heartbeat(w));
    const auto zone = Fleet::zone(w.zone);
    w.dead = true;
    const double since = f.now;
    f.on_step = [&] { // several duplicates of one heartbeat per second
        f.http(zone, f.random_index(3), {"POST", std::string(codec::path_heartbeat), "", body}, false, 4,
               [](const std::optional<HttpReply>&, bool) {});
    };
    double freed_at = -1;
    for (int k = 0; k < 60 && freed_at < 0; ++k) {
        f.run_under_load(1);
        const auto* m = f.known_machine(id);
        if (m == nullptr || m->entries.empty())
            freed_at = f.now;
    }
    EXPECT_EQ(first(f), "");
    EXPECT_GT(freed_at, 0);
    EXPECT_LT(freed_at - since, f.leases(1.2));
}

// A controller that reaches neither the store nor other controllers may act until its lease expires. After that it
// answers workers and users at once with a refusal, and no message of its term takes effect later.
struct IsolationCase {
    int isolated_nodes; // 0: the leader, 1: a standby, 2: the leader and a standby
    Mode mode;
    double leases;
    friend std::ostream& operator<<(std::ostream& o, const IsolationCase& c) {
        return o << c.isolated_nodes << " mode " << static_cast<int>(c.mode) << ' ' << c.leases;
    }
};
class Isolated : public ::testing::TestWithParam<IsolationCase> {};

TEST_P(Isolated, ControllerRefusesAllRequestsAtOnce) {
    const auto p = GetParam();
    Day f(61, 5, 40);
    ASSERT_TRUE(f.settle(60));
    const auto leader_index = *f.leader();
    const double for_s = p.leases * f.settings.lease_s;
    std::vector<std::size_t> cut;
    if (p.isolated_nodes != 1)
        cut.push_back(leader_index);
    if (p.isolated_nodes != 0)
        cut.push_back((leader_index + 2) % 5);
    for (const auto i : cut)
        f.isolate(i, p.mode, for_s);
    const int expirations = f.expirations;
    f.run_under_load(std::min(for_s - 1, 8.0)); // the length of a store lease and the time to notice its expiry
    if (for_s > 9)
        for (const auto i : cut) {
            EXPECT_FALSE(f.is_active_leader(i));
            const auto answers = std::make_shared<std::map<std::string, std::pair<int, double>>>();
            const auto send_to_isolated = [&](const std::string& what, HttpRequest r) {
                f.http(Fleet::users, i, std::move(r), false, 4,
                       [answers, &f, what, at = f.now](const std::optional<HttpReply>& a, bool) {
                           (*answers)[what] = {a ? a->status : 0, f.now - at};
                       });
            };
            send_to_isolated("up", {"GET", std::string(codec::path_health), "", ""});
            send_to_isolated("job", {"GET", std::string(codec::path_jobs) + "/wk-000001", "", ""});
            send_to_isolated("submission",
                             {"POST", std::string(codec::path_jobs), "", codec::to_body(job(777, Shape::array, 1, 1))});
            send_to_isolated("report", {"POST", std::string(codec::path_heartbeat), "",
                                        codec::to_body(f.heartbeat(f.workers.begin()->second))});
            f.run_under_load(1);
            for (const auto* what : {"up", "job", "submission", "report"}) {
                // A standby may still know the leader, and redirect the machine to it.
                const bool knows_leader = i != leader_index && what == std::string_view("report");
                EXPECT_EQ((*answers)[what].first, knows_leader && (*answers)[what].first != 503 ? 421 : 503) << what;
                EXPECT_LT((*answers)[what].second, 0.5) << what;
            }
        }
    f.run_under_load(for_s);
    EXPECT_EQ(first(f), "");
    EXPECT_EQ(f.expirations, expirations);
    EXPECT_EQ(f.end(), "");
    EXPECT_EQ(f.unfinished(f.leases(3)), 0);
}

INSTANTIATE_TEST_SUITE_P(Day, Isolated,
                         ::testing::Values(IsolationCase{0, Mode::drop, 0.2}, IsolationCase{0, Mode::drop, 0.5},
                                           IsolationCase{0, Mode::refuse, 2}, IsolationCase{0, Mode::hold, 2},
                                           IsolationCase{1, Mode::drop, 2}, IsolationCase{1, Mode::hold, 0.5},
                                           IsolationCase{2, Mode::drop, 2}, IsolationCase{2, Mode::hold, 1}));

// A process restarts at once, at each message where that could matter. Its successor has the same name, which must not
// be taken for the same process.
struct RestartCase {
    std::string trigger;    // the message that triggers the restart
    bool restarts_receiver; // the receiver of the message restarts, not its sender
    friend std::ostream& operator<<(std::ostream& o, const RestartCase& b) {
        return o << b.trigger << (b.restarts_receiver ? " restarts the receiver" : " restarts the sender");
    }
};
class ImmediateRestart : public ::testing::TestWithParam<RestartCase> {};

TEST_P(ImmediateRestart, BreaksNoRule) {
    const auto p = GetParam();
    for (unsigned seed = 1; seed <= (sanitized ? 1 : 3); ++seed) {
        Day f(70 + seed, 5, 40);
        ASSERT_TRUE(f.settle(60)) << seed;
        int restarts = 0;
        f.on_sent = [&](std::size_t from, std::size_t to, const std::string& what) {
            if (restarts >= 10 || !what.starts_with(p.trigger))
                return;
            const auto i = p.restarts_receiver ? to : from;
            if (i >= f.nodes.size())
                return;
            ++restarts;
            f.send(f.between(0, 0.3), [&f, i] { f.crash(i, f.short_downtime_s()); });
        };
        // Faults that make the controllers send the message: leader changes, store outages, and a zone that the leader
        // doesn't reach.
        f.on_step = [&] {
            const bool handovers = p.trigger == "/peer/take"; // sent only if the leader has not changed within a lease
            if (!handovers && std::fmod(f.now, 20) < 0.1)
                f.crash(f.leader().value_or(0), f.short_downtime_s());
            if (std::fmod(f.now + 5, 40) < 0.1) {
                f.store_down = true;
                f.send(4, [&f] { f.end_outage(); });
            }
            if (std::fmod(f.now + 15, 45) < 0.1)
                f.cut(f.nodes[f.leader().value_or(0)].name, Fleet::zone("a"), Mode::drop, false, 15);
        };
        f.run_under_load(f.leases(5));
        EXPECT_EQ(first(f), "") << seed;
        EXPECT_GT(restarts, 0) << seed;
        EXPECT_EQ(f.end(), "") << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Day, ImmediateRestart,
                         ::testing::Values(RestartCase{"claim", false}, RestartCase{"hold", false},
                                           RestartCase{"commit", false}, RestartCase{"/peer/promise", true},
                                           RestartCase{"/peer/promise", false}, RestartCase{"/peer/agent", false},
                                           RestartCase{"/peer/agent", true}, RestartCase{"/peer/take", false},
                                           RestartCase{"/peer/take", true}));

TEST(ImmediateRestart, AllWithinASecondAndTenTimesAMinute) {
    Day f(81, 5, 40);
    ASSERT_TRUE(f.settle(60));
    f.on_step = [&] {
        if (std::fmod(f.now, 6) < 0.1 && f.now < 140)
            for (std::size_t i = 0; i < f.nodes.size(); ++i)
                f.send(f.between(0, 1), [&f, i] { f.crash(i, f.short_downtime_s()); });
    };
    f.run_under_load(90);
    f.on_step = {};
    f.run_under_load(f.leases(1));
    EXPECT_EQ(first(f), "");
    EXPECT_EQ(f.end(), "");
}

// All faults of this file and those of `inject_fault`, drawn by the seed.
struct RandomDay {
    std::size_t controllers;
    int machines;
    unsigned seed;
    friend std::ostream& operator<<(std::ostream& o, const RandomDay& d) {
        return o << d.controllers << ' ' << d.machines << ' ' << d.seed;
    }
};
class RandomDays : public ::testing::TestWithParam<RandomDay> {};

TEST_P(RandomDays, EndWithEveryJobKnownAndEveryClassServed) {
    const auto p = GetParam();
    Day f(p.seed, p.controllers, p.machines);
    f.job_interval_s = 20.0 / p.machines;
    f.delayed_share = 0.01;
    double next_fault = 25;
    f.on_step = [&] {
        if (f.n > 0 && f.chance() < 0.01)
            f.request_cancellation(fmt::format("wk-{:06}", 1 + f.random_index(static_cast<std::size_t>(f.n))));
        if (f.now < next_fault || f.now > 200)
            return;
        next_fault = f.now + f.between(2, 10);
        const double for_s = f.chance() < 0.8 ? f.between(1, 20) : 45;
        f.chance() < 0.6 ? f.inject_later_fault(for_s) : f.inject_fault(for_s);
    };
    f.run_under_load(240);
    EXPECT_EQ(first(f), "");
    EXPECT_EQ(f.end(), "");
    EXPECT_GT(f.started, p.machines);
}

INSTANTIATE_TEST_SUITE_P(Day, RandomDays,
                         ::testing::Values(RandomDay{3, 60, 1}, RandomDay{5, 60, 2}, RandomDay{7, 60, 3},
                                           RandomDay{5, 300, 4}, RandomDay{3, 60, 5}, RandomDay{5, 60, 6}));

} // namespace
} // namespace heronshift::testing
