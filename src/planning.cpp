// Placement, rounds and capacity: what the holder decides on its snapshot of the cluster.
#include "heronshift/core.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace heronshift {
namespace {

std::uint32_t half_up(std::uint32_t n) {
    return (n + 1) / 2;
}

template <class V> bool allows(const std::vector<std::string>& list, const V& name) {
    return list.empty() || std::find(list.begin(), list.end(), name) != list.end();
}

} // namespace

// The paper's edge: what stays. Here, the ordinary machines that have been up longest, in all zones
// alike, as many as the services need with some to spare; all others are overflow, which is to
// become empty and go back.
void Core::choose_pool() {
    Resources need, largest;
    for (const auto& [id, j] : jobs_)
        if (j->spec.shape == Shape::service && j->final == Final::none) {
            need += j->spec.each * j->spec.tasks;
            largest.cpus = std::max(largest.cpus, j->spec.each.cpus);
            largest.memory_gb = std::max(largest.memory_gb, j->spec.each.memory_gb);
        }
    service_shape_ = largest;
    need = need * (1 + s_.ops.headroom) + largest * static_cast<double>(s_.zones.size());
    std::map<int, std::vector<Machine*>> by_zone;
    std::size_t total = 0;
    for (auto& [id, m] : machines_) {
        m->pool = false;
        if (m->spot || m->status != Status::up || m->bad || m->releasing || m->type < 0 || m->zone < 0) continue;
        if (types_[static_cast<std::size_t>(m->type)].room.gpus > 0) continue;
        by_zone[m->zone].push_back(m.get());
        ++total;
    }
    for (auto& [z, list] : by_zone)
        std::sort(list.begin(), list.end(), [](const Machine* x, const Machine* y) {
            return x->up_since != y->up_since ? x->up_since < y->up_since : x->id < y->id;
        });
    for (std::size_t k = 0; k < total; ++k)
        for (auto& [z, list] : by_zone) {
            if (k >= list.size()) continue;
            if (need.cpus <= 0 || need.memory_gb <= 0) return;
            list[k]->pool = true;
            need -= list[k]->whole;
        }
}

bool Core::is_pool(const Machine& m) const {
    return m.pool;
}

bool Core::usable(const Machine& m, const Job& j) const {
    if (m.status != Status::up || m.draining || m.bad || m.releasing || m.type < 0 || m.zone < 0) return false;
    if (now_ < m.avoid_until || now_ > m.heard + 1.5 * s_.report_s) return false;
    if (m.reserved_for != nullptr && m.reserved_for != &j && now_ < m.reserved_until && j.spec.rank >= m.reserved_rank)
        return false;
    const auto& spec = j.spec;
    // On the pool, room for the next replica stays free: making it would cost that replica's aim.
    if (is_pool(m) && spec.shape != Shape::service && !(spec.each + service_shape_ * 2).fits(m.whole - m.used))
        return false;
    if (m.spot && !spec.spot) return false;
    if (!allows(spec.types, m.type_name) || (!spec.zone.empty() && spec.zone != m.zone_name)) return false;
    if (spec.one_zone && j.live > 0 && j.zone_live[static_cast<std::size_t>(m.zone)] != j.live) return false;
    // What is in an unknown zone may be in any.
    if (spec.spread && j.zone_live[static_cast<std::size_t>(m.zone)] + j.zone_live.back() >= half_up(spec.tasks))
        return false;
    return true;
}

// In seconds of delay or their like; fragmentation (below 1) is the tie-break on top.
double Core::placement_cost(const Machine& m, const Job& j) const {
    const auto& t = types_[static_cast<std::size_t>(m.type)];
    double cost = 0;
    bool coming = false, ready = false;
    for (const auto& c : m.images)
        if (c.image == j.image) {
            ready = c.ready;
            coming = now_ - c.used < 2 * j.spec.image_gb / t.fetch_gb_per_s;
        }
    if (!ready) cost += j.spec.image_gb / t.fetch_gb_per_s * (coming ? 0.5 : 1);
    if (j.spec.spot && !m.spot) cost += 2;
    const bool lasting = j.spec.shape == Shape::service;
    if (lasting != is_pool(m)) cost += lasting ? 15 : 4;
    if (j.spec.each.gpus <= 0 && t.room.gpus > 0) cost += 20; // accelerators are for those who need them
    // Full machines first, so that others become empty and can be returned.
    cost += 2 * (m.whole.cpus - m.used.cpus) / std::max(1.0, m.whole.cpus);
    cost += 5 * std::max(0.0, m.slow - 1.5);
    return cost;
}

