/// Stores rates that a leader has measured, for the next leader.
#pragma once

#include "persistence/cluster_records.hpp"

#include "transaction_builder.hpp"

namespace heronshift {

/// The record holds how much work is submitted, how far run time estimates are off and how many spot machines are lost.
/// Without it, the next leader would release machines that it needs a moment later (LearnedRatesPassToTheNextLeader).
/// It is written every 2 `report_s`; a write that was refused is not retried.
class ClusterRecords::LearnedRates {
public:
    LearnedRates(cluster::ClusterState& cluster, const Settings& settings, const StoreLimits& limits)
        : cluster_(cluster), settings_(settings), limits_(limits) {}

    void add_writes(persistence::TransactionBuilder& transaction);
    void load(const std::vector<codec::Item>& items, double wall);

private:
    void load_record(const codec::Item& item, double wall);

    cluster::ClusterState& cluster_;
    const Settings& settings_;
    const StoreLimits& limits_;
    double next_write_at_ = 0;
};

} // namespace heronshift
