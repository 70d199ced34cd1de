/// @file
/// What one controller tells another of its links and of the leadership: POST /peer/view, JSON. Fields that a reader
/// does not know are ignored, and missing ones count as unknown, so that versions can be mixed.
#pragma once

#include "membership/link_health.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heronshift::membership {

/// The path that views are posted to.
inline constexpr const char* peer_view = "/peer/view";

/// The view of one controller.
struct PeerView {
    /// The sender's name.
    std::string node;
    /// When it was sent, by the sender's wall clock, in seconds since 1970.
    double sent = 0;
    /// Whether the sender reaches the state service and the cloud.
    Reachability store = Reachability::unknown, cloud = Reachability::unknown;
    /// How long before `sent` those last answered it, in seconds; none: never, or not said.
    std::optional<double> store_s, cloud_s;
    /// Whether the sender reaches the workers of each zone.
    std::map<std::string, Reachability> zones;
    /// Which controllers answer the sender.
    std::map<std::string, Reachability> peers;
    /// Addresses of some machines that were heard of lately, by zone.
    std::map<std::string, std::vector<std::string>> machines;
    /// The leader and its term: as the store told the sender itself if sees_leader is set, else by hearsay.
    std::string leader;
    std::uint64_t term = 0;
    bool sees_leader = false;
    /// Whether the sender is the leader and may act.
    bool is_active_leader = false;
};

/// Whether the sender reaches the workers of one zone; unknown if the view does not say.
[[nodiscard]] Reachability zone_reach(const PeerView& view, const std::string& zone);

/// The view as the body of a request or an answer.
std::string to_body(const PeerView& view);
/// Reads such a body; none: it is not a view. What exceeds the bounds on names and lists is dropped.
std::optional<PeerView> view(std::string_view body);

} // namespace heronshift::membership
