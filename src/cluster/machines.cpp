// Machines: what they say, what proves that a task is not there, what they are told, rentals and the list.
#include "heronshift/cluster/cluster_state.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <tuple>

namespace heronshift::cluster {
namespace {

// Steady clocks drift apart by up to 0.05%; twice that, and some for timer steps.
constexpr double clock_drift = 1.001;
constexpr double lease_margin_heartbeats = 0.05; // of report_s
// To a machine at once; the rest follow its answer. A machine runs tens of tasks, however many machines there are.
constexpr std::size_t max_orders = 200;
constexpr int max_heartbeats_without_token = 2; // reports; one may have been on the way
constexpr double trusted_leases = 1.5;          // in which a lease must not run out again

} // namespace

Machine* ClusterState::find_machine(const std::string& id) {
    const auto it = data_.machines.find(id);
    return it == data_.machines.end() ? nullptr : it->second.get();
}

void ClusterState::bind_type(Machine& m) {
    for (std::size_t i = 0; i < data_.types.size(); ++i)
        if (data_.types[i].name == m.type_name) {
            m.type = static_cast<int>(i);
            m.whole = data_.types[i].room;
        }
    if (m.zone >= 0)
        return;
    for (std::size_t i = 0; i < data_.settings.zones.size(); ++i)
        if (data_.settings.zones[i] == m.zone_name)
            m.zone = static_cast<int>(i);
    if (m.zone < 0)
        return;
    for (auto& e : m.entries) { // counted as in an unknown zone until now
        --e->job->zone_live[data_.settings.zones.size()];
        ++e->job->zone_live[static_cast<std::size_t>(m.zone)];
    }
}

Machine& ClusterState::learn_machine(const std::string& id, const std::string& addr, const std::string& type,
                                     const std::string& zone, bool spot) {
    auto& slot = data_.machines[id];
    if (!slot) {
        slot = std::make_unique<Machine>();
        slot->id = id;
        slot->known_since = data_.now;
        slot->fencing_token = data_.term << token_counter_bits;
        if (const auto* last = departed_.find(id); last != nullptr) {
            slot->agent_epoch = last->agent_epoch;
            slot->counter = slot->heartbeat_counter = last->counter;
            if (!last->released)
                departed_.erase(id);
        }
        if (const auto hint = image_hints_.find(id); hint != image_hints_.end()) {
            for (const auto image : hint->second)
                slot->images.push_back({image, true, data_.now});
            image_hints_.erase(hint);
        }
    }
    if (!addr.empty())
        slot->addr = addr;
    if (slot->type_name.empty() && !type.empty()) {
        slot->type_name = type;
        slot->spot = spot;
    }
    if (slot->zone_name.empty())
        slot->zone_name = zone;
    if (slot->type < 0 || slot->zone < 0)
        bind_type(*slot);
    return *slot;
}

double ClusterState::lease_expiry_s() const {
    return data_.settings.lease_s * clock_drift + data_.settings.report_s * lease_margin_heartbeats;
}

int ClusterState::image_id(const std::string& name, double gb) {
    const auto [it, fresh] = image_ids_.emplace(name, static_cast<int>(data_.image_gb.size()));
    if (fresh)
        data_.image_gb.push_back(gb);
    return it->second;
}

CachedImage* ClusterState::cached(Machine& m, int image) {
    for (auto& c : m.images)
        if (c.image == image)
            return &c;
    return nullptr;
}

// A machine keeps the images used last; what its cache cannot hold beside them is forgotten here too.
void ClusterState::use_image(Machine& m, int image, bool ready) {
    auto* c = cached(m, image);
    if (c == nullptr)
        c = &m.images.emplace_back(CachedImage{image, false, data_.now});
    c->used = data_.now;
    if (!ready || c->ready)
        return;
    c->ready = true;
    if (m.type < 0)
        return;
    double room = data_.types[static_cast<std::size_t>(m.type)].cache_gb;
    std::sort(m.images.begin(), m.images.end(), [](const auto& a, const auto& b) { return a.used > b.used; });
    for (std::size_t i = 0; i < m.images.size(); ++i) {
        room -= data_.image_gb[static_cast<std::size_t>(m.images[i].image)];
        if (room >= 0 || i == 0)
            continue;
        m.images.resize(i);
        return;
    }
}

void ClusterState::want_orders(Machine& m) {
    if (m.wants_orders)
        return;
    m.wants_orders = true;
    to_dispatch_.push_back(&m);
}

void ClusterState::forget_machine(const std::string& id, bool released) {
    const auto it = data_.machines.find(id);
    if (it == data_.machines.end())
        return;
    if (it->second->asked)
        --asking_;
    std::erase(to_dispatch_, it->second.get());
    if (released || it->second->agent_epoch > 0)
        departed_.add(id, {it->second->agent_epoch, it->second->counter, released, data_.now});
    data_.machines.erase(it);
}

// All tasks here are gone for good; what a transaction under way names is settled by its outcome.
void ClusterState::lose_entries(Machine& m) {
    for (std::size_t i = m.entries.size(); i-- > 0;)
        if (m.entries[i]->phase != Phase::storing)
            remove_entry(*m.entries[i]);
}

bool ClusterState::may_reap(const ReportedTask& t) {
    if (t.cause != ExitCause::done)
        return true;
    const auto* j = find_job(t.job);
    if (j == nullptr || j->final != Final::none)
        return true;
    return t.index >= j->tasks.size() || j->tasks[t.index].stored;
}

Entry* ClusterState::find_entry(Machine& m, const ReportedTask& t) {
    for (auto& e : m.entries)
        if (e->index == t.index && e->attempt == t.attempt && e->job->spec.id == t.job)
            return e.get();
    return nullptr;
}

// Another leader has come: however old the heartbeat is.
bool ClusterState::outdated(const Heartbeat& r) {
    if (r.fencing_token >> token_counter_bits <= data_.term)
        return false;
    resigned_ = true;
    effects_.push_back(Resign{fmt::format("{} has seen fence {} above ours", r.machine, r.fencing_token)});
    return true;
}

void ClusterState::apply_heartbeat(Machine& m, const Heartbeat& r, std::vector<Order>& reaps) {
    const bool ours = r.fencing_token >> token_counter_bits == data_.term;
    if (ours && r.fencing_token > m.fencing_token)
        m.fencing_token = r.fencing_token;
    const bool newer = r.agent_epoch > m.agent_epoch || (r.agent_epoch == m.agent_epoch && r.counter > m.counter);
    if (!newer)
        return; // late: its task list is as old as the heartbeat
    if (ours) {
        data_.unproven_machines.erase(m.id);
        needs_scheduling_ = needs_scheduling_ || !m.proven;
        m.proven = true;
    }
    if (r.agent_epoch > m.agent_epoch) {
        // A new agent epoch: all tasks of the earlier ones are gone, and commands for those are void.
        for (std::size_t i = m.entries.size(); i-- > 0;)
            if (m.entries[i]->agent_epoch < r.agent_epoch) {
                ++counters_.lost;
                remove_entry(*m.entries[i]);
            }
        if (m.agent_epoch > 0)
            lease_restarted(m);
        m.agent_epoch = r.agent_epoch;
        m.failed_jobs.clear();
        // The lease of a new agent epoch counts from its beginning, which was at the latest now: it holds
        // without any heartbeat that we answered. (Found by the world with several controllers.)
        m.lease_started_at = std::max(m.lease_started_at, data_.now);
    }
    m.counter = r.counter;
    m.last_heartbeat_at = data_.now;
    m.presumed_dead = false;
    if (m.status != Status::up) {
        m.lease_started_at = std::max(m.lease_started_at, data_.now); // it may report to nobody yet
        m.status = Status::up;
        if (m.up_since < 0) {
            m.up_since = data_.now;
            log(0, fmt::format("machine {} is up, {:.0f} s after it was asked for", m.id, data_.now - m.known_since));
        }
        if (m.entries.empty())
            m.empty_since = data_.now;
        needs_scheduling_ = true;
    }
    const auto mark = ++heartbeat_seq_;
    std::vector<std::pair<Entry*, const ReportedTask*>> ended;
    for (const auto& t : r.tasks) {
        auto* e = find_entry(m, t);
        if (e != nullptr)
            e->listed = mark;
        if (t.state == TaskState::ended) {
            if (e != nullptr) {
                ended.emplace_back(e, &t);
                continue;
            }
            if (auto* j = find_job(t.job);
                j != nullptr && t.cause == ExitCause::done && t.index < j->tasks.size() && j->final == Final::none)
                mark_done(*j, t.index);
            if (may_reap(t))
                reaps.push_back({Verb::reap, t.job, t.index, t.attempt, 0});
            continue;
        }
        if (e != nullptr) {
            update_entry(*e, t);
            continue;
        }
        // A task that we do not know to be here. It occupies its place all the same.
        auto* j = find_job(t.job);
        if (j == nullptr || t.index >= j->tasks.size()) {
            reaps.push_back({Verb::stop, t.job, t.index, t.attempt, 0});
            continue;
        }
        const bool wanted = j->final == Final::none && !j->tasks[t.index].done && j->tasks[t.index].live == 0 &&
                            (j->spec.shape != Shape::gang || j->gang_attempt == t.attempt);
        auto& fresh = add_entry(m, *j, t.index, t.attempt);
        fresh.listed = mark;
        update_entry(fresh, t);
        if (!wanted)
            stop_entry(fresh, 0);
    }
    // What is not listed is gone if it had been seen here before, or if the machine had by then
    // seen a fencing token above that of its launch, which can therefore no longer be executed.
    std::vector<Entry*> gone;
    for (auto& e : m.entries)
        if (e->listed != mark && e->phase >= Phase::sent && (e->seen || r.fencing_token > e->fencing_token))
            gone.push_back(e.get());
    for (const auto& [e, t] : ended) {
        task_exited(*e, *t);
        gone.push_back(e);
    }
    for (auto* e : gone)
        remove_entry(*e);
    for (const auto& [e, t] : ended)
        if (may_reap(*t))
            reaps.push_back({Verb::reap, t->job, t->index, t->attempt, 0});
    if (r.notice_s >= 0 && !m.draining) {
        record_spot_loss();
        m.draining = true;
        m.notice_until = data_.now + r.notice_s;
        log(1, fmt::format("machine {} is taken back in {:.0f} s", m.id, r.notice_s));
        needs_scheduling_ = true;
    }
}

// Its lease ran out, as a heartbeat says or an answer to orders.
void ClusterState::lease_restarted(Machine& m) {
    const double now = data_.now;
    ++m.fencing_token; // that it shows this one, told from now on, will prove that it hears
    // Orders may reach it, and the fencing token with them, while answers do not: then its lease runs out again and
    // again. It is seen a heartbeat late now and then, so what lies between may look shorter than a lease; but reports
    // that were held and come all at once are no sign of that.
    const double lease = data_.settings.lease_s, since = now - m.lease_expired_at;
    if (m.lease_expired_at >= 0 && m.last_answered_at > m.lease_expired_at && since > lease / 2 &&
        since < trusted_leases * lease)
        m.inbound_unreachable_until = now + trusted_leases * lease;
    m.lease_expired_at = now;
}

// Heartbeats may come while neither answers nor orders reach their machine: its lease ends, it begins anew, and
// all that is placed there is lost again. What it has heard shows in its fencing token, and in a lease that runs out
// though its heartbeats were answered.
void ClusterState::update_inbound_reachability(Machine& m, const Heartbeat& r) {
    const double now = data_.now;
    if (r.fencing_token >= m.acknowledged_token)
        m.heartbeats_without_token = 0;
    else if (now - m.token_acknowledged_at > data_.settings.report_s / 2)
        ++m.heartbeats_without_token;
    const bool inbound_unreachable =
        m.heartbeats_without_token >= max_heartbeats_without_token || now < m.inbound_unreachable_until;
    if (inbound_unreachable == m.inbound_unreachable())
        return;
    m.inbound_unreachable_since = inbound_unreachable ? now : -1;
    needs_scheduling_ = true;
    log(1,
        inbound_unreachable
            ? fmt::format("machine {} does not hear: its reports come, what they are answered does not reach it", m.id)
            : fmt::format("machine {} hears again", m.id));
}

void ClusterState::log_stale_heartbeats() {
    const bool first = data_.now - stale_heartbeats_logged_at_ > data_.settings.lease_s;
    stale_heartbeats_logged_at_ = data_.now;
    if (first)
        log(1, "old reports come late, they count for nothing");
}

std::vector<Order> ClusterState::standing_orders(Machine& m) {
    std::vector<Order> out;
    for (auto& e : m.entries)
        if (e->stop && e->phase >= Phase::sent) {
            // A second stop of a saving task with no grace would end it before it has saved.
            if (e->phase == Phase::saving && e->drain_s > 0)
                continue;
            e->stop_at = data_.now;
            out.push_back({Verb::stop, e->job->spec.id, e->index, e->attempt, e->drain_s});
        }
    return out;
}

// Of a machine that was lost and forgotten: what is no newer than its last heartbeat is no sign of life.
bool ClusterState::copy_of_departed(const Heartbeat& r) {
    const auto* last = departed_.find(r.machine);
    if (last == nullptr || std::tie(r.agent_epoch, r.counter) > std::tie(last->agent_epoch, last->counter))
        return false;
    ++counters_.stale_heartbeats;
    log_stale_heartbeats();
    return true;
}

// Copies of heartbeats may come late, from seconds to well over a lease, and in any order: they count for nothing,
// not even as a sign of life. Else a machine that is long gone would keep its tasks for as long as they come.
void ClusterState::receive_heartbeat(const HeartbeatReceived& c) {
    const auto& r = c.heartbeat;
    const auto refuse = [&] { effects_.push_back(AnswerHeartbeat{c.handle, 503, 0, {}}); };
    if (departed_.released(r.machine)) {
        ++counters_.heartbeats_of_gone_machines;
        log_stale_heartbeats();
        return refuse();
    }
    if (outdated(r) || copy_of_departed(r))
        return refuse();
    auto& m = learn_machine(r.machine, r.addr, r.type, r.zone, r.spot);
    if (r.agent_epoch < m.agent_epoch || (r.agent_epoch == m.agent_epoch && r.counter <= m.heartbeat_counter)) {
        ++counters_.stale_heartbeats;
        log_stale_heartbeats();
        return refuse();
    }
    // One that an answer to orders has overtaken was sent before that.
    const bool overtaken = r.agent_epoch == m.agent_epoch && r.counter <= m.counter;
    std::vector<Order> orders;
    apply_heartbeat(m, r, orders);
    update_inbound_reachability(m, r);
    m.heartbeat_counter = r.counter;
    m.lease_started_at = std::max(m.lease_started_at, overtaken ? m.last_heartbeat_at : data_.now);
    m.last_answered_at = data_.now;
    if (m.fencing_token > m.acknowledged_token) {
        m.acknowledged_token = m.fencing_token;
        m.token_acknowledged_at = data_.now;
    }
    if (!m.proven)
        want_heartbeat(m); // an answer to empty orders proves that it is there
    auto stops = standing_orders(m);
    orders.insert(orders.end(), stops.begin(), stops.end());
    effects_.push_back(AnswerHeartbeat{c.handle, 200, m.fencing_token, std::move(orders)});
}

void ClusterState::dispatch(Machine& m) {
    SendOrders o;
    for (auto& e : m.entries) {
        if (o.orders.size() >= max_orders) {
            want_orders(m);
            break;
        }
        if (e->stop && e->phase >= Phase::sent && e->stop_at < 0) {
            e->stop_at = data_.now;
            o.orders.push_back({Verb::stop, e->job->spec.id, e->index, e->attempt, e->drain_s});
        }
    }
    for (std::size_t i = m.entries.size(); i-- > 0;) {
        auto& e = *m.entries[i];
        if (e.phase != Phase::stored)
            continue;
        // Never sent, so it is surely not there.
        if (e.stop || e.agent_epoch != m.agent_epoch || m.status != Status::up || m.addr.empty() ||
            e.job->final != Final::none) {
            remove_entry(e);
            continue;
        }
        if (o.orders.size() >= max_orders) {
            want_orders(m);
            continue;
        }
        // Each launch is sent once: repeated after a reap it would start the task again.
        e.phase = Phase::sent;
        e.fencing_token = m.fencing_token;
        ++counters_.launched;
        o.orders.push_back({Verb::launch, e.job->spec.id, e.index, e.attempt, 0});
    }
    if (o.orders.empty())
        return;
    o.machine = m.id;
    o.addr = m.addr;
    o.batch = m.batch = ++batch_seq_;
    o.fencing_token = m.fencing_token;
    o.agent_epoch = m.agent_epoch;
    o.prefer_relay = data_.now < m.relay_orders_until;
    effects_.push_back(std::move(o));
}

void ClusterState::answered(const OrdersAnswered& c) {
    auto* m = find_machine(c.machine);
    if (m == nullptr || m->batch != c.batch)
        return;
    m->batch = 0;
    if (c.heartbeat && outdated(*c.heartbeat))
        return;
    // The other way next time: this one may be cut though reports come.
    if (c.status == 0)
        m->relay_orders_until = data_.now < m->relay_orders_until ? -1 : data_.now + data_.settings.lease_s;
    std::vector<Order> reaps;
    if (m->asked) {
        m->asked = false;
        --asking_;
        if (c.heartbeat)
            apply_heartbeat(*m, *c.heartbeat, reaps);
        want_orders(*m);
        return;
    }
    want_orders(*m);
    const auto fencing_token = m->fencing_token;
    auto outstanding = [&](const PropagateConst<std::unique_ptr<Entry>>& e) {
        return e->phase == Phase::sent && !e->seen && e->fencing_token == fencing_token;
    };
    if (c.status == 200 && c.heartbeat && c.heartbeat->agent_epoch == m->agent_epoch) {
        // The body is the heartbeat after the commands: what it does not list did not start.
        for (auto& e : m->entries)
            if (outstanding(e) && c.heartbeat->counter > m->counter)
                mark_seen(*e);
        apply_heartbeat(*m, *c.heartbeat, reaps);
        // A newer heartbeat overtook this answer without settling a launch: raise the fencing token.
        if (std::any_of(m->entries.begin(), m->entries.end(), outstanding))
            ++m->fencing_token;
        return;
    }
    if (c.status == 409 || !c.sent) {
        for (std::size_t i = m->entries.size(); i-- > 0;)
            if (outstanding(m->entries[i]))
                remove_entry(*m->entries[i]);
        for (auto& e : m->entries)
            e->stop_at = e->stop ? data_.now : e->stop_at; // beats repeat the stops
        if (!c.sent)
            m->avoid_until = std::max(m->avoid_until, data_.now + data_.settings.report_s / 2);
        if (c.heartbeat)
            apply_heartbeat(*m, *c.heartbeat, reaps);
        return;
    }
    // The outcome is open: the commands may still be executed, minutes later. Raising the fencing token
    // and seeing the raised value in a heartbeat proves that they no longer can be.
    ++m->fencing_token;
    m->avoid_until = std::max(m->avoid_until, data_.now + data_.settings.report_s / 2);
    log(0, fmt::format("no answer of {} to commands, fence raised to {}", m->id, m->fencing_token));
}

void ClusterState::expire_leases() {
    const double lease = lease_expiry_s();
    std::vector<std::string> remove;
    for (auto& [id, mp] : data_.machines) {
        auto& m = *mp;
        if (m.status == Status::up && data_.now > m.lease_started_at + lease) {
            if (!m.entries.empty())
                log(2, fmt::format("lease of {} has lapsed, {} tasks lost", id, m.entries.size()));
            for (const auto& e : m.entries)
                counters_.lost += e->phase >= Phase::sent;
            if (m.spot)
                record_spot_loss();
            lose_entries(m);
            m.status = Status::lost;
            m.empty_since = data_.now;
            data_.unproven_machines.erase(id);
        }
        // Gone from the list for good, or never there: nothing of it is left to keep.
        const bool unlisted = data_.now - std::max(m.listed_at, m.known_since) >
                              4 * data_.settings.list_lag_s + 2 * data_.settings.lease_s;
        if (m.status != Status::up && m.entries.empty() && unlisted && m.batch == 0)
            remove.push_back(id);
    }
    // Without room for what was last heard of it, a machine stays tracked as lost until there is.
    remove.resize(departed_.room_for(remove.size(), data_.now));
    for (const auto& id : remove)
        forget_machine(id, false);
}

void ClusterState::rented(const Rented& c) {
    const auto it = data_.rentals.find(c.claim);
    if (it == data_.rentals.end())
        return;
    auto& p = it->second;
    p.in_flight = false;
    if (c.outcome == RentOutcome::rented) {
        for (const auto& id : c.machines) {
            auto& m = learn_machine(id, "", p.type, p.zone, p.spot);
            m.known_since = p.asked;
        }
        log(1, fmt::format("rented {} of {} {} in {}{}", c.machines.size(), p.count, p.type, p.zone,
                           p.spot ? " (spot)" : ""));
        if (static_cast<int>(c.machines.size()) < p.count)
            data_.no_capacity[fmt::format("{}/{}/{}", p.type, p.zone, p.spot)] =
                data_.now + 2 * data_.settings.report_s;
        data_.rentals.erase(it);
    } else if (c.outcome == RentOutcome::no_capacity) {
        data_.no_capacity[fmt::format("{}/{}/{}", p.type, p.zone, p.spot)] = data_.now + 2 * data_.settings.report_s;
        data_.rentals.erase(it);
    } else if (c.outcome == RentOutcome::failed) {
        data_.rentals.erase(it); // surely not executed
    } else {
        // The answer was lost: the same claim again, so that nothing is rented twice.
        p.in_flight = true;
        effects_.push_back(Rent{c.claim, p.type, p.zone, p.spot, p.count});
    }
}

void ClusterState::released(const Released& c) {
    releases_under_way_ -= std::min(releases_under_way_, c.machines.size());
    for (const auto& id : c.machines) {
        auto* m = find_machine(id);
        if (m == nullptr)
            continue;
        m->release_asked = false;
        if (!c.ok) {
            m->release_retry = data_.now + data_.settings.report_s;
            continue;
        }
        // By the time of the answer the machine and everything on it are gone.
        lose_entries(*m);
        if (!m->entries.empty())
            continue; // asked again once the store has answered
        forget_machine(id, true);
    }
    needs_scheduling_ = true;
}

void ClusterState::listed(const MachinesListed& c) {
    for (const auto& l : c.machines) {
        // The list lags: what was released may still be in it for a while.
        if (departed_.released(l.id))
            continue;
        auto& m = learn_machine(l.id, l.addr, l.type, l.zone, l.spot);
        m.listed_at = data_.now;
        // Known from records or a heartbeat first, as after a failover, it is older than that: from a day on
        // which no machine was emptied for a minute after each change of leadership, 300 too many kept.
        m.known_since = std::min(m.known_since, data_.now - l.age_s);
        if (l.status == "failed" && !m.releasing) {
            log(1, fmt::format("machine {} has failed", m.id));
            lose_entries(m);
            m.status = Status::lost;
            m.bad = true;
        }
        if (!data_.asked_all && l.status == "running")
            want_heartbeat(m);
    }
    data_.asked_all = true;
    needs_scheduling_ = true;
}

void ClusterState::types_known(std::vector<MachineType>&& types) {
    data_.types = std::move(types);
    for (auto& [id, m] : data_.machines)
        bind_type(*m);
    needs_scheduling_ = true;
}

void ClusterState::send_due_orders() {
    const auto due = std::move(to_dispatch_);
    to_dispatch_.clear();
    for (auto* m : due) {
        m->wants_orders = false;
        if (m->batch == 0)
            dispatch(*m); // else once the answer is in
    }
    ask_machines();
}

void ClusterState::record_spot_loss() {
    auto& l = data_.learned;
    l.spot_losses = l.spot_losses * std::exp(-(data_.now - l.spot_losses_at) / data_.average_s()) + 1;
    l.spot_losses_at = data_.now;
}

} // namespace heronshift::cluster
