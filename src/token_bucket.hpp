// A rate limit.
#pragma once

#include <algorithm>

namespace heronshift {

/// A token bucket: this controller's share of a rate that all controllers spend together. Times are seconds of the
/// steady clock. Not synchronised.
class TokenBucket {
public:
    TokenBucket(double per_s, double burst) : rate_(per_s), burst_(burst), left_(burst) {}
    /// Takes n tokens if they are there. False: they are not, and nothing was taken.
    bool take(double now, double n = 1) {
        if (!would_take(now, n))
            return false;
        left_ -= n;
        return true;
    }
    /// Takes n tokens whether they are there or not: less than none may be left.
    void spend(double now, double n) {
        would_take(now, 0);
        left_ -= n;
    }
    /// Whether take() would succeed.
    bool would_take(double now, double n) {
        left_ = std::min(burst_, left_ + (now - at_) * rate_);
        at_ = now;
        return left_ >= n;
    }

private:
    double rate_, burst_, left_, at_ = 0;
};

} // namespace heronshift
