/// @file
/// Ranks the controllers as candidates for the leadership by the links that their views report. Pure functions: no
/// state, no clock, no I/O; callable from any thread.
#pragma once

#include "heronshift/config.hpp"
#include "membership/link_health.hpp"
#include "membership/peer_view.hpp"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace heronshift::membership {

/// How well connected a controller is; a greater value is a better candidate for the leadership. The members are
/// compared in the order of their declaration: the state store, the zones whose workers the controller reaches
/// directly, the zones that it reaches through another controller, the cloud.
struct Eligibility {
    /// 1 if the controller reaches the state store, else 0.
    int store = 0;
    /// Number of zones whose workers it reaches directly.
    int zones = 0;
    /// Number of zones whose workers it reaches only through another controller.
    int zones_via_peers = 0;
    /// 0 if it is known not to reach the cloud, else 1.
    int cloud = 0;
    auto operator<=>(const Eligibility&) const = default;
};
/// Formats an eligibility for log lines.
std::string describe(const Eligibility& eligibility);

/// How `evaluate` counts links to the store and to zones whose state is unknown.
enum class UnknownLinks { as_unreachable, as_reachable };

/// The eligibility of the controller that sent the view `candidate`. A zone that it does not reach directly counts as
/// reached through another controller if the view of that controller, one of `all_views`, says that it reaches the
/// zone, and `candidate` says that the controller answers it. `all_views` may contain the candidate's own view, which
/// is skipped.
[[nodiscard]] Eligibility evaluate(const PeerView& candidate, const std::vector<const PeerView*>& all_views,
                                   const std::vector<std::string>& zones, UnknownLinks unknown_links);

/// Whether a controller could act as leader at all: it reaches the store, and the workers of at least one zone directly
/// or through another controller.
[[nodiscard]] bool could_lead(const Eligibility& eligibility);

/// Whether a service (the store or the cloud) that last answered a peer at `answered_at` works for that peer although
/// this node's own link to the service has failed. True while `own_link` is not lost, and if the service answered after
/// `own_link` had begun to fail. An answer that was in flight when the failures began proves nothing: at the start of
/// an outage of the store itself, the views of all peers still report it as reachable for a moment, and a leader that
/// relied on them would resign without need (docs/safety.md, 26; AnsweredSinceLost in tests/test_membership.cpp).
[[nodiscard]] bool answered_since_lost(std::optional<double> answered_at, const LinkHealth& own_link, double report_s);

struct Candidate {
    std::string name;
    Eligibility eligibility;
};

/// The name of the most eligible peer, if it is more eligible than this node; the first of several equal ones. Empty if
/// no peer is more eligible.
[[nodiscard]] std::optional<std::string> best_candidate_above(const Eligibility& own,
                                                              const std::vector<Candidate>& peers);

/// How long this node waits before it tries to acquire a free leadership, in seconds: a fraction of a lease if a peer
/// is a better candidate, else a shorter time for each equal candidate whose name sorts before this node's, so that
/// they don't all try at once. A node that reaches no worker also waits for the fraction of a lease, unless
/// `no_better_candidate` says that every other controller is known not to be a better candidate.
[[nodiscard]] double candidacy_delay_s(const Settings& settings, const Eligibility& own,
                                       const std::vector<Candidate>& peers, bool no_better_candidate);

} // namespace heronshift::membership
