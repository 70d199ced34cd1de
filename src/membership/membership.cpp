#include "heronshift/membership/membership.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace heronshift::membership {
namespace {

// Ratios to report_s, in which each machine reports once, give or take a quarter.
constexpr double exchange_heartbeats = 1.0 / 3, exchange_wait = 1.0 / 4, soon = 1.0 / 30;
constexpr double fresh_heartbeats = 1; // a view older than three exchanges says nothing
constexpr double probe_heartbeats = 1.0 / 2, probe_wait = 1.0 / 4;
constexpr double store_heartbeats = 1.0 / 3; // without an answer: it is asked
constexpr double silence_heartbeats = 1.5;   // without a heartbeat of a zone's machines: it is cut off
constexpr double silence_small_fleet_heartbeats = 2.5;
constexpr double samples_leases = 2; // how long an address is worth asking
constexpr double candidacy_delay_leases =
    1.0 / 4; // an leadership that a a better candidate one should take is left to it for so long
constexpr double stagger_heartbeats = 1.0 / 40;
constexpr double answer_heartbeats = 1.0 / 10; // an answer that was under way when an outage began may take so long
constexpr std::size_t min_machines_to_judge = 4;
constexpr int probes_a_round = 2;

FailureThresholds store_patience(const Settings& settings) {
    return {settings.report_s / 4, 2, settings.report_s / 4};
}
FailureThresholds peer_patience(const Settings& settings) {
    return {settings.report_s / 2, 2, settings.report_s / 4};
}
FailureThresholds zone_patience(const Settings& settings) {
    return {settings.report_s, 2, settings.report_s};
}

FailureThresholds silence_patience(const Settings& settings) {
    return {0, 1, settings.report_s / 2}; // the silence itself is what lasted
}

const char* to_text(Reachability reachability) {
    return reachability == Reachability::reachable     ? "works"
           : reachability == Reachability::unreachable ? "lost"
                                                       : "not known";
}

} // namespace

std::string describe(const Eligibility& eligibility) {
    return fmt::format("store {}, zones {}, through others {}", eligibility.store, eligibility.zones,
                       eligibility.zones_by_others);
}

Membership::Zone::Zone(const Settings& settings) : in(silence_patience(settings)), out(zone_patience(settings)) {}
Membership::PeerState::PeerState(const Settings& settings) : link(peer_patience(settings)) {}

Membership::Membership(const Settings& settings, TimerQueue& timers, store::StateStore& store, Executor& executor,
                       Peers& peers, Host& host)
    : settings_(settings), timers_(timers), state_(store), executor_(executor), peers_(peers), host_(host),
      store_(store_patience(settings)), cloud_(store_patience(settings)) {
    for (const auto& z : settings.zones)
        zones_.emplace(z, settings);
    for (const auto& peer : settings.peers)
        peer_states_.emplace(peer.name, settings);
}

Membership::Zone* Membership::find_zone(const std::string& name) {
    const auto it = zones_.find(name);
    return it == zones_.end() ? nullptr : &it->second;
}

// --- evidence ---

void Membership::changed(const std::string& what, Reachability to) {
    ++changes_;
    exchange_soon_ = true; // the others should know
    spdlog::info("link to {}: {}", what, to_text(to));
}

void Membership::store_answered(bool ok) {
    const double now = timers_.now();
    store_asked_at_ = now;
    if (ok ? store_.worked(now) : store_.failed(now))
        changed("the state service", store_.reach());
}

void Membership::cloud_answered(bool ok) {
    const double now = timers_.now();
    if (ok ? cloud_.worked(now) : cloud_.failed(now))
        changed("the cloud", cloud_.reach());
}

void Membership::peer_answered(const std::string& name, bool ok) {
    const auto it = peer_states_.find(name);
    if (it == peer_states_.end())
        return;
    auto& link = it->second.link;
    if (ok ? link.worked(timers_.now()) : link.failed(timers_.now()))
        changed("controller " + name, link.reach());
}

void Membership::heartbeat_received(const std::string& zone, const std::string& addr) {
    const double now = timers_.now();
    last_worker_heartbeat_at_ = now;
    auto* z = find_zone(zone);
    if (z == nullptr)
        return;
    z->last_heartbeat_at = now;
    if (z->in.worked(now))
        changed(fmt::format("workers in {}", zone), reach(*z));
    remember(*z, addr);
}

