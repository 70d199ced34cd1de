// Who may spend of a budget that does not do for all who ask. Nobody is held back: whoever finds too little is
// refused at once and comes again; the longer somebody has been refused, the deeper it may draw, so that of many
// who ask again and again each has its turn, and it is never the same one that is refused.
#pragma once

#include "heronshift/bounded_cache.hpp"
#include "heronshift/memory_share.hpp"
#include "heronshift/token_bucket.hpp"

#include <string>

namespace heronshift::gateway {

class FairTokenBucket {
public:
    // patience_s: who has been refused for so long may spend the last of it.
    // max_refused: of more that are refused, the oldest counts as new when it comes again.
    FairTokenBucket(double per_s, double burst, double patience_s, std::size_t max_refused = min_table_entries)
        : budget_(per_s, burst), burst_(burst), patience_s_(patience_s), refused_(max_refused) {}

    // n is what it will surely spend; more is taken by spend().
    bool take(const std::string& who, double now, double n = 1) {
        if (!would_take(who, now, n)) {
            refused(who, now);
            return false;
        }
        refused_.erase(who);
        budget_.take(now, n);
        return true;
    }
    bool would_take(const std::string& who, double now, double n) {
        const auto* since = refused_.find(who);
        const double waited = since == nullptr ? 0 : std::min(1.0, (now - *since) / patience_s_);
        return budget_.would_take(now, n + (burst_ - n) * kept * (1 - waited));
    }
    void refused(const std::string& who, double now) {
        if (const auto* since = refused_.find(who); since != nullptr && now - *since > forgotten * patience_s_)
            refused_.erase(who); // asked long ago, and not since
        refused_.add(who, now);
    }
    void spend(double now, double n) {
        budget_.spend(now, n);
    }

private:
    static constexpr double kept = 0.5;    // of the burst, for those that were refused before
    static constexpr double forgotten = 4; // times the patience
    TokenBucket budget_;
    double burst_, patience_s_;
    BoundedCache<double> refused_; // since when
};

} // namespace heronshift::gateway
