// A share of a rate that all controllers spend together.
#pragma once

#include <algorithm>

namespace heronshift {

class TokenBucket {
public:
    TokenBucket(double per_s, double burst) : rate_(per_s), burst_(burst), left_(burst) {}
    bool take(double now, double n = 1) {
        if (!would_take(now, n))
            return false;
        left_ -= n;
        return true;
    }
    void spend(double now, double n) { // what cannot be helped: less is left than nothing, if need be
        would_take(now, 0);
        left_ -= n;
    }
    bool would_take(double now, double n) {
        left_ = std::min(burst_, left_ + (now - at_) * rate_);
        at_ = now;
        return left_ >= n;
    }

private:
    double rate_, burst_, left_, at_ = 0;
};

} // namespace heronshift
