/// @file
/// Placement: which waiting task goes to which machine, and what is stopped to make room. It decides from a const view
/// of the cluster and only proposes. The cluster state checks every proposal against the rules (docs/safety.md, 9), so
/// a mistake here costs time and breaks no rule.
#pragma once

#include "cluster/proposals.hpp"
#include "scheduling/batch_assignment.hpp"
#include "scheduling/placement_cost.hpp"
#include "scheduling/room_index.hpp"

#include <optional>

namespace heronshift::scheduling {

/// Places waiting tasks, and takes tasks off machines that are taken back or slow. All functions are called by the core
/// on the thread that owns the state. They are in files of their own under src/scheduling: pool_choice, placement,
/// gang_placement, making_room (by stopping other work), awaiting_room (without), slow_machines.
class Placement {
public:
    Placement(const ClusterData& view, cluster::Proposals& out)
        : cluster_(view), settings_(view.settings), proposals_(out), index_(view) {}
    /// One pass over all jobs that wait. Places a limited number of tasks and asks for another pass if there may be
    /// more. Does nothing while it is unproven what runs on the machines (docs/safety.md, 5).
    void schedule();
    /// How many jobs waited at the last pass.
    [[nodiscard]] std::size_t waiting() const {
        return waiting_;
    }
    /// Stops tasks on machines that the cloud takes back, so that they save their progress or start elsewhere at once.
    void drain_noticed();
    /// Looks for machines on which tasks take far longer than their siblings elsewhere, and stops tasks there.
    void find_slow();

private:
    // Room for tasks of one job on one machine.
    struct MachineRoom {
        const Machine* machine = nullptr;
        std::vector<const Entry*> victims; // tasks to be stopped for it
        int tasks = 0;                     // of the job that there is room for
        bool ready = false;                // it is free already
        double cost = 0;                   // of a task's place there, in seconds of delay or what weighs as much
    };
    // Rooms for all tasks of a gang.
    struct GangRooms {
        std::vector<MachineRoom> rooms;
        double cost = no_cost_limit; // of all tasks
    };
    // The room that a machine has again when one of its tasks ends.
    struct Release {
        double rest_s;
        Resources each;
    };
    // Room for one task, and when it is there: in seconds from now, the cost of the place added.
    struct UpcomingRoom {
        double at;
        const Machine* machine;
    };
    // Work that found no room in this pass: nothing of its kind that is as large will.
    struct NoRoom {
        Resources each;
        bool spot;
    };
    // Tasks of several jobs that are placed together.
    struct Batch {
        std::vector<const Job*> jobs;
        std::vector<placement::Group> groups; // their tasks, by job
    };
    // Machines that a batch may go to.
    struct BatchMachines {
        std::vector<std::vector<std::uint32_t>> by_job; // positions in the index, ascending, of those for each job
        std::vector<std::uint32_t> positions;           // of all of them, ascending
        std::vector<placement::Bin> bins;               // the machines at `positions`
    };

    // pool_choice.cpp
    void choose_pool();

    // placement.cpp
    void begin_pass();
    void place_jobs(const std::vector<const Job*>& jobs);
    void place(const Job& job, const Machine& machine);
    void room_changed(const Machine& machine);
    [[nodiscard]] int quota_left(const Job& job) const;
    [[nodiscard]] bool left_to_others(const Machine& machine, const Job& job) const;
    [[nodiscard]] bool may_have_room(const Machine& machine, const Job& job) const;
    [[nodiscard]] std::vector<std::uint32_t> find_room(const Job& job) const;
    [[nodiscard]] bool covers(const NoRoom& no_room, const Job& job) const;
    [[nodiscard]] bool is_hopeless(const Job& job, const std::vector<NoRoom>& failed) const;
    void note_no_room(std::vector<NoRoom>& list, const Job& job) const;
    [[nodiscard]] std::vector<const Job*> late_jobs(const std::vector<const Job*>& jobs) const;
    void begin_waiting(const std::vector<const Job*>& jobs);
    [[nodiscard]] std::vector<const Job*> jobs_in_batch(const std::vector<const Job*>& jobs, std::size_t at) const;
    int place_waiting(const std::vector<const Job*>& jobs, std::size_t at, int budget);
    void ask_for_room(const Job& job);

