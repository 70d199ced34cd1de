/// @file
/// Tracks which links of this controller work, and which links its peers last reported as working. All of this is a
/// hint: no safety rule depends on it, and a wrong or outdated view only costs time.
#pragma once

#include "heronshift/config.hpp"
#include "heronshift/executor/executor.hpp"
#include "heronshift/store/store.hpp"
#include "membership/eligibility.hpp"
#include "membership/link_health.hpp"
#include "membership/peer_view.hpp"
#include "membership/peer_views.hpp"
#include "membership/relay_choice.hpp"
#include "membership/zone_health.hpp"
#include "metrics/metrics.hpp"
#include "peers/peers.hpp"
#include "timer_queue.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heronshift::membership {

/// Tracks the health of the links to the state store, the cloud, the peers and the workers of each zone from the
/// results of requests. Exchanges views with the peers, probes links that have carried no traffic for a while, and
/// tells the other components which links work and which peers to relay through. To be used on the loop's thread only;
/// must outlive the requests that it has sent.
class Membership {
public:
    /// What Membership needs to know from its controller.
    class Host {
    public:
        virtual ~Host() = default;
        /// The name of the leader as far as this node knows; empty if it knows of none.
        [[nodiscard]] virtual const std::string& leader() const = 0;
        [[nodiscard]] virtual std::uint64_t leader_term() const = 0;
        /// Whether this node learned from the store itself, rather than from a peer, who the leader is.
        [[nodiscard]] virtual bool sees_leader() const = 0;
        /// Whether this node is the leader and may act.
        [[nodiscard]] virtual bool is_active_leader() const = 0;
        /// When this node became the leader, in seconds on the monotonic clock.
        [[nodiscard]] virtual double active_since() const = 0;
        /// How many machines should send heartbeats to this node, by zone. Called only while it is the active leader.
        [[nodiscard]] virtual std::map<std::string, std::size_t> machines_by_zone() const = 0;
    };
    /// Keeps references to all arguments.
    Membership(const Settings& settings, TimerQueue& timers, store::StateStore& store, Executor& executor, Peers& peers,
               Host& host);

    /// Does the periodic work that is due: checks zones for missing heartbeats, sends probes, exchanges views. To be
    /// called at least every thirtieth of report_s, which is the shortest of its intervals.
    void tick();
    /// Handles POST /peer/view: stores the peer's view and replies with this node's own; replies 400 if the body is not
    /// a view.
    void handle_view(const HttpRequest& request, const Responder& res);

    /// Called by the users of a link with the result of each request: whether it was answered.
    void store_answered(bool ok);
    void cloud_answered(bool ok);
    void peer_answered(const std::string& name, bool ok);
    /// Records a heartbeat that the machine sent to this node directly.
    void heartbeat_received(const std::string& zone, const std::string& addr);
    /// Records a heartbeat that another controller relayed.
    void heartbeat_relayed(const std::string& zone, const std::string& addr);
    /// Stops probing a machine that is being released, or that no controller can reach: its missing answers say nothing
    /// about this node's links. If such machines were still probed, a few of them would make their zone look
    /// unreachable, and the leader would resign (`ReleasedMachines`, `MissedAnswers`).
    void stop_probing(const std::string& zone, const std::string& addr);
    /// Records that a machine answered a request of this node, directly or relayed.
    void machine_answered() {
        last_worker_contact_at_ = timers_.now();
    }

    /// The state of this node's own links; unknown for names that are not in the settings.
    [[nodiscard]] Reachability store() const {
        return store_link_.reach();
    }
    [[nodiscard]] Reachability zone(const std::string& name) const;
    [[nodiscard]] bool any_zone_lost() const;
    [[nodiscard]] bool all_zones_lost() const;
    [[nodiscard]] Reachability peer(const std::string& name) const;
    /// When the last heartbeat or answer of any machine came, directly or relayed, in seconds on the monotonic clock;
    /// `never` (below zero) if none came yet.
    [[nodiscard]] double last_worker_contact_at() const {
        return last_worker_contact_at_;
    }