void Membership::heartbeat_relayed(const std::string& zone, const std::string& addr) {
    last_worker_heartbeat_at_ = timers_.now();
    auto* z = find_zone(zone);
    if (z == nullptr)
        return;
    z->relayed_at = last_worker_heartbeat_at_;
    remember(*z, addr);
}

// The same few for as long as they report: connections to them are kept. (Where relayed heartbeats did not
// count, the machines that were asked had long been given back, and their zone was taken for lost.)
void Membership::remember(Zone& zone, const std::string& addr) {
    const double now = timers_.now();
    for (auto& x : zone.samples)
        if (x.addr == addr) {
            x.at = now;
            return;
        }
    if (zone.samples.size() < max_samples)
        return zone.samples.push_back({addr, now});
    for (auto& x : zone.samples)
        if (now - x.at > silence_heartbeats * settings_.report_s) {
            x = {addr, now};
            return;
        }
}

// --- what goes out ---

void Membership::tick() {
    const double now = timers_.now();
    if (now >= next_silence_) {
        next_silence_ = now + settings_.report_s / 10;
        watch_silence();
    }
    if (now >= next_probe_ && !settings_.peers.empty()) {
        next_probe_ = now + probe_heartbeats * settings_.report_s;
        probe();
    }
    // Those that the store does not serve learn only from this who is the leader now.
    if (const bool is_active_leader = host_.is_active_leader(); is_active_leader != was_active_leader_) {
        was_active_leader_ = is_active_leader;
        exchange_soon_ = true;
    }
    if (now >= next_exchange_ ||
        (exchange_soon_ && now >= next_exchange_ - (exchange_heartbeats - soon) * settings_.report_s)) {
        next_exchange_ = now + exchange_heartbeats * settings_.report_s;
        exchange_soon_ = false;
        exchange();
    }
}

// While this node acts, machines should report to it; where none does, it is cut off from them. Those that
// report through another were told to: their silence here says nothing, so what was thought of it is tried
// anew once requests are answered again, and after a lease in any case.
void Membership::watch_silence() {
    if (!host_.is_active_leader())
        return;
    const double now = timers_.now();
    const auto by_zone = host_.machines_by_zone();
    for (auto& [name, zone] : zones_) {
        const auto there = by_zone.find(name);
        const auto machines = there == by_zone.end() ? 0 : there->second;
        if (machines == 0) {
            zone.samples.clear(); // given back: that they are silent says nothing
            continue;
        }
        if (zone.in.lost() && now - zone.in.failed_at() > settings_.lease_s)
            reset_inbound_health(zone);
        const double patience = machines < min_machines_to_judge ? silence_small_fleet_heartbeats : silence_heartbeats;
        const double since = std::max({zone.last_heartbeat_at, zone.relayed_at, zone.trusted_at, host_.active_since()});
        if (now - since < patience * settings_.report_s)
            continue;
        if (zone.in.failed(now))
            changed(fmt::format("workers in {}", name), Reachability::unreachable);
    }
}

void Membership::reset_inbound_health(Zone& zone) {
    zone.in = LinkHealth(silence_patience(settings_));
    zone.trusted_at = timers_.now();
    exchange_soon_ = true;
}

void Membership::probe() {
    const double now = timers_.now();
    if (!asking_store_ && now - store_asked_at_ >= store_heartbeats * settings_.report_s) {
        asking_store_ = true;
        state_.get("office", settings_.report_s / 4, [this](store::Answer&&) { asking_store_ = false; });
    }
    for (auto& [name, zone] : zones_)
        probe_zone(name, zone);
    // The cloud's calls are few: the others look only when it is the leader that cannot.
    const auto h = peer_states_.find(host_.leader());
    if (h == peer_states_.end() || !fresh(h->second) || h->second.view.cloud != Reachability::unreachable ||
        now < next_cloud_)
        return;
    next_cloud_ = now + settings_.lease_s / 2;
    executor_.types(settings_.report_s,
                    [this](std::optional<std::vector<MachineType>>&& types) { cloud_answered(types.has_value()); });
}

