#include "membership/membership.hpp"

#include "http_status.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace heronshift::membership {
namespace {

// Intervals and timeouts as fractions of report_s, the interval at which each machine sends a heartbeat, plus or minus
// a quarter.
constexpr double exchange_interval_heartbeats = 1.0 / 3;         // between two exchanges of views with the peers
constexpr double urgent_exchange_interval_heartbeats = 1.0 / 30; // the same if something has changed
constexpr double exchange_timeout_heartbeats = 1.0 / 4;
constexpr double probe_interval_heartbeats = 1.0 / 2; // between two rounds of probes
constexpr double probe_timeout_heartbeats = 1.0 / 4;
constexpr double store_idle_heartbeats = 1.0 / 3; // without an answer from the store before it is probed
constexpr double silence_checks_per_heartbeat = 10;
// The interval between two probes of the cloud, as a fraction of lease_s.
constexpr double cloud_probe_interval_leases = 1.0 / 2;

FailureThresholds service_thresholds(const Settings& settings) {
    return {.min_outage_s = settings.report_s / 4, .min_failures = 2, .min_recovery_s = settings.report_s / 4};
}

bool record(LinkHealth& link, bool ok, double now) {
    return ok ? link.record_success(now) : link.record_failure(now);
}

// The names of links in log lines and metrics.
constexpr const char* store_target = "state";
constexpr const char* cloud_target = "cloud";
std::string peer_target(const std::string& name) {
    return "controller " + name;
}
std::string zone_target(const std::string& name) {
    return "workers " + name;
}

const char* to_text(Reachability reachability) {
    switch (reachability) {
    case Reachability::reachable:
        return "reachable";
    case Reachability::unreachable:
        return "unreachable";
    case Reachability::unknown:
        break;
    }
    return "unknown";
}

metrics::Value link_metric(Reachability reachability, const std::string& target) {
    const double value = reachability == Reachability::reachable     ? 1.0
                         : reachability == Reachability::unreachable ? 0.0
                                                                     : 0.5;
    return {
        "heronshift_link", "whether this controller reaches it: 1 yes, 0 no, 0.5 not known", value, {{"to", target}}};
}

} // namespace

Membership::Membership(const Settings& settings, TimerQueue& timers, store::StateStore& store, Executor& executor,
                       Peers& peers, Host& host)
    : settings_(settings), timers_(timers), state_store_(store), executor_(executor), peer_clients_(peers), host_(host),
      store_link_(service_thresholds(settings)), cloud_link_(service_thresholds(settings)), peers_(settings),
      relays_(peers_) {
    for (const auto& zone : settings.zones)
        zones_.emplace(zone, settings);
}

ZoneHealth* Membership::find_zone(const std::string& name) {
    const auto it = zones_.find(name);
    return it == zones_.end() ? nullptr : &it->second;
}

// --- results of requests ---

void Membership::link_changed(const std::string& target, Reachability state) {
    ++link_changes_;
    exchange_urgent_ = true; // so that the peers learn of it soon
    spdlog::info("link changed target=\"{}\" state={}", target, to_text(state));
}

void Membership::store_answered(bool ok) {
    const double now = timers_.now();
    store_answered_at_ = now;
    if (record(store_link_, ok, now))
        link_changed(store_target, store_link_.reach());
}

void Membership::cloud_answered(bool ok) {
    if (record(cloud_link_, ok, timers_.now()))
        link_changed(cloud_target, cloud_link_.reach());
}

void Membership::peer_answered(const std::string& name, bool ok) {
    auto* peer = peers_.find(name);
    if (peer != nullptr && record(peer->link, ok, timers_.now()))
        link_changed(peer_target(name), peer->link.reach());
}

void Membership::heartbeat_received(const std::string& zone, const std::string& addr) {
    const double now = timers_.now();
    last_worker_contact_at_ = now;
    auto* health = find_zone(zone);
    if (health != nullptr && health->record_heartbeat(addr, now))
        link_changed(zone_target(zone), reach(*health));
}

void Membership::heartbeat_relayed(const std::string& zone, const std::string& addr) {
    const double now = timers_.now();
    last_worker_contact_at_ = now;
    if (auto* health = find_zone(zone); health != nullptr)
        health->record_relayed_heartbeat(addr, now);
}

void Membership::stop_probing(const std::string& zone, const std::string& addr) {
    if (auto* health = find_zone(zone); health != nullptr)
        health->stop_probing(addr);
}

