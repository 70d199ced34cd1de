// Capacity: what to rent, keep, empty and give back.
#include "heronshift/scheduling/autoscaler.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace heronshift::scheduling {
namespace {

constexpr double min_charged_s = 60; // a machine costs at least this, so it is not given back before
constexpr double cheap_ratio = 1.5;  // of the lowest price a CPU second: such machines are always worth renting
constexpr double window_used = 0.4;  // of the time an array has left, since estimates are often wrong by half
constexpr double quiet_gaps = 8, sure_gaps = 20; // times the usual time between two arrays, known from so many
constexpr double spare = 1.15;                   // of what arrays need, kept
constexpr double silent_heartbeats = 1.5, dead_heartbeats = 2.5; // intervals without a word
constexpr double max_silent = 0.05;                              // of a zone's ordinary machines; beyond, it is a cut
constexpr double no_worker_leases = 1.5, cut_leases = 4;         // without hearing us, alone or with many of its zone
constexpr double spare_gangs = 0.25;                             // of the machines in use by gangs, kept free of gangs

// How many tasks of one shape a machine takes.
double fit_of(const Resources& each, const Resources& room) {
    double fit = room.cpus / each.cpus;
    if (each.memory_gb > 0)
        fit = std::min(fit, room.memory_gb / each.memory_gb);
    if (each.gpus > 0)
        fit = std::min(fit, room.gpus / each.gpus);
    return std::floor(fit + 1e-6);
}

} // namespace

// The CPUs that arrays need to be in time: of all jobs due before some moment, the work left over the
// time left, though never more than all their tasks at once. For those that may not use spot machines it is
// counted on its own: on a day with spot room to spare they waited 160 s for an ordinary machine.
Autoscaler::Cpus Autoscaler::array_need() const {
    struct Due {
        double window, work, at_once;
        bool spot;
    };
    std::vector<Due> list;
    for (const auto& [id, job] : cluster_.jobs) {
        if (job->spec.shape != Shape::array || job->final != Final::none || job->waits)
            continue;
        const double each = job->spec.each.cpus, run = std::max(1.0, job->spec.estimate_s) * cluster_.learned.bias();
        const double waiting = static_cast<double>(job->pending.size());
        const double due = cluster_.due_at(*job);
        double window = due < 0 ? 10 * run : (due - cluster_.now - run) * window_used;
        if (job->guaranteed)
            for (const auto& objective : settings_.objectives)
                if (objective.kind == "guarantee")
                    window = std::min(window, job->ready + objective.within_s - cluster_.now);
        list.push_back({std::max(window, 1e-3), each * run * (waiting + 0.5 * job->live), each * (waiting + job->live),
                        job->spec.spot});
    }
    std::sort(list.begin(), list.end(), [](const Due& a, const Due& b) { return a.window < b.window; });
    const auto need = [&list](bool ordinary) {
        double most = 0, work = 0, at_once = 0;
        for (const auto& d : list) {
            if (ordinary && d.spot)
                continue;
            work += d.work;
            at_once += d.at_once;
            most = std::max(most, std::min(at_once, work / d.window));
        }
        return most;
    };
    return {need(false), need(true)};
}

Autoscaler::Cpus Autoscaler::offered() const {
    const auto& l = cluster_.learned;
    // Where arrays came all the time and none has come for many times as long as between two, no more will for a
    // while: at the end of a day the fleet stood idle for minutes.
    if (l.gaps >= sure_gaps &&
        cluster_.now - std::max(l.offered_at, cluster_.unserved_at) > quiet_gaps * l.gap_s + settings_.report_s)
        return {};
    const double left = l.bias() * std::exp(-(cluster_.now - l.offered_at) / cluster_.average_s());
    return {l.offered * left, l.offered_ordinary * left};
}

double Autoscaler::price_per_cpu(const MachineType& type, bool spot) {
    return (spot ? type.spot_price : type.price) / type.room.cpus;
}

