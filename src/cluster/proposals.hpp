// What policies may propose. ClusterState checks each proposal on the one state that counts, and no rule depends on a
// policy being right.
#pragma once

#include "cluster/cluster_data.hpp"

namespace heronshift::cluster {

/// The changes that a policy may propose. Called from within a pass, on the thread of the event loop; each takes effect
/// at once, so that the view shows it to the next decision.
class Proposals {
public:
    virtual ~Proposals() = default;
    /// Places one more task of the job there. False: a rule forbids it (said in the log), or no task waits.
    virtual bool place(const Job& job, const Machine& machine) = 0;
    /// Removes from the pending tasks those that are done or placed meanwhile: all of them, or only the first ones.
    virtual void drop_settled(const Job& job, bool all) = 0;
    /// Stops a task, which has so many seconds to save its progress.
    virtual void stop(const Entry& entry, double drain_s) = 0;
    /// Stops a task at once, for the sake of another job.
    virtual void preempt(const Entry& entry) = 0;
    /// Stops a task in order to start it elsewhere.
    virtual void move_away(const Entry& entry, double drain_s) = 0;
    /// Keeps room on a machine for so many tasks of the job until then, against jobs of this priority and below.
    virtual void reserve(const Machine& machine, const Job& job, int tasks, double until, Priority against) = 0;
    /// Room for the job was looked for, and may come free until then.
    virtual void room_asked(const Job& job, double until) = 0;
    /// Room in a good place is being made for the job's replicas, or no longer is.
    virtual void good_room(const Job& job, bool being_made) = 0;
    /// All tasks of the gang are placed again.
    virtual void gang_whole(const Job& job) = 0;
    /// Determines for each job whether it is within its team's guarantee.
    virtual void mark_guarantees() = 0;
    /// The machines of the pool for services, and the largest replica.
    virtual void set_pool(const std::vector<const Machine*>& pool, const Resources& service_shape) = 0;
    /// What a task uses of the work that waits most.
    virtual void set_common_shape(const Resources& resources) = 0;
    /// The task takes too long on its machine.
    virtual void blame(const Entry& entry) = 0;
    /// The machine is slow, until then.
    virtual void slow(const Machine& machine, double until) = 0;
    /// The machine is to become empty and to be given back, or not after all.
    virtual void retire(const Machine& machine, bool leave) = 0;
    virtual void rent(const Pending& rental) = 0;
    /// How many spot machines are up.
    virtual void count_spot(std::size_t machines) = 0;
    /// Asks the machine for a heartbeat.
    virtual void ask(const Machine& machine) = 0;
    /// The machine is taken for dead, which proves nothing about its tasks.
    virtual void presume_dead(const Machine& machine) = 0;
    /// The machine takes no more work; its release is about to be asked for.
    virtual void give_back(const Machine& machine) = 0;
    /// Asks the cloud to take these machines back, as far as they can be remembered as gone.
    virtual void release(std::vector<std::string> machines) = 0;
    /// More could be placed in the next pass.
    virtual void request_pass() = 0;
    virtual void log(LogLine::Level level, std::string text) = 0;
};

} // namespace heronshift::cluster