// --- periodic work ---

void Membership::tick() {
    const double now = timers_.now();
    if (now >= next_silence_check_) {
        next_silence_check_ = now + settings_.report_s / silence_checks_per_heartbeat;
        check_silence();
    }
    if (now >= next_probe_ && !settings_.peers.empty()) {
        next_probe_ = now + probe_interval_heartbeats * settings_.report_s;
        probe();
    }
    check_leadership_change();
    if (exchange_is_due(now)) {
        next_exchange_ = now + exchange_interval_heartbeats * settings_.report_s;
        exchange_urgent_ = false;
        exchange();
    }
}

// Peers that cannot reach the store learn of the new leader only through the exchange of views.
void Membership::check_leadership_change() {
    const bool is_active_leader = host_.is_active_leader();
    if (is_active_leader == was_active_leader_)
        return;
    was_active_leader_ = is_active_leader;
    exchange_urgent_ = true;
}

bool Membership::exchange_is_due(double now) const {
    const double head_start_s =
        (exchange_interval_heartbeats - urgent_exchange_interval_heartbeats) * settings_.report_s;
    return now >= next_exchange_ || (exchange_urgent_ && now >= next_exchange_ - head_start_s);
}

// While this node is the active leader, the machines should send their heartbeats to it. If none of a zone's machines
// does, the link to that zone is lost.
void Membership::check_silence() {
    if (!host_.is_active_leader())
        return;
    const auto machines_by_zone = host_.machines_by_zone();
    for (auto& [name, zone] : zones_) {
        const auto it = machines_by_zone.find(name);
        const auto machines = it == machines_by_zone.end() ? 0 : it->second;
        switch (zone.check_silence(machines, host_.active_since(), timers_.now())) {
        case ZoneHealth::SilenceCheck::lost:
            link_changed(zone_target(name), Reachability::unreachable);
            break;
        case ZoneHealth::SilenceCheck::inbound_reset:
            exchange_urgent_ = true;
            break;
        case ZoneHealth::SilenceCheck::unchanged:
            break;
        }
    }
}

void Membership::probe() {
    probe_store();
    for (auto& [name, zone] : zones_)
        probe_zone(name, zone);
    probe_cloud();
}

// Reads an arbitrary key: only whether an answer comes matters, and that is recorded by `store_answered`, as for all
// calls to the store.
void Membership::probe_store() {
    if (store_probe_pending_ || timers_.now() - store_answered_at_ < store_idle_heartbeats * settings_.report_s)
        return;
    store_probe_pending_ = true;
    state_store_.get("office", probe_timeout_heartbeats * settings_.report_s,
                     [this](store::Answer&&) { store_probe_pending_ = false; });
}

void Membership::probe_zone(const std::string& name, ZoneHealth& zone) {
    for (const auto& address : zone.start_probe_round(timers_.now())) {
        ++probes_;
        executor_.probe(address, probe_timeout_heartbeats * settings_.report_s,
                        [this, &name, &zone, address](std::optional<bool> answered) {
                            spdlog::debug("probe zone={} address={} answered={}", name, address,
                                          answered.value_or(false));
                            if (zone.finish_probe(answered, timers_.now()))
                                link_changed(zone_target(name), reach(zone));
                        });
    }
}

// Calls to the cloud should be few, so the other controllers probe it only while the leader's view says that the leader
// cannot reach it.
void Membership::probe_cloud() {
    const double now = timers_.now();
    const auto* leader = peers_.find_fresh(host_.leader(), now);
    if (leader == nullptr || leader->view.cloud != Reachability::unreachable || now < next_cloud_probe_)
        return;
    next_cloud_probe_ = now + cloud_probe_interval_leases * settings_.lease_s;
    executor_.types(settings_.report_s,
                    [this](std::optional<std::vector<MachineType>>&& types) { cloud_answered(types.has_value()); });
}

// --- views ---

