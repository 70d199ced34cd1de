/// The cluster's records in the store: read completely at a failover, then updated incrementally.
///
/// The leader has at most one transaction in flight. It stays within its share of the store's write budget and writes
/// the most urgent records first. A final state is reported to clients only once it is stored, and a launch is sent
/// only once its intent is stored (invariants 5 and 10 in docs/safety.md). src/persistence has a class for each kind of
/// record; heronshift/persistence/layout.hpp lists the keys.
#pragma once

#include "cluster/cluster_state.hpp"
#include "persistence/write_report.hpp"

#include <memory>

namespace heronshift {

/// The contents of the store at a failover: the items below each prefix of the layout, in the order of their keys.
struct Snapshot {
    std::vector<codec::Item> jobs, intents, progress, images, learned;
    std::vector<codec::Item> cascades;
    /// Records of the earliest layout, which had one for each machine and one for each job.
    std::vector<codec::Item> legacy;
};

/// Combines the writes of all kinds of records into transactions, in order of urgency, and passes the outcome of each
/// transaction back to them.
///
/// Used on the thread of the core only. No other class writes the members of `cluster::Job` and `cluster::Entry` that
/// say where and whether they are stored (`slot`, `slot_position`, `moved_from_slot`, `recorded`, `progress_record`,
/// `ready_recorded`, `final_queued`, `final_sort_key`, `final_due_at`, `final_sent`, `final_stored`, `cascade_record`).
class ClusterRecords final : public cluster::PersistenceListener {
public:
    /// Loads the contents of the store into the cluster state.
    /// @param wall the time by the wall clock, in seconds since 1970
    /// @param out receives the effects; `out`, `cluster` and `settings` must outlive this object
    ClusterRecords(cluster::ClusterState& cluster, const Settings& settings, const Snapshot& stored, double wall,
                   std::vector<Effect>& out);
    ~ClusterRecords() override;
    ClusterRecords(const ClusterRecords&) = delete;
    ClusterRecords& operator=(const ClusterRecords&) = delete;

    void added(cluster::Job& job) override;
    void added(cluster::Entry& entry) override;
    void removed(cluster::Entry& entry) override;
    void final_due(cluster::Job& job, Urgency urgency) override;
    void progressed(cluster::Job& job) override;
    void became_ready(cluster::Job& job) override;

    /// Emits the next `Commit`, if records are due, the write budget allows it and no other transaction is in flight.
    void emit_commit();
    /// Processes the outcome of the transaction in flight. If it was not applied, its records are due again. If the
    /// leadership is lost, the cluster state resigns.
    void committed(const Committed& command);
    /// Whether final states, ready jobs or intents are due and no transaction is in flight: they wait for write budget.
    [[nodiscard]] bool waiting() const;
    /// Whether the transaction in flight was sent more than `after_s` seconds ago and has had no answer since.
    [[nodiscard]] bool commit_overdue(double after_s) const {
        return transaction_in_flight_ && cluster_.view().now - sent_at_ > after_s;
    }
    /// Logs a line if records have been due for too long. To be called a few times a second.
    void log_overdue_records();
    /// The number of writes and transactions of this term, and the backlog of each kind of record.
    [[nodiscard]] std::vector<metrics::Value> metrics() const;
    /// The number of transactions that were applied in this term.
    [[nodiscard]] std::uint64_t committed_count() const {
        return committed_count_;
    }

private:
    // One class for each kind of record. They are nested because `ClusterState` declares `ClusterRecords` its friend,
    // and nested classes share that access.
    class CascadeRecords;
    class FinalStates;
    class ReadyRecords;
    class IntentRecords;
    class ObsoleteRecords;
    class ProgressRecords;
    class ImageHints;
    class LearnedRates;
    struct RecordKinds;

    /// The largest record and the largest transaction to send; halved whenever the store rejects one as too large.
    struct StoreLimits {
        std::size_t max_record_bytes, max_writes;
    };

    // Called at a failover; defined in load.cpp.
    void load(const Snapshot& stored, double wall);
    void load_jobs(const std::vector<codec::Item>& items, double wall);
    void load_legacy_records(const std::vector<codec::Item>& items);
    void load_legacy_machine(const codec::Item& item);
    void load_legacy_job(const codec::Item& item);
    void finish_loading_job(cluster::Job& job);

    [[nodiscard]] std::vector<persistence::Backlog> backlogs() const;
    [[nodiscard]] double max_saved_writes() const;
    void refill_write_budget();
    void reduce_limits();

    cluster::ClusterState& cluster_;
    const Settings& settings_;
    std::vector<Effect>& effects_;
    StoreLimits limits_;
    std::unique_ptr<RecordKinds> record_kinds_;
    persistence::WriteReport report_;
    bool transaction_in_flight_ = false;
    double sent_at_ = 0; ///< When the transaction in flight was sent.
    double write_budget_, write_budget_refilled_at_;
    double next_backlog_check_at_ = 0;
    std::uint64_t committed_count_ = 0;
};

} // namespace heronshift
