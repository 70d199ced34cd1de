// A token bucket that many clients share, in which each has its turn.
#pragma once

#include "bounded_cache.hpp"
#include "memory_share.hpp"
#include "token_bucket.hpp"

#include <algorithm>
#include <string>

namespace heronshift::gateway {

/// A budget that does not suffice for all who ask. Nobody is held back: whoever finds too little is refused at once and
/// asks again. The longer a client has been refused, the deeper it may draw, so that of many who ask again and again
/// each has its turn. Times are seconds of the steady clock. Not synchronised: on the loop's thread only.
class FairTokenBucket {
public:
    /// per_s, burst: of the budget, in tokens.
    /// patience_s: a client that was refused for so long may spend the last of the budget.
    /// max_refused: clients that are remembered as refused; of more, the oldest counts as new when it asks again.
    FairTokenBucket(double per_s, double burst, double patience_s, std::size_t max_refused = min_table_entries)
        : budget_(per_s, burst), burst_(burst), patience_s_(patience_s), refused_since_(max_refused) {}

    /// Takes n tokens, which the client will surely spend; what it needs beyond is taken by spend(). False: refused.
    [[nodiscard]] bool take(const std::string& client, double now, double n = 1) {
        if (!would_take(client, now, n)) {
            refused(client, now);
            return false;
        }
        refused_since_.erase(client);
        budget_.take(now, n);
        return true;
    }
    /// Whether take() would succeed. Nothing is taken and nobody counts as refused.
    [[nodiscard]] bool would_take(const std::string& client, double now, double n) {
        const auto* since = refused_since_.find(client);
        const double waited = since == nullptr ? 0 : std::min(1.0, (now - *since) / patience_s_);
        return budget_.would_take(now, n + (burst_ - n) * kept * (1 - waited));
    }
    /// Counts a client as refused that was sent away for another reason.
    void refused(const std::string& client, double now) {
        if (const auto* since = refused_since_.find(client); since != nullptr && now - *since > forgotten * patience_s_)
            refused_since_.erase(client); // asked long ago, and not since
        refused_since_.add(client, now);
    }
    /// Takes n tokens whether they are there or not.
    void spend(double now, double n) {
        budget_.spend(now, n);
    }

private:
    static constexpr double kept = 0.5;    // of the burst, for those that were refused before
    static constexpr double forgotten = 4; // times the patience
    TokenBucket budget_;
    double burst_, patience_s_;
    BoundedCache<double> refused_since_;
};

} // namespace heronshift::gateway
