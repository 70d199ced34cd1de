/// @file
/// Chooses a peer to relay requests through when this controller cannot reach the store or a zone's workers directly.
#pragma once

#include "membership/peer_views.hpp"

#include <cstddef>
#include <optional>
#include <string>

namespace heronshift::membership {

/// Only peers whose view is fresh and to which this node's link is not lost are chosen. To be used on the loop's thread
/// only.
class RelayChoice {
public:
    /// Keeps a reference to the peers' state.
    explicit RelayChoice(const PeerViews& peers) : peers_(peers) {}

    /// A peer that reaches the store: `preferred` if it does, else the first by name; empty if no peer does.
    [[nodiscard]] std::optional<std::string> to_store(const std::string& preferred, double now) const;
    /// A peer that reaches the workers of the zone, each such peer in rotation; empty if no peer does.
    [[nodiscard]] std::optional<std::string> to_zone(const std::string& zone, double now);
    /// Whether a worker of the zone should send its heartbeats to the leader directly: true unless a fresh view of the
    /// leader says that the leader does not reach the zone.
    [[nodiscard]] bool leader_reaches(const std::string& leader, const std::string& zone, double now) const;

private:
    [[nodiscard]] bool is_usable(const PeerState& peer, double now) const;

    const PeerViews& peers_;
    std::size_t next_ = 0; // position in the rotation among the peers that reach a zone
};

} // namespace heronshift::membership
