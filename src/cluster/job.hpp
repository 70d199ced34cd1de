// Jobs and their tasks as the leader tracks them.
#pragma once

#include "cluster/entry.hpp"
#include "heronshift/types.hpp"

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace heronshift::cluster {

/// The final state of a job. It is never taken back.
enum class Final : std::uint8_t {
    none,      ///< The job is not over.
    done,      ///< All its tasks are done.
    cancelled, ///< A user cancelled it, or a job that it needs.
};

/// One task of a job, over all its attempts.
struct Task {
    /// A machine has reported that it ended well; never taken back.
    bool done = false;
    /// The store holds that it is done.
    bool stored = false;
    /// It is in `Job::pending`.
    bool queued = false;
    /// Its entries: the machines that it may be on.
    std::uint8_t live = 0;
    /// Attempts that ended with an error.
    std::uint8_t failures = 0;
    /// How often a machine was taken for slow because of it.
    std::uint8_t blamed = 0;
    /// Seconds of progress that are known to be saved, estimated.
    float saved_s = 0;
};

/// A job and what the leader knows of its tasks.
///
/// Invariants: `live` is the number of `entries` and the sum of the tasks' `live`; `zone_live` adds up to `live`;
/// `done` is the number of tasks that are done; a task in `pending` is `queued`, and `pending` is in the order of the
/// indices; while the job waits for others it has no tasks, no entries and is in no team's list.
struct Job {
    JobSpec spec;
    /// Indices in `ClusterData::teams` and `ClusterData::image_gb`; -1: not known.
    int team = -1, image = -1;
    /// Which of the records of finished tasks holds its own.
    std::size_t bucket = 0;
    double submitted = 0;
    /// The objective of its class for the start, in seconds; below zero: none.
    double start_within_s = -1;
    /// Since when it is ready. All times but the deadline count from there.
    double ready = 0;
    /// It waits for jobs that it needs; none of its tasks may start.
    bool waits = false;
    /// Its record in the store no longer says that it waits.
    bool ready_recorded = true;
    /// The jobs that it needs and that are not known to be done in the store.
    std::vector<std::string> unmet;
    /// The most urgent of its own priority and those of the jobs that need it.
    Priority priority = Priority::normal;
    /// When the jobs that need it want it done; below zero: never.
    double latest = -1;
    std::vector<Task> tasks;
    /// Indices of the tasks to be placed, ascending. May name tasks that are done or placed by now.
    std::deque<std::uint32_t> pending;
    std::vector<PropagateConst<Entry*>> entries;
    std::uint32_t done = 0, live = 0, running = 0;
    Final final = Final::none;
    /// The store holds the final state, in a record of its own or in a cascade record.
    bool final_stored = false;
    /// The number of the cascade record that holds it until its own record is written; -1: none does.
    int cascade_record = -1;
    /// The final state waits for its turn to be stored.
    bool final_queued = false;
    /// Its turn among the final states of its kind: lower ones come first.
    double final_turn = 0;
    /// When the final state was first due to be stored; below zero: it is not.
    double final_due_at = -1;
    /// The job is within its team's guarantee.
    bool guaranteed = false;
    /// The final state was sent to the store, which may hold it and tell others before its answer comes.
    bool final_sent = false;
    /// Of a cancelled job: launches whose outcome is open. Its final state is stored once there are none.
    std::uint32_t open_launches = 0;
    /// Indices of tasks that are done and not yet stored as such.
    std::vector<std::uint32_t> unstored;
    /// Entries by the index of the zone; the last one counts those in an unknown zone.
    std::vector<std::uint32_t> zone_live;
    /// Entries on machines of the pool for services.
    std::uint32_t on_pool = 0;
    /// The attempt of a gang that is under way; all its tasks have the same.
    std::uint64_t gang_attempt = 0;
    /// The gang has lost a task and is being stopped whole.
    bool gang_breaking = false;
    /// No task is placed before this time.
    double not_before = 0;
    /// Errors in a row, and on which machines.
    int error_streak = 0;
    std::set<std::string> error_machines;
    bool had_success = false;
    /// Attempts that ran to their end without interruption, the longest of them and their sum, in seconds.
    std::uint32_t runs = 0;
    double longest_run = 0, run_sum = 0;
    /// Handles of the cancellation requests to be answered.
    std::vector<std::uint64_t> cancels;
    double first_start = -1;
    /// Until when room that was asked for may come free; below zero: none was.
    double room_until = -1;
    /// Room in a good place is being made for its replicas.
    bool good_room = false;

    [[nodiscard]] bool over() const {
        return final != Final::none;
    }
    /// The job is over and the store holds its final state, so it may be told.
    [[nodiscard]] bool over_in_store() const {
        return final != Final::none && final_stored;
    }
    /// This attempt of a task, found on a machine without an entry, has work to do there. The index is valid.
    [[nodiscard]] bool wants_attempt(std::uint32_t index, std::uint64_t attempt) const;
    /// Puts a task among the pending ones, in the order of the indices: the order in which heartbeats arrive must not
    /// decide which is next. Does nothing for a task that is queued, done or possibly on a machine.
    void queue_task(std::uint32_t index);
    /// Counts an entry of a task in the zone with this index of `zone_live`.
    void count_entry(std::uint32_t index, std::size_t zone_index, bool on_pool_machine);
    /// The opposite of `count_entry`, for an entry that was in this phase.
    void discount_entry(std::uint32_t index, std::size_t zone_index, bool on_pool_machine, Phase phase);
    /// Marks a task as done, and with it all tasks of a gang, which completes together. False: it was done before.
    bool mark_done(std::uint32_t index);
};

} // namespace heronshift::cluster