int Core::quota_room(const Job& j) const {
    if (j.team < 0) return 0;
    const auto& t = teams_[static_cast<std::size_t>(j.team)];
    double n = 1e6;
    if (t.limits.cpus_max > 0) n = std::min(n, (t.limits.cpus_max - t.used.cpus + 1e-6) / j.spec.each.cpus);
    if (t.limits.gpus_max > 0 && j.spec.each.gpus > 0)
        n = std::min(n, (t.limits.gpus_max - t.used.gpus + 1e-6) / j.spec.each.gpus);
    return static_cast<int>(std::floor(std::max(0.0, n)));
}

// A job is within its team's guarantee if it fits into that with the team's earlier ones.
void Core::mark_guarantees() {
    for (auto& t : teams_) {
        double cpus = 0, gpus = 0;
        for (auto* j : t.jobs) {
            if (j->final != Final::none) continue;
            cpus += j->spec.each.cpus * j->spec.tasks;
            gpus += j->spec.each.gpus * j->spec.tasks;
            j->guaranteed = (t.limits.cpus <= 0 || cpus <= t.limits.cpus + 1e-6) &&
                            (t.limits.gpus <= 0 || gpus <= t.limits.gpus + 1e-6);
        }
    }
}

std::vector<Core::Job*> Core::waiting_jobs() {
    std::vector<Job*> out;
    double most = 0;
    for (auto& [id, j] : jobs_) {
        if (j->final != Final::none || j->pending.empty() || now_ < j->not_before) continue;
        out.push_back(j.get());
        const double weight = static_cast<double>(j->pending.size());
        if (weight > most) {
            most = weight;
            common_shape_ = j->spec.each;
        }
    }
    // Among equals the job with the least work left goes first, since that brings the most jobs home
    // in time; having waited counts against it, so that large ones get their turn.
    std::unordered_map<const Job*, double> key;
    for (const auto* j : out) key[j] = work_left(*j) / (std::max(1.0, j->spec.estimate_s) + now_ - j->submitted);
    std::sort(out.begin(), out.end(), [&](const Job* a, const Job* b) {
        // What may take the place of others goes first, or it would stop them and lose the room.
        if (a->spec.rank != b->spec.rank) return a->spec.rank < b->spec.rank;
        if (a->guaranteed != b->guaranteed) return a->guaranteed;
        const double ka = key[a], kb = key[b];
        if (ka != kb) return ka < kb;
        if (a->submitted != b->submitted) return a->submitted < b->submitted;
        return a->spec.id < b->spec.id;
    });
    return out;
}

// CPU seconds that the tasks not done yet take by their owner's estimate.
double Core::work_left(const Job& j) const {
    return j.spec.each.cpus * (j.spec.tasks - j.done) * std::max(1.0, j.spec.estimate_s);
}

void Core::place(Job& j, Machine& m) {
    while (!j.pending.empty()) {
        const auto i = j.pending.front();
        j.pending.pop_front();
        j.tasks[i].queued = false;
        if (j.tasks[i].done || j.tasks[i].live > 0) continue;
        // A task is placed once a pass at most, so the pass makes the attempt unique.
        const auto try_no = (term_ << try_bits) + try_seq_;
        if (j.spec.shape == Shape::gang) j.gang_try = try_no;
        add_entry(m, j, i, try_no);
        return;
    }
}

