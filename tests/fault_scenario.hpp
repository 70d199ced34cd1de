// Scenarios of concurrent faults: what happens to a fleet under load, and the checks that all scenarios share
// (docs/combined-faults.md says which combination of faults each scenario covers).
#pragma once

#include "fault_injection.hpp"

#include <gtest/gtest.h>

namespace heronshift::testing {

struct FaultyFleet : FaultInjection {
    explicit FaultyFleet(unsigned seed, std::size_t controllers = 5)
        : FaultInjection(seed + seed_offset(), controllers, 24) {
        before_step = [this] {
            if (on_step)
                on_step();
        };
    }
    std::function<void()> on_step;
    int extra_jobs = 0; // jobs submitted besides the steady load

    // This and `limit_teams` have to be called before the first step, in which the controllers start.
    void limit_store(double changes_per_s) {
        settings.state_rps = 100;
        settings.state_write_rps = changes_per_s;
        settings.value_kb = 4;
        settings.txn_ops = 12;
        engine = std::make_unique<store::Engine>(store::memory_data(), store::Limits{100, changes_per_s, 12, 4});
    }
    void limit_teams(double cpus) {
        double services = 0;
        for (const auto& [id, spec] : jobs)
            services += spec.shape == Shape::service ? spec.tasks * spec.each.cpus : 0;
        settings.teams = {{"red", cpus / 2, cpus, 0, 0}, {"blue", cpus / 2 + services, cpus + services, 0, 0}};
    }
    // The first violation of a rule, empty if there is none.
    std::string violation() {
        if (!violations.empty())
            return first(*this);
        return cancelled_launches > 0
                   ? fmt::format("{} tasks launched although their jobs were cancelled", cancelled_launches)
                   : "";
    }
    std::string run_final_checks() {
        on_step = {};
        return final_checks(std::max(leases(5), 90.0), leases(3));
    }
    bool due_every(double seconds, double from = 0) const {
        return std::fmod(now + from, seconds) < 0.1;
    }
};

// Events and limits of one test, which begins once the fleet is under load.
struct Scenario {
    const char* name;
    std::function<void(FaultyFleet&)> begin;
    double for_s = 90;
    double changes_per_s = 0; // rate limit of the store's writes; 0: the fleet's default
    // Whether the faults that `name` announces occurred; empty: not checked.
    std::function<bool(const FaultyFleet&)> faults_occurred = nullptr;
    double team_cpus = 0; // the limit of each team, beyond what the services use; 0: the fleet's default
    // The longest run time of a task, if it exceeds the final checks: a task that is lost late runs again from the
    // start.
    double longest_task_s = 0;
    friend std::ostream& operator<<(std::ostream& o, const Scenario& s) {
        return o << s.name;
    }
};

inline void cancel_random_jobs(FaultyFleet& f, double share) {
    for (auto& [id, u] : f.users_by_job)
        if (u.accepted() && u.observed.done_at < 0 && f.jobs[id].shape != Shape::service && f.chance() < share)
            f.request_cancellation(id);
}

// Makes a share of the machines unreachable for `for_s` seconds: each is cut off, hanging, unreachable inbound or
// unreachable outbound.
inline void make_machines_unreachable(FaultyFleet& f, double share, double for_s) {
    std::vector<std::string> list;
    for (auto& [id, w] : f.workers)
        if (!w.dead && f.chance() < share)
            list.push_back(id);
    for (const auto& id : list) {
        const auto k = f.random_index(4);
        auto& w = f.workers[id];
        if (k == 0)
            w.cut = true;
        if (k == 1)
            w.hung = true;
        if (k == 2)
            f.make_inbound_unreachable(id, f.names());
        if (k == 3)
            f.outbound_unreachable.insert(id);
    }
    f.send(for_s, [&f, list] {
        for (const auto& id : list) {
            f.inbound_unreachable.erase(id);
            f.outbound_unreachable.erase(id);
            if (const auto w = f.workers.find(id); w != f.workers.end())
                w->second.cut = w->second.hung = false;
        }
    });
}

inline void crash_leader(FaultyFleet& f, double for_s = 1) {
    f.crash(f.leader().value_or(0), for_s);
}

inline void begin_store_outage(FaultyFleet& f, double for_s) {
    f.store_down = true;
    f.send(for_s, [&f] { f.end_outage(); });
}

inline std::string add(FaultyFleet& f, JobSpec spec, int& n) {
    ++n;
    spec.id = fmt::format("wk-{:06}", 800'000 + ++f.extra_jobs);
    f.submit_as_user(spec);
    return spec.id;
}

// Runs until every job submitted more than three leases ago is final, but for `for_s` seconds at most.
inline void finish_old_jobs(FaultyFleet& f, double for_s) {
    for (const double end = f.now + for_s; f.now < end && f.unfinished(f.leases(3)) > 0;)
        f.step(0.1);
}

// Runs a scenario and checks the rules, all answers to users, that the announced faults occurred, and the final checks.
inline void run_scenario(const Scenario& scenario, unsigned seed) {
    FaultyFleet f(seed);
    if (scenario.changes_per_s > 0)
        f.limit_store(scenario.changes_per_s);
    if (scenario.team_cpus > 0)
        f.limit_teams(scenario.team_cpus);
    ASSERT_TRUE(f.settle(40)) << seed;
    scenario.begin(f);
    f.run_under_load(scenario.for_s);
    EXPECT_EQ(f.violation(), "") << seed;
    if (scenario.faults_occurred) {
        EXPECT_TRUE(scenario.faults_occurred(f)) << seed;
    }
    f.task_duration = {};
    f.poll_after_changes = false;
    EXPECT_EQ(f.run_final_checks(), "") << seed;
    EXPECT_EQ(
        std::count_if(f.users_by_job.begin(), f.users_by_job.end(), [](const auto& a) { return !a.second.accepted(); }),
        0);
    finish_old_jobs(f, scenario.longest_task_s);
    EXPECT_EQ(f.unfinished(f.leases(3)), 0) << seed; // nothing stays suspected, reserved or counted forever
}

} // namespace heronshift::testing
