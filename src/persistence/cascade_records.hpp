/// Cascade records: each names many jobs that were cancelled because a dependency was, in a single write.
#pragma once

#include "persistence/cluster_records.hpp"

#include "transaction_builder.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace heronshift {

/// Stores the final states of dependents, that is, of jobs that were cancelled because a dependency was cancelled.
///
/// A dependent takes two writes, like any other job that is over: one puts its final record, one removes its job
/// record. While other jobs end as fast as the store accepts these writes, dependents would have to wait until the
/// load drops. But the time limit for cancelling them counts from the moment at which the user was told of the first
/// cancellation, even if another controller has become the leader since. Dependents that have waited for `report_s`, or
/// that may have waited in an earlier term, are therefore named in a cascade record: hundreds of them in one write,
/// which goes into the transaction before all others. From then on their final state counts as stored: every controller
/// reports it to clients, and a new leader reads it. The dependents' own records are written later, as transactions
/// have room for them. (Invariant 15; `CancellationCascades`.)
///
/// A job stays in its cascade record until the store holds the job's own final record. A reader that reads the cascade
/// records first and the final record afterwards therefore always finds the final state in one of them.
class ClusterRecords::CascadeRecords {
public:
    CascadeRecords(cluster::ClusterState& cluster, const Settings& settings, const StoreLimits& limits)
        : cluster_(cluster), settings_(settings), limits_(limits) {}

    /// If dependents have waited for too long, adds a write that names as many of them as fit into one cascade record.
    void add_writes(persistence::TransactionBuilder& transaction, FinalStates& finals);
    /// Adds the removal of one cascade record that names no jobs any more. Not urgent.
    void add_empty_record_removal(persistence::TransactionBuilder& transaction);
    /// Whether more than half of the `max_cascade_records` records name jobs.
    [[nodiscard]] bool over_half_used() const;
    void committed(bool applied, FinalStates& finals);
    /// Takes the job out of its cascade record; to be called once the store holds the job's own final record.
    void forget(cluster::Job& job);
    void forget_in_flight() {
        in_flight_ = {};
    }

    /// To be called at a failover, after the jobs are loaded. Job ids that cannot be read are skipped: those jobs are
    /// cancelled once more when the final state of their dependency is processed.
    void load(const std::vector<codec::Item>& items, FinalStates& finals);

private:
    struct Record {
        std::vector<cluster::Job*> jobs;
        bool stored = false; // The store holds this record; its copy may still name jobs that have left `jobs`.
    };
    struct InFlight {
        std::optional<std::size_t> written, removed; // Record numbers.
        std::vector<cluster::Job*> jobs;             // The jobs that record `written` names for the first time.
    };

    [[nodiscard]] bool has_overdue_dependents(const FinalStates& finals) const;
    std::optional<std::size_t> record_with_room();
    void write(persistence::TransactionBuilder& transaction, std::size_t number, std::size_t size);
    void load_record(std::size_t number, const codec::Item& item, FinalStates& finals);

    cluster::ClusterState& cluster_;
    const Settings& settings_;
    const StoreLimits& limits_;
    std::vector<Record> records_;
    InFlight in_flight_;
};

} // namespace heronshift
