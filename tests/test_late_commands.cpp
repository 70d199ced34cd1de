// Commands to machines that arrive seconds to minutes late: after a stop or a newer launch by the same leader, after
// commands of its successor, at a machine that hung in between, or at an agent that has started a new session.
#include "fault_scenario.hpp"

namespace heronshift::testing {
namespace {

void hold_commands(FaultyFleet& f, double share) {
    f.late_commands.share = share;
    f.task_duration = [&f](std::uint32_t) { return f.between(3, 25); };
}

void hang_some(FaultyFleet& f, double share, double for_s) {
    for (auto& [id, machine] : f.workers)
        if (!machine.dead && f.chance() < share)
            machine.hung = true;
    f.send(for_s, [&f] {
        for (auto& [id, machine] : f.workers)
            machine.hung = false;
    });
}

std::vector<Scenario> scenarios() {
    std::vector<Scenario> list;
    list.push_back({"UnderTheSameTokenAfterStopsAndNewerLaunches", [](FaultyFleet& f) {
                        hold_commands(f, 0.4);
                        f.on_step = [&f] {
                            if (f.due_every(3))
                                cancel_random_jobs(f, 0.15);
                        };
                    }});
    list.back().faults_occurred = [](const FaultyFleet& f) {
        return f.late_commands.executed > 0 && f.late_commands.refused_by_token > 0;
    };
    list.push_back({"OfALeaderThatHasEnded", [](FaultyFleet& f) {
                        hold_commands(f, 0.6);
                        f.on_step = [&f] {
                            if (f.due_every(8))
                                crash_leader(f, f.between(0.1, 3));
                            if (f.due_every(2))
                                cancel_random_jobs(f, 0.1);
                        };
                    }});
    list.back().for_s = 240; // in 90 s not every seed has both outcomes
    list.back().faults_occurred = [](const FaultyFleet& f) {
        return f.late_commands.executed_for_former_leader > 0 && f.late_commands.refused_by_token > 0;
    };
    list.push_back({"OfALeaderThatIsDeposed", [](FaultyFleet& f) {
                        hold_commands(f, 0.4);
                        f.on_step = [&f] {
                            if (f.due_every(20))
                                f.isolate(f.leader().value_or(0), Mode::drop, f.between(8, 16));
                            if (f.due_every(2))
                                cancel_random_jobs(f, 0.1);
                        };
                    }});
    list.back().faults_occurred = [](const FaultyFleet& f) {
        return f.leader_changes.size() > 1 && f.late_commands.held > 0;
    };
    list.push_back({"AtMachinesThatHangAndGoOn", [](FaultyFleet& f) {
                        hold_commands(f, 0.2);
                        f.on_step = [&f] {
                            if (f.due_every(25))
                                hang_some(f, 0.4, f.between(4, 18));
                            if (f.due_every(25, -5))
                                crash_leader(f);
                            if (f.due_every(2))
                                cancel_random_jobs(f, 0.1);
                        };
                    }});
    list.back().faults_occurred = [](const FaultyFleet& f) { return f.late_commands.held_by_hang > 0; };
    list.push_back({"MinutesLateInANewSession",
                    [](FaultyFleet& f) {
                        hold_commands(f, 0.3);
                        f.late_commands.shortest_s = f.leases(1);
                        f.late_commands.longest_s = f.leases(5);
                        f.on_step = [&f] {
                            if (f.due_every(17))
                                for (auto& [id, machine] : f.workers)
                                    if (f.chance() < 0.3)
                                        f.restart(id);
                            if (f.due_every(29))
                                crash_leader(f);
                            if (f.due_every(4))
                                cancel_random_jobs(f, 0.1);
                        };
                    },
                    150});
    list.back().faults_occurred = [](const FaultyFleet& f) {
        return f.late_commands.refused_by_session > 0 && f.late_commands.refused_by_token > 0;
    };
    return list;
}

class LateCommands : public ::testing::TestWithParam<Scenario> {};

TEST_P(LateCommands, BreakNoRule) {
    for (unsigned seed = 1; seed <= (sanitized ? 1 : 3); ++seed)
        run_scenario(GetParam(), 800 + seed);
}

INSTANTIATE_TEST_SUITE_P(Held, LateCommands, ::testing::ValuesIn(scenarios()),
                         [](const auto& p) { return std::string(p.param.name); });

} // namespace
} // namespace heronshift::testing
