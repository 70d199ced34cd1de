// A token bucket that many clients share without any of them starving.
#pragma once

#include "bounded_cache.hpp"
#include "memory_share.hpp"
#include "token_bucket.hpp"

#include <algorithm>
#include <string>

namespace heronshift::gateway {

/// A token bucket for more requests than its rate allows. Requests are not queued: if there are too few tokens, a
/// request is refused at once, and its client has to retry. Part of the burst is reserved for clients that were refused
/// before. The longer a client has been refused, the more of this reserve it may use, so that each of many clients that
/// keep retrying is served eventually. Times are in seconds of the steady clock. Not synchronised: on the loop's thread
/// only.
class FairTokenBucket {
public:
    /// `per_s`, `burst`: rate and capacity of the bucket, in tokens.
    /// `full_reserve_after_s`: a client that has been refused for this long may use the whole reserve.
    /// `max_refused_clients`: number of refused clients that are remembered. Beyond it the client that was added first
    /// is removed, and counts as new at its next request.
    FairTokenBucket(double per_s, double burst, double full_reserve_after_s,
                    std::size_t max_refused_clients = min_table_entries)
        : budget_(per_s, burst), burst_(burst), full_reserve_after_s_(full_reserve_after_s),
          refused_since_(max_refused_clients) {}

    /// Takes the n tokens that the client's request needs in any case; tokens that it turns out to need beyond these
    /// are taken by spend(). Returns false if the request is refused.
    [[nodiscard]] bool take(const std::string& client, double now, double n = 1) {
        if (!would_take(client, now, n)) {
            refused(client, now);
            return false;
        }
        refused_since_.erase(client);
        budget_.take(now, n);
        return true;
    }
    /// Whether take() would succeed. Takes no tokens and does not record a refusal.
    [[nodiscard]] bool would_take(const std::string& client, double now, double n) {
        const auto* refused_at = refused_since_.find(client);
        const double unlocked_fraction =
            refused_at == nullptr ? 0 : std::min(1.0, (now - *refused_at) / full_reserve_after_s_);
        return budget_.would_take(now, n + (burst_ - n) * reserved_burst_share * (1 - unlocked_fraction));
    }
    /// Records that the client was refused, also if that was for another reason than this bucket.
    void refused(const std::string& client, double now) {
        if (const auto* refused_at = refused_since_.find(client);
            refused_at != nullptr && now - *refused_at > series_timeout_factor * full_reserve_after_s_)
            refused_since_.erase(client); // an old series of refusals: a new one starts now
        refused_since_.add(client, now);
    }
    /// Takes n tokens even if fewer are left; the balance may become negative.
    void spend(double now, double n) {
        budget_.spend(now, n);
    }

private:
    // The share of the burst that is reserved for clients that were refused before.
    static constexpr double reserved_burst_share = 0.5;
    // A series of refusals ends this many times `full_reserve_after_s` after its first refusal.
    static constexpr double series_timeout_factor = 4;
    TokenBucket budget_;
    double burst_, full_reserve_after_s_;
    BoundedCache<double> refused_since_;
};

} // namespace heronshift::gateway
