// The state service refuses only the leader, another controller confirms cancellations, and then the service is down
// for all controllers for longer than `cancel_s`, while workers still send heartbeats to the old leader. Cancelled
// tasks must not keep running there.
#include "fault_injection.hpp"

#include <gtest/gtest.h>

namespace heronshift::testing {
namespace {

struct LeaderCutOff : FaultInjection {
    LeaderCutOff(unsigned seed, std::size_t controllers) : FaultInjection(seed + seed_offset(), controllers, 24) {
        job_interval_s = 6;
        task_duration = [this](std::uint32_t) { return between(60, 110); }; // longer than `cancel_s`
        before_step = [this] { cancel_running_jobs(); };
    }
    double cancel_until = -1, next_cancel = 0;
    std::size_t cancels = 0;
    int expirations_before = 0;
    bool in_handover = false; // the outage began during a change of leader, when no node was leader

    // Users cancel running jobs, ten per second.
    void cancel_running_jobs() {
        if (now > cancel_until || now < next_cancel)
            return;
        next_cancel = now + 0.1;
        std::vector<std::string> running;
        for (const auto& [id, w] : workers)
            for (const auto& t : w.tasks)
                if (t.state == TaskState::running && jobs[t.job].shape != Shape::service &&
                    !users_by_job[t.job].cancels)
                    running.push_back(t.job);
        if (running.empty())
            return;
        request_cancellation(running[random_index(running.size())]);
        ++cancels;
    }
    std::string violation() {
        if (!violations.empty())
            return first(*this);
        if (cancelled_launches > 0)
            return fmt::format("{} tasks started after their cancellation", cancelled_launches);
        return {};
    }
};

enum class AdditionalFault : std::uint8_t { none, answers_lost, leader_ends, machines_hang, machines_cut, peers_cut };

struct Scenario {
    std::size_t controllers;
    double outage_after_s; // time between the refusal and the outage
    AdditionalFault additional_fault;
    friend std::ostream& operator<<(std::ostream& o, const Scenario& s) {
        return o << s.controllers << " outage after " << s.outage_after_s << " additional fault "
                 << static_cast<int>(s.additional_fault);
    }
};

std::vector<Scenario> scenarios() {
    std::vector<Scenario> out;
    for (const std::size_t n : {3U, 5U})
        for (const double after : {0.1, 0.5, 1.0, 1.5, 2.0, 5.0, 8.0})
            for (const auto b :
                 {AdditionalFault::none, AdditionalFault::answers_lost, AdditionalFault::leader_ends,
                  AdditionalFault::machines_hang, AdditionalFault::machines_cut, AdditionalFault::peers_cut})
                if (!sanitized || (out.size() + static_cast<std::size_t>(b)) % 5 == 0)
                    out.push_back({n, after, b});
    return out;
}

// Plays the sequence once: the refusal, the cancellations, the outage, and the end of all faults.
void run_outage(LeaderCutOff& f, const Scenario& s, std::size_t node_offset) {
    const auto leader = *f.leader();
    const auto n = f.nodes.size();
    // Users send cancellations to the old leader, or to the node that stands `node_offset` places behind it. If
    // `node_offset` is not below the number of nodes, the load balancer chooses.
    if (node_offset < n)
        f.cancellation_node = (leader + node_offset) % n;
    f.cancel_until = f.now + s.outage_after_s;
    f.nodes[leader].refused_by_store = true;
    if (s.additional_fault == AdditionalFault::answers_lost)
        f.lost_answer_share = 0.5;
    if (s.additional_fault == AdditionalFault::peers_cut)
        for (std::size_t o = 0; o < n; ++o)
            if (o != leader)
                f.set_both(f.nodes[leader].name, f.nodes[o].name, Mode::drop);
    if (s.additional_fault == AdditionalFault::leader_ends)
        f.send(s.outage_after_s * f.chance(), [&f, leader] { f.crash(leader, 1); });
    if (s.additional_fault == AdditionalFault::machines_hang || s.additional_fault == AdditionalFault::machines_cut)
        for (auto& [id, w] : f.workers)
            if (f.chance() < 0.3)
                (s.additional_fault == AdditionalFault::machines_hang ? w.hung : w.cut) = true;
    f.run_under_load(s.outage_after_s);
    f.store_down = true;
    f.lost_answer_share = 0;
    f.expirations_before = f.expirations;
    f.send(f.between(5, f.settings.lease_s * 0.8), [&f] {
        for (auto& [id, w] : f.workers)
            w.hung = w.cut = false;
    });
    f.run_under_load(0.5);
    f.in_handover = !f.leader();
    f.run_under_load(f.settings.cancel_s + 12);
    f.heal();
    f.nodes[leader].refused_by_store = false;
    f.cancellation_node.reset();
    f.end_outage();
}

class LeaderCutOffScenarios : public ::testing::TestWithParam<Scenario> {};

TEST_P(LeaderCutOffScenarios, NoTaskOutlivesItsCancellation) {
    const auto s = GetParam();
    const auto where = static_cast<std::size_t>(s.outage_after_s * 10 + static_cast<int>(s.additional_fault)) % 3;
    LeaderCutOff f(400, s.controllers);
    ASSERT_TRUE(f.settle(45));
    run_outage(f, s, where); // cancellations go to the old leader or to one of the next two nodes
    EXPECT_EQ(f.violation(), "");
    EXPECT_GT(f.cancels, 0U);
    // Cancellations are confirmed to users once the successor acts as leader. Workers get answers all the time, so no
    // lease expires.
    if (s.additional_fault == AdditionalFault::none) {
        if (s.outage_after_s != 5) { // at 5 s it depends on when users ask again
            EXPECT_EQ(f.cancelled.empty(), s.outage_after_s < 5);
        }
        EXPECT_FALSE(f.in_handover); // the outage began before or after the change of leader
        EXPECT_EQ(f.expirations, f.expirations_before);
    }
    f.run_under_load(f.leases(2));
    ASSERT_TRUE(f.leader());
    if (s.outage_after_s >= 2)
        run_outage(f, s, 99); // a second time in the same run; the load balancer chooses the node
    EXPECT_EQ(f.violation(), "");
    f.task_duration = {};
    EXPECT_EQ(f.final_checks(f.leases(5), f.settings.cancel_s * 2), "");
    EXPECT_EQ(f.violation(), "");
}

INSTANTIATE_TEST_SUITE_P(LeaderCutOff, LeaderCutOffScenarios, ::testing::ValuesIn(scenarios()));

// Guards against a leader that resigned without a successor, because its view of its peers was older than the outage.
TEST(LeaderCutOff, ALeaderWithAllExtensionVotesStays) {
    for (unsigned k = 0; k < (sanitized ? 4 : 24); ++k) {
        LeaderCutOff f(450 + k, 5);
        ASSERT_TRUE(f.settle(45 + 0.1 * k)) << k;
        const auto leader = *f.leader();
        run_outage(f, {5, 0.5 + 0.1 * (k % 12), AdditionalFault::none}, 99);
        EXPECT_EQ(f.violation(), "") << k;
        EXPECT_EQ(f.leader(), leader) << k;
        EXPECT_EQ(f.expirations, f.expirations_before) << k;
    }
}

} // namespace
} // namespace heronshift::testing
