// Unit tests of the membership: link health, peer views and their freshness, eligibility, relays, zone health.
#include "membership/eligibility.hpp"
#include "membership/observed_clients.hpp"
#include "membership/peer_views.hpp"
#include "membership/relay_choice.hpp"
#include "membership/zone_health.hpp"

#include <gtest/gtest.h>

namespace heronshift::membership {
namespace {

constexpr auto reachable = Reachability::reachable;
constexpr auto unreachable = Reachability::unreachable;
constexpr auto unknown = Reachability::unknown;

// With heartbeats every 4 s and a lease of 40 s all derived thresholds are round numbers.
Settings test_settings() {
    Settings settings;
    settings.name = "c1";
    settings.zones = {"a", "b"};
    settings.peers = {{"c0", "a", {}}, {"c2", "b", {}}};
    settings.report_s = 4;
    settings.lease_s = 40;
    return settings;
}

PeerView make_view(const std::string& node, Reachability store, std::map<std::string, Reachability> zones) {
    PeerView view;
    view.node = node;
    view.store = store;
    view.zones = std::move(zones);
    return view;
}

void set_view(PeerViews& peers, const PeerView& view, double made_at) {
    auto* peer = peers.find(view.node);
    ASSERT_NE(peer, nullptr);
    peer->view = view;
    peer->view_made_at = made_at;
}

// --- link health ---

TEST(LinkHealth, IsLostOnlyAfterEnoughFailuresAndEnoughTime) {
    LinkHealth link({.min_outage_s = 2, .min_failures = 2, .min_recovery_s = 1});
    EXPECT_EQ(link.reach(), unknown);
    link.record_success(10);
    EXPECT_EQ(link.reach(), reachable);
    EXPECT_FALSE(link.record_failure(13)); // the outage is long enough, but has only one failure
    EXPECT_TRUE(link.record_failure(13.5));
    EXPECT_EQ(link.reach(), unreachable);
    EXPECT_EQ(link.failing_since(), 13);
    EXPECT_FALSE(link.record_failure(14)); // the link is lost already
}

TEST(LinkHealth, ThatHasNeverWorkedIsLostByTheTimeSinceTheFirstFailure) {
    LinkHealth link({.min_outage_s = 2, .min_failures = 2, .min_recovery_s = 1});
    EXPECT_FALSE(link.record_failure(10));
    EXPECT_FALSE(link.record_failure(11.9));
    EXPECT_TRUE(link.record_failure(12));
    EXPECT_EQ(link.succeeded_at(), std::nullopt);
}

TEST(LinkHealth, IsBackOnlyAfterWorkingWithoutAFailureForAWhile) {
    LinkHealth link({.min_outage_s = 0, .min_failures = 1, .min_recovery_s = 1});
    EXPECT_TRUE(link.record_failure(10));
    EXPECT_FALSE(link.record_success(11));
    EXPECT_FALSE(link.record_failure(11.5)); // restarts the recovery time
    EXPECT_FALSE(link.record_success(12));
    EXPECT_FALSE(link.record_success(12.9));
    EXPECT_TRUE(link.lost());
    EXPECT_TRUE(link.record_success(13));
    EXPECT_EQ(link.reach(), reachable);
}

// --- freshness ---

TEST(PeerViewFreshness, EndsAfterOneHeartbeatInterval) {
    EXPECT_FALSE(is_fresh(never, 0, 4));
    EXPECT_TRUE(is_fresh(0, 0, 4));
    EXPECT_TRUE(is_fresh(10, 13.9, 4));
    EXPECT_FALSE(is_fresh(10, 14, 4));
}

TEST(PeerViewFreshness, CountsADelayBeyondTheErrorsOfTheClocks) {
    EXPECT_EQ(view_made_at(1000, 1002, 50, 1), 50); // the difference is within the clock error
    EXPECT_EQ(view_made_at(1000, 1005, 50, 1), 47); // at least 3 s of delay
    EXPECT_EQ(view_made_at(1005, 1000, 50, 1), 50); // a sender's clock that is ahead never puts a view into the future
}

TEST(PeerViewsTest, ReportTheLeaderOfTheGreatestTermAmongFreshViews) {
    const auto settings = test_settings();
    PeerViews peers(settings);
    EXPECT_FALSE(peers.reported_leader(10));
    auto first = make_view("c0", reachable, {});
    first.sees_leader = true;
    first.leader = "c2";
    first.term = 4;
    auto second = make_view("c2", reachable, {});
    second.is_active_leader = true;
    second.leader = "c2";
    second.term = 5;
    set_view(peers, first, 10);
    set_view(peers, second, 8);
    EXPECT_EQ(peers.reported_leader(11)->term, 5U);
    EXPECT_EQ(peers.reported_leader(12)->term, 4U) << "the second view is stale";
    first.sees_leader = false;
    set_view(peers, first, 10);
    EXPECT_FALSE(peers.reported_leader(12)) << "c0 does not see the leader itself";
}

TEST(PeerViewJson, LeavesOutWhatIsOutOfBounds) {
    const std::string long_name(129, 'x');
    const auto read = view(R"({"node":"c0","storeS":-1,"cloudS":2,"store":"new word","peers":{")" + long_name +
                           R"(":"works","c2":"lost"},"machines":{"a":["1","2",3,"4","5","6"]},"term":-1})");
    ASSERT_TRUE(read);
    EXPECT_EQ(read->store_s, std::nullopt);
    EXPECT_EQ(read->cloud_s, 2);
    EXPECT_EQ(read->store, unknown);
    EXPECT_EQ(read->peers, (std::map<std::string, Reachability>{{"c2", unreachable}}));
    EXPECT_EQ(read->machines.at("a"), (std::vector<std::string>{"1", "2", "4", "5"}));
    EXPECT_EQ(read->term, 0U);
    EXPECT_FALSE(view("[]"));
    EXPECT_FALSE(view(R"({"node":")" + long_name + R"("})"));
}

