// Tests each condition that proves that a task is not on a machine, and the parts of the cluster state that depend on
// no others: the dependency tracker and the queues of orders.
#include "cluster/cluster_data.hpp"
#include "cluster/dependency_tracker.hpp"
#include "cluster/gone_proof.hpp"
#include "cluster/order_queues.hpp"

#include <gtest/gtest.h>

using namespace heronshift;
using namespace heronshift::cluster;

namespace {

constexpr std::uint64_t term = 7;
constexpr std::uint64_t first_token = term << token_counter_bits;

Heartbeat heartbeat_of(std::uint64_t agent_epoch, std::uint64_t counter, std::uint64_t fencing_token) {
    Heartbeat heartbeat;
    heartbeat.agent_epoch = agent_epoch;
    heartbeat.counter = counter;
    heartbeat.fencing_token = fencing_token;
    return heartbeat;
}

Entry sent_entry(std::uint64_t fencing_token) {
    Entry entry;
    entry.phase = Phase::sent;
    entry.fencing_token = fencing_token;
    return entry;
}

} // namespace

TEST(GoneProof, OnlyATokenOfTheTermShowsThatTheTermWasSeen) {
    EXPECT_TRUE(has_seen_term(heartbeat_of(1, 1, first_token), term));
    EXPECT_TRUE(has_seen_term(heartbeat_of(1, 1, first_token + 5), term));
    EXPECT_FALSE(has_seen_term(heartbeat_of(1, 1, first_token - 1), term));
    EXPECT_FALSE(has_seen_term(heartbeat_of(1, 1, (term + 1) << token_counter_bits), term));
}

TEST(GoneProof, HeartbeatsAreOrderedByEpochAndThenByCounter) {
    Machine machine;
    machine.agent_epoch = 3;
    machine.counter = 10;
    EXPECT_TRUE(is_newest(heartbeat_of(3, 11, 0), machine));
    EXPECT_TRUE(is_newest(heartbeat_of(4, 1, 0), machine));
    EXPECT_FALSE(is_newest(heartbeat_of(3, 10, 0), machine));
    EXPECT_FALSE(is_newest(heartbeat_of(2, 99, 0), machine));
}

TEST(GoneProof, ANewerEpochEndsATaskOfAnEarlierOne) {
    Entry entry;
    entry.agent_epoch = 3;
    EXPECT_FALSE(ended_by_epoch(entry, heartbeat_of(3, 1, 0)));
    EXPECT_TRUE(ended_by_epoch(entry, heartbeat_of(4, 1, 0)));
}

TEST(GoneProof, AnUnlistedTaskIsGoneIfItWasSeenOrItsLaunchIsRuledOut) {
    auto entry = sent_entry(first_token);
    EXPECT_FALSE(proves_gone(entry, heartbeat_of(1, 1, first_token)));
    EXPECT_TRUE(proves_gone(entry, heartbeat_of(1, 1, first_token + 1)));
    entry.seen = true;
    EXPECT_TRUE(proves_gone(entry, heartbeat_of(1, 1, first_token)));
}

TEST(GoneProof, AHeartbeatSaysNothingAboutALaunchThatIsStillToBeSent) {
    auto entry = sent_entry(first_token);
    for (const auto phase : {Phase::intent, Phase::storing, Phase::stored}) {
        entry.phase = phase;
        EXPECT_FALSE(proves_gone(entry, heartbeat_of(1, 1, first_token + 1)));
        EXPECT_FALSE(launch_open(entry));
        EXPECT_EQ(never_sent(entry), phase == Phase::stored);
    }
}

TEST(GoneProof, ALaunchIsOpenUntilItWasSeen) {
    auto entry = sent_entry(first_token);
    EXPECT_TRUE(launch_open(entry));
    entry.seen = true;
    EXPECT_FALSE(launch_open(entry));
}