// New tasks go in batches of at most eight, without moves, placing the most.
int Core::place_batch(const std::vector<Job*>& batch, int most) {
    std::vector<placement::Bin> bins;
    std::vector<Machine*> machines;
    std::vector<placement::Group> groups;
    std::map<int, int> team_left;
    int left = most;
    std::vector<Job*> jobs;
    for (auto* j : batch) {
        std::erase_if(j->pending, [&](std::uint32_t i) {
            const bool over = j->tasks[i].done || j->tasks[i].live > 0;
            if (over) j->tasks[i].queued = false;
            return over;
        });
        // Of one team only the first may use up its limit.
        if (team_left.contains(j->team)) continue;
        const int n = std::min({left, static_cast<int>(j->pending.size()), quota_room(*j)});
        if (n <= 0) continue;
        const auto& l = teams_[static_cast<std::size_t>(j->team)].limits;
        if (l.cpus_max > 0 || l.gpus_max > 0) team_left[j->team] = 0;
        groups.push_back({j->spec.each, n, {}});
        jobs.push_back(j);
        left -= n;
        if (left == 0) break;
    }
    if (groups.empty()) return 0;
    for (auto& [id, m] : machines_) {
        bool any = false;
        const auto free = m->whole - m->used;
        for (auto* j : jobs) any = any || (usable(*m, *j) && j->spec.each.fits(free));
        if (!any) continue;
        machines.push_back(m.get());
        bins.push_back({free, m->whole});
    }
    if (bins.empty()) return 0;
    for (std::size_t g = 0; g < groups.size(); ++g)
        for (auto* m : machines) {
            // The payoff of one more task on the pool counts before everything but the number.
            double cost = -1;
            if (usable(*m, *jobs[g])) {
                cost = placement_cost(*m, *jobs[g]);
                if (is_pool(*m) && jobs[g]->spec.shape == Shape::service) {
                    const placement::Payoff f{s_.ops.alpha, s_.ops.beta, s_.ops.gamma};
                    cost = std::max(
                        0.0, cost + 1 -
                                 placement::pool_gain(f, jobs[g]->on_pool, jobs[g]->spec.tasks, s_.ops.target_share) /
                                     s_.ops.gamma);
                }
            }
            groups[g].cost.push_back(cost);
        }
    const auto plan = placement::match_batch(groups, bins, common_shape_);
    int placed = 0;
    for (std::size_t g = 0; g < groups.size(); ++g)
        for (std::size_t b = 0; b < bins.size(); ++b)
            for (int k = 0; k < plan[g][b]; ++k, ++placed) place(*jobs[g], *machines[b]);
    return placed;
}

// Jobs with zone rules: task by task, since each placement changes where the next may go.
int Core::place_single(Job& j) {
    int placed = 0;
    while (!j.pending.empty() && quota_room(j) > 0) {
        const auto i = j.pending.front();
        if (j.tasks[i].done || j.tasks[i].live > 0) {
            j.pending.pop_front();
            j.tasks[i].queued = false;
            continue;
        }
        Machine* best = nullptr;
        double best_cost = 1e18;
        for (auto& [id, m] : machines_) {
            const auto free = m->whole - m->used;
            if (!j.spec.each.fits(free) || !usable(*m, j)) continue;
            double cost = placement_cost(*m, j);
            if (j.spec.spread) cost += j.zone_live[static_cast<std::size_t>(m->zone)];
            cost += placement::fragmentation(free - j.spec.each, m->whole, common_shape_);
            if (cost < best_cost) {
                best_cost = cost;
                best = m.get();
            }
        }
        if (best == nullptr) break;
        place(j, *best);
        ++placed;
    }
    return placed;
}