// --- eligibility ---

TEST(EligibilityOrder, ComparesStoreThenZonesThenZonesThroughOthersThenCloud) {
    EXPECT_GT((Eligibility{1, 0, 0, 0}), (Eligibility{0, 9, 9, 1}));
    EXPECT_GT((Eligibility{1, 2, 0, 0}), (Eligibility{1, 1, 9, 1}));
    EXPECT_GT((Eligibility{1, 1, 1, 0}), (Eligibility{1, 1, 0, 1}));
    EXPECT_GT((Eligibility{1, 1, 1, 1}), (Eligibility{1, 1, 1, 0}));
}

TEST(Evaluate, CountsUnknownLinksAsTold) {
    const auto view = make_view("c0", unknown, {{"a", unknown}}); // zone b is not reported at all
    const std::vector<std::string> zones{"a", "b"};
    EXPECT_EQ(evaluate(view, {}, zones, UnknownLinks::as_unreachable), (Eligibility{0, 0, 0, 1}));
    EXPECT_EQ(evaluate(view, {}, zones, UnknownLinks::as_reachable), (Eligibility{1, 2, 0, 1}));
}

TEST(Evaluate, CountsAZoneThroughAnotherThatReachesItAndAnswers) {
    auto candidate = make_view("c0", reachable, {{"a", reachable}, {"b", unreachable}});
    const auto relay = make_view("c2", unreachable, {{"b", reachable}});
    const std::vector<std::string> zones{"a", "b"};
    const auto evaluated = [&] { return evaluate(candidate, {&candidate, &relay}, zones, UnknownLinks::as_reachable); };
    EXPECT_EQ(evaluated(), (Eligibility{1, 1, 0, 1})) << "the link to c2 is unknown";
    candidate.peers["c2"] = unreachable;
    EXPECT_EQ(evaluated(), (Eligibility{1, 1, 0, 1}));
    candidate.peers["c2"] = reachable;
    EXPECT_EQ(evaluated(), (Eligibility{1, 1, 1, 1}));
}

TEST(Evaluate, IsNoRelayOfItsOwn) {
    auto candidate = make_view("c0", reachable, {{"a", unknown}});
    candidate.peers["c0"] = reachable;
    auto earlier = candidate;
    earlier.zones["a"] = reachable;
    EXPECT_EQ(evaluate(candidate, {&earlier}, {"a"}, UnknownLinks::as_unreachable), (Eligibility{1, 0, 0, 1}));
}