TEST(GoneProof, OnlyARefusalOrOrdersThatWereNeverSentAreSurelyNotExecuted) {
    OrdersAnswered answer;
    answer.sent = true;
    for (const int status : {0, 200, 500, 503}) {
        answer.status = status;
        EXPECT_FALSE(proves_not_executed(answer)) << status;
    }
    answer.status = 409;
    EXPECT_TRUE(proves_not_executed(answer));
    answer.status = 0;
    answer.sent = false;
    EXPECT_TRUE(proves_not_executed(answer));
}

TEST(GoneProof, ALeaseHasSurelyExpiredOnlyAfterTheDriftOfClocksAndAMargin) {
    Settings settings;
    settings.lease_s = 20;
    settings.report_s = 3;
    const double expires_after_s = 20 * 1.001 + 3 * 0.05;
    EXPECT_DOUBLE_EQ(lease_surely_expires_after_s(settings), expires_after_s);
    Machine machine;
    machine.lease_started_at = 100;
    EXPECT_FALSE(lease_surely_expired(machine, 100 + 20, settings));
    EXPECT_FALSE(lease_surely_expired(machine, 100 + expires_after_s - 0.001, settings));
    EXPECT_TRUE(lease_surely_expired(machine, 100 + expires_after_s + 0.001, settings));
}

TEST(DependencyTracker, LooksUpAFewJobsAtATimeAndOnlyThoseThatAreNeeded) {
    DependencyTracker tracker;
    for (int i = 0; i < 12; ++i) {
        const auto needed = "wk-" + std::to_string(i);
        tracker.add(needed, "wk-100");
        tracker.schedule_lookup(needed, i);
    }
    tracker.remove({"wk-0"}, "wk-100");
    int started = 0;
    while (const auto id = tracker.next_due_lookup(100)) {
        EXPECT_NE(*id, "wk-0");
        tracker.lookup_started();
        ++started;
    }
    EXPECT_EQ(started, 8);
    tracker.lookup_ended();
    EXPECT_EQ(tracker.next_due_lookup(100), "wk-9");
    tracker.schedule_lookup("wk-9", 200);
    EXPECT_EQ(tracker.next_due_lookup(100), "wk-10");
}

TEST(DependencyTracker, ForgetsTheDependentsOfASettledJob) {
    DependencyTracker tracker;
    tracker.add("wk-1", "wk-3");
    tracker.add("wk-1", "wk-2");
    ASSERT_NE(tracker.dependents_of("wk-1"), nullptr);
    EXPECT_EQ(tracker.take_dependents_of("wk-1"), (std::set<std::string>{"wk-2", "wk-3"}));
    EXPECT_EQ(tracker.dependents_of("wk-1"), nullptr);
    EXPECT_TRUE(tracker.take_dependents_of("wk-1").empty());
}

TEST(DispatchQueue, TakesAMachineThatIsAddedMeanwhileOnce) {
    Machine first, second;
    DispatchQueue queue;
    queue.add(first);
    queue.add(second);
    std::vector<const Machine*> order;
    queue.drain([&](Machine& machine) {
        order.push_back(&machine);
        queue.add(second); // still in the queue at the first call, already removed at the second
    });
    EXPECT_EQ(order, (std::vector<const Machine*>{&first, &second}));
    queue.drain([&](Machine& machine) { order.push_back(&machine); });
    EXPECT_EQ(order, (std::vector<const Machine*>{&first, &second, &second}));
}

TEST(HeartbeatRequests, AreLimitedAndQueueAMachineOnce) {
    Settings settings;
    HeartbeatRequests requests(settings);
    std::vector<Machine> machines(50);
    for (auto& machine : machines) {
        requests.add(machine);
        requests.add(machine);
    }
    int sent = 0;
    while (requests.next(machines.size()))
        requests.sent(machines[static_cast<std::size_t>(sent++)]);
    EXPECT_EQ(sent, 40);
    requests.answered(machines[0]);
    requests.forget(machines[1]);
    EXPECT_TRUE(requests.next(machines.size()));
}