void Membership::probe_zone(const std::string& name, Zone& zone) {
    const double now = timers_.now();
    std::erase_if(zone.samples, [&](const auto& x) { return now - x.at > samples_leases * settings_.lease_s; });
    // Machines that were given back answer nobody: where others report, those that do not are not asked. (The
    // leadership was handed on, its zone of two machines taken for lost.)
    const auto silent = [&](const auto& x) { return now - x.at > silence_heartbeats * settings_.report_s; };
    if (!std::all_of(zone.samples.begin(), zone.samples.end(), silent))
        std::erase_if(zone.samples, silent);
    if (zone.probes > zone.answered || zone.samples.empty())
        return;
    zone.probes = zone.answered = 0;
    const auto n = std::min<std::size_t>(probes_a_round, zone.samples.size());
    auto any = std::make_shared<bool>(false);
    zone.probes = static_cast<int>(n);
    for (std::size_t i = 0; i < n; ++i) {
        ++probes_;
        executor_.probe(zone.samples[zone.next_sample++ % zone.samples.size()].addr, probe_wait * settings_.report_s,
                        [this, name, any](std::optional<bool> ok) { probed(name, *any, ok); });
    }
}

// A round in which nobody answers has failed.
void Membership::probed(const std::string& zone, bool& any, std::optional<bool> ok) {
    auto* z = find_zone(zone);
    const double now = timers_.now();
    any = any || ok.value_or(false);
    bool turned = false;
    if (ok.value_or(false)) {
        turned = z->out.worked(now);
        if (turned)
            reset_inbound_health(*z);
    }
    if (++z->answered == z->probes && !any && ok.has_value())
        turned = z->out.failed(now);
    if (turned)
        changed(fmt::format("workers in {}", zone), reach(*z));
}

PeerView Membership::own_view() const {
    PeerView view;
    view.node = settings_.name;
    view.sent = timers_.wall();
    view.store = store_.reach();
    view.cloud = cloud_.reach();
    const auto since = [now = timers_.now()](const LinkHealth& link) {
        return link.worked_at() < 0 ? -1 : now - link.worked_at();
    };
    view.store_s = since(store_);
    view.cloud_s = since(cloud_);
    for (const auto& [name, zone] : zones_)
        view.zones[name] = reach(zone);
    for (const auto& [name, peer] : peer_states_)
        view.peers[name] = peer.link.reach();
    view.leader = host_.leader();
    view.term = host_.leader_term();
    view.sees_leader = host_.sees_leader();
    view.is_active_leader = host_.is_active_leader();
    for (const auto& [name, zone] : zones_)
        for (const auto& x : zone.samples)
            if (timers_.now() - x.at < settings_.lease_s)
                view.machines[name].push_back(x.addr);
    return view;
}

void Membership::exchange() {
    const auto body = to_body(own_view());
    for (auto& [name, peer] : peer_states_) {
        if (peer.asking)
            continue;
        peer.asking = true;
        ++exchanges_;
        peers_.request(Lane::control, name, "POST", peer_view, body, exchange_wait * settings_.report_s,
                       [this, name = name, sent = timers_.now()](HttpReply&& reply) {
                           auto& to = peer_states_.at(name);
                           to.asking = false;
                           if (reply.status != 200)
                               return;
                           auto v = view(reply.body);
                           if (!v || v->node != name)
                               return;
                           // An answer was made after its question was sent, however long it took to come.
                           if (v->store_s >= 0)
                               to.store_at = std::max(to.store_at, sent - v->store_s);
                           if (v->cloud_s >= 0)
                               to.cloud_at = std::max(to.cloud_at, sent - v->cloud_s);
                           receive_view(std::move(*v));
                       });
    }
}

void Membership::handle_view(const HttpRequest& request, const Responder& res) {
    auto v = view(request.body);
    if (!v)
        return res.send(400, codec::error_answer("not a view"));
    receive_view(std::move(*v));
    res.send(200, to_body(own_view()));
}

void Membership::receive_view(PeerView&& view) {
    const auto it = peer_states_.find(view.node);
    if (it == peer_states_.end())
        return;
    // One that was held up on the way is as old as it is; clocks differ by the bound of the settings.
    const double late = std::max(0.0, timers_.wall() - view.sent - 2 * settings_.time_bound_s);
    const double now = timers_.now();
    if (now - late < it->second.at)
        return;
    for (const auto& [name, list] : view.machines) {
        auto* zone = find_zone(name);
        if (zone == nullptr || list.empty() || host_.is_active_leader() ||
            !(view.is_active_leader || zone->samples.empty()))
            continue;
        // What others only remember is used, but not handed on: it would never grow old.
        const double at = view.is_active_leader ? now : now - settings_.lease_s;
        zone->samples.clear();
        for (const auto& addr : list)
            zone->samples.push_back({addr, at});
    }
    it->second.view = std::move(view);
    it->second.at = now - late;
}

