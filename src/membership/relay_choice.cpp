#include "membership/relay_choice.hpp"

#include <vector>

namespace heronshift::membership {

bool RelayChoice::is_usable(const PeerState& peer, double now) const {
    return peers_.is_fresh(peer, now) && !peer.link.lost();
}

std::optional<std::string> RelayChoice::to_store(const std::string& preferred, double now) const {
    std::optional<std::string> out;
    for (const auto& [name, peer] : peers_.all()) {
        const bool serves = is_usable(peer, now) && peer.view.store == Reachability::reachable;
        if (serves && (!out || name == preferred))
            out = name;
    }
    return out;
}

std::optional<std::string> RelayChoice::to_zone(const std::string& zone, double now) {
    std::vector<const std::string*> relays;
    for (const auto& [name, peer] : peers_.all())
        if (is_usable(peer, now) && zone_reachability(peer.view, zone) == Reachability::reachable)
            relays.push_back(&name);
    if (relays.empty())
        return {};
    return *relays[next_++ % relays.size()];
}

bool RelayChoice::leader_reaches(const std::string& leader, const std::string& zone, double now) const {
    const auto* peer = peers_.find_fresh(leader, now);
    return peer == nullptr || zone_reachability(peer->view, zone) != Reachability::unreachable;
}

} // namespace heronshift::membership
