/// Final states of jobs, and what becomes of the jobs' records.
#pragma once

#include "persistence/cluster_records.hpp"

#include "backlog.hpp"
#include "ready_records.hpp"
#include "transaction_builder.hpp"

#include <deque>
#include <vector>

namespace heronshift {

/// A final state is told only once it is stored (invariant 10). The job's record is removed when none of its tasks is
/// left on any machine; until then it names the final state, so that no later leader starts any of them.
class ClusterRecords::FinalStates {
public:
    FinalStates(cluster::ClusterState& cluster, std::vector<Effect>& effects, ReadyRecords& ready)
        : cluster_(cluster), effects_(effects), ready_(ready) {}

    /// The job has a new final state, or none of its tasks is left.
    void due(cluster::Job& job, Urgency urgency);
    [[nodiscard]] bool waiting() const {
        return !due_.empty() || dependents_wait();
    }
    /// Whether jobs wait that were cancelled since they depend on a cancelled one.
    [[nodiscard]] bool dependents_wait() const {
        return !cancelled_with_dependency_.empty();
    }
    /// What waits, by urgency.
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

private:
    bool must_leave_room(bool intents_wait);
    cluster::Job& next();
    void write(persistence::TransactionBuilder& transaction, cluster::Job& job);
    void retry(cluster::Job& job);
    void stored(cluster::Job& job);
    void forget_job(cluster::Job& job);

    cluster::ClusterState& cluster_;
    std::vector<Effect>& effects_;
    ReadyRecords& ready_;
    std::deque<cluster::Job*> due_;
    std::deque<cluster::Job*> cancelled_with_dependency_; // maybe hundreds at once, so after all others
    bool left_no_room_ = false;                           // the last transaction had none for intents
    // In flight: jobs whose record names the final state, and jobs whose record is removed.
    std::vector<cluster::Job*> named_in_flight_, removed_in_flight_;
};

} // namespace heronshift
