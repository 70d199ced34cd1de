/// @file
/// The roles of a node in the election of the leader, as a state machine without I/O, clock or threads: each input has
/// the time with it and returns what is to be done. Besides that it reads LinkHints and writes log lines.
///
/// A follower watches the leader's record. If there is none, it acquires the leadership in three steps: it creates a
/// store lease, reads the term counter, and writes both records in one transaction. Then it loads what the store holds,
/// and is the leader. Whether the leader may act is decided by LeaderLease alone. See docs/safety.md, invariants 1 to
/// 3, 26 and 29, and "Outages".
#pragma once

#include "heronshift/config.hpp"
#include "leadership/candidate_policy.hpp"
#include "leadership/election_actions.hpp"
#include "leadership/leader_lease.hpp"
#include "leadership/link_hints.hpp"
#include "leadership/store_outcome.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace heronshift::leadership {

/// Returned actions are to be performed in their order, at once and before the next input. Nothing throws.
class ElectionStateMachine {
public:
    enum class Role : std::uint8_t {
        follower,
        acquiring, ///< A store lease is created and the claim is made.
        loading,   ///< The claim succeeded; what the store holds is being read.
        leader,
    };
    /// How often things happened in this process.
    struct Counts {
        std::uint64_t acquisitions = 0;
        std::uint64_t handovers = 0;                    ///< To a peer that was asked to take over.
        std::uint64_t resignations_without_workers = 0; ///< For want of worker heartbeats.
    };

    /// Keeps the references. `now`: when the process started.
    ElectionStateMachine(const Settings& settings, const LinkHints& hints, double now);

    /// Begins to watch the leader's record.
    [[nodiscard]] ElectionActions start();
    /// What time brings: renewals, and several times a heartbeat interval a look at the links. To be called often.
    [[nodiscard]] ElectionActions tick(double now);
    /// Steps down, whatever the progress; a follower does nothing. This node stops acting before it tells anybody,
    /// since a successor may decide from the moment it hears of it (invariant 26).
    [[nodiscard]] ElectionActions resign(const Resignation& resignation);

    // Answers to actions. `epoch` is the action's; those of an earlier epoch are dropped.
    /// `record`: the leader's record, if it could be read; `revision`: its revision.
    [[nodiscard]] ElectionActions leader_read(std::uint64_t epoch, double now, StoreOutcome outcome,
                                              const std::optional<LeaderRecord>& record, std::uint64_t revision);
    [[nodiscard]] ElectionActions leader_changed(std::uint64_t epoch, StoreOutcome outcome);
    [[nodiscard]] ElectionActions leader_watch_due(std::uint64_t epoch);
    [[nodiscard]] ElectionActions previous_lease_revoked(std::uint64_t epoch);
    [[nodiscard]] ElectionActions store_lease_created(std::uint64_t epoch, StoreOutcome outcome,
                                                      std::uint64_t store_lease);
    [[nodiscard]] ElectionActions term_counter_read(std::uint64_t epoch, StoreOutcome outcome,
                                                    const std::optional<TermCounter>& counter, std::uint64_t revision);
    [[nodiscard]] ElectionActions claim_answered(std::uint64_t epoch, double now, StoreOutcome outcome,
                                                 std::uint64_t revision);
    /// All that the store holds has been read: this node is the leader.
    void state_loaded();
    /// `sent_at`: when the renewal was sent, since validity counts from then.
    [[nodiscard]] ElectionActions store_lease_renewed(std::uint64_t epoch, double now, double sent_at,
                                                      StoreOutcome outcome);
    [[nodiscard]] ElectionActions extension_vote_received(std::uint64_t epoch, double now, double sent_at,
                                                          const std::string& peer, const ExtensionVoteAnswer& answer);
    [[nodiscard]] ElectionActions served_peers_due(std::uint64_t epoch, double now);

