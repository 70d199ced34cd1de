// Rounds, see rounds.hpp.
#include "heronshift/scheduling/rebalancer.hpp"
#include "heronshift/scheduling/batch_assignment.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace heronshift::scheduling {
namespace {

// Beyond the paper's caps, which are for a cluster of a dozen machines: of all replicas, a round.
constexpr double moved_share = 0.004;
constexpr double start_counts_s = 31; // stopped by command sooner, a task does not count as started

} // namespace

// A place for one task that moves: room beyond what this round has planned there, and the image at
// hand, so that the task is not away for long.
const Machine* Rebalancer::place_to_move(const Entry& entry, const std::vector<const Machine*>& to,
                                         Planned& planned) const {
    for (auto* machine : to) {
        if (machine == entry.machine || !usable(cluster_, *machine, *entry.job) ||
            !machine->has_image(entry.job->image))
            continue;
        auto& taken = planned[machine];
        if (!(entry.job->spec.each + taken).fits(machine->whole - machine->used))
            continue;
        taken += entry.job->spec.each;
        return machine;
    }
    return nullptr;
}

void Rebalancer::move_away(const Entry& entry) {
    proposals_.move_away(entry, entry.job->spec.checkpoint_s > 0 ? entry.job->spec.save_s + 1 : 0);
}

// Only service tasks, or tasks of no gang that are under a minute old, are moved; and none before
// its start counts for its user.
bool Rebalancer::movable(const Entry& entry) const {
    return !entry.stop && entry.phase == Phase::running && cluster_.now - entry.running_at > start_counts_s &&
           entry.job->final == Final::none &&
           (entry.job->spec.shape == Shape::service ||
            (entry.job->spec.shape == Shape::array && cluster_.now - entry.placed_at < 60));
}

// Pull-back from overflow to the pool, then reordering, both capped.
void Rebalancer::rebalance() {
    if (cluster_.types.empty())
        return;
    // Room for urgent work that waits comes first.
    double replicas = 0;
    for (const auto& [id, job] : cluster_.jobs) {
        if (job->final != Final::none)
            continue;
        if (!job->pending.empty() && job->priority <= Priority::high)
            return;
        if (job->spec.shape == Shape::service)
            replicas += job->live;
    }
    const int more = static_cast<int>(replicas * moved_share);
    Resources pool;
    std::vector<const Machine*> pool_machines, others, leaving;
    for (const auto& [id, machine] : cluster_.machines) {
        if (!serves(cluster_, *machine))
            continue;
        if (machine->retiring)
            leaving.push_back(machine.get());
        else if (machine->pool)
            pool_machines.push_back(machine.get());
        else if (machine->whole.gpus <= 0 && !machine->spot)
            others.push_back(machine.get());
        if (machine->pool)
            pool += machine->whole;
    }
    const auto fullest = [](const Machine* a, const Machine* b) { return a->used.cpus > b->used.cpus; };
    std::stable_sort(pool_machines.begin(), pool_machines.end(), fullest);
    std::stable_sort(others.begin(), others.end(), fullest);
    Planned planned;
    if (settings_.ops.pull_back_cap > 0)
        pull_back(pool_machines, pool, settings_.ops.pull_back_cap + more, planned);
    if (settings_.ops.reorder_cap > 0) {
        auto to = pool_machines;
        to.insert(to.end(), others.begin(), others.end());
        reorder(pool_machines, leaving, to, settings_.ops.reorder_cap + more, planned);
    }
}

void Rebalancer::pull_back(const std::vector<const Machine*>& pool_machines, const Resources& pool, int cap,
                           Planned& planned) {
    const placement::Payoff payoff{settings_.ops.alpha, settings_.ops.beta, settings_.ops.gamma};
    std::vector<std::pair<double, const Entry*>> list;
    for (const auto& [id, machine] : cluster_.machines) {
        if (machine->status != Status::up || machine->pool)
            continue;
        for (const auto& entry : machine->entries) {
            if (!movable(*entry) || entry->job->spec.shape != Shape::service)
                continue;
            const double gain =
                placement::pool_gain(payoff, entry->job->on_pool, entry->job->spec.tasks, settings_.ops.target_share);
            // From a machine that is to become empty first: it costs until it is.
            list.emplace_back(gain / placement::task_size(entry->job->spec.each, pool) * (machine->retiring ? 2 : 1),
                              entry.get());
        }
    }
    std::stable_sort(list.begin(), list.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    for (const auto& [score, e] : list) {
        if (cap <= 0)
            return;
        if (place_to_move(*e, pool_machines, planned) == nullptr)
            continue;
        move_away(*e);
        --cap;
    }
}

// The machines that are to become empty are the most fragmented of all: what they cost is wasted
// until their last replica is gone. Then the paper's: the three most fragmented machines of the
// pool, at most 30 tasks looked at.
void Rebalancer::reorder(std::vector<const Machine*>& pool_machines, std::vector<const Machine*>& leaving,
                         const std::vector<const Machine*>& to, int cap, Planned& planned) {
    std::stable_sort(leaving.begin(), leaving.end(),
                     [](const Machine* machine, const Machine* b) { return machine->used.cpus < b->used.cpus; });
    for (auto* m : leaving)
        for (const auto& entry : m->entries) {
            if (cap <= 0)
                return;
            if (!movable(*entry) || entry->job->spec.shape != Shape::service ||
                place_to_move(*entry, to, planned) == nullptr)
                continue;
            move_away(*entry);
            --cap;
        }
    auto frag = [&](const Machine& m, const Resources& extra) {
        return placement::fragmentation(m.whole - m.used + extra, m.whole, cluster_.common_shape);
    };
    std::sort(pool_machines.begin(), pool_machines.end(),
              [&](const Machine* machine, const Machine* b) { return frag(*machine, {}) > frag(*b, {}); });
    int looked = 0;
    for (std::size_t k = 0; k < pool_machines.size() && k < 3; ++k) {
        auto& from = *pool_machines[k];
        for (const auto& entry : from.entries) {
            if (cap <= 0 || looked >= 30)
                return;
            if (!movable(*entry))
                continue;
            ++looked;
            for (auto* other : pool_machines) {
                const auto& each = entry->job->spec.each;
                if (other == &from || !usable(cluster_, *other, *entry->job) ||
                    !each.fits(other->whole - other->used) || !other->has_image(entry->job->image))
                    continue;
                const double before = frag(from, {}) + frag(*other, {});
                const double after = frag(from, each) + frag(*other, each * -1);
                if (before - after < 2 * each.cpus / from.whole.cpus)
                    continue; // a clear fall only
                move_away(*entry);
                --cap;
                break;
            }
        }
    }
}

} // namespace heronshift::scheduling
