/// @file
/// Why a leader steps down, and which peers should take over from it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace heronshift::leadership {

/// Why a leader steps down.
enum class ResignReason : std::uint8_t {
    shutting_down,        ///< The process is shutting down.
    better_candidate,     ///< A peer reaches more of the cluster.
    no_worker_heartbeats, ///< No worker has been heard from for too long.
    store_unavailable,    ///< The leader has not been allowed to act for too long, as the store did not answer in time.
    store_serves_peer,    ///< The store serves a peer but not this node.
    newer_term_reported,  ///< A peer has learned from the store that another node is leader in a later term.
    newer_term_stored,    ///< The term counter in the store names another term.
    store_lease_expired,  ///< The store reports that the leader's store lease no longer exists.
    outcome_unknown,      ///< The leader's validity ended before the outcome of a transaction was known.
    newer_fencing_token,  ///< A worker has seen a fencing token higher than those of this term.
};

/// The reason as written to the log: the name of the enumerator.
[[nodiscard]] std::string_view to_string(ResignReason reason);

/// The decision to step down.
struct Resignation {
    ResignReason reason = ResignReason::shutting_down;
    /// Peers to ask to take over, the best candidate first. If there are none, the first node that finds no leader
    /// record acquires the leadership.
    std::vector<std::string> successors;
    /// Additional `key=value` fields for the log line; may be empty.
    std::string details;
};

} // namespace heronshift::leadership
