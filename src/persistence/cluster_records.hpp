/// The cluster's records in the store: read whole at a failover, then written a little at a time.
///
/// The leader writes one transaction at a time, within its share of the store's budget of writes, most urgent
/// records first. Nothing is told that is not stored, and no launch is sent before its intent is stored
/// (invariants 5 and 10 in docs/safety.md). The classes of single record kinds are in src/persistence;
/// heronshift/persistence/layout.hpp lists the keys.
#pragma once

#include "cluster/cluster_state.hpp"
#include "persistence/write_report.hpp"

#include <memory>

namespace heronshift {

/// What the store holds at a failover: the items below each prefix of the layout, in the order of their keys.
struct Snapshot {
    std::vector<codec::Item> jobs, intents, progress, images, learned;
    std::vector<codec::Item> cascades;
    std::vector<codec::Item> earlier; ///< Of the earliest layout: a record for each machine and each job.
};

/// Sequences the record kinds: collects their writes into transactions and tells each the outcome.
///
/// Belongs to the thread of the core. It alone writes the members of cluster::Job and cluster::Entry that say where
/// they are recorded (slot, at_slot, carried_from, recorded, bucket, ready_recorded, final_queued, final_turn,
/// final_due_at, final_sent, final_stored, cascade_record).
class ClusterRecords final : public cluster::PersistenceListener {
public:
    /// Enters what the store holds into the cluster state.
    /// @param wall the wall clock, seconds since 1970
    /// @param out takes the effects; it must outlive this object, as must the cluster and the settings
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

    /// Emits the next Commit, if something is due, the budget allows it and no other is in flight.
    void collect_commit();
    /// Takes the outcome of the transaction in flight. After one that was not applied its records are due again;
    /// lost leadership makes the cluster state resign.
    void committed(const Committed& command);
    /// Whether urgent records wait for the budget of writes.
    [[nodiscard]] bool waiting() const;
    /// Whether the transaction in flight has had no answer for more than that many seconds.
    [[nodiscard]] bool late(double after_s) const {
        return transaction_open_ && cluster_.view().now - sent_at_ > after_s;
    }
    /// Says in the log if records wait for the store for too long. To be called a few times a second.
    void log_late_records();
    /// What was written in this term and what waits to be.
    [[nodiscard]] std::vector<metrics::Value> metrics() const;
    /// Transactions applied in this term.
    [[nodiscard]] std::uint64_t committed_count() const {
        return committed_count_;
    }

private:
    // One class for each record kind. They are nested, since ClusterState admits this class as its friend.
    class CascadeRecords;
    class FinalStates;
    class ReadyRecords;
    class IntentRecords;
    class ObsoleteRecords;
    class ProgressRecords;
    class ImageHints;
    class LearnedRates;
    struct Kinds;

    /// What the store takes; halved whenever it calls a transaction too large.
    struct StoreLimits {
        std::size_t max_record_bytes, max_writes;
    };

    // At a failover (load.cpp).
    void load(const Snapshot& stored, double wall);
    void load_jobs(const std::vector<codec::Item>& items, double wall);
    void load_earlier(const std::vector<codec::Item>& items);
    void load_earlier_machine(const codec::Item& item);
    void load_earlier_job(const codec::Item& item);
    void settle_loaded_job(cluster::Job& job);

    [[nodiscard]] std::vector<persistence::Backlog> backlogs() const;
    [[nodiscard]] double max_saved_writes() const;
    void refill_write_budget();
    void reduce_limits();

    cluster::ClusterState& cluster_;
    const Settings& settings_;
    std::vector<Effect>& effects_;
    StoreLimits limits_;
    std::unique_ptr<Kinds> kinds_;
    persistence::WriteReport report_;
    bool transaction_open_ = false;
    double sent_at_ = 0; ///< The transaction in flight.
    double write_budget_, write_budget_at_;
    double next_backlog_check_at_ = 0;
    std::uint64_t committed_count_ = 0;
};

} // namespace heronshift