TEST(CouldLead, TakesTheStoreAndSomeWorkers) {
    EXPECT_TRUE(could_lead({1, 1, 0, 0}));
    EXPECT_TRUE(could_lead({1, 0, 1, 0}));
    EXPECT_FALSE(could_lead({1, 0, 0, 1}));
    EXPECT_FALSE(could_lead({0, 2, 0, 1}));
}

TEST(AnsweredSinceLost, AsksForAnAnswerFromAfterTheFailureBegan) {
    LinkHealth link({.min_outage_s = 0, .min_failures = 2, .min_recovery_s = 1});
    EXPECT_TRUE(answered_since_lost({}, link, 4)) << "the link is not lost";
    link.record_failure(10);
    link.record_failure(11);
    EXPECT_FALSE(answered_since_lost({}, link, 4));
    EXPECT_FALSE(answered_since_lost(10.4, link, 4)) << "the answer may have been sent before the outage began";
    EXPECT_TRUE(answered_since_lost(10.5, link, 4));
}

TEST(BestAbove, IsTheFirstOfTheBestThatBeatThisNode) {
    const Eligibility low{1, 0, 0, 1}, middle{1, 1, 0, 1}, high{1, 2, 0, 1};
    EXPECT_EQ(best_candidate_above(middle, {{"c0", low}, {"c2", middle}}), std::nullopt);
    EXPECT_EQ(best_candidate_above(low, {{"c0", middle}, {"c2", high}, {"c3", high}}), "c2");
}

TEST(CandidacyDelay, YieldsToBetterOnesAndStaggersEqualOnes) {
    const auto settings = test_settings();
    const Eligibility own{1, 1, 0, 1}, better{1, 2, 0, 1};
    const double stagger_s = settings.report_s / 40, yield_s = settings.lease_s / 4;
    EXPECT_EQ(candidacy_delay_s(settings, own, {}, true), 0);
    EXPECT_EQ(candidacy_delay_s(settings, own, {{"c0", own}, {"c2", own}}, true), stagger_s)
        << "only c0 precedes this node";
    EXPECT_EQ(candidacy_delay_s(settings, own, {{"c0", own}, {"c2", better}}, true), yield_s);
}

TEST(CandidacyDelay, YieldsWithoutWorkersUnlessNobodyIsBetter) {
    const auto settings = test_settings();
    const Eligibility no_workers{1, 0, 0, 1};
    EXPECT_EQ(candidacy_delay_s(settings, no_workers, {}, false), settings.lease_s / 4);
    EXPECT_EQ(candidacy_delay_s(settings, no_workers, {}, true), 0);
}

// --- relays ---

TEST(RelayChoiceTest, TakesTurnsAmongPeersThatReachTheZone) {
    const auto settings = test_settings();
    PeerViews peers(settings);
    RelayChoice relays(peers);
    EXPECT_EQ(relays.to_zone("a", 10), std::nullopt);
    set_view(peers, make_view("c0", unknown, {{"a", reachable}}), 10);
    set_view(peers, make_view("c2", unknown, {{"a", reachable}, {"b", unreachable}}), 12);
    EXPECT_EQ(relays.to_zone("b", 12), std::nullopt);
    EXPECT_EQ(relays.to_zone("a", 12), "c0");
    EXPECT_EQ(relays.to_zone("a", 12), "c2");
    EXPECT_EQ(relays.to_zone("a", 12), "c0");
    EXPECT_EQ(relays.to_zone("a", 15), "c2") << "the view of c0 is stale";
    auto& link = peers.find("c2")->link;
    link.record_failure(10);
    link.record_failure(15);
    EXPECT_EQ(relays.to_zone("a", 15), std::nullopt) << "the link to c2 is lost";
}

TEST(RelayChoiceTest, PrefersTheNamedPeerForTheStore) {
    const auto settings = test_settings();
    PeerViews peers(settings);
    const RelayChoice relays(peers);
    set_view(peers, make_view("c0", reachable, {}), 10);
    set_view(peers, make_view("c2", reachable, {}), 10);
    EXPECT_EQ(relays.to_store("c2", 10), "c2");
    EXPECT_EQ(relays.to_store("c9", 10), "c0");
    set_view(peers, make_view("c2", unknown, {}), 10);
    EXPECT_EQ(relays.to_store("c2", 10), "c0");
}

