#include "heronshift/office/tenancy.hpp"

#include <algorithm>

namespace heronshift {
namespace {

// Steady clocks drift apart by up to 0.05%; four times that, and some for timer steps.
constexpr double drift = 0.002;
constexpr double timer_s = 0.1;
constexpr double holds_gone = 3;         // lengths of a hold after which none is left
constexpr double renewals_missed = 0.25; // of the hold: later than this, promises are asked for

} // namespace

Tenancy::Tenancy(double ttl_s, std::size_t peers, double now)
    : ttl_s_(ttl_s), peers_(peers),
      // The process before may have promised just before it ended.
      not_before_(now + ttl_s / 2 * (1 + drift) + timer_s) {}

void Tenancy::hold_extended(double sent) {
    hold_until_ = std::max(hold_until_, sent + ttl_s_ * (1 - drift) - timer_s);
    renewed_ = std::max(renewed_, sent);
}

bool Tenancy::wants_promises(double now) const {
    return peers_ > 0 && valid(now) && now - renewed_ > ttl_s_ * renewals_missed;
}

bool Tenancy::promised(const std::string& peer, double sent, double now) {
    // A lapse cannot be mended: whoever took the office meanwhile may have lost it again.
    if (!valid(now))
        return false;
    auto& until = promises_[peer];
    until = std::max(until, sent + promise_s() * (1 - drift) - timer_s);
    if (promises_.size() < peers_)
        return false;
    double all = until;
    for (const auto& [name, u] : promises_)
        all = std::min(all, u);
    promised_until_ = std::max(promised_until_, all);
    return promised_until_ > hold_until_;
}

void Tenancy::store_read(bool ok, double now) {
    if (!ok)
        served_since_ = -1;
    else if (served_since_ < 0)
        served_since_ = now;
    // Holds live longer through an outage, so only time in which the store answered counts.
    if (served_since_ >= 0 && now - served_since_ > holds_gone * ttl_s_)
        doubt_ = false;
}

bool Tenancy::promise(double length_s, double now, bool standby, bool store_failed) {
    // An attempt of ours that is still on its way would break the promise without our doing. A longer one than
    // holders ask for would be forgotten by a process that is back within a moment.
    if (!standby || !store_failed || doubt_ || length_s > promise_s() * (1 + drift))
        return false;
    not_before_ = std::max(not_before_, now + length_s * (1 + drift) + timer_s);
    return true;
}

} // namespace heronshift
