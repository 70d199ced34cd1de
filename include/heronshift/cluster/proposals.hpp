// What policies may propose. Whoever takes a proposal checks it: the cluster state on the one state that
// counts, and nothing depends on a policy being right.
#pragma once

#include "heronshift/cluster/cluster_data.hpp"

namespace heronshift::cluster {

class Proposals {
public:
    virtual ~Proposals() = default;
    // One more task of the job there, at once, so that the view shows it to the next decision. False:
    // a rule forbids it (said in the log), or no task waits.
    virtual bool place(const Job& job, const Machine& machine) = 0;
    virtual void drop_settled(const Job& job, bool all) = 0; // from those that wait: done or placed meanwhile
    // With so many seconds to save.
    virtual void stop(const Entry& entry, double drain_s) = 0;
    virtual void preempt(const Entry& entry) = 0;
    virtual void move_away(const Entry& entry, double drain_s) = 0;
    // Room on a machine is kept for a job, against others of this rank and below, or was looked for, until then.
    virtual void reserve(const Machine& machine, const Job& job, int tasks, double until, Priority against) = 0;
    virtual void room_asked(const Job& job, double until) = 0;
    virtual void good_room(const Job& job, bool being_made) = 0;
    virtual void gang_whole(const Job& job) = 0;
    virtual void mark_guarantees() = 0;
    virtual void set_pool(const std::vector<const Machine*>& pool, const Resources& service_shape) = 0;
    virtual void set_common_shape(const Resources& resources) = 0;
    // A task is too long on its machine; the machine is slow until then.
    virtual void blame(const Entry& entry) = 0;
    virtual void slow(const Machine& machine, double until) = 0;
    // Machines: to become empty or not after all, asked for a word, taken for dead, given back.
    virtual void retire(const Machine& machine, bool leave) = 0;
    virtual void rent(const Pending& rental) = 0;
    virtual void count_spot(std::size_t machines) = 0;
    virtual void ask(const Machine& machine) = 0;
    virtual void presume_dead(const Machine& machine) = 0;
    virtual void give_back(const Machine& machine) = 0;
    virtual void release(std::vector<std::string> machines) = 0;
    virtual void request_pass() = 0; // more could be placed in the next pass
    virtual void log(LogLine::Level level, std::string text) = 0;
};

} // namespace heronshift::cluster