// A gang goes whole or waits; with one_zone, the zone that takes all of it at least cost.
bool Core::place_gang(Job& j) {
    if (j.live > 0 || quota_room(j) < static_cast<int>(j.spec.tasks)) return false;
    std::vector<Machine*> best;
    double best_cost = 1e18;
    const int tries = j.spec.one_zone ? static_cast<int>(s_.zones.size()) : 1;
    for (int z = 0; z < tries; ++z) {
        std::vector<std::pair<double, Machine*>> order;
        for (auto& [id, m] : machines_)
            if ((!j.spec.one_zone || m->zone == z) && usable(*m, j) && j.spec.each.fits(m->whole - m->used))
                order.emplace_back(placement_cost(*m, j) + placement::fragmentation(m->whole - m->used - j.spec.each,
                                                                                    m->whole, common_shape_),
                                   m.get());
        std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
        std::vector<Machine*> chosen;
        std::vector<std::uint32_t> zone(s_.zones.size());
        double cost = 0;
        for (auto& [c, m] : order) {
            auto free = m->whole - m->used;
            while (chosen.size() < j.spec.tasks && j.spec.each.fits(free)) {
                auto& in_zone = zone[static_cast<std::size_t>(m->zone)];
                if (j.spec.spread && in_zone >= half_up(j.spec.tasks)) break;
                ++in_zone;
                chosen.push_back(m);
                free -= j.spec.each;
                cost += c;
            }
        }
        if (chosen.size() == j.spec.tasks && cost < best_cost) {
            best = std::move(chosen);
            best_cost = cost;
        }
    }
    if (best.empty()) return false;
    j.gang_breaking = false;
    for (auto* m : best) place(j, *m);
    return true;
}

// What is lost when a task is stopped now, in CPU seconds.
double Core::loss_of(const Entry& e) const {
    const auto& s = e.job->spec;
    double run = e.running_at >= 0 ? now_ - e.running_at : 0;
    if (s.checkpoint_s > 0) run = std::min(run, s.save_s);
    return (run + 1) * s.each.cpus;
}

// Stops work of lower rank on the machine where that loses least.
bool Core::make_room(Job& j) {
    if (quota_room(j) <= 0) return false;
    Machine* best = nullptr;
    double best_loss = 1e18;
    std::vector<std::size_t> best_victims;
    for (auto& [id, m] : machines_) {
        if (!usable(*m, j) || !j.spec.each.fits(m->whole)) continue;
        if (m->reserved_for != nullptr && now_ < m->reserved_until) continue;
        std::vector<std::pair<double, std::size_t>> order;
        auto free = m->whole - m->used;
        for (std::size_t i = 0; i < m->entries.size(); ++i) {
            const auto& e = *m->entries[i];
            const auto& v = e.job->spec;
            if (e.stop) {
                free += v.each;
                continue;
            }
            const bool lower = v.rank > j.spec.rank && v.shape != Shape::service;
            if (lower && v.shape != Shape::gang) order.emplace_back(loss_of(e), i);
        }
        std::sort(order.begin(), order.end());
        double loss = has_image(*m, j.image) ? 0 : 1;
        std::vector<std::size_t> victims;
        for (const auto& [l, i] : order) {
            if (j.spec.each.fits(free)) break;
            free += m->entries[i]->job->spec.each;
            loss += l;
            victims.push_back(i);
        }
        if (j.spec.each.fits(free) && loss < best_loss) {
            best = m.get();
            best_loss = loss;
            best_victims = std::move(victims);
        }
    }
    if (best == nullptr) return false;
    for (const auto i : best_victims) {
        stop_entry(*best->entries[i], 0);
        ++preempted_;
    }
    note(0, fmt::format("job {} takes the place of {} tasks on {}", j.spec.id, best_victims.size(), best->id));
    best->reserved_for = &j;
    best->reserved_rank = j.spec.rank;
    best->reserved_until = now_ + s_.report_s;
    return true;
}

