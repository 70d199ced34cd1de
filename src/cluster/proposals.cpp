// Checks the proposals of policies and applies them.
#include "cluster/cluster_state.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace heronshift::cluster {
namespace {

// Limit of `Task::slow_detections`, the number of times that a machine was considered slow because of one task.
constexpr std::uint8_t max_slow_detections = 4;

} // namespace

// Every placement by a policy is made here and rejected if it would violate a rule.
bool ClusterState::place(const Job& job, const Machine& machine) {
    auto& j = mutable_ref(job);
    auto& m = mutable_ref(machine);
    if (const auto* reason = data_.refusal(j, m); reason != nullptr) {
        log(LogLine::Level::warning, fmt::format("no task of job {} on {}: {}", j.spec.id, m.id, reason));
        return false;
    }
    while (!j.pending.empty()) {
        const auto i = j.pending.front();
        j.pending.pop_front();
        j.tasks[i].queued = false;
        if (j.tasks[i].done || j.tasks[i].live > 0)
            continue;
        // A task is placed at most once per pass, so the pass number makes the attempt unique.
        const auto attempt = (data_.term << attempt_counter_bits) + pass_counter_;
        if (j.spec.shape == Shape::gang)
            j.gang_attempt = attempt;
        add_entry(m, j, i, attempt);
        // Once all tasks with reserved resources are placed, the reservation ends.
        if (m.reserved_for == &j && --m.reserved_tasks <= 0)
            m.reserved_for = nullptr;
        return true;
    }
    return false;
}

void ClusterState::prune_pending(const Job& job, bool all) {
    auto& j = mutable_ref(job);
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

void ClusterState::stop(const Entry& entry, double drain_s) {
    stop_entry(mutable_ref(entry), drain_s);
}

void ClusterState::preempt(const Entry& entry) {
    stop_entry(mutable_ref(entry), 0);
    ++counters_.preempted;
}

void ClusterState::move_away(const Entry& entry, double drain_s) {
    stop_entry(mutable_ref(entry), drain_s);
    mutable_ref(entry).moving = true;
    ++counters_.moved;
}

void ClusterState::gang_restarted(const Job& job) {
    mutable_ref(job).gang_breaking = false;
}

void ClusterState::reserve(const Machine& machine, const Job& job, int tasks, double until, Priority against) {
    auto& m = mutable_ref(machine);
    m.reserved_for = &job;
    m.reserved_priority = against;
    m.reserved_until = until;
    m.reserved_tasks = tasks;
}

void ClusterState::wait_for_resources(const Job& job, double until) {
    mutable_ref(job).resource_wait_until = until;
}

void ClusterState::freeing_preferred_machines(const Job& job, bool being_made) {
    mutable_ref(job).freeing_preferred_machines = being_made;
}

void ClusterState::set_pool(const std::vector<const Machine*>& pool, const Resources& service_shape) {
    data_.service_shape = service_shape;
    for (auto& [id, machine] : data_.machines)
        machine->pool = false;
    for (const auto* machine : pool)
        mutable_ref(*machine).pool = true;
}

void ClusterState::set_common_shape(const Resources& resources) {
    data_.common_shape = resources;
}

void ClusterState::mark_guarantees() {
    for (auto& team : data_.teams)
        team.mark_guarantees();
}

void ClusterState::count_slow_detection(const Entry& entry) {
    auto& slow_detections = mutable_ref(entry).job->tasks[entry.index].slow_detections;
    if (slow_detections < max_slow_detections)
        ++slow_detections;
}

void ClusterState::slow(const Machine& machine, double until) {
    mutable_ref(machine).slow_until = until;
    ++mutable_ref(machine).slow_count;
}

void ClusterState::set_retiring(const Machine& machine, bool should_retire) {
    mutable_ref(machine).retiring = should_retire;
    if (!should_retire)
        needs_scheduling_ = true;
}

void ClusterState::rent(const PendingRental& rental) {
    // The term makes the claim unique among the claims of all leaders, past and future.
    const auto claim = fmt::format("r-{}-{}", data_.term, ++claim_seq_);
    data_.rentals[claim] = rental;
    effects_.emplace_back(Rent{claim, rental.type, rental.zone, rental.spot, rental.count});
}

void ClusterState::request_heartbeat(const Machine& machine) {
    mutable_ref(machine).heartbeat_requested_at = data_.now;
    heartbeat_requests_.add_unconditionally(machine);
}

void ClusterState::presume_dead(const Machine& machine) {
    mutable_ref(machine).presumed_dead = true;
}

void ClusterState::begin_release(const Machine& machine) {
    auto& m = mutable_ref(machine);
    m.releasing = m.release_requested = true;
    if (!m.presumed_dead)
        return;
    record_spot_loss();
    log(LogLine::Level::info, fmt::format("spot machine {} is silent, {} tasks start elsewhere once it is surely gone",
                                          m.id, m.entries.size()));
}

// A released machine must remain known as gone for as long as late messages may refer to it. While `departed_` has no
// capacity for its record, the machine stays rented without taking tasks, and its release is requested again later.
void ClusterState::release(std::vector<std::string> machines) {
    const auto room = departed_.make_room_for(releases_in_flight_ + machines.size(), data_.now);
    const auto may_go = std::min(machines.size(), room - std::min(room, releases_in_flight_));
    for (auto i = may_go; i < machines.size(); ++i)
        if (auto* machine = find_machine(machines[i]); machine != nullptr) {
            machine->release_requested = false;
            machine->release_retry_at = data_.now + data_.settings.report_s;
        }
    if (may_go < machines.size())
        log(LogLine::Level::warning, fmt::format("{} machines stay rented for now: {} departed lately",
                                                 machines.size() - may_go, departed_.size()));
    machines.resize(may_go);
    if (machines.empty())
        return;
    releases_in_flight_ += machines.size();
    effects_.emplace_back(Release{std::move(machines)});
}

} // namespace heronshift::cluster
