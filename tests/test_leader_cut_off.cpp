// The state service refuses only the leader, another controller confirms cancellations, and then the service is down
// for all controllers for longer than `cancel_s`, while workers still send heartbeats to the old leader. Cancelled
// tasks must not keep running there.
#include "fault_injection.hpp"

#include <gtest/gtest.h>

namespace heronshift::testing {
namespace {

struct LeaderCutOff : FaultInjection {
    LeaderCutOff(unsigned seed, std::size_t controllers) : FaultInjection(seed + other_seeds(), controllers, 24) {
        every_s = 6;
        takes = [this](std::uint32_t) { return between(60, 110); }; // longer than `cancel_s`
        before_step = [this] { every_step(); };
    }
    double cancel_until = -1, next_cancel = 0;
    std::size_t cancels = 0;
    int expirations_before = 0;
    bool in_handover = false; // the outage began during a change of leader, when no node was leader

    // Users cancel running jobs, ten per second.
    void every_step() {
        if (now > cancel_until || now < next_cancel)
            return;
        next_cancel = now + 0.1;
        std::vector<std::string> running;
        for (const auto& [id, w] : workers)
            for (const auto& t : w.tasks)
                if (t.state == TaskState::running && jobs[t.job].shape != Shape::service && !asks[t.job].cancels)
                    running.push_back(t.job);
        if (running.empty())
            return;
        request_cancellation(running[pick(running.size())]);
        ++cancels;
    }
    std::string what_is_wrong() {
        if (!broken.empty())
            return first(*this);
        if (started_cancelled > 0)
            return fmt::format("{} tasks started after their cancellation", started_cancelled);
        return {};
    }
};

enum class Besides : std::uint8_t { nothing, answers_lost, leader_ends, machines_hang, machines_cut, peers_cut };

struct Scenario {
    std::size_t controllers;
    double after_s; // time between the refusal and the outage
    Besides besides;
    friend std::ostream& operator<<(std::ostream& o, const Scenario& s) {
        return o << s.controllers << " outage after " << s.after_s << " additional fault " << static_cast<int>(s.besides);
    }
};

std::vector<Scenario> scenarios() {
    std::vector<Scenario> out;
    for (const std::size_t n : {3U, 5U})
        for (const double after : {0.1, 0.5, 1.0, 1.5, 2.0, 5.0, 8.0})
            for (const auto b : {Besides::nothing, Besides::answers_lost, Besides::leader_ends, Besides::machines_hang,
                                 Besides::machines_cut, Besides::peers_cut})
                if (!sanitized || (out.size() + static_cast<std::size_t>(b)) % 5 == 0)
                    out.push_back({n, after, b});
    return out;
}

// Plays the sequence once: the refusal, the cancellations, the outage, and the end of all faults.
void pass(LeaderCutOff& f, const Scenario& s, std::size_t asked_at) {
    const auto leader = *f.leader();
    const auto n = f.nodes.size();
    // Users send cancellations to the old leader, or to the node that stands `asked_at` places behind it. If `asked_at`
    // is not below the number of nodes, the load balancer chooses.
    if (asked_at < n)
        f.cancels_at = (leader + asked_at) % n;
    f.cancel_until = f.now + s.after_s;
    f.nodes[leader].refused_by_store = true;
    if (s.besides == Besides::answers_lost)
        f.lost_answers = 0.5;
    if (s.besides == Besides::peers_cut)
        for (std::size_t o = 0; o < n; ++o)
            if (o != leader)
                f.both(f.nodes[leader].name, f.nodes[o].name, Mode::drop);
    if (s.besides == Besides::leader_ends)
        f.send(s.after_s * f.chance(), [&f, leader] { f.crash(leader, 1); });
    if (s.besides == Besides::machines_hang || s.besides == Besides::machines_cut)
        for (auto& [id, w] : f.workers)
            if (f.chance() < 0.3)
                (s.besides == Besides::machines_hang ? w.hung : w.cut) = true;
    f.work(s.after_s);
    f.store_down = true;
    f.lost_answers = 0;
    f.expirations_before = f.expirations;
    f.send(f.between(5, f.settings.lease_s * 0.8), [&f] {
        for (auto& [id, w] : f.workers)
            w.hung = w.cut = false;
    });
    f.work(0.5);
    f.in_handover = !f.leader();
    f.work(f.settings.cancel_s + 12);
    f.heal();
    f.nodes[leader].refused_by_store = false;
    f.cancels_at.reset();
    f.end_outage();
}

class LeaderCutOffScenarios : public ::testing::TestWithParam<Scenario> {};

TEST_P(LeaderCutOffScenarios, NoTaskOutlivesItsCancellation) {
    const auto s = GetParam();
    const auto where = static_cast<std::size_t>(s.after_s * 10 + static_cast<int>(s.besides)) % 3;
    LeaderCutOff f(400, s.controllers);
    ASSERT_TRUE(f.settle(45));
    pass(f, s, where); // cancellations go to the old leader or to one of the next two nodes
    EXPECT_EQ(f.what_is_wrong(), "");
    EXPECT_GT(f.cancels, 0U);
    // Cancellations are confirmed to users once the successor acts as leader. Workers get answers all the time, so no
    // lease expires.
    if (s.besides == Besides::nothing) {
        if (s.after_s != 5) { // at 5 s it depends on when users ask again
            EXPECT_EQ(f.cancelled.empty(), s.after_s < 5);
        }
        EXPECT_FALSE(f.in_handover); // the outage began before or after the change of leader
        EXPECT_EQ(f.expirations, f.expirations_before);
    }
    f.work(f.leases(2));
    ASSERT_TRUE(f.leader());
    if (s.after_s >= 2)
        pass(f, s, 99); // a second time in the same run; the load balancer chooses the node
    EXPECT_EQ(f.what_is_wrong(), "");
    f.takes = {};
    EXPECT_EQ(f.final_checks(f.leases(5), f.settings.cancel_s * 2), "");
    EXPECT_EQ(f.what_is_wrong(), "");
}

INSTANTIATE_TEST_SUITE_P(LeaderCutOff, LeaderCutOffScenarios, ::testing::ValuesIn(scenarios()));

// Guards against a leader that resigned without a successor, because its view of its peers was older than the outage.
TEST(LeaderCutOff, ALeaderWithAllExtensionVotesStays) {
    for (unsigned k = 0; k < (sanitized ? 4 : 24); ++k) {
        LeaderCutOff f(450 + k, 5);
        ASSERT_TRUE(f.settle(45 + 0.1 * k)) << k;
        const auto leader = *f.leader();
        pass(f, {5, 0.5 + 0.1 * (k % 12), Besides::nothing}, 99);
        EXPECT_EQ(f.what_is_wrong(), "") << k;
        EXPECT_EQ(f.leader(), leader) << k;
        EXPECT_EQ(f.expirations, f.expirations_before) << k;
    }
}

} // namespace
} // namespace heronshift::testing