PeerView Membership::own_view() const {
    const double now = timers_.now();
    const auto age_of_success = [now](const LinkHealth& link) {
        const auto at = link.succeeded_at();
        return at ? std::optional(now - *at) : std::nullopt;
    };
    PeerView view;
    view.node = settings_.name;
    view.sent = timers_.wall();
    view.store = store_link_.reach();
    view.cloud = cloud_link_.reach();
    view.store_s = age_of_success(store_link_);
    view.cloud_s = age_of_success(cloud_link_);
    for (const auto& [name, zone] : zones_) {
        view.zones[name] = reach(zone);
        if (auto machines = zone.machines_to_share(now); !machines.empty())
            view.machines[name] = std::move(machines);
    }
    for (const auto& [name, peer] : peers_.all())
        view.peers[name] = peer.link.reach();
    view.leader = host_.leader();
    view.term = host_.leader_term();
    view.sees_leader = host_.sees_leader();
    view.is_active_leader = host_.is_active_leader();
    return view;
}

void Membership::exchange() {
    const auto body = to_body(own_view());
    for (auto& [name, peer] : peers_.all()) {
        if (peer.exchange_pending)
            continue;
        peer.exchange_pending = true;
        ++exchanges_;
        peer_clients_.request(PeerRequestClass::control, name, "POST", path_peer_view, body,
                              exchange_timeout_heartbeats * settings_.report_s,
                              [this, name = name, sent_at = timers_.now()](HttpReply&& reply) {
                                  handle_view_reply(name, sent_at, reply);
                              });
    }
}

void Membership::handle_view_reply(const std::string& name, double sent_at, const HttpReply& reply) {
    auto& peer = *peers_.find(name);
    peer.exchange_pending = false;
    if (reply.status != http_status::ok)
        return;
    auto received = view(reply.body);
    if (!received || received->node != name)
        return;
    // The peer made its reply after this node had sent the request, however long the reply took to arrive. The time of
    // the request less the reported age is therefore a lower bound on the time at which the service answered the peer.
    const auto update_answered_at = [sent_at](std::optional<double>& answered_at, std::optional<double> age_s) {
        if (age_s)
            answered_at = std::max(answered_at.value_or(sent_at - *age_s), sent_at - *age_s);
    };
    update_answered_at(peer.store_answered_at, received->store_s);
    update_answered_at(peer.cloud_answered_at, received->cloud_s);
    receive_view(std::move(*received));
}

void Membership::handle_view(const HttpRequest& request, const Responder& res) {
    auto received = view(request.body);
    if (!received)
        return res.send(http_status::bad_request, codec::error_answer("not a view"));
    receive_view(std::move(*received));
    res.send(http_status::ok, to_body(own_view()));
}

void Membership::receive_view(PeerView&& view) {
    auto* peer = peers_.find(view.node);
    if (peer == nullptr)
        return;
    const double made_at = view_made_at(view.sent, timers_.wall(), timers_.now(), settings_.time_bound_s);
    if (made_at < peer->view_made_at)
        return; // a newer view has arrived before this one
    adopt_machines(view);
    peer->view = std::move(view);
    peer->view_made_at = made_at;
}

// The active leader needs no addresses from its peers: it gets the machines' heartbeats itself.
void Membership::adopt_machines(const PeerView& view) {
    if (host_.is_active_leader())
        return;
    for (const auto& [name, addresses] : view.machines)
        if (auto* zone = find_zone(name); zone != nullptr)
            zone->adopt_machines(addresses, view.is_active_leader, timers_.now());
}

// --- state of this node's links ---

Reachability Membership::reach(const ZoneHealth& zone) const {
    return zone.reach(host_.is_active_leader());
}

Reachability Membership::zone(const std::string& name) const {
    const auto it = zones_.find(name);
    return it == zones_.end() ? Reachability::unknown : reach(it->second);
}

bool Membership::any_zone_lost() const {
    return std::any_of(zones_.begin(), zones_.end(),
                       [this](const auto& entry) { return reach(entry.second) == Reachability::unreachable; });
}

bool Membership::all_zones_lost() const {
    return std::all_of(zones_.begin(), zones_.end(),
                       [this](const auto& entry) { return reach(entry.second) == Reachability::unreachable; });
}

Reachability Membership::peer(const std::string& name) const {
    const auto* peer = peers_.find(name);
    return peer == nullptr ? Reachability::unknown : peer->link.reach();
}

bool Membership::has_any_link() const {
    return !store_link_.lost() || peers_.any_fresh(timers_.now());
}

// If the store is lost but a peer is reached, a request may be relayed through it; if no peer reaches the store either,
// it is an outage of the store itself, and users have to wait whichever controller they ask. If neither the store nor a
// peer is reached, this node may be the only one that is cut off, and users should go to another controller.
bool Membership::can_serve_users() const {
    return host_.is_active_leader() || has_any_link();
}

