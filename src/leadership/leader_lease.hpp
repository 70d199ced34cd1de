/// @file
/// For how long a node may act as leader, and from when it may become leader. Pure: no clock, no I/O, no threads; all
/// times are seconds of one monotonic clock.
///
/// The store lease gives validity that counts from when its renewal was sent (invariant 1 of docs/safety.md). While the
/// store answers nobody, extension votes of all other controllers carry the leader on: each promises not to become
/// leader for a while, and only if a read of its own has just failed, since a peer that the store serves shows that the
/// leader alone is cut off (docs/safety.md, "Outages"; fails without it: ExtensionVotes).
#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace heronshift {

/// Validity as leader, and the extension votes that a follower has given.
class LeaderLease {
public:
    /// `ttl_s`: the store lease's length; `peers`: how many other controllers there are; `now`: when this process
    /// started.
    LeaderLease(double ttl_s, std::size_t peers, double now);

    [[nodiscard]] double ttl_s() const {
        return ttl_s_;
    }
    /// For how long a vote extends the validity.
    [[nodiscard]] double extension_s() const {
        return ttl_s_ / 2;
    }

    // As leader.

    /// Forgets all validity, at the beginning of a term and at its end.
    void begin();
    /// The store has confirmed the store lease to a request sent at `sent`.
    void store_lease_renewed(double sent);
    /// `peer` has voted on a request sent at `sent`. True: votes carry the leader for longer than the store lease.
    bool extension_granted(const std::string& peer, double sent, double now);
    /// This node may act.
    [[nodiscard]] bool valid(double now) const {
        return now < until();
    }
    /// Until when this node may act if it hears nothing more.
    [[nodiscard]] double until() const {
        return store_lease_until_ > extended_until_ ? store_lease_until_ : extended_until_;
    }
    /// When the newest successful renewal was sent.
    [[nodiscard]] double renewed_at() const {
        return renewed_;
    }
    /// The store lease is not being renewed: extension votes should be asked for.
    [[nodiscard]] bool wants_extension_votes(double now) const;

    // As follower.

    /// No vote of this node, or of the process before it, stands against becoming leader.
    [[nodiscard]] bool may_acquire(double now) const {
        return now >= not_before_;
    }
    [[nodiscard]] double not_before() const {
        return not_before_;
    }
    /// The leader was an earlier process of this node: votes of that one were for itself.
    void previous_process_was_leader() {
        not_before_ = 0;
    }
    /// The outcome of this node's claim is open: it may still be applied while its store lease lives. Until no such
    /// store lease can be left, this node votes for nobody (invariant 26).
    void acquisition_in_doubt();
    /// This node has read from the store or renewed its store lease, or failed to. Renewals count too: a leader that
    /// has just stepped down must be able to vote for its successor.
    void record_store_answer(bool ok, double now);
    /// Votes for the leader for `length_s`, if that may be; `store_failed`: a read made for it has just failed.
    bool grant_extension(double length_s, double now, bool follower, bool store_failed);

private:
    double ttl_s_;
    std::size_t peers_;
    double store_lease_until_ = 0;
    double renewed_ = 0;
    double extended_until_ = 0;
    std::map<std::string, double> extension_votes_; // by peer: until when
    double not_before_;
    double served_since_ = -1;         // the store has answered every time since; below zero: it has just failed
    bool acquisition_in_doubt_ = true; // the process before may have left an attempt under way
};

} // namespace heronshift
