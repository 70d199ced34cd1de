#include "leadership/resignation.hpp"

namespace heronshift::leadership {

std::string_view to_string(ResignReason reason) {
    switch (reason) {
    case ResignReason::shutting_down:
        return "shutting_down";
    case ResignReason::better_candidate:
        return "better_candidate";
    case ResignReason::no_worker_heartbeats:
        return "no_worker_heartbeats";
    case ResignReason::store_unavailable:
        return "store_unavailable";
    case ResignReason::store_serves_peer:
        return "store_serves_peer";
    case ResignReason::newer_term_reported:
        return "newer_term_reported";
    case ResignReason::newer_term_stored:
        return "newer_term_stored";
    case ResignReason::store_lease_expired:
        return "store_lease_expired";
    case ResignReason::outcome_unknown:
        return "outcome_unknown";
    case ResignReason::newer_fencing_token:
        return "newer_fencing_token";
    }
    return "unknown";
}

} // namespace heronshift::leadership
