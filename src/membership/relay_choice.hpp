/// @file
/// Which controller to go through where this one cannot reach the store or a zone's workers itself.
#pragma once

#include "membership/peer_views.hpp"

#include <cstddef>
#include <optional>
#include <string>

namespace heronshift::membership {

/// Chooses among the peers that are reached from here and whose view is fresh. Used on the loop's thread only.
class RelayChoice {
public:
    /// Keeps the reference.
    explicit RelayChoice(const PeerViews& peers) : peers_(peers) {}

    /// A peer that reaches the store: the preferred one if it does, else the first by name; none: no peer does.
    [[nodiscard]] std::optional<std::string> to_store(const std::string& preferred, double now) const;
    /// A peer that reaches the workers of a zone, each in turn; none: no peer does.
    [[nodiscard]] std::optional<std::string> to_zone(const std::string& zone, double now);
    /// Whether a worker of the zone should report to the leader itself: yes, unless the leader's fresh view says that
    /// it does not reach the zone.
    [[nodiscard]] bool leader_reaches(const std::string& leader, const std::string& zone, double now) const;

private:
    [[nodiscard]] bool is_usable(const PeerState& peer, double now) const;

    const PeerViews& peers_;
    std::size_t next_ = 0; // whose turn it is among the peers that reach a zone
};

} // namespace heronshift::membership
