#include "scheduling/placement.hpp"
#include "waiting_jobs.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace heronshift::scheduling {
namespace {

// A waiting job is late after this share of the time within which each job should begin (`ops.begin_s`). Then one of
// its tasks is placed before all others.
constexpr double late_start_share = 0.5;
// Placement cost in seconds that is low enough to accept a machine without looking for a better one.
constexpr double good_placement_cost_s = 18;
constexpr int max_placements_per_pass = 64;         // bounds the pass, so that heartbeats and requests are not delayed
constexpr double replica_requests_per_interval = 6; // requests for room for replicas per heartbeat interval
constexpr double task_requests_per_interval = 2;    // the same for other tasks
constexpr double pool_cost_offset_s = 1;            // cost without any gain in payoff; keeps the costs above zero

bool has_zone_rules(const JobSpec& spec) {
    return spec.spread || spec.one_zone;
}

} // namespace

// Whether a job that may use spot machines has to leave the machine to jobs that may not, whatever their priority.
// Where most room is on spot machines, jobs that may use both would otherwise also fill the few on-demand machines.
bool Placement::is_left_to_on_demand_jobs(const Machine& machine, const Job& job) const {
    return on_demand_job_waits_ && job.spec.spot && is_cpu_only_on_demand(machine);
}

// Whether a task of the job could run on the machine if lower-priority tasks were removed from it.
bool Placement::may_have_room(const Machine& machine, const Job& job) const {
    return job.spec.each.fits(machine.total - machine.non_preemptible) && usable(cluster_, machine, job) &&
           !is_left_to_on_demand_jobs(machine, job) && !is_reserved_for_another(cluster_, machine, job);
}

// The machines with room for a task on which it makes sense to place it now, as positions in the index.
std::vector<std::uint32_t> Placement::find_room(const Job& job) const {
    const bool exclude_on_demand = on_demand_job_waits_ && job.spec.spot;
    return index_.find(job,
                       exclude_on_demand ? RoomIndex::CpuOnlyOnDemand::excluded : RoomIndex::CpuOnlyOnDemand::included);
}

void Placement::place(const Job& job, const Machine& machine) {
    proposals_.place(job, machine);
    room_changed(machine);
}

// Updates what this pass has cached about a machine after a task was placed, a task was stopped or room was reserved on
// it.
void Placement::room_changed(const Machine& machine) {
    index_.update(machine);
    if (const auto at = index_.position(machine); at != RoomIndex::none)
        freed_rooms_valid_[at] = 0;
}

// How many more tasks of the job the team's limit allows. Zero if the rest of the limit is reserved for another job of
// the team.
int Placement::quota_left(const Job& job) const {
    if (job.team < 0)
        return 0;
    const auto* first = limit_reserved_for_[static_cast<std::size_t>(job.team)];
    return first != nullptr && first != &job ? 0 : cluster_.quota_room(job);
}

// Array jobs that have waited for half of the time within which they should begin, the oldest first.
std::vector<const Job*> Placement::late_jobs(const std::vector<const Job*>& jobs) const {
    std::vector<const Job*> late;
    for (const auto* job : jobs)
        if (job->spec.shape == Shape::array && job->live == 0 && job->done == 0 && job->team >= 0 &&
            cluster_.now - job->ready > late_start_share * settings_.ops.begin_s)
            late.push_back(job);
    std::sort(late.begin(), late.end(), [](const Job* one, const Job* other) {
        return std::tie(one->ready, one->spec.id) < std::tie(other->ready, other->spec.id);
    });
    return late;
}

// Starts one task of each late job before all other tasks. Jobs with little work left go first, so that most jobs
// complete in time; without this rule a large job might wait forever, in particular one that is as large as its team's
// limit. If there is no room for the task or the team's limit is used up, the room or the limit is reserved for it.
void Placement::start_late_jobs(const std::vector<const Job*>& jobs) {
    limit_reserved_for_.assign(cluster_.teams.size(), nullptr);
    for (const auto* job : late_jobs(jobs)) {
        auto& first = limit_reserved_for_[static_cast<std::size_t>(job->team)];
        if (first != nullptr)
            continue;
        if (cluster_.quota_room(*job) < 1) {
            first = job;
            continue;
        }
        if (place_batch({job}, 1, no_cost_limit) > 0 || cluster_.now < job->resource_wait_until)
            continue;
        proposals_.wait_for_resources(*job, cluster_.now + settings_.report_s / task_requests_per_interval);
        await_room(*job, 1, never_s, Priority::critical);
    }
}

