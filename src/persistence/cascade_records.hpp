/// Cascade records: many jobs that are cancelled with their dependency, stored in one write.
#pragma once

#include "persistence/cluster_records.hpp"

#include "transaction_builder.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace heronshift {

/// A job that a cancelled one cancels with it takes two writes like any other that is over: its final state is put, its
/// record removed. While jobs end as fast as the store takes these, such jobs would wait for as long as the rush lasts,
/// and their time counts from when the user was told of the first cancellation, whoever leads by then. So those that
/// have waited for report_s, or may have waited in an earlier term, are named in a cascade record, hundreds in one
/// write, before anything else of that transaction. From then on their final state is stored: every controller answers
/// it, and a new leader reads it. Their own records follow when there is room. (Invariant 15; `CancellationCascades`.)
///
/// A job stays in its record until the store holds its own final state, so whoever reads the cascade records before the
/// final state misses neither.
class ClusterRecords::CascadeRecords {
public:
    CascadeRecords(cluster::ClusterState& cluster, const Settings& settings, const StoreLimits& limits)
        : cluster_(cluster), settings_(settings), limits_(limits) {}

    /// Names the dependents that have waited for too long, as many as one record takes.
    void collect(persistence::TransactionBuilder& transaction, FinalStates& finals);
    /// Removes a record that names nobody any more. Not urgent.
    void collect_empty(persistence::TransactionBuilder& transaction);
    /// Whether more than half of the records are in use.
    [[nodiscard]] bool filling_up() const;
    void committed(bool applied, FinalStates& finals);
    /// The store holds the job's own final state.
    void forget(cluster::Job& job);
    void forget_in_flight() {
        in_flight_ = {};
    }

    /// At a failover, once the jobs are read. What cannot be read is left out: their final state follows from that of
    /// their dependency once more.
    void load(const std::vector<codec::Item>& items, FinalStates& finals);

private:
    struct Record {
        std::vector<cluster::Job*> jobs;
        bool stored = false; // the store holds it, maybe with jobs that have left it since
    };
    struct InFlight {
        std::optional<std::size_t> written, removed; // numbers of records
        std::vector<cluster::Job*> jobs;             // that the written one names for the first time
    };

    [[nodiscard]] bool overdue(const FinalStates& finals) const;
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
