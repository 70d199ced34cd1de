/// @file
/// When a leader should step down for the sake of a better one. Pure: no clock, no I/O. Whether a node may act is
/// never decided here but by LeaderLease alone, so a wrong decision costs time and breaks no rule.
#pragma once

#include "heronshift/config.hpp"
#include "leadership/resignation.hpp"
#include "membership/membership.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace heronshift::leadership {

/// What an active leader knows of itself and its peers. Times are seconds of the monotonic clock.
struct LeaderObservation {
    double now = 0;
    double acquired_at = 0;       ///< When the term began.
    bool store_reachable = false; ///< By this node.
    bool workers_silent = false;  ///< See CandidatePolicy::workers_silent.
    std::optional<std::string> better_candidate;
    bool no_better_candidate = false; ///< All peers are known, and none is better.
};

/// What an active leader has heard of its workers.
struct WorkerObservation {
    double now = 0;
    double acquired_at = 0;
    double last_heartbeat_at = 0; ///< Of any worker, whichever way it came.
    bool all_zones_lost = false;  ///< Workers do not answer requests either.
};

/// How the renewals of the store lease go.
struct RenewalObservation {
    double now = 0;
    double renewed_at = 0;     ///< When the newest successful renewal was sent.
    double failed_sent_at = 0; ///< When the newest failed renewal was sent; below zero: none.
    double store_lease_ttl_s = 0;
};

/// A peer that the store has answered while it did not answer the leader.
struct ServedPeer {
    std::string name;
    double asked_at = 0; ///< When the request was sent to which it said so.
    membership::Eligibility eligibility;
};

/// Decides for an active leader. Remembers only since when a candidate has been the better one.
class CandidatePolicy {
public:
    /// With fewer machines, silence of all of them is too likely to be their own fault.
    static constexpr std::size_t min_machines_to_judge = 4;

    /// Keeps the reference.
    explicit CandidatePolicy(const Settings& settings) : settings_(settings) {}

    /// Forgets the candidates of the term before.
    void begin_term() {
        better_candidate_since_ = -1;
    }

    /// Whether an active leader should step down. To be asked at regular times: a candidate must stay the better one
    /// for a while. Candidates are ordered by Eligibility, the store before workers; a change for a better candidate
    /// comes at most once a worker lease, unless this node hears from no worker. Nothing is given up while the store is
    /// out of reach, since nobody could take it then and all worker leases would run out.
    [[nodiscard]] std::optional<Resignation> decide(const LeaderObservation& leader);

    /// No worker was heard from for longer than all of them need to report. The patience is less if no zone answers,
    /// and more if none was heard from in this term yet.
    [[nodiscard]] bool workers_silent(const WorkerObservation& workers) const;

    /// For so long nobody may have been able to act, since the end of the validity or since the acquisition. A store
    /// whose answers come too late keeps the store lease alive for a leader that may not act.
    [[nodiscard]] bool inactive_for_too_long(double now, double inactive_since) const;

    /// The store serves others but not this leader, so its store lease will run out (invariants 26 and 29 of
    /// docs/safety.md; fails without it: LeaderCutOffScenarios, LateLoop). A single refusal is often the beginning of
    /// an outage for all, in which a change of leaders leaves nobody who may act: so a good part of the store lease
    /// must have passed. And a renewal sent after the last successful one must have failed: an old renewal alone may
    /// mean that this node's own event loop was late.
    [[nodiscard]] static bool store_refuses_renewals(const RenewalObservation& renewals);

    /// The peers that said so a moment ago, the best first. Older news may be from before an outage.
    [[nodiscard]] static std::vector<std::string> successors(std::vector<ServedPeer> served, double now,
                                                             double store_lease_ttl_s);

private:
    const Settings& settings_;
    double better_candidate_since_ = -1; // below zero: there is none
};

} // namespace heronshift::leadership
