#include "leadership/leader_lease.hpp"

#include <algorithm>

namespace heronshift {
namespace {

// Steady clocks drift apart by up to 0.05%. The allowance is four times that.
constexpr double clock_drift = 0.002;
// Safety margin of every deadline, because timers fire in steps.
constexpr double timer_margin_s = 0.1;

// In TTLs of the store lease.
// Time with an answering store after which no store lease of a claim with an unknown outcome can still exist.
constexpr double in_doubt_claim_expiry_ttls = 3;
// Time since the last successful renewal was sent after which extension votes are requested.
constexpr double overdue_renewal_ttls = 0.25;

} // namespace

LeaderLease::LeaderLease(double ttl_s, std::size_t peers, double now)
    : ttl_s_(ttl_s), peers_(peers),
      // An earlier process may have given an extension vote just before it ended, and this process does not know of it.
      earliest_acquisition_at_(now + ttl_s / 2 * (1 + clock_drift) + timer_margin_s) {}

void LeaderLease::begin() {
    store_lease_valid_until_ = 0;
    extension_valid_until_ = 0;
    renewed_at_ = 0;
    extension_votes_.clear();
}

void LeaderLease::acquisition_in_doubt() {
    acquisition_in_doubt_ = true;
    store_answering_since_ = -1;
}

void LeaderLease::store_lease_renewed(double sent_at) {
    store_lease_valid_until_ =
        std::max(store_lease_valid_until_, sent_at + ttl_s_ * (1 - clock_drift) - timer_margin_s);
    renewed_at_ = std::max(renewed_at_, sent_at);
}

bool LeaderLease::wants_extension_votes(double now) const {
    return peers_ > 0 && valid(now) && now - renewed_at_ > ttl_s_ * overdue_renewal_ttls;
}

bool LeaderLease::extension_granted(const std::string& peer, double sent_at, double now) {
    // Validity that has expired cannot be restored: another node may have become leader meanwhile, even if it has lost
    // the leadership again since.
    if (!valid(now))
        return false;
    auto& peer_vote_until = extension_votes_[peer];
    peer_vote_until = std::max(peer_vote_until, sent_at + extension_s() * (1 - clock_drift) - timer_margin_s);
    if (extension_votes_.size() < peers_)
        return false;
    double earliest_vote_until = peer_vote_until;
    for (const auto& [name, vote_until] : extension_votes_)
        earliest_vote_until = std::min(earliest_vote_until, vote_until);
    extension_valid_until_ = std::max(extension_valid_until_, earliest_vote_until);
    return extension_valid_until_ > store_lease_valid_until_;
}

void LeaderLease::record_store_answer(bool ok, double now) {
    if (!ok)
        store_answering_since_ = -1;
    else if (store_answering_since_ < 0)
        store_answering_since_ = now;
    // Store leases may live longer through an outage of the store, so only time in which the store answered counts.
    if (store_answering_since_ >= 0 && now - store_answering_since_ > in_doubt_claim_expiry_ttls * ttl_s_)
        acquisition_in_doubt_ = false;
}

bool LeaderLease::grant_extension(double duration_s, double now, bool is_follower, bool store_failed) {
    // A claim of this node whose outcome is unknown could make it leader later, despite its vote. Votes for longer than
    // leaders request (`extension_s`) are refused because they would not survive a restart: a new process waits only
    // for that time (see the constructor).
    if (!is_follower || !store_failed || acquisition_in_doubt_ || duration_s > extension_s() * (1 + clock_drift))
        return false;
    earliest_acquisition_at_ =
        std::max(earliest_acquisition_at_, now + duration_s * (1 + clock_drift) + timer_margin_s);
    return true;
}

} // namespace heronshift
