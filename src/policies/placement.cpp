// Placement, see placement.hpp.
#include "heronshift/policies/placement.hpp"
#include "heronshift/policies/matching.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <tuple>

namespace heronshift::policies {
namespace {

// Seconds that a task may wait for each CPU second of other work not lost.
constexpr double chosen_already = 1000;
constexpr double replica_loss_weight = 0.05, gang_loss_weight = 0.01;
constexpr std::uint32_t few_runs = 3;                          // of a job, before they say how long its tasks take
constexpr double too_long = 1.5;                               // of its longest run
constexpr double long_if_most_through = 1.2, most_through = 4; // times as many as still run
constexpr double sure_of_one = 1.3;
constexpr double most_slow = 0.15;  // of all machines: beyond, it is something else
constexpr double begin_share = 0.5; // of the time in which each job should begin
constexpr double least_rest = 0.1;  // of a task's time: it may be longer than others
constexpr double good_place_s = 18; // cost of a place that is good enough not to look further

} // namespace

// The paper's edge: what stays. Here, the ordinary machines that have been up longest, in all zones
// alike, as many as the services need with some to spare; all others are overflow, which is to
// become empty and go back.
void Placement::choose_pool() {
    Resources need, largest;
    for (const auto& [id, j] : v_.jobs)
        if (j->spec.shape == Shape::service && j->final == Final::none && !j->waits) {
            need += j->spec.each * j->spec.tasks;
            largest.cpus = std::max(largest.cpus, j->spec.each.cpus);
            largest.memory_gb = std::max(largest.memory_gb, j->spec.each.memory_gb);
        }
    need = need * (1 + s_.ops.headroom) + largest * static_cast<double>(s_.zones.size());
    std::map<int, std::vector<const Machine*>> by_zone;
    std::vector<const Machine*> pool;
    std::size_t total = 0;
    for (const auto& [id, m] : v_.machines) {
        if (m->spot || m->status != Status::up || m->bad || m->releasing || m->type < 0 || m->zone < 0)
            continue;
        if (v_.types[static_cast<std::size_t>(m->type)].room.gpus > 0)
            continue;
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
            if (k >= list.size())
                continue;
            if (need.cpus <= 0 || need.memory_gb <= 0)
                break;
            pool.push_back(list[k]);
            need -= list[k]->whole;
        }
    out_.set_pool(pool, largest);
}

// On ordinary machines what may use nothing else goes first, whatever its rank, until the others' aims are in
// danger: with most room on spot machines, those would fill the few ordinary ones as well.
bool Placement::left_to_others(const Machine& m, const Job& j) const {
    return ordinary_waits_ && j.spec.spot && plain(m);
}

bool Placement::fits_in(const Machine& m, const Job& j) const {
    return j.spec.each.fits(m.whole - m.used) && usable(v_, m, j) && !left_to_others(m, j);
}

// How many more tasks the team's limit allows, unless it is kept for another of its jobs.
int Placement::quota_left(const Job& j) const {
    if (j.team < 0)
        return 0;
    const auto* first = first_of_team_[static_cast<std::size_t>(j.team)];
    return first != nullptr && first != &j ? 0 : v_.quota_room(j);
}

// Small work goes first, so that most jobs are home in time; a large one might wait for ever. From a day on which
// the largest array, as big as its team's whole limit, began after 396 s. One task of each that has waited for half
// the time goes before all others; where there is no room or the team's limit is used up, both are kept for it.
void Placement::begin_waiting(const std::vector<const Job*>& jobs) {
    first_of_team_.assign(v_.teams.size(), nullptr);
    std::vector<const Job*> late;
    for (const auto* j : jobs)
        if (j->spec.shape == Shape::array && j->live == 0 && j->done == 0 && j->team >= 0 &&
            v_.now - j->ready > begin_share * s_.ops.begin_s)
            late.push_back(j);
    std::sort(late.begin(), late.end(), [](const Job* a, const Job* b) {
        return std::tie(a->ready, a->spec.id) < std::tie(b->ready, b->spec.id);
    });
    for (const auto* j : late) {
        auto& first = first_of_team_[static_cast<std::size_t>(j->team)];
        if (first != nullptr)
            continue;
        if (v_.quota_room(*j) < 1) {
            first = j;
            continue;
        }
        if (place_batch({j}, 1, 1e18) > 0 || v_.now < j->room_until)
            continue;
        out_.room_asked(*j, v_.now + s_.report_s / 2);
        await_room(*j, 1, 1e18, Rank::critical);
    }
}

// New tasks go in batches of at most eight, without moves, placing the most, none above the cap.
int Placement::place_batch(const std::vector<const Job*>& batch, int most, double cap) {
    std::vector<placement::Bin> bins;
    std::vector<const Machine*> machines;
    std::vector<placement::Group> groups;
    std::map<int, int> team_left;
    int left = most;
    std::vector<const Job*> jobs;
    for (auto* j : batch) {
        out_.drop_settled(*j, true);
        // Of one team only the first may use up its limit.
        if (team_left.contains(j->team))
            continue;
        const int n = std::min({left, static_cast<int>(j->pending.size()), quota_left(*j)});
        if (n <= 0)
            continue;
        const auto& l = v_.teams[static_cast<std::size_t>(j->team)].limits;
        if (l.cpus_max > 0 || l.gpus_max > 0)
            team_left[j->team] = 0;
        groups.push_back({j->spec.each, n, {}});
        jobs.push_back(j);
        left -= n;
        if (left == 0)
            break;
    }
    if (groups.empty())
        return 0;
    for (const auto& [id, m] : v_.machines) {
        bool any = false;
        const auto free = m->whole - m->used;
        for (auto* j : jobs)
            any = any || fits_in(*m, *j);
        if (!any)
            continue;
        machines.push_back(m.get());
        bins.push_back({free, m->whole});
    }
    if (bins.empty())
        return 0;
    for (std::size_t g = 0; g < groups.size(); ++g)
        for (auto* m : machines) {
            // The payoff of one more task on the pool counts before everything but the number.
            double cost = -1;
            if (fits_in(*m, *jobs[g])) {
                cost = placement_cost(v_, *m, *jobs[g]);
                if (m->pool && jobs[g]->spec.shape == Shape::service) {
                    const placement::Payoff f{s_.ops.alpha, s_.ops.beta, s_.ops.gamma};
                    cost = std::max(
                        0.0, cost + 1 -
                                 placement::pool_gain(f, jobs[g]->on_pool, jobs[g]->spec.tasks, s_.ops.target_share) /
                                     s_.ops.gamma);
                }
            }
            groups[g].cost.push_back(cost < cap ? cost : -1);
        }
    const auto plan = placement::match_batch(groups, bins, v_.common_shape);
    int placed = 0;
    for (std::size_t g = 0; g < groups.size(); ++g)
        for (std::size_t b = 0; b < bins.size(); ++b)
            for (int k = 0; k < plan[g][b]; ++k, ++placed)
                out_.place(*jobs[g], *machines[b]);
    return placed;
}

// Jobs with zone rules: task by task, since each placement changes where the next may go.
int Placement::place_single(const Job& j, double cap) {
    int placed = 0;
    while (!j.pending.empty() && quota_left(j) > 0) {
        out_.drop_settled(j, false);
        if (j.pending.empty())
            break;
        const Machine* best = nullptr;
        double best_cost = cap;
        for (const auto& [id, m] : v_.machines) {
            const auto free = m->whole - m->used;
            if (!fits_in(*m, j))
                continue;
            double cost = placement_cost(v_, *m, j);
            if (j.spec.spread)
                cost += j.zone_live[static_cast<std::size_t>(m->zone)];
            cost += placement::fragmentation(free - j.spec.each, m->whole, v_.common_shape);
            if (cost < best_cost) {
                best_cost = cost;
                best = m.get();
            }
        }
        if (best == nullptr)
            break;
        out_.place(j, *best);
        ++placed;
    }
    return placed;
}

// Replicas last: a good place, on the pool and with the image at hand, is worth stopping a little
// work of lower rank for, where what is free would make them wait longer.
int Placement::place_service(const Job& j) {
    auto place = [&](double cap) {
        if (j.spec.spread || j.spec.one_zone)
            return place_single(j, cap);
        int placed = 0, n = 0;
        while ((n = place_batch({&j}, s_.ops.batch, cap)) > 0)
            placed += n;
        return placed;
    };
    int placed = place(good_place_s);
    if (j.pending.empty() || quota_left(j) <= 0)
        return placed;
    if (v_.now < j.room_until && j.good_room)
        return placed; // being made
    double free_cost = 1e18;
    for (const auto& [id, m] : v_.machines)
        if (j.spec.each.fits(m->whole - m->used) && usable(v_, *m, j))
            free_cost = std::min(free_cost, placement_cost(v_, *m, j));
    out_.good_room(j, v_.now >= j.room_until && make_room(j, free_cost) > 0);
    if (j.good_room)
        out_.room_asked(j, v_.now + s_.report_s / 6);
    else
        placed += place(1e18);
    return placed;
}

// What is lost when a task is stopped now, in CPU seconds.
double Placement::loss_of(const Entry& e) const {
    const auto& s = e.job->spec;
    double run = e.running_at >= 0 ? v_.now - e.running_at : 0;
    if (s.checkpoint_s > 0)
        run = std::min(run, s.save_s);
    return (run + 1) * s.each.cpus;
}

// Room for some tasks on one machine: what is free, else what stopping work of lower rank would make,
// lowest loss first. Each CPU second lost counts as so many seconds of delay.
Placement::Room Placement::room_on(const Machine& m, const Job& j, int most, double loss_weight) const {
    Room r;
    r.machine = &m;
    if (!j.spec.each.fits(m.whole - m.firm) || !usable(v_, m, j) || left_to_others(m, j))
        return r;
    if (m.reserved_for != nullptr && m.reserved_for != &j && v_.now < m.reserved_until)
        return r;
    const auto fits = [&](Resources left) {
        int n = 0;
        for (; n < most && j.spec.each.fits(left); ++n)
            left -= j.spec.each;
        return n;
    };
    auto free = m.whole - m.used;
    double loss = 0;
    r.tasks = fits(free);
    r.ready = r.tasks > 0;
    if (!r.ready) {
        std::vector<std::pair<double, const Entry*>> order;
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
            if (r.tasks >= most)
                break;
            free += e->job->spec.each;
            loss += l;
            r.victims.push_back(e);
            r.tasks = fits(free);
        }
    }
    if (r.tasks > 0)
        r.cost = placement_cost(v_, m, j) + loss_weight * loss / r.tasks +
                 placement::fragmentation(free - j.spec.each, m.whole, v_.common_shape);
    // Room that is being made stays the choice, or work would be stopped on ever more machines.
    if (m.reserved_for == &j && v_.now < m.reserved_until)
        r.cost -= chosen_already;
    return r;
}

