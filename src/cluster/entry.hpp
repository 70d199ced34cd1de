// A task on a machine, as far as the leader knows.
#pragma once

#include <cstddef>
#include <cstdint>
#include <experimental/propagate_const>

namespace heronshift::cluster {

struct Job;
struct Machine;

/// A pointer that is as const as the object that holds it, so that nothing can be changed through a const view.
template <class T> using PropagateConst = std::experimental::propagate_const<T>;

/// How far the leader has come with placing a task on a machine, and what the machine has reported of it since.
/// The order counts: from `sent` on the task may be on the machine.
enum class Phase : std::uint8_t {
    intent,   ///< Placed; no transaction names it yet.
    storing,  ///< Its record is in a transaction whose outcome is not known.
    stored,   ///< The store holds its record; the launch is to be sent.
    sent,     ///< The launch was sent, or an earlier leader may have sent it; no heartbeat has listed it since.
    fetching, ///< The machine fetches its image.
    waiting,  ///< It waits for the other tasks of its gang.
    running,  ///< It runs.
    saving,   ///< It was stopped and saves its progress.
};

/// One attempt of a task on one machine, as far as the leader knows. It exists from the placement until there is
/// proof that the task is not on the machine (gone_proof.hpp) and counts for room, quota and zones all that time.
/// Its machine owns it; its job lists it.
struct Entry {
    PropagateConst<Machine*> machine = nullptr;
    PropagateConst<Job*> job = nullptr;
    /// The task's index in its job.
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    /// The agent epoch of the machine when the task was placed: a later one ends it.
    std::uint64_t agent_epoch = 0;
    /// The fencing token that its launch carried.
    std::uint64_t fencing_token = 0;
    Phase phase = Phase::intent;
    /// Its record is in the store.
    bool recorded = false;
    /// A heartbeat of this machine has listed it.
    bool seen = false;
    /// It must end.
    bool stop = false;
    /// It is stopped in order to be started elsewhere.
    bool moving = false;
    /// Seconds that it may take to save its progress once it is stopped.
    double drain_s = 0;
    /// When the stop was last sent; below zero: it is to be sent.
    double stop_at = -1;
    double placed_at = 0;
    /// When it was first reported as running; below zero: not yet.
    double running_at = -1;
    /// The number of the last heartbeat that listed it (ClusterState::heartbeat_seq_).
    std::uint64_t listed = 0;
    /// The number of the record that names it; -1: none yet.
    int slot = -1;
    /// The record that still names it while it moves to another; -1: none.
    int carried_from = -1;
    /// Its positions in the lists of its machine, its job and its record.
    std::size_t at_machine = 0, at_job = 0, at_slot = 0;
};

} // namespace heronshift::cluster