// All kinds of machines that may be had at all, in the order of types, zones and spot first.
void Autoscaler::list_sources(std::map<std::string, int>& in_zone) {
    sources_.clear();
    for (const auto& type : cluster_.types)
        for (const auto& z : type.zones)
            for (const bool spot : {true, false}) {
                if (std::find(settings_.zones.begin(), settings_.zones.end(), z) == settings_.zones.end())
                    continue;
                auto key = fmt::format("{}/{}/{}", type.name, z, spot);
                const auto blocked = cluster_.no_capacity.find(key);
                const bool refused = blocked != cluster_.no_capacity.end() && cluster_.now < blocked->second;
                sources_.push_back({std::move(key), &type, &z, spot, refused, &in_zone[z]});
            }
}

// The cheapest kind of machine that a job's task may use and that may be had.
const Autoscaler::Source* Autoscaler::cheapest_source(const Job& job, bool dear) const {
    double best = 1e18, lowest = 1e18;
    const Source* cheapest = nullptr;
    const MachineType* type = nullptr;
    bool suitable = false;
    double fit = 0;
    for (const auto& s : sources_) {
        if (s.type != type) {
            type = s.type;
            suitable = allows(job.spec.types, type->name) && job.spec.each.fits(type->room);
            fit = suitable ? fit_of(job.spec.each, type->room) : 0;
        }
        if (!suitable || (s.spot && !job.spec.spot) || (!job.spec.zone.empty() && job.spec.zone != *s.zone))
            continue;
        const double each = (s.spot ? type->spot_price : type->price) / fit;
        lowest = std::min(lowest, each);
        if (s.refused)
            continue;
        const double cost = each * (1 + 0.001 * *s.in_zone);
        if (cost < best) {
            best = cost;
            cheapest = &s;
        }
    }
    if (!dear && best > lowest * cheap_ratio)
        return nullptr;
    return cheapest;
}

