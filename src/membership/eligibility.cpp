#include "membership/eligibility.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace heronshift::membership {
namespace {

// Fraction of report_s: how long an answer that was in flight when an outage began may still take to arrive.
constexpr double in_flight_answer_heartbeats = 1.0 / 10;
// Fraction of lease_s: how long this node waits before it tries to acquire a free leadership, so that a better
// candidate can acquire it first.
constexpr double candidacy_delay_leases = 1.0 / 4;
// Fraction of report_s: how long this node waits for each equally eligible candidate whose name sorts before its own.
constexpr double stagger_heartbeats = 1.0 / 40;

// Whether the candidate can reach the zone's workers by relaying through the controller that sent the view `other`.
bool reaches_zone_through(const PeerView& candidate, const PeerView& other, const std::string& zone) {
    const auto link = candidate.peers.find(other.node);
    return other.node != candidate.node && zone_reachability(other, zone) == Reachability::reachable &&
           link != candidate.peers.end() && link->second == Reachability::reachable;
}

} // namespace

std::string describe(const Eligibility& eligibility) {
    return fmt::format("store {}, zones {}, through others {}", eligibility.store, eligibility.zones,
                       eligibility.zones_via_peers);
}

Eligibility evaluate(const PeerView& candidate, const std::vector<const PeerView*>& all_views,
                     const std::vector<std::string>& zones, UnknownLinks unknown_links) {
    const auto counts = [unknown_links](Reachability reachability) {
        return reachability == Reachability::reachable ||
               (unknown_links == UnknownLinks::as_reachable && reachability == Reachability::unknown);
    };
    Eligibility out;
    out.store = counts(candidate.store) ? 1 : 0;
    // Only the leader calls the cloud regularly; the others probe it only while the leader cannot reach it. Most
    // controllers therefore don't know whether they reach it, and an unknown link counts as working here.
    out.cloud = candidate.cloud != Reachability::unreachable ? 1 : 0;
    for (const auto& zone : zones) {
        if (counts(zone_reachability(candidate, zone)))
            ++out.zones;
        else if (std::any_of(all_views.begin(), all_views.end(),
                             [&](const PeerView* other) { return reaches_zone_through(candidate, *other, zone); }))
            ++out.zones_via_peers;
    }
    return out;
}

bool could_lead(const Eligibility& eligibility) {
    return eligibility.store != 0 && eligibility.zones + eligibility.zones_via_peers != 0;
}

bool answered_since_lost(std::optional<double> answered_at, const LinkHealth& own_link, double report_s) {
    if (!own_link.lost())
        return true;
    const auto failing_since = own_link.failing_since();
    return answered_at && failing_since && *answered_at > *failing_since + in_flight_answer_heartbeats * report_s;
}

std::optional<std::string> best_candidate_above(const Eligibility& own, const std::vector<Candidate>& peers) {
    std::optional<std::string> best;
    auto highest = own;
    for (const auto& peer : peers)
        if (peer.eligibility > highest) {
            highest = peer.eligibility;
            best = peer.name;
        }
    return best;
}

double candidacy_delay_s(const Settings& settings, const Eligibility& own, const std::vector<Candidate>& peers,
                         bool no_better_candidate) {
    const double yield_s = candidacy_delay_leases * settings.lease_s;
    int equal_candidates_before = 0;
    for (const auto& peer : peers) {
        if (peer.eligibility > own)
            return yield_s;
        if (peer.eligibility == own && peer.name < settings.name)
            ++equal_candidates_before;
    }
    const bool reaches_no_worker = own.zones + own.zones_via_peers == 0 && !settings.zones.empty();
    if (reaches_no_worker && !no_better_candidate)
        return yield_s;
    return equal_candidates_before * stagger_heartbeats * settings.report_s;
}

} // namespace heronshift::membership
