#include "leadership/candidate_policy.hpp"

#include <algorithm>

namespace heronshift::leadership {
namespace {

// In heartbeat intervals (`report_s`).
// Time without a heartbeat from any worker after which the workers count as silent.
constexpr double worker_silence_timeout_heartbeats = 2;
// The same time-out if workers in no zone answer requests either.
constexpr double lost_zones_silence_timeout_heartbeats = 1.5;
// How long a peer must have been a better candidate before the leader resigns in its favour.
constexpr double min_better_candidate_heartbeats = 0.5;

// In worker lease durations (`lease_s`).
// Time after the beginning of a term without a first heartbeat after which the workers count as silent.
constexpr double first_heartbeat_timeout_leases = 0.5;
// How long a leader may stay in place while its lease does not allow it to act.
constexpr double max_inactive_leases = 0.5;

// In TTLs of the store lease.
// Time since the last successful renewal was sent after which failing renewals count as refused by the store.
constexpr double renewal_refused_ttls = 0.7;
// Age up to which a peer's report that the store serves it makes the peer a possible successor.
constexpr double max_served_report_age_ttls = 0.25;

} // namespace

std::optional<Resignation> CandidatePolicy::decide(const LeaderObservation& leader) {
    const bool candidate = leader.store_reachable && leader.better_candidate;
    if (!candidate)
        better_candidate_since_ = -1;
    else if (better_candidate_since_ < 0)
        better_candidate_since_ = leader.now;
    if (candidate && leader.now - better_candidate_since_ > min_better_candidate_heartbeats * settings_.report_s &&
        (leader.workers_silent || leader.now - leader.acquired_at > settings_.lease_s))
        return Resignation{ResignReason::better_candidate, {*leader.better_candidate}, {}};
    // If every peer is known not to be a better candidate, a resignation would gain nothing.
    if (leader.workers_silent && leader.store_reachable && !candidate && !leader.no_better_candidate)
        return Resignation{ResignReason::no_worker_heartbeats, {}, {}};
    return std::nullopt;
}

bool CandidatePolicy::workers_silent(const WorkerObservation& workers) const {
    const double silent_s = workers.now - std::max(workers.last_heartbeat_at, workers.acquired_at);
    if (workers.last_heartbeat_at <= workers.acquired_at)
        return silent_s > first_heartbeat_timeout_leases * settings_.lease_s;
    if (workers.all_zones_lost)
        return silent_s > lost_zones_silence_timeout_heartbeats * settings_.report_s;
    return silent_s > worker_silence_timeout_heartbeats * settings_.report_s;
}

bool CandidatePolicy::inactive_for_too_long(double now, double inactive_since) const {
    return now - inactive_since > max_inactive_leases * settings_.lease_s;
}

bool CandidatePolicy::store_refuses_renewals(const RenewalObservation& renewals) {
    return renewals.now - renewals.renewed_at > renewal_refused_ttls * renewals.store_lease_ttl_s &&
           renewals.failed_sent_at > renewals.renewed_at;
}

std::vector<std::string> CandidatePolicy::successors(std::vector<ServedPeer> served, double now,
                                                     double store_lease_ttl_s) {
    std::erase_if(served, [&](const ServedPeer& peer) {
        return !(now - peer.asked_at < max_served_report_age_ttls * store_lease_ttl_s);
    });
    std::stable_sort(served.begin(), served.end(),
                     [](const ServedPeer& a, const ServedPeer& b) { return a.eligibility > b.eligibility; });
    std::vector<std::string> names;
    for (auto& peer : served)
        names.push_back(std::move(peer.name));
    return names;
}

} // namespace heronshift::leadership