// The cost of a placement including the payoff of one more task on the pool (docs/design.md, equations 2 to 5). Only
// the number of tasks placed counts more than the payoff: a gain of gamma, which is what the task that reaches the
// target gains, lowers the cost by one second.
double Placement::batch_cost(const PlacementCost& cost_of, const Machine& machine, const Job& job) const {
    const double cost = cost_of(machine);
    if (!machine.pool || job.spec.shape != Shape::service)
        return cost;
    const placement::Payoff payoff{settings_.ops.alpha, settings_.ops.beta, settings_.ops.gamma};
    const double gain = placement::pool_gain(payoff, job.entries_on_pool, job.spec.tasks, settings_.ops.target_share);
    return std::max(0.0, cost + pool_cost_offset_s - gain / settings_.ops.gamma);
}

bool Placement::has_quota_limit(const Job& job) const {
    const auto& limits = cluster_.teams[static_cast<std::size_t>(job.team)].limits;
    return limits.cpus_max > 0 || limits.gpus_max > 0;
}

// Takes up to `max_tasks` tasks of the jobs, in the order given. Of a team with a limit only the first job takes part,
// since how much of the limit is left for the others is known only after its placement.
Placement::Batch Placement::choose_batch(const std::vector<const Job*>& jobs, int max_tasks) {
    Batch batch;
    std::set<int> limited_teams;
    for (const auto* job : jobs) {
        proposals_.prune_pending(*job, true);
        if (limited_teams.contains(job->team))
            continue;
        const int count = std::min({max_tasks, static_cast<int>(job->pending.size()), quota_left(*job)});
        if (count <= 0)
            continue;
        if (has_quota_limit(*job))
            limited_teams.insert(job->team);
        batch.groups.push_back({job->spec.each, count, {}});
        batch.jobs.push_back(job);
        max_tasks -= count;
        if (max_tasks == 0)
            break;
    }
    return batch;
}

Placement::BatchMachines Placement::find_machines(const Batch& batch) const {
    BatchMachines machines;
    auto& positions = machines.positions;
    for (const auto* job : batch.jobs) {
        const auto& found = machines.by_job.emplace_back(find_room(*job));
        positions.insert(positions.end(), found.begin(), found.end());
    }
    std::sort(positions.begin(), positions.end());
    positions.erase(std::unique(positions.begin(), positions.end()), positions.end());
    for (const auto position : positions) {
        const auto* machine = index_.machines()[position];
        machines.bins.push_back({machine->total - machine->used, machine->total});
    }
    return machines;
}

// Sets what one task of each job costs on each machine that it may use. Machines with a cost of `cost_limit` or more
// stay forbidden.
void Placement::set_costs(Batch& batch, const BatchMachines& machines, double cost_limit) const {
    for (std::size_t group = 0; group < batch.groups.size(); ++group) {
        auto& costs = batch.groups[group].cost;
        costs.assign(machines.bins.size(), placement::not_allowed);
        const auto& job = *batch.jobs[group];
        const PlacementCost cost_of(cluster_, job);
        auto bin = machines.positions.begin();
        for (const auto position : machines.by_job[group]) {
            bin = std::lower_bound(bin, machines.positions.end(), position);
            const double cost = batch_cost(cost_of, *index_.machines()[position], job);
            if (cost < cost_limit)
                costs[static_cast<std::size_t>(bin - machines.positions.begin())] = cost;
        }
    }
}

// Places new tasks as a batch, without moving running ones, and as many as possible (docs/design.md, algorithm 1). No
// task is placed at a cost of `cost_limit` or more. Returns the number of tasks placed.
int Placement::place_batch(const std::vector<const Job*>& jobs, int max_tasks, double cost_limit) {
    auto batch = choose_batch(jobs, max_tasks);
    if (batch.jobs.empty())
        return 0;
    const auto machines = find_machines(batch);
    if (machines.positions.empty())
        return 0;
    set_costs(batch, machines, cost_limit);
    const auto plan = placement::match_batch(batch.groups, machines.bins, cluster_.common_shape);
    int placed = 0;
    for (std::size_t group = 0; group < batch.jobs.size(); ++group)
        for (std::size_t bin = 0; bin < machines.bins.size(); ++bin)
            for (int count = 0; count < plan[group][bin]; ++count, ++placed)
                place(*batch.jobs[group], *index_.machines()[machines.positions[bin]]);
    return placed;
}

