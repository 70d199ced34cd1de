#include "membership/link_health.hpp"

#include <utility>

namespace heronshift::membership {

bool LinkHealth::record_success(double now) {
    succeeded_at_ = now;
    failures_in_row_ = 0;
    if (!succeeding_since_)
        succeeding_since_ = now;
    // A lost link counts as reachable only after it has worked for min_recovery_s: otherwise a flapping link would move
    // the leadership or redirect the workers each time.
    if (lost() && now - *succeeding_since_ < thresholds_.min_recovery_s)
        return false;
    return std::exchange(reachability_, Reachability::reachable) == Reachability::unreachable;
}

bool LinkHealth::record_failure(double now) {
    failed_at_ = now;
    succeeding_since_.reset();
    if (failures_in_row_++ == 0)
        failing_since_ = now;
    if (lost() || failures_in_row_ < thresholds_.min_failures)
        return false;
    const double outage_since = succeeded_at_ ? *succeeded_at_ : *failing_since_;
    if (now - outage_since < thresholds_.min_outage_s)
        return false;
    reachability_ = Reachability::unreachable;
    return true;
}

} // namespace heronshift::membership
