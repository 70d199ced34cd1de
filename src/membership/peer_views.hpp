/// @file
/// The state of the other controllers: for each, the health of the link to it and its newest view. A view is a hint
/// that may be wrong or outdated; only fresh views are used.
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

/// Stands for the time of an event that has not happened yet; earlier than any time of the monotonic clock.
inline constexpr double never = -1;

/// The time at which a view that arrives now was made, on this node's monotonic clock: `now` less the view's delay on
/// the way. The delay is the difference of the wall clocks, `wall` - `sent`, as far as it exceeds what clock errors of
/// up to `time_bound_s` on both sides explain. All values in seconds, `sent` and `wall` since 1970.
[[nodiscard]] double view_made_at(double sent, double wall, double now, double time_bound_s);
/// Whether a view made at `made_at` may still be used: false after about three missed exchanges.
[[nodiscard]] bool is_fresh(double made_at, double now, double report_s);

/// What this node knows about one peer.
struct PeerState {
    explicit PeerState(const Settings& settings);
    LinkHealth link;
    PeerView view;
    double view_made_at = never;
    /// Lower bounds on the times at which the store and the cloud last answered the peer; empty if not known.
    std::optional<double> store_answered_at, cloud_answered_at;
    /// A view was sent to the peer, and its reply is outstanding.
    bool exchange_pending = false;
};

/// The leader according to a peer that knows it from the store or leads itself.
struct ReportedLeader {
    std::string leader;
    std::uint64_t term = 0;
};

/// The state of all peers in the settings, in order of their names. To be used on the loop's thread only.
class PeerViews {
public:
    /// Keeps a reference to the settings.
    explicit PeerViews(const Settings& settings);

    /// The state of one peer; null if the peer is not in the settings.
    [[nodiscard]] PeerState* find(const std::string& name);
    [[nodiscard]] const PeerState* find(const std::string& name) const;
    /// The state of one peer if its view is fresh, else null.
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
    /// The fresh views, in order of the peers' names; the pointers are valid until a view is changed.
    [[nodiscard]] std::vector<const PeerView*> fresh_views(double now) const;
    /// The leader according to the fresh view with the highest term, among those whose sender knows the leader from the
    /// store or leads itself; empty if there is no such view.
    [[nodiscard]] std::optional<ReportedLeader> reported_leader(double now) const;

private:
    const Settings& settings_;
    std::map<std::string, PeerState> peers_;
};

} // namespace heronshift::membership