// What waits and finds no place on machines that are up, booting or asked for is rented for: one
// request a round for each type, zone and kind. Dear machines are rented for arrays only as far as
// these would be late otherwise.
void Autoscaler::plan_capacity() {
    if (cluster_.types.empty())
        return;
    struct Coming {
        Resources free;
        const MachineType* type;
        std::string zone;
        bool spot;
    };
    std::vector<Coming> coming;
    std::map<std::string, int> in_zone;
    double have = 0, have_ordinary = 0; // CPUs that arrays have or will have
    int ready = 0;                      // machines that a gang may have, if need be by taking the place of arrays
    leaving_.clear();
    for (const auto& [id, machine] : cluster_.machines) {
        if (machine->retiring && !machine->releasing)
            leaving_.push_back(machine.get());
        if (machine->status != Status::lost)
            ++in_zone[machine->zone_name];
        const auto* t = cluster_.type_of(machine->type_name);
        if (machine->status == Status::booting && t != nullptr && !machine->releasing &&
            cluster_.now - machine->known_since < 3 * t->boot_s)
            coming.push_back({t->room, t, machine->zone_name, machine->spot});
        if (!serves(cluster_, *machine) || machine->retiring)
            continue;
        have += machine->whole.cpus - machine->firm.cpus;
        if (plain(*machine))
            have_ordinary += machine->whole.cpus - machine->firm.cpus;
        ready += is_ready(*machine);
    }
    for (const auto& [claim, rental] : cluster_.rentals) {
        in_zone[rental.zone] += rental.count;
        if (const auto* t = cluster_.type_of(rental.type); t != nullptr)
            for (int i = 0; i < rental.count; ++i)
                coming.push_back({t->room, t, rental.zone, rental.spot});
    }
    for (const auto& c : coming) {
        have += c.free.cpus;
        if (!c.spot && c.free.gpus <= 0)
            have_ordinary += c.free.cpus;
    }
    const auto need = array_need();
    const auto short_of = [&](const Job& job) {
        return have < need.all * spare || (!job.spec.spot && have_ordinary < need.ordinary * spare);
    };

    list_sources(in_zone);
    std::map<std::string, Pending> wanted;
    auto source_for = [&](const Job& job, int left) {
        const bool array = job.spec.shape == Shape::array;
        for (int guard = 0; left > 0 && guard < 200; ++guard) {
            for (auto& c : coming) {
                if (left <= 0)
                    break;
                if ((c.spot && !job.spec.spot) || !allows(job.spec.types, c.type->name))
                    continue;
                if (!job.spec.zone.empty() && job.spec.zone != c.zone)
                    continue;
                const int n = std::min(left, static_cast<int>(std::max(0.0, fit_of(job.spec.each, c.free))));
                c.free -= job.spec.each * n;
                left -= n;
            }
            // A machine on its way out is up already and costs no boot.
            while (left > 0 && (!array || short_of(job))) {
                auto* machine = keep_again(job);
                if (machine == nullptr)
                    break;
                have += machine->whole.cpus;
                if (plain(*machine))
                    have_ordinary += machine->whole.cpus;
                left -= static_cast<int>(fit_of(job.spec.each, machine->whole - machine->firm));
            }
            if (left <= 0)
                break;
            const auto* source = cheapest_source(job, !array || short_of(job));
            if (source == nullptr)
                break;
            auto& w = wanted[source->key];
            if (w.type.empty())
                w = {source->type->name, *source->zone, source->spot, 0, cluster_.now, true};
            if (w.count >= max_rented)
                break;
            ++w.count;
            ++*source->in_zone;
            const auto* t = source->type;
            have += t->room.cpus;
            if (!source->spot && t->room.gpus <= 0)
                have_ordinary += t->room.cpus;
            coming.push_back({t->room, t, *source->zone, source->spot});
        }
    };
    auto shape = cluster_.common_shape;
    const auto jobs = waiting_jobs(cluster_, shape);
    proposals_.set_common_shape(shape);
    const Job* gang = nullptr;
    for (const auto* job : jobs) {
        int left = std::min(static_cast<int>(job->pending.size()), cluster_.quota_room(*job));
        if (job->spec.shape == Shape::gang && job->spec.each.gpus > 0) {
            const int n = std::min(left, ready);
            left -= n;
            ready -= n;
        }
        source_for(*job, left);
    }
    // Machines that boot for longer than a gang may wait must be there before it comes.
    for (const auto& [id, job] : cluster_.jobs)
        if (job->spec.shape == Shape::gang && job->spec.each.gpus > 0 && job->final == Final::none && !job->waits)
            gang = job.get();
    if (gang != nullptr)
        source_for(*gang, static_cast<int>(keep_ready_) - ready);
    queue_rentals(wanted);
}

// A machine that a gang may have: without a gang, whatever else runs there.
bool Autoscaler::is_ready(const Machine& machine) {
    return machine.whole.gpus > 0 && !machine.spot && machine.firm.gpus <= 0;
}

// The fullest machine on its way out that can take a task of the job is kept after all.
const Machine* Autoscaler::keep_again(const Job& job) {
    const Machine* best = nullptr;
    const bool gang = job.spec.shape == Shape::gang;
    for (const auto* machine : leaving_) {
        const bool good = job.spec.each.fits(machine->whole - (gang ? machine->firm : machine->used)) &&
                          usable(cluster_, *machine, job, true);
        if (good && (best == nullptr || machine->used.cpus > best->used.cpus))
            best = machine;
    }
    if (best == nullptr)
        return nullptr;
    proposals_.retire(*best, false);
    std::erase(leaving_, best);
    return best;
}

void Autoscaler::queue_rentals(std::map<std::string, Pending>& wanted) {
    for (auto& [key, pending] : wanted) {
        auto& rental = pending;
        const bool busy = std::any_of(cluster_.rentals.begin(), cluster_.rentals.end(), [&](const auto& r) {
            return r.second.type == rental.type && r.second.zone == rental.zone && r.second.spot == rental.spot;
        });
        if (busy)
            continue;
        proposals_.rent(rental);
    }
}

