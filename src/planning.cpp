// Placement, rounds and capacity: what the holder decides on its snapshot of the cluster.
#include "heronshift/core.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace heronshift {
namespace {

// Beyond the paper's caps, which are for a cluster of a dozen machines: of all replicas, a round.
constexpr double moved_share = 0.004;

constexpr double start_counts_s = 31; // stopped by command sooner, a task does not count as started
// Seconds that a task may wait for each CPU second of other work not lost.
constexpr double chosen_already = 1000;
constexpr double replica_loss_weight = 0.05, gang_loss_weight = 0.01;
constexpr std::uint32_t few_runs = 3;                          // of a job, before they say how long its tasks take
constexpr double too_long = 1.5;                               // of its longest run
constexpr double long_if_most_through = 1.2, most_through = 4; // times as many as still run
constexpr double most_slow = 0.15;                             // of all machines: beyond, it is something else
constexpr double tight_loss_s = 100; // what the loss of a task weighs if its job would be late by it
constexpr double late_start = 15;    // cost of a place where the start is too late for the aim of its class
constexpr double good_place_s = 18;  // cost of a place that is good enough not to look further

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
        if (j->spec.shape == Shape::service && j->final == Final::none && !j->waits) {
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
            // By age, which the list tells every holder alike; ids are in the order of creation.
            return x->id.size() != y->id.size() ? x->id.size() < y->id.size() : x->id < y->id;
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
    if (m.status != Status::up || m.draining || m.bad || m.releasing || m.retiring || m.type < 0 || m.zone < 0)
        return false;
    if (now_ < m.avoid_until || now_ > m.heard + 1.5 * s_.report_s) return false;
    if (now_ < m.slow_until && j.spec.shape != Shape::service) return false; // replicas have no speed
    if (m.reserved_for != nullptr && m.reserved_for != &j && now_ < m.reserved_until && j.rank >= m.reserved_rank)
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
    double others = 0; // being fetched at the same time, which share the rate
    for (const auto& c : m.images) {
        const double gb = image_gb_[static_cast<std::size_t>(c.image)];
        const bool under_way = !c.ready && now_ - c.used < 2 * gb / t.fetch_gb_per_s;
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
        if (j.start_within_s >= 0 && fetch > j.start_within_s) cost += late_start;
    }
    if (j.spec.spot && !m.spot) cost += 2;
    if (m.spot) {
        // What a loss costs: a lease until it is known, and the run once more. A job that would be
        // late by that keeps off spot machines on days when many are taken; so does one that others
        // wait for, since each of its tasks may hold them all up.
        const double run = std::max(1.0, j.spec.estimate_s) * bias();
        const double due = due_at(j);
        const bool tight = j.latest >= 0 || (due >= 0 && due - now_ < 2 * run + s_.lease_s);
        cost += spot_loss_rate() * run * (tight ? tight_loss_s : s_.lease_s);
    }
    const bool lasting = j.spec.shape == Shape::service;
    if (lasting != is_pool(m)) cost += lasting ? 15 : 4;
    if (j.spec.each.gpus <= 0 && t.room.gpus > 0) cost += 20; // accelerators are for those who need them
    // Full machines first, so that others become empty and can be returned; but replicas evenly over
    // the pool, which stays: the loss of a machine or a zone then takes fewer of them, and what
    // remains has room for them and their images.
    if (lasting && is_pool(m))
        cost += 2 * m.firm.cpus / std::max(1.0, m.whole.cpus);
    else
        cost += 2 * (m.whole.cpus - m.used.cpus) / std::max(1.0, m.whole.cpus);
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
            // What is guaranteed nothing of what a job uses is no guarantee for it.
            const bool some = t.limits.cpus > 0 || (t.limits.gpus > 0 && j->spec.each.gpus > 0);
            j->guaranteed = some && (t.limits.cpus <= 0 || cpus <= t.limits.cpus + 1e-6) &&
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
    for (const auto* j : out) key[j] = work_left(*j) / (std::max(1.0, j->spec.estimate_s) + now_ - j->ready);
    std::sort(out.begin(), out.end(), [&](const Job* a, const Job* b) {
        // What may take the place of others goes first, or it would stop them and lose the room.
        if (a->rank != b->rank) return a->rank < b->rank;
        if (a->guaranteed != b->guaranteed) return a->guaranteed;
        const double ka = key[a], kb = key[b];
        if (ka != kb) return ka < kb;
        if (a->ready != b->ready) return a->ready < b->ready;
        return a->spec.id < b->spec.id;
    });
    return out;
}

// CPU seconds that the tasks not done yet take by their owner's estimate.
double Core::work_left(const Job& j) const {
    return j.spec.each.cpus * (j.spec.tasks - j.done) * std::max(1.0, j.spec.estimate_s);
}

void Core::place(Job& j, Machine& m) {
    // Whoever asks: no task starts before all that its job needs is done and stored.
    if (j.waits) return;
    while (!j.pending.empty()) {
        const auto i = j.pending.front();
        j.pending.pop_front();
        j.tasks[i].queued = false;
        if (j.tasks[i].done || j.tasks[i].live > 0) continue;
        // A task is placed once a pass at most, so the pass makes the attempt unique.
        const auto try_no = (term_ << try_bits) + try_seq_;
        if (j.spec.shape == Shape::gang) j.gang_try = try_no;
        add_entry(m, j, i, try_no);
        // What was made room for is there: others may have the rest.
        if (m.reserved_for == &j && --m.reserved_tasks <= 0) m.reserved_for = nullptr;
        return;
    }
}

// New tasks go in batches of at most eight, without moves, placing the most, none above the cap.
int Core::place_batch(const std::vector<Job*>& batch, int most, double cap) {
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
            groups[g].cost.push_back(cost < cap ? cost : -1);
        }
    const auto plan = placement::match_batch(groups, bins, common_shape_);
    int placed = 0;
    for (std::size_t g = 0; g < groups.size(); ++g)
        for (std::size_t b = 0; b < bins.size(); ++b)
            for (int k = 0; k < plan[g][b]; ++k, ++placed) place(*jobs[g], *machines[b]);
    return placed;
}

