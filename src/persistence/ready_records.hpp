/// Job records that are written again when the job's dependencies are done.
#pragma once

#include "persistence/cluster_records.hpp"

#include "backlog.hpp"
#include "transaction_builder.hpp"

#include <deque>
#include <vector>

namespace heronshift {

/// The record of a job that has become ready loses its dependencies: from then on any leader, of whatever version, may
/// run it. It is written before the job's first intents or with them (invariant 14;
/// TheVersionBeforeStartsNothingOfAJobThatWaits).
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
    void collect(persistence::TransactionBuilder& transaction);
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
