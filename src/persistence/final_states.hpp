/// Final states of jobs, and what becomes of the jobs' records.
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

/// A final state is told only once it is stored (invariant 10). The job's record is removed when none of its tasks is
/// left on any machine; until then it names the final state, so that no later leader starts any of them.
///
/// What users wait for goes first, then jobs that are done, then those that were cancelled with a job that they need.
/// The last of these do not depend on their turn: see CascadeRecords. Jobs that are done have their turn by the time of
/// their submission, which no change of leader changes: in the order in which they are done, a job that the next leader
/// runs again comes last again, in every term (`CascadeSoak`).
class ClusterRecords::FinalStates {
public:
    FinalStates(cluster::ClusterState& cluster, std::vector<Effect>& effects, ReadyRecords& ready,
                CascadeRecords& cascades)
        : cluster_(cluster), effects_(effects), ready_(ready), cascades_(cascades) {}

    /// The job has a new final state, or none of its tasks is left.
    void due(cluster::Job& job, Urgency urgency);
    [[nodiscard]] bool waiting() const {
        return !cancelled_.empty() || !done_.empty() || dependents_wait();
    }
    /// Whether jobs wait that were cancelled since they depend on a cancelled one.
    [[nodiscard]] bool dependents_wait() const {
        return !dependents_.empty() || !cascaded_.empty();
    }
    /// What waits, by kind.
    [[nodiscard]] std::vector<persistence::Backlog> backlog() const;
    /// @param intents_wait whether intents are due: they get a share of the writes
    void collect(persistence::TransactionBuilder& transaction, bool intents_wait);
    /// The outcome for final states whose job still has tasks on machines.
    void committed(bool applied);
    /// The outcome for the others, whose jobs are forgotten: to be called after all other record kinds, since
    /// those may have the same jobs in flight.
    void committed_removals(bool applied);
    void forget_in_flight() {
        named_in_flight_.clear();
        removed_in_flight_.clear();
    }

    // For CascadeRecords.

    /// The job that has waited longest of those cancelled with a dependency and stored nowhere; null: there is none.
    [[nodiscard]] const cluster::Job* oldest_dependent() const {
        return dependents_.empty() ? nullptr : *dependents_.begin();
    }
    /// Takes that job out of its queue: its final state is on its way to the store in a cascade record.
    cluster::Job& take_dependent();
    /// It was not stored.
    void give_back_dependent(cluster::Job& job);
    /// A cascade record in the store names the job: it may be told, and its own records follow when there is room.
    void stored_in_cascade(cluster::Job& job);

private:
    struct EarlierTurn {
        bool operator()(const cluster::Job* a, const cluster::Job* b) const {
            if (a->final_turn != b->final_turn)
                return a->final_turn < b->final_turn;
            return a->spec.id < b->spec.id;
        }
    };
    using Queue = std::set<cluster::Job*, EarlierTurn>;
    struct InFlight {
        cluster::Job* job;
        Queue* queue; // that it came from
    };

    bool must_leave_room(bool intents_wait);
    Queue& next_queue();
    [[nodiscard]] persistence::Backlog backlog_of(const char* kind, const Queue& queue) const;
    static void push(Queue& queue, cluster::Job& job, double turn);
    static cluster::Job& pop(Queue& queue);
    void write_next(persistence::TransactionBuilder& transaction);
    void put_final_record(persistence::TransactionBuilder& transaction, const cluster::Job& job);
    void put_job_record(persistence::TransactionBuilder& transaction, const cluster::Job& job);
    void retry(const std::vector<InFlight>& refused);
    void put_back(cluster::Job& job, Queue& queue);
    void stored(cluster::Job& job);
    void forget_job(cluster::Job& job);

    cluster::ClusterState& cluster_;
    std::vector<Effect>& effects_;
    ReadyRecords& ready_;
    CascadeRecords& cascades_;
    Queue cancelled_, done_, dependents_;
    Queue cascaded_;                 // stored in a cascade record
    std::size_t since_cascaded_ = 0; // final states written since one of those
    bool left_no_room_ = false;      // the last transaction had none for intents
    // In flight: jobs whose record names the final state, and jobs whose record is removed.
    std::vector<InFlight> named_in_flight_, removed_in_flight_;
};

} // namespace heronshift
