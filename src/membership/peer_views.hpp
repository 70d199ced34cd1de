/// @file
/// The other controllers: the link to each, and the newest view that came from it. A view is a hint that may be wrong
/// or out of date; only fresh ones are used.
#pragma once

#include "heronshift/config.hpp"
#include "membership/link_health.hpp"
#include "membership/peer_view.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heronshift::membership {

/// A time on the monotonic clock earlier than any that it shows: of what has not happened yet.
inline constexpr double never = -1;

/// When a view was made, on this node's monotonic clock: now, less what it was delayed on the way beyond what the bound
/// on wall clock errors explains. All in seconds; sent and wall since 1970.
[[nodiscard]] double view_made_at(double sent, double wall, double now, double time_bound_s);
/// Whether a view made then still says something: not if some three exchanges have been missed.
[[nodiscard]] bool is_fresh(double made_at, double now, double report_s);

/// What is known of one peer.
struct PeerState {
    /// A peer about which nothing is known yet.
    explicit PeerState(const Settings& settings);
    LinkHealth link;
    PeerView view;
    double view_made_at = never;
    /// The state service and the cloud answered the peer then or later; none: not known.
    std::optional<double> store_answered_at, cloud_answered_at;
    /// A view was sent and not answered yet.
    bool exchange_pending = false;
};

/// Who is the leader by what a peer was told by the store.
struct ReportedLeader {
    std::string leader;
    std::uint64_t term = 0;
};

/// All peers of the settings, in order of their names. Used on the loop's thread only.
class PeerViews {
public:
    /// Keeps the reference.
    explicit PeerViews(const Settings& settings);

    /// The state of one peer; null if it is not in the settings.
    [[nodiscard]] PeerState* find(const std::string& name);
    [[nodiscard]] const PeerState* find(const std::string& name) const;
    /// The state of one peer, if its view is fresh; else null.
    [[nodiscard]] const PeerState* find_fresh(const std::string& name, double now) const;
    [[nodiscard]] std::map<std::string, PeerState>& all() {
        return peers_;
    }
    [[nodiscard]] const std::map<std::string, PeerState>& all() const {
        return peers_;
    }
    [[nodiscard]] bool is_fresh(const PeerState& peer, double now) const {
        return membership::is_fresh(peer.view_made_at, now, settings_.report_s);
    }
    [[nodiscard]] bool any_fresh(double now) const;
    [[nodiscard]] bool all_fresh(double now) const;
    /// The fresh views, in order of name; valid until the next call that changes a view.
    [[nodiscard]] std::vector<const PeerView*> fresh_views(double now) const;
    /// Who is the leader by the fresh view of the greatest term; none: no view says so.
    [[nodiscard]] std::optional<ReportedLeader> reported_leader(double now) const;

private:
    const Settings& settings_;
    std::map<std::string, PeerState> peers_;
};

} // namespace heronshift::membership