    /// Whether this node has a fresh view of every peer, and none of the peers could lead.
    [[nodiscard]] bool no_better_candidate() const;
    /// Whether the link to the store is not lost, or this node has a fresh view of at least one peer.
    [[nodiscard]] bool has_any_link() const;
    /// The most eligible of the peers with fresh views, if it is more eligible than this node even if the peers'
    /// eligibility is taken as by `eligibility` and this node's as by `own_eligibility`.
    [[nodiscard]] std::optional<std::string> better_candidate() const;
    /// This node's eligibility; unknown links count as reachable.
    [[nodiscard]] Eligibility own_eligibility() const;
    /// A peer's eligibility; its unknown links to the store and to zones count as unreachable. The store and the cloud
    /// count only if they have answered the peer since this node's own link to them began to fail, if that is lost. All
    /// members are 0 if there is no fresh view of the peer.
    [[nodiscard]] Eligibility eligibility(const std::string& peer) const;
    /// How long this node waits before it tries to acquire a free leadership, in seconds, so that a better candidate
    /// can acquire it first.
    [[nodiscard]] double candidacy_delay_s() const;
    /// A peer that the store has answered since this node lost its own link to the store; empty if there is none, or
    /// while this node's link is not lost.
    [[nodiscard]] std::optional<std::string> peer_served_by_store() const;
    /// The leader according to the peers that know it from the store or lead themselves; empty if there is no such
    /// peer.
    using ReportedLeader = membership::ReportedLeader;
    [[nodiscard]] std::optional<ReportedLeader> reported_leader() const;

    /// A peer that reaches the store and that this node reaches: `preferred` if it does, else the first by name.
    [[nodiscard]] std::optional<std::string> relay_to_store(const std::string& preferred) const;
    /// A peer that reaches the workers of the zone and that this node reaches; if there are several, they are returned
    /// in rotation.
    [[nodiscard]] std::optional<std::string> relay_to_zone(const std::string& zone);
    /// Whether a worker of this zone should send its heartbeats to the leader directly.
    [[nodiscard]] bool leader_reaches(const std::string& leader, const std::string& zone) const;
    /// Whether this node can serve users, by itself or through another controller.
    [[nodiscard]] bool can_serve_users() const;

    /// The states of the links, and counters of link changes, sent views and probes.
    [[nodiscard]] std::vector<metrics::Value> metrics() const;

private:
    void check_silence();
    void probe();
    void probe_store();
    void probe_zone(const std::string& name, ZoneHealth& zone);
    void probe_cloud();
    void check_leadership_change();
    [[nodiscard]] bool exchange_is_due(double now) const;
    void exchange();
    void handle_view_reply(const std::string& name, double sent_at, const HttpReply& reply);
    void receive_view(PeerView&& view);
    void adopt_machines(const PeerView& view);
    void link_changed(const std::string& target, Reachability state);

    [[nodiscard]] PeerView own_view() const;
    [[nodiscard]] std::vector<const PeerView*> all_views(const PeerView& own) const;
    [[nodiscard]] Eligibility confirmed_eligibility(const PeerState& peer,
                                                    const std::vector<const PeerView*>& views) const;
    [[nodiscard]] Reachability reach(const ZoneHealth& zone) const;
    ZoneHealth* find_zone(const std::string& name);

    const Settings& settings_;
    TimerQueue& timers_;
    store::StateStore& state_store_;
    Executor& executor_;
    Peers& peer_clients_;
    Host& host_;

    LinkHealth store_link_, cloud_link_;
    std::map<std::string, ZoneHealth> zones_;
    PeerViews peers_;
    RelayChoice relays_;
    double store_answered_at_ = never, last_worker_contact_at_ = never;

    double next_exchange_ = 0, next_probe_ = 0, next_silence_check_ = 0, next_cloud_probe_ = 0;
    bool store_probe_pending_ = false;
    bool exchange_urgent_ = false;   // something changed: send the next views without waiting for the full interval
    bool was_active_leader_ = false; // at the last check for a change of leadership
    std::uint64_t exchanges_ = 0, probes_ = 0, link_changes_ = 0;
};

} // namespace heronshift::membership
