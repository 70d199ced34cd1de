/// @file
/// Placement: decides which waiting task goes to which machine, and which tasks are stopped to make room. The decisions
/// are made on a const view of the cluster and only proposed. The cluster state checks every proposal against the rules
/// (docs/safety.md, 9), so a wrong decision costs time but cannot break a rule.
#pragma once

#include "cluster/proposals.hpp"
#include "scheduling/batch_assignment.hpp"
#include "scheduling/placement_cost.hpp"
#include "scheduling/room_index.hpp"

#include <optional>

namespace heronshift::scheduling {

/// Places waiting tasks, and stops tasks on machines that the cloud reclaims or that are slow. The core calls all
/// functions on the thread that owns the state. Their definitions are in separate files under src/scheduling:
/// pool_choice, placement, gang_placement, making_room (frees room by preemption), awaiting_room (reserves room that
/// becomes free without preemption) and slow_machines.
class Placement {
public:
    Placement(const ClusterData& view, cluster::Proposals& out)
        : cluster_(view), settings_(view.settings), proposals_(out), index_(view) {}
    /// Runs one pass over all waiting jobs. Places a limited number of tasks, and requests another pass if more might
    /// be placed. Does nothing while it is not proven which tasks run on the machines (docs/safety.md, 5).
    void schedule();
    /// The number of jobs that were waiting in the last pass.
    [[nodiscard]] std::size_t waiting() const {
        return waiting_;
    }
    /// Stops tasks on machines that the cloud has announced to reclaim, so that they save their progress or start
    /// elsewhere at once.
    void stop_on_reclaimed_machines();
    /// Finds machines on which tasks take far longer than other tasks of the same job do elsewhere, and stops tasks on
    /// them.
    void check_slow_machines();

private:
    // Room for tasks of one job on one machine.
    struct MachineRoom {
        const Machine* machine = nullptr;
        std::vector<const Entry*> victims; // tasks to preempt to make the room
        int tasks = 0;                     // how many tasks of the job fit
        bool ready = false;                // the room is free without preemption
        double cost = 0;                   // of placing one task here, in seconds of delay or an equivalent
    };
    // The rooms for all tasks of a gang.
    struct GangRooms {
        std::vector<MachineRoom> rooms;
        double cost = no_cost_limit; // the sum over all tasks
    };
    // The resources that become free on a machine when one of its tasks ends, in `remaining_s` seconds.
    struct FreedRoom {
        double remaining_s;
        Resources each;
    };
    // Room for one task that becomes free later. `at` is the time until then in seconds plus the placement cost.
    struct UpcomingRoom {
        double at;
        const Machine* machine;
    };
    // A task for which no room was found in this pass, so tasks of the same kind that need as much or more are not
    // tried.
    struct FailedRequest {
        Resources each;
        bool spot;
    };
    // Tasks of several jobs that are placed together.
    struct Batch {
        std::vector<const Job*> jobs;
        std::vector<placement::Group> groups; // the tasks of each job in `jobs`
    };
    // The machines that the tasks of a batch may be placed on.
    struct BatchMachines {
        // For each job its machines, as ascending positions in the index.
        std::vector<std::vector<std::uint32_t>> by_job;
        std::vector<std::uint32_t> positions; // all of these machines, ascending
        std::vector<placement::Bin> bins;     // the machines at `positions`
    };

    // pool_choice.cpp
    void choose_pool();

    // placement.cpp
    void begin_pass();
    void place_jobs(const std::vector<const Job*>& jobs);
    void place(const Job& job, const Machine& machine);
    void room_changed(const Machine& machine);
    [[nodiscard]] int quota_left(const Job& job) const;
    [[nodiscard]] bool is_left_to_on_demand_jobs(const Machine& machine, const Job& job) const;
    [[nodiscard]] bool may_have_room(const Machine& machine, const Job& job) const;
    [[nodiscard]] std::vector<std::uint32_t> find_room(const Job& job) const;
    [[nodiscard]] bool implies_failure(const FailedRequest& failed_request, const Job& job) const;
    [[nodiscard]] bool cannot_find_room(const Job& job, const std::vector<FailedRequest>& failed) const;
    void record_failed_request(std::vector<FailedRequest>& list, const Job& job) const;
    [[nodiscard]] std::vector<const Job*> late_jobs(const std::vector<const Job*>& jobs) const;
    void start_late_jobs(const std::vector<const Job*>& jobs);
    [[nodiscard]] std::vector<const Job*> jobs_in_batch(const std::vector<const Job*>& jobs, std::size_t at) const;
    int place_waiting(const std::vector<const Job*>& jobs, std::size_t at, int budget);
    void request_room(const Job& job);

