#include "heronshift/scheduling/placement_cost.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace heronshift::scheduling {
namespace {

constexpr double tight_loss_s = 100; // what the loss of a task weighs if its job would be late by it
constexpr double patience_of_aim = 0.5, patience_of_slack = 0.25;
constexpr double aged_begins = 2; // times in which a job should begin: who still waits then goes by age
constexpr double late_start = 15; // cost of a place where the start is too late for the aim of its class

} // namespace

bool usable(const ClusterData& v, const Machine& m, const Job& j, bool also_retiring) {
    const auto& s = v.settings;
    if (m.status != Status::up || m.draining || m.bad || m.releasing || (m.retiring && !also_retiring) || m.type < 0 ||
        m.zone < 0 || !m.proven || m.inbound_unreachable())
        return false;
    if (v.now < m.avoid_until || v.now > m.last_heartbeat_at + 1.5 * s.report_s)
        return false;
    if (v.now < m.slow_until && j.spec.shape != Shape::service)
        return false; // replicas have no speed
    if (m.reserved_for != nullptr && m.reserved_for != &j && v.now < m.reserved_until &&
        j.priority >= m.reserved_priority)
        return false;
    const auto& spec = j.spec;
    // On the pool, room for the next replica stays free: making it would cost that replica's aim.
    if (m.pool && spec.shape != Shape::service && !(spec.each + v.service_shape * 2).fits(m.whole - m.used))
        return false;
    return v.allowed_there(j, m);
}

// What a loss costs: a lease until it is known, and the run once more. A job that would be late by that keeps off
// spot machines on days when many are taken; so does one that others wait for, since each of its tasks may hold
// them all up.
double PlacementCost::spot_risk() const {
    if (spot_risk_ >= 0)
        return spot_risk_;
    const auto& s = cluster_.settings;
    const double run = std::max(1.0, j_.spec.estimate_s) * cluster_.learned.bias();
    const double due = cluster_.due_at(j_);
    const bool tight = j_.latest >= 0 || (due >= 0 && due - cluster_.now < 2 * run + s.lease_s);
    spot_risk_ = spot_loss_rate(cluster_) * run * (tight ? tight_loss_s : s.lease_s);
    return spot_risk_;
}

double PlacementCost::operator()(const Machine& m) const {
    const auto& v = cluster_;
    const auto& j = j_;
    const auto& t = v.types[static_cast<std::size_t>(m.type)];
    double cost = 0;
    bool coming = false, ready = false;
    double others = 0; // being fetched at the same time, which share the rate
    for (const auto& c : m.images) {
        const double gb = v.image_gb[static_cast<std::size_t>(c.image)];
        const bool under_way = !c.ready && v.now - c.used < 2 * gb / t.fetch_gb_per_s;
        if (c.image == j.image) {
            ready = c.ready;
            coming = under_way;
        } else if (under_way) {
            others += gb / t.fetch_gb_per_s;
        }
    }
    if (!ready) {
        const double fetch = j.spec.image_gb / t.fetch_gb_per_s * (coming ? 0.5 : 1);
        cost += fetch + others;
        if (j.start_within_s >= 0 && fetch > j.start_within_s)
            cost += late_start;
    }
    if (j.spec.spot && !m.spot)
        cost += 2;
    if (m.spot)
        cost += spot_risk();
    const bool lasting = j.spec.shape == Shape::service;
    if (lasting != m.pool)
        cost += lasting ? 15 : 4;
    if (j.spec.each.gpus <= 0 && t.room.gpus > 0)
        cost += 20; // accelerators are for those who need them
    // Full machines first, so that others become empty and can be returned; but replicas evenly over
    // the pool, which stays: the loss of a machine or a zone then takes fewer of them, and what
    // remains has room for them and their images.
    if (lasting && m.pool)
        cost += 2 * m.firm.cpus / std::max(1.0, m.whole.cpus);
    else
        cost += 2 * (m.whole.cpus - m.used.cpus) / std::max(1.0, m.whole.cpus);
    return cost;
}

double patience_s(const ClusterData& v, const Job& j) {
    double s = 1e18;
    for (const auto& o : v.settings.objectives)
        if (o.kind == "wait" && o.job_class == j.spec.job_class)
            s = std::min(s, o.within_s * patience_of_aim);
    const double due = v.due_at(j);
    if (due >= 0)
        s = std::min(s, (due - j.ready - std::max(1.0, j.spec.estimate_s) * v.learned.bias()) * patience_of_slack);
    return s < 1e18 ? std::max(s, 0.0) : v.settings.report_s;
}

std::vector<const Job*> waiting_jobs(const ClusterData& v, Resources& shape) {
    // Among equals the job with the least work left goes first, since that brings the most jobs home in time.
    // Large ones begin in time all the same (Placement::begin_waiting), and whoever has waited twice as long as
    // that goes first, the oldest before all.
    struct Waiting {
        const Job* job;
        double key;
    };
    std::vector<Waiting> list;
    double most = 0;
    for (const auto& [id, j] : v.jobs) {
        if (j->final != Final::none || j->pending.empty() || v.now < j->not_before)
            continue;
        const double waited = v.now - j->ready;
        const bool aged = waited > aged_begins * v.settings.ops.begin_s;
        list.push_back({j.get(), aged ? -waited : v.work_left(*j)});
        const double weight = static_cast<double>(j->pending.size());
        if (weight > most) {
            most = weight;
            shape = j->spec.each;
        }
    }
    std::sort(list.begin(), list.end(), [](const Waiting& x, const Waiting& y) {
        const auto &a = *x.job, &b = *y.job;
        // What may take the place of others goes first, or it would stop them and lose the room.
        if (a.priority != b.priority)
            return a.priority < b.priority;
        if (a.guaranteed != b.guaranteed)
            return a.guaranteed;
        if (x.key != y.key)
            return x.key < y.key;
        if (a.ready != b.ready)
            return a.ready < b.ready;
        return a.spec.id < b.spec.id;
    });
    std::vector<const Job*> out;
    out.reserve(list.size());
    for (const auto& w : list)
        out.push_back(w.job);
    return out;
}

bool serves(const ClusterData& v, const Machine& m) {
    return m.status == Status::up && !m.draining && !m.bad && !m.releasing && m.type >= 0 && !m.inbound_unreachable() &&
           v.now <= m.last_heartbeat_at + 2 * v.settings.report_s;
}

double spot_loss_rate(const ClusterData& v) {
    if (v.spot_machines == 0)
        return 0;
    const double over = v.average_s();
    return v.learned.spot_losses * std::exp(-(v.now - v.learned.spot_losses_at) / over) / over /
           static_cast<double>(v.spot_machines);
}

} // namespace heronshift::scheduling
