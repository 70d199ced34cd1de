// Leader election without I/O: the leader lease, the candidate policy, the peer messages and the state machine.
#include "leadership/candidate_policy.hpp"
#include "leadership/election_state_machine.hpp"
#include "leadership/leader_lease.hpp"
#include "leadership/leader_records.hpp"
#include "leadership/peer_messages.hpp"
#include "leadership/store_outcome.hpp"

#include <gtest/gtest.h>

namespace heronshift::leadership {
namespace {

struct ExtensionVotes : ::testing::Test {
    static constexpr double ttl = 2;
    LeaderLease leader{ttl, 2, 0};
    void SetUp() override {
        leader.begin();
        leader.store_lease_renewed(100);
    }
};

TEST_F(ExtensionVotes, OfAllOthersExtendTheLeadersLease) {
    ASSERT_TRUE(leader.valid(101));
    EXPECT_FALSE(leader.extension_granted("b", 101, 101.1));
    EXPECT_FALSE(leader.valid(102)); // one vote of two peers is not enough
    SetUp();
    leader.extension_granted("b", 101.5, 101.6);
    leader.extension_granted("c", 101.4, 101.7);
    EXPECT_TRUE(leader.valid(102.2));
    EXPECT_FALSE(leader.valid(102.4)); // the extension counts from the earlier of the two vote requests
}

// Another node may have become leader in between, confirmed requests of users that this node doesn't know of, and lost
// the leadership again.
TEST_F(ExtensionVotes, DoNotUndoAnExpiry) {
    leader.extension_granted("b", 101.9, 102.5);
    leader.extension_granted("c", 101.9, 102.5);
    EXPECT_FALSE(leader.valid(102.5));
}

TEST_F(ExtensionVotes, AreNotGrantedByAPeerThatTheStoreServes) {
    LeaderLease peer(ttl, 2, 0);
    for (double t = 0; t < 10; t += 0.5)
        peer.record_store_answer(true, t);
    EXPECT_FALSE(peer.grant_extension(1, 10, true, false));
    EXPECT_FALSE(peer.grant_extension(1, 10, false, true)); // nor by a node that is not a follower
    EXPECT_TRUE(peer.may_acquire(10));
    EXPECT_TRUE(peer.grant_extension(1, 10, true, true));
    EXPECT_FALSE(peer.may_acquire(11));
    EXPECT_TRUE(peer.may_acquire(11.2));
}

// A new process honours a vote that its predecessor may have granted, for as long as leaders ask for at most. So no
// vote is granted for longer.
TEST_F(ExtensionVotes, AreGivenForNoLongerThanANewProcessKeepsThem) {
    LeaderLease peer(ttl, 2, 0);
    for (double t = 0; t < 10; t += 0.5)
        peer.record_store_answer(true, t);
    EXPECT_FALSE(peer.grant_extension(1.5 * peer.extension_s(), 10, true, true));
    EXPECT_TRUE(peer.grant_extension(peer.extension_s(), 10, true, true));
}

TEST_F(ExtensionVotes, ThatANewProcessMayHaveForgottenAreKept) {
    LeaderLease fresh(ttl, 2, 50);
    EXPECT_FALSE(fresh.may_acquire(51));
    EXPECT_TRUE(fresh.may_acquire(51.2));
    LeaderLease leader_before(ttl, 2, 50);
    leader_before.previous_process_was_leader(); // its predecessor was the leader and granted no vote to others
    EXPECT_TRUE(leader_before.may_acquire(50));
}

// A claim for the leadership that this node sent earlier may still be applied in the store, and would break a vote that
// the node grants meanwhile.
TEST_F(ExtensionVotes, AreNotGivenWhileAnAttemptMayStillBeApplied) {
    LeaderLease peer(ttl, 2, 0);
    EXPECT_FALSE(peer.grant_extension(1, 1, true, true)); // the previous process may have left a claim in flight
    for (double t = 0; t < 10; t += 0.5)
        peer.record_store_answer(true, t);
    ASSERT_TRUE(peer.grant_extension(1, 10, true, true));
    peer.acquisition_in_doubt();
    EXPECT_FALSE(peer.grant_extension(1, 20, true, true));
    peer.record_store_answer(true, 20);
    peer.record_store_answer(false, 24); // in an outage of the store its leases don't expire
    peer.record_store_answer(true, 25);
    peer.record_store_answer(true, 30);
    EXPECT_FALSE(peer.grant_extension(1, 30, true, true));
    peer.record_store_answer(true, 32);
    EXPECT_TRUE(peer.grant_extension(1, 32, true, true));
}

// Messages and records.

TEST(PeerMessages, ExtensionVoteRequestSurvivesTheWire) {
    const auto body = encode(ExtensionVoteRequest{"berth-1", 4, 0.5});
    EXPECT_EQ(body, R"({"forS":0.5,"node":"berth-1","term":4})");
    const auto request = decode_extension_vote_request(body);
    ASSERT_TRUE(request);
    EXPECT_EQ(request->node, "berth-1");
    EXPECT_EQ(request->term, 4U);
    EXPECT_EQ(request->duration_s, 0.5);
}

TEST(PeerMessages, ExtensionVoteRequestNeedsOnlyAPositiveLength) {
    EXPECT_TRUE(decode_extension_vote_request(R"({"forS":1})"));
    for (const auto* body : {"", "[]", "{}", R"({"forS":0})", R"({"forS":-1})", R"({"forS":"1"})"})
        EXPECT_FALSE(decode_extension_vote_request(body)) << body;
}

TEST(PeerMessages, ExtensionVoteAnswersSurviveTheWire) {
    using Vote = ExtensionVoteAnswer::Vote;
    for (const auto answer : {ExtensionVoteAnswer{Vote::granted, false}, ExtensionVoteAnswer{Vote::malformed, false},
                              ExtensionVoteAnswer{Vote::refused, false}, ExtensionVoteAnswer{Vote::refused, true}}) {
        const auto decoded = decode_extension_vote_answer(encode(answer));
        EXPECT_EQ(decoded.vote, answer.vote);
        EXPECT_EQ(decoded.served_by_store, answer.served_by_store);
    }
    EXPECT_EQ(decode_extension_vote_answer({0, ""}).vote, Vote::none);
    EXPECT_EQ(decode_extension_vote_answer({503, "{}"}).vote, Vote::none);
    EXPECT_FALSE(decode_extension_vote_answer({409, "no json"}).served_by_store);
}

TEST(PeerMessages, TakeoverRequestNeedsAllFields) {
    const auto request = decode_takeover_request(encode(TakeoverRequest{"berth-1", 4, 7}));
    ASSERT_TRUE(request);
    EXPECT_EQ(request->node, "berth-1");
    EXPECT_EQ(request->term, 4U);
    EXPECT_EQ(request->store_lease, 7U);
    for (const auto* body : {"", "{}", R"({"node":"berth-1","term":4})", R"({"node":"berth-1","term":-4,"hold":7})",
                             R"({"node":"","term":4,"hold":7})"})
        EXPECT_FALSE(decode_takeover_request(body)) << body;
}

TEST(PeerMessages, OnlyAnAcceptedTakeoverIsAccepted) {
    EXPECT_TRUE(takeover_accepted(encode(TakeoverAnswer::accepted)));
    for (const auto answer : {TakeoverAnswer::malformed, TakeoverAnswer::not_follower, TakeoverAnswer::outdated})
        EXPECT_FALSE(takeover_accepted(encode(answer)));
    EXPECT_FALSE(takeover_accepted({0, ""}));
}

TEST(LeaderRecords, SurviveTheStore) {
    const LeaderRecord record{"berth-1", 7, 4};
    EXPECT_EQ(decode_leader_record(codec::Item{leader_key, encode(record), 12, false, 7}), record);
    const TermCounter counter{4, 99};
    EXPECT_EQ(decode_term_counter(codec::Item{term_counter_key, encode(counter), 12, false, 0}), counter);
    EXPECT_FALSE(decode_leader_record(std::nullopt));
    EXPECT_FALSE(decode_term_counter(codec::Item{term_counter_key, "no object", 12, false, 0}));
}

TEST(StoreOutcomes, OfCallsWithoutAnAnswerSayWhetherTheyWereSent) {
    EXPECT_EQ(store_outcome({}), StoreOutcome::not_sent);
    store::Answer sent;
    sent.sent = true;
    EXPECT_EQ(store_outcome(sent), StoreOutcome::no_answer);
    EXPECT_TRUE(may_be_applied(StoreOutcome::no_answer));
    EXPECT_TRUE(may_be_applied(StoreOutcome::unreadable));
    EXPECT_FALSE(may_be_applied(StoreOutcome::not_sent));
    EXPECT_FALSE(may_be_applied(StoreOutcome::unavailable));
    EXPECT_FALSE(is_store_failure(StoreOutcome::rate_limited)); // the store did answer
}

// The candidate policy.

struct CandidatePolicyTest : ::testing::Test {
    Settings settings;
    CandidatePolicy policy{settings};
    LeaderObservation leader;
    void SetUp() override {
        settings.report_s = 2;
        settings.lease_s = 10;
        leader.store_reachable = true;
    }
    std::optional<Resignation> decide_at(double now) {
        leader.now = now;
        return policy.decide(leader);
    }
};

TEST_F(CandidatePolicyTest, StepsDownForAPeerThatStaysTheBetterCandidate) {
    leader.better_candidate = "berth-2";
    EXPECT_FALSE(decide_at(20));
    EXPECT_FALSE(decide_at(21));
    const auto resignation = decide_at(21.1);
    ASSERT_TRUE(resignation);
    EXPECT_EQ(resignation->reason, ResignReason::better_candidate);
    EXPECT_EQ(resignation->successors, std::vector<std::string>{"berth-2"});
}

TEST_F(CandidatePolicyTest, ForgetsACandidateThatIsNoLongerBetter) {
    leader.better_candidate = "berth-2";
    EXPECT_FALSE(decide_at(20));
    leader.better_candidate.reset();
    EXPECT_FALSE(decide_at(20.5));
    leader.better_candidate = "berth-2";
    EXPECT_FALSE(decide_at(21.1));
}

TEST_F(CandidatePolicyTest, ChangesAtMostOnceALeaseUnlessWorkersAreSilent) {
    leader.acquired_at = 15;
    leader.better_candidate = "berth-2";
    EXPECT_FALSE(decide_at(20));
    EXPECT_FALSE(decide_at(24));
    leader.workers_silent = true;
    EXPECT_TRUE(decide_at(24));
}

TEST_F(CandidatePolicyTest, KeepsTheLeadershipWhileTheStoreIsOutOfReach) {
    leader.store_reachable = false;
    leader.workers_silent = true;
    leader.better_candidate = "berth-2";
    EXPECT_FALSE(decide_at(20));
    EXPECT_FALSE(decide_at(40));
}

TEST_F(CandidatePolicyTest, StepsDownWithoutWorkersUnlessNobodyIsBetter) {
    leader.workers_silent = true;
    leader.no_better_candidate = true;
    EXPECT_FALSE(decide_at(20));
    leader.no_better_candidate = false;
    const auto resignation = decide_at(20);
    ASSERT_TRUE(resignation);
    EXPECT_EQ(resignation->reason, ResignReason::no_worker_heartbeats);
    EXPECT_TRUE(resignation->successors.empty());
}

TEST_F(CandidatePolicyTest, WaitsLongestForTheFirstHeartbeatOfATerm) {
    EXPECT_FALSE(policy.workers_silent({15, 10, -1, true}));
    EXPECT_TRUE(policy.workers_silent({15.1, 10, -1, true}));
    EXPECT_FALSE(policy.workers_silent({15, 10, 11, false}));
    EXPECT_TRUE(policy.workers_silent({15.1, 10, 11, false}));
    EXPECT_FALSE(policy.workers_silent({14, 10, 11, true}));
    EXPECT_TRUE(policy.workers_silent({14.1, 10, 11, true}));
}

// If the last renewal is old, the event loop of this node may just have been late; only a renewal that failed since
// then shows a refusal.
TEST(StoreRefusals, NeedAnOldRenewalAndAFailedOneSince) {
    EXPECT_TRUE(CandidatePolicy::store_refuses_renewals({11.5, 10, 10.5, 2}));
    EXPECT_FALSE(CandidatePolicy::store_refuses_renewals({11.3, 10, 10.5, 2}));
    EXPECT_FALSE(CandidatePolicy::store_refuses_renewals({11.5, 10, -1, 2}));
}

TEST(Successors, AreTheBestOfThoseServedAMomentAgo) {
    const membership::Eligibility poor{1, 1, 0, 0}, good{1, 3, 0, 0};
    const auto names = CandidatePolicy::successors(
        {{"berth-1", 9.8, poor}, {"berth-2", 9.8, good}, {"berth-3", 9.4, good}, {"berth-4", 9.9, good}}, 10, 2);
    EXPECT_EQ(names, (std::vector<std::string>{"berth-2", "berth-4", "berth-1"}));
}

// The state machine.

struct FixedHints final : LinkHints {
    bool reachable = true;
    std::optional<std::string> candidate;
    std::optional<membership::Membership::ReportedLeader> reported;
    [[nodiscard]] bool store_reachable() const override {
        return reachable;
    }
    [[nodiscard]] bool all_zones_lost() const override {
        return false;
    }
    [[nodiscard]] double last_worker_contact_at() const override {
        return -1;
    }
    [[nodiscard]] std::size_t machines_up() const override {
        return 0;
    }
    [[nodiscard]] double candidacy_delay_s() const override {
        return 0;
    }
    [[nodiscard]] std::optional<std::string> better_candidate() const override {
        return candidate;
    }
    [[nodiscard]] bool no_better_candidate() const override {
        return !candidate;
    }
    [[nodiscard]] std::optional<std::string> peer_served_by_store() const override {
        return {};
    }
    [[nodiscard]] std::optional<membership::Membership::ReportedLeader> reported_leader() const override {
        return reported;
    }
    [[nodiscard]] membership::Eligibility own_eligibility() const override {
        return {};
    }
    [[nodiscard]] membership::Eligibility eligibility(const std::string& /*peer*/) const override {
        return {};
    }
};

struct Election : ::testing::Test {
    static constexpr double start_at = 100; // late enough that a vote of an earlier process has expired
    Settings settings = make_settings();
    FixedHints hints;
    ElectionStateMachine machine{settings, hints, 0};

