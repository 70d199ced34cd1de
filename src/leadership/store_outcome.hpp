/// @file
/// The outcome of a call to the state store, as far as the leadership code distinguishes outcomes. This is the only
/// place in this folder where statuses of store::Answer are interpreted.
#pragma once

#include "heronshift/store/store.hpp"

#include <cstdint>

namespace heronshift::leadership {

/// See store::Answer for the statuses from which the outcomes are derived.
enum class StoreOutcome : std::uint8_t {
    ok,
    not_found,    ///< The key or lease does not exist.
    conflict,     ///< A guard failed; the transaction had no effect.
    invalid,      ///< The store rejected the call as invalid; it was not executed.
    compacted,    ///< The store no longer keeps the requested changes.
    rate_limited, ///< The store's rate limit was exceeded; the call was not executed.
    unavailable,  ///< The store guarantees that it has not executed the call.
    not_sent,     ///< The call never left this node.
    no_answer,    ///< The call may have been executed, or may be executed later.
    unreadable,   ///< The answer does not follow the store's protocol; the call may have been executed.
    unexpected,   ///< Any other status.
};

/// Derives the outcome from the status of an answer.
[[nodiscard]] StoreOutcome store_outcome(const store::Answer& answer);

/// Whether the store did not serve the call: it is down, or this node cannot reach it. An exceeded rate limit is not a
/// failure, since the store has answered.
[[nodiscard]] constexpr bool is_store_failure(StoreOutcome outcome) {
    return outcome == StoreOutcome::unavailable || outcome == StoreOutcome::not_sent ||
           outcome == StoreOutcome::no_answer;
}

/// Whether a write with this outcome may have been applied, or may be applied later.
[[nodiscard]] constexpr bool may_be_applied(StoreOutcome outcome) {
    return outcome == StoreOutcome::no_answer || outcome == StoreOutcome::unreadable;
}

/// Whether the store itself has reported that it did not execute the call.
[[nodiscard]] constexpr bool is_refused(StoreOutcome outcome) {
    return outcome == StoreOutcome::rate_limited || outcome == StoreOutcome::unavailable ||
           outcome == StoreOutcome::invalid;
}

} // namespace heronshift::leadership
