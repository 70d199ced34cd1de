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

FailureThresholds store_patience(const Settings& s) {
    return {s.report_s / 4, 2, s.report_s / 4};
}
FailureThresholds peer_patience(const Settings& s) {
    return {s.report_s / 2, 2, s.report_s / 4};
}
FailureThresholds zone_patience(const Settings& s) {
    return {s.report_s, 2, s.report_s};
}

FailureThresholds silence_patience(const Settings& s) {
    return {0, 1, s.report_s / 2}; // the silence itself is what lasted
}

const char* to_text(Reachability r) {
    return r == Reachability::reachable ? "works" : r == Reachability::unreachable ? "lost" : "not known";
}

} // namespace

std::string describe(const Eligibility& s) {
    return fmt::format("store {}, zones {}, through others {}", s.store, s.zones, s.zones_by_others);
}

Membership::Zone::Zone(const Settings& s) : in(silence_patience(s)), out(zone_patience(s)) {}
Membership::PeerState::PeerState(const Settings& s) : link(peer_patience(s)) {}

Membership::Membership(const Settings& s, TimerQueue& timers, store::StateStore& store, Executor& executor,
                       Peers& peers, Host& host)
    : settings_(s), timers_(timers), state_(store), executor_(executor), peers_(peers), host_(host),
      store_(store_patience(s)), cloud_(store_patience(s)) {
    for (const auto& z : s.zones)
        zones_.emplace(z, s);
    for (const auto& p : s.peers)
        peer_states_.emplace(p.name, s);
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
    const double t = timers_.now();
    store_asked_at_ = t;
    if (ok ? store_.worked(t) : store_.failed(t))
        changed("the state service", store_.reach());
}

void Membership::cloud_answered(bool ok) {
    const double t = timers_.now();
    if (ok ? cloud_.worked(t) : cloud_.failed(t))
        changed("the cloud", cloud_.reach());
}

void Membership::peer_answered(const std::string& name, bool ok) {
    const auto it = peer_states_.find(name);
    if (it == peer_states_.end())
        return;
    auto& l = it->second.link;
    if (ok ? l.worked(timers_.now()) : l.failed(timers_.now()))
        changed("controller " + name, l.reach());
}

