// Which links of this controller work, and what the peers last said of theirs.
//
// Owns: a Link for the state service, the cloud, every peer and the workers of every zone; the newest view
// of each peer with its age; a few addresses of machines to ask. May call the peers, the store and the
// executor, for exchanges and probes only; what the leadership and the core know it asks its Host. Everything
// here is a hint: nothing that a rule hangs on is decided by it, a wrong or stale view costs time.
#pragma once

#include "heronshift/config.hpp"
#include "heronshift/executor/executor.hpp"
#include "heronshift/membership/peer_view.hpp"
#include "heronshift/metrics/metrics.hpp"
#include "heronshift/peers/peers.hpp"
#include "heronshift/store/store.hpp"
#include "heronshift/timer_queue.hpp"

#include <compare>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heronshift::membership {

// How well a controller could be the leader; greater is a better candidate. First the store, then workers that it
// reaches itself, then those it reaches through another controller, then the cloud.
struct Eligibility {
    int store = 0, zones = 0, zones_by_others = 0, cloud = 0;
    auto operator<=>(const Eligibility&) const = default;
};
std::string describe(const Eligibility& eligibility);

class Membership {
public:
    class Host {
    public:
        virtual ~Host() = default;
        [[nodiscard]] virtual const std::string& leader() const = 0;
        [[nodiscard]] virtual std::uint64_t leader_term() const = 0;
        [[nodiscard]] virtual bool sees_leader() const = 0; // the store told this node who holds it
        [[nodiscard]] virtual bool is_active_leader() const = 0;
        [[nodiscard]] virtual double active_since() const = 0;
        // Machines by zone that should report to this node; while it acts.
        [[nodiscard]] virtual std::map<std::string, std::size_t> machines_by_zone() const = 0;
    };
    Membership(const Settings& settings, TimerQueue& timers, store::StateStore& store, Executor& executor, Peers& peers,
               Host& host);

    void tick();
    // Evidence from those who use the links.
    void store_answered(bool ok);
    void cloud_answered(bool ok);
    void peer_answered(const std::string& name, bool ok);
    void heartbeat_received(const std::string& zone, const std::string& addr); // from the machine itself
    void heartbeat_relayed(const std::string& zone, const std::string& addr);  // through another controller
    void machine_answered() {
        last_worker_heartbeat_at_ = timers_.now();
    }
    void handle_view(const HttpRequest& request, const Responder& res); // POST /peer/view

    // What is thought of this node's own links.
    [[nodiscard]] Reachability store() const {
        return store_.reach();
    }
    [[nodiscard]] Reachability zone(const std::string& name) const;
    [[nodiscard]] bool any_zone_lost() const;
    [[nodiscard]] bool all_zones_lost() const;
    [[nodiscard]] Reachability peer(const std::string& name) const;
    // The last sign of any worker, whichever way it came.
    [[nodiscard]] double last_worker_heartbeat_at() const {
        return last_worker_heartbeat_at_;
    }

    // Of the others. Alive: its view came a short while ago.
    [[nodiscard]] bool alive(const std::string& name) const;
    // All others are alive, and none of them reaches workers and store.
    [[nodiscard]] bool no_better_candidate() const;
    [[nodiscard]] bool has_any_link() const; // with the store or any other controller
    // The best candidate of those alive, if it is surely a better candidate than this node.
    [[nodiscard]] std::optional<std::string> better_candidate() const;
    [[nodiscard]] Eligibility own_eligibility() const;
    [[nodiscard]] Eligibility eligibility(const std::string& peer) const;
    // A peer that reaches the store and is reached from here: the one named, if it is one of them.
    [[nodiscard]] std::optional<std::string> with_store(const std::string& rather) const;
    // While the store does not answer this node: a peer that it has answered since.
    [[nodiscard]] std::optional<std::string> served_instead() const;
    // A peer that reaches the workers of a zone and is reached from here.
    [[nodiscard]] std::optional<std::string> relay_to(const std::string& zone);
    // Whether a worker of this zone should report to the leader itself: so unless the leader says it
    // does not hear them.
    [[nodiscard]] bool leader_reaches(const std::string& leader, const std::string& zone) const;
    // For how long this node leaves an leadership that it sees free to others.
    [[nodiscard]] double candidacy_delay_s() const;
    // Can do something for users: by itself or through another, or nobody can.
    [[nodiscard]] bool can_serve() const;
    // Who is the leader by what a peer was told by the store; none: nobody says so.
    struct ReportedLeader {
        std::string leader;
        std::uint64_t term = 0;
    };
    [[nodiscard]] std::optional<ReportedLeader> reported_leader() const;

    [[nodiscard]] std::vector<metrics::Value> metrics() const;

private:
    struct Zone {
        explicit Zone(const Settings& settings);
        LinkHealth in, out; // reports that should come; requests that should be answered
        double last_heartbeat_at = -1, relayed_at = -1,
               trusted_at = -1; // a heartbeat of its own; another's; taken for well again
        struct Sample {
            std::string addr;
            double at = 0;
        };
        std::vector<Sample> samples;
        std::size_t next_sample = 0;
        int probes = 0, answered = 0; // of the round under way
    };
    struct PeerState {
        explicit PeerState(const Settings& settings);
        LinkHealth link;
        PeerView view;
        double at = -1;                      // when the view came; below zero: never
        double store_at = -1, cloud_at = -1; // not before this those answered it last; below zero: nobody knows
        bool asking = false;
    };
    [[nodiscard]] PeerView own_view() const;
    [[nodiscard]] Eligibility eligibility(const PeerView& view, bool doubt) const;
    [[nodiscard]] Eligibility eligibility(const PeerState& peer) const;
    [[nodiscard]] bool since_lost(double at, const LinkHealth& mine) const;
    [[nodiscard]] Reachability reach(const Zone& zone) const;
    void reset_inbound_health(Zone& zone);
    void remember(Zone& zone, const std::string& addr);
    [[nodiscard]] bool fresh(const PeerState& peer) const;
    void receive_view(PeerView&& view);
    void exchange();
    void probe();
    void probe_zone(const std::string& name, Zone& zone);
    void probed(const std::string& zone, bool& any, std::optional<bool> ok);
    void watch_silence();
    void changed(const std::string& what, Reachability to);
    Zone* find_zone(const std::string& name);

    const Settings& settings_;
    TimerQueue& timers_;
    store::StateStore& state_;
    Executor& executor_;
    Peers& peers_;
    Host& host_;
    LinkHealth store_, cloud_;
    double store_asked_at_ = -1, last_worker_heartbeat_at_ = -1;
    std::map<std::string, Zone> zones_;
    std::map<std::string, PeerState> peer_states_;
    double next_exchange_ = 0, next_probe_ = 0, next_silence_ = 0, next_cloud_ = 0;
    bool asking_store_ = false, exchange_soon_ = false;
    bool was_active_leader_ = false; // when the others were last told
    std::size_t turn_ = 0;           // among those that could relay
    std::uint64_t exchanges_ = 0, probes_ = 0, changes_ = 0;
};

} // namespace heronshift::membership
