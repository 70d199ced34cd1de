// How long a node may act as leader, and when it may take it. No I/O and no clock.
//
// The store lease gives validity that counts from when its renewal was sent. While the store
// answers nobody, the extension votes of all other controllers carry the leader on: each promises not to
// become leader for a while, and only when a read of its own has just failed, since a peer that
// the store serves shows that it is the leader that is cut off. See docs/safety.md, "Outages".
#pragma once

#include <map>
#include <string>

namespace heronshift {

class LeaderLease {
public:
    // The store lease's length, how many other controllers there are, and when this process started.
    LeaderLease(double ttl_s, std::size_t peers, double now);

    [[nodiscard]] double ttl_s() const {
        return ttl_s_;
    }
    [[nodiscard]] double extension_s() const {
        return ttl_s_ / 2;
    }

    // As leader.
    void begin() {
        store_lease_until_ = extended_until_ = 0, renewed_ = 0, extension_votes_.clear();
    }
    void store_lease_renewed(double sent);                                    // the store has said so
    bool extension_granted(const std::string& peer, double sent, double now); // true: all carry us on
    [[nodiscard]] bool valid(double now) const {
        return now < until();
    }
    [[nodiscard]] double until() const {
        return store_lease_until_ > extended_until_ ? store_lease_until_ : extended_until_;
    }
    [[nodiscard]] double renewed_at() const { // when the last renewal that succeeded was sent
        return renewed_;
    }
    // Extension votes are asked for while the store lease is not being renewed.
    [[nodiscard]] bool wants_extension_votes(double now) const;

    // As one of the others.
    [[nodiscard]] bool may_acquire(double now) const {
        return now >= not_before_;
    }
    [[nodiscard]] double not_before() const {
        return not_before_;
    }
    // The leadership stood under our own name: its process, which this node was, has ended.
    void previous_process_was_leader() {
        not_before_ = 0;
    }
    // The outcome of an attempt to take it is open: it may still be applied while its store lease lives.
    void acquisition_in_doubt() {
        acquisition_in_doubt_ = true, served_since_ = -1;
    }
    // A read by this node, or a renewal; after some time without a failure, no store lease of an attempt can be left.
    // (Where renewals did not count, a leader that had just given way refused its successor the extension vote, and in
    // an outage that began then all leases ran out.)
    void record_store_answer(bool ok, double now);
    // Gives the extension vote if it may be given; store_failed: a read made for it has just failed.
    bool grant_extension(double length_s, double now, bool follower, bool store_failed);

private:
    double ttl_s_;
    std::size_t peers_;
    double store_lease_until_ = 0, renewed_ = 0, extended_until_ = 0;
    std::map<std::string, double> extension_votes_;
    double not_before_, served_since_ = -1;
    bool acquisition_in_doubt_ = true; // the process before may have left an attempt under way
};

} // namespace heronshift
