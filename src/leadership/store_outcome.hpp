/// @file
/// What became of a call to the state store, as the leadership code distinguishes it. Statuses of store::Answer are
/// mapped here and nowhere else in this folder.
#pragma once

#include "heronshift/store/store.hpp"

#include <cstdint>

namespace heronshift::leadership {

/// See store::Answer for the statuses.
enum class StoreOutcome : std::uint8_t {
    ok,
    not_found,    ///< No such key or lease.
    conflict,     ///< A guard failed; the transaction did nothing.
    invalid,      ///< The store does not allow the call; it was not executed.
    compacted,    ///< The changes asked for are no longer kept.
    rate_limited, ///< Above the store's limits; not executed.
    unavailable,  ///< The store says that it has surely not executed the call.
    not_sent,     ///< The call never left this node.
    no_answer,    ///< The call may have been executed, or may be later.
    unreadable,   ///< Something answered, but not in the store's words; the call may have been executed.
    unexpected,   ///< Any other status.
};

/// Maps the status of an answer.
[[nodiscard]] StoreOutcome store_outcome(const store::Answer& answer);

/// The store served this node nothing: it is down, or out of reach from here. Being over a limit is an answer.
[[nodiscard]] constexpr bool is_store_failure(StoreOutcome outcome) {
    return outcome == StoreOutcome::unavailable || outcome == StoreOutcome::not_sent ||
           outcome == StoreOutcome::no_answer;
}

/// A write with this outcome may have been applied, or may still be.
[[nodiscard]] constexpr bool may_be_applied(StoreOutcome outcome) {
    return outcome == StoreOutcome::no_answer || outcome == StoreOutcome::unreadable;
}

/// The store itself says that it has not executed the call.
[[nodiscard]] constexpr bool is_refused(StoreOutcome outcome) {
    return outcome == StoreOutcome::rate_limited || outcome == StoreOutcome::unavailable ||
           outcome == StoreOutcome::invalid;
}

} // namespace heronshift::leadership
