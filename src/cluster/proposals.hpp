// The interface through which policies propose changes to the cluster. ClusterState checks each proposal against the
// authoritative state, so that no protocol rule depends on a policy being correct.
#pragma once

#include "cluster/cluster_data.hpp"

namespace heronshift::cluster {

/// The changes that a policy may propose. All functions are called during a step of the core, on the event loop's
/// thread. Each change takes effect immediately and is visible to the policy's next decision.
class Proposals {
public:
    virtual ~Proposals() = default;
    /// Places the job's next pending task on the machine. Returns false if a rule forbids it, which is logged, or if no
    /// task is pending.
    virtual bool place(const Job& job, const Machine& machine) = 0;
    /// Removes tasks that have been placed or done since from the job's pending tasks: all of them if `all`, otherwise
    /// only those before the first task that is still to be placed.
    virtual void prune_pending(const Job& job, bool all) = 0;
    /// Stops a task and gives it `drain_s` seconds to save its progress.
    virtual void stop(const Entry& entry, double drain_s) = 0;
    /// Stops a task immediately in favor of another job.
    virtual void preempt(const Entry& entry) = 0;
    /// Stops a task in order to start it on another machine.
    virtual void move_away(const Entry& entry, double drain_s) = 0;
    /// Reserves resources on a machine for this number of tasks of the job until this time. The reservation holds
    /// against jobs of priority `against` and lower.
    virtual void reserve(const Machine& machine, const Job& job, int tasks, double until, Priority against) = 0;
    /// Records that resources for the job were requested, and that the job waits for them until this time.
    virtual void wait_for_resources(const Job& job, double until) = 0;
    /// Records whether resources are being freed for the job's replicas on machines that suit them well.
    virtual void freeing_preferred_machines(const Job& job, bool being_made) = 0;
    /// All tasks of the gang are being placed again.
    virtual void gang_restarted(const Job& job) = 0;
    /// Determines for each job whether it is within its team's guaranteed resources.
    virtual void mark_guarantees() = 0;
    /// Sets the machines of the pool for services, and the resources of the largest service replica.
    virtual void set_pool(const std::vector<const Machine*>& pool, const Resources& service_shape) = 0;
    /// Sets the resources that one task uses in the most common kind of waiting work.
    virtual void set_common_shape(const Resources& resources) = 0;
    /// Counts that the machine was considered slow because of this task's run time.
    virtual void count_slow_detection(const Entry& entry) = 0;
    /// Marks the machine as slow until this time.
    virtual void slow(const Machine& machine, double until) = 0;
    /// Marks the machine to be emptied and released if `should_retire`, or revokes that.
    virtual void set_retiring(const Machine& machine, bool should_retire) = 0;
    /// Requests machines from the cloud.
    virtual void rent(const PendingRental& rental) = 0;
    /// Sets the number of spot machines that are up.
    virtual void set_spot_count(std::size_t machines) = 0;
    /// Queues a request for a heartbeat to the machine.
    virtual void request_heartbeat(const Machine& machine) = 0;
    /// Presumes that the machine is dead. This proves nothing about its tasks.
    virtual void presume_dead(const Machine& machine) = 0;
    /// Stops placements on the machine, whose release is about to be requested with `release`.
    virtual void begin_release(const Machine& machine) = 0;
    /// Requests the release of these machines from the cloud, limited to as many as DepartedMachines has capacity for.
    virtual void release(std::vector<std::string> machines) = 0;
    /// Requests a scheduling pass, since more tasks could be placed.
    virtual void request_pass() = 0;
    virtual void log(LogLine::Level level, std::string text) = 0;
};

} // namespace heronshift::cluster
