#include "membership/peer_views.hpp"

#include <algorithm>

namespace heronshift::membership {
namespace {

// For how many heartbeat intervals a view counts as fresh. Each controller sends its view three times in one interval.
constexpr double fresh_heartbeats = 1;

FailureThresholds peer_thresholds(const Settings& settings) {
    return {.min_outage_s = settings.report_s / 2, .min_failures = 2, .min_recovery_s = settings.report_s / 4};
}

} // namespace

double view_made_at(double sent, double wall, double now, double time_bound_s) {
    // Each of the two clocks may be wrong by the bound, in opposite directions.
    const double late = std::max(0.0, wall - sent - 2 * time_bound_s);
    return now - late;
}

bool is_fresh(double made_at, double now, double report_s) {
    return made_at >= 0 && now - made_at < fresh_heartbeats * report_s;
}

PeerState::PeerState(const Settings& settings) : link(peer_thresholds(settings)) {}

PeerViews::PeerViews(const Settings& settings) : settings_(settings) {
    for (const auto& peer : settings.peers)
        peers_.emplace(peer.name, settings);
}

PeerState* PeerViews::find(const std::string& name) {
    const auto it = peers_.find(name);
    return it == peers_.end() ? nullptr : &it->second;
}

const PeerState* PeerViews::find(const std::string& name) const {
    const auto it = peers_.find(name);
    return it == peers_.end() ? nullptr : &it->second;
}

const PeerState* PeerViews::find_fresh(const std::string& name, double now) const {
    const auto* peer = find(name);
    return peer != nullptr && is_fresh(*peer, now) ? peer : nullptr;
}

bool PeerViews::any_fresh(double now) const {
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) { return is_fresh(entry.second, now); });
}

bool PeerViews::all_fresh(double now) const {
    return std::all_of(peers_.begin(), peers_.end(), [&](const auto& entry) { return is_fresh(entry.second, now); });
}

std::vector<const PeerView*> PeerViews::fresh_views(double now) const {
    std::vector<const PeerView*> out;
    for (const auto& [name, peer] : peers_)
        if (is_fresh(peer, now))
            out.push_back(&peer.view);
    return out;
}

std::optional<ReportedLeader> PeerViews::reported_leader(double now) const {
    std::optional<ReportedLeader> out;
    for (const auto* view : fresh_views(now))
        if ((view->sees_leader || view->is_active_leader) && (!out || view->term > out->term))
            out = ReportedLeader{view->leader, view->term};
    return out;
}

} // namespace heronshift::membership