// What the cluster has beyond its need is emptied, the dearest first: such a machine takes no new
// work, its arrays end by themselves and its replicas move, a few a round.
void Autoscaler::plan_shrink() {
    // A new leader first hears what runs where, and what comes.
    if (cluster_.term > 1 && cluster_.now - cluster_.started < settings_.lease_s)
        return;
    double have = 0, need = 0, largest_gang = 0, gang_machines = 0, ready = 0;
    double have_ordinary = 0, need_ordinary = 0; // of these: on ordinary machines without accelerators
    std::vector<const Machine*> list;
    std::unordered_map<const Machine*, double> lasting;
    for (const auto& [id, machine] : cluster_.machines) {
        if (!serves(cluster_, *machine) || machine->retiring)
            continue;
        double services = 0, gangs = 0;
        for (const auto& entry : machine->entries) {
            if (entry->job->spec.shape == Shape::service)
                services += entry->job->spec.each.cpus;
            if (entry->job->spec.shape == Shape::gang) {
                gangs += entry->job->spec.each.cpus;
                largest_gang = std::max(largest_gang, static_cast<double>(entry->job->spec.tasks));
            }
        }
        have += machine->whole.cpus;
        const double lasts =
            services + gangs + (machine->pool ? cluster_.service_shape.cpus * 2 : 0); // usable() leaves those
        need += lasts;
        if (plain(*machine)) {
            have_ordinary += machine->whole.cpus;
            need_ordinary += lasts;
        }
        gang_machines += gangs > 0;
        ready += is_ready(*machine);
        lasting[machine.get()] = services;
        const bool paid = cluster_.now - machine->known_since < min_charged_s;
        if (!machine->pool && gangs <= 0 && !paid &&
            (machine->reserved_for == nullptr || cluster_.now >= machine->reserved_until))
            list.push_back(machine.get());
    }
    for (const auto& [id, job] : cluster_.jobs) {
        if (job->final != Final::none || job->pending.empty())
            continue;
        if (job->spec.shape != Shape::array)
            need += job->spec.each.cpus * static_cast<double>(job->pending.size());
        if (job->spec.shape == Shape::gang)
            largest_gang = std::max(largest_gang, static_cast<double>(job->spec.tasks));
    }
    const auto due = array_need(), brought = offered();
    proposals_.log(
        LogLine::Level::debug,
        fmt::format("capacity: {:.0f} CPUs ({:.0f} ordinary), {:.0f} for services and gangs, arrays need {:.0f} "
                    "({:.0f}) and bring {:.0f} ({:.0f})",
                    have, have_ordinary, need, due.all, due.ordinary, brought.all, brought.ordinary));
    need += std::max(due.all, brought.all) * spare;
    need_ordinary += std::max(due.ordinary, brought.ordinary) * spare;
    std::sort(list.begin(), list.end(), [&](const Machine* a, const Machine* b) {
        const double pa = price_per_cpu(cluster_.types[static_cast<std::size_t>(a->type)], a->spot);
        const double pb = price_per_cpu(cluster_.types[static_cast<std::size_t>(b->type)], b->spot);
        if (pa != pb)
            return pa > pb;
        if (lasting[a] != lasting[b])
            return lasting[a] < lasting[b];
        if (a->used.cpus != b->used.cpus)
            return a->used.cpus < b->used.cpus;
        return a->id > b->id;
    });
    keep_ready_ = gang_machines * spare_gangs + largest_gang;
    for (auto* machine : list) {
        if (have - machine->whole.cpus < need)
            return;
        if (plain(*machine)) {
            if (have_ordinary - machine->whole.cpus < need_ordinary)
                continue;
            have_ordinary -= machine->whole.cpus;
        }
        if (machine->whole.gpus > 0 && !machine->spot) {
            if (ready - 1 < keep_ready_)
                continue;
            --ready;
        }
        have -= machine->whole.cpus;
        proposals_.retire(*machine, true);
        proposals_.log(LogLine::Level::debug, fmt::format("machine {} is to become empty, {:.0f} of its CPUs in use",
                                                          machine->id, machine->used.cpus));
    }
}