// --- what is thought ---

Reachability Membership::reach(const Zone& zone) const {
    if (zone.out.lost() || (host_.is_active_leader() && zone.in.lost()))
        return Reachability::unreachable;
    const bool any = zone.out.reach() == Reachability::reachable ||
                     (host_.is_active_leader() && zone.in.reach() == Reachability::reachable);
    return any ? Reachability::reachable : Reachability::unknown;
}

Reachability Membership::zone(const std::string& name) const {
    const auto it = zones_.find(name);
    return it == zones_.end() ? Reachability::unknown : reach(it->second);
}

bool Membership::any_zone_lost() const {
    return std::any_of(zones_.begin(), zones_.end(),
                       [this](const auto& z) { return reach(z.second) == Reachability::unreachable; });
}

bool Membership::all_zones_lost() const {
    return std::all_of(zones_.begin(), zones_.end(),
                       [this](const auto& z) { return reach(z.second) == Reachability::unreachable; });
}

Reachability Membership::peer(const std::string& name) const {
    const auto it = peer_states_.find(name);
    return it == peer_states_.end() ? Reachability::unknown : it->second.link.reach();
}

bool Membership::fresh(const PeerState& peer) const {
    return peer.at >= 0 && timers_.now() - peer.at < fresh_heartbeats * settings_.report_s;
}

bool Membership::alive(const std::string& name) const {
    const auto it = peer_states_.find(name);
    return it != peer_states_.end() && fresh(it->second);
}

bool Membership::no_better_candidate() const {
    return std::all_of(peer_states_.begin(), peer_states_.end(), [this](const auto& o) {
        if (!fresh(o.second))
            return false;
        const auto x = eligibility(o.second.view, true);
        return x.store == 0 || x.zones + x.zones_by_others == 0;
    });
}

bool Membership::has_any_link() const {
    return !store_.lost() ||
           std::any_of(peer_states_.begin(), peer_states_.end(), [this](const auto& o) { return fresh(o.second); });
}

// With doubt, what is not known counts as reached.
Eligibility Membership::eligibility(const PeerView& view, bool doubt) const {
    const auto counts = [doubt](Reachability reachability) {
        return reachability == Reachability::reachable || (doubt && reachability == Reachability::unknown);
    };
    Eligibility out;
    out.store = counts(view.store);
    out.cloud = view.cloud != Reachability::unreachable; // asked for only when the leader cannot reach it
    for (const auto& z : settings_.zones) {
        const auto of = [&z](const PeerView& x) {
            const auto r = x.zones.find(z);
            return r == x.zones.end() ? Reachability::unknown : r->second;
        };
        if (counts(of(view))) {
            ++out.zones;
            continue;
        }
        const auto by = [&](const std::string& name, const PeerView& x) {
            const auto link = view.peers.find(name);
            return name != view.node && of(x) == Reachability::reachable && link != view.peers.end() &&
                   link->second == Reachability::reachable;
        };
        bool any = view.node != settings_.name && by(settings_.name, own_view());
        for (const auto& [name, peer] : peer_states_)
            any = any || (fresh(peer) && by(name, peer.view));
        out.zones_by_others += any;
    }
    return out;
}

// Whether somebody else got an answer after this node's own link had begun to fail. From a day on which the
// leader resigned in an outage of the store: the last view of a peer, 0.6 s old, said it was there.
bool Membership::since_lost(double at, const LinkHealth& mine) const {
    return !mine.lost() || at > mine.failing_since() + answer_heartbeats * settings_.report_s;
}

// Surely so: what others reach counts only if that is newer than the failure here.
Eligibility Membership::eligibility(const PeerState& peer) const {
    auto out = eligibility(peer.view, false);
    if (!since_lost(peer.store_at, store_))
        out.store = 0;
    if (!since_lost(peer.cloud_at, cloud_))
        out.cloud = 0;
    return out;
}

Eligibility Membership::own_eligibility() const {
    return eligibility(own_view(), true);
}

Eligibility Membership::eligibility(const std::string& peer) const {
    const auto it = peer_states_.find(peer);
    return it == peer_states_.end() || !fresh(it->second) ? Eligibility{} : eligibility(it->second);
}

