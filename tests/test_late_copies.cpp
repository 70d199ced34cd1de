// Late copies of requests that were carried out and answered: the network delivers them once more, seconds to minutes
// later, also to a machine or a controller that has been away for a moment in between.
#include "fault_scenario.hpp"

namespace heronshift::testing {
namespace {

constexpr unsigned copy_seeds = sanitized ? 1 : 3;

bool is_command_link(const std::string& from, const std::string& to) {
    return from.starts_with("berth-") && to.starts_with("workers ");
}

void copy_commands(FaultyFleet& f) {
    f.late_copies.share = 0.5;
    f.late_copies.on_link = is_command_link;
    f.task_duration = [&f](std::uint32_t) { return f.between(3, 25); };
}

// Lets half of the machines get only direct commands, and the other half only answers to heartbeats.
void reach_machines_one_way(FaultyFleet& f, double share, double for_s) {
    for (auto& [id, machine] : f.workers)
        if (f.chance() < share)
            (f.chance() < 0.5 ? f.heartbeat_answers_lost : f.commands_lost).insert(id);
    f.send(for_s, [&f] {
        f.heartbeat_answers_lost.clear();
        f.commands_lost.clear();
    });
}

void cut_off_some_machines(FaultyFleet& f, double share, double for_s) {
    for (auto& [id, machine] : f.workers)
        machine.cut = machine.cut || f.chance() < share;
    f.send(for_s, [&f] {
        for (auto& [id, machine] : f.workers)
            machine.cut = false;
    });
}

bool copies_were_refused(const FaultyFleet& f) {
    return f.late_copies.arrived > 0 && f.copied_commands.refused_by_token > 0;
}

void add_gangs(FaultyFleet& f) {
    for (int k = 0; k < 3; ++k)
        add(f, job(1, Shape::gang, 3, 4, k == 0 ? "red" : "blue"), f.n);
}

void fail_on_some_machines(FaultyFleet& f, double share) {
    for (auto& [id, machine] : f.workers)
        machine.sick = f.chance() < share;
}

void restart_some_machines(FaultyFleet& f, double share) {
    for (auto& [id, machine] : f.workers)
        if (!machine.dead && f.chance() < share)
            f.restart(id);
}

Scenario scenario(const char* name, std::function<void(FaultyFleet&)> begin) {
    Scenario out{name, std::move(begin)};
    out.faults_occurred = copies_were_refused;
    return out;
}

std::vector<Scenario> scenarios() {
    std::vector<Scenario> list;
    list.push_back(scenario("AfterTasksFailed", [](FaultyFleet& f) {
        copy_commands(f);
        f.on_step = [&f] {
            if (f.due_every(20))
                fail_on_some_machines(f, 0.3);
            if (f.now > 100)
                fail_on_some_machines(f, 0);
        };
    }));
    list.push_back(scenario("AfterTasksWereDone", [](FaultyFleet& f) { copy_commands(f); }));
    list.push_back(scenario("AfterTasksWereMovedOrCancelled", [](FaultyFleet& f) {
        copy_commands(f);
        f.on_step = [&f] {
            if (f.due_every(3))
                cancel_random_jobs(f, 0.15);
            if (f.due_every(15))
                add_gangs(f);
        };
    }));
    list.push_back(scenario("AfterALeaderWasAwayForAMoment", [](FaultyFleet& f) {
        copy_commands(f);
        f.on_step = [&f] {
            if (f.due_every(9))
                crash_leader(f, f.between(0.1, 0.9));
            if (f.due_every(4))
                cancel_random_jobs(f, 0.1);
        };
    }));
    list.push_back(scenario("AfterMachinesWereAwayForAMoment", [](FaultyFleet& f) {
        copy_commands(f);
        f.on_step = [&f] {
            if (f.due_every(12))
                restart_some_machines(f, 0.3);
            if (f.due_every(4))
                cancel_random_jobs(f, 0.1);
        };
    }));
    list.back().faults_occurred = [](const FaultyFleet& f) {
        return copies_were_refused(f) && f.copied_commands.refused_by_session > 0;
    };
    list.push_back(scenario("AfterLeasesExpired", [](FaultyFleet& f) {
        copy_commands(f);
        f.late_copies.share = 1;
        f.late_copies.max_copies = 4;
        f.late_copies.longest_s = f.leases(3);
        f.on_step = [&f] {
            if (f.due_every(30))
                cut_off_some_machines(f, 0.5, f.leases(0.95));
        };
    }));
    list.back().for_s = 240; // in 90 s copies to new sessions do not occur with every seed
    list.back().faults_occurred = [](const FaultyFleet& f) {
        return copies_were_refused(f) && f.copied_commands.refused_by_session > 0;
    };
    list.push_back(scenario("AtMachinesThatAreReachedOneWay", [](FaultyFleet& f) {
        copy_commands(f);
        f.on_step = [&f] {
            if (f.due_every(20))
                reach_machines_one_way(f, 0.4, 12);
            if (f.due_every(5))
                cancel_random_jobs(f, 0.1);
        };
    }));
    list.push_back(scenario("OfOrdersThatOtherControllersRelayed", [](FaultyFleet& f) {
        copy_commands(f);
        f.late_copies.on_link = [](const std::string& from, const std::string& to) {
            return is_command_link(from, to) || (from.starts_with("berth-") && to.starts_with("berth-"));
        };
        f.on_step = [&f] {
            if (f.due_every(25))
                f.cut(f.name(0), Fleet::zone("a"), Mode::drop, false, 15);
            if (f.due_every(4))
                cancel_random_jobs(f, 0.1);
        };
    }));
    return list;
}

class LateLaunchCopies : public ::testing::TestWithParam<Scenario> {};

// Guards against a task that starts again from a copy of its launch, although it was reaped and may run elsewhere.
TEST_P(LateLaunchCopies, StartNoTaskAgain) {
    for (unsigned seed = 1; seed <= copy_seeds; ++seed)
        run_scenario(GetParam(), 900 + seed);
}

// Guards against a copy of orders that another controller could not relay, and answered so: the leader has placed their
// tasks elsewhere by the time they are relayed.
TEST(LateCopies, OfOrdersThatWereNotRelayedStartNoTaskTwice) {
    for (unsigned seed = 1; seed <= copy_seeds; ++seed) {
        FaultyFleet f(960 + seed);
        ASSERT_TRUE(f.settle(40)) << seed;
        f.late_copies.share = 1;
        f.late_copies.longest_s = 6;
        f.late_copies.on_link = [](const std::string& from, const std::string& to) {
            return from.starts_with("berth-") && to.starts_with("berth-");
        };
        f.task_duration = [&f](std::uint32_t) { return f.between(3, 25); };
        f.on_step = [&f] {
            const auto zone = Fleet::zone("a");
            if (f.due_every(12))
                f.cut(f.name(0), zone, Mode::drop, true, 9);
            for (std::size_t peer = 1; peer < f.nodes.size() && f.due_every(12, -3); ++peer)
                f.cut(f.name(peer), zone, Mode::refuse, true, 2.5);
        };
        f.run_under_load(150);
        EXPECT_EQ(f.violation(), "") << seed;
    }
}

// Guards against a copy of a transaction that the store refused: the leader has other plans by the time it is applied.
TEST(LateCopies, OfRefusedTransactionsAreNotTakenForLaterOnes) {
    for (unsigned seed = 1; seed <= copy_seeds; ++seed) {
        FaultyFleet f(980 + seed);
        ASSERT_TRUE(f.settle(40)) << seed;
        f.late_copies.share = 1;
        f.late_copies.longest_s = 3;
        f.late_copies.shortest_s = 0.1;
        f.late_copies.on_link = [](const std::string&, const std::string& to) { return to == Fleet::state; };
        f.poll_after_changes = true;
        f.on_step = [&f] {
            if (f.due_every(2))
                cancel_random_jobs(f, 0.2);
            if (f.due_every(5))
                begin_store_outage(f, f.between(0.3, 2));
            if (f.due_every(19))
                crash_leader(f);
        };
        f.run_under_load(120);
        EXPECT_EQ(f.violation(), "") << seed;
        EXPECT_EQ(f.run_final_checks(), "") << seed;
    }
}

// Guards against a late copy of any answered message, on any link, that breaks a rule together with other faults.
TEST(LateCopiesSoak, NoRuleIsBroken) {
    for (unsigned seed = 1; seed <= (sanitized ? 1U : 4U); ++seed) {
        FaultyFleet f(950 + seed);
        ASSERT_TRUE(f.settle(40)) << seed;
        f.late_copies.share = 0.15;
        f.poll_after_changes = true;
        f.task_duration = [&f](std::uint32_t) { return f.between(3, 25); };
        f.on_step = [&f] {
            if (f.due_every(4))
                cancel_random_jobs(f, 0.1);
            if (f.due_every(16))
                f.inject_fault(f.between(3, 12));
            if (f.due_every(16, 8))
                f.inject_later_fault(f.between(3, 12));
        };
        f.run_under_load(soak_s());
        EXPECT_EQ(f.violation(), "") << seed;
        EXPECT_GT(f.late_copies.arrived, 1000) << seed;
        EXPECT_GT(f.copied_commands.refused_by_token, 0) << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Arrive, LateLaunchCopies, ::testing::ValuesIn(scenarios()),
                         [](const auto& p) { return std::string(p.param.name); });

} // namespace
} // namespace heronshift::testing
