/// The final states of jobs, and the update or removal of the job records that follows from them.
#pragma once

#include "persistence/cluster_records.hpp"

#include "backlog.hpp"
#include "cascade_records.hpp"
#include "ready_records.hpp"
#include "transaction_builder.hpp"

#include <cstddef>
#include <set>
#include <vector>

namespace heronshift {

/// A final state is reported to clients only once it is stored (invariant 10). A job that is over takes two writes: a
/// final record (f/JOB) and a change of its job record (j/JOB). The job record is removed once none of the job's tasks
/// is left on any machine; until then it holds the final state, so that no later leader starts any of the tasks.
///
/// Cancellations that a user waits for are written first, then jobs that are done, then dependents, that is, jobs that
/// were cancelled because a dependency was. However long dependents stay queued here, their final state is stored in
/// time, in a cascade record: see `CascadeRecords`. Done jobs are written in the order of their submission, which stays
/// the same when the leader changes. If they were written in the order in which they finished, a job that every new
/// leader runs again would come last again in every term (`CascadeSoak`).
class ClusterRecords::FinalStates {
public:
    FinalStates(cluster::ClusterState& cluster, std::vector<Effect>& effects, ReadyRecords& ready,
                CascadeRecords& cascades)
        : cluster_(cluster), effects_(effects), ready_(ready), cascades_(cascades) {}

    /// Queues the job's writes. To be called when a job gets its final state, and again when none of its tasks is left
    /// on any machine.
    void enqueue(cluster::Job& job, Urgency urgency);
    [[nodiscard]] bool waiting() const {
        return !cancelled_.empty() || !done_.empty() || dependents_wait();
    }
    /// Whether dependents wait for a write. Those that a cascade record names count too: they wait for their own
    /// records.
    [[nodiscard]] bool dependents_wait() const {
        return !dependents_.empty() || !named_in_cascade_.empty();
    }
    /// The backlog of each queue.
    [[nodiscard]] std::vector<persistence::Backlog> backlog() const;
    /// Adds the writes of queued jobs to the transaction.
    /// @param intents_wait whether intents are due; if so, some transactions leave room for them
    void add_writes(persistence::TransactionBuilder& transaction, bool intents_wait);
    /// Processes the outcome of the transaction for jobs that still had tasks on machines when it was built.
    void committed(bool applied);
    /// Processes the outcome for jobs whose job record was to be removed, and forgets these jobs if it was. To be
    /// called after all other kinds of records have processed the outcome, since they may have the same jobs in flight.
    void committed_removals(bool applied);
    void forget_in_flight() {
        updates_in_flight_.clear();
        removals_in_flight_.clear();
    }

    // The functions below are called by `CascadeRecords`.

    /// Of the dependents whose final state is in no record and in no transaction in flight, the one that has waited
    /// longest; null if there is none.
    [[nodiscard]] const cluster::Job* oldest_dependent() const {
        return dependents_.empty() ? nullptr : *dependents_.begin();
    }
    /// Takes the job that `oldest_dependent` returns out of its queue, for a cascade record that is going to name it.
    cluster::Job& take_oldest_dependent();
    /// Puts a job that `take_oldest_dependent` returned back into its queue, since the cascade record was not stored.
    void requeue_dependent(cluster::Job& job);
    /// To be called when a cascade record in the store names the job. Reports the final state to clients and queues the
    /// job's own records, to be written when a transaction has room.
    void stored_in_cascade(cluster::Job& job);

private:
    struct EarlierTurn {
        bool operator()(const cluster::Job* a, const cluster::Job* b) const {
            if (a->final_sort_key != b->final_sort_key)
                return a->final_sort_key < b->final_sort_key;
            return a->spec.id < b->spec.id;
        }
    };
    using Queue = std::set<cluster::Job*, EarlierTurn>;
    struct InFlight {
        cluster::Job* job;
        Queue* queue; // The queue that the job was taken from.
    };

    bool must_leave_room_for_intents(bool intents_wait);
    Queue& next_queue();
    [[nodiscard]] persistence::Backlog backlog_of(const char* kind, const Queue& queue) const;
    static void push(Queue& queue, cluster::Job& job, double turn);
    static cluster::Job& pop(Queue& queue);
    void write_next(persistence::TransactionBuilder& transaction);
    void put_final_record(persistence::TransactionBuilder& transaction, const cluster::Job& job);
    void put_job_record(persistence::TransactionBuilder& transaction, const cluster::Job& job);
    void retry(const std::vector<InFlight>& refused);
    void requeue(cluster::Job& job, Queue& queue);
    void mark_stored(cluster::Job& job);
    void forget_job(cluster::Job& job);

    cluster::ClusterState& cluster_;
    std::vector<Effect>& effects_;
    ReadyRecords& ready_;
    CascadeRecords& cascades_;
    Queue cancelled_, done_, dependents_;
    Queue named_in_cascade_; // Dependents that a cascade record in the store names.
    std::size_t written_since_named_in_cascade_ =
        0;                                  // The number of jobs written since the last one from `named_in_cascade_`.
    bool left_no_room_for_intents_ = false; // Whether the last transaction left no room for intents.
    // Jobs of the transaction in flight: those whose job record gets the final state, and those whose job record is
    // removed.
    std::vector<InFlight> updates_in_flight_, removals_in_flight_;
};

} // namespace heronshift