// The machine with room where a task of the job costs least, below `cost_limit`. Null if there is none.
const Machine* Placement::cheapest_machine(const Job& job, double cost_limit) const {
    const Machine* cheapest = nullptr;
    const PlacementCost cost_of(cluster_, job);
    for (const auto position : find_room(job)) {
        const auto* machine = index_.machines()[position];
        const auto free = machine->total - machine->used;
        double cost = cost_of(*machine);
        if (job.spec.spread)
            cost += job.zone_live[static_cast<std::size_t>(machine->zone)];
        cost += placement::fragmentation(free - job.spec.each, machine->total, cluster_.common_shape);
        if (cost < cost_limit) {
            cost_limit = cost;
            cheapest = machine;
        }
    }
    return cheapest;
}

// Places tasks of a job with zone rules, for which each placement changes where the next task may go. Returns the
// number of tasks placed.
int Placement::place_one_by_one(const Job& job, double cost_limit) {
    int placed = 0;
    while (!job.pending.empty() && quota_left(job) > 0) {
        proposals_.prune_pending(job, false);
        if (job.pending.empty())
            break;
        const auto* machine = cheapest_machine(job, cost_limit);
        if (machine == nullptr)
            break;
        place(job, *machine);
        ++placed;
    }
    return placed;
}

// Places as many replicas as possible at a cost below `cost_limit`. Returns the number of replicas placed.
int Placement::place_replicas(const Job& job, double cost_limit) {
    if (has_zone_rules(job.spec))
        return place_one_by_one(job, cost_limit);
    int placed = 0;
    while (true) {
        const int in_batch = place_batch({&job}, settings_.ops.batch, cost_limit);
        if (in_batch <= 0)
            return placed;
        placed += in_batch;
    }
}

// The lowest cost of a placement on free room, including machines where is_left_to_on_demand_jobs() would hold.
double Placement::lowest_free_cost(const Job& job) const {
    double lowest = no_cost_limit;
    const PlacementCost cost_of(cluster_, job);
    for (const auto position : index_.find(job, RoomIndex::CpuOnlyOnDemand::included))
        lowest = std::min(lowest, cost_of(*index_.machines()[position]));
    return lowest;
}

// Places the replicas of a service. They are accepted at once on good machines, which are in the pool and have the
// image. For the remaining replicas, if starting on free room would take longer than on such a machine, it is worth
// preempting a few lower-priority tasks there.
int Placement::place_service(const Job& job) {
    int placed = place_replicas(job, good_placement_cost_s);
    if (job.pending.empty() || quota_left(job) <= 0)
        return placed;
    if (cluster_.now < job.resource_wait_until && job.freeing_preferred_machines)
        return placed; // room on good machines is being made
    const double free_cost = lowest_free_cost(job);
    proposals_.freeing_preferred_machines(job,
                                          cluster_.now >= job.resource_wait_until && make_room(job, free_cost) > 0);
    if (job.freeing_preferred_machines)
        proposals_.wait_for_resources(job, cluster_.now + settings_.report_s / replica_requests_per_interval);
    else
        placed += place_replicas(job, no_cost_limit);
    return placed;
}

void Placement::begin_pass() {
    index_.rebuild();
    freed_rooms_.resize(std::max(freed_rooms_.size(), index_.machines().size()));
    freed_rooms_valid_.assign(freed_rooms_.size(), 0);
}

void Placement::schedule() {
    // Nothing is placed while a damaged record may have named any task (docs/safety.md, 5; the test
    // ADamagedRecordKeepsItsMachineOccupiedUntilItIsProven).
    if (cluster_.types.empty() || cluster_.has_unproven_machines())
        return;
    proposals_.mark_guarantees();
    choose_pool();
    begin_pass();
    auto shape = cluster_.common_shape;
    const auto jobs = waiting_jobs(cluster_, shape);
    waiting_ = jobs.size();
    start_late_jobs(jobs);
    on_demand_job_waits_ = std::any_of(jobs.begin(), jobs.end(), [this](const Job* job) {
        return job->spec.shape == Shape::array && !job->spec.spot && quota_left(*job) > 0;
    });
    proposals_.set_common_shape(shape);
    place_jobs(jobs);
}

