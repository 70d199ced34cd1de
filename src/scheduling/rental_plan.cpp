#include "rental_plan.hpp"

#include "scheduling/batch_assignment.hpp"
#include "waiting_jobs.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace heronshift::scheduling {
namespace {

// A machine that costs up to this multiple of the lowest price for each task may be rented for any job. More expensive
// ones are rented only for gangs and services, and for arrays that would be late otherwise.
constexpr double max_price_ratio = 1.5;
// Relative price increase for each machine in the zone: among equal prices the zone with the fewest machines is chosen.
constexpr double zone_machine_penalty = 0.001;
// A machine that is not up after this many times its boot time is not counted on.
constexpr double max_boot_times = 3;
constexpr int max_rentals_per_job = 200; // for each job in one plan, to bound the time that planning takes

bool is_accelerated_gang(const Job& job) {
    return job.spec.shape == Shape::gang && job.spec.each.gpus > 0;
}

// How many tasks of the job fit in the room; 0 if an amount in it is negative.
int fitting_tasks(const Job& job, const Resources& room) {
    return static_cast<int>(std::max(0.0, placement::fit_count(job.spec.each, room)));
}

} // namespace

bool is_gang_ready(const Machine& machine) {
    return machine.total.gpus > 0 && !machine.spot && machine.non_preemptible.gpus <= 0;
}

RentalPlan::RentalPlan(const ClusterData& view, cluster::Proposals& out)
    : cluster_(view), settings_(view.settings), proposals_(out) {
    for (const auto& [id, machine] : cluster_.machines)
        count_machine(*machine);
    for (const auto& [claim, rental] : cluster_.rentals)
        count_rental(rental);
    for (const auto& room : incoming_)
        count_capacity(room.free, room.free.cpus, room.spot);
    need_ = array_cpu_demand(cluster_);
    list_offerings();
}

void RentalPlan::count_machine(const Machine& machine) {
    if (machine.retiring && !machine.releasing)
        retiring_.push_back(&machine);
    if (machine.status != MachineStatus::lost)
        ++machines_in_zone_[machine.zone_name];
    const auto* type = cluster_.type_of(machine.type_name);
    if (machine.status == MachineStatus::booting && type != nullptr && !machine.releasing &&
        cluster_.now - machine.known_since < max_boot_times * type->boot_s)
        add_incoming(*type, machine.zone_name, machine.spot);
    if (!counts_as_capacity(cluster_, machine) || machine.retiring)
        return;
    count_capacity(machine.total, machine.cpus_left_beside(machine.non_preemptible), machine.spot);
    gang_ready_machines_ += is_gang_ready(machine);
}

void RentalPlan::count_rental(const PendingRental& rental) {
    machines_in_zone_[rental.zone] += rental.count;
    const auto* type = cluster_.type_of(rental.type);
    if (type == nullptr)
        return;
    for (int i = 0; i < rental.count; ++i)
        add_incoming(*type, rental.zone, rental.spot);
}

void RentalPlan::add_incoming(const MachineType& type, const std::string& zone, bool spot) {
    incoming_.push_back({type.room, &type, zone, spot});
}

// Adds the CPUs of a machine that arrays can use. `total` are all resources of the machine.
void RentalPlan::count_capacity(const Resources& total, double cpus, bool spot) {
    capacity_.total += cpus;
    if (!spot && total.gpus <= 0)
        capacity_.on_demand += cpus;
}

bool RentalPlan::is_unavailable(const std::string& key) const {
    const auto blocked = cluster_.no_capacity.find(key);
    return blocked != cluster_.no_capacity.end() && cluster_.now < blocked->second;
}

// Lists all combinations that can be rented: by type, then by zone, spot machines first.
void RentalPlan::list_offerings() {
    const auto& zones = settings_.zones;
    for (const auto& type : cluster_.types)
        for (const auto& zone : type.zones) {
            if (std::find(zones.begin(), zones.end(), zone) == zones.end())
                continue;
            for (const bool spot : {true, false}) {
                auto key = fmt::format("{}/{}/{}", type.name, zone, spot);
                const bool unavailable = is_unavailable(key);
                offerings_.push_back({std::move(key), &type, &zone, spot, unavailable, &machines_in_zone_[zone]});
            }
        }
}

// Whether arrays like this job would be late with the current and planned capacity.
bool RentalPlan::lacks_cpus_for(const Job& job) const {
    return capacity_.total < need_.total * array_capacity_margin ||
           (!job.spec.spot && capacity_.on_demand < need_.on_demand * array_capacity_margin);
}

bool RentalPlan::may_use(const Job& job, const IncomingRoom& room) const {
    if ((room.spot && !job.spec.spot) || !allows(job.spec.types, room.type->name))
        return false;
    return job.spec.zone.empty() || job.spec.zone == room.zone;
}