    int place_batch(const std::vector<const Job*>& jobs, int max_tasks, double cost_limit);
    [[nodiscard]] bool has_quota_limit(const Job& job) const;
    [[nodiscard]] Batch choose_batch(const std::vector<const Job*>& jobs, int max_tasks);
    [[nodiscard]] BatchMachines find_machines(const Batch& batch) const;
    void set_costs(Batch& batch, const BatchMachines& machines, double cost_limit) const;
    [[nodiscard]] double batch_cost(const PlacementCost& cost_of, const Machine& machine, const Job& job) const;

    int place_one_by_one(const Job& job, double cost_limit);
    [[nodiscard]] const Machine* cheapest_machine(const Job& job, double cost_limit) const;
    int place_replicas(const Job& job, double cost_limit);
    [[nodiscard]] double lowest_free_cost(const Job& job) const;
    int place_service(const Job& job);

    // gang_placement.cpp
    bool place_gang(const Job& job);
    [[nodiscard]] GangRooms cheapest_gang_rooms(const Job& job) const;
    [[nodiscard]] std::vector<MachineRoom> rooms_for_gang(const Job& job, std::optional<int> zone) const;
    [[nodiscard]] std::optional<GangRooms> choose_gang_rooms(const Job& job, std::vector<MachineRoom> rooms) const;

    // making_room.cpp
    [[nodiscard]] MachineRoom room_on(const Machine& machine, const Job& job, int max_tasks, double loss_weight) const;
    double select_victims(MachineRoom& room, const Job& job, int max_tasks, Resources& free) const;
    void preempt_and_reserve(const MachineRoom& room, const Job& job);
    [[nodiscard]] std::vector<MachineRoom> preemption_rooms(const Job& job, int max_tasks, double cost_limit) const;
    int make_room(const Job& job, double cost_limit);
    [[nodiscard]] double preemption_loss(const Entry& entry) const;

    // awaiting_room.cpp
    [[nodiscard]] double remaining_run_s(const Entry& entry) const;
    const std::vector<FreedRoom>& freed_rooms_on(std::size_t position);
    void reserve_room(const Machine& machine, const Job& job, int tasks, Priority against);
    [[nodiscard]] std::vector<UpcomingRoom> upcoming_rooms(const Job& job, double within_s);
    void await_room(const Job& job, int max_tasks, double within_s, Priority against);
    [[nodiscard]] std::optional<double> room_after_s(const Job& job, std::size_t position, double within_s,
                                                     double before_s);
    void await_one_room(const Job& job, double within_s, Priority against);

    // slow_machines.cpp
    [[nodiscard]] bool is_comparable(const Entry& entry) const;
    [[nodiscard]] double run_limit_s(const Entry& entry) const;
    [[nodiscard]] const Entry* find_slow_task(const Machine& machine) const;
    [[nodiscard]] bool are_too_many_slow() const;
    [[nodiscard]] bool has_run_long(const Entry& entry) const;
    void mark_slow(const Machine& machine);

    const ClusterData& cluster_;
    const Settings& settings_;
    cluster::Proposals& proposals_;
    std::size_t waiting_ = 0;
    // By team: the job to which the rest of the team's limit is reserved until the job has begun.
    std::vector<const Job*> limit_reserved_for_;
    bool on_demand_job_waits_ = false; // an array that may not use spot machines is waiting
    double next_slow_check_ = 0;       // when check_slow_machines() checks again
    // State of one pass:
    RoomIndex index_;
    std::vector<std::vector<FreedRoom>> freed_rooms_; // by position in the index, the earliest first
    std::vector<char> freed_rooms_valid_;             // by position in the index: `freed_rooms_` is up to date
};

} // namespace heronshift::scheduling