void Core::schedule() {
    if (types_.empty() || unproven()) return;
    mark_guarantees();
    choose_pool();
    const auto jobs = waiting_jobs();
    struct Failed {
        Resources each;
        bool spot;
    };
    std::vector<Failed> failed;
    int budget = 64; // placements a pass, so that beats and users are not kept waiting
    for (std::size_t k = 0; k < jobs.size() && budget > 0; ++k) {
        auto& j = *jobs[k];
        const bool plain = j.spec.types.empty() && j.spec.zone.empty() && !j.spec.spread && !j.spec.one_zone;
        // If a smaller task found no place, a larger one won't.
        const bool hopeless =
            std::any_of(failed.begin(), failed.end(),
                        [&](const Failed& f) { return f.each.fits(j.spec.each) && (f.spot || !j.spec.spot); }) &&
            j.spec.rank > Rank::high; // room may have been made for those
        if (!hopeless) {
            if (j.spec.shape == Shape::gang) {
                if (place_gang(j)) budget -= static_cast<int>(j.spec.tasks);
            } else if (j.spec.spread || j.spec.one_zone) {
                budget -= place_single(j);
            } else {
                std::vector<Job*> batch{&j};
                std::size_t total = j.pending.size();
                for (std::size_t i = k + 1; i < jobs.size() && total < static_cast<std::size_t>(s_.ops.batch); ++i) {
                    const auto& o = jobs[i]->spec;
                    if (o.shape == Shape::gang || o.spread || o.one_zone || o.rank != j.spec.rank) break;
                    batch.push_back(jobs[i]);
                    total += jobs[i]->pending.size();
                }
                int n = 0;
                while (budget > 0 && (n = place_batch(batch, s_.ops.batch)) > 0) budget -= n;
            }
        }
        if (j.pending.empty() || j.live == j.spec.tasks) continue;
        if (budget <= 0) break;
        if (plain && j.spec.shape != Shape::gang && quota_room(j) > 0) failed.push_back({j.spec.each, j.spec.spot});
        if (j.spec.rank <= Rank::high && now_ >= j.room_until) {
            j.room_until = now_ + s_.report_s / 2;
            for (std::size_t n = 0; n < j.pending.size() && n < 4; ++n)
                if (!make_room(j)) break;
        }
    }
    if (budget <= 0) dirty_ = true;
}

// The cheapest kind of machine that a job's task may use and that may be had.
std::string Core::cheapest_source(const Job& j, std::map<std::string, int>& planned, Pending& out) const {
    double best = 1e18;
    std::string key;
    std::map<std::string, int> in_zone;
    for (const auto& [id, m] : machines_)
        if (m->status != Status::lost) ++in_zone[m->zone_name];
    for (const auto& [id, p] : rentals_) in_zone[p.zone] += p.count;
    for (const auto& t : types_) {
        if (!allows(j.spec.types, t.name) || !j.spec.each.fits(t.room)) continue;
        double fit = t.room.cpus / j.spec.each.cpus;
        fit = std::min(fit, t.room.memory_gb / j.spec.each.memory_gb);
        if (j.spec.each.gpus > 0) fit = std::min(fit, t.room.gpus / j.spec.each.gpus);
        fit = std::floor(fit + 1e-6);
        for (const auto& z : t.zones)
            for (const bool spot : {true, false}) {
                if ((spot && !j.spec.spot) || (!j.spec.zone.empty() && j.spec.zone != z)) continue;
                if (std::find(s_.zones.begin(), s_.zones.end(), z) == s_.zones.end()) continue;
                const auto k = fmt::format("{}/{}/{}", t.name, z, spot);
                const auto blocked = no_capacity_.find(k);
                if (blocked != no_capacity_.end() && now_ < blocked->second) continue;
                const auto p = planned.find(z);
                const int crowd = in_zone[z] + (p == planned.end() ? 0 : p->second);
                const double cost = (spot ? t.spot_price : t.price) / fit * (1 + 0.001 * crowd);
                if (cost < best) {
                    best = cost;
                    key = k;
                    out = {t.name, z, spot, 0, now_, true};
                }
            }
    }
    return key;
}