void Membership::heartbeat_received(const std::string& zone, const std::string& addr) {
    const double t = timers_.now();
    last_worker_heartbeat_at_ = t;
    auto* z = find_zone(zone);
    if (z == nullptr)
        return;
    z->last_heartbeat_at = t;
    if (z->in.worked(t))
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
void Membership::remember(Zone& z, const std::string& addr) {
    const double t = timers_.now();
    for (auto& x : z.samples)
        if (x.addr == addr) {
            x.at = t;
            return;
        }
    if (z.samples.size() < max_samples)
        return z.samples.push_back({addr, t});
    for (auto& x : z.samples)
        if (t - x.at > silence_heartbeats * settings_.report_s) {
            x = {addr, t};
            return;
        }
}

// --- what goes out ---

void Membership::tick() {
    const double t = timers_.now();
    if (t >= next_silence_) {
        next_silence_ = t + settings_.report_s / 10;
        watch_silence();
    }
    if (t >= next_probe_ && !settings_.peers.empty()) {
        next_probe_ = t + probe_heartbeats * settings_.report_s;
        probe();
    }
    // Those that the store does not serve learn only from this who is the leader now.
    if (const bool is_active_leader = host_.is_active_leader(); is_active_leader != was_active_leader_) {
        was_active_leader_ = is_active_leader;
        exchange_soon_ = true;
    }
    if (t >= next_exchange_ ||
        (exchange_soon_ && t >= next_exchange_ - (exchange_heartbeats - soon) * settings_.report_s)) {
        next_exchange_ = t + exchange_heartbeats * settings_.report_s;
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
    const double t = timers_.now();
    const auto by_zone = host_.machines_by_zone();
    for (auto& [name, z] : zones_) {
        const auto there = by_zone.find(name);
        const auto machines = there == by_zone.end() ? 0 : there->second;
        if (machines == 0) {
            z.samples.clear(); // given back: that they are silent says nothing
            continue;
        }
        if (z.in.lost() && t - z.in.failed_at() > settings_.lease_s)
            reset_inbound_health(z);
        const double patience = machines < min_machines_to_judge ? silence_small_fleet_heartbeats : silence_heartbeats;
        const double since = std::max({z.last_heartbeat_at, z.relayed_at, z.trusted_at, host_.active_since()});
        if (t - since < patience * settings_.report_s)
            continue;
        if (z.in.failed(t))
            changed(fmt::format("workers in {}", name), Reachability::unreachable);
    }
}

void Membership::reset_inbound_health(Zone& z) {
    z.in = LinkHealth(silence_patience(settings_));
    z.trusted_at = timers_.now();
    exchange_soon_ = true;
}

void Membership::probe() {
    const double t = timers_.now();
    if (!asking_store_ && t - store_asked_at_ >= store_heartbeats * settings_.report_s) {
        asking_store_ = true;
        state_.get("office", settings_.report_s / 4, [this](store::Answer&&) { asking_store_ = false; });
    }
    for (auto& [name, z] : zones_)
        probe_zone(name, z);
    // The cloud's calls are few: the others look only when it is the leader that cannot.
    const auto h = peer_states_.find(host_.leader());
    if (h == peer_states_.end() || !fresh(h->second) || h->second.view.cloud != Reachability::unreachable ||
        t < next_cloud_)
        return;
    next_cloud_ = t + settings_.lease_s / 2;
    executor_.types(settings_.report_s,
                    [this](std::optional<std::vector<MachineType>>&& types) { cloud_answered(types.has_value()); });
}

void Membership::probe_zone(const std::string& name, Zone& z) {
    const double t = timers_.now();
    std::erase_if(z.samples, [&](const auto& x) { return t - x.at > samples_leases * settings_.lease_s; });
    // Machines that were given back answer nobody: where others report, those that do not are not asked. (The
    // leadership was handed on, its zone of two machines taken for lost.)
    const auto silent = [&](const auto& x) { return t - x.at > silence_heartbeats * settings_.report_s; };
    if (!std::all_of(z.samples.begin(), z.samples.end(), silent))
        std::erase_if(z.samples, silent);
    if (z.probes > z.answered || z.samples.empty())
        return;
    z.probes = z.answered = 0;
    const auto n = std::min<std::size_t>(probes_a_round, z.samples.size());
    auto any = std::make_shared<bool>(false);
    z.probes = static_cast<int>(n);
    for (std::size_t i = 0; i < n; ++i) {
        ++probes_;
        executor_.probe(z.samples[z.next_sample++ % z.samples.size()].addr, probe_wait * settings_.report_s,
                        [this, name, any](std::optional<bool> ok) { probed(name, *any, ok); });
    }
}

// A round in which nobody answers has failed.
void Membership::probed(const std::string& zone, bool& any, std::optional<bool> ok) {
    auto* z = find_zone(zone);
    const double t = timers_.now();
    any = any || ok.value_or(false);
    bool turned = false;
    if (ok.value_or(false)) {
        turned = z->out.worked(t);
        if (turned)
            reset_inbound_health(*z);
    }
    if (++z->answered == z->probes && !any && ok.has_value())
        turned = z->out.failed(t);
    if (turned)
        changed(fmt::format("workers in {}", zone), reach(*z));
}

PeerView Membership::own_view() const {
    PeerView v;
    v.node = settings_.name;
    v.sent = timers_.wall();
    v.store = store_.reach();
    v.cloud = cloud_.reach();
    const auto since = [t = timers_.now()](const LinkHealth& l) { return l.worked_at() < 0 ? -1 : t - l.worked_at(); };
    v.store_s = since(store_);
    v.cloud_s = since(cloud_);
    for (const auto& [name, z] : zones_)
        v.zones[name] = reach(z);
    for (const auto& [name, o] : peer_states_)
        v.peers[name] = o.link.reach();
    v.leader = host_.leader();
    v.term = host_.leader_term();
    v.sees_leader = host_.sees_leader();
    v.is_active_leader = host_.is_active_leader();
    for (const auto& [name, z] : zones_)
        for (const auto& x : z.samples)
            if (timers_.now() - x.at < settings_.lease_s)
                v.machines[name].push_back(x.addr);
    return v;
}

void Membership::exchange() {
    const auto body = to_body(own_view());
    for (auto& [name, o] : peer_states_) {
        if (o.asking)
            continue;
        o.asking = true;
        ++exchanges_;
        peers_.request(Lane::control, name, "POST", peer_view, body, exchange_wait * settings_.report_s,
                       [this, name = name, sent = timers_.now()](HttpReply&& r) {
                           auto& to = peer_states_.at(name);
                           to.asking = false;
                           if (r.status != 200)
                               return;
                           auto v = view(r.body);
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

void Membership::handle_view(const HttpRequest& r, const Responder& res) {
    auto v = view(r.body);
    if (!v)
        return res.send(400, codec::error_answer("not a view"));
    receive_view(std::move(*v));
    res.send(200, to_body(own_view()));
}

void Membership::receive_view(PeerView&& v) {
    const auto it = peer_states_.find(v.node);
    if (it == peer_states_.end())
        return;
    // One that was held up on the way is as old as it is; clocks differ by the bound of the settings.
    const double late = std::max(0.0, timers_.wall() - v.sent - 2 * settings_.time_bound_s);
    const double t = timers_.now();
    if (t - late < it->second.at)
        return;
    for (const auto& [name, list] : v.machines) {
        auto* z = find_zone(name);
        if (z == nullptr || list.empty() || host_.is_active_leader() || !(v.is_active_leader || z->samples.empty()))
            continue;
        // What others only remember is used, but not handed on: it would never grow old.
        const double at = v.is_active_leader ? t : t - settings_.lease_s;
        z->samples.clear();
        for (const auto& addr : list)
            z->samples.push_back({addr, at});
    }
    it->second.view = std::move(v);
    it->second.at = t - late;
}

// --- what is thought ---

Reachability Membership::reach(const Zone& z) const {
    if (z.out.lost() || (host_.is_active_leader() && z.in.lost()))
        return Reachability::unreachable;
    const bool any = z.out.reach() == Reachability::reachable ||
                     (host_.is_active_leader() && z.in.reach() == Reachability::reachable);
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

bool Membership::fresh(const PeerState& o) const {
    return o.at >= 0 && timers_.now() - o.at < fresh_heartbeats * settings_.report_s;
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
Eligibility Membership::eligibility(const PeerView& v, bool doubt) const {
    const auto counts = [doubt](Reachability r) {
        return r == Reachability::reachable || (doubt && r == Reachability::unknown);
    };
    Eligibility out;
    out.store = counts(v.store);
    out.cloud = v.cloud != Reachability::unreachable; // asked for only when the leader cannot reach it
    for (const auto& z : settings_.zones) {
        const auto of = [&z](const PeerView& x) {
            const auto r = x.zones.find(z);
            return r == x.zones.end() ? Reachability::unknown : r->second;
        };
        if (counts(of(v))) {
            ++out.zones;
            continue;
        }
        const auto by = [&](const std::string& name, const PeerView& x) {
            const auto link = v.peers.find(name);
            return name != v.node && of(x) == Reachability::reachable && link != v.peers.end() &&
                   link->second == Reachability::reachable;
        };
        bool any = v.node != settings_.name && by(settings_.name, own_view());
        for (const auto& [name, o] : peer_states_)
            any = any || (fresh(o) && by(name, o.view));
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
Eligibility Membership::eligibility(const PeerState& o) const {
    auto out = eligibility(o.view, false);
    if (!since_lost(o.store_at, store_))
        out.store = 0;
    if (!since_lost(o.cloud_at, cloud_))
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
    for (const auto& [name, o] : peer_states_) {
        if (!fresh(o))
            continue;
        if (const auto x = eligibility(o); x > most) {
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
    for (const auto& [name, o] : peer_states_) {
        if (!fresh(o))
            continue;
        const auto x = eligibility(o.view, true);
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
    for (const auto& [name, o] : peer_states_) {
        if (!fresh(o) || o.link.lost() || o.view.store != Reachability::reachable)
            continue;
        if (!out || name == rather)
            out = name;
    }
    return out;
}

std::optional<std::string> Membership::served_instead() const {
    for (const auto& [name, o] : peer_states_)
        if (fresh(o) && o.view.store == Reachability::reachable && store_.lost() && since_lost(o.store_at, store_))
            return name;
    return {};
}

std::optional<std::string> Membership::relay_to(const std::string& zone) {
    std::vector<const std::string*> ways;
    for (const auto& [name, o] : peer_states_) {
        if (!fresh(o) || o.link.lost())
            continue;
        if (const auto r = o.view.zones.find(zone); r != o.view.zones.end() && r->second == Reachability::reachable)
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
    for (const auto& [name, o] : peer_states_)
        if (fresh(o) && (o.view.sees_leader || o.view.is_active_leader) && (!out || o.view.term > out->term))
            out = ReportedLeader{o.view.leader, o.view.term};
    return out;
}

std::vector<metrics::Value> Membership::metrics() const {
    const auto of = [](Reachability r) {
        return r == Reachability::reachable ? 1.0 : r == Reachability::unreachable ? 0.0 : 0.5;
    };
    constexpr const char* help = "whether this controller reaches it: 1 yes, 0 no, 0.5 not known";
    std::vector<metrics::Value> out{{"heronshift_link", help, of(store_.reach()), {{"to", "state"}}},
                                    {"heronshift_link", help, of(cloud_.reach()), {{"to", "cloud"}}}};
    for (const auto& [name, o] : peer_states_)
        out.push_back({"heronshift_link", help, of(o.link.reach()), {{"to", "controller " + name}}});
    for (const auto& [name, z] : zones_)
        out.push_back({"heronshift_link", help, of(reach(z)), {{"to", "workers " + name}}});
    out.push_back({"heronshift_link_changes_total", "links lost or found", static_cast<double>(changes_)});
    out.push_back({"heronshift_views_sent_total", "to other controllers", static_cast<double>(exchanges_)});
    out.push_back({"heronshift_probes_total", "of machines", static_cast<double>(probes_)});
    return out;
}

} // namespace heronshift::membership
