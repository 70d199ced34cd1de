// A rate limiter.
#pragma once

#include <algorithm>

namespace heronshift {

/// A token bucket. It limits this controller to its share of a rate that all controllers together must not exceed.
/// Times are seconds of the steady clock. Not synchronised.
class TokenBucket {
public:
    TokenBucket(double per_s, double burst) : tokens_per_s_(per_s), burst_(burst), tokens_(burst) {}
    /// Takes `n` tokens. Returns false and takes none if fewer are available.
    bool take(double now, double n = 1) {
        if (!would_take(now, n))
            return false;
        tokens_ -= n;
        return true;
    }
    /// Takes `n` tokens even if fewer are available: the balance may become negative.
    void spend(double now, double n) {
        would_take(now, 0);
        tokens_ -= n;
    }
    /// Whether take() would succeed. Also adds the tokens for the time since the last call.
    bool would_take(double now, double n) {
        tokens_ = std::min(burst_, tokens_ + (now - refilled_at_) * tokens_per_s_);
        refilled_at_ = now;
        return tokens_ >= n;
    }

private:
    double tokens_per_s_, burst_, tokens_, refilled_at_ = 0;
};

} // namespace heronshift
