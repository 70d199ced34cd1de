/// @file
/// What the election asks about this node's links and about the other controllers.
#pragma once

#include "membership/membership.hpp"

#include <cstddef>
#include <optional>
#include <string>

namespace heronshift::leadership {

/// Hints: a wrong or stale one costs time and breaks no rule. All times are seconds of the process's monotonic clock.
class LinkHints {
public:
    LinkHints() = default;
    LinkHints(const LinkHints&) = delete;
    LinkHints& operator=(const LinkHints&) = delete;
    virtual ~LinkHints() = default;

    /// The store is not known to be out of this node's reach.
    [[nodiscard]] virtual bool store_reachable() const = 0;
    /// No zone's workers can be reached.
    [[nodiscard]] virtual bool all_zones_lost() const = 0;
    /// When any worker was last heard from, directly or through another controller; below zero: never.
    [[nodiscard]] virtual double last_worker_heartbeat_at() const = 0;
    /// How many machines should send heartbeats to the leader. Costs a scan of the machines.
    [[nodiscard]] virtual std::size_t machines_up() const = 0;
    /// How long this node leaves a free leadership to better candidates, in seconds.
    [[nodiscard]] virtual double candidacy_delay_s() const = 0;
    /// The best peer, if it is surely a better candidate than this node.
    [[nodiscard]] virtual std::optional<std::string> better_candidate() const = 0;
    /// All peers are known to be no better candidates.
    [[nodiscard]] virtual bool no_better_candidate() const = 0;
    /// A peer that the store has answered since it stopped answering this node.
    [[nodiscard]] virtual std::optional<std::string> served_instead() const = 0;
    /// The leader that a peer was told of by the store.
    [[nodiscard]] virtual std::optional<membership::Membership::ReportedLeader> reported_leader() const = 0;
    [[nodiscard]] virtual membership::Eligibility own_eligibility() const = 0;
    [[nodiscard]] virtual membership::Eligibility eligibility(const std::string& peer) const = 0;
};

} // namespace heronshift::leadership
