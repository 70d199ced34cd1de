// Tasks are cancelled on machines that hang and resume before their lease expires. The tasks must be gone within
// `cancel_s` of the confirmation to the user, also if the leader has changed or the store is unavailable.
#include "fault_scenario.hpp"

namespace heronshift::testing {
namespace {

constexpr double longest_task_s = 120;

// Makes some machines hang, with tasks that would run for longer than `cancel_s`. They resume before their leases
// expire.
void hang_with_long_tasks(FaultyFleet& f) {
    std::vector<std::string> hung_ids;
    for (auto& [id, machine] : f.workers) {
        if (machine.dead || f.chance() < 0.5)
            continue;
        machine.hung = true;
        hung_ids.push_back(id);
    }
    f.send(f.leases(f.between(0.3, 0.8)), [&f, hung_ids] {
        for (const auto& id : hung_ids)
            if (const auto machine = f.workers.find(id); machine != f.workers.end())
                machine->second.hung = false;
    });
}

Scenario hung(const char* name, const std::function<void(FaultyFleet&)>& additional_fault) {
    Scenario s{name, [additional_fault](FaultyFleet& f) {
                   f.task_duration = [&f](std::uint32_t) { return f.between(90, longest_task_s); };
                   f.job_interval_s = 8;
                   f.on_step = [&f, additional_fault, last_job = f.now + 90] {
                       if (f.now > last_job) // so that all placed tasks have ended before the final checks
                           f.next_job = 1e9;
                       if (!f.due_every(60))
                           return;
                       hang_with_long_tasks(f);
                       cancel_random_jobs(f, 0.6);
                       if (additional_fault)
                           additional_fault(f);
                   };
               }};
    s.for_s = 150;
    s.longest_task_s = longest_task_s;
    s.faults_occurred = [](const FaultyFleet& f) { return f.cancelled.size() > 5; };
    return s;
}

std::vector<Scenario> scenarios() {
    return {
        hung("UnderOneLeader", {}),
        hung("TheLeaderEndsOnceTheyAreConfirmed", [](FaultyFleet& f) { f.send(3, [&f] { crash_leader(f, 2); }); }),
        hung("TheStoreIsOutAfterwards",
             [](FaultyFleet& f) { f.send(3, [&f] { begin_store_outage(f, f.leases(1)); }); }),
        hung("TheLeaderEndsAndThenTheStoreIsOut",
             [](FaultyFleet& f) {
                 f.send(3, [&f] { crash_leader(f, 2); });
                 f.send(9, [&f] { begin_store_outage(f, f.leases(1)); });
             }),
    };
}

class HungMachines : public ::testing::TestWithParam<Scenario> {};

TEST_P(HungMachines, CancelledTasksAreGoneInTime) {
    for (unsigned seed = 1; seed <= (sanitized ? 1 : 3); ++seed)
        run_scenario(GetParam(), 900 + seed);
}

INSTANTIATE_TEST_SUITE_P(GoOn, HungMachines, ::testing::ValuesIn(scenarios()),
                         [](const auto& p) { return std::string(p.param.name); });

} // namespace
} // namespace heronshift::testing
