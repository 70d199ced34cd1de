/// Rewrites the record of a job whose dependencies are all done.
#pragma once

#include "persistence/cluster_records.hpp"

#include "backlog.hpp"
#include "transaction_builder.hpp"

#include <deque>
#include <vector>

namespace heronshift {

/// When a job becomes ready, its dependencies are removed from its job record: from then on a leader of any version may
/// run it. The record is written before the job's first intents or in the same transaction (invariant 14;
/// ThePreviousVersionDoesNotStartAWaitingJob).
class ClusterRecords::ReadyRecords {
public:
    explicit ReadyRecords(const cluster::ClusterState& cluster) : cluster_(cluster) {}

    void add(cluster::Job& job) {
        jobs_.push_back(&job);
    }
    void forget(cluster::Job& job) {
        std::erase(jobs_, &job);
    }
    [[nodiscard]] bool waiting() const {
        return !jobs_.empty();
    }
    [[nodiscard]] persistence::Backlog backlog() const;
    void add_writes(persistence::TransactionBuilder& transaction);
    void committed(bool applied);
    void forget_in_flight() {
        in_flight_.clear();
    }

private:
    const cluster::ClusterState& cluster_;
    std::deque<cluster::Job*> jobs_;
    std::vector<cluster::Job*> in_flight_;
};

} // namespace heronshift