void Placement::take_room(const Room& r, const Job& j) {
    for (const auto* e : r.victims)
        out_.preempt(*e);
    if (!r.victims.empty())
        out_.note(0,
                  fmt::format("job {} takes the place of {} tasks on {}", j.spec.id, r.victims.size(), r.machine->id));
    out_.reserve(*r.machine, j, r.tasks, v_.now + s_.report_s, j.rank);
}

// How long a task will go on, as far as its siblings tell.
double Placement::rest_of(const Entry& e) const {
    const auto& j = *e.job;
    if (e.stop)
        return 0;
    if (j.spec.shape != Shape::array)
        return 1e18;
    const double whole = j.runs >= few_runs ? j.run_sum / j.runs : std::max(1.0, j.spec.estimate_s) * v_.learned.bias();
    const double ran = e.running_at >= 0 ? v_.now - e.running_at : 0;
    return std::max(whole - ran, whole * least_rest);
}

// Where tasks end all the time, room comes by itself: the machines where it comes first are kept for the job,
// or smaller tasks would fill each hole before it is large enough. Stopping work costs what it has done: on
// the ferries' days half of the largest arrays' tasks were begun twice, a fifth of all.
void Placement::await_room(const Job& j, int most, double within_s, Rank against) {
    struct Slot {
        double at;
        const Machine* machine;
    };
    std::vector<Slot> slots;
    std::vector<std::pair<double, const Entry*>> order;
    for (const auto& [id, m] : v_.machines) {
        if (!j.spec.each.fits(m->whole - m->firm) || !usable(v_, *m, j) || left_to_others(*m, j))
            continue;
        if (m->reserved_for != nullptr && m->reserved_for != &j && v_.now < m->reserved_until)
            continue;
        order.clear();
        for (const auto& e : m->entries)
            if (const double rest = rest_of(*e); rest <= within_s)
                order.emplace_back(rest, e.get());
        // Neither addresses nor the order in which reports came may decide: processes differ in both.
        std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
            const auto key = [](const auto& x) { return std::tie(x.first, x.second->job->spec.id, x.second->index); };
            return key(a) < key(b);
        });
        auto free = m->whole - m->used;
        const double cost = placement_cost(v_, *m, j);
        for (const auto& [rest, e] : order) {
            free += e->job->spec.each;
            for (; j.spec.each.fits(free); free -= j.spec.each)
                slots.push_back({rest + cost, m.get()});
        }
    }
    const auto wanted = static_cast<std::size_t>(std::min({most, static_cast<int>(j.pending.size()), quota_left(j)}));
    std::stable_sort(slots.begin(), slots.end(), [](const Slot& a, const Slot& b) { return a.at < b.at; });
    if (slots.size() > wanted)
        slots.resize(wanted);
    std::map<const Machine*, int> tasks;
    for (const auto& s : slots)
        ++tasks[s.machine];
    for (const auto& [m, n] : tasks)
        out_.reserve(*m, j, n, v_.now + s_.report_s, against);
}

