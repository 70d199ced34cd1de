#include "leadership/store_outcome.hpp"

namespace heronshift::leadership {

StoreOutcome store_outcome(const store::Answer& answer) {
    switch (answer.status) {
    case 200:
        return StoreOutcome::ok;
    case 400:
        return StoreOutcome::invalid;
    case 404:
        return StoreOutcome::not_found;
    case 409:
        return StoreOutcome::conflict;
    case 410:
        return StoreOutcome::compacted;
    case 429:
        return StoreOutcome::rate_limited;
    case 502:
        return StoreOutcome::unreadable;
    case 503:
        return StoreOutcome::unavailable;
    case 0:
        return answer.sent ? StoreOutcome::no_answer : StoreOutcome::not_sent;
    default:
        return StoreOutcome::unexpected;
    }
}

} // namespace heronshift::leadership
