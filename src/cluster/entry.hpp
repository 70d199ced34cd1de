// The leader's knowledge of one task attempt on one machine.
#pragma once

#include <cstddef>
#include <cstdint>
#include <experimental/propagate_const>

namespace heronshift::cluster {

struct Job;
struct Machine;

/// A pointer that is const in a const object, so that nothing can be modified through a const reference to the state.
template <class T> using PropagateConst = std::experimental::propagate_const<T>;

/// The progress of a task's placement on a machine and, after the launch, its state as the machine reports it. The
/// order of the values matters: from `sent` on, the task may be on the machine.
enum class Phase : std::uint8_t {
    intent,   ///< Placed; its record is not in any transaction yet.
    storing,  ///< Its record is in a transaction with an unknown outcome.
    stored,   ///< The store holds its record; the launch has not been sent.
    sent,     ///< This leader sent the launch or an earlier one may have; no heartbeat has listed the task since.
    fetching, ///< The machine is fetching the image.
    waiting,  ///< The task waits on the machine for the other tasks of its gang.
    running,  ///< The task is running.
    saving,   ///< The task was stopped and is saving its progress.
};

/// One attempt of a task on one machine, as far as the leader knows. An entry exists from the placement until there is
/// proof that the task is not on the machine (gone_proof.hpp). For all that time it counts against the machine's
/// resources, the team's quota and the zone rules. The machine owns its entries; the job keeps pointers to them.
struct Entry {
    PropagateConst<Machine*> machine = nullptr;
    PropagateConst<Job*> job = nullptr;
    /// The task's index in its job.
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    /// The machine's agent epoch when the task was placed. When a later epoch begins, the task no longer exists.
    std::uint64_t agent_epoch = 0;
    /// The fencing token of the launch order.
    std::uint64_t fencing_token = 0;
    Phase phase = Phase::intent;
    /// The store holds a record of the entry.
    bool recorded = false;
    /// A heartbeat of this machine has listed the task.
    bool seen = false;
    /// The task is to be stopped.
    bool stop = false;
    /// The task is being stopped in order to be started on another machine.
    bool moving = false;
    /// Seconds that the task has for saving its progress after the stop.
    double drain_s = 0;
    /// When the stop order was last sent; negative: not sent yet.
    double stop_sent_at = -1;
    double placed_at = 0;
    /// When the task was first reported as running; negative: not yet.
    double running_at = -1;
    /// The sequence number of the last heartbeat that listed the task (ClusterState::heartbeat_seq_).
    std::uint64_t last_listed_seq = 0;
    /// The number of the store record that contains the entry; -1: none yet.
    int slot = -1;
    /// While the entry is being moved to another store record, the number of the old one that still contains it; -1:
    /// none.
    int moved_from_slot = -1;
    /// The entry's positions in the lists of its machine, its job and its store record.
    std::size_t machine_position = 0, job_position = 0, slot_position = 0;
};

} // namespace heronshift::cluster