// --- candidates for the leadership ---

std::vector<const PeerView*> Membership::all_views(const PeerView& own) const {
    auto views = peers_.fresh_views(timers_.now());
    views.push_back(&own);
    return views;
}

// If this node has lost its own link to the store or the cloud, a peer counts as reaching that service only if it was
// answered after this node's failures began.
Eligibility Membership::confirmed_eligibility(const PeerState& peer, const std::vector<const PeerView*>& views) const {
    auto eligibility = evaluate(peer.view, views, settings_.zones, UnknownLinks::as_unreachable);
    if (!answered_since_lost(peer.store_answered_at, store_link_, settings_.report_s))
        eligibility.store = 0;
    if (!answered_since_lost(peer.cloud_answered_at, cloud_link_, settings_.report_s))
        eligibility.cloud = 0;
    return eligibility;
}

Eligibility Membership::own_eligibility() const {
    const auto own = own_view();
    return evaluate(own, all_views(own), settings_.zones, UnknownLinks::as_reachable);
}

Eligibility Membership::eligibility(const std::string& peer) const {
    const auto* state = peers_.find_fresh(peer, timers_.now());
    if (state == nullptr)
        return {};
    const auto own = own_view();
    return confirmed_eligibility(*state, all_views(own));
}

bool Membership::no_better_candidate() const {
    if (!peers_.all_fresh(timers_.now()))
        return false;
    const auto own = own_view();
    const auto views = all_views(own);
    return std::none_of(peers_.all().begin(), peers_.all().end(), [&](const auto& entry) {
        return could_lead(evaluate(entry.second.view, views, settings_.zones, UnknownLinks::as_reachable));
    });
}

std::optional<std::string> Membership::better_candidate() const {
    const auto own = own_view();
    const auto views = all_views(own);
    std::vector<Candidate> candidates;
    for (const auto& [name, peer] : peers_.all())
        if (peers_.is_fresh(peer, timers_.now()))
            candidates.push_back({name, confirmed_eligibility(peer, views)});
    return best_candidate_above(evaluate(own, views, settings_.zones, UnknownLinks::as_reachable), candidates);
}

double Membership::candidacy_delay_s() const {
    const auto own = own_view();
    const auto views = all_views(own);
    std::vector<Candidate> candidates;
    for (const auto* view : peers_.fresh_views(timers_.now()))
        candidates.push_back({view->node, evaluate(*view, views, settings_.zones, UnknownLinks::as_reachable)});
    return membership::candidacy_delay_s(settings_, evaluate(own, views, settings_.zones, UnknownLinks::as_reachable),
                                         candidates, no_better_candidate());
}

std::optional<std::string> Membership::peer_served_by_store() const {
    if (!store_link_.lost())
        return {};
    for (const auto& [name, peer] : peers_.all())
        if (peers_.is_fresh(peer, timers_.now()) && peer.view.store == Reachability::reachable &&
            answered_since_lost(peer.store_answered_at, store_link_, settings_.report_s))
            return name;
    return {};
}

std::optional<Membership::ReportedLeader> Membership::reported_leader() const {
    return peers_.reported_leader(timers_.now());
}

// --- relays ---

std::optional<std::string> Membership::relay_to_store(const std::string& preferred) const {
    return relays_.to_store(preferred, timers_.now());
}

std::optional<std::string> Membership::relay_to_zone(const std::string& zone) {
    return relays_.to_zone(zone, timers_.now());
}

bool Membership::leader_reaches(const std::string& leader, const std::string& zone) const {
    return relays_.leader_reaches(leader, zone, timers_.now());
}

// --- monitoring ---

std::vector<metrics::Value> Membership::metrics() const {
    std::vector<metrics::Value> out{link_metric(store_link_.reach(), store_target),
                                    link_metric(cloud_link_.reach(), cloud_target)};
    for (const auto& [name, peer] : peers_.all())
        out.push_back(link_metric(peer.link.reach(), peer_target(name)));
    for (const auto& [name, zone] : zones_)
        out.push_back(link_metric(reach(zone), zone_target(name)));
    out.push_back({"heronshift_link_changes_total", "links lost or found", static_cast<double>(link_changes_)});
    out.push_back({"heronshift_views_sent_total", "to other controllers", static_cast<double>(exchanges_)});
    out.push_back({"heronshift_probes_total", "of machines", static_cast<double>(probes_)});
    return out;
}

} // namespace heronshift::membership
