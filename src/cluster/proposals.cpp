// What policies propose, checked and entered.
#include "heronshift/cluster/cluster_state.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace heronshift::cluster {

// Every placement comes through here; a rule that it would break stops it, whoever planned it.
bool ClusterState::place(const Job& job, const Machine& machine) {
    auto& j = own(job);
    auto& m = own(machine);
    if (const auto* why = data_.refusal(j, m); why != nullptr) {
        log(2, fmt::format("no task of job {} on {}: {}", j.spec.id, m.id, why));
        return false;
    }
    while (!j.pending.empty()) {
        const auto i = j.pending.front();
        j.pending.pop_front();
        j.tasks[i].queued = false;
        if (j.tasks[i].done || j.tasks[i].live > 0)
            continue;
        // A task is placed once a pass at most, so the pass makes the attempt unique.
        const auto attempt = (data_.term << attempt_counter_bits) + pass_counter_;
        if (j.spec.shape == Shape::gang)
            j.gang_attempt = attempt;
        add_entry(m, j, i, attempt);
        // What was made room for is there: others may have the rest.
        if (m.reserved_for == &j && --m.reserved_tasks <= 0)
            m.reserved_for = nullptr;
        return true;
    }
    return false;
}

void ClusterState::drop_settled(const Job& job, bool all) {
    auto& j = own(job);
    const auto settled = [&](std::uint32_t i) {
        const bool over = j.tasks[i].done || j.tasks[i].live > 0;
        if (over)
            j.tasks[i].queued = false;
        return over;
    };
    if (all) {
        std::erase_if(j.pending, settled);
        return;
    }
    while (!j.pending.empty() && settled(j.pending.front()))
        j.pending.pop_front();
}

void ClusterState::stop(const Entry& e, double drain_s) {
    stop_entry(own(e), drain_s);
}

void ClusterState::preempt(const Entry& e) {
    stop_entry(own(e), 0);
    ++counters_.preempted;
}

void ClusterState::move_away(const Entry& e, double drain_s) {
    stop_entry(own(e), drain_s);
    own(e).moving = true;
    ++counters_.moved;
}

void ClusterState::gang_whole(const Job& j) {
    own(j).gang_breaking = false;
}

void ClusterState::reserve(const Machine& machine, const Job& j, int tasks, double until, Priority against) {
    auto& m = own(machine);
    m.reserved_for = &j;
    m.reserved_priority = against;
    m.reserved_until = until;
    m.reserved_tasks = tasks;
}

void ClusterState::room_asked(const Job& j, double until) {
    own(j).room_until = until;
}

void ClusterState::good_room(const Job& j, bool being_made) {
    own(j).good_room = being_made;
}

void ClusterState::set_pool(const std::vector<const Machine*>& pool, const Resources& service_shape) {
    data_.service_shape = service_shape;
    for (auto& [id, m] : data_.machines)
        m->pool = false;
    for (const auto* m : pool)
        own(*m).pool = true;
}

void ClusterState::set_common_shape(const Resources& r) {
    data_.common_shape = r;
}

// A job is within its team's guarantee if it fits into that with the team's earlier ones.
void ClusterState::mark_guarantees() {
    for (auto& t : data_.teams) {
        double cpus = 0, gpus = 0;
        for (auto& j : t.jobs) {
            if (j->final != Final::none)
                continue;
            cpus += j->spec.each.cpus * j->spec.tasks;
            gpus += j->spec.each.gpus * j->spec.tasks;
            // What is guaranteed nothing of what a job uses is no guarantee for it.
            const bool some = t.limits.cpus > 0 || (t.limits.gpus > 0 && j->spec.each.gpus > 0);
            j->guaranteed = some && (t.limits.cpus <= 0 || cpus <= t.limits.cpus + 1e-6) &&
                            (t.limits.gpus <= 0 || gpus <= t.limits.gpus + 1e-6);
        }
    }
}

void ClusterState::blame(const Entry& e) {
    auto& blamed = own(e).job->tasks[e.index].blamed;
    if (blamed < 4)
        ++blamed;
}

void ClusterState::slow(const Machine& m, double until) {
    own(m).slow_until = until;
    ++own(m).slow_seen;
}

void ClusterState::retire(const Machine& m, bool leave) {
    own(m).retiring = leave;
    if (!leave)
        needs_scheduling_ = true;
}

void ClusterState::rent(const Pending& p) {
    // The term makes the name unique among all leaders there ever were.
    const auto claim = fmt::format("r-{}-{}", data_.term, ++claim_seq_);
    data_.rentals[claim] = p;
    effects_.emplace_back(Rent{claim, p.type, p.zone, p.spot, p.count});
}

void ClusterState::ask(const Machine& m) {
    own(m).asked_at = data_.now;
    to_ask_.push_back(m.id);
}

void ClusterState::presume_dead(const Machine& m) {
    own(m).presumed_dead = true;
}

void ClusterState::give_back(const Machine& machine) {
    auto& m = own(machine);
    m.releasing = m.release_asked = true;
    if (!m.presumed_dead)
        return;
    record_spot_loss();
    log(1, fmt::format("spot machine {} is silent, {} tasks start elsewhere once it is surely gone", m.id,
                       m.entries.size()));
}

// A machine that is given back must stay known as gone for as long as late messages may name it. Without room for
// that it stays rented, takes no work, and is asked for again.
void ClusterState::release(std::vector<std::string> machines) {
    const auto room = departed_.room_for(releases_under_way_ + machines.size(), data_.now);
    const auto may_go = std::min(machines.size(), room - std::min(room, releases_under_way_));
    for (auto i = may_go; i < machines.size(); ++i)
        if (auto* m = find_machine(machines[i]); m != nullptr) {
            m->release_asked = false;
            m->release_retry = data_.now + data_.settings.report_s;
        }
    if (may_go < machines.size())
        log(2, fmt::format("{} machines stay rented for now: {} departed lately", machines.size() - may_go,
                           departed_.size()));
    machines.resize(may_go);
    if (machines.empty())
        return;
    releases_under_way_ += machines.size();
    effects_.emplace_back(Release{std::move(machines)});
}

} // namespace heronshift::cluster