    // Requests of peers.
    /// Votes on a peer's request. `own_read`: what has become of a read that this node made for it, which tells whether
    /// the store is down or only the peer is cut off.
    [[nodiscard]] ExtensionVoteAnswer vote(const ExtensionVoteRequest& request, double now, StoreOutcome own_read);
    /// A leader has stepped down and its store lease has ended: looks at the leader's record at once.
    [[nodiscard]] ElectionActions takeover_accepted();

    /// This node may act as leader at this moment.
    [[nodiscard]] bool valid(double now) const {
        return is_leader() && leader_lease_.valid(now);
    }
    [[nodiscard]] Role role() const {
        return role_;
    }
    [[nodiscard]] bool is_leader() const {
        return role_ == Role::leader;
    }
    /// Until when this node may act if it hears nothing more; 0: it may not.
    [[nodiscard]] double active_until() const {
        return is_leader() ? leader_lease_.until() : 0;
    }
    /// The leader as far as this node knows; may be empty.
    [[nodiscard]] const std::string& leader() const {
        return leader_;
    }
    [[nodiscard]] std::uint64_t leader_term() const {
        return leader_term_;
    }
    /// The store told this node a short while ago who the leader is.
    [[nodiscard]] bool sees_leader(double now) const;
    /// This node's newest term.
    [[nodiscard]] std::uint64_t term() const {
        return term_;
    }
    /// When this node's newest term began.
    [[nodiscard]] double acquired_at() const {
        return acquired_at_;
    }
    [[nodiscard]] double store_lease_ttl_s() const {
        return leader_lease_.ttl_s();
    }
    [[nodiscard]] const Counts& counts() const {
        return counts_;
    }

private:
    [[nodiscard]] bool holds_leadership() const {
        return role_ == Role::leader || role_ == Role::loading;
    }
    template <typename Action> void add(ElectionActions& actions, Action&& action) const;
    void watch_leader(ElectionActions& actions) const;
    void watch_leader_after(ElectionActions& actions, double delay_s) const;
    void leadership_is_free(ElectionActions& actions, double now);
    void leader_observed(ElectionActions& actions, double now, const LeaderRecord& record, std::uint64_t revision);
    void acquire(ElectionActions& actions, double now);
    void claim(ElectionActions& actions, std::uint64_t term, std::uint64_t term_counter_revision);
    void acquisition_failed(ElectionActions& actions);
    void begin_term(ElectionActions& actions, double now, std::uint64_t revision);
    void renew(ElectionActions& actions, double now);
    void extension_granted(const std::string& peer, double sent_at, double now);
    void learn_leader_from_peers(ElectionActions& actions, double now);
    void adopt_reported_leader(double now, const membership::Membership::ReportedLeader& reported);
    void consider_better_candidates(ElectionActions& actions, double now);
    void resign_if_store_unavailable(ElectionActions& actions, double now);
    void resign_to_served_peer(ElectionActions& actions, double now);
    void resign(ElectionActions& actions, const Resignation& resignation);
    [[nodiscard]] bool workers_silent(double now) const;

    const Settings& settings_;
    const LinkHints& hints_;
    LeaderLease leader_lease_;
    CandidatePolicy candidate_policy_;
    Role role_ = Role::follower;
    std::uint64_t epoch_ = 0; // raised whenever answers to what was asked before no longer count
    std::string leader_;
    std::uint64_t leader_term_ = 0;
    std::uint64_t term_ = 0;
    std::uint64_t store_lease_ = 0; // 0: none
    double store_lease_requested_at_ = 0;
    double next_renewal_at_ = 0;
    double next_look_at_ = 0;
    double acquired_at_ = 0;
    // Below zero: never, or not so.
    double leader_read_at_ = -1;  // the store told this node who the leader is, or that there is none
    double leader_known_at_ = -1; // the store or a peer has confirmed the leader
    double free_since_ = -1;      // no leader's record has been seen since
    double failed_renewal_sent_at_ = -1;
    std::map<std::string, double> served_peers_; // by the store, as they said: when they were asked
    bool extended_by_votes_ = false;             // in this term, for the log
    Counts counts_;
};

} // namespace heronshift::leadership