    int place_batch(const std::vector<const Job*>& jobs, int max_tasks, double cost_limit);
    [[nodiscard]] bool has_limit(const Job& job) const;
    [[nodiscard]] Batch choose_batch(const std::vector<const Job*>& jobs, int max_tasks);
    [[nodiscard]] BatchMachines find_machines(const Batch& batch) const;
    void set_costs(Batch& batch, const BatchMachines& machines, double cost_limit) const;
    [[nodiscard]] double batch_cost(const PlacementCost& cost_of, const Machine& machine, const Job& job) const;

    int place_one_by_one(const Job& job, double cost_limit);
    [[nodiscard]] const Machine* cheapest_machine(const Job& job, double cost_limit) const;
    int place_replicas(const Job& job, double cost_limit);
    [[nodiscard]] double cheapest_free_place(const Job& job) const;
    int place_service(const Job& job);

    // gang_placement.cpp
    bool place_gang(const Job& job);
    [[nodiscard]] GangRooms cheapest_gang_rooms(const Job& job) const;
    [[nodiscard]] std::vector<MachineRoom> rooms_for_gang(const Job& job, std::optional<int> zone) const;
    [[nodiscard]] std::optional<GangRooms> choose_gang_rooms(const Job& job, std::vector<MachineRoom> rooms) const;

    // making_room.cpp
    [[nodiscard]] MachineRoom room_on(const Machine& machine, const Job& job, int max_tasks, double loss_weight) const;
    double stop_for_room(MachineRoom& room, const Job& job, int max_tasks, Resources& free) const;
    void take_room(const MachineRoom& room, const Job& job);
    [[nodiscard]] std::vector<MachineRoom> rooms_to_make(const Job& job, int max_tasks, double cost_limit) const;
    int make_room(const Job& job, double cost_limit);
    [[nodiscard]] double loss_of(const Entry& entry) const;

    // awaiting_room.cpp
    [[nodiscard]] double rest_of(const Entry& entry) const;
    const std::vector<Release>& releases_on(std::size_t position);
    void keep_room(const Machine& machine, const Job& job, int tasks, Priority against);
    [[nodiscard]] std::vector<UpcomingRoom> upcoming_rooms(const Job& job, double within_s);
    void await_room(const Job& job, int max_tasks, double within_s, Priority against);
    [[nodiscard]] std::optional<double> room_after_s(const Job& job, std::size_t position, double within_s,
                                                     double before_s);
    void await_first(const Job& job, double within_s, Priority against);

    // slow_machines.cpp
    [[nodiscard]] bool tells_speed(const Entry& entry) const;
    [[nodiscard]] double longest_plausible_run_s(const Entry& entry) const;
    [[nodiscard]] const Entry* proof_of_slowness(const Machine& machine) const;
    [[nodiscard]] bool are_too_many_slow() const;
    [[nodiscard]] bool is_nearly_done(const Entry& entry) const;
    void mark_slow(const Machine& machine);

    const ClusterData& cluster_;
    const Settings& settings_;
    cluster::Proposals& proposals_;
    std::size_t waiting_ = 0;
    std::vector<const Job*> first_of_team_; // whose limit is left to this one until it has begun; by team
    bool ordinary_waits_ = false;           // an array that may not use spot machines
    double next_slow_ = 0;                  // when find_slow() looks again
    // Of one pass:
    RoomIndex index_;
    std::vector<std::vector<Release>> releases_; // by position in the index, the soonest first
    std::vector<char> releases_known_;           // by position in the index
};

} // namespace heronshift::scheduling
