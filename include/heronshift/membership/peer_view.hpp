// What one controller says of its links to another, and its words on the way: POST /peer/view, JSON. What
// a reader does not know it leaves out, and what it misses it takes for unknown.
#pragma once

#include "heronshift/membership/link_health.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heronshift::membership {

inline constexpr const char* peer_view = "/peer/view";
// Machines of a zone that are asked whether they answer: a sample, no larger for a larger fleet. One answer shows that
// the zone can be reached.
inline constexpr std::size_t max_samples = 4;

struct PeerView {
    std::string node;
    double sent = 0; // by the sender's wall clock, seconds since 1970
    Reachability store = Reachability::unknown, cloud = Reachability::unknown;
    double store_s = -1, cloud_s = -1;         // since those last answered, when this was said; below zero: not said
    std::map<std::string, Reachability> zones; // their workers
    std::map<std::string, Reachability> peers; // who answers this node
    std::map<std::string, std::vector<std::string>> machines; // addresses of some that were heard of lately, by zone
    // The leadership: who holds it by what the store told this node itself (sees_leader), or by hearsay.
    std::string leader;
    std::uint64_t term = 0;
    bool sees_leader = false, is_active_leader = false;
};

std::string to_body(const PeerView& view);
std::optional<PeerView> view(std::string_view body); // none: not one

} // namespace heronshift::membership
