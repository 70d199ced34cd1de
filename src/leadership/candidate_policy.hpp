/// @file
/// Decides when an active leader should step down, for instance because another controller is a better candidate. No
/// clock, no I/O. Whether a node may act as leader is decided by LeaderLease alone, so a wrong decision made here
/// delays work but violates no invariant.
#pragma once

#include "heronshift/config.hpp"
#include "leadership/resignation.hpp"
#include "membership/membership.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace heronshift::leadership {

/// What an active leader knows about itself and its peers. Times are seconds of the monotonic clock.
struct LeaderObservation {
    double now = 0;
    double acquired_at = 0;                      ///< When the current term began.
    bool store_reachable = false;                ///< Whether this node reaches the store.
    bool workers_silent = false;                 ///< The result of CandidatePolicy::workers_silent.
    std::optional<std::string> better_candidate; ///< A peer that is a better candidate than this node.
    bool no_better_candidate = false;            ///< The state of every peer is known, and none is a better candidate.
};

/// What an active leader has received from its workers. Times are seconds of the monotonic clock.
struct WorkerObservation {
    double now = 0;
    double acquired_at = 0;       ///< When the current term began.
    double last_heartbeat_at = 0; ///< Newest heartbeat of any worker, received directly or through another controller.
    bool all_zones_lost = false;  ///< In every zone, workers do not answer requests either.
};

/// The state of the store lease's renewals. Times are seconds of the monotonic clock.
struct RenewalObservation {
    double now = 0;
    double renewed_at = 0;     ///< When the newest successful renewal was sent.
    double failed_sent_at = 0; ///< When the newest failed renewal was sent; below zero: no renewal has failed.
    double store_lease_ttl_s = 0;
};

/// A peer that was answered by the store while the leader was not.
struct ServedPeer {
    std::string name;
    double asked_at = 0; ///< When the leader sent the request in whose answer the peer reported this.
    membership::Eligibility eligibility;
};

/// Decides whether an active leader steps down. Its only state is the time since which a peer has been a better
/// candidate.
class CandidatePolicy {
public:
    /// With fewer machines, it is too likely that all of them are silent because of faults of their own rather than
    /// because the leader is cut off from them.
    static constexpr std::size_t min_machines_to_judge_silence = 4;

    /// Keeps a reference to the settings.
    explicit CandidatePolicy(const Settings& settings) : settings_(settings) {}

    /// Discards what is known about candidates from the previous term.
    void begin_term() {
        better_candidate_since_ = -1;
    }

    /// Returns a resignation if the active leader should step down. Must be called regularly, because a peer has to be
    /// the better candidate for some time before the leader resigns in its favour. Candidates are compared by
    /// Eligibility, which ranks access to the store before access to workers. To limit changes of leader, the leader
    /// resigns for a better candidate no earlier than one worker lease after its term began, unless it hears from no
    /// worker. It does not resign while it cannot reach the store: no other node could acquire the leadership during an
    /// outage of the store, and all worker leases would expire.
    [[nodiscard]] std::optional<Resignation> decide(const LeaderObservation& leader);

    /// Whether no worker has been heard from for longer than all of them need to send a heartbeat. The time-out is
    /// shorter if workers in no zone answer requests, and longer if no heartbeat has been received in this term yet.
    [[nodiscard]] bool workers_silent(const WorkerObservation& workers) const;

    /// Whether the leader has been unable to act for so long that it should resign. `inactive_since`: when its validity
    /// ended, or when it acquired the leadership if it has not been valid since. Without this check, a store that
    /// answers too late would keep the store lease alive for a leader that may not act.
    [[nodiscard]] bool inactive_for_too_long(double now, double inactive_since) const;

    /// Whether the store refuses this leader's renewals. If it still serves peers, the leader is cut off alone and
    /// should hand over to one of them before its store lease expires (invariants 26 and 29 of docs/safety.md; fails
    /// without this check: LeaderCutOffScenarios, LateLoop). Two conditions must hold. Most of the store lease's TTL
    /// must have passed since the last successful renewal was sent, because a single refused renewal is often the
    /// beginning of an outage for all nodes, in which a change of leader would leave no node that may act. And a
    /// renewal sent after the last successful one must have failed, because an old renewal alone may only mean that
    /// this node's own event loop was delayed.
    [[nodiscard]] static bool store_refuses_renewals(const RenewalObservation& renewals);

    /// Names the `served` peers that may be asked to take over, the best candidate first. Peers whose report is too old
    /// are left out, because the store may have gone down for them too since.
    [[nodiscard]] static std::vector<std::string> successors(std::vector<ServedPeer> served, double now,
                                                             double store_lease_ttl_s);

private:
    const Settings& settings_;
    double better_candidate_since_ = -1; // below zero: no peer is a better candidate
};

} // namespace heronshift::leadership
