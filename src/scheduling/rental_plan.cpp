#include "rental_plan.hpp"

#include "scheduling/batch_assignment.hpp"
#include "waiting_jobs.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace heronshift::scheduling {
namespace {

// A machine that costs up to this multiple of the lowest price for each task may be rented for any job. More expensive
// ones are rented only for gangs and services, and for arrays that would be late otherwise.
constexpr double cheap_ratio = 1.5;
// Relative price increase for each machine in the zone: among equal prices the zone with the fewest machines is chosen.
constexpr double crowded_zone = 0.001;
// A machine that is not up after this many times its boot time is not counted on.
constexpr double max_boots = 3;
constexpr int max_rentals_a_job = 200; // for each job in one plan, to bound the time that planning takes

bool is_accelerated_gang(const Job& job) {
    return job.spec.shape == Shape::gang && job.spec.each.gpus > 0;
}

// How many tasks of the job fit in the room; 0 if an amount in it is negative.
int fitting_tasks(const Job& job, const Resources& room) {
    return static_cast<int>(std::max(0.0, placement::fit_count(job.spec.each, room)));
}

} // namespace

bool is_ready_for_gang(const Machine& machine) {
    return machine.whole.gpus > 0 && !machine.spot && machine.firm.gpus <= 0;
}

RentalPlan::RentalPlan(const ClusterData& view, cluster::Proposals& out)
    : cluster_(view), settings_(view.settings), proposals_(out) {
    for (const auto& [id, machine] : cluster_.machines)
        count_machine(*machine);
    for (const auto& [claim, rental] : cluster_.rentals)
        count_rental(rental);
    for (const auto& room : coming_)
        count_capacity(room.free, room.free.cpus, room.spot);
    need_ = array_need(cluster_);
    list_sources();
}

void RentalPlan::count_machine(const Machine& machine) {
    if (machine.retiring && !machine.releasing)
        leaving_.push_back(&machine);
    if (machine.status != Status::lost)
        ++machines_in_zone_[machine.zone_name];
    const auto* type = cluster_.type_of(machine.type_name);
    if (machine.status == Status::booting && type != nullptr && !machine.releasing &&
        cluster_.now - machine.known_since < max_boots * type->boot_s)
        add_coming(*type, machine.zone_name, machine.spot);
    if (!serves(cluster_, machine) || machine.retiring)
        return;
    count_capacity(machine.whole, machine.whole.cpus - machine.firm.cpus, machine.spot);
    ready_for_gangs_ += is_ready_for_gang(machine);
}

void RentalPlan::count_rental(const Pending& rental) {
    machines_in_zone_[rental.zone] += rental.count;
    const auto* type = cluster_.type_of(rental.type);
    if (type == nullptr)
        return;
    for (int i = 0; i < rental.count; ++i)
        add_coming(*type, rental.zone, rental.spot);
}

void RentalPlan::add_coming(const MachineType& type, const std::string& zone, bool spot) {
    coming_.push_back({type.room, &type, zone, spot});
}

// Adds the CPUs of a machine that arrays can use. `whole` are all resources of the machine.
void RentalPlan::count_capacity(const Resources& whole, double cpus, bool spot) {
    capacity_.all += cpus;
    if (!spot && whole.gpus <= 0)
        capacity_.ordinary += cpus;
}

bool RentalPlan::is_refused(const std::string& key) const {
    const auto blocked = cluster_.no_capacity.find(key);
    return blocked != cluster_.no_capacity.end() && cluster_.now < blocked->second;
}

// Lists all combinations that can be rented: by type, then by zone, spot machines first.
void RentalPlan::list_sources() {
    const auto& zones = settings_.zones;
    for (const auto& type : cluster_.types)
        for (const auto& zone : type.zones) {
            if (std::find(zones.begin(), zones.end(), zone) == zones.end())
                continue;
            for (const bool spot : {true, false}) {
                auto key = fmt::format("{}/{}/{}", type.name, zone, spot);
                const bool refused = is_refused(key);
                sources_.push_back({std::move(key), &type, &zone, spot, refused, &machines_in_zone_[zone]});
            }
        }
}

// Whether arrays like this job would be late with the current and planned capacity.
bool RentalPlan::lacks_cpus_for(const Job& job) const {
    return capacity_.all < need_.all * array_reserve ||
           (!job.spec.spot && capacity_.ordinary < need_.ordinary * array_reserve);
}

bool RentalPlan::may_use(const Job& job, const ComingRoom& room) const {
    if ((room.spot && !job.spec.spot) || !allows(job.spec.types, room.type->name))
        return false;
    return job.spec.zone.empty() || job.spec.zone == room.zone;
}

// Assigns tasks to machines that are booting, requested or already planned. Returns the number of tasks left.
int RentalPlan::use_coming(const Job& job, int tasks) {
    for (auto& room : coming_) {
        if (tasks <= 0)
            break;
        if (!may_use(job, room))
            continue;
        const int count = std::min(tasks, fitting_tasks(job, room.free));
        room.free -= job.spec.each * count;
        tasks -= count;
    }
    return tasks;
}

