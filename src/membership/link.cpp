#include "heronshift/membership/link.hpp"

#include <utility>

namespace heronshift::membership {

bool Link::worked(double now) {
    worked_at_ = now;
    failures_ = 0;
    if (back_since_ < 0)
        back_since_ = now;
    // What was lost has to work for a while: else every flap would move the office or the workers.
    if (reach_ == Reach::lost && now - back_since_ < p_.back_s)
        return false;
    return std::exchange(reach_, Reach::works) == Reach::lost;
}

bool Link::failed(double now) {
    failed_at_ = now;
    back_since_ = -1;
    if (failures_++ == 0)
        first_failed_ = now;
    if (reach_ == Reach::lost || failures_ < p_.failures)
        return false;
    if (now - (worked_at_ < 0 ? first_failed_ : worked_at_) < p_.lost_s)
        return false;
    reach_ = Reach::lost;
    return true;
}

} // namespace heronshift::membership