// A spot machine that falls silent has mostly been taken without notice. Given back it is surely gone
// and its tasks start elsewhere at once, long before its lease would have run out. Not so where
// ordinary machines of the zone are silent too: that is a cut, and behind it work goes on.
void Autoscaler::watch_silent() {
    if (cluster_.now < next_silent_)
        return;
    next_silent_ = cluster_.now + settings_.report_s / 6;
    struct Zone {
        double up = 0, silent = 0;
    };
    std::map<std::pair<int, bool>, Zone> zones;
    std::size_t spot_up = 0;
    std::vector<const Machine*> silent;
    for (const auto& [id, machine] : cluster_.machines) {
        if (machine->status != Status::up || machine->releasing)
            continue;
        spot_up += machine->spot;
        const double since =
            cluster_.now - std::max({machine->last_heartbeat_at, cluster_.started, machine->known_since});
        const bool unlisted = machine->type < 0; // known from records only: mostly gone before we became leader
        auto& z = zones[{machine->zone, machine->spot}];
        if (!unlisted)
            ++z.up;
        if (since < silent_heartbeats * settings_.report_s)
            continue;
        if (!unlisted)
            ++z.silent;
        silent.push_back(machine.get());
        if (cluster_.now - machine->asked_at < settings_.report_s || machine->batch != 0)
            continue;
        proposals_.ask(*machine);
    }
    proposals_.count_spot(spot_up);
    for (const auto* machine : silent) {
        if (machine->type < 0 && !cluster_.asked_all)
            continue;
        if ((!machine->spot && machine->type >= 0) ||
            cluster_.now - std::max({machine->last_heartbeat_at, cluster_.started, machine->known_since}) <
                dead_heartbeats * settings_.report_s)
            continue;
        const auto& ordinary = zones[{machine->zone, false}];
        const auto& spot = zones[{machine->zone, true}];
        const bool taken = machine->draining && cluster_.now > machine->notice_until;
        if (!taken && (ordinary.silent > 1 + max_silent * ordinary.up || spot.silent > 1 + spot.up / 2))
            continue;
        proposals_.presume_dead(*machine);
    }
}

// One that does not hear us keeps nothing for longer than a lease and can be given nothing. Alone it is given
// back; with many others of its zone it is cut off, and worth waiting for a while.
bool Autoscaler::inbound_unreachable_for_long(
    const Machine& machine, const std::map<int, std::pair<int, int>>& inbound_unreachable_by_zone) const {
    if (!machine.inbound_unreachable())
        return false;
    const auto& [inbound_unreachable, up] = inbound_unreachable_by_zone.at(machine.zone);
    const bool cut = inbound_unreachable > 1 + max_silent * up;
    return cluster_.now - machine.inbound_unreachable_since > (cut ? cut_leases : no_worker_leases) * settings_.lease_s;
}