// What waits and finds no place on machines that are up, booting or asked for is rented for: one
// request a round for each type, zone and kind.
void Core::plan_capacity() {
    if (types_.empty()) return;
    struct Coming {
        Resources free;
        const MachineType* type;
        std::string zone;
        bool spot;
    };
    std::vector<Coming> coming;
    auto type_of = [&](const std::string& name) -> const MachineType* {
        for (const auto& t : types_)
            if (t.name == name) return &t;
        return nullptr;
    };
    for (const auto& [id, m] : machines_) {
        const auto* t = type_of(m->type_name);
        if (m->status == Status::booting && t != nullptr && !m->releasing && now_ - m->known_since < 3 * t->boot_s)
            coming.push_back({t->room, t, m->zone_name, m->spot});
    }
    for (const auto& [claim, p] : rentals_)
        if (const auto* t = type_of(p.type); t != nullptr)
            for (int i = 0; i < p.count; ++i) coming.push_back({t->room, t, p.zone, p.spot});

    std::map<std::string, Pending> wanted;
    std::map<std::string, int> planned;
    std::vector<Resources> team_left;
    for (auto* j : waiting_jobs()) {
        int left = std::min(static_cast<int>(j->pending.size()), quota_room(*j));
        std::vector<std::uint32_t> zone_live = j->zone_live;
        for (int guard = 0; left > 0 && guard < 200; ++guard) {
            for (auto& c : coming) {
                if (left <= 0) break;
                if ((c.spot && !j->spec.spot) || !allows(j->spec.types, c.type->name)) continue;
                if (!j->spec.zone.empty() && j->spec.zone != c.zone) continue;
                while (left > 0 && j->spec.each.fits(c.free)) {
                    c.free -= j->spec.each;
                    --left;
                }
            }
            if (left <= 0) break;
            Pending source;
            const auto key = cheapest_source(*j, planned, source);
            if (key.empty()) break;
            auto& w = wanted[key];
            if (w.type.empty()) w = source;
            if (w.count >= 50) break;
            ++w.count;
            ++planned[source.zone];
            const auto* t = type_of(source.type);
            coming.push_back({t->room, t, source.zone, source.spot});
        }
    }
    queue_rentals(wanted);
}

void Core::queue_rentals(std::map<std::string, Pending>& wanted) {
    for (auto& [key, w] : wanted) {
        const bool busy = std::any_of(rentals_.begin(), rentals_.end(), [&](const auto& r) {
            return r.second.type == w.type && r.second.zone == w.zone && r.second.spot == w.spot;
        });
        if (busy) continue;
        // The term makes the name unique among all holders there ever were.
        const auto claim = fmt::format("r-{}-{}", term_, ++claim_seq_);
        rentals_[claim] = w;
        effects_.push_back(Rent{claim, w.type, w.zone, w.spot, w.count});
    }
}

void Core::return_machines() {
    Release out;
    for (auto& [id, mp] : machines_) {
        auto& m = *mp;
        if (out.machines.size() >= 100) break;
        if (m.release_asked || now_ < m.release_retry) continue;
        const auto* t = m.type >= 0 ? &types_[static_cast<std::size_t>(m.type)] : nullptr;
        const double boot = t != nullptr ? t->boot_s : s_.lease_s;
        const double empty_s = s_.ops.empty_s > 0 ? s_.ops.empty_s : boot;
        bool give_back = m.releasing;
        if (m.status == Status::booting && now_ - m.known_since > 5 * boot + s_.lease_s) give_back = true;
        if (m.status == Status::lost && m.entries.empty() && (m.bad || now_ - m.last_seen > 2 * s_.lease_s))
            give_back = true;
        if (m.bad && m.status == Status::up) {
            for (auto& e : m.entries) stop_entry(*e, e->job->spec.checkpoint_s > 0 ? e->job->spec.save_s + 1 : 0);
            if (m.entries.empty()) give_back = true;
        }
        if (m.status == Status::up && m.entries.empty() && !m.draining && m.empty_since >= 0 &&
            now_ - m.empty_since > empty_s && now_ - started_ > s_.lease_s && m.batch == 0 &&
            !(m.reserved_for != nullptr && now_ < m.reserved_until))
            give_back = true;
        if (!give_back || !m.entries.empty()) continue;
        m.releasing = m.release_asked = true;
        out.machines.push_back(id);
    }
    if (out.machines.empty()) return;
    note(1, fmt::format("returning {} machines, {} first", out.machines.size(), out.machines.front()));
    effects_.push_back(std::move(out));
}

// A machine that is taken back: what saves is told to save, what cannot end in time is stopped
// so that it starts elsewhere at once.
void Core::drain_noticed() {
    for (auto& [id, m] : machines_) {
        if (!m->draining || m->entries.empty()) continue;
        for (auto& owned : m->entries) {
            auto& e = *owned;
            const auto& s = e.job->spec;
            if (e.stop || e.phase < Phase::sent) continue;
            const double left = m->notice_until - now_;
            const double rest = s.estimate_s > 0 && e.running_at >= 0 ? s.estimate_s - (now_ - e.running_at) : 1e9;
            if (s.checkpoint_s <= 0 && rest > 0 && rest < left / 2) continue;
            stop_entry(e, s.checkpoint_s > 0 ? s.save_s + 1 : 0);
        }
    }
}

