/// @file
/// How well each controller could lead, by the views. Pure functions: no state, no clock, no I/O; any thread.
#pragma once

#include "heronshift/config.hpp"
#include "membership/link_health.hpp"
#include "membership/peer_view.hpp"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace heronshift::membership {

/// How well a controller could be the leader; greater is a better candidate. Compared in this order: the store, the
/// workers that it reaches itself, those that it reaches through another controller, the cloud.
struct Eligibility {
    /// 1 if it reaches the store, else 0.
    int store = 0;
    /// Zones whose workers it reaches itself.
    int zones = 0;
    /// Further zones whose workers it reaches through another controller.
    int zones_by_others = 0;
    /// 1 unless it is known not to reach the cloud.
    int cloud = 0;
    auto operator<=>(const Eligibility&) const = default;
};
/// As text, for log lines.
std::string describe(const Eligibility& eligibility);

/// How links that nothing is known about are counted.
enum class UnknownLinks { as_unreachable, as_reachable };

/// The eligibility of the controller whose view is given. A zone that it does not reach itself counts as reached
/// through another if one of `all_views` reaches it and answers this controller; its own view may be among them.
[[nodiscard]] Eligibility evaluate(const PeerView& candidate, const std::vector<const PeerView*>& all_views,
                                   const std::vector<std::string>& zones, UnknownLinks unknown_links);

/// Whether a controller could do the work of a leader at all: it reaches the store and some workers.
[[nodiscard]] bool could_lead(const Eligibility& eligibility);

/// Whether a peer's answer at that time shows that the failure of this node's own link is this node's alone: true while
/// the link is not lost, and for an answer from after it had begun to fail. Answers that were under way at that moment
/// prove nothing: in an outage of the store itself the views of all peers say for a moment that it is there, and a
/// leader that believed them would resign for nothing (docs/safety.md, 26; AnsweredSinceLost in
/// tests/test_membership.cpp).
[[nodiscard]] bool answered_since_lost(std::optional<double> answered_at, const LinkHealth& own_link, double report_s);

/// A peer and its eligibility.
struct Candidate {
    std::string name;
    Eligibility eligibility;
};

/// The best of the peers that are better than this node, the first of equal ones; none: there is none.
[[nodiscard]] std::optional<std::string> best_above(const Eligibility& own, const std::vector<Candidate>& peers);

/// For how long this node leaves a free leadership to others, in seconds: to a better candidate for a share of a lease,
/// to equal ones that come earlier by name for a moment each, so that not all try at once. A node that reaches no
/// worker yields too, unless `no_better_candidate` says that all others are known to be no better.
[[nodiscard]] double candidacy_delay_s(const Settings& settings, const Eligibility& own,
                                       const std::vector<Candidate>& peers, bool no_better_candidate);

} // namespace heronshift::membership