void Autoscaler::return_machines() {
    std::vector<std::string> out;
    std::map<int, std::pair<int, int>> inbound_unreachable_by_zone; // by zone, and those that are up
    for (const auto& [id, machine] : cluster_.machines) {
        auto& z = inbound_unreachable_by_zone[machine->zone];
        z.first += machine->inbound_unreachable();
        z.second += machine->status == Status::up;
    }
    for (const auto& [id, mp] : cluster_.machines) {
        const auto& machine = *mp;
        if (out.size() >= max_returned)
            break;
        if (machine.release_asked || cluster_.now < machine.release_retry)
            continue;
        const auto* type = machine.type >= 0 ? &cluster_.types[static_cast<std::size_t>(machine.type)] : nullptr;
        const double boot = type != nullptr ? type->boot_s : settings_.lease_s;
        bool give_back = machine.releasing;
        if (machine.status == Status::booting && cluster_.now - machine.known_since > 5 * boot + settings_.lease_s)
            give_back = true;
        if (machine.status == Status::lost && machine.entries.empty() &&
            (machine.bad || cluster_.now - machine.lease_started_at > 2 * settings_.lease_s))
            give_back = true;
        if (machine.bad && machine.status == Status::up) {
            for (auto& entry : machine.entries)
                proposals_.stop(*entry, entry->job->spec.checkpoint_s > 0 ? entry->job->spec.save_s + 1 : 0);
            if (machine.entries.empty())
                give_back = true;
        }
        const bool unwanted = machine.retiring ||
                              (settings_.ops.empty_s > 0 && cluster_.now - machine.empty_since > settings_.ops.empty_s);
        if (machine.status == Status::up && machine.entries.empty() && !machine.draining && machine.empty_since >= 0 &&
            unwanted && cluster_.now - cluster_.started > settings_.report_s && machine.batch == 0)
            give_back = true;
        if (machine.presumed_dead || inbound_unreachable_for_long(machine, inbound_unreachable_by_zone))
            give_back = true;
        if (!give_back || (!machine.entries.empty() && !machine.presumed_dead))
            continue;
        proposals_.give_back(machine);
        out.push_back(id);
    }
    if (out.empty())
        return;
    proposals_.log(LogLine::Level::info, fmt::format("returning {} machines, {} first", out.size(), out.front()));
    proposals_.release(std::move(out));
}

// One line a kind of machine, for operators who watch the fleet.
void Autoscaler::log_fleet() {
    struct Sum {
        int up = 0, booting = 0, pool = 0, empty = 0;
        double room = 0, services = 0, gangs = 0, arrays = 0;
    };
    std::map<std::string, Sum> kinds;
    for (const auto& [id, machine] : cluster_.machines) {
        auto& s = kinds[machine->type_name + (machine->spot ? " (spot)" : "")];
        s.booting += machine->status == Status::booting;
        if (machine->status != Status::up)
            continue;
        ++s.up;
        s.pool += machine->pool;
        s.empty += machine->entries.empty();
        s.room += machine->whole.cpus;
        for (const auto& entry : machine->entries)
            (entry->job->spec.shape == Shape::service ? s.services
             : entry->job->spec.shape == Shape::gang  ? s.gangs
                                                      : s.arrays) += entry->job->spec.each.cpus;
    }
    for (const auto& [kind, s] : kinds)
        proposals_.log(
            LogLine::Level::debug,
            fmt::format("fleet: {}: {} up ({} pool, {} empty), {} booting, of {:.0f} CPUs {:.0f} in services, {:.0f} "
                        "in gangs, {:.0f} in arrays",
                        kind, s.up, s.pool, s.empty, s.booting, s.room, s.services, s.gangs, s.arrays));
    std::map<Phase, std::size_t> phases;
    for (const auto& [id, machine] : cluster_.machines)
        for (const auto& entry : machine->entries)
            ++phases[entry->phase];
    proposals_.log(
        LogLine::Level::debug,
        fmt::format("tasks: {} placed, {} being stored, {} to be sent, {} sent, {} fetching, {} waiting, {} running",
                    phases[Phase::intent], phases[Phase::storing], phases[Phase::stored], phases[Phase::sent],
                    phases[Phase::fetching], phases[Phase::waiting], phases[Phase::running]));
    std::map<Priority, std::size_t> waiting;
    for (const auto& [id, job] : cluster_.jobs)
        if (job->final == Final::none)
            waiting[job->priority] += job->pending.size();
    for (const auto& [priority, n] : waiting)
        proposals_.log(LogLine::Level::debug,
                       fmt::format("waiting: {} tasks of rank {}", n, static_cast<int>(priority)));
}

} // namespace heronshift::scheduling
