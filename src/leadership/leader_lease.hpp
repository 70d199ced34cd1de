/// @file
/// Computes until when a node may act as leader, and from when it may become leader. No clock, no I/O, no threads; all
/// times are seconds of one monotonic clock.
///
/// Each renewal of the store lease makes the leader valid for a period that counts from when the renewal was sent
/// (invariant 1 of docs/safety.md). While the store answers no node, extension votes from all other controllers extend
/// the validity. With its vote, a controller promises not to become leader for a while. It votes only if a store read
/// of its own has just failed: if the store serves the voter, the leader alone is cut off and should lose the
/// leadership (docs/safety.md, "Outages"; fails without this rule: ExtensionVotes).
#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace heronshift {

/// Tracks the validity of this node as leader, and the extension votes that it has given as follower.
class LeaderLease {
public:
    /// `ttl_s`: the TTL of the store lease; `peers`: the number of other controllers; `now`: when this process started.
    LeaderLease(double ttl_s, std::size_t peers, double now);

    [[nodiscard]] double ttl_s() const {
        return ttl_s_;
    }
    /// How long a vote extends the validity, counted from when it was requested.
    [[nodiscard]] double extension_s() const {
        return ttl_s_ / 2;
    }

    // Used as leader.

    /// Discards all validity. Called when a term begins and when it ends.
    void begin();
    /// The store has granted or renewed the store lease, in answer to a request sent at `sent`.
    void store_lease_renewed(double sent);
    /// `peer` has granted an extension, in answer to a request sent at `sent`. Returns whether extension votes now keep
    /// the leader valid beyond the end of its store lease.
    bool extension_granted(const std::string& peer, double sent, double now);
    /// Whether this node may act as leader.
    [[nodiscard]] bool valid(double now) const {
        return now < until();
    }
    /// Until when this node may act as leader unless its validity is extended further.
    [[nodiscard]] double until() const {
        return store_lease_until_ > extended_until_ ? store_lease_until_ : extended_until_;
    }
    /// When the newest successful renewal was sent.
    [[nodiscard]] double renewed_at() const {
        return renewed_;
    }
    /// Whether renewals of the store lease are overdue, so that extension votes should be requested.
    [[nodiscard]] bool wants_extension_votes(double now) const;

    // Used as follower.

    /// Whether no extension vote given by this node, in this process or an earlier one, forbids it to become leader.
    [[nodiscard]] bool may_acquire(double now) const {
        return now >= not_before_;
    }
    [[nodiscard]] double not_before() const {
        return not_before_;
    }
    /// An earlier process of this node was the leader, so it cannot have voted for another leader. Removes the initial
    /// wait that covers votes of an earlier process.
    void previous_process_was_leader() {
        not_before_ = 0;
    }
    /// The outcome of this node's claim is unknown: the claim may still be applied as long as its store lease lives.
    /// This node grants no extension until every such store lease must have expired (invariant 26).
    void acquisition_in_doubt();
    /// Records whether a store read or a renewal of the store lease was answered. Renewals count too, so that a leader
    /// that has just stepped down can vote for its successor.
    void record_store_answer(bool ok, double now);
    /// Votes to extend the leader's validity by `length_s`, if this node may vote; returns whether it did. `follower`:
    /// whether this node is a follower; `store_failed`: whether a store read made for this vote has just failed.
    bool grant_extension(double length_s, double now, bool follower, bool store_failed);

private:
    double ttl_s_;
    std::size_t peers_;
    double store_lease_until_ = 0;
    double renewed_ = 0;
    double extended_until_ = 0;
    std::map<std::string, double> extension_votes_; // the end of the extension granted by each peer
    double not_before_;
    // The store has answered every call since then; below zero: the last call failed.
    double served_since_ = -1;
    // True at the start because an earlier process may have left a claim pending.
    bool acquisition_in_doubt_ = true;
};

} // namespace heronshift