// Places tasks of the jobs in the given order, up to the limit of a pass.
void Placement::place_jobs(const std::vector<const Job*>& jobs) {
    std::vector<FailedRequest> failed;
    int budget = max_placements_per_pass;
    for (std::size_t at = 0; at < jobs.size() && budget > 0; ++at) {
        const auto& job = *jobs[at];
        if (!cannot_find_room(job, failed))
            budget -= place_waiting(jobs, at, budget);
        if (job.pending.empty() || job.live == job.spec.tasks)
            continue;
        if (budget <= 0)
            break;
        record_failed_request(failed, job);
        request_room(job);
    }
    if (budget <= 0)
        proposals_.request_pass();
}

// Whether the job need not be tried because a task that needs no more has found no room in this pass. Urgent jobs are
// always tried, since room may have been made for them.
bool Placement::cannot_find_room(const Job& job, const std::vector<FailedRequest>& failed) const {
    return job.priority > Priority::high &&
           std::any_of(failed.begin(), failed.end(),
                       [&](const FailedRequest& failed_request) { return implies_failure(failed_request, job); });
}

// Whether the failure recorded in `failed_request` implies that tasks of this job find no room either: they need as
// much or more and may use no other machines.
bool Placement::implies_failure(const FailedRequest& failed_request, const Job& job) const {
    const bool no_more_places = failed_request.spot ? job.spec.spot || !on_demand_job_waits_ : !job.spec.spot;
    return failed_request.each.fits(job.spec.each) && no_more_places;
}

// Records that no more tasks of the job find room. Entries that an existing one covers are not added, so the list stays
// short.
void Placement::record_failed_request(std::vector<FailedRequest>& list, const Job& job) const {
    const auto& spec = job.spec;
    const bool anywhere = spec.types.empty() && spec.zone.empty() && !has_zone_rules(spec);
    if (!anywhere || spec.shape == Shape::gang || quota_left(job) <= 0)
        return;
    const auto is_no_larger = [&spec](const FailedRequest& failed_request) {
        return failed_request.spot == spec.spot && failed_request.each.cpus <= spec.each.cpus &&
               failed_request.each.gpus <= spec.each.gpus && failed_request.each.memory_gb <= spec.each.memory_gb;
    };
    if (std::none_of(list.begin(), list.end(), is_no_larger))
        list.push_back({spec.each, spec.spot});
}

// The job at position `at` of the list and the jobs of the same priority that follow it, enough of them to fill a
// batch.
std::vector<const Job*> Placement::jobs_in_batch(const std::vector<const Job*>& jobs, std::size_t at) const {
    const auto& job = *jobs[at];
    std::vector<const Job*> batch{&job};
    std::size_t tasks = job.pending.size();
    for (std::size_t next = at + 1; next < jobs.size() && tasks < static_cast<std::size_t>(settings_.ops.batch);
         ++next) {
        const auto& other = *jobs[next];
        if (other.spec.shape == Shape::gang || has_zone_rules(other.spec) || other.priority != job.priority)
            break;
        batch.push_back(&other);
        tasks += other.pending.size();
    }
    return batch;
}

// Places as many tasks as possible of the job at position `at` of the list and of the jobs that share a batch with it.
// Returns the number of tasks placed.
int Placement::place_waiting(const std::vector<const Job*>& jobs, std::size_t at, int budget) {
    const auto& job = *jobs[at];
    if (job.spec.shape == Shape::gang)
        return place_gang(job) ? static_cast<int>(job.spec.tasks) : 0;
    if (job.spec.shape == Shape::service)
        return place_service(job);
    if (has_zone_rules(job.spec))
        return place_one_by_one(job, no_cost_limit);
    const auto batch = jobs_in_batch(jobs, at);
    int placed = 0;
    while (placed < budget) {
        const int in_batch = place_batch(batch, settings_.ops.batch, no_cost_limit);
        if (in_batch <= 0)
            break;
        placed += in_batch;
    }
    return placed;
}

// Requests room for a job of priority high or critical. Reserves the machines where room becomes free first, or
// preempts other tasks once the job has waited longer than max_wait_s().
void Placement::request_room(const Job& job) {
    if (job.spec.shape == Shape::gang || job.priority > Priority::high || cluster_.now < job.resource_wait_until)
        return;
    proposals_.wait_for_resources(job, cluster_.now + settings_.report_s / task_requests_per_interval);
    const double left = job.ready + max_wait_s(cluster_, job) - cluster_.now;
    if (left > 0)
        await_room(job, static_cast<int>(job.spec.tasks), left, job.priority);
    else
        make_room(job, no_cost_limit);
}

} // namespace heronshift::scheduling