// Pull-back from overflow to the pool, then reordering within the pool, both capped.
void Core::plan_round() {
    if (types_.empty()) return;
    Resources pool;
    std::vector<Machine*> pool_machines;
    for (auto& [id, m] : machines_)
        if (m->type >= 0 && m->status == Status::up && is_pool(*m) && !m->bad && !m->releasing) {
            pool += m->whole;
            pool_machines.push_back(m.get());
        }
    const placement::Payoff f{s_.ops.alpha, s_.ops.beta, s_.ops.gamma};
    auto movable = [&](const Entry& e) {
        return !e.stop && e.phase == Phase::running && e.job->final == Final::none &&
               (e.job->spec.shape == Shape::service || (e.job->spec.shape == Shape::array && now_ - e.placed_at < 60));
    };
    struct Candidate {
        double score;
        Machine* from;
        std::size_t at;
    };
    // Room for what waits comes first: nothing is moved while tasks wait for a place.
    for (auto& [id, j] : jobs_)
        if (!j->pending.empty() && j->final == Final::none) return;
    std::vector<Candidate> list;
    for (auto& [id, m] : machines_) {
        if (m->status != Status::up || is_pool(*m)) continue;
        for (std::size_t i = 0; i < m->entries.size(); ++i) {
            const auto& e = *m->entries[i];
            if (!movable(e) || e.job->spec.shape != Shape::service) continue;
            const double gain = placement::pool_gain(f, e.job->on_pool, e.job->spec.tasks, s_.ops.target_share);
            list.push_back({gain / placement::task_size(e.job->spec.each, pool), m.get(), i});
        }
    }
    std::sort(list.begin(), list.end(), [](const auto& a, const auto& b) { return a.score > b.score; });
    int left = s_.ops.pull_back_cap;
    for (auto& c : list) {
        if (left <= 0) break;
        auto& e = *c.from->entries[c.at];
        for (auto* m : pool_machines) {
            const auto room = m->whole - m->used;
            if (!usable(*m, *e.job) || !e.job->spec.each.fits(room) || !has_image(*m, e.job->image)) continue;
            stop_entry(e, e.job->spec.checkpoint_s > 0 ? e.job->spec.save_s + 1 : 0);
            e.moving = true;
            ++moved_;
            --left;
            break;
        }
    }
    // The three most fragmented machines of the pool, at most 30 tasks looked at.
    auto frag = [&](const Machine& m, const Resources& extra) {
        return placement::fragmentation(m.whole - m.used + extra, m.whole, common_shape_);
    };
    std::sort(pool_machines.begin(), pool_machines.end(),
              [&](const Machine* a, const Machine* b) { return frag(*a, {}) > frag(*b, {}); });
    int looked = 0, moves = s_.ops.reorder_cap;
    for (std::size_t k = 0; k < pool_machines.size() && k < 3; ++k) {
        auto& from = *pool_machines[k];
        for (auto& owned : from.entries) {
            auto& e = *owned;
            if (moves <= 0 || looked >= 30) return;
            if (!movable(e)) continue;
            ++looked;
            for (auto* to : pool_machines) {
                const auto& each = e.job->spec.each;
                if (to == &from || !usable(*to, *e.job) || !each.fits(to->whole - to->used) ||
                    !has_image(*to, e.job->image))
                    continue;
                const double before = frag(from, {}) + frag(*to, {});
                const double after = frag(from, each) + frag(*to, each * -1);
                if (before - after < 2 * each.cpus / from.whole.cpus) continue; // a clear fall only
                stop_entry(e, e.job->spec.checkpoint_s > 0 ? e.job->spec.save_s + 1 : 0);
                ++moved_;
                --moves;
                break;
            }
        }
    }
}

} // namespace heronshift
