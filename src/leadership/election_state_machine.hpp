/// @file
/// A node's role in the election of the leader, as a state machine without I/O, clock or threads: each input carries
/// the current time if it needs it, and returns the actions to perform. Besides its inputs, the state machine reads
/// LinkHints; besides its actions, it writes log lines.
///
/// A follower watches the leader record. If there is no leader record, the follower acquires the leadership in three
/// steps: it creates a store lease, reads the term counter, and writes the leader record and the term counter in one
/// transaction. Then it loads the stored cluster state, and becomes the leader once that is complete. Whether the
/// leader may act is decided by LeaderLease alone. See docs/safety.md, invariants 1 to 3, 26 and 29, and "Outages".
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

/// The caller must perform the returned actions in their order, immediately and before the next input. No function
/// throws.
class ElectionStateMachine {
public:
    enum class Role : std::uint8_t {
        follower,
        acquiring, ///< Creating a store lease, reading the term counter or claiming the leadership.
        loading,   ///< The claim succeeded; the stored cluster state is being read.
        leader,
    };
    /// Counts of events since this process started.
    struct Counts {
        std::uint64_t acquisitions = 0;
        std::uint64_t handovers = 0;                    ///< Resignations after which peers were asked to take over.
        std::uint64_t resignations_without_workers = 0; ///< Resignations for lack of worker heartbeats.
    };

    /// Keeps references to the settings and the hints. `now`: when the process started.
    ElectionStateMachine(const Settings& settings, const LinkHints& hints, double now);

    /// Begins to watch the leader record.
    [[nodiscard]] ElectionActions start();
    /// Does the work that is due by time: renews the store lease, and several times per heartbeat interval checks the
    /// state of the links. Must be called often.
    [[nodiscard]] ElectionActions tick(double now);
    /// Steps down, also while acquiring or loading; does nothing as a follower. This node stops acting before it
    /// announces its resignation, since a successor may make decisions from the moment it learns of it (invariant 26).
    [[nodiscard]] ElectionActions resign(const Resignation& resignation);

    // Results of actions. `epoch` is the epoch of the action; results from an earlier epoch are ignored.
    /// `record`: the leader record, if it could be read; `revision`: the revision of the record.
    [[nodiscard]] ElectionActions leader_read(std::uint64_t epoch, double now, StoreOutcome outcome,
                                              const std::optional<LeaderRecord>& record, std::uint64_t revision);
    [[nodiscard]] ElectionActions leader_changed(std::uint64_t epoch, StoreOutcome outcome);
    [[nodiscard]] ElectionActions leader_read_due(std::uint64_t epoch);
    [[nodiscard]] ElectionActions previous_lease_revoked(std::uint64_t epoch);
    [[nodiscard]] ElectionActions store_lease_created(std::uint64_t epoch, StoreOutcome outcome,
                                                      std::uint64_t store_lease);
    [[nodiscard]] ElectionActions term_counter_read(std::uint64_t epoch, StoreOutcome outcome,
                                                    const std::optional<TermCounter>& counter, std::uint64_t revision);
    [[nodiscard]] ElectionActions claim_answered(std::uint64_t epoch, double now, StoreOutcome outcome,
                                                 std::uint64_t revision);
    /// The stored cluster state has been read completely: this node becomes the leader.
    void state_loaded();
    /// `sent_at`: when the renewal was sent; the renewed validity counts from this time.
    [[nodiscard]] ElectionActions store_lease_renewed(std::uint64_t epoch, double now, double sent_at,
                                                      StoreOutcome outcome);
    [[nodiscard]] ElectionActions extension_vote_received(std::uint64_t epoch, double now, double sent_at,
                                                          const std::string& peer, const ExtensionVoteAnswer& answer);
    [[nodiscard]] ElectionActions served_peers_due(std::uint64_t epoch, double now);

    // Requests from peers.
    /// Votes on a peer's request. `own_read`: the outcome of a store read that this node made because of the request.
    /// It shows whether the store is down or only the peer is cut off from it.
    [[nodiscard]] ExtensionVoteAnswer vote(const ExtensionVoteRequest& request, double now, StoreOutcome own_read);
    /// This node has accepted to take over from a leader that has stepped down and whose store lease has ended. Reads
    /// the leader record at once.
    [[nodiscard]] ElectionActions takeover_accepted();

    /// Whether this node may act as leader at this moment.
    [[nodiscard]] bool valid(double now) const {
        return is_leader() && leader_lease_.valid(now);
    }
    [[nodiscard]] Role role() const {
        return role_;
    }
    [[nodiscard]] bool is_leader() const {
        return role_ == Role::leader;
    }
    /// Until when this node may act as leader unless its validity is extended further; 0 or a time in the past: it may
    /// not act.
    [[nodiscard]] double active_until() const {
        return is_leader() ? leader_lease_.valid_until() : 0;
    }
    /// The name of the leader as far as this node knows; empty: unknown.
    [[nodiscard]] const std::string& leader() const {
        return leader_;
    }
    /// The term of the last leader that this node has learned of.
    [[nodiscard]] std::uint64_t leader_term() const {
        return leader_term_;
    }
    /// Whether this node recently learned from the store itself, not from a peer, who the leader is.
    [[nodiscard]] bool sees_leader(double now) const;
    /// The newest term that this node has claimed.
    [[nodiscard]] std::uint64_t term() const {
        return term_;
    }
    /// When this node's newest term began, that is, when its claim succeeded.
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
    void read_leader(ElectionActions& actions) const;
    void read_leader_after(ElectionActions& actions, double delay_s) const;
    void handle_leader_absent(ElectionActions& actions, double now);
    void handle_leader_observed(ElectionActions& actions, double now, const LeaderRecord& record,
                                std::uint64_t revision);
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
    std::uint64_t epoch_ = 0; // incremented whenever results of actions requested so far must be ignored
    std::string leader_;
    std::uint64_t leader_term_ = 0;
    std::uint64_t term_ = 0;
    std::uint64_t store_lease_ = 0; // 0: this node has no store lease
    double store_lease_requested_at_ = 0;
    double next_renewal_at_ = 0;
    double next_link_check_at_ = 0;
    double acquired_at_ = 0;
    // Times; below zero: it has not happened, or does not hold at present.
    double leader_read_at_ = -1;         // the store last named the leader, or said that there is none
    double leader_confirmed_at_ = -1;    // the store or a peer last confirmed the leader
    double leader_absent_since_ = -1;    // the leader record has been absent since then
    double failed_renewal_sent_at_ = -1; // the newest failed renewal was sent
    // Peers that reported being served by the store, each with the time at which this node asked it.
    std::map<std::string, double> served_peers_;
    bool extension_logged_ = false; // whether this term's first extension by votes has been logged
    Counts counts_;
};

} // namespace heronshift::leadership
