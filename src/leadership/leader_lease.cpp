#include "leadership/leader_lease.hpp"

#include <algorithm>

namespace heronshift {
namespace {

// Steady clocks drift apart by up to 0.05%. The allowance is four times that.
constexpr double clock_drift = 0.002;
// Safety margin of every deadline, because timers fire in steps.
constexpr double timer_s = 0.1;

// In TTLs of the store lease.
// Time with an answering store after which no store lease of a claim with an unknown outcome can still exist.
constexpr double store_leases_gone_ttls = 3;
// Time since the last successful renewal was sent after which extension votes are requested.
constexpr double missed_renewals_ttls = 0.25;

} // namespace

LeaderLease::LeaderLease(double ttl_s, std::size_t peers, double now)
    : ttl_s_(ttl_s), peers_(peers),
      // An earlier process may have given an extension vote just before it ended, and this process does not know of it.
      not_before_(now + ttl_s / 2 * (1 + clock_drift) + timer_s) {}

void LeaderLease::begin() {
    store_lease_until_ = 0;
    extended_until_ = 0;
    renewed_ = 0;
    extension_votes_.clear();
}

void LeaderLease::acquisition_in_doubt() {
    acquisition_in_doubt_ = true;
    served_since_ = -1;
}

void LeaderLease::store_lease_renewed(double sent) {
    store_lease_until_ = std::max(store_lease_until_, sent + ttl_s_ * (1 - clock_drift) - timer_s);
    renewed_ = std::max(renewed_, sent);
}

bool LeaderLease::wants_extension_votes(double now) const {
    return peers_ > 0 && valid(now) && now - renewed_ > ttl_s_ * missed_renewals_ttls;
}

bool LeaderLease::extension_granted(const std::string& peer, double sent, double now) {
    // Validity that has expired cannot be restored: another node may have become leader meanwhile, even if it has lost
    // the leadership again since.
    if (!valid(now))
        return false;
    auto& until = extension_votes_[peer];
    until = std::max(until, sent + extension_s() * (1 - clock_drift) - timer_s);
    if (extension_votes_.size() < peers_)
        return false;
    double all = until;
    for (const auto& [name, vote_until] : extension_votes_)
        all = std::min(all, vote_until);
    extended_until_ = std::max(extended_until_, all);
    return extended_until_ > store_lease_until_;
}

void LeaderLease::record_store_answer(bool ok, double now) {
    if (!ok)
        served_since_ = -1;
    else if (served_since_ < 0)
        served_since_ = now;
    // Store leases may live longer through an outage of the store, so only time in which the store answered counts.
    if (served_since_ >= 0 && now - served_since_ > store_leases_gone_ttls * ttl_s_)
        acquisition_in_doubt_ = false;
}

bool LeaderLease::grant_extension(double length_s, double now, bool follower, bool store_failed) {
    // A claim of this node whose outcome is unknown could make it leader later, despite its vote. Votes for longer than
    // leaders request (`extension_s`) are refused because they would not survive a restart: a new process waits only
    // for that time (see the constructor).
    if (!follower || !store_failed || acquisition_in_doubt_ || length_s > extension_s() * (1 + clock_drift))
        return false;
    not_before_ = std::max(not_before_, now + length_s * (1 + clock_drift) + timer_s);
    return true;
}

} // namespace heronshift