    static Settings make_settings() {
        Settings out;
        out.name = "berth-0";
        out.report_s = 2;
        out.lease_s = 10;
        for (const auto* name : {"berth-1", "berth-2"}) {
            out.peers.emplace_back();
            out.peers.back().name = name;
        }
        return out;
    }
    template <typename Action> static const Action* find(const ElectionActions& actions) {
        for (const auto& action : actions)
            if (const auto* found = std::get_if<Action>(&action.operation))
                return found;
        return nullptr;
    }
    // Runs the election up to the claim of the leadership; returns the epoch of the claim.
    std::uint64_t acquire() {
        auto actions = machine.start();
        actions = machine.leader_read(actions.at(0).epoch, start_at, StoreOutcome::not_found, {}, 0);
        actions = machine.store_lease_created(actions.at(0).epoch, StoreOutcome::ok, 7);
        actions = machine.term_counter_read(actions.at(0).epoch, StoreOutcome::ok, TermCounter{3, 12}, 50);
        const auto* claim = find<ClaimLeadership>(actions);
        EXPECT_NE(claim, nullptr);
        EXPECT_EQ(claim->record, (LeaderRecord{"berth-0", 7, 4}));
        EXPECT_EQ(claim->term_counter_revision, 50U);
        return actions.at(0).epoch;
    }
    void become_leader() {
        const auto actions = machine.claim_answered(acquire(), start_at + 0.1, StoreOutcome::ok, 51);
        ASSERT_NE(find<BeginTerm>(actions), nullptr);
        machine.state_loaded();
    }
};

TEST_F(Election, AFollowerTakesAFreeLeadershipInThreeSteps) {
    become_leader();
    EXPECT_TRUE(machine.is_leader());
    EXPECT_EQ(machine.term(), 4U);
    EXPECT_EQ(machine.leader(), "berth-0");
    EXPECT_TRUE(machine.valid(start_at + 1.8));
    EXPECT_FALSE(machine.valid(start_at + 1.95)); // the lease counts from the request for the store lease
}

TEST_F(Election, AFollowerFollowsTheLeaderThatTheStoreNames) {
    const auto epoch = machine.start().at(0).epoch;
    const auto actions = machine.leader_read(epoch, start_at, StoreOutcome::ok, LeaderRecord{"berth-1", 5, 9}, 40);
    ASSERT_NE(find<FollowLeader>(actions), nullptr);
    EXPECT_EQ(find<FollowLeader>(actions)->revision, 40U);
    EXPECT_EQ(machine.leader(), "berth-1");
    EXPECT_EQ(machine.leader_term(), 9U);
    EXPECT_TRUE(machine.sees_leader(start_at + 1));
    EXPECT_FALSE(machine.sees_leader(start_at + 4));
}

TEST_F(Election, ALeadershipOfAnEarlierProcessIsEnded) {
    const auto epoch = machine.start().at(0).epoch;
    const auto actions = machine.leader_read(epoch, start_at, StoreOutcome::ok, LeaderRecord{"berth-0", 5, 9}, 40);
    ASSERT_NE(find<RevokePreviousLease>(actions), nullptr);
    EXPECT_EQ(find<RevokePreviousLease>(actions)->store_lease, 5U);
}

TEST_F(Election, ARefusedClaimReturnsTheStoreLease) {
    const auto actions = machine.claim_answered(acquire(), start_at, StoreOutcome::conflict, 0);
    ASSERT_NE(find<RevokeStoreLease>(actions), nullptr);
    EXPECT_EQ(find<RevokeStoreLease>(actions)->store_lease, 7U);
    EXPECT_EQ(machine.role(), ElectionStateMachine::Role::follower);
}

// A claim without an answer may still be applied in the store, which would break a vote granted meanwhile.
TEST_F(Election, ANodeWithAClaimInDoubtVotesForNobody) {
    const ExtensionVoteRequest request{"berth-1", 9, 1};
    // Until no claim of an earlier process can be in flight.
    for (double now = start_at - 10; now < start_at; now += 0.5)
        (void)machine.vote(request, now, StoreOutcome::ok);
    const auto epoch = acquire();
    (void)machine.claim_answered(epoch, start_at, StoreOutcome::no_answer, 0);
    for (double now = start_at; now < start_at + 5; now += 0.5)
        (void)machine.vote(request, now, StoreOutcome::ok);
    EXPECT_EQ(machine.vote(request, start_at + 5, StoreOutcome::no_answer).vote, ExtensionVoteAnswer::Vote::refused);
    for (double now = start_at + 6; now < start_at + 13; now += 0.5)
        (void)machine.vote(request, now, StoreOutcome::ok);
    EXPECT_EQ(machine.vote(request, start_at + 13, StoreOutcome::no_answer).vote, ExtensionVoteAnswer::Vote::granted);
}

TEST_F(Election, ALeaderStopsActingBeforeItOffersTheLeadership) {
    become_leader();
    const auto actions = machine.resign({ResignReason::better_candidate, {"berth-2", "berth-1"}, {}});
    EXPECT_FALSE(machine.is_leader());
    EXPECT_FALSE(machine.valid(start_at + 0.2));
    ASSERT_EQ(actions.size(), 4U);
    EXPECT_TRUE(std::holds_alternative<EndTerm>(actions[0].operation));
    EXPECT_TRUE(std::holds_alternative<RevokeStoreLease>(actions[1].operation));
    EXPECT_TRUE(std::holds_alternative<ReadLeaderAfter>(actions[3].operation));
    const auto* offer = std::get_if<OfferTakeover>(&actions[2].operation);
    ASSERT_NE(offer, nullptr);
    EXPECT_EQ(offer->request.store_lease, 7U);
    EXPECT_EQ(offer->request.term, 4U);
    EXPECT_EQ(offer->successors.front(), "berth-2");
    EXPECT_EQ(machine.counts().handovers, 1U);
}

TEST_F(Election, AnswersOfAnEarlierEpochAreDropped) {
    become_leader();
    const auto renewal = machine.tick(start_at + 0.2).at(0);
    ASSERT_TRUE(std::holds_alternative<RenewStoreLease>(renewal.operation));
    (void)machine.resign({ResignReason::shutting_down, {}, {}});
    become_leader();
    EXPECT_TRUE(
        machine.store_lease_renewed(renewal.epoch, start_at + 0.3, start_at + 0.2, StoreOutcome::not_found).empty());
    EXPECT_TRUE(machine.is_leader());
}

TEST_F(Election, AnEndedStoreLeaseEndsTheTerm) {
    become_leader();
    const auto renewal = machine.tick(start_at + 0.2).at(0);
    const auto actions =
        machine.store_lease_renewed(renewal.epoch, start_at + 0.3, start_at + 0.2, StoreOutcome::not_found);
    EXPECT_NE(find<EndTerm>(actions), nullptr);
    EXPECT_FALSE(machine.is_leader());
}

TEST_F(Election, ALeaderWithoutTheStoreStaysByTheVotesOfAllPeers) {
    become_leader();
    const double asked_at = start_at + 1;
    const auto actions = machine.tick(asked_at);
    const auto* votes = find<RequestExtensionVotes>(actions);
    ASSERT_NE(votes, nullptr);
    EXPECT_EQ(votes->request.duration_s, 1);
    const ExtensionVoteAnswer granted{ExtensionVoteAnswer::Vote::granted, false};
    const double voted_at = start_at + 1.5;
    (void)machine.extension_vote_received(actions.at(0).epoch, voted_at, voted_at, "berth-1", granted);
    EXPECT_FALSE(machine.valid(start_at + 2.1));
    (void)machine.extension_vote_received(actions.at(0).epoch, voted_at, voted_at, "berth-2", granted);
    EXPECT_TRUE(machine.valid(start_at + 2.1));
}

TEST_F(Election, ALeaderRefusedByTheStoreHandsOverToAServedPeer) {
    become_leader();
    const double sent_at = start_at + 1.3, now = start_at + 1.5;
    const auto epoch = machine.tick(sent_at).at(0).epoch;
    (void)machine.store_lease_renewed(epoch, now, sent_at, StoreOutcome::no_answer);
    const ExtensionVoteAnswer served{ExtensionVoteAnswer::Vote::refused, true};
    EXPECT_NE(find<CheckServedPeersAfter>(machine.extension_vote_received(epoch, now, sent_at, "berth-2", served)),
              nullptr);
    const auto actions = machine.served_peers_due(epoch, now);
    ASSERT_NE(find<OfferTakeover>(actions), nullptr);
    EXPECT_EQ(find<OfferTakeover>(actions)->successors, std::vector<std::string>{"berth-2"});
}

TEST_F(Election, AFollowerTrustsTheReportOfAPeerUntilItIsOld) {
    hints.reported = {"berth-2", 6};
    (void)machine.tick(start_at);
    EXPECT_EQ(machine.leader(), "berth-2");
    EXPECT_EQ(machine.leader_term(), 6U);
    EXPECT_FALSE(machine.sees_leader(start_at));
    hints.reported.reset();
    (void)machine.tick(start_at + 5);
    EXPECT_EQ(machine.leader(), "");
}

} // namespace
} // namespace heronshift::leadership