// Cancels the retirement of machines that can run the tasks, since these machines are already up and need no boot time.
// Returns the number of tasks left.
int RentalPlan::use_leaving(const Job& job, int tasks) {
    while (tasks > 0 && (job.spec.shape != Shape::array || lacks_cpus_for(job))) {
        const auto* machine = keep_again(job);
        if (machine == nullptr)
            break;
        count_capacity(machine->whole, machine->whole.cpus, machine->spot);
        tasks -= static_cast<int>(placement::fit_count(job.spec.each, machine->whole - machine->firm));
    }
    return tasks;
}

// The fullest retiring machine that can run a task of the job. Null if there is none.
const Machine* RentalPlan::fullest_leaving(const Job& job) const {
    const Machine* fullest = nullptr;
    const bool gang = job.spec.shape == Shape::gang;
    for (const auto* machine : leaving_) {
        const auto& in_the_way = gang ? machine->firm : machine->used;
        if (!job.spec.each.fits(machine->whole - in_the_way) || !usable(cluster_, *machine, job, true))
            continue;
        if (fullest == nullptr || machine->used.cpus > fullest->used.cpus)
            fullest = machine;
    }
    return fullest;
}

const Machine* RentalPlan::keep_again(const Job& job) {
    const auto* machine = fullest_leaving(job);
    if (machine == nullptr)
        return nullptr;
    proposals_.retire(*machine, false);
    std::erase(leaving_, machine);
    return machine;
}

// The entry of `sources_` with the lowest price for a task of the job among those that are available. Null if there is
// none, or, unless `at_any_price`, if it costs far more than the cheapest one that the job may use, available or not.
const RentalPlan::Source* RentalPlan::cheapest_source(const Job& job, bool at_any_price) const {
    double lowest_cost = no_cost_limit, lowest_price = no_cost_limit;
    const Source* cheapest = nullptr;
    const MachineType* type = nullptr;
    bool suitable = false;
    double tasks = 0;
    for (const auto& source : sources_) {
        if (source.type != type) { // entries of one type are adjacent
            type = source.type;
            suitable = allows(job.spec.types, type->name) && job.spec.each.fits(type->room);
            tasks = suitable ? placement::fit_count(job.spec.each, type->room) : 0;
        }
        if (!suitable || (source.spot && !job.spec.spot) || (!job.spec.zone.empty() && job.spec.zone != *source.zone))
            continue;
        const double price = (source.spot ? type->spot_price : type->price) / tasks;
        lowest_price = std::min(lowest_price, price);
        if (source.refused)
            continue;
        const double cost = price * (1 + crowded_zone * *source.machines_in_zone);
        if (cost < lowest_cost) {
            lowest_cost = cost;
            cheapest = &source;
        }
    }
    const bool dear = lowest_cost > lowest_price * cheap_ratio;
    return dear && !at_any_price ? nullptr : cheapest;
}

// Plans one more machine of this type, zone and kind. Returns false if a single request cannot ask for more machines.
bool RentalPlan::rent_one(const Source& source) {
    auto& rental = wanted_[source.key];
    if (rental.type.empty())
        rental = {source.type->name, *source.zone, source.spot, 0, cluster_.now, true};
    if (rental.count >= max_rented)
        return false;
    ++rental.count;
    ++*source.machines_in_zone;
    count_capacity(source.type->room, source.type->room.cpus, source.spot);
    add_coming(*source.type, *source.zone, source.spot);
    return true;
}

// Finds machines for this number of tasks of the job.
void RentalPlan::find_places(const Job& job, int tasks) {
    const bool array = job.spec.shape == Shape::array;
    for (int rented = 0; tasks > 0 && rented < max_rentals_a_job; ++rented) {
        tasks = use_leaving(job, use_coming(job, tasks));
        if (tasks <= 0)
            break;
        const auto* source = cheapest_source(job, !array || lacks_cpus_for(job));
        if (source == nullptr || !rent_one(*source))
            break;
    }
}

void RentalPlan::serve_waiting() {
    auto shape = cluster_.common_shape;
    const auto jobs = waiting_jobs(cluster_, shape);
    proposals_.set_common_shape(shape);
    for (const auto* job : jobs) {
        int tasks = std::min(static_cast<int>(job->pending.size()), cluster_.quota_room(*job));
        if (is_accelerated_gang(*job)) {
            const int served = std::min(tasks, ready_for_gangs_);
            tasks -= served;
            ready_for_gangs_ -= served;
        }
        find_places(*job, tasks);
    }
}

void RentalPlan::prepare_for_gang(double machines) {
    const Job* gang = nullptr; // any known gang serves as an estimate of the next one
    for (const auto& [id, job] : cluster_.jobs)
        if (is_accelerated_gang(*job) && job->final == Final::none && !job->waits)
            gang = job.get();
    if (gang != nullptr)
        find_places(*gang, static_cast<int>(machines) - ready_for_gangs_);
}

bool RentalPlan::is_on_the_way(const Pending& rental) const {
    return std::any_of(cluster_.rentals.begin(), cluster_.rentals.end(), [&rental](const auto& entry) {
        const Pending& other = entry.second;
        return other.type == rental.type && other.zone == rental.zone && other.spot == rental.spot;
    });
}

void RentalPlan::propose() {
    for (const auto& [key, rental] : wanted_)
        if (!is_on_the_way(rental))
            proposals_.rent(rental);
}

} // namespace heronshift::scheduling