TEST(RelayChoiceTest, SendsWorkersToTheLeaderUnlessItSaysThatItDoesNotReachThem) {
    const auto settings = test_settings();
    PeerViews peers(settings);
    const RelayChoice relays(peers);
    EXPECT_TRUE(relays.leader_reaches("c0", "a", 10));
    set_view(peers, make_view("c0", unknown, {{"a", unreachable}, {"b", unknown}}), 10);
    EXPECT_FALSE(relays.leader_reaches("c0", "a", 10));
    EXPECT_TRUE(relays.leader_reaches("c0", "b", 10));
    EXPECT_TRUE(relays.leader_reaches("c0", "a", 14)) << "the view is stale";
}

// --- zones ---

TEST(MachineSamplesTest, KeepTheSameMachinesUntilOneIsSilent) {
    const auto settings = test_settings();
    MachineSamples samples(settings);
    for (const char* address : {"m1", "m2", "m3", "m4", "m5"})
        samples.record_heartbeat(address, 10);
    EXPECT_EQ(samples.addresses_within_lease(10), (std::vector<std::string>{"m1", "m2", "m3", "m4"}));
    for (const char* address : {"m1", "m3", "m4"})
        samples.record_heartbeat(address, 16);
    samples.record_heartbeat("m5", 16); // m2 has been silent for exactly 1.5 heartbeat intervals: not yet too long
    EXPECT_EQ(samples.addresses_within_lease(16), (std::vector<std::string>{"m1", "m2", "m3", "m4"}));
    samples.record_heartbeat("m5", 16.1);
    EXPECT_EQ(samples.addresses_within_lease(16.1), (std::vector<std::string>{"m1", "m5", "m3", "m4"}));
}

TEST(MachineSamplesTest, DropSilentMachinesOnlyWhereOthersReport) {
    const auto settings = test_settings();
    MachineSamples samples(settings);
    samples.replace({"m1", "m2"}, 10);
    samples.drop_stale(20);
    EXPECT_EQ(samples.next_in_rotation(3), (std::vector<std::string>{"m1", "m2"}))
        << "all machines are silent: the zone may be unreachable";
    samples.record_heartbeat("m2", 20);
    samples.drop_stale(20);
    EXPECT_EQ(samples.next_in_rotation(3), std::vector<std::string>{"m2"});
    samples.drop_stale(100);
    EXPECT_FALSE(samples.empty()) << "kept for up to two leases";
    samples.drop_stale(100.1);
    EXPECT_TRUE(samples.empty());
}

TEST(ZoneHealthTest, SilenceOfAllMachinesCountsOnlyForTheActiveLeader) {
    const auto settings = test_settings();
    ZoneHealth zone(settings);
    using Check = ZoneHealth::SilenceCheck;
    EXPECT_FALSE(zone.record_heartbeat("m1", 10));
    EXPECT_EQ(zone.reach(true), reachable);
    EXPECT_EQ(zone.reach(false), unknown);
    EXPECT_EQ(zone.check_silence(4, 5, 15.9), Check::unchanged);
    EXPECT_EQ(zone.check_silence(3, 5, 16), Check::unchanged)
        << "a small fleet is lost only after 2.5 heartbeat intervals";
    EXPECT_EQ(zone.check_silence(4, 11, 16), Check::unchanged)
        << "silence counts from when this node became the active leader";
    EXPECT_EQ(zone.check_silence(4, 5, 16), Check::lost);
    EXPECT_EQ(zone.reach(true), unreachable);
    EXPECT_EQ(zone.reach(false), unknown);
}

TEST(ZoneHealthTest, InboundSilenceIsForgottenAfterALease) {
    const auto settings = test_settings();
    ZoneHealth zone(settings);
    using Check = ZoneHealth::SilenceCheck;
    EXPECT_EQ(zone.check_silence(4, 4, 10), Check::lost);
    zone.record_relayed_heartbeat("m1", 49); // proves that the machine is alive, but nothing about the link
    EXPECT_EQ(zone.check_silence(4, 4, 50), Check::unchanged);
    EXPECT_EQ(zone.reach(true), unreachable);
    EXPECT_EQ(zone.check_silence(4, 4, 50.1), Check::inbound_reset);
    EXPECT_EQ(zone.reach(true), unknown);
}

