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
const Machine* Rebalancer::place_to_move(const Entry& e, const std::vector<const Machine*>& to,
                                         Planned& planned) const {
    for (auto* m : to) {
        if (m == e.machine || !usable(cluster_, *m, *e.job) || !m->has_image(e.job->image))
            continue;
        auto& taken = planned[m];
        if (!(e.job->spec.each + taken).fits(m->whole - m->used))
            continue;
        taken += e.job->spec.each;
        return m;
    }
    return nullptr;
}

void Rebalancer::move_away(const Entry& e) {
    proposals_.move_away(e, e.job->spec.checkpoint_s > 0 ? e.job->spec.save_s + 1 : 0);
}

// Only service tasks, or tasks of no gang that are under a minute old, are moved; and none before
// its start counts for its user.
bool Rebalancer::movable(const Entry& e) const {
    return !e.stop && e.phase == Phase::running && cluster_.now - e.running_at > start_counts_s &&
           e.job->final == Final::none &&
           (e.job->spec.shape == Shape::service ||
            (e.job->spec.shape == Shape::array && cluster_.now - e.placed_at < 60));
}

// Pull-back from overflow to the pool, then reordering, both capped.
void Rebalancer::rebalance() {
    if (cluster_.types.empty())
        return;
    // Room for urgent work that waits comes first.
    double replicas = 0;
    for (const auto& [id, j] : cluster_.jobs) {
        if (j->final != Final::none)
            continue;
        if (!j->pending.empty() && j->priority <= Priority::high)
            return;
        if (j->spec.shape == Shape::service)
            replicas += j->live;
    }
    const int more = static_cast<int>(replicas * moved_share);
    Resources pool;
    std::vector<const Machine*> pool_machines, others, leaving;
    for (const auto& [id, m] : cluster_.machines) {
        if (!serves(cluster_, *m))
            continue;
        if (m->retiring)
            leaving.push_back(m.get());
        else if (m->pool)
            pool_machines.push_back(m.get());
        else if (m->whole.gpus <= 0 && !m->spot)
            others.push_back(m.get());
        if (m->pool)
            pool += m->whole;
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
    const placement::Payoff f{settings_.ops.alpha, settings_.ops.beta, settings_.ops.gamma};
    std::vector<std::pair<double, const Entry*>> list;
    for (const auto& [id, m] : cluster_.machines) {
        if (m->status != Status::up || m->pool)
            continue;
        for (const auto& e : m->entries) {
            if (!movable(*e) || e->job->spec.shape != Shape::service)
                continue;
            const double gain =
                placement::pool_gain(f, e->job->on_pool, e->job->spec.tasks, settings_.ops.target_share);
            // From a machine that is to become empty first: it costs until it is.
            list.emplace_back(gain / placement::task_size(e->job->spec.each, pool) * (m->retiring ? 2 : 1), e.get());
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
                     [](const Machine* a, const Machine* b) { return a->used.cpus < b->used.cpus; });
    for (auto* m : leaving)
        for (const auto& e : m->entries) {
            if (cap <= 0)
                return;
            if (!movable(*e) || e->job->spec.shape != Shape::service || place_to_move(*e, to, planned) == nullptr)
                continue;
            move_away(*e);
            --cap;
        }
    auto frag = [&](const Machine& m, const Resources& extra) {
        return placement::fragmentation(m.whole - m.used + extra, m.whole, cluster_.common_shape);
    };
    std::sort(pool_machines.begin(), pool_machines.end(),
              [&](const Machine* a, const Machine* b) { return frag(*a, {}) > frag(*b, {}); });
    int looked = 0;
    for (std::size_t k = 0; k < pool_machines.size() && k < 3; ++k) {
        auto& from = *pool_machines[k];
        for (const auto& e : from.entries) {
            if (cap <= 0 || looked >= 30)
                return;
            if (!movable(*e))
                continue;
            ++looked;
            for (auto* other : pool_machines) {
                const auto& each = e->job->spec.each;
                if (other == &from || !usable(cluster_, *other, *e->job) || !each.fits(other->whole - other->used) ||
                    !other->has_image(e->job->image))
                    continue;
                const double before = frag(from, {}) + frag(*other, {});
                const double after = frag(from, each) + frag(*other, each * -1);
                if (before - after < 2 * each.cpus / from.whole.cpus)
                    continue; // a clear fall only
                move_away(*e);
                --cap;
                break;
            }
        }
    }
}

} // namespace heronshift::scheduling
