// A job and its tasks as the leader tracks them.
#pragma once

#include "cluster/entry.hpp"
#include "heronshift/types.hpp"

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace heronshift::cluster {

/// The final state of a job. Once it is set to a value other than `none`, it never changes.
enum class FinalState : std::uint8_t {
    none,      ///< The job is not over.
    done,      ///< All its tasks are done.
    cancelled, ///< A user cancelled the job or a job that it needs.
};

/// One task of a job, with what is known from all its attempts.
struct Task {
    /// A machine has reported that the task completed successfully. Never reset.
    bool done = false;
    /// The store holds the fact that the task is done.
    bool stored = false;
    /// The task's index is in `Job::pending`.
    bool queued = false;
    /// The task failed repeatedly and waits in `ClusterState::retries_`; it is not queued before that.
    bool awaits_retry = false;
    /// Number of entries of the task, that is, of machines that it may be on.
    std::uint8_t live = 0;
    /// Number of attempts that ended with an error.
    std::uint8_t failures = 0;
    /// How often a machine was considered slow because of this task's run time.
    std::uint8_t slow_detections = 0;
    /// Estimated seconds of the task's run time whose progress is known to be saved.
    float saved_s = 0;

    /// The task failed on several machines, so the task is considered faulty, and not the machines.
    [[nodiscard]] bool faulty() const {
        return failures >= min_failures_of_faulty_task;
    }
    static constexpr std::uint8_t min_failures_of_faulty_task = 2; // a machine is avoided after a failure
};

/// A job and what the leader knows about its tasks.
///
/// Invariants: `live` is the number of `entries` and the sum of the tasks' `live`; `zone_live` adds up to `live`;
/// `done` is the number of tasks that are done; every task in `pending` is `queued`, and `pending` is sorted by index;
/// while the job waits for other jobs, `tasks` and `entries` are empty and the job is not in its team's list.
struct Job {
    JobSpec spec;
    /// Indices in `ClusterData::teams` and `ClusterData::image_gb`; -1: not known.
    int team = -1, image = -1;
    /// The number of the store record that holds the job's progress, that is, which of its tasks are done.
    std::size_t progress_record = 0;
    double submitted = 0;
    /// The start objective of the job's class: seconds from ready to the first start; negative: none.
    double start_within_s = -1;
    /// When the job became ready. All times except the deadline are measured from here.
    double ready = 0;
    /// The job waits for jobs that it needs; none of its tasks may start.
    bool waits = false;
    /// The job's record in the store does not say that the job waits for others.
    bool ready_recorded = true;
    /// The ids of the needed jobs that the store is not known to hold as done.
    std::vector<std::string> unmet_dependencies;
    /// The most urgent among the job's own priority and the priorities of the jobs that need it.
    Priority priority = Priority::normal;
    /// The time by which the jobs that need this one require it to be done; negative: none.
    double needed_by = -1;
    std::vector<Task> tasks;
    /// Indices of the tasks to be placed, ascending. May contain tasks that have been placed or done since.
    std::deque<std::uint32_t> pending;
    std::vector<PropagateConst<Entry*>> entries;
    std::uint32_t done = 0, live = 0, running = 0;
    FinalState final = FinalState::none;
    /// The store holds the final state, in a record of its own or in a cascade record.
    bool final_stored = false;
    /// The number of the cascade record that holds the final state until the job's own record is written; -1: none.
    int cascade_record = -1;
    /// The final state is queued for storing.
    bool final_queued = false;
    /// Sort key of the final state in its storing queue: lower keys are stored first.
    double final_sort_key = 0;
    /// When the final state first became due for storing; negative: not yet.
    double final_due_at = -1;
    /// The job is within its team's guaranteed resources.
    bool guaranteed = false;
    /// The final state was sent to the store. Other nodes may read it there before this leader receives the store's
    /// reply.
    bool final_sent = false;
    /// For a cancelled job, the number of launches with an unknown outcome. The final state is stored once it is zero.
    std::uint32_t open_launches = 0;
    /// Indices of the done tasks that are not yet stored as done.
    std::vector<std::uint32_t> unstored;
    /// Number of entries for each zone index; the last element counts the entries in an unknown zone.
    std::vector<std::uint32_t> zone_live;
    /// Number of entries on machines of the pool for services.
    std::uint32_t entries_on_pool = 0;
    /// The current attempt of a gang, shared by all its tasks.
    std::uint64_t gang_attempt = 0;
    /// The gang has lost a task, and all its other tasks are being stopped.
    bool gang_breaking = false;
    /// No task of the job is placed before this time.
    double not_before = 0;
    /// Number of consecutive task errors, and the machines on which tasks of the job failed.
    int error_streak = 0;
    std::set<std::string> error_machines;
    bool had_success = false;
    /// Number of tasks that are faulty and not done.
    std::uint32_t faulty_tasks = 0;
    /// Number of attempts that ran to completion without interruption, the longest run and the sum of the runs in
    /// seconds.
    std::uint32_t runs = 0;
    double longest_run = 0, run_sum = 0;
    /// Handles of the cancellation requests that have not been answered.
    std::vector<std::uint64_t> cancel_handles;
    double first_start = -1;
    /// Until then the job waits for requested resources to become free, and no new search is made; negative: no
    /// request.
    double resource_wait_until = -1;
    /// Resources are being freed for the job's replicas on machines that suit them well.
    bool freeing_preferred_machines = false;

    [[nodiscard]] bool over() const {
        return final != FinalState::none;
    }
    /// The job is over and the store holds its final state, so the final state may be reported.
    [[nodiscard]] bool over_in_store() const {
        return final != FinalState::none && final_stored;
    }
    /// Whether an attempt that a machine runs without an entry may continue there: the job is not over, the task is not
    /// done and has no other entry, and a gang's attempt is the current one. The index must be valid.
    [[nodiscard]] bool wants_attempt(std::uint32_t index, std::uint64_t attempt) const;
    /// Inserts a task into `pending`, which is sorted by index so that the order in which heartbeats arrive does not
    /// determine which task is placed next. Does nothing for a task that is queued, done, possibly on a machine or
    /// waiting for a retry.
    void queue_task(std::uint32_t index);
    /// Counts a new entry of a task; `zone_index` is the index of the machine's zone in `zone_live`.
    void count_entry(std::uint32_t index, std::size_t zone_index, bool on_pool_machine);
    /// Reverses `count_entry` for an entry that is removed; `phase` is the entry's last phase.
    void discount_entry(std::uint32_t index, std::size_t zone_index, bool on_pool_machine, Phase phase);
    /// Marks a task as done. A gang completes as a whole, so all its tasks are marked. Returns false if the task was
    /// done before.
    bool mark_done(std::uint32_t index);
};

} // namespace heronshift::cluster