// Stops work of lower rank where that costs least, below the given cost a task. Returns for how
// many tasks there will be room.
int Placement::make_room(const Job& j, double cap) {
    int left = std::min(static_cast<int>(j.pending.size()), quota_left(j)), made = 0;
    std::vector<Room> rooms;
    for (const auto& [id, m] : v_.machines)
        if (auto r = room_on(*m, j, left, replica_loss_weight); r.tasks > 0 && !r.victims.empty() && r.cost < cap)
            rooms.push_back(std::move(r));
    std::sort(rooms.begin(), rooms.end(), [](const Room& a, const Room& b) { return a.cost < b.cost; });
    for (const auto& r : rooms) {
        if (left <= 0)
            break;
        if (j.spec.spread) {
            // Each zone takes a part only; which, the placement decides.
            if (made >= static_cast<int>(half_up(j.spec.tasks)))
                break;
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
bool Placement::place_gang(const Job& j) {
    const int tasks = static_cast<int>(j.spec.tasks);
    if (j.live > 0 || v_.now < j.room_until || quota_left(j) < tasks)
        return false;
    out_.room_asked(j, v_.now + s_.report_s / 10); // looking at all machines takes time
    std::vector<Room> best;
    double best_cost = 1e18;
    const bool may_stop = j.rank <= Rank::high;
    const int tries = j.spec.one_zone ? static_cast<int>(s_.zones.size()) : 1;
    for (int z = 0; z < tries; ++z) {
        std::vector<Room> rooms;
        for (const auto& [id, m] : v_.machines)
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
            if (r.tasks <= 0)
                continue;
            in_zone += static_cast<std::uint32_t>(r.tasks);
            left -= r.tasks;
            cost += r.cost * r.tasks;
            chosen.push_back(std::move(r));
            if (left == 0)
                break;
        }
        if (left > 0 || cost >= best_cost)
            continue;
        best = std::move(chosen);
        best_cost = cost;
    }
    if (best.empty())
        return false;
    const bool ready = std::all_of(best.begin(), best.end(), [](const Room& r) { return r.ready; });
    if (!ready) {
        for (const auto& r : best)
            take_room(r, j);
        return false;
    }
    out_.gang_whole(j);
    for (const auto& r : best)
        for (int n = 0; n < r.tasks; ++n)
            out_.place(j, *r.machine);
    return true;
}

void Placement::schedule() {
    if (v_.types.empty() || v_.unproven())
        return;
    out_.mark_guarantees();
    choose_pool();
    auto shape = v_.common_shape;
    const auto jobs = waiting_jobs(v_, shape);
    waiting_ = jobs.size();
    begin_waiting(jobs);
    ordinary_waits_ = std::any_of(jobs.begin(), jobs.end(), [this](const Job* j) {
        return j->spec.shape == Shape::array && !j->spec.spot && quota_left(*j) > 0;
    });
    out_.set_common_shape(shape);
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
        const bool hopeless = std::any_of(failed.begin(), failed.end(),
                                          [&](const Failed& f) {
                                              const bool no_less =
                                                  f.spot ? j.spec.spot || !ordinary_waits_ : !j.spec.spot;
                                              return f.each.fits(j.spec.each) && no_less;
                                          }) &&
                              j.rank > Rank::high; // room may have been made for those
        if (!hopeless) {
            if (j.spec.shape == Shape::gang) {
                if (place_gang(j))
                    budget -= static_cast<int>(j.spec.tasks);
            } else if (j.spec.shape == Shape::service) {
                budget -= place_service(j);
            } else if (j.spec.spread || j.spec.one_zone) {
                budget -= place_single(j, 1e18);
            } else {
                std::vector<const Job*> batch{&j};
                std::size_t total = j.pending.size();
                for (std::size_t i = k + 1; i < jobs.size() && total < static_cast<std::size_t>(s_.ops.batch); ++i) {
                    const auto& o = jobs[i]->spec;
                    if (o.shape == Shape::gang || o.spread || o.one_zone || jobs[i]->rank != j.rank)
                        break;
                    batch.push_back(jobs[i]);
                    total += jobs[i]->pending.size();
                }
                int n = 0;
                while (budget > 0 && (n = place_batch(batch, s_.ops.batch, 1e18)) > 0)
                    budget -= n;
            }
        }
        if (j.pending.empty() || j.live == j.spec.tasks)
            continue;
        if (budget <= 0)
            break;
        if (plain && j.spec.shape != Shape::gang && quota_left(j) > 0)
            failed.push_back({j.spec.each, j.spec.spot});
        if (j.spec.shape != Shape::gang && j.rank <= Rank::high && v_.now >= j.room_until) {
            out_.room_asked(j, v_.now + s_.report_s / 2);
            const double left = j.ready + patience_s(v_, j) - v_.now;
            if (left > 0)
                await_room(j, static_cast<int>(j.spec.tasks), left, j.rank);
            else
                make_room(j, 1e18);
        }
    }
    if (budget <= 0)
        out_.touch();
}

// A machine that is taken back: what saves is told to save, what cannot end in time is stopped
// so that it starts elsewhere at once.
void Placement::drain_noticed() {
    for (const auto& [id, m] : v_.machines) {
        if (!m->draining || m->entries.empty())
            continue;
        for (auto& owned : m->entries) {
            auto& e = *owned;
            const auto& s = e.job->spec;
            if (e.stop || e.phase < Phase::sent)
                continue;
            const double left = m->notice_until - v_.now;
            const double rest = s.estimate_s > 0 && e.running_at >= 0 ? s.estimate_s - (v_.now - e.running_at) : 1e9;
            if (s.checkpoint_s <= 0 && rest > 0 && rest < left / 2)
                continue;
            out_.stop(e, s.checkpoint_s > 0 ? s.save_s + 1 : 0);
        }
    }
}

void Placement::find_slow() {
    if (v_.now < next_slow_)
        return;
    next_slow_ = v_.now + s_.report_s / 3;
    for (const auto& [id, m] : v_.machines) {
        if (!serves(v_, *m) || v_.now < m->slow_until)
            continue;
        int over = 0;
        for (const auto& e : m->entries) {
            const auto& j = *e->job;
            if (e->phase != Phase::running || e->stop || j.spec.shape != Shape::array)
                continue;
            // The more of those that have started are through, the more the longest of them says.
            if (j.runs < few_runs || j.runs < j.running)
                continue;
            const double much = j.runs < most_through * j.running ? too_long : long_if_most_through;
            // Where it is as slow elsewhere, the task is long, not the machine: from a day on which the last
            // task of an import was restarted every 35 s for ever, and its pipeline with it.
            const int blamed = e->job->tasks[e->index].blamed;
            const double limit = much * j.longest_run * (1 << (2 * blamed)) + s_.report_s / 3;
            const double ran = v_.now - e->running_at;
            // One task may be longer than its siblings by itself, even the longest of thousands: two are the
            // machine's doing, or one that goes on and on. From quiet days on which each hour 70 machines were
            // taken for slow and the last task of a job, nearly through, began anew.
            if (ran < limit || (++over < 2 && ran < sure_of_one * limit))
                continue;
            out_.blame(*e);
            mark_slow(*m);
            break;
        }
    }
}

// A machine that is slow takes no work that has a speed for a while, longer each time; what has not
// run for long there starts again elsewhere.
void Placement::mark_slow(const Machine& m) {
    if (v_.now < m.slow_until)
        return;
    const auto slow = std::count_if(v_.machines.begin(), v_.machines.end(),
                                    [this](const auto& x) { return v_.now < x.second->slow_until; });
    if (static_cast<double>(slow) > most_slow * static_cast<double>(v_.machines.size()))
        return; // it is not them
    out_.slow(m, v_.now + 2 * s_.lease_s * (1 << std::min(m.slow_seen, 4)));
    out_.note(1, fmt::format("machine {} is slow", m.id));
    for (const auto& e : m.entries) {
        const auto& j = *e->job;
        if (e->stop || j.spec.shape != Shape::array || e->phase < Phase::sent)
            continue;
        const double whole = j.runs >= few_runs ? j.longest_run : std::max(1.0, j.spec.estimate_s) * v_.learned.bias();
        const double ran = e->phase == Phase::running ? v_.now - e->running_at : 0;
        if (ran > 2 * whole)
            continue; // nearly through all the same
        out_.stop(*e, j.spec.checkpoint_s > 0 ? 4 * j.spec.save_s + 1 : 0);
    }
}

} // namespace heronshift::policies
