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

void ClusterState::bind_type(Machine& machine) {
    for (std::size_t i = 0; i < data_.types.size(); ++i)
        if (data_.types[i].name == machine.type_name) {
            machine.type = static_cast<int>(i);
            machine.whole = data_.types[i].room;
        }
    if (machine.zone >= 0)
        return;
    for (std::size_t i = 0; i < data_.settings.zones.size(); ++i)
        if (data_.settings.zones[i] == machine.zone_name)
            machine.zone = static_cast<int>(i);
    if (machine.zone < 0)
        return;
    for (auto& entry : machine.entries) { // counted as in an unknown zone until now
        --entry->job->zone_live[data_.settings.zones.size()];
        ++entry->job->zone_live[static_cast<std::size_t>(machine.zone)];
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

CachedImage* ClusterState::cached(Machine& machine, int image) {
    for (auto& c : machine.images)
        if (c.image == image)
            return &c;
    return nullptr;
}

// A machine keeps the images used last; what its cache cannot hold beside them is forgotten here too.
void ClusterState::use_image(Machine& machine, int image, bool ready) {
    auto* c = cached(machine, image);
    if (c == nullptr)
        c = &machine.images.emplace_back(CachedImage{image, false, data_.now});
    c->used = data_.now;
    if (!ready || c->ready)
        return;
    c->ready = true;
    if (machine.type < 0)
        return;
    double room = data_.types[static_cast<std::size_t>(machine.type)].cache_gb;
    std::sort(machine.images.begin(), machine.images.end(),
              [](const auto& a, const auto& b) { return a.used > b.used; });
    for (std::size_t i = 0; i < machine.images.size(); ++i) {
        room -= data_.image_gb[static_cast<std::size_t>(machine.images[i].image)];
        if (room >= 0 || i == 0)
            continue;
        machine.images.resize(i);
        return;
    }
}

void ClusterState::want_orders(Machine& machine) {
    if (machine.wants_orders)
        return;
    machine.wants_orders = true;
    to_dispatch_.push_back(&machine);
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
void ClusterState::lose_entries(Machine& machine) {
    for (std::size_t i = machine.entries.size(); i-- > 0;)
        if (machine.entries[i]->phase != Phase::storing)
            remove_entry(*machine.entries[i]);
}

bool ClusterState::may_reap(const ReportedTask& task) {
    if (task.cause != ExitCause::done)
        return true;
    const auto* job = find_job(task.job);
    if (job == nullptr || job->final != Final::none)
        return true;
    return task.index >= job->tasks.size() || job->tasks[task.index].stored;
}

Entry* ClusterState::find_entry(Machine& machine, const ReportedTask& task) {
    for (auto& entry : machine.entries)
        if (entry->index == task.index && entry->attempt == task.attempt && entry->job->spec.id == task.job)
            return entry.get();
    return nullptr;
}

// Another leader has come: however old the heartbeat is.
bool ClusterState::outdated(const Heartbeat& heartbeat) {
    if (heartbeat.fencing_token >> token_counter_bits <= data_.term)
        return false;
    resigned_ = true;
    effects_.push_back(
        Resign{fmt::format("{} has seen fence {} above ours", heartbeat.machine, heartbeat.fencing_token)});
    return true;
}

void ClusterState::apply_heartbeat(Machine& machine, const Heartbeat& heartbeat, std::vector<Order>& reaps) {
    const bool ours = heartbeat.fencing_token >> token_counter_bits == data_.term;
    if (ours && heartbeat.fencing_token > machine.fencing_token)
        machine.fencing_token = heartbeat.fencing_token;
    const bool newer = heartbeat.agent_epoch > machine.agent_epoch ||
                       (heartbeat.agent_epoch == machine.agent_epoch && heartbeat.counter > machine.counter);
    if (!newer)
        return; // late: its task list is as old as the heartbeat
    if (ours) {
        data_.unproven_machines.erase(machine.id);
        needs_scheduling_ = needs_scheduling_ || !machine.proven;
        machine.proven = true;
    }
    if (heartbeat.agent_epoch > machine.agent_epoch) {
        // A new agent epoch: all tasks of the earlier ones are gone, and commands for those are void.
        for (std::size_t i = machine.entries.size(); i-- > 0;)
            if (machine.entries[i]->agent_epoch < heartbeat.agent_epoch) {
                ++counters_.lost;
                remove_entry(*machine.entries[i]);
            }
        if (machine.agent_epoch > 0)
            lease_restarted(machine);
        machine.agent_epoch = heartbeat.agent_epoch;
        machine.failed_jobs.clear();
        // The lease of a new agent epoch counts from its beginning, which was at the latest now: it holds
        // without any heartbeat that we answered. (Found by the world with several controllers.)
        machine.lease_started_at = std::max(machine.lease_started_at, data_.now);
    }
    machine.counter = heartbeat.counter;
    machine.last_heartbeat_at = data_.now;
    machine.presumed_dead = false;
    if (machine.status != Status::up) {
        machine.lease_started_at = std::max(machine.lease_started_at, data_.now); // it may report to nobody yet
        machine.status = Status::up;
        if (machine.up_since < 0) {
            machine.up_since = data_.now;
            log(LogLine::Level::debug, fmt::format("machine {} is up, {:.0f} s after it was asked for", machine.id,
                                                   data_.now - machine.known_since));
        }
        if (machine.entries.empty())
            machine.empty_since = data_.now;
        needs_scheduling_ = true;
    }
    const auto mark = ++heartbeat_seq_;
    std::vector<std::pair<Entry*, const ReportedTask*>> ended;
    for (const auto& task : heartbeat.tasks) {
        auto* entry = find_entry(machine, task);
        if (entry != nullptr)
            entry->listed = mark;
        if (task.state == TaskState::ended) {
            if (entry != nullptr) {
                ended.emplace_back(entry, &task);
                continue;
            }
            if (auto* job = find_job(task.job); job != nullptr && task.cause == ExitCause::done &&
                                                task.index < job->tasks.size() && job->final == Final::none)
                mark_done(*job, task.index);
            if (may_reap(task))
                reaps.push_back({Verb::reap, task.job, task.index, task.attempt, 0});
            continue;
        }
        if (entry != nullptr) {
            update_entry(*entry, task);
            continue;
        }
        // A task that we do not know to be here. It occupies its place all the same.
        auto* job = find_job(task.job);
        if (job == nullptr || task.index >= job->tasks.size()) {
            reaps.push_back({Verb::stop, task.job, task.index, task.attempt, 0});
            continue;
        }
        const bool wanted = job->final == Final::none && !job->tasks[task.index].done &&
                            job->tasks[task.index].live == 0 &&
                            (job->spec.shape != Shape::gang || job->gang_attempt == task.attempt);
        auto& fresh = add_entry(machine, *job, task.index, task.attempt);
        fresh.listed = mark;
        update_entry(fresh, task);
        if (!wanted)
            stop_entry(fresh, 0);
    }
    // What is not listed is gone if it had been seen here before, or if the machine had by then
    // seen a fencing token above that of its launch, which can therefore no longer be executed.
    std::vector<Entry*> gone;
    for (auto& entry : machine.entries)
        if (entry->listed != mark && entry->phase >= Phase::sent &&
            (entry->seen || heartbeat.fencing_token > entry->fencing_token))
            gone.push_back(entry.get());
    for (const auto& [e, t] : ended) {
        task_exited(*e, *t);
        gone.push_back(e);
    }
    for (auto* entry : gone)
        remove_entry(*entry);
    for (const auto& [e, t] : ended)
        if (may_reap(*t))
            reaps.push_back({Verb::reap, t->job, t->index, t->attempt, 0});
    if (heartbeat.notice_s >= 0 && !machine.draining) {
        record_spot_loss();
        machine.draining = true;
        machine.notice_until = data_.now + heartbeat.notice_s;
        log(LogLine::Level::info, fmt::format("machine {} is taken back in {:.0f} s", machine.id, heartbeat.notice_s));
        needs_scheduling_ = true;
    }
}

// Its lease ran out, as a heartbeat says or an answer to orders.
void ClusterState::lease_restarted(Machine& machine) {
    const double now = data_.now;
    ++machine.fencing_token; // that it shows this one, told from now on, will prove that it hears
    // Orders may reach it, and the fencing token with them, while answers do not: then its lease runs out again and
    // again. It is seen a heartbeat late now and then, so what lies between may look shorter than a lease; but reports
    // that were held and come all at once are no sign of that.
    const double lease = data_.settings.lease_s, since = now - machine.lease_expired_at;
    if (machine.lease_expired_at >= 0 && machine.last_answered_at > machine.lease_expired_at && since > lease / 2 &&
        since < trusted_leases * lease)
        machine.inbound_unreachable_until = now + trusted_leases * lease;
    machine.lease_expired_at = now;
}

// Heartbeats may come while neither answers nor orders reach their machine: its lease ends, it begins anew, and
// all that is placed there is lost again. What it has heard shows in its fencing token, and in a lease that runs out
// though its heartbeats were answered.
void ClusterState::update_inbound_reachability(Machine& machine, const Heartbeat& heartbeat) {
    const double now = data_.now;
    if (heartbeat.fencing_token >= machine.acknowledged_token)
        machine.heartbeats_without_token = 0;
    else if (now - machine.token_acknowledged_at > data_.settings.report_s / 2)
        ++machine.heartbeats_without_token;
    const bool inbound_unreachable =
        machine.heartbeats_without_token >= max_heartbeats_without_token || now < machine.inbound_unreachable_until;
    if (inbound_unreachable == machine.inbound_unreachable())
        return;
    machine.inbound_unreachable_since = inbound_unreachable ? now : -1;
    needs_scheduling_ = true;
    log(LogLine::Level::info,
        inbound_unreachable
            ? fmt::format("machine {} does not hear: its reports come, what they are answered does not reach it",
                          machine.id)
            : fmt::format("machine {} hears again", machine.id));
}

void ClusterState::log_stale_heartbeats() {
    const bool first = data_.now - stale_heartbeats_logged_at_ > data_.settings.lease_s;
    stale_heartbeats_logged_at_ = data_.now;
    if (first)
        log(LogLine::Level::info, "old reports come late, they count for nothing");
}

std::vector<Order> ClusterState::standing_orders(Machine& machine) {
    std::vector<Order> out;
    for (auto& entry : machine.entries)
        if (entry->stop && entry->phase >= Phase::sent) {
            // A second stop of a saving task with no grace would end it before it has saved.
            if (entry->phase == Phase::saving && entry->drain_s > 0)
                continue;
            entry->stop_at = data_.now;
            out.push_back({Verb::stop, entry->job->spec.id, entry->index, entry->attempt, entry->drain_s});
        }
    return out;
}

// Of a machine that was lost and forgotten: what is no newer than its last heartbeat is no sign of life.
bool ClusterState::copy_of_departed(const Heartbeat& heartbeat) {
    const auto* last = departed_.find(heartbeat.machine);
    if (last == nullptr ||
        std::tie(heartbeat.agent_epoch, heartbeat.counter) > std::tie(last->agent_epoch, last->counter))
        return false;
    ++counters_.stale_heartbeats;
    log_stale_heartbeats();
    return true;
}

// Copies of heartbeats may come late, from seconds to well over a lease, and in any order: they count for nothing,
// not even as a sign of life. Else a machine that is long gone would keep its tasks for as long as they come.
void ClusterState::receive_heartbeat(const HeartbeatReceived& command) {
    const auto& heartbeat = command.heartbeat;
    const auto refuse = [&] { effects_.push_back(AnswerHeartbeat{command.handle, 503, 0, {}}); };
    if (departed_.released(heartbeat.machine)) {
        ++counters_.heartbeats_of_gone_machines;
        log_stale_heartbeats();
        return refuse();
    }
    if (outdated(heartbeat) || copy_of_departed(heartbeat))
        return refuse();
    auto& machine = learn_machine(heartbeat.machine, heartbeat.addr, heartbeat.type, heartbeat.zone, heartbeat.spot);
    if (heartbeat.agent_epoch < machine.agent_epoch ||
        (heartbeat.agent_epoch == machine.agent_epoch && heartbeat.counter <= machine.heartbeat_counter)) {
        ++counters_.stale_heartbeats;
        log_stale_heartbeats();
        return refuse();
    }
    // One that an answer to orders has overtaken was sent before that.
    const bool overtaken = heartbeat.agent_epoch == machine.agent_epoch && heartbeat.counter <= machine.counter;
    std::vector<Order> orders;
    apply_heartbeat(machine, heartbeat, orders);
    update_inbound_reachability(machine, heartbeat);
    machine.heartbeat_counter = heartbeat.counter;
    machine.lease_started_at = std::max(machine.lease_started_at, overtaken ? machine.last_heartbeat_at : data_.now);
    machine.last_answered_at = data_.now;
    if (machine.fencing_token > machine.acknowledged_token) {
        machine.acknowledged_token = machine.fencing_token;
        machine.token_acknowledged_at = data_.now;
    }
    if (!machine.proven)
        want_heartbeat(machine); // an answer to empty orders proves that it is there
    auto stops = standing_orders(machine);
    orders.insert(orders.end(), stops.begin(), stops.end());
    effects_.push_back(AnswerHeartbeat{command.handle, 200, machine.fencing_token, std::move(orders)});
}

void ClusterState::dispatch(Machine& machine) {
    SendOrders effect;
    for (auto& entry : machine.entries) {
        if (effect.orders.size() >= max_orders) {
            want_orders(machine);
            break;
        }
        if (entry->stop && entry->phase >= Phase::sent && entry->stop_at < 0) {
            entry->stop_at = data_.now;
            effect.orders.push_back({Verb::stop, entry->job->spec.id, entry->index, entry->attempt, entry->drain_s});
        }
    }
    for (std::size_t i = machine.entries.size(); i-- > 0;) {
        auto& entry = *machine.entries[i];
        if (entry.phase != Phase::stored)
            continue;
        // Never sent, so it is surely not there.
        if (entry.stop || entry.agent_epoch != machine.agent_epoch || machine.status != Status::up ||
            machine.addr.empty() || entry.job->final != Final::none) {
            remove_entry(entry);
            continue;
        }
        if (effect.orders.size() >= max_orders) {
            want_orders(machine);
            continue;
        }
        // Each launch is sent once: repeated after a reap it would start the task again.
        entry.phase = Phase::sent;
        entry.fencing_token = machine.fencing_token;
        ++counters_.launched;
        effect.orders.push_back({Verb::launch, entry.job->spec.id, entry.index, entry.attempt, 0});
    }
    if (effect.orders.empty())
        return;
    effect.machine = machine.id;
    effect.addr = machine.addr;
    effect.batch = machine.batch = ++batch_seq_;
    effect.fencing_token = machine.fencing_token;
    effect.agent_epoch = machine.agent_epoch;
    effect.prefer_relay = data_.now < machine.relay_orders_until;
    effects_.push_back(std::move(effect));
}

void ClusterState::answered(const OrdersAnswered& command) {
    auto* machine = find_machine(command.machine);
    if (machine == nullptr || machine->batch != command.batch)
        return;
    machine->batch = 0;
    if (command.heartbeat && outdated(*command.heartbeat))
        return;
    // The other way next time: this one may be cut though reports come.
    if (command.status == 0)
        machine->relay_orders_until = data_.now < machine->relay_orders_until ? -1 : data_.now + data_.settings.lease_s;
    std::vector<Order> reaps;
    if (machine->asked) {
        machine->asked = false;
        --asking_;
        if (command.heartbeat)
            apply_heartbeat(*machine, *command.heartbeat, reaps);
        want_orders(*machine);
        return;
    }
    want_orders(*machine);
    const auto fencing_token = machine->fencing_token;
    auto outstanding = [&](const PropagateConst<std::unique_ptr<Entry>>& entry) {
        return entry->phase == Phase::sent && !entry->seen && entry->fencing_token == fencing_token;
    };
    if (command.status == 200 && command.heartbeat && command.heartbeat->agent_epoch == machine->agent_epoch) {
        // The body is the heartbeat after the commands: what it does not list did not start.
        for (auto& entry : machine->entries)
            if (outstanding(entry) && command.heartbeat->counter > machine->counter)
                mark_seen(*entry);
        apply_heartbeat(*machine, *command.heartbeat, reaps);
        // A newer heartbeat overtook this answer without settling a launch: raise the fencing token.
        if (std::any_of(machine->entries.begin(), machine->entries.end(), outstanding))
            ++machine->fencing_token;
        return;
    }
    if (command.status == 409 || !command.sent) {
        for (std::size_t i = machine->entries.size(); i-- > 0;)
            if (outstanding(machine->entries[i]))
                remove_entry(*machine->entries[i]);
        for (auto& entry : machine->entries)
            entry->stop_at = entry->stop ? data_.now : entry->stop_at; // beats repeat the stops
        if (!command.sent)
            machine->avoid_until = std::max(machine->avoid_until, data_.now + data_.settings.report_s / 2);
        if (command.heartbeat)
            apply_heartbeat(*machine, *command.heartbeat, reaps);
        return;
    }
    // The outcome is open: the commands may still be executed, minutes later. Raising the fencing token
    // and seeing the raised value in a heartbeat proves that they no longer can be.
    ++machine->fencing_token;
    machine->avoid_until = std::max(machine->avoid_until, data_.now + data_.settings.report_s / 2);
    log(LogLine::Level::debug,
        fmt::format("no answer of {} to commands, fence raised to {}", machine->id, machine->fencing_token));
}

void ClusterState::expire_leases() {
    const double lease = lease_expiry_s();
    std::vector<std::string> remove;
    for (auto& [id, machine] : data_.machines) {
        auto& m = *machine;
        if (m.status == Status::up && data_.now > m.lease_started_at + lease) {
            if (!m.entries.empty())
                log(LogLine::Level::warning,
                    fmt::format("lease of {} has lapsed, {} tasks lost", id, m.entries.size()));
            for (const auto& entry : m.entries)
                counters_.lost += entry->phase >= Phase::sent;
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

void ClusterState::rented(const Rented& command) {
    const auto it = data_.rentals.find(command.claim);
    if (it == data_.rentals.end())
        return;
    auto& rental = it->second;
    rental.in_flight = false;
    if (command.outcome == RentOutcome::rented) {
        for (const auto& id : command.machines) {
            auto& machine = learn_machine(id, "", rental.type, rental.zone, rental.spot);
            machine.known_since = rental.asked;
        }
        log(LogLine::Level::info, fmt::format("rented {} of {} {} in {}{}", command.machines.size(), rental.count,
                                              rental.type, rental.zone, rental.spot ? " (spot)" : ""));
        if (static_cast<int>(command.machines.size()) < rental.count)
            data_.no_capacity[fmt::format("{}/{}/{}", rental.type, rental.zone, rental.spot)] =
                data_.now + 2 * data_.settings.report_s;
        data_.rentals.erase(it);
    } else if (command.outcome == RentOutcome::no_capacity) {
        data_.no_capacity[fmt::format("{}/{}/{}", rental.type, rental.zone, rental.spot)] =
            data_.now + 2 * data_.settings.report_s;
        data_.rentals.erase(it);
    } else if (command.outcome == RentOutcome::failed) {
        data_.rentals.erase(it); // surely not executed
    } else {
        // The answer was lost: the same claim again, so that nothing is rented twice.
        rental.in_flight = true;
        effects_.push_back(Rent{command.claim, rental.type, rental.zone, rental.spot, rental.count});
    }
}

void ClusterState::released(const Released& command) {
    releases_under_way_ -= std::min(releases_under_way_, command.machines.size());
    for (const auto& id : command.machines) {
        auto* machine = find_machine(id);
        if (machine == nullptr)
            continue;
        machine->release_asked = false;
        if (!command.ok) {
            machine->release_retry = data_.now + data_.settings.report_s;
            continue;
        }
        // By the time of the answer the machine and everything on it are gone.
        lose_entries(*machine);
        if (!machine->entries.empty())
            continue; // asked again once the store has answered
        forget_machine(id, true);
    }
    needs_scheduling_ = true;
}

void ClusterState::listed(const MachinesListed& command) {
    for (const auto& listed_machine : command.machines) {
        // The list lags: what was released may still be in it for a while.
        if (departed_.released(listed_machine.id))
            continue;
        auto& machine = learn_machine(listed_machine.id, listed_machine.addr, listed_machine.type, listed_machine.zone,
                                      listed_machine.spot);
        machine.listed_at = data_.now;
        // Known from records or a heartbeat first, as after a failover, it is older than that: from a day on
        // which no machine was emptied for a minute after each change of leadership, 300 too many kept.
        machine.known_since = std::min(machine.known_since, data_.now - listed_machine.age_s);
        if (listed_machine.status == "failed" && !machine.releasing) {
            log(LogLine::Level::info, fmt::format("machine {} has failed", machine.id));
            lose_entries(machine);
            machine.status = Status::lost;
            machine.bad = true;
        }
        if (!data_.asked_all && listed_machine.status == "running")
            want_heartbeat(machine);
    }
    data_.asked_all = true;
    needs_scheduling_ = true;
}

void ClusterState::types_known(std::vector<MachineType>&& types) {
    data_.types = std::move(types);
    for (auto& [id, machine] : data_.machines)
        bind_type(*machine);
    needs_scheduling_ = true;
}

void ClusterState::send_due_orders() {
    const auto due = std::move(to_dispatch_);
    to_dispatch_.clear();
    for (auto* machine : due) {
        machine->wants_orders = false;
        if (machine->batch == 0)
            dispatch(*machine); // else once the answer is in
    }
    ask_machines();
}

void ClusterState::record_spot_loss() {
    auto& l = data_.learned;
    l.spot_losses = l.spot_losses * std::exp(-(data_.now - l.spot_losses_at) / data_.average_s()) + 1;
    l.spot_losses_at = data_.now;
}

} // namespace heronshift::cluster
