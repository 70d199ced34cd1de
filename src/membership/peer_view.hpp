/// @file
/// The message by which a controller tells its peers the state of its links and what it knows of the leadership: JSON,
/// sent with POST /peer/view. Unknown fields are ignored and missing ones count as unknown, so that controllers of
/// different versions can run together.
#pragma once

#include "membership/link_health.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heronshift::membership {

/// The path to which views are posted.
inline constexpr const char* path_peer_view = "/peer/view";

/// The view of one controller.
struct PeerView {
    /// The sender's name.
    std::string node;
    /// When the view was sent, by the sender's wall clock, in seconds since 1970.
    double sent = 0;
    /// Whether the sender reaches the state store and the cloud.
    Reachability store = Reachability::unknown, cloud = Reachability::unknown;
    /// How long before `sent` the store and the cloud last answered the sender, in seconds; empty if they never did, or
    /// if the view doesn't say.
    std::optional<double> store_s, cloud_s;
    /// Whether the sender reaches the workers of each zone.
    std::map<std::string, Reachability> zones;
    /// Which controllers answer the sender.
    std::map<std::string, Reachability> peers;
    /// Addresses of some machines of each zone that lately sent a heartbeat to the sender or to the active leader.
    std::map<std::string, std::vector<std::string>> machines;
    /// The leader and its term: read from the store by the sender itself if `sees_leader` is set, else as learned from
    /// peers.
    std::string leader;
    std::uint64_t term = 0;
    bool sees_leader = false;
    /// Whether the sender is the leader and may act.
    bool is_active_leader = false;
};

/// Whether the sender of the view reaches the workers of the zone; unknown if the view doesn't say.
[[nodiscard]] Reachability zone_reachability(const PeerView& view, const std::string& zone);

/// Serializes a view as the body of a request or a reply.
std::string to_body(const PeerView& view);
/// Parses the body of a request or a reply; empty if it is not a view. Names and entries beyond the limits on their
/// length and number are dropped.
std::optional<PeerView> view(std::string_view body);

} // namespace heronshift::membership