// Assigns tasks to machines that are booting, requested or already planned. Returns the number of tasks left.
int RentalPlan::use_incoming(const Job& job, int tasks) {
    for (auto& room : incoming_) {
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
int RentalPlan::use_retiring(const Job& job, int tasks) {
    while (tasks > 0 && (job.spec.shape != Shape::array || lacks_cpus_for(job))) {
        const auto* machine = cancel_retirement(job);
        if (machine == nullptr)
            break;
        count_capacity(machine->total, machine->total.cpus, machine->spot);
        tasks -= static_cast<int>(placement::fit_count(job.spec.each, machine->total - machine->non_preemptible));
    }
    return tasks;
}

// The fullest retiring machine that can run a task of the job. Null if there is none.
const Machine* RentalPlan::fullest_retiring(const Job& job) const {
    const Machine* fullest = nullptr;
    const bool gang = job.spec.shape == Shape::gang;
    for (const auto* machine : retiring_) {
        const auto& in_the_way = gang ? machine->non_preemptible : machine->used;
        if (!job.spec.each.fits(machine->total - in_the_way) || !usable(cluster_, *machine, job, true))
            continue;
        if (fullest == nullptr || machine->used.cpus > fullest->used.cpus)
            fullest = machine;
    }
    return fullest;
}

const Machine* RentalPlan::cancel_retirement(const Job& job) {
    const auto* machine = fullest_retiring(job);
    if (machine == nullptr)
        return nullptr;
    proposals_.set_retiring(*machine, false);
    std::erase(retiring_, machine);
    return machine;
}

// The entry of `offerings_` with the lowest price for a task of the job among those that are available. Null if there
// is none, or, unless `at_any_price`, if it costs far more than the cheapest one that the job may use, available or
// not.
const RentalPlan::Offering* RentalPlan::cheapest_offering(const Job& job, bool at_any_price) const {
    double lowest_cost = no_cost_limit, lowest_price = no_cost_limit;
    const Offering* cheapest = nullptr;
    const MachineType* type = nullptr;
    bool suitable = false;
    double tasks = 0;
    for (const auto& offering : offerings_) {
        if (offering.type != type) { // entries of one type are adjacent
            type = offering.type;
            suitable = allows(job.spec.types, type->name) && job.spec.each.fits(type->room);
            tasks = suitable ? placement::fit_count(job.spec.each, type->room) : 0;
        }
        if (!suitable || (offering.spot && !job.spec.spot) ||
            (!job.spec.zone.empty() && job.spec.zone != *offering.zone))
            continue;
        const double price = (offering.spot ? type->spot_price : type->price) / tasks;
        lowest_price = std::min(lowest_price, price);
        if (offering.unavailable)
            continue;
        const double cost = price * (1 + zone_machine_penalty * *offering.machines_in_zone);
        if (cost < lowest_cost) {
            lowest_cost = cost;
            cheapest = &offering;
        }
    }
    const bool too_expensive = lowest_cost > lowest_price * max_price_ratio;
    return too_expensive && !at_any_price ? nullptr : cheapest;
}

// Plans one more machine of this type, zone and kind. Returns false if a single request cannot ask for more machines.
bool RentalPlan::rent_one(const Offering& offering) {
    auto& rental = planned_rentals_[offering.key];
    if (rental.type.empty())
        rental = {offering.type->name, *offering.zone, offering.spot, 0, cluster_.now, true};
    if (rental.count >= max_rented)
        return false;
    ++rental.count;
    ++*offering.machines_in_zone;
    count_capacity(offering.type->room, offering.type->room.cpus, offering.spot);
    add_incoming(*offering.type, *offering.zone, offering.spot);
    return true;
}

// Finds machines for this number of tasks of the job.
void RentalPlan::plan_machines_for(const Job& job, int tasks) {
    const bool array = job.spec.shape == Shape::array;
    for (int rented = 0; tasks > 0 && rented < max_rentals_per_job; ++rented) {
        tasks = use_retiring(job, use_incoming(job, tasks));
        if (tasks <= 0)
            break;
        const auto* offering = cheapest_offering(job, !array || lacks_cpus_for(job));
        if (offering == nullptr || !rent_one(*offering))
            break;
    }
}

void RentalPlan::plan_for_waiting_jobs() {
    auto shape = cluster_.common_shape;
    const auto jobs = waiting_jobs(cluster_, shape);
    proposals_.set_common_shape(shape);
    for (const auto* job : jobs) {
        int tasks = std::min(static_cast<int>(job->pending.size()), cluster_.quota_room(*job));
        if (is_accelerated_gang(*job)) {
            const int served = std::min(tasks, gang_ready_machines_);
            tasks -= served;
            gang_ready_machines_ -= served;
        }
        plan_machines_for(*job, tasks);
    }
}

void RentalPlan::plan_for_next_gang(double machines) {
    const Job* gang = nullptr; // any known gang serves as an estimate of the next one
    for (const auto& [id, job] : cluster_.jobs)
        if (is_accelerated_gang(*job) && job->final == FinalState::none && !job->waits)
            gang = job.get();
    if (gang != nullptr)
        plan_machines_for(*gang, static_cast<int>(machines) - gang_ready_machines_);
}

bool RentalPlan::has_pending_rental(const PendingRental& rental) const {
    return std::any_of(cluster_.rentals.begin(), cluster_.rentals.end(), [&rental](const auto& entry) {
        const PendingRental& other = entry.second;
        return other.type == rental.type && other.zone == rental.zone && other.spot == rental.spot;
    });
}

void RentalPlan::propose() {
    for (const auto& [key, rental] : planned_rentals_)
        if (!has_pending_rental(rental))
            proposals_.rent(rental);
}

} // namespace heronshift::scheduling