TEST(ZoneHealthTest, AProbeRoundFailsOnlyIfNobodyAnswers) {
    const auto settings = test_settings();
    ZoneHealth zone(settings);
    zone.adopt_machines({"m1", "m2", "m3"}, true, 10);
    EXPECT_EQ(zone.start_probe_round(10), (std::vector<std::string>{"m1", "m2"}));
    EXPECT_TRUE(zone.start_probe_round(11).empty()) << "a probe round is in progress";
    EXPECT_FALSE(zone.finish_probe(true, 11));
    EXPECT_FALSE(zone.finish_probe(false, 11));
    EXPECT_EQ(zone.reach(false), reachable);
    EXPECT_EQ(zone.start_probe_round(14), (std::vector<std::string>{"m3", "m1"}));
    EXPECT_FALSE(zone.finish_probe(false, 14));
    EXPECT_FALSE(zone.finish_probe(false, 14)) << "one failed round is not enough";
    EXPECT_EQ(zone.start_probe_round(15).size(), 2U);
    EXPECT_FALSE(zone.finish_probe(false, 15));
    EXPECT_TRUE(zone.finish_probe(false, 15));
    EXPECT_EQ(zone.reach(false), unreachable);
}

TEST(ZoneHealthTest, AnExecutorThatCannotProbeProvesNothing) {
    const auto settings = test_settings();
    ZoneHealth zone(settings);
    zone.adopt_machines({"m1"}, true, 10);
    for (const double now : {10, 15, 20}) {
        ASSERT_EQ(zone.start_probe_round(now).size(), 1U);
        EXPECT_FALSE(zone.finish_probe(std::nullopt, now));
    }
    EXPECT_EQ(zone.reach(false), unknown);
}

TEST(ZoneHealthTest, ARecoveredProbeForgetsInboundSilence) {
    const auto settings = test_settings();
    ZoneHealth zone(settings);
    zone.adopt_machines({"m1"}, true, 10);
    EXPECT_EQ(zone.check_silence(4, 4, 10), ZoneHealth::SilenceCheck::lost);
    for (const double now : {10, 15}) {
        ASSERT_EQ(zone.start_probe_round(now).size(), 1U);
        zone.finish_probe(false, now);
    }
    EXPECT_EQ(zone.reach(false), unreachable);
    ASSERT_EQ(zone.start_probe_round(16).size(), 1U);
    EXPECT_FALSE(zone.finish_probe(true, 16)) << "probes have to succeed for the recovery time first";
    ASSERT_EQ(zone.start_probe_round(20).size(), 1U);
    EXPECT_TRUE(zone.finish_probe(true, 20));
    EXPECT_EQ(zone.reach(true), reachable);
}

TEST(ZoneHealthTest, MachinesThatPeersOnlyRememberAreNotShared) {
    const auto settings = test_settings();
    ZoneHealth zone(settings);
    zone.adopt_machines({"m1"}, false, 50);
    EXPECT_TRUE(zone.machines_to_share(50).empty());
    EXPECT_EQ(zone.start_probe_round(50), std::vector<std::string>{"m1"})
        << "machines that are not shared are still probed";
    zone.adopt_machines({"m2"}, false, 50);
    EXPECT_TRUE(zone.machines_to_share(50).empty()) << "machines of this zone are known already";
    zone.adopt_machines({"m3"}, true, 50);
    EXPECT_EQ(zone.machines_to_share(50), std::vector<std::string>{"m3"});
    zone.adopt_machines({}, true, 50);
    EXPECT_EQ(zone.machines_to_share(50), std::vector<std::string>{"m3"});
}

// --- answers of the store ---

TEST(ObservedStoreAnswers, CountARefusalAsAnAnswer) {
    const auto counts = [](int status) {
        store::Answer answer;
        answer.status = status;
        return is_from_store(answer);
    };
    for (const int status : {200, 404, 409, 429})
        EXPECT_TRUE(counts(status)) << status;
    for (const int status : {0, 502, 503})
        EXPECT_FALSE(counts(status)) << status;
}

} // namespace
} // namespace heronshift::membership
