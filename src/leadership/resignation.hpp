/// @file
/// Why a leader steps down, and who should follow it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace heronshift::leadership {

/// Why a leader steps down.
enum class ResignReason : std::uint8_t {
    shutting_down,        ///< The process ends.
    better_candidate,     ///< A peer reaches more of the cluster.
    no_worker_heartbeats, ///< No worker has been heard from for long.
    store_unavailable,    ///< The store has not answered for long.
    store_serves_peer,    ///< The store serves a peer but not this node.
    newer_term_reported,  ///< A peer was told by the store of another leader in a later term.
    newer_term_stored,    ///< The term counter names another term.
    store_lease_expired,  ///< The store says that the leader's store lease has ended.
    outcome_unknown,      ///< The validity ran out before the outcome of a transaction was known.
    newer_fencing_token,  ///< A worker has seen a fencing token above those of this term.
};

/// The reason as it stands in the log: its name in lower case with underscores.
[[nodiscard]] std::string_view to_string(ResignReason reason);

/// The decision to step down.
struct Resignation {
    ResignReason reason = ResignReason::shutting_down;
    /// Peers to be asked to take over, the best first; none: whoever finds the leadership free takes it.
    std::vector<std::string> successors;
    /// Further fields for the log line; may be empty.
    std::string details;
};

} // namespace heronshift::leadership