std::optional<std::string> Membership::better_candidate() const {
    std::optional<std::string> best;
    auto most = own_eligibility();
    for (const auto& [name, peer] : peer_states_) {
        if (!fresh(peer))
            continue;
        if (const auto x = eligibility(peer); x > most) {
            most = x;
            best = name;
        }
    }
    return best;
}

double Membership::candidacy_delay_s() const {
    const auto mine = own_eligibility();
    const double yield = candidacy_delay_leases * settings_.lease_s;
    int before = 0; // as fit as this node, and earlier by name
    for (const auto& [name, peer] : peer_states_) {
        if (!fresh(peer))
            continue;
        const auto x = eligibility(peer.view, true);
        if (x > mine)
            return yield;
        before += x == mine && name < settings_.name;
    }
    // Unreachable inbound, and not all the others are known to be no better.
    if (mine.zones + mine.zones_by_others == 0 && !settings_.zones.empty() && !no_better_candidate())
        return yield;
    return before * stagger_heartbeats * settings_.report_s;
}

std::optional<std::string> Membership::with_store(const std::string& rather) const {
    std::optional<std::string> out;
    for (const auto& [name, peer] : peer_states_) {
        if (!fresh(peer) || peer.link.lost() || peer.view.store != Reachability::reachable)
            continue;
        if (!out || name == rather)
            out = name;
    }
    return out;
}

std::optional<std::string> Membership::served_instead() const {
    for (const auto& [name, peer] : peer_states_)
        if (fresh(peer) && peer.view.store == Reachability::reachable && store_.lost() &&
            since_lost(peer.store_at, store_))
            return name;
    return {};
}

std::optional<std::string> Membership::relay_to(const std::string& zone) {
    std::vector<const std::string*> ways;
    for (const auto& [name, peer] : peer_states_) {
        if (!fresh(peer) || peer.link.lost())
            continue;
        if (const auto r = peer.view.zones.find(zone);
            r != peer.view.zones.end() && r->second == Reachability::reachable)
            ways.push_back(&name);
    }
    if (ways.empty())
        return {};
    return *ways[turn_++ % ways.size()];
}

bool Membership::leader_reaches(const std::string& leader, const std::string& zone) const {
    const auto it = peer_states_.find(leader);
    if (it == peer_states_.end() || !fresh(it->second))
        return true; // nothing is known to be better
    const auto r = it->second.view.zones.find(zone);
    return r == it->second.view.zones.end() || r->second != Reachability::unreachable;
}

bool Membership::can_serve() const {
    // The others are there and have no store either: an outage, in which everybody waits. Where nobody
    // can be asked, this node may be the only one that is cut off.
    return host_.is_active_leader() || has_any_link();
}

std::optional<Membership::ReportedLeader> Membership::reported_leader() const {
    std::optional<ReportedLeader> out;
    for (const auto& [name, peer] : peer_states_)
        if (fresh(peer) && (peer.view.sees_leader || peer.view.is_active_leader) &&
            (!out || peer.view.term > out->term))
            out = ReportedLeader{peer.view.leader, peer.view.term};
    return out;
}

std::vector<metrics::Value> Membership::metrics() const {
    const auto of = [](Reachability reachability) {
        return reachability == Reachability::reachable ? 1.0 : reachability == Reachability::unreachable ? 0.0 : 0.5;
    };
    constexpr const char* help = "whether this controller reaches it: 1 yes, 0 no, 0.5 not known";
    std::vector<metrics::Value> out{{"heronshift_link", help, of(store_.reach()), {{"to", "state"}}},
                                    {"heronshift_link", help, of(cloud_.reach()), {{"to", "cloud"}}}};
    for (const auto& [name, peer] : peer_states_)
        out.push_back({"heronshift_link", help, of(peer.link.reach()), {{"to", "controller " + name}}});
    for (const auto& [name, zone] : zones_)
        out.push_back({"heronshift_link", help, of(reach(zone)), {{"to", "workers " + name}}});
    out.push_back({"heronshift_link_changes_total", "links lost or found", static_cast<double>(changes_)});
    out.push_back({"heronshift_views_sent_total", "to other controllers", static_cast<double>(exchanges_)});
    out.push_back({"heronshift_probes_total", "of machines", static_cast<double>(probes_)});
    return out;
}

} // namespace heronshift::membership
