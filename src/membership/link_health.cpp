#include "heronshift/membership/link_health.hpp"

#include <utility>

namespace heronshift::membership {

bool LinkHealth::worked(double now) {
    worked_at_ = now;
    failures_ = 0;
    if (back_since_ < 0)
        back_since_ = now;
    // What was lost has to work for a while: else every flap would move the leadership or the workers.
    if (reach_ == Reachability::unreachable && now - back_since_ < thresholds_.back_s)
        return false;
    return std::exchange(reach_, Reachability::reachable) == Reachability::unreachable;
}

bool LinkHealth::failed(double now) {
    failed_at_ = now;
    back_since_ = -1;
    if (failures_++ == 0)
        first_failed_ = now;
    if (reach_ == Reachability::unreachable || failures_ < thresholds_.failures)
        return false;
    if (now - (worked_at_ < 0 ? first_failed_ : worked_at_) < thresholds_.lost_s)
        return false;
    reach_ = Reachability::unreachable;
    return true;
}

} // namespace heronshift::membership