// Jobs with zone rules: task by task, since each placement changes where the next may go.
int Core::place_single(Job& j, double cap) {
    int placed = 0;
    while (!j.pending.empty() && quota_room(j) > 0) {
        const auto i = j.pending.front();
        if (j.tasks[i].done || j.tasks[i].live > 0) {
            j.pending.pop_front();
            j.tasks[i].queued = false;
            continue;
        }
        Machine* best = nullptr;
        double best_cost = cap;
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

// Replicas last: a good place, on the pool and with the image at hand, is worth stopping a little
// work of lower rank for, where what is free would make them wait longer.
int Core::place_service(Job& j) {
    auto place = [&](double cap) {
        if (j.spec.spread || j.spec.one_zone) return place_single(j, cap);
        int placed = 0, n = 0;
        while ((n = place_batch({&j}, s_.ops.batch, cap)) > 0) placed += n;
        return placed;
    };
    int placed = place(good_place_s);
    if (j.pending.empty() || quota_room(j) <= 0) return placed;
    if (now_ < j.room_until && j.good_room) return placed; // being made
    double free_cost = 1e18;
    for (const auto& [id, m] : machines_)
        if (j.spec.each.fits(m->whole - m->used) && usable(*m, j))
            free_cost = std::min(free_cost, placement_cost(*m, j));
    j.good_room = now_ >= j.room_until && make_room(j, free_cost) > 0;
    if (j.good_room)
        j.room_until = now_ + s_.report_s / 6;
    else
        placed += place(1e18);
    return placed;
}

// What is lost when a task is stopped now, in CPU seconds.
double Core::loss_of(const Entry& e) const {
    const auto& s = e.job->spec;
    double run = e.running_at >= 0 ? now_ - e.running_at : 0;
    if (s.checkpoint_s > 0) run = std::min(run, s.save_s);
    return (run + 1) * s.each.cpus;
}

// Room for some tasks on one machine: what is free, else what stopping work of lower rank would make,
// lowest loss first. Each CPU second lost counts as so many seconds of delay.
Core::Room Core::room_on(Machine& m, const Job& j, int most, double loss_weight) const {
    Room r;
    r.machine = &m;
    if (!j.spec.each.fits(m.whole - m.firm) || !usable(m, j)) return r;
    if (m.reserved_for != nullptr && m.reserved_for != &j && now_ < m.reserved_until) return r;
    const auto fits = [&](Resources left) {
        int n = 0;
        for (; n < most && j.spec.each.fits(left); ++n) left -= j.spec.each;
        return n;
    };
    auto free = m.whole - m.used;
    double loss = 0;
    r.tasks = fits(free);
    r.ready = r.tasks > 0;
    if (!r.ready) {
        std::vector<std::pair<double, Entry*>> order;
        for (const auto& e : m.entries) {
            const auto& v = e->job->spec;
            if (e->stop)
                free += v.each;
            else if (e->job->rank > j.rank && v.shape == Shape::array)
                order.emplace_back(loss_of(*e), e.get());
        }
        std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
        r.tasks = fits(free);
        for (const auto& [l, e] : order) {
            if (r.tasks >= most) break;
            free += e->job->spec.each;
            loss += l;
            r.victims.push_back(e);
            r.tasks = fits(free);
        }
    }
    if (r.tasks > 0)
        r.cost = placement_cost(m, j) + loss_weight * loss / r.tasks +
                 placement::fragmentation(free - j.spec.each, m.whole, common_shape_);
    // Room that is being made stays the choice, or work would be stopped on ever more machines.
    if (m.reserved_for == &j && now_ < m.reserved_until) r.cost -= chosen_already;
    return r;
}

void Core::take_room(const Room& r, const Job& j) {
    for (auto* e : r.victims) {
        stop_entry(*e, 0);
        ++preempted_;
    }
    if (!r.victims.empty())
        note(0, fmt::format("job {} takes the place of {} tasks on {}", j.spec.id, r.victims.size(), r.machine->id));
    r.machine->reserved_for = &j;
    r.machine->reserved_rank = j.rank;
    r.machine->reserved_until = now_ + s_.report_s;
    r.machine->reserved_tasks = r.tasks;
}

// Stops work of lower rank where that costs least, below the given cost a task. Returns for how
// many tasks there will be room.
int Core::make_room(Job& j, double cap) {
    int left = std::min(static_cast<int>(j.pending.size()), quota_room(j)), made = 0;
    std::vector<Room> rooms;
    for (auto& [id, m] : machines_)
        if (auto r = room_on(*m, j, left, replica_loss_weight); r.tasks > 0 && !r.victims.empty() && r.cost < cap)
            rooms.push_back(std::move(r));
    std::sort(rooms.begin(), rooms.end(), [](const Room& a, const Room& b) { return a.cost < b.cost; });
    for (const auto& r : rooms) {
        if (left <= 0) break;
        if (j.spec.spread) {
            // Each zone takes a part only; which, the placement decides.
            if (made >= static_cast<int>(half_up(j.spec.tasks))) break;
        }
        take_room(r, j);
        left -= r.tasks;
        made += r.tasks;
    }
    return made;
}

// A gang goes whole or waits; with one_zone, into the zone that takes all of it at least cost. Where
// work of lower rank is in the way, all its room is made or none: half of it would help nobody and
// keep it from others.
bool Core::place_gang(Job& j) {
    const int tasks = static_cast<int>(j.spec.tasks);
    if (j.live > 0 || now_ < j.room_until || quota_room(j) < tasks) return false;
    j.room_until = now_ + s_.report_s / 10; // looking at all machines takes time
    std::vector<Room> best;
    double best_cost = 1e18;
    const bool may_stop = j.rank <= Rank::high;
    const int tries = j.spec.one_zone ? static_cast<int>(s_.zones.size()) : 1;
    for (int z = 0; z < tries; ++z) {
        std::vector<Room> rooms;
        for (auto& [id, m] : machines_)
            if (!j.spec.one_zone || m->zone == z)
                if (auto r = room_on(*m, j, tasks, gang_loss_weight); r.tasks > 0 && (r.ready || may_stop))
                    rooms.push_back(std::move(r));
        std::sort(rooms.begin(), rooms.end(), [](const Room& a, const Room& b) { return a.cost < b.cost; });
        std::vector<std::uint32_t> zone(s_.zones.size());
        std::vector<Room> chosen;
        int left = tasks;
        double cost = 0;
        for (auto& r : rooms) {
            auto& in_zone = zone[static_cast<std::size_t>(r.machine->zone)];
            const int most = j.spec.spread ? static_cast<int>(half_up(j.spec.tasks) - in_zone) : left;
            r.tasks = std::min({r.tasks, left, most});
            if (r.tasks <= 0) continue;
            in_zone += static_cast<std::uint32_t>(r.tasks);
            left -= r.tasks;
            cost += r.cost * r.tasks;
            chosen.push_back(std::move(r));
            if (left == 0) break;
        }
        if (left > 0 || cost >= best_cost) continue;
        best = std::move(chosen);
        best_cost = cost;
    }
    if (best.empty()) return false;
    const bool ready = std::all_of(best.begin(), best.end(), [](const Room& r) { return r.ready; });
    if (!ready) {
        for (const auto& r : best) take_room(r, j);
        return false;
    }
    j.gang_breaking = false;
    for (const auto& r : best)
        for (int n = 0; n < r.tasks; ++n) place(j, *r.machine);
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
            j.rank > Rank::high; // room may have been made for those
        if (!hopeless) {
            if (j.spec.shape == Shape::gang) {
                if (place_gang(j)) budget -= static_cast<int>(j.spec.tasks);
            } else if (j.spec.shape == Shape::service) {
                budget -= place_service(j);
            } else if (j.spec.spread || j.spec.one_zone) {
                budget -= place_single(j, 1e18);
            } else {
                std::vector<Job*> batch{&j};
                std::size_t total = j.pending.size();
                for (std::size_t i = k + 1; i < jobs.size() && total < static_cast<std::size_t>(s_.ops.batch); ++i) {
                    const auto& o = jobs[i]->spec;
                    if (o.shape == Shape::gang || o.spread || o.one_zone || jobs[i]->rank != j.rank) break;
                    batch.push_back(jobs[i]);
                    total += jobs[i]->pending.size();
                }
                int n = 0;
                while (budget > 0 && (n = place_batch(batch, s_.ops.batch, 1e18)) > 0) budget -= n;
            }
        }
        if (j.pending.empty() || j.live == j.spec.tasks) continue;
        if (budget <= 0) break;
        if (plain && j.spec.shape != Shape::gang && quota_room(j) > 0) failed.push_back({j.spec.each, j.spec.spot});
        if (j.spec.shape != Shape::gang && j.rank <= Rank::high && now_ >= j.room_until) {
            j.room_until = now_ + s_.report_s / 2;
            make_room(j, 1e18);
        }
    }
    if (budget <= 0) dirty_ = true;
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

// Tasks of one job take much the same time, so the longest of those that are through tells what is
// too long, long before any estimate would.
void Core::note_run(Job& j, const Machine& m, double ran) {
    if (j.spec.shape != Shape::array) return;
    if (j.spec.estimate_s > 0) {
        // On some days most estimates are too low: sums, since single ones are often wrong by half.
        ran_s_ = 0.995 * ran_s_ + std::min(ran, 5 * j.spec.estimate_s);
        estimated_s_ = 0.995 * estimated_s_ + j.spec.estimate_s;
    }
    ++j.runs;
    if (now_ >= m.slow_until) j.longest_run = std::max(j.longest_run, ran);
}

void Core::find_slow() {
    if (now_ < next_slow_) return;
    next_slow_ = now_ + s_.report_s / 3;
    for (auto& [id, m] : machines_) {
        if (!serves(*m) || now_ < m->slow_until) continue;
        for (const auto& e : m->entries) {
            const auto& j = *e->job;
            if (e->phase != Phase::running || e->stop || j.spec.shape != Shape::array) continue;
            // The more of those that have started are through, the more the longest of them says.
            if (j.runs < few_runs || j.runs < j.running) continue;
            const double much = j.runs < most_through * j.running ? too_long : long_if_most_through;
            // Where it is as slow elsewhere, the task is long, not the machine: from a day on which the last
            // task of an import was restarted every 35 s for ever, and its pipeline with it.
            auto& blamed = e->job->tasks[e->index].blamed;
            const double limit = much * j.longest_run * (1 << (2 * blamed)) + s_.report_s / 3;
            if (now_ - e->running_at < limit) continue;
            if (blamed < 4) ++blamed;
            mark_slow(*m);
            break;
        }
    }
}

// A machine that is slow takes no work that has a speed for a while, longer each time; what has not
// run for long there starts again elsewhere.
void Core::mark_slow(Machine& m) {
    if (now_ < m.slow_until) return;
    const auto slow = std::count_if(machines_.begin(), machines_.end(),
                                    [this](const auto& x) { return now_ < x.second->slow_until; });
    if (static_cast<double>(slow) > most_slow * static_cast<double>(machines_.size())) return; // it is not them
    m.slow_until = now_ + 2 * s_.lease_s * (1 << std::min(m.slow_seen++, 4));
    note(1, fmt::format("machine {} is slow", m.id));
    for (const auto& e : m.entries) {
        const auto& j = *e->job;
        if (e->stop || j.spec.shape != Shape::array || e->phase < Phase::sent) continue;
        const double whole = j.runs >= few_runs ? j.longest_run : std::max(1.0, j.spec.estimate_s) * bias();
        const double ran = e->phase == Phase::running ? now_ - e->running_at : 0;
        if (ran > 2 * whole) continue; // nearly through all the same
        stop_entry(*e, j.spec.checkpoint_s > 0 ? 4 * j.spec.save_s + 1 : 0);
    }
}

// A place for one task that moves: room beyond what this round has planned there, and the image at
// hand, so that the task is not away for long.
Core::Machine* Core::place_to_move(const Entry& e, const std::vector<Machine*>& to, Planned& planned) const {
    for (auto* m : to) {
        if (m == e.machine || !usable(*m, *e.job) || !has_image(*m, e.job->image)) continue;
        auto& taken = planned[m];
        if (!(e.job->spec.each + taken).fits(m->whole - m->used)) continue;
        taken += e.job->spec.each;
        return m;
    }
    return nullptr;
}

void Core::move_away(Entry& e) {
    stop_entry(e, e.job->spec.checkpoint_s > 0 ? e.job->spec.save_s + 1 : 0);
    e.moving = true;
    ++moved_;
}

// Only service tasks, or tasks of no gang that are under a minute old, are moved; and none before
// its start counts for its user.
bool Core::movable(const Entry& e) const {
    return !e.stop && e.phase == Phase::running && now_ - e.running_at > start_counts_s &&
           e.job->final == Final::none &&
           (e.job->spec.shape == Shape::service || (e.job->spec.shape == Shape::array && now_ - e.placed_at < 60));
}

// Pull-back from overflow to the pool, then reordering, both capped.
void Core::plan_round() {
    if (types_.empty()) return;
    note_fleet();
    // Room for urgent work that waits comes first.
    double replicas = 0;
    for (auto& [id, j] : jobs_) {
        if (j->final != Final::none) continue;
        if (!j->pending.empty() && j->rank <= Rank::high) return;
        if (j->spec.shape == Shape::service) replicas += j->live;
    }
    const int more = static_cast<int>(replicas * moved_share);
    Resources pool;
    std::vector<Machine*> pool_machines, others, leaving;
    for (auto& [id, m] : machines_) {
        if (!serves(*m)) continue;
        if (m->retiring)
            leaving.push_back(m.get());
        else if (is_pool(*m))
            pool_machines.push_back(m.get());
        else if (m->whole.gpus <= 0 && !m->spot)
            others.push_back(m.get());
        if (is_pool(*m)) pool += m->whole;
    }
    const auto fullest = [](const Machine* a, const Machine* b) { return a->used.cpus > b->used.cpus; };
    std::stable_sort(pool_machines.begin(), pool_machines.end(), fullest);
    std::stable_sort(others.begin(), others.end(), fullest);
    Planned planned;
    if (s_.ops.pull_back_cap > 0) pull_back(pool_machines, pool, s_.ops.pull_back_cap + more, planned);
    if (s_.ops.reorder_cap > 0) {
        auto to = pool_machines;
        to.insert(to.end(), others.begin(), others.end());
        reorder(pool_machines, leaving, to, s_.ops.reorder_cap + more, planned);
    }
}

void Core::pull_back(const std::vector<Machine*>& pool_machines, const Resources& pool, int cap, Planned& planned) {
    const placement::Payoff f{s_.ops.alpha, s_.ops.beta, s_.ops.gamma};
    std::vector<std::pair<double, Entry*>> list;
    for (auto& [id, m] : machines_) {
        if (m->status != Status::up || is_pool(*m)) continue;
        for (const auto& e : m->entries) {
            if (!movable(*e) || e->job->spec.shape != Shape::service) continue;
            const double gain = placement::pool_gain(f, e->job->on_pool, e->job->spec.tasks, s_.ops.target_share);
            // From a machine that is to become empty first: it costs until it is.
            list.emplace_back(gain / placement::task_size(e->job->spec.each, pool) * (m->retiring ? 2 : 1), e.get());
        }
    }
    std::stable_sort(list.begin(), list.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    for (const auto& [score, e] : list) {
        if (cap <= 0) return;
        if (place_to_move(*e, pool_machines, planned) == nullptr) continue;
        move_away(*e);
        --cap;
    }
}

// The machines that are to become empty are the most fragmented of all: what they cost is wasted
// until their last replica is gone. Then the paper's: the three most fragmented machines of the
// pool, at most 30 tasks looked at.
void Core::reorder(std::vector<Machine*>& pool_machines, std::vector<Machine*>& leaving,
                   const std::vector<Machine*>& to, int cap, Planned& planned) {
    std::stable_sort(leaving.begin(), leaving.end(),
                     [](const Machine* a, const Machine* b) { return a->used.cpus < b->used.cpus; });
    for (auto* m : leaving)
        for (const auto& e : m->entries) {
            if (cap <= 0) return;
            if (!movable(*e) || e->job->spec.shape != Shape::service || place_to_move(*e, to, planned) == nullptr)
                continue;
            move_away(*e);
            --cap;
        }
    auto frag = [&](const Machine& m, const Resources& extra) {
        return placement::fragmentation(m.whole - m.used + extra, m.whole, common_shape_);
    };
    std::sort(pool_machines.begin(), pool_machines.end(),
              [&](const Machine* a, const Machine* b) { return frag(*a, {}) > frag(*b, {}); });
    int looked = 0;
    for (std::size_t k = 0; k < pool_machines.size() && k < 3; ++k) {
        auto& from = *pool_machines[k];
        for (const auto& e : from.entries) {
            if (cap <= 0 || looked >= 30) return;
            if (!movable(*e)) continue;
            ++looked;
            for (auto* other : pool_machines) {
                const auto& each = e->job->spec.each;
                if (other == &from || !usable(*other, *e->job) || !each.fits(other->whole - other->used) ||
                    !has_image(*other, e->job->image))
                    continue;
                const double before = frag(from, {}) + frag(*other, {});
                const double after = frag(from, each) + frag(*other, each * -1);
                if (before - after < 2 * each.cpus / from.whole.cpus) continue; // a clear fall only
                move_away(*e);
                --cap;
                break;
            }
        }
    }
}

} // namespace heronshift
