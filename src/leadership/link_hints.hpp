/// @file
/// The election's view of this node's links and of the other controllers.
#pragma once

#include "membership/membership.hpp"

#include <cstddef>
#include <optional>
#include <string>

namespace heronshift::leadership {

/// Information that may be wrong or outdated: acting on it then delays the election but violates no invariant. All
/// times are seconds of the process's monotonic clock.
class LinkHints {
public:
    LinkHints() = default;
    LinkHints(const LinkHints&) = delete;
    LinkHints& operator=(const LinkHints&) = delete;
    virtual ~LinkHints() = default;

    /// Whether this node reaches the store; also true while that is unknown.
    [[nodiscard]] virtual bool store_reachable() const = 0;
    /// Whether this node cannot reach the workers of any zone.
    [[nodiscard]] virtual bool all_zones_lost() const = 0;
    /// When any worker was last heard from, directly or through another controller; below zero: never.
    [[nodiscard]] virtual double last_worker_contact_at() const = 0;
    /// How many machines are expected to send heartbeats to the leader. Each call scans all machines.
    [[nodiscard]] virtual std::size_t machines_up() const = 0;
    /// How long this node waits, when there is no leader, so that better candidates can acquire the leadership first.
    [[nodiscard]] virtual double candidacy_delay_s() const = 0;
    /// The best candidate among the peers, if it is certain that it is a better candidate than this node.
    [[nodiscard]] virtual std::optional<std::string> better_candidate() const = 0;
    /// Whether it is known of every peer that it is not a better candidate than this node.
    [[nodiscard]] virtual bool no_better_candidate() const = 0;
    /// A peer that the store has answered since it stopped answering this node.
    [[nodiscard]] virtual std::optional<std::string> peer_served_by_store() const = 0;
    /// The leader that a peer has learned from the store.
    [[nodiscard]] virtual std::optional<membership::Membership::ReportedLeader> reported_leader() const = 0;
    [[nodiscard]] virtual membership::Eligibility own_eligibility() const = 0;
    /// A peer's eligibility as far as it is known for certain.
    [[nodiscard]] virtual membership::Eligibility eligibility(const std::string& peer) const = 0;
};

} // namespace heronshift::leadership
